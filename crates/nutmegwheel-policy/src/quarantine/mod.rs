//! Requests that crash the backend servers that run them; see docs/POLICY.md.
//!
//! All requests in flight at a death are suspects. A suspect runs only where no other suspect
//! runs, so that the next death tells the guilty from those that shared a crash with them.

mod record;
mod types;

use std::{
    collections::{HashMap, HashSet},
    time::Instant,
};

pub use types::{Death, Fingerprint, Options, Suspicion, Verdict};

use record::Record;

/// What one node knows of fingerprints, and which suspects run at its backend server.
#[derive(Debug)]
pub struct Quarantine {
    options: Options,
    records: HashMap<Fingerprint, Record>,
    running_suspect: Option<Fingerprint>,
}

/// Lifecycle
impl Quarantine {
    /// Opens without any suspicion.
    #[must_use]
    pub fn open(options: Options) -> Self {
        Self {
            options,
            records: HashMap::new(),
            running_suspect: None,
        }
    }

    /// Records the death of a backend server with these requests in flight, and gives what to
    /// tell the other nodes. Each fingerprint counts once.
    pub fn record_death(
        &mut self,
        now: Instant,
        death: &Death,
        in_flight: impl IntoIterator<Item = Fingerprint>,
    ) -> Vec<Suspicion> {
        self.running_suspect = None;
        let fingerprints: HashSet<_> = in_flight.into_iter().collect();
        let mut news = Vec::with_capacity(fingerprints.len());
        for fingerprint in fingerprints {
            if self.add(now, fingerprint, death.clone(), now, false) {
                news.push(suspicion(now, fingerprint, death, now, false));
            }
        }
        news
    }

    /// Clears a fingerprint because a request with it has completed, and gives what to tell the
    /// other nodes.
    pub fn record_completion(&mut self, now: Instant, fingerprint: Fingerprint) -> Vec<Suspicion> {
        self.end_run(fingerprint);
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return Vec::new();
        };
        record.clear();
        suspicions(now, fingerprint, record).collect()
    }

    /// Takes over what another node tells, and gives whether it was new and so is to be told on.
    pub fn merge(&mut self, now: Instant, suspicion: &Suspicion) -> bool {
        if suspicion.age >= self.options.suspicion {
            return false;
        }
        let at = now.checked_sub(suspicion.age).unwrap_or(now);
        let Suspicion {
            fingerprint,
            death,
            is_cleared,
            ..
        } = suspicion;
        self.add(now, *fingerprint, death.clone(), at, *is_cleared)
    }

    /// Forgets the deaths that no longer count; to be called about once a second.
    pub fn expire(&mut self, now: Instant) {
        let suspicion = self.options.suspicion;
        self.records.retain(|_, record| {
            record.expire(now, suspicion);
            !record.is_empty()
        });
    }

    fn add(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        death: Death,
        at: Instant,
        is_cleared: bool,
    ) -> bool {
        self.make_room(now, fingerprint);
        let record = self.records.entry(fingerprint).or_default();
        record.add(death, at, is_cleared)
    }

    /// Drops the record whose last death is the oldest when the bound is reached, those not in
    /// quarantine first.
    fn make_room(&mut self, now: Instant, fingerprint: Fingerprint) {
        let is_known = self.records.contains_key(&fingerprint);
        if is_known || self.records.len() < self.options.max_fingerprints {
            return;
        }
        let oldest = self
            .records
            .iter()
            .min_by_key(|(_, record)| (self.is_quarantined(now, record), record.last()))
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(oldest) = oldest {
            self.records.remove(&oldest);
        }
    }
}

/// Runs of suspects
impl Quarantine {
    /// Begins a run at this node's backend server, and gives `false` for a suspect while another
    /// suspect runs: it is then refused as not run, or sent to another backend server.
    pub fn begin_run(&mut self, now: Instant, fingerprint: Fingerprint) -> bool {
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

    /// Ends a run that tells nothing, such as one that was cancelled.
    pub fn end_run(&mut self, fingerprint: Fingerprint) {
        if self.running_suspect == Some(fingerprint) {
            self.running_suspect = None;
        }
    }
}

/// Access
impl Quarantine {
    /// What may become of a request with this fingerprint.
    #[must_use]
    pub fn verdict(&self, now: Instant, fingerprint: Fingerprint) -> Verdict {
        let Some(record) = self.records.get(&fingerprint) else {
            return Verdict::Clear;
        };
        let (deaths, last) = record.counting(now, &self.options);
        let ends = last.map(|last| last + self.options.quarantine);
        let remaining = ends
            .map(|ends| ends.saturating_duration_since(now))
            .unwrap_or_default();
        if deaths == 0 {
            Verdict::Clear
        } else if deaths < self.options.deaths_to_quarantine || remaining.is_zero() {
            Verdict::Suspect
        } else {
            Verdict::Quarantined { remaining }
        }
    }

    /// Everything that counts now, for a node that joins or was cut off.
    pub fn export(&self, now: Instant) -> impl Iterator<Item = Suspicion> {
        self.records
            .iter()
            .flat_map(move |(fingerprint, record)| suspicions(now, *fingerprint, record))
    }

    /// The number of fingerprints that are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether nothing is known against any fingerprint.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn is_quarantined(&self, now: Instant, record: &Record) -> bool {
        record.counting(now, &self.options).0 >= self.options.deaths_to_quarantine
    }
}

fn suspicions(
    now: Instant,
    fingerprint: Fingerprint,
    record: &Record,
) -> impl Iterator<Item = Suspicion> {
    record
        .deaths()
        .map(move |(death, mark)| suspicion(now, fingerprint, death, mark.at, mark.is_cleared))
}

fn suspicion(
    now: Instant,
    fingerprint: Fingerprint,
    death: &Death,
    at: Instant,
    is_cleared: bool,
) -> Suspicion {
    let age = now.saturating_duration_since(at);
    Suspicion {
        fingerprint,
        death: death.clone(),
        age,
        is_cleared,
    }
}
