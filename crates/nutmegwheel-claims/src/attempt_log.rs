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
    pub enum StartOutcome {
        /// It is recorded as started and may run.
        Run,
        /// It must not run.
        Refused(StartRefusal),
    }

    /// Why an attempt that arrives must not run.
    pub enum StartRefusal {
        /// It has been started before: this is a copy, and the first one may have run.
        Duplicate,
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
    pub enum FenceOutcome {
        /// It did not run and never will.
        NotRun,
        /// It was started.
        Started,
        /// It may have run, at an earlier life of this node or longer ago than is remembered.
        Unknown,
    }

    enum AttemptState {
        Started,
        Fenced,
    }
}

plain! {
    /// The attempts that one life of a node has started or fenced.
    #[derive(Hash)]
    pub struct AttemptLog {
        options: Options,
        attempts: BTreeMap<AttemptId, AttemptState>,
        insertion_order: VecDeque<(Instant, AttemptId)>,
        evicted: BTreeMap<ProcessName, (Incarnation, u64)>,
    }
}

/// Lifecycle.
impl AttemptLog {
    /// An empty record, which says nothing of earlier lives.
    #[must_use]
    pub fn open(options: Options) -> Self {
        AttemptLog {
            options,
            attempts: BTreeMap::new(),
            insertion_order: VecDeque::new(),
            evicted: BTreeMap::new(),
        }
    }

    /// Forgets what is over, and from then on refuses whatever the door numbered up to there.
    pub fn tick(&mut self, now: Instant) {
        let is_over = |(at, _): &(Instant, AttemptId)| *at + self.options.retention <= now;
        while let Some((_, attempt)) = self.insertion_order.pop_front_if(|entry| is_over(entry)) {
            self.attempts.remove(&attempt);
            let number = (attempt.incarnation, attempt.number);
            let last = self.evicted.entry(attempt.ingress).or_insert(number);
            *last = number.max(*last);
        }
    }
}

/// Decisions.
impl AttemptLog {
    /// Decides on an attempt that arrives, addressed to a life of this node.
    pub fn try_start(
        &mut self,
        attempt: &AttemptId,
        incarnation: Incarnation,
        now: Instant,
    ) -> StartOutcome {
        self.tick(now);
        if incarnation != self.options.incarnation {
            return StartOutcome::Refused(StartRefusal::OtherIncarnation);
        }
        match self.attempts.get(attempt).copied() {
            Some(AttemptState::Started) => return StartOutcome::Refused(StartRefusal::Duplicate),
            Some(AttemptState::Fenced) => return StartOutcome::Refused(StartRefusal::Fenced),
            None if self.may_be_evicted(attempt) => {
                return StartOutcome::Refused(StartRefusal::TooOld);
            }
            None => {}
        }
        if !self.record(attempt, AttemptState::Started, now) {
            return StartOutcome::Refused(StartRefusal::Full);
        }
        StartOutcome::Run
    }

    /// Fences an attempt that was addressed to a life of this node, if it has not started.
    pub fn fence(
        &mut self,
        attempt: &AttemptId,
        incarnation: Incarnation,
        now: Instant,
    ) -> FenceOutcome {
        self.tick(now);
        if incarnation != self.options.incarnation {
            return FenceOutcome::Unknown;
        }
        match self.attempts.get(attempt).copied() {
            Some(AttemptState::Started) => FenceOutcome::Started,
            Some(AttemptState::Fenced) => FenceOutcome::NotRun,
            None if self.may_be_evicted(attempt) => FenceOutcome::Unknown,
            None if self.record(attempt, AttemptState::Fenced, now) => FenceOutcome::NotRun,
            None => FenceOutcome::Unknown,
        }
    }

    fn record(&mut self, attempt: &AttemptId, state: AttemptState, now: Instant) -> bool {
        let has_room = self.attempts.len() < self.options.capacity;
        if has_room {
            self.attempts.insert(attempt.clone(), state);
            self.insertion_order.push_back((now, attempt.clone()));
        }
        has_room
    }

    fn may_be_evicted(&self, attempt: &AttemptId) -> bool {
        let number = (attempt.incarnation, attempt.number);
        self.evicted
            .get(&attempt.ingress)
            .is_some_and(|last| number <= *last)
    }
}

/// Access.
impl AttemptLog {
    /// The number of attempts remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Whether none is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }
}
