use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

use nutmegwheel_types::{ProcessName, RequestId, plain};

use super::{ClaimStore, Options};
use crate::messages::{RecoverReply, RecoverRequest};

/// The maximum number of claims on one page of a recovery.
const PAGE_SIZE: usize = 512;
/// The margin added to the retention period, in percent: twice the rate by which clocks may differ.
const CLOCK_DRIFT_MARGIN_PERCENT: u32 = 4;

plain! {
    /// The progress of a restarted seed in reading the claims of the other seeds.
    #[derive(Hash)]
    pub(super) struct Recovery {
        majority: usize,
        others: BTreeSet<ProcessName>,
        cursors: BTreeMap<ProcessName, Option<RequestId>>,
        finished: BTreeSet<ProcessName>,
        deadline: Instant,
    }
}

impl Recovery {
    pub(super) fn open(options: &Options) -> Self {
        let is_other = |seed: &&ProcessName| **seed != options.name;
        let retention = options.bounds.retention;
        Recovery {
            majority: options.seeds.len() / 2 + 1,
            others: options.seeds.iter().filter(is_other).cloned().collect(),
            cursors: BTreeMap::new(),
            finished: BTreeSet::new(),
            deadline: options.now + retention + retention * CLOCK_DRIFT_MARGIN_PERCENT / 100,
        }
    }

    pub(super) fn is_complete(&self, now: Instant) -> bool {
        self.finished.len() >= self.majority || now >= self.deadline
    }
}

impl ClaimStore {
    /// Returns the unanswered page requests to the other seeds. The caller must resend them about
    /// every 200 ms.
    #[must_use]
    pub fn recover_requests(&self) -> Vec<(ProcessName, RecoverRequest)> {
        let Some(recovery) = &self.recovery else {
            return Vec::new();
        };
        let unfinished = recovery.others.difference(&recovery.finished);
        unfinished
            .map(|seed| (seed.clone(), self.recover_request(recovery, seed)))
            .collect()
    }

    /// Returns a page of claims for a recovering seed, or `None` if this store is recovering itself
    /// or uses another seed list.
    ///
    /// From then on, every claim reply of this seed contains the new incarnation of the recovering
    /// seed. Without it, an ingress node might count two grants together: one that the recovering
    /// seed has lost, and a later one of this seed, which the recovering seed did not read.
    pub fn serve_recovery(&mut self, req: &RecoverRequest, now: Instant) -> Option<RecoverReply> {
        self.tick(now);
        if self.is_recovering() || self.generation != req.generation {
            return None;
        }
        let known = self.peers.entry(req.seed.clone()).or_default();
        *known = req.incarnation.max(*known);
        let claims = self.table.page(req.after, PAGE_SIZE, now);
        let is_last = claims.len() < PAGE_SIZE;
        Some(RecoverReply {
            incarnation: req.incarnation,
            after: req.after,
            claims,
            is_last,
        })
    }

    /// Merges a page of claims of another seed. Late and duplicate pages are ignored.
    pub fn handle_recovery_page(&mut self, seed: &ProcessName, reply: RecoverReply, now: Instant) {
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        let expected = recovery.cursors.get(seed).copied().flatten();
        let is_expected = recovery.others.contains(seed) && reply.after == expected;
        if reply.incarnation != self.incarnation || !is_expected {
            return;
        }
        if let Some(last) = reply.claims.last() {
            recovery.cursors.insert(seed.clone(), Some(last.id));
        }
        if reply.is_last {
            recovery.finished.insert(seed.clone());
        }
        for claim in reply.claims {
            let updated_at = now.checked_sub(claim.age).unwrap_or(now);
            for (attempt, phase) in claim.attempts {
                self.table.merge(claim.id, attempt, phase, updated_at);
            }
        }
        self.recovery.take_if(|r| r.is_complete(now));
    }

    fn recover_request(&self, recovery: &Recovery, seed: &ProcessName) -> RecoverRequest {
        RecoverRequest {
            seed: self.name.clone(),
            incarnation: self.incarnation,
            generation: self.generation,
            after: recovery.cursors.get(seed).copied().flatten(),
        }
    }
}
