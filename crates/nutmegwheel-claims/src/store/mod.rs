//! A seed's in-memory store of claims, and its recovery after a restart.

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

/// How long a seed keeps the record of a request after its last update.
///
/// It exceeds the longest request deadline, so that no attempt can run after its record expired.
pub const RETENTION: Duration = Duration::from_mins(15);
/// The number of attempts per request above which a seed drops the records of released ones.
pub const MAX_ATTEMPTS: usize = 8;
/// How long a seed keeps the record of a request whose attempts were all released.
pub const RELEASED_RETENTION: Duration = Duration::from_secs(10);

plain_copy! {
    /// Limits the memory of a [`ClaimStore`].
    pub struct Bounds {
        /// The maximum number of requests; when it is reached, new claims are refused.
        pub max_requests: usize,
        /// The maximum size of all stored answers in bytes; answers beyond it are not stored.
        pub max_answer_bytes: usize,
        /// How long the record of a request is kept after its last update.
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
    /// Configures a [`ClaimStore`].
    #[derive(Hash)]
    pub struct Options {
        /// The name of the seed.
        pub name: ProcessName,
        /// The incarnation of the seed.
        pub incarnation: Incarnation,
        /// The names of all seeds of the data centre.
        pub seeds: Vec<ProcessName>,
        /// The generation of the list in `seeds`.
        pub generation: SeedGeneration,
        /// The limits on the memory of the store.
        pub bounds: Bounds,
        /// The time at which the seed process started.
        pub now: Instant,
    }

    /// The claims that a seed has granted, with the last reported phases of their attempts.
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

impl ClaimStore {
    /// Creates an empty store. It grants nothing until it has recovered the claims that a previous
    /// incarnation may have granted.
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

    /// Ends the recovery immediately. The caller must have a confirmation from the control log that
    /// this seed was never active before, so that it has lost no claims.
    ///
    /// The log must record each seed for which it gave this confirmation, and must never give it
    /// twice for the same seed.
    pub fn skip_recovery(&mut self) {
        self.recovery = None;
    }

    /// Switches to a newer seed list, which must differ from the previous one in one name.
    pub fn set_generation(&mut self, generation: SeedGeneration) {
        self.generation = self.generation.max(generation);
    }

    /// Removes expired records, and ends the recovery when it is complete. The caller must call
    /// this about once a second.
    pub fn tick(&mut self, now: Instant) {
        self.table.expire(now);
        self.recovery.take_if(|r| r.is_complete(now));
    }
}

impl ClaimStore {
    /// Whether the recovery is still in progress.
    #[must_use]
    pub fn is_recovering(&self) -> bool {
        self.recovery.is_some()
    }

    /// The number of requests on record.
    #[must_use]
    pub fn request_count(&self) -> usize {
        self.table.len()
    }

    /// The size of all stored answers in bytes.
    #[must_use]
    pub fn answer_bytes(&self) -> usize {
        self.table.answer_bytes()
    }
}

impl ClaimStore {
    /// Decides on a claim and returns the reply to the ingress node.
    pub fn claim(&mut self, req: &ClaimRequest, now: Instant) -> ClaimReply {
        self.tick(now);
        ClaimReply {
            attempt: req.attempt.clone(),
            incarnation: self.incarnation,
            vote: self.vote(req, now),
            peers: self.peers.clone(),
        }
    }

    /// Records the reported progress of an attempt.
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
