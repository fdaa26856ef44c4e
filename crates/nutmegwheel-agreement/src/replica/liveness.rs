//! The time of the last contact with each member. A leader uses it to decide which failed voter to
//! replace.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::{raft::Core, types::ReplicaId};

/// The leader's view of which members are reachable.
pub(super) struct Liveness {
    replace_voter_after: Duration,
    last_contact: BTreeMap<ReplicaId, Instant>,
    /// When this replica became the leader, or first ticked after a pause of its process. Time
    /// before that does not count as time without contact.
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

    /// Returns the voter to replace: the voter without contact for the longest time, if that is at
    /// least `replace_voter_after` and a reachable learner has caught up.
    ///
    /// Time during which this replica itself was paused does not count as time without contact.
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
        let time_since_contact = |id: &ReplicaId| {
            let last_contact = self
                .last_contact
                .get(id)
                .copied()
                .unwrap_or(since)
                .max(since);
            now.saturating_duration_since(last_contact)
        };
        let voters = core.membership().voters.iter();
        let unreachable = voters
            .filter(|id| *id != core.id())
            .max_by_key(|id| time_since_contact(id))
            .filter(|id| time_since_contact(id) >= self.replace_voter_after)?;
        let is_alive = |id: &ReplicaId| time_since_contact(id) < self.replace_voter_after / 2;
        core.has_caught_up_learner(is_alive)
            .then(|| unreachable.clone())
    }
}
