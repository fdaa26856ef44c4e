//! Quarantine of requests that crash the backend servers they run on; see docs/POLICY.md.
//!
//! All requests in flight at a crash are suspects. A node runs only one suspect at a time, so that
//! the next crash distinguishes its cause from requests that merely ran at the same time.

mod history;
mod types;

use std::{
    collections::{HashMap, HashSet},
    time::Instant,
};

pub use types::{Crash, Fingerprint, Options, Suspicion, Verdict};

use history::CrashHistory;

/// The crash histories that one node knows by fingerprint, and the suspect that runs at its backend
/// server.
#[derive(Debug)]
pub struct Quarantine {
    options: Options,
    histories: HashMap<Fingerprint, CrashHistory>,
    running_suspect: Option<Fingerprint>,
}

impl Quarantine {
    /// Creates an empty quarantine.
    #[must_use]
    pub fn open(options: Options) -> Self {
        Self {
            options,
            histories: HashMap::new(),
            running_suspect: None,
        }
    }

    /// Records the crash of a backend server with these requests in flight, and returns the updates
    /// for the other nodes. Several requests with the same fingerprint count once.
    pub fn record_crash(
        &mut self,
        now: Instant,
        crash: &Crash,
        in_flight: impl IntoIterator<Item = Fingerprint>,
    ) -> Vec<Suspicion> {
        self.running_suspect = None;
        let fingerprints: HashSet<_> = in_flight.into_iter().collect();
        let mut updates = Vec::with_capacity(fingerprints.len());
        for fingerprint in fingerprints {
            if self.add(now, fingerprint, crash.clone(), now, false) {
                updates.push(suspicion(now, fingerprint, crash, now, false));
            }
        }
        updates
    }

    /// Clears a fingerprint after a request with it has completed, and returns the updates for the
    /// other nodes.
    pub fn record_completion(&mut self, now: Instant, fingerprint: Fingerprint) -> Vec<Suspicion> {
        self.end_run(fingerprint);
        let Some(history) = self.histories.get_mut(&fingerprint) else {
            return Vec::new();
        };
        history.clear();
        suspicions(now, fingerprint, history).collect()
    }

    /// Merges an update of another node, and returns whether it was new and must be passed on.
    pub fn merge(&mut self, now: Instant, suspicion: &Suspicion) -> bool {
        if suspicion.age >= self.options.suspicion_ttl {
            return false;
        }
        let at = now.checked_sub(suspicion.age).unwrap_or(now);
        let Suspicion {
            fingerprint,
            crash,
            is_cleared,
            ..
        } = suspicion;
        self.add(now, *fingerprint, crash.clone(), at, *is_cleared)
    }

    /// Removes expired crashes. Call this about once a second.
    pub fn expire(&mut self, now: Instant) {
        let ttl = self.options.suspicion_ttl;
        self.histories.retain(|_, history| {
            history.expire(now, ttl);
            !history.is_empty()
        });
    }

    fn add(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        crash: Crash,
        at: Instant,
        is_cleared: bool,
    ) -> bool {
        self.evict_if_full(now, fingerprint);
        let history = self.histories.entry(fingerprint).or_default();
        history.add(crash, at, is_cleared)
    }

    /// Makes room for a new fingerprint if the maximum number is stored. The one whose last crash
    /// is the oldest is evicted, a quarantined one only if all are quarantined.
    fn evict_if_full(&mut self, now: Instant, fingerprint: Fingerprint) {
        let is_known = self.histories.contains_key(&fingerprint);
        if is_known || self.histories.len() < self.options.max_fingerprints {
            return;
        }
        let evicted = self
            .histories
            .iter()
            .min_by_key(|(_, history)| (self.is_quarantined(now, history), history.last_crash()))
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(evicted) = evicted {
            self.histories.remove(&evicted);
        }
    }
}

impl Quarantine {
    /// Begins a run at the local backend server.
    ///
    /// Returns `false` for a quarantined fingerprint, and for a suspect while another suspect runs.
    /// The request must then be refused as not run or sent to another backend server.
    pub fn try_begin_run(&mut self, now: Instant, fingerprint: Fingerprint) -> bool {
        match self.verdict(now, fingerprint) {
            Verdict::Clear => true,
            Verdict::Quarantined { .. } => false,
            Verdict::Suspect if self.running_suspect.is_some() => false,
            Verdict::Suspect => {
                self.running_suspect = Some(fingerprint);
                true
            }
        }
    }

    /// Ends a run without a conclusion, for example after a cancellation.
    pub fn end_run(&mut self, fingerprint: Fingerprint) {
        if self.running_suspect == Some(fingerprint) {
            self.running_suspect = None;
        }
    }
}

impl Quarantine {
    /// Returns how to treat a request with this fingerprint.
    #[must_use]
    pub fn verdict(&self, now: Instant, fingerprint: Fingerprint) -> Verdict {
        let Some(history) = self.histories.get(&fingerprint) else {
            return Verdict::Clear;
        };
        let (crashes, last_crash) = history.active(now, &self.options);
        let ends_at = last_crash.map(|last_crash| last_crash + self.options.quarantine_time);
        let remaining = ends_at
            .map(|ends_at| ends_at.saturating_duration_since(now))
            .unwrap_or_default();
        if crashes == 0 {
            Verdict::Clear
        } else if crashes < self.options.crashes_to_quarantine || remaining.is_zero() {
            Verdict::Suspect
        } else {
            Verdict::Quarantined { remaining }
        }
    }

    /// The current state as updates for a node that joins or was partitioned.
    pub fn export(&self, now: Instant) -> impl Iterator<Item = Suspicion> {
        self.histories
            .iter()
            .flat_map(move |(fingerprint, history)| suspicions(now, *fingerprint, history))
    }

    /// The number of fingerprints that are stored.
    #[must_use]
    pub fn len(&self) -> usize {
        self.histories.len()
    }

    /// Whether no fingerprint is stored.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.histories.is_empty()
    }

    fn is_quarantined(&self, now: Instant, history: &CrashHistory) -> bool {
        history.active(now, &self.options).0 >= self.options.crashes_to_quarantine
    }
}

fn suspicions(
    now: Instant,
    fingerprint: Fingerprint,
    history: &CrashHistory,
) -> impl Iterator<Item = Suspicion> {
    history
        .crashes()
        .map(move |(crash, entry)| suspicion(now, fingerprint, crash, entry.at, entry.is_cleared))
}

fn suspicion(
    now: Instant,
    fingerprint: Fingerprint,
    crash: &Crash,
    at: Instant,
    is_cleared: bool,
) -> Suspicion {
    let age = now.saturating_duration_since(at);
    Suspicion {
        fingerprint,
        crash: crash.clone(),
        age,
        is_cleared,
    }
}
