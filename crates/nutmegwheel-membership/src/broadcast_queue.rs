use std::cmp::Reverse;
use std::collections::BTreeMap;

use nutmegwheel_types::{KeyHash, ProcessName, plain, plain_copy};

plain! {
    /// What is still to be passed on, each item a bounded number of times.
    pub(crate) struct BroadcastQueue {
        records: BTreeMap<ProcessName, Progress>,
        withdrawn: BTreeMap<KeyHash, Progress>,
    }

    /// What one message carries.
    pub(crate) struct Batch {
        pub(crate) records: Vec<ProcessName>,
        pub(crate) withdrawn: Vec<KeyHash>,
    }
}

plain_copy! {
    /// Whether an item may be left to the comparing of tables when there is too much news.
    pub(crate) enum Urgency {
        /// It may.
        CanWait,
        /// A delay would send work where it must not go.
        CannotWait,
    }

    /// How often items are passed on.
    pub(crate) struct Rounds {
        pub(crate) can_wait: u32,
        pub(crate) cannot_wait: u32,
    }

    struct Progress {
        urgency: Urgency,
        sent: u32,
    }
}

/// The records in one message.
const RECORDS_IN_BATCH: usize = 12;
/// The records that are on the way at a time; in a mass change the rest is left to the comparing
/// of tables, which sends nothing twice.
const RECORDS_KEPT: usize = 48;
/// The withdrawn keys in one message.
const KEYS_IN_BATCH: usize = 32;

/// Lifecycle.
impl BroadcastQueue {
    pub(crate) fn open() -> Self {
        Self {
            records: BTreeMap::new(),
            withdrawn: BTreeMap::new(),
        }
    }

    /// Starts to pass a record on, from the beginning if an older one was on the way.
    pub(crate) fn record(&mut self, name: &ProcessName, urgency: Urgency) {
        let has_place = !self.is_full() || self.records.contains_key(name);
        if has_place || urgency == Urgency::CannotWait {
            self.record_at_once(name, urgency);
        }
    }

    /// Starts to pass a record on whose first copies are sent at once.
    pub(crate) fn record_at_once(&mut self, name: &ProcessName, urgency: Urgency) {
        self.records.insert(name.clone(), Progress::of(urgency));
    }

    /// Starts to pass a withdrawn key on.
    pub(crate) fn withdrawn(&mut self, key: KeyHash) {
        self.withdrawn
            .insert(key, Progress::of(Urgency::CannotWait));
    }

    /// Takes at most `count` records for a message that carries no keys.
    pub(crate) fn take_records(
        &mut self,
        rounds: Rounds,
        allowed: Urgency,
        count: usize,
    ) -> Vec<ProcessName> {
        take(&mut self.records, rounds, allowed, count)
    }

    /// Returns what was passed on least often, the urgent first, and drops what was passed on
    /// often enough.
    pub(crate) fn take(&mut self, rounds: Rounds, allowed: Urgency) -> Batch {
        Batch {
            records: take(&mut self.records, rounds, allowed, RECORDS_IN_BATCH),
            withdrawn: take(&mut self.withdrawn, rounds, allowed, KEYS_IN_BATCH),
        }
    }
}

/// Access.
impl BroadcastQueue {
    pub(crate) fn is_full(&self) -> bool {
        self.records.len() >= RECORDS_KEPT
    }

    /// Says whether nothing is on the way that is as urgent as `allowed`.
    pub(crate) fn is_empty(&self, allowed: Urgency) -> bool {
        let mut all = self.records.values().chain(self.withdrawn.values());
        !all.any(|progress| progress.urgency >= allowed)
    }
}

impl Progress {
    const fn of(urgency: Urgency) -> Self {
        Self { urgency, sent: 0 }
    }

    const fn is_done(self, rounds: Rounds) -> bool {
        match self.urgency {
            Urgency::CanWait => self.sent >= rounds.can_wait,
            Urgency::CannotWait => self.sent >= rounds.cannot_wait,
        }
    }
}

fn take<K: Clone + Ord>(
    items: &mut BTreeMap<K, Progress>,
    rounds: Rounds,
    allowed: Urgency,
    count: usize,
) -> Vec<K> {
    let mut order: Vec<(Reverse<Urgency>, u32, K)> = items
        .iter()
        .filter(|(_, progress)| progress.urgency >= allowed)
        .map(|(key, progress)| (Reverse(progress.urgency), progress.sent, key.clone()))
        .collect();
    order.sort();
    order.truncate(count);
    for (_, _, key) in &order {
        if let Some(progress) = items.get_mut(key) {
            progress.sent += 1;
            if progress.is_done(rounds) {
                items.remove(key);
            }
        }
    }
    order.into_iter().map(|(_, _, key)| key).collect()
}
