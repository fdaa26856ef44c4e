use std::time::{Duration, Instant};

use nutmegwheel_types::{ConfigVersion, plain, plain_copy};

use super::{LEASE_DURATION, majority};
use crate::{Confirmation, LinkAddress, Pull, Renew, WithdrawnPart, WithdrawnSet};

plain! {
    /// The parameters of a [`Lease`].
    #[derive(Hash)]
    pub struct LeaseOptions {
        /// The seeds of the data centre.
        pub seeds: Vec<LinkAddress>,
        /// The number of the first request, drawn at random so that no answer to a request from
        /// before a restart matches.
        pub first_sequence: u64,
        /// The time between requests to a seed that answers.
        pub interval: Duration,
        /// The time after which an unanswered request is sent again, and another seed is asked too.
        pub retry: Duration,
    }

    /// The lease of a process on the view that it holds, renewed by its data centre's seeds.
    ///
    /// The validity of a confirmation starts when it was requested, and is checked at each use, so
    /// that neither a late answer nor a pause of the process extends the lease.
    #[derive(Hash)]
    pub struct Lease {
        options: LeaseOptions,
        next_sequence: u64,
        seeds: Vec<SeedEntry>,
    }

    #[derive(Hash)]
    struct SeedEntry {
        address: LinkAddress,
        open_requests: Vec<OpenRequest>,
        last_request_at: Option<Instant>,
        is_unsynced: bool,
        pending: Option<PendingConfirmation>,
        confirmed_at: Option<Instant>,
        authority: bool,
        read_position: Option<ReadPosition>,
    }
}

plain_copy! {
    /// The effect of a confirmation.
    pub enum ConfirmOutcome {
        /// The confirmation answers no open request, or the seed is not synced.
        Ignored,
        /// The confirmation counts towards the lease.
        Renewed,
        /// The confirmation counts once the process holds the keys and the version of the seed.
        Behind {
            /// The range of withdrawn keys to request from the seed, or `None` if none are missing.
            pull: Option<Pull>,
            /// Whether to fetch the configuration from the seed.
            fetch: bool,
        },
    }

    struct OpenRequest {
        sequence: u64,
        sent_at: Instant,
    }

    struct PendingConfirmation {
        sent_at: Instant,
        confirmation: Confirmation,
    }

    struct ReadPosition {
        log_id: u64,
        count: u64,
    }
}

/// The maximum number of open requests to a seed, above which the oldest is dropped.
const MAX_OPEN_REQUESTS: usize = 4;

impl LeaseOptions {
    /// The options for a lease from `seeds`, renewed once a second.
    #[must_use]
    pub fn with_default_intervals(seeds: Vec<LinkAddress>, first_sequence: u64) -> Self {
        Self {
            seeds,
            first_sequence,
            interval: Duration::from_secs(1),
            retry: Duration::from_millis(300),
        }
    }
}

impl Lease {
    /// Creates a lease that no seed has confirmed yet.
    #[must_use]
    pub fn open(options: LeaseOptions) -> Self {
        let mut seeds: Vec<SeedEntry> =
            options.seeds.iter().copied().map(SeedEntry::open).collect();
        if !seeds.is_empty() {
            let offset = options.first_sequence % u64::try_from(seeds.len()).unwrap_or(1);
            seeds.rotate_left(usize::try_from(offset).unwrap_or_default());
        }
        Self {
            next_sequence: options.first_sequence,
            options,
            seeds,
        }
    }

    /// Returns the renewal requests that are due.
    ///
    /// As long as a majority of the seeds answers, only these are asked, which halves the load of
    /// the seeds; if `all` is set, every seed is asked.
    pub fn renew(&mut self, now: Instant, all: bool) -> Vec<(LinkAddress, Renew)> {
        let mut missing = if all {
            self.seeds.len()
        } else {
            majority(self.seeds.len())
        };
        let mut requests = Vec::new();
        for index in 0..self.seeds.len() {
            if missing == 0 {
                break;
            }
            if self.seeds[index].is_due(now, &self.options) {
                requests.push(self.open_request(now, index));
            }
            if !self.seeds[index].is_unresponsive(now, &self.options) {
                missing -= 1;
            }
        }
        requests
    }

    fn open_request(&mut self, now: Instant, index: usize) -> (LinkAddress, Renew) {
        let sequence = self.next_sequence;
        self.next_sequence = sequence.wrapping_add(1);
        let seed = &mut self.seeds[index];
        if seed.open_requests.len() == MAX_OPEN_REQUESTS {
            seed.open_requests.remove(0);
        }
        let sent_at = now;
        seed.open_requests.push(OpenRequest { sequence, sent_at });
        seed.last_request_at = Some(sent_at);
        (seed.address, Renew { sequence })
    }

    /// Handles a confirmation; `version` and `withdrawn` are those that this process holds.
    pub fn confirm(
        &mut self,
        from: LinkAddress,
        confirmation: &Confirmation,
        version: ConfigVersion,
        withdrawn: &WithdrawnSet,
    ) -> ConfirmOutcome {
        let Some(seed) = self.seed_mut(from) else {
            return ConfirmOutcome::Ignored;
        };
        let Some(sent_at) = seed.close_request(confirmation.sequence) else {
            return ConfirmOutcome::Ignored;
        };
        seed.is_unsynced = !confirmation.synced;
        if seed.is_unsynced {
            return ConfirmOutcome::Ignored;
        }
        let confirmation = *confirmation;
        seed.pending = Some(PendingConfirmation {
            sent_at,
            confirmation,
        });
        seed.apply_pending(version, withdrawn)
    }

    /// Records that a range of a seed's list was read and added to this process's withdrawn keys.
    pub fn record_read(&mut self, from: LinkAddress, part: &WithdrawnPart) {
        let Some(seed) = self.seed_mut(from) else {
            return;
        };
        let read = seed.read_up_to(part.log_id);
        let length = u64::try_from(part.hashes.len()).unwrap_or_default();
        let end = part.from.saturating_add(length);
        if part.from <= read && end > read {
            let (log_id, count) = (part.log_id, end);
            seed.read_position = Some(ReadPosition { log_id, count });
        }
    }

    /// Counts the pending confirmations whose version and keys the process now holds.
    pub fn apply_pending(&mut self, version: ConfigVersion, withdrawn: &WithdrawnSet) {
        for seed in &mut self.seeds {
            seed.apply_pending(version, withdrawn);
        }
    }

    fn seed_mut(&mut self, address: LinkAddress) -> Option<&mut SeedEntry> {
        self.seeds.iter_mut().find(|seed| seed.address == address)
    }
}

impl Lease {
    /// Whether a majority confirmed the view within the last [`LEASE_DURATION`].
    #[must_use]
    pub fn is_valid(&self, now: Instant) -> bool {
        let confirmed = self.seeds.iter().filter(|seed| seed.is_fresh(now)).count();
        confirmed >= majority(self.seeds.len())
    }

    /// The number of seeds other than `own` that the process has caught up with since it started.
    #[must_use]
    pub fn synced_seed_count(&self, own: LinkAddress) -> usize {
        self.seeds
            .iter()
            .filter(|seed| seed.address != own && seed.confirmed_at.is_some())
            .count()
    }

    /// The time at which the open request with this sequence number was sent to a seed.
    #[must_use]
    pub fn sent_at(&self, to: LinkAddress, sequence: u64) -> Option<Instant> {
        let seed = self.seeds.iter().find(|seed| seed.address == to)?;
        let request = seed
            .open_requests
            .iter()
            .find(|request| request.sequence == sequence)?;
        Some(request.sent_at)
    }

    /// Whether the process has caught up with an authoritative control VM, which held all committed
    /// state.
    #[must_use]
    pub fn has_authority(&self) -> bool {
        self.seeds.iter().any(|seed| seed.authority)
    }

    /// The time since the request of the oldest confirmation that the lease needs for a majority.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let mut times: Vec<Instant> = self.seeds.iter().filter_map(|s| s.confirmed_at).collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        let oldest = times.get(majority(self.seeds.len()) - 1)?;
        Some(now.saturating_duration_since(*oldest))
    }
}

impl SeedEntry {
    fn open(address: LinkAddress) -> Self {
        Self {
            address,
            open_requests: Vec::new(),
            last_request_at: None,
            is_unsynced: false,
            pending: None,
            confirmed_at: None,
            authority: false,
            read_position: None,
        }
    }

    fn is_due(&self, now: Instant, options: &LeaseOptions) -> bool {
        let interval = if self.open_requests.is_empty() {
            options.interval
        } else {
            options.retry
        };
        self.last_request_at
            .is_none_or(|sent_at| now.saturating_duration_since(sent_at) >= interval)
    }

    fn is_unresponsive(&self, now: Instant, options: &LeaseOptions) -> bool {
        let first = self.open_requests.first();
        self.is_unsynced
            || first.is_some_and(|r| now.saturating_duration_since(r.sent_at) >= options.retry)
    }

    /// Closes the request and all older ones, and returns the time at which it was sent.
    fn close_request(&mut self, sequence: u64) -> Option<Instant> {
        let position = self
            .open_requests
            .iter()
            .position(|request| request.sequence == sequence)?;
        let sent_at = self.open_requests[position].sent_at;
        self.open_requests.drain(..=position);
        Some(sent_at)
    }

    fn read_up_to(&self, log_id: u64) -> u64 {
        match self.read_position {
            Some(position) if position.log_id == log_id => position.count,
            _ => 0,
        }
    }

    /// Counts the pending confirmation if the process holds its version and its keys.
    fn apply_pending(
        &mut self,
        version: ConfigVersion,
        withdrawn: &WithdrawnSet,
    ) -> ConfirmOutcome {
        let Some(PendingConfirmation {
            sent_at,
            confirmation,
        }) = self.pending
        else {
            return ConfirmOutcome::Ignored;
        };
        let (log_id, count) = (confirmation.log_id, confirmation.count);
        if withdrawn.count() == count && withdrawn.digest() == confirmation.digest {
            self.read_position = Some(ReadPosition { log_id, count });
        }
        let from = self.read_up_to(log_id);
        let pull = (from < count).then_some(Pull { log_id, from });
        let fetch = version < confirmation.version;
        if pull.is_some() || fetch {
            return ConfirmOutcome::Behind { pull, fetch };
        }
        self.pending = None;
        self.authority |= confirmation.authority;
        self.confirmed_at = self.confirmed_at.max(Some(sent_at));
        ConfirmOutcome::Renewed
    }

    fn is_fresh(&self, now: Instant) -> bool {
        self.confirmed_at
            .is_some_and(|sent_at| now.saturating_duration_since(sent_at) < LEASE_DURATION)
    }
}
