use std::collections::BTreeSet;

use nutmegwheel_types::{KeyHash, plain};

use crate::record::hash;

plain! {
    /// The grow-only set of withdrawn keys, and a list of them in order of arrival.
    ///
    /// The list shows exactly when a peer has caught up: once it has read the first `count`
    /// entries, it holds all keys that the owner held when it reported `count`.
    #[derive(Hash)]
    pub struct WithdrawnSet {
        log_id: u64,
        order: Vec<KeyHash>,
        members: BTreeSet<KeyHash>,
        digest: u64,
    }
}

impl WithdrawnSet {
    /// Creates an empty set; `log_id` must differ after each restart of the process.
    #[must_use]
    pub fn open(log_id: u64) -> Self {
        Self {
            log_id,
            order: Vec::new(),
            members: BTreeSet::new(),
            digest: 0,
        }
    }

    /// Adds a key and returns whether it is new.
    pub fn add(&mut self, key: KeyHash) -> bool {
        let is_new = self.members.insert(key);
        if is_new {
            self.order.push(key);
            self.digest ^= hash(&key, 1);
        }
        is_new
    }

    /// Whether a key is withdrawn.
    #[must_use]
    pub fn contains(&self, key: &KeyHash) -> bool {
        self.members.contains(key)
    }

    /// The id of the list, which changes when the process restarts.
    #[must_use]
    pub fn log_id(&self) -> u64 {
        self.log_id
    }

    /// The number of withdrawn keys, which is the length of the list.
    #[must_use]
    pub fn count(&self) -> u64 {
        u64::try_from(self.order.len()).unwrap_or(u64::MAX)
    }

    /// The exclusive or of the hashes of the keys, which is equal for equal sets.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// At most `limit` keys of the list, starting at index `from`.
    #[must_use]
    pub fn since(&self, from: u64, limit: usize) -> &[KeyHash] {
        let from = usize::try_from(from).unwrap_or(usize::MAX);
        let rest = self.order.get(from..).unwrap_or_default();
        &rest[..rest.len().min(limit)]
    }
}
