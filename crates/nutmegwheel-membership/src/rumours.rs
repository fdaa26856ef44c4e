use std::collections::BTreeMap;

use nutmegwheel_types::{KeyHash, ProcessName, plain};

plain! {
    /// What is still to be passed on, each item a bounded number of times.
    pub(crate) struct Rumours {
        records: BTreeMap<ProcessName, u32>,
        withdrawn: BTreeMap<KeyHash, u32>,
    }

    /// What one message carries.
    pub(crate) struct Batch {
        pub(crate) records: Vec<ProcessName>,
        pub(crate) withdrawn: Vec<KeyHash>,
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
impl Rumours {
    pub(crate) fn open() -> Self {
        Self {
            records: BTreeMap::new(),
            withdrawn: BTreeMap::new(),
        }
    }

    /// Starts to pass a record on, from the beginning if an older one was on the way.
    pub(crate) fn record(&mut self, name: &ProcessName) {
        if !self.is_full() || self.records.contains_key(name) {
            self.records.insert(name.clone(), 0);
        }
    }

    /// Starts to pass a record on that cannot wait for the comparing of tables.
    pub(crate) fn urgent_record(&mut self, name: &ProcessName) {
        self.records.insert(name.clone(), 0);
    }

    /// Starts to pass a withdrawn key on.
    pub(crate) fn withdrawn(&mut self, key: KeyHash) {
        self.withdrawn.insert(key, 0);
    }

    /// Takes at most `count` records for a message that carries no keys.
    pub(crate) fn take_records(&mut self, limit: u32, count: usize) -> Vec<ProcessName> {
        take(&mut self.records, limit, count)
    }

    /// Returns what was passed on least often, and drops what was passed on `limit` times.
    pub(crate) fn take(&mut self, limit: u32) -> Batch {
        Batch {
            records: take(&mut self.records, limit, RECORDS_IN_BATCH),
            withdrawn: take(&mut self.withdrawn, limit, KEYS_IN_BATCH),
        }
    }
}

/// Access.
impl Rumours {
    pub(crate) fn is_full(&self) -> bool {
        self.records.len() >= RECORDS_KEPT
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.records.is_empty() && self.withdrawn.is_empty()
    }
}

fn take<K: Clone + Ord>(items: &mut BTreeMap<K, u32>, limit: u32, count: usize) -> Vec<K> {
    let mut order: Vec<(u32, K)> = items
        .iter()
        .map(|(key, sent)| (*sent, key.clone()))
        .collect();
    order.sort();
    order.truncate(count);
    for (sent, key) in &order {
        if sent + 1 >= limit {
            items.remove(key);
        } else {
            items.insert(key.clone(), sent + 1);
        }
    }
    order.into_iter().map(|(_, key)| key).collect()
}
