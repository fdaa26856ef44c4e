//! Who was heard of when, by which a leader replaces voters that are gone for good.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::{raft::Core, types::ReplicaId};

/// What a leader knows of the silence of its members.
pub(super) struct Standby {
    replace_after: Duration,
    heard: BTreeMap<ReplicaId, Instant>,
    /// Since when this replica leads without a break; silence counts from here.
    leads_since: Option<Instant>,
    ticked: Option<Instant>,
}

impl Standby {
    pub(super) fn open(replace_after: Duration) -> Self {
        Self {
            replace_after,
            heard: BTreeMap::new(),
            leads_since: None,
            ticked: None,
        }
    }

    pub(super) fn heard(&mut self, from: &ReplicaId, now: Instant) {
        self.heard.insert(from.clone(), now);
    }

    /// The voter to be replaced, once a learner that is alive has caught up.
    ///
    /// Time in which this replica itself stood still is nobody's silence.
    pub(super) fn silent_voter(&mut self, core: &Core, now: Instant) -> Option<ReplicaId> {
        let last = self.ticked.replace(now);
        let stood_still =
            last.is_some_and(|at| now.saturating_duration_since(at) > self.replace_after / 2);
        if !core.is_leader() || stood_still {
            self.leads_since = None;
            self.heard.clear();
            return None;
        }
        let since = *self.leads_since.get_or_insert(now);
        let silence = |id: &ReplicaId| {
            let heard = self.heard.get(id).copied().unwrap_or(since).max(since);
            now.saturating_duration_since(heard)
        };
        let voters = core.membership().voters.iter();
        let silent = voters
            .filter(|id| *id != core.id())
            .max_by_key(|id| silence(id))
            .filter(|id| silence(id) >= self.replace_after)?;
        let is_alive = |id: &ReplicaId| silence(id) < self.replace_after / 2;
        core.has_standby(is_alive).then(|| silent.clone())
    }
}
