use std::{collections::BTreeSet, time::Instant};

use super::{Ticket, rank::Rank};

/// The position of a waiting request; equal ranks are ordered by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuePosition {
    pub(crate) rank: Rank,
    pub(crate) arrival: u64,
    /// The last instant at which it can start and is still likely to finish in time.
    pub(crate) latest_start: Instant,
    pub(crate) ticket: Ticket,
}

/// The waiting requests, ordered by rank and by latest start.
#[derive(Debug, Default)]
pub(crate) struct WaitingRequests {
    by_rank: BTreeSet<QueuePosition>,
    by_latest_start: BTreeSet<(Instant, Ticket, Rank, u64)>,
}

impl WaitingRequests {
    pub(crate) fn insert(&mut self, position: QueuePosition) {
        self.by_rank.insert(position);
        self.by_latest_start.insert(latest_start_key(&position));
    }

    pub(crate) fn remove(&mut self, position: &QueuePosition) -> bool {
        self.by_latest_start.remove(&latest_start_key(position));
        self.by_rank.remove(position)
    }

    pub(crate) fn pop_most_important(&mut self) -> Option<QueuePosition> {
        let position = self.by_rank.pop_first()?;
        self.by_latest_start.remove(&latest_start_key(&position));
        Some(position)
    }

    pub(crate) fn pop_least_important(&mut self) -> Option<QueuePosition> {
        let position = self.by_rank.pop_last()?;
        self.by_latest_start.remove(&latest_start_key(&position));
        Some(position)
    }

    /// Removes one request that is no longer likely to finish in time.
    pub(crate) fn pop_overdue(&mut self, now: Instant) -> Option<QueuePosition> {
        let (latest_start, ticket, rank, arrival) = *self.by_latest_start.first()?;
        if latest_start >= now {
            return None;
        }
        let position = QueuePosition {
            rank,
            arrival,
            latest_start,
            ticket,
        };
        self.remove(&position);
        Some(position)
    }

    pub(crate) fn least_important(&self) -> Option<&QueuePosition> {
        self.by_rank.last()
    }

    /// The number of requests that start before a new one of `rank`, counted up to `max`.
    pub(crate) fn count_ahead(&self, rank: Rank, max: usize) -> usize {
        self.by_rank
            .iter()
            .take_while(|position| position.rank <= rank)
            .take(max)
            .count()
    }

    pub(crate) fn next_latest_start(&self) -> Option<Instant> {
        self.by_latest_start
            .first()
            .map(|(latest_start, ..)| *latest_start)
    }

    pub(crate) fn len(&self) -> usize {
        self.by_rank.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.by_rank.is_empty()
    }
}

fn latest_start_key(position: &QueuePosition) -> (Instant, Ticket, Rank, u64) {
    (
        position.latest_start,
        position.ticket,
        position.rank,
        position.arrival,
    )
}
