use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use nutmegwheel_types::{KeyHash, plain, plain_copy};

use super::{LEASE_DRAIN, majority};
use crate::{LinkAddress, Withdraw, WithdrawAck};

plain! {
    /// The state that a process keeps as a seed of its data centre: whether its confirmations
    /// count, and which seeds hold each withdrawn key, until the withdrawal has taken effect there.
    #[derive(Hash)]
    pub struct SeedState {
        own: LinkAddress,
        others: Vec<LinkAddress>,
        synced: bool,
        next_sequence: u64,
        pending: BTreeMap<KeyHash, Pending>,
        in_force: BTreeSet<KeyHash>,
        open_requests: Vec<OpenRequest>,
    }

    /// The count of the holders of one committed withdrawal, in two passes.
    ///
    /// The first pass gathers a majority. The second asks the same seeds again, and starts over
    /// when one has restarted since. This proves that the whole majority held the key at one
    /// moment; a count of answers from before and after restarts would not.
    #[derive(Hash)]
    struct Pending {
        holders: BTreeMap<LinkAddress, LogId>,
        verified: BTreeSet<LinkAddress>,
        majority_at: Option<Instant>,
    }

    #[derive(Hash)]
    struct OpenRequest {
        sequence: u64,
        to: LinkAddress,
        sent_at: Instant,
        pass: Pass,
        keys: Vec<KeyHash>,
    }
}

/// The id of a seed's list of withdrawn keys, which changes when the seed restarts.
type LogId = u64;

plain_copy! {
    /// The processes whose state a restarted seed has read completely.
    pub struct SyncProgress {
        /// The number of other, synced seeds of the data centre.
        pub seeds: usize,
        /// Whether it has caught up with an authoritative control VM, which holds all committed
        /// state.
        pub authority: bool,
    }

    enum Pass {
        Gather,
        Verify,
    }

    enum CountOutcome {
        Continued,
        Restarted,
    }
}

/// The time after which an unanswered request is sent again.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
const MAX_KEYS_PER_REQUEST: usize = 64;

impl SeedState {
    /// Creates the state of the seed at `own` among `seeds`.
    ///
    /// It is not synced yet: since a seed keeps nothing on disk, its confirmations count again only
    /// once it has caught up with enough others to hold all that it confirmed before its restart.
    #[must_use]
    pub fn open(own: LinkAddress, seeds: &[LinkAddress], first_sequence: u64) -> Self {
        Self {
            own,
            others: seeds.iter().copied().filter(|s| *s != own).collect(),
            synced: false,
            next_sequence: first_sequence,
            pending: BTreeMap::new(),
            in_force: BTreeSet::new(),
            open_requests: Vec::new(),
        }
    }

    /// Marks the seed as synced if it has caught up with an authority or with enough other seeds.
    ///
    /// These other seeds must intersect every majority that this seed may have been part of before
    /// its restart, so their number must be that of all seeds minus a majority plus one.
    pub fn update_synced(&mut self, progress: SyncProgress) {
        let seeds = self.others.len() + 1;
        let min_seeds = seeds - majority(seeds) + 1;
        if progress.authority || progress.seeds >= min_seeds {
            self.synced = true;
        }
    }

    /// Starts to count the holders of committed withdrawals.
    pub fn track_committed(&mut self, now: Instant, keys: &[KeyHash]) {
        let is_only_seed = self.others.is_empty();
        for key in keys {
            if !self.in_force.contains(key) {
                self.pending.entry(*key).or_insert_with(|| Pending {
                    holders: BTreeMap::new(),
                    verified: BTreeSet::new(),
                    majority_at: is_only_seed.then_some(now),
                });
            }
        }
    }

    /// Returns the requests that are due, to seeds not yet known to hold a committed key.
    pub fn due_requests(&mut self, now: Instant) -> Vec<(LinkAddress, Withdraw)> {
        self.open_requests
            .retain(|request| now.saturating_duration_since(request.sent_at) < RETRY_INTERVAL);
        let mut requests = Vec::new();
        for to in self.others.clone() {
            for pass in [Pass::Gather, Pass::Verify] {
                let keys = self.due_keys(to, pass);
                if !keys.is_empty() {
                    requests.push(self.open_request(now, to, pass, keys));
                }
            }
        }
        requests
    }

    /// The keys that a seed must be asked about in a pass and that no open request covers.
    fn due_keys(&self, seed: LinkAddress, pass: Pass) -> Vec<KeyHash> {
        let is_requested = |key: &KeyHash| {
            self.open_requests
                .iter()
                .any(|r| r.to == seed && r.pass == pass && r.keys.contains(key))
        };
        self.pending
            .iter()
            .filter(|(_, pending)| pending.needs_request(seed, pass, self.required_others()))
            .map(|(key, _)| *key)
            .filter(|key| !is_requested(key))
            .take(MAX_KEYS_PER_REQUEST)
            .collect()
    }

    fn open_request(
        &mut self,
        now: Instant,
        to: LinkAddress,
        pass: Pass,
        keys: Vec<KeyHash>,
    ) -> (LinkAddress, Withdraw) {
        let sequence = self.next_sequence;
        self.next_sequence = sequence.wrapping_add(1);
        let request = Withdraw {
            sequence,
            committed: true,
            hashes: keys.clone(),
        };
        self.open_requests.push(OpenRequest {
            sequence,
            to,
            sent_at: now,
            pass,
            keys,
        });
        (to, request)
    }

    /// Counts `from` among the holders of the keys that its answer to an open request lists.
    pub fn record_ack(&mut self, now: Instant, from: LinkAddress, answer: &WithdrawAck) {
        let request = self
            .open_requests
            .iter()
            .position(|request| request.sequence == answer.sequence && request.to == from);
        let Some(position) = request else {
            return;
        };
        let request = self.open_requests.swap_remove(position);
        let required = self.required_others();
        for key in request.keys.iter().filter(|key| answer.held.contains(key)) {
            let Some(pending) = self.pending.get_mut(key) else {
                continue;
            };
            if pending.count(now, from, answer.log_id, request.pass, required)
                == CountOutcome::Restarted
            {
                // Their answers would belong to the abandoned count.
                self.open_requests
                    .retain(|request| !request.keys.contains(key));
            }
        }
    }

    /// Marks withdrawals as in force once every lease on a view without the key has expired.
    pub fn advance_in_force(&mut self, now: Instant) {
        let has_drained = |pending: &Pending| {
            pending
                .majority_at
                .is_some_and(|at| now.saturating_duration_since(at) >= LEASE_DRAIN)
        };
        let completed: Vec<KeyHash> = self
            .pending
            .iter()
            .filter(|(_, pending)| has_drained(pending))
            .map(|(key, _)| *key)
            .collect();
        for key in completed {
            self.pending.remove(&key);
            self.in_force.insert(key);
        }
    }
}

impl SeedState {
    /// Whether the seed has caught up since its restart, so that its confirmations count.
    #[must_use]
    pub fn is_synced(&self) -> bool {
        self.synced
    }

    /// Whether the withdrawal is in force: no request with the key can start in this data centre
    /// any more.
    #[must_use]
    pub fn is_in_force(&self, key: &KeyHash) -> bool {
        self.in_force.contains(key)
    }

    /// The number of other seeds that form a majority together with this one.
    fn required_others(&self) -> usize {
        majority(self.others.len() + 1) - 1
    }
}

impl Pending {
    fn needs_request(&self, seed: LinkAddress, pass: Pass, required: usize) -> bool {
        if self.majority_at.is_some() {
            return false;
        }
        let is_gathered = self.holders.len() >= required;
        match pass {
            Pass::Gather => !is_gathered && !self.holders.contains_key(&seed),
            Pass::Verify => {
                is_gathered && self.holders.contains_key(&seed) && !self.verified.contains(&seed)
            }
        }
    }

    fn count(
        &mut self,
        now: Instant,
        from: LinkAddress,
        log_id: LogId,
        pass: Pass,
        required: usize,
    ) -> CountOutcome {
        match pass {
            // Only the seeds gathered first are verified; a later holder would not have held the
            // key when the majority was gathered.
            Pass::Gather if self.holders.len() < required => {
                self.holders.insert(from, log_id);
            }
            Pass::Gather => {}
            Pass::Verify if self.holders.get(&from) == Some(&log_id) => {
                self.verified.insert(from);
            }
            Pass::Verify => {
                self.holders.clear();
                self.verified.clear();
                return CountOutcome::Restarted;
            }
        }
        if self.majority_at.is_none() && self.verified.len() >= required {
            self.majority_at = Some(now);
        }
        CountOutcome::Continued
    }
}
