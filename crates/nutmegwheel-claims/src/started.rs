//! The target node's record of the attempts that it started, and the fence.
//!
//! Only a fence that is recorded before the attempt arrives makes "not run" true: the attempt is
//! refused when it comes later.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use nutmegwheel_types::{Incarnation, ProcessName, plain, plain_copy};

use crate::AttemptId;

/// How long an attempt is remembered.
pub const RETENTION: Duration = Duration::from_mins(2);
/// The number of attempts that are remembered.
pub const CAPACITY: usize = 65_536;

plain_copy! {
    /// How a node's record begins.
    pub struct Options {
        /// The life of the node.
        pub incarnation: Incarnation,
        /// The number of attempts to remember.
        pub capacity: usize,
        /// How long to remember each.
        pub retention: Duration,
    }

    /// What to do with an attempt that arrives.
    pub enum Arrival {
        /// It is recorded as started and may run.
        Run,
        /// It must not run.
        Refused(Reason),
    }

    /// Why an attempt that arrives must not run.
    pub enum Reason {
        /// It has been started before: this is a copy, and the first one may have run.
        Doubled,
        /// Its sender was told that it did not run.
        Fenced,
        /// It was addressed to another life of this node.
        OtherIncarnation,
        /// It is older than what is remembered of its door.
        TooOld,
        /// There is no room to remember it.
        Full,
    }

    /// The answer to a sender that lost its link.
    pub enum Fence {
        /// It did not run and never will.
        NotRun,
        /// It was started.
        Started,
        /// It may have run, at an earlier life of this node or longer ago than is remembered.
        Unknown,
    }

    enum Mark {
        Started,
        Fenced,
    }
}

plain! {
    /// The attempts that one life of a node has started or fenced.
    #[derive(Hash)]
    pub struct Started {
        options: Options,
        marks: BTreeMap<AttemptId, Mark>,
        order: VecDeque<(Instant, AttemptId)>,
        forgotten: BTreeMap<ProcessName, (Incarnation, u64)>,
    }
}

/// Lifecycle.
impl Started {
    /// An empty record, which says nothing of earlier lives.
    #[must_use]
    pub fn open(options: Options) -> Self {
        Started {
            options,
            marks: BTreeMap::new(),
            order: VecDeque::new(),
            forgotten: BTreeMap::new(),
        }
    }

    /// Forgets what is over, and from then on refuses whatever the door numbered up to there.
    pub fn tick(&mut self, now: Instant) {
        let is_over = |(at, _): &(Instant, AttemptId)| *at + self.options.retention <= now;
        while let Some((_, attempt)) = self.order.pop_front_if(|entry| is_over(entry)) {
            self.marks.remove(&attempt);
            let number = (attempt.incarnation, attempt.number);
            let last = self.forgotten.entry(attempt.door).or_insert(number);
            *last = number.max(*last);
        }
    }
}

/// Decisions.
impl Started {
    /// Decides on an attempt that arrives, addressed to a life of this node.
    pub fn arrive(
        &mut self,
        attempt: &AttemptId,
        incarnation: Incarnation,
        now: Instant,
    ) -> Arrival {
        self.tick(now);
        if incarnation != self.options.incarnation {
            return Arrival::Refused(Reason::OtherIncarnation);
        }
        match self.marks.get(attempt).copied() {
            Some(Mark::Started) => return Arrival::Refused(Reason::Doubled),
            Some(Mark::Fenced) => return Arrival::Refused(Reason::Fenced),
            None if self.may_be_forgotten(attempt) => return Arrival::Refused(Reason::TooOld),
            None => {}
        }
        if !self.record(attempt, Mark::Started, now) {
            return Arrival::Refused(Reason::Full);
        }
        Arrival::Run
    }

    /// Fences an attempt that was addressed to a life of this node, if it has not started.
    pub fn fence(&mut self, attempt: &AttemptId, incarnation: Incarnation, now: Instant) -> Fence {
        self.tick(now);
        if incarnation != self.options.incarnation {
            return Fence::Unknown;
        }
        match self.marks.get(attempt).copied() {
            Some(Mark::Started) => Fence::Started,
            Some(Mark::Fenced) => Fence::NotRun,
            None if self.may_be_forgotten(attempt) => Fence::Unknown,
            None if self.record(attempt, Mark::Fenced, now) => Fence::NotRun,
            None => Fence::Unknown,
        }
    }

    fn record(&mut self, attempt: &AttemptId, mark: Mark, now: Instant) -> bool {
        let has_room = self.marks.len() < self.options.capacity;
        if has_room {
            self.marks.insert(attempt.clone(), mark);
            self.order.push_back((now, attempt.clone()));
        }
        has_room
    }

    fn may_be_forgotten(&self, attempt: &AttemptId) -> bool {
        let number = (attempt.incarnation, attempt.number);
        self.forgotten
            .get(&attempt.door)
            .is_some_and(|last| number <= *last)
    }
}

/// Access.
impl Started {
    /// The number of attempts remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.marks.len()
    }

    /// Whether none is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.marks.is_empty()
    }
}
