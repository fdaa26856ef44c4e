use std::{collections::BTreeSet, time::Instant};

use super::{Ticket, rank::Rank};

/// The place of a waiting request; equal ranks keep the order of their arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Place {
    pub(crate) rank: Rank,
    pub(crate) arrival: u64,
    /// The last instant at which it can start and still finish in time.
    pub(crate) latest_start: Instant,
    pub(crate) ticket: Ticket,
}

/// The waiting requests, in order of importance and of their latest start.
#[derive(Debug, Default)]
pub(crate) struct Waiting {
    by_rank: BTreeSet<Place>,
    by_latest_start: BTreeSet<(Instant, Ticket, Rank, u64)>,
}

impl Waiting {
    pub(crate) fn insert(&mut self, place: Place) {
        self.by_rank.insert(place);
        self.by_latest_start.insert(start_key(&place));
    }

    pub(crate) fn remove(&mut self, place: &Place) -> bool {
        self.by_latest_start.remove(&start_key(place));
        self.by_rank.remove(place)
    }

    pub(crate) fn pop_most_important(&mut self) -> Option<Place> {
        let place = self.by_rank.pop_first()?;
        self.by_latest_start.remove(&start_key(&place));
        Some(place)
    }

    pub(crate) fn pop_least_important(&mut self) -> Option<Place> {
        let place = self.by_rank.pop_last()?;
        self.by_latest_start.remove(&start_key(&place));
        Some(place)
    }

    /// Takes one request that can no longer finish in time.
    pub(crate) fn pop_too_late(&mut self, now: Instant) -> Option<Place> {
        let (latest_start, ticket, rank, arrival) = *self.by_latest_start.first()?;
        if latest_start >= now {
            return None;
        }
        let place = Place {
            rank,
            arrival,
            latest_start,
            ticket,
        };
        self.remove(&place);
        Some(place)
    }

    pub(crate) fn least_important(&self) -> Option<&Place> {
        self.by_rank.last()
    }

    /// The number of requests that start before one of `rank` that arrives now, counted up to
    /// `most`.
    pub(crate) fn ahead_of(&self, rank: Rank, most: usize) -> usize {
        self.by_rank
            .iter()
            .take_while(|place| place.rank <= rank)
            .take(most)
            .count()
    }

    pub(crate) fn next_latest_start(&self) -> Option<Instant> {
        self.by_latest_start.first().map(|(at, ..)| *at)
    }

    pub(crate) fn len(&self) -> usize {
        self.by_rank.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.by_rank.is_empty()
    }
}

fn start_key(place: &Place) -> (Instant, Ticket, Rank, u64) {
    (place.latest_start, place.ticket, place.rank, place.arrival)
}
