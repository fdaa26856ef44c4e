use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use nutmegwheel_types::{DataCentreId, KeyHash, plain};

plain! {
    /// The progress of a withdrawal as reported to operators; see docs/INTERFACES.md.
    pub enum WithdrawalState {
        /// The key was not withdrawn through this process.
        Unknown,
        /// Some data centre may still start requests with the key.
        Pending {
            /// Whether the withdrawal is committed in the control log.
            committed: bool,
            /// The data centres that have not confirmed that it has taken effect.
            waiting_for: Vec<DataCentreId>,
        },
        /// No request with the key can start in any data centre.
        InForce,
    }

    /// The withdrawals that this process tracks for an operator.
    pub(crate) struct TrackedWithdrawals {
        keys: BTreeMap<KeyHash, Progress>,
        last_request_at: BTreeMap<DataCentreId, Instant>,
    }

    struct Progress {
        committed: bool,
        confirmed: BTreeSet<DataCentreId>,
        is_in_force: bool,
    }
}

/// The minimum time between confirmation requests to one data centre.
const REQUEST_INTERVAL: Duration = Duration::from_millis(500);
const MAX_KEYS_PER_REQUEST: usize = 64;

impl TrackedWithdrawals {
    pub(crate) fn open() -> Self {
        Self {
            keys: BTreeMap::new(),
            last_request_at: BTreeMap::new(),
        }
    }

    pub(crate) fn track(&mut self, key: KeyHash, committed: bool) {
        let progress = self.keys.entry(key).or_insert_with(|| Progress {
            committed: false,
            confirmed: BTreeSet::new(),
            is_in_force: false,
        });
        if committed && !progress.committed {
            progress.committed = true;
            self.last_request_at.clear();
        }
    }

    /// Returns the keys to ask a data centre about, if a request to it is due.
    pub(crate) fn due_keys(&mut self, now: Instant, data_centre: &DataCentreId) -> Vec<KeyHash> {
        let last = self.last_request_at.get(data_centre);
        if last.is_some_and(|at| now.saturating_duration_since(*at) < REQUEST_INTERVAL) {
            return Vec::new();
        }
        let keys: Vec<KeyHash> = self
            .keys
            .iter()
            .filter(|(_, progress)| progress.committed && !progress.is_in_force)
            .filter(|(_, progress)| !progress.confirmed.contains(data_centre))
            .map(|(key, _)| *key)
            .take(MAX_KEYS_PER_REQUEST)
            .collect();
        if !keys.is_empty() {
            self.last_request_at.insert(data_centre.clone(), now);
        }
        keys
    }

    /// Marks a withdrawal as in force when all data centres have confirmed it; no more requests are
    /// sent for it.
    pub(crate) fn update_in_force(&mut self, all: &[DataCentreId]) {
        for progress in self.keys.values_mut() {
            let is_confirmed = all.iter().all(|name| progress.confirmed.contains(name));
            progress.is_in_force |= progress.committed && is_confirmed;
        }
    }

    pub(crate) fn confirm(&mut self, data_centre: &DataCentreId, keys: &[KeyHash]) {
        for key in keys {
            if let Some(progress) = self.keys.get_mut(key) {
                progress.confirmed.insert(data_centre.clone());
            }
        }
    }
}

impl TrackedWithdrawals {
    /// Whether a committed withdrawal is not in force yet, so that requests are needed.
    pub(crate) fn has_pending(&self) -> bool {
        self.keys.values().any(|p| p.committed && !p.is_in_force)
    }

    pub(crate) fn state(&self, key: &KeyHash, all: &[DataCentreId]) -> WithdrawalState {
        let Some(progress) = self.keys.get(key) else {
            return WithdrawalState::Unknown;
        };
        let waiting_for: Vec<DataCentreId> = all
            .iter()
            .filter(|name| !progress.confirmed.contains(*name))
            .cloned()
            .collect();
        if progress.is_in_force {
            return WithdrawalState::InForce;
        }
        WithdrawalState::Pending {
            committed: progress.committed,
            waiting_for,
        }
    }
}
