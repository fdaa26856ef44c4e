use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use super::{Death, Options};

/// The most deaths that are kept of one fingerprint; further ones change no verdict.
const MAX_DEATHS: usize = 8;

#[derive(Debug)]
pub(crate) struct Mark {
    pub(crate) at: Instant,
    pub(crate) is_cleared: bool,
}

/// The deaths that one fingerprint was present at.
#[derive(Debug, Default)]
pub(crate) struct Record {
    deaths: BTreeMap<Death, Mark>,
}

/// Lifecycle
impl Record {
    /// Adds a death, or takes over that the fingerprint was cleared of it. Clearing wins, in
    /// whichever order reports come. Gives whether anything was new.
    pub(crate) fn add(&mut self, death: Death, at: Instant, is_cleared: bool) -> bool {
        if let Some(mark) = self.deaths.get_mut(&death) {
            let is_new = is_cleared && !mark.is_cleared;
            mark.is_cleared |= is_cleared;
            return is_new;
        }
        let has_room = self.deaths.len() < MAX_DEATHS;
        if has_room {
            self.deaths.insert(death, Mark { at, is_cleared });
        }
        has_room
    }

    /// Clears the fingerprint of all deaths known now.
    pub(crate) fn clear(&mut self) {
        for mark in self.deaths.values_mut() {
            mark.is_cleared = true;
        }
    }

    pub(crate) fn expire(&mut self, now: Instant, suspicion: Duration) {
        self.deaths
            .retain(|_, mark| now.saturating_duration_since(mark.at) < suspicion);
    }
}

/// Access
impl Record {
    pub(crate) fn is_empty(&self) -> bool {
        self.deaths.is_empty()
    }

    pub(crate) fn deaths(&self) -> impl Iterator<Item = (&Death, &Mark)> {
        self.deaths.iter()
    }

    /// The number of deaths that still count, and the last of them.
    pub(crate) fn counting(&self, now: Instant, options: &Options) -> (usize, Option<Instant>) {
        let counting = self
            .deaths
            .values()
            .filter(|mark| !mark.is_cleared)
            .map(|mark| mark.at)
            .filter(|at| now.saturating_duration_since(*at) < options.suspicion);
        counting.fold((0, None), |(count, last), at| {
            (count + 1, last.max(Some(at)))
        })
    }

    /// The instant of the last death, cleared or not.
    pub(crate) fn last(&self) -> Option<Instant> {
        self.deaths.values().map(|mark| mark.at).max()
    }
}
