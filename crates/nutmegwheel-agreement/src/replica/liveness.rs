//! Who was heard of when, by which a leader replaces voters that are gone for good.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::{raft::Core, types::ReplicaId};

/// What a leader knows of the silence of its members.
pub(super) struct Liveness {
    replace_voter_after: Duration,
    last_contact: BTreeMap<ReplicaId, Instant>,
    /// Since when this replica leads without a break; silence counts from here.
    leader_since: Option<Instant>,
    last_tick: Option<Instant>,
}

impl Liveness {
    pub(super) fn open(replace_voter_after: Duration) -> Self {
        Self {
            replace_voter_after,
            last_contact: BTreeMap::new(),
            leader_since: None,
            last_tick: None,
        }
    }

    pub(super) fn record_contact(&mut self, from: &ReplicaId, now: Instant) {
        self.last_contact.insert(from.clone(), now);
    }

    /// The voter to be replaced, once a learner that is alive has caught up.
    ///
    /// Time in which this replica itself stood still is nobody's silence.
    pub(super) fn unreachable_voter(&mut self, core: &Core, now: Instant) -> Option<ReplicaId> {
        let last = self.last_tick.replace(now);
        let was_paused =
            last.is_some_and(|at| now.saturating_duration_since(at) > self.replace_voter_after / 2);
        if !core.is_leader() || was_paused {
            self.leader_since = None;
            self.last_contact.clear();
            return None;
        }
        let since = *self.leader_since.get_or_insert(now);
        let silence = |id: &ReplicaId| {
            let last_contact = self
                .last_contact
                .get(id)
                .copied()
                .unwrap_or(since)
                .max(since);
            now.saturating_duration_since(last_contact)
        };
        let voters = core.membership().voters.iter();
        let silent = voters
            .filter(|id| *id != core.id())
            .max_by_key(|id| silence(id))
            .filter(|id| silence(id) >= self.replace_voter_after)?;
        let is_alive = |id: &ReplicaId| silence(id) < self.replace_voter_after / 2;
        core.has_caught_up_learner(is_alive).then(|| silent.clone())
    }
}
