//! The target node's log of started and fenced attempts.
//!
//! The node records a fence before it replies that an attempt did not run, and refuses the attempt
//! if it arrives later. Without that record, the reply could turn out to be false.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use nutmegwheel_types::{Incarnation, ProcessName, plain, plain_copy};

use crate::AttemptId;

/// How long a node keeps an attempt in its log.
pub const RETENTION: Duration = Duration::from_mins(2);
/// The maximum number of attempts in the log of a node.
pub const CAPACITY: usize = 65_536;

plain_copy! {
    /// Configures an [`AttemptLog`].
    pub struct Options {
        /// The incarnation of the node.
        pub incarnation: Incarnation,
        /// The maximum number of attempts in the log.
        pub capacity: usize,
        /// How long each attempt stays in the log.
        pub retention: Duration,
    }

    /// Whether an arriving attempt may run.
    pub enum StartOutcome {
        /// The attempt is recorded as started and may run.
        Run,
        /// The attempt must not run.
        Refused(StartRefusal),
    }

    /// Why an arriving attempt must not run.
    pub enum StartRefusal {
        /// The attempt was started before: the message is a duplicate, and the original may have
        /// run.
        Duplicate,
        /// The attempt was fenced, and its sender was notified that it did not run.
        Fenced,
        /// The attempt was addressed to another incarnation of this node.
        OtherIncarnation,
        /// The attempt is not newer than the last evicted one of its ingress node, so it may have
        /// been evicted itself.
        TooOld,
        /// The log is full.
        Full,
    }

    /// The result of fencing an attempt, which a sender requests after it lost its link.
    pub enum FenceOutcome {
        /// The attempt did not run and never will.
        NotRun,
        /// The attempt was started before it could be fenced, so it may have run.
        Started,
        /// The attempt may have run, at an earlier incarnation of this node or before the log's
        /// retention period, or the log is full.
        Unknown,
    }

    enum AttemptState {
        Started,
        Fenced,
    }
}

plain! {
    /// The attempts that one incarnation of a node has started or fenced.
    #[derive(Hash)]
    pub struct AttemptLog {
        options: Options,
        attempts: BTreeMap<AttemptId, AttemptState>,
        insertion_order: VecDeque<(Instant, AttemptId)>,
        evicted: BTreeMap<ProcessName, (Incarnation, u64)>,
    }
}

impl AttemptLog {
    /// Creates an empty log, which knows nothing of earlier incarnations.
    #[must_use]
    pub fn open(options: Options) -> Self {
        AttemptLog {
            options,
            attempts: BTreeMap::new(),
            insertion_order: VecDeque::new(),
            evicted: BTreeMap::new(),
        }
    }

    /// Evicts expired attempts. From then on, attempts up to the last evicted one of the same
    /// ingress node are refused, since the log can't tell whether they ran.
    pub fn tick(&mut self, now: Instant) {
        let has_expired = |(at, _): &(Instant, AttemptId)| *at + self.options.retention <= now;
        while let Some((_, attempt)) = self
            .insertion_order
            .pop_front_if(|entry| has_expired(entry))
        {
            self.attempts.remove(&attempt);
            let number = (attempt.incarnation, attempt.number);
            let last = self.evicted.entry(attempt.ingress).or_insert(number);
            *last = number.max(*last);
        }
    }
}

impl AttemptLog {
    /// Decides whether an attempt that was addressed to `incarnation` of this node may run, and
    /// records it as started if so.
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
            None if self.is_too_old(attempt) => return StartOutcome::Refused(StartRefusal::TooOld),
            None => {}
        }
        if !self.record(attempt, AttemptState::Started, now) {
            return StartOutcome::Refused(StartRefusal::Full);
        }
        StartOutcome::Run
    }

    /// Fences an attempt that was addressed to `incarnation` of this node, unless it has started.
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
            None if self.is_too_old(attempt) => FenceOutcome::Unknown,
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

    fn is_too_old(&self, attempt: &AttemptId) -> bool {
        let number = (attempt.incarnation, attempt.number);
        self.evicted
            .get(&attempt.ingress)
            .is_some_and(|last| number <= *last)
    }
}

impl AttemptLog {
    /// The number of attempts in the log.
    #[must_use]
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Whether the log holds no attempt.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }
}
