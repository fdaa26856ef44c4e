//! A seed's side of claims: its records, which live in memory, and its recovery after a restart.

mod recovery;
mod table;

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use nutmegwheel_types::{Incarnation, ProcessName, plain, plain_copy};

use crate::{
    SeedGeneration,
    messages::{ClaimReply, ClaimRequest, Update, Vote},
};
use recovery::Recovery;
use table::ClaimTable;

/// How long a seed keeps what it knows of a request after the last news of it.
///
/// It is longer than the longest deadline, so that a request is remembered while it may run.
pub const RETENTION: Duration = Duration::from_mins(15);
/// The attempts of one request that a seed remembers; above it, released ones are dropped.
pub const MAX_ATTEMPTS: usize = 8;
/// How long a seed remembers that an attempt was released.
pub const RELEASED_RETENTION: Duration = Duration::from_secs(10);

plain_copy! {
    /// The bounds of a seed's memory.
    pub struct Bounds {
        /// The number of requests; when it is reached new claims are refused.
        pub max_requests: usize,
        /// The bytes of all kept answers; above it answers are not kept.
        pub max_answer_bytes: usize,
        /// How long a request is remembered after the last news of it.
        pub retention: Duration,
    }
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            max_requests: 65_536,
            max_answer_bytes: 8 * 1024 * 1024,
            retention: RETENTION,
        }
    }
}

plain! {
    /// How a seed begins its life.
    #[derive(Hash)]
    pub struct Options {
        /// Its name.
        pub name: ProcessName,
        /// Its life.
        pub incarnation: Incarnation,
        /// The names of all seeds of the data centre.
        pub seeds: Vec<ProcessName>,
        /// The number of that list.
        pub generation: SeedGeneration,
        /// The bounds of its memory.
        pub bounds: Bounds,
        /// The time at which the process started.
        pub now: Instant,
    }

    /// The part of a seed that holds claims.
    #[derive(Hash)]
    pub struct ClaimStore {
        name: ProcessName,
        incarnation: Incarnation,
        generation: SeedGeneration,
        peers: BTreeMap<ProcessName, Incarnation>,
        table: ClaimTable,
        recovery: Option<Recovery>,
    }
}

/// Lifecycle.
impl ClaimStore {
    /// Starts a seed that has forgotten everything and grants nothing until it has recovered.
    #[must_use]
    pub fn open(options: Options) -> Self {
        let recovery = Recovery::open(&options);
        ClaimStore {
            name: options.name,
            incarnation: options.incarnation,
            generation: options.generation,
            peers: BTreeMap::new(),
            table: ClaimTable::open(options.bounds),
            recovery: Some(recovery),
        }
    }

    /// Takes the word of the control log that this seed never served before, so that it has forgotten
    /// nothing.
    ///
    /// The log must name each seed that ever got this word, and give it to none twice.
    pub fn skip_recovery(&mut self) {
        self.recovery = None;
    }

    /// Goes over to a newer list of seeds that differs from the one before in one name.
    pub fn set_generation(&mut self, generation: SeedGeneration) {
        self.generation = self.generation.max(generation);
    }

    /// Forgets what is over; to be called every second or so.
    pub fn tick(&mut self, now: Instant) {
        self.table.expire(now);
        self.recovery.take_if(|r| r.is_complete(now));
    }
}

/// Access.
impl ClaimStore {
    /// Whether it still learns what it may have forgotten.
    #[must_use]
    pub fn is_recovering(&self) -> bool {
        self.recovery.is_some()
    }

    /// The number of requests it remembers.
    #[must_use]
    pub fn request_count(&self) -> usize {
        self.table.len()
    }

    /// The bytes of the answers it keeps.
    #[must_use]
    pub fn answer_bytes(&self) -> usize {
        self.table.answer_bytes()
    }
}

/// Requests.
impl ClaimStore {
    /// Decides on a claim.
    pub fn claim(&mut self, req: &ClaimRequest, now: Instant) -> ClaimReply {
        self.tick(now);
        ClaimReply {
            attempt: req.attempt.clone(),
            incarnation: self.incarnation,
            vote: self.vote(req, now),
            peers: self.peers.clone(),
        }
    }

    /// Takes in how an attempt went on.
    pub fn update(&mut self, update: Update, now: Instant) {
        self.table
            .merge(update.id, update.attempt, update.phase, now);
    }

    fn vote(&mut self, req: &ClaimRequest, now: Instant) -> Vote {
        if self.generation != req.generation {
            return Vote::OtherGeneration(self.generation);
        }
        if self.is_recovering() {
            return Vote::Recovering;
        }
        self.table.claim(req, now)
    }
}
