use std::cmp::Reverse;
use std::collections::BTreeMap;

use nutmegwheel_types::{KeyHash, ProcessName, plain, plain_copy};

plain! {
    /// What is still to be passed on, each item a bounded number of times.
    pub(crate) struct BroadcastQueue {
        records: BTreeMap<ProcessName, QueueEntry>,
        withdrawn: BTreeMap<KeyHash, QueueEntry>,
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
        Deferrable,
        /// A delay would send work where it must not go.
        Urgent,
    }

    /// How often items are passed on.
    pub(crate) struct RetransmitLimits {
        pub(crate) deferrable: u32,
        pub(crate) urgent: u32,
    }

    struct QueueEntry {
        urgency: Urgency,
        transmissions: u32,
    }
}

/// The records in one message.
const MAX_RECORDS_PER_MESSAGE: usize = 12;
/// The records that are on the way at a time; in a mass change the rest is left to the comparing
/// of tables, which sends nothing twice.
const MAX_QUEUED_RECORDS: usize = 48;
/// The withdrawn keys in one message.
const MAX_KEYS_PER_MESSAGE: usize = 32;

/// Lifecycle.
impl BroadcastQueue {
    pub(crate) fn open() -> Self {
        Self {
            records: BTreeMap::new(),
            withdrawn: BTreeMap::new(),
        }
    }

    /// Starts to pass a record on, from the beginning if an older one was on the way.
    pub(crate) fn enqueue_record(&mut self, name: &ProcessName, urgency: Urgency) {
        let has_room = !self.is_full() || self.records.contains_key(name);
        if has_room || urgency == Urgency::Urgent {
            self.enqueue_record_uncapped(name, urgency);
        }
    }

    /// Starts to pass a record on whose first copies are sent at once.
    pub(crate) fn enqueue_record_uncapped(&mut self, name: &ProcessName, urgency: Urgency) {
        self.records.insert(name.clone(), QueueEntry::of(urgency));
    }

    /// Starts to pass a withdrawn key on.
    pub(crate) fn enqueue_key(&mut self, key: KeyHash) {
        self.withdrawn.insert(key, QueueEntry::of(Urgency::Urgent));
    }

    /// Takes at most `count` records for a message that carries no keys.
    pub(crate) fn take_records(
        &mut self,
        limits: RetransmitLimits,
        min_urgency: Urgency,
        count: usize,
    ) -> Vec<ProcessName> {
        take(&mut self.records, limits, min_urgency, count)
    }

    /// Returns what was passed on least often, the urgent first, and drops what was passed on
    /// often enough.
    pub(crate) fn take(&mut self, limits: RetransmitLimits, min_urgency: Urgency) -> Batch {
        Batch {
            records: take(
                &mut self.records,
                limits,
                min_urgency,
                MAX_RECORDS_PER_MESSAGE,
            ),
            withdrawn: take(
                &mut self.withdrawn,
                limits,
                min_urgency,
                MAX_KEYS_PER_MESSAGE,
            ),
        }
    }
}

/// Access.
impl BroadcastQueue {
    pub(crate) fn is_full(&self) -> bool {
        self.records.len() >= MAX_QUEUED_RECORDS
    }

    /// Says whether nothing is on the way that is as urgent as `min_urgency`.
    pub(crate) fn is_empty(&self, min_urgency: Urgency) -> bool {
        let mut all = self.records.values().chain(self.withdrawn.values());
        !all.any(|entry| entry.urgency >= min_urgency)
    }
}

impl QueueEntry {
    const fn of(urgency: Urgency) -> Self {
        Self {
            urgency,
            transmissions: 0,
        }
    }

    const fn is_done(self, limits: RetransmitLimits) -> bool {
        match self.urgency {
            Urgency::Deferrable => self.transmissions >= limits.deferrable,
            Urgency::Urgent => self.transmissions >= limits.urgent,
        }
    }
}

fn take<K: Clone + Ord>(
    items: &mut BTreeMap<K, QueueEntry>,
    limits: RetransmitLimits,
    min_urgency: Urgency,
    count: usize,
) -> Vec<K> {
    let mut candidates: Vec<(Reverse<Urgency>, u32, K)> = items
        .iter()
        .filter(|(_, entry)| entry.urgency >= min_urgency)
        .map(|(key, entry)| (Reverse(entry.urgency), entry.transmissions, key.clone()))
        .collect();
    candidates.sort();
    candidates.truncate(count);
    for (_, _, key) in &candidates {
        if let Some(entry) = items.get_mut(key) {
            entry.transmissions += 1;
            if entry.is_done(limits) {
                items.remove(key);
            }
        }
    }
    candidates.into_iter().map(|(_, _, key)| key).collect()
}
