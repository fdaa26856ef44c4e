use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use super::{Crash, Options};

/// The maximum number of crashes kept per fingerprint; further ones would not change the verdict.
const MAX_CRASHES: usize = 8;

#[derive(Debug)]
pub(crate) struct CrashEntry {
    pub(crate) at: Instant,
    pub(crate) is_cleared: bool,
}

/// The crashes at which requests with one fingerprint were in flight.
#[derive(Debug, Default)]
pub(crate) struct CrashHistory {
    crashes: BTreeMap<Crash, CrashEntry>,
}

impl CrashHistory {
    /// Adds a crash, or clears the fingerprint of it, and returns whether anything changed.
    ///
    /// Clearing takes precedence, in whichever order the updates arrive.
    pub(crate) fn add(&mut self, crash: Crash, at: Instant, is_cleared: bool) -> bool {
        if let Some(entry) = self.crashes.get_mut(&crash) {
            let is_new = is_cleared && !entry.is_cleared;
            entry.is_cleared |= is_cleared;
            return is_new;
        }
        let has_room = self.crashes.len() < MAX_CRASHES;
        if has_room {
            self.crashes.insert(crash, CrashEntry { at, is_cleared });
        }
        has_room
    }

    /// Clears the fingerprint of all crashes known so far.
    pub(crate) fn clear(&mut self) {
        for entry in self.crashes.values_mut() {
            entry.is_cleared = true;
        }
    }

    pub(crate) fn expire(&mut self, now: Instant, ttl: Duration) {
        self.crashes
            .retain(|_, entry| now.saturating_duration_since(entry.at) < ttl);
    }
}

impl CrashHistory {
    pub(crate) fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    pub(crate) fn crashes(&self) -> impl Iterator<Item = (&Crash, &CrashEntry)> {
        self.crashes.iter()
    }

    /// The number of crashes that are neither cleared nor expired, and the time of the last one.
    pub(crate) fn active(&self, now: Instant, options: &Options) -> (usize, Option<Instant>) {
        let active = self
            .crashes
            .values()
            .filter(|entry| !entry.is_cleared)
            .map(|entry| entry.at)
            .filter(|at| now.saturating_duration_since(*at) < options.suspicion_ttl);
        active.fold((0, None), |(count, last_crash), at| {
            (count + 1, last_crash.max(Some(at)))
        })
    }

    /// The time of the last crash, cleared or not.
    pub(crate) fn last_crash(&self) -> Option<Instant> {
        self.crashes.values().map(|entry| entry.at).max()
    }
}
