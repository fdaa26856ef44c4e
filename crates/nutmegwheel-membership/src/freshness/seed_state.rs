use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use nutmegwheel_types::{KeyHash, plain, plain_copy};

use super::{LEASE_DRAIN, majority};
use crate::{LinkAddress, Withdraw, WithdrawAck};

plain! {
    /// What a process does as a seed of its data centre: it confirms views, and counts on how many
    /// seeds a withdrawn key rests until the withdrawal is in force in the data centre.
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

    /// Counting the holders of one committed withdrawal, in two passes.
    ///
    /// The first pass gathers a majority; the second asks it again, and counts only answers of the
    /// same lives. So there is a moment at which the whole majority held the key, which a count of
    /// answers spread over restarts would not prove.
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

/// The id of a seed's list of withdrawn keys, another one in each of its lives.
type LogId = u64;

plain_copy! {
    /// What a restarted seed has caught up with.
    pub struct SyncProgress {
        /// The number of other, settled seeds of the data centre.
        pub seeds: usize,
        /// Whether it has caught up with a control VM that holds all that was committed.
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

/// How soon a seed that does not answer is asked again.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// The number of keys in one request.
const MAX_KEYS_PER_REQUEST: usize = 64;

/// Lifecycle.
impl SeedState {
    /// Opens the duty of the seed at `own` among `seeds`.
    ///
    /// It is not settled: a seed keeps no disk, so that its word counts again only when it has
    /// caught up with enough others to hold all that an earlier life of it had confirmed.
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

    /// Settles the seed if it has caught up with an authority or with enough other seeds.
    ///
    /// Enough are so many that they meet every majority that may have counted on this seed's
    /// earlier life: all seeds less a majority, plus one.
    pub fn update_synced(&mut self, progress: SyncProgress) {
        let seeds = self.others.len() + 1;
        let min_seeds = seeds - majority(seeds) + 1;
        if progress.authority || progress.seeds >= min_seeds {
            self.synced = true;
        }
    }

    /// Starts to count the holders of withdrawals that are committed.
    pub fn track_committed(&mut self, now: Instant, keys: &[KeyHash]) {
        let is_alone = self.others.is_empty();
        for key in keys {
            if !self.in_force.contains(key) {
                self.pending.entry(*key).or_insert_with(|| Pending {
                    holders: BTreeMap::new(),
                    verified: BTreeSet::new(),
                    majority_at: is_alone.then_some(now),
                });
            }
        }
    }

    /// Returns the requests that are due to seeds that are not known to hold a committed key.
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

    /// The keys that a seed must be asked about in a pass and is not being asked about.
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

    /// Counts another seed among the holders, by its answer to a request of this life.
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
                // Open answers belong to the count that was given up.
                self.open_requests
                    .retain(|request| !request.keys.contains(key));
            }
        }
    }

    /// Moves the withdrawals on which no older lease can be left to those in force.
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

/// Access.
impl SeedState {
    /// Says whether the seed's word counts.
    #[must_use]
    pub fn is_synced(&self) -> bool {
        self.synced
    }

    /// Says whether no request with the key can start in the data centre any more.
    #[must_use]
    pub fn is_in_force(&self, key: &KeyHash) -> bool {
        self.in_force.contains(key)
    }

    /// The number of other seeds that make a majority together with this one.
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
            // A holder that came late would not have been a holder when the majority was gathered.
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
