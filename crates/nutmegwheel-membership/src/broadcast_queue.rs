use std::cmp::Reverse;
use std::collections::BTreeMap;

use nutmegwheel_types::{KeyHash, ProcessName, plain, plain_copy};

plain! {
    /// Updates waiting to be pushed to peers; each is sent a bounded number of times.
    pub(crate) struct BroadcastQueue {
        records: BTreeMap<ProcessName, QueueEntry>,
        withdrawn: BTreeMap<KeyHash, QueueEntry>,
    }

    /// The updates for one message.
    pub(crate) struct Batch {
        pub(crate) records: Vec<ProcessName>,
        pub(crate) withdrawn: Vec<KeyHash>,
    }
}

plain_copy! {
    /// Whether anti-entropy may deliver an update when there are too many to push.
    pub(crate) enum Urgency {
        /// The update need not be pushed; anti-entropy delivers it later.
        Deferrable,
        /// The update must be pushed, because until it arrives, peers may still send work to a
        /// process that must not receive it.
        Urgent,
    }

    /// How many times an update is sent, by urgency.
    pub(crate) struct RetransmitLimits {
        pub(crate) deferrable: u32,
        pub(crate) urgent: u32,
    }

    struct QueueEntry {
        urgency: Urgency,
        transmissions: u32,
    }
}

const MAX_RECORDS_PER_BATCH: usize = 12;
/// The number of queued records at which the queue counts as full. When many members change at the
/// same time, further records are left to anti-entropy, which sends no record twice.
const MAX_QUEUED_RECORDS: usize = 48;
const MAX_KEYS_PER_BATCH: usize = 32;

impl BroadcastQueue {
    pub(crate) fn open() -> Self {
        Self {
            records: BTreeMap::new(),
            withdrawn: BTreeMap::new(),
        }
    }

    /// Queues a record unless the queue is full; an older one of the same process is replaced and
    /// its count of transmissions starts again. Urgent records are queued even when it is full.
    pub(crate) fn enqueue_record(&mut self, name: &ProcessName, urgency: Urgency) {
        let has_room = !self.is_full() || self.records.contains_key(name);
        if has_room || urgency == Urgency::Urgent {
            self.enqueue_record_uncapped(name, urgency);
        }
    }

    /// Queues a record even when the queue is full. Callers use it for records that they also push
    /// to some members immediately.
    pub(crate) fn enqueue_record_uncapped(&mut self, name: &ProcessName, urgency: Urgency) {
        self.records.insert(name.clone(), QueueEntry::of(urgency));
    }

    /// Queues a withdrawn key, which is always urgent.
    pub(crate) fn enqueue_key(&mut self, key: KeyHash) {
        self.withdrawn.insert(key, QueueEntry::of(Urgency::Urgent));
    }

    /// Takes at most `count` records, for a message that carries no keys.
    pub(crate) fn take_records(
        &mut self,
        limits: RetransmitLimits,
        min_urgency: Urgency,
        count: usize,
    ) -> Vec<ProcessName> {
        take(&mut self.records, limits, min_urgency, count)
    }

    /// Returns the updates sent least often, urgent ones first, and drops those that have reached
    /// their limit.
    pub(crate) fn take(&mut self, limits: RetransmitLimits, min_urgency: Urgency) -> Batch {
        Batch {
            records: take(
                &mut self.records,
                limits,
                min_urgency,
                MAX_RECORDS_PER_BATCH,
            ),
            withdrawn: take(&mut self.withdrawn, limits, min_urgency, MAX_KEYS_PER_BATCH),
        }
    }
}

impl BroadcastQueue {
    pub(crate) fn is_full(&self) -> bool {
        self.records.len() >= MAX_QUEUED_RECORDS
    }

    /// Whether no update of at least `min_urgency` is queued.
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
