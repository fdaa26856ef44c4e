//! Bootstrap of a cluster, and join requests of replicas that belong to no cluster or lost their
//! disk.
//!
//! A cluster is bootstrapped once, by the bootstrap member with the smallest name, after all the
//! others have reported that their stores never held anything. If even one of them has an older
//! store, the cluster exists already: no member bootstraps, and replicas with an empty store ask to
//! join.

use super::{Core, Notice};
use crate::{
    message::{Body, Message},
    types::{Entry, Membership, Payload, Position, ReplicaId, ReplicaName},
};

/// The term of the first entry. The first election is held in the term after it.
const BOOTSTRAP_TERM: u64 = 1;

impl Core {
    /// Sends join requests to the known members and the configured peers.
    pub(super) fn request_join(&mut self) {
        self.fresh_peers.clear();
        self.bootstrap_if_ready();
        let body = Body::Join {
            bootstrap_members: self.setup.bootstrap_members.clone(),
        };
        for to in self.join_targets() {
            let message = self.message_by_name(to, body.clone());
            self.effects.messages.push(message);
        }
    }

    /// Handles a message that replicas exchange before they belong to the same cluster. Returns
    /// whether `message` is of such a kind.
    pub(super) fn on_bootstrap_message(&mut self, message: &Message) -> bool {
        match &message.body {
            Body::Join { bootstrap_members } => {
                self.on_join(&message.from, bootstrap_members);
                self.forward_join(message);
            }
            Body::Fresh { bootstrap_members } => self.on_fresh(&message.from, bootstrap_members),
            _ => return false,
        }
        true
    }

    fn on_join(&mut self, from: &ReplicaId, members: &[ReplicaName]) {
        if self.is_fresh() && members == self.setup.bootstrap_members && !members.is_empty() {
            let body = Body::Fresh {
                bootstrap_members: members.to_vec(),
            };
            self.send(from, body);
        }
        self.register_join(from);
    }

    /// Passes a join request on to the leader, since the replica that asks may not know it. Terms
    /// increase from one receiver to the next, so the request does not circulate.
    fn forward_join(&mut self, message: &Message) {
        if self.is_leader() {
            return;
        }
        let leader = self.leader().filter(|leader| **leader != message.from);
        let forwarded = leader.map(|leader| Message {
            to: leader.name.clone(),
            to_incarnation: Some(leader.incarnation),
            ..message.clone()
        });
        self.effects.messages.extend(forwarded);
    }

    fn on_fresh(&mut self, from: &ReplicaId, members: &[ReplicaName]) {
        let setup = &self.setup;
        if !self.is_fresh() || members != setup.bootstrap_members || !members.contains(&from.name) {
            return;
        }
        self.fresh_peers.insert(from.name.clone(), from.incarnation);
        self.bootstrap_if_ready();
    }

    fn is_fresh(&self) -> bool {
        self.hard_state.cluster.is_none()
            && self.last() == Position::default()
            && self.hard_state.term == 0
    }

    fn bootstrap_if_ready(&mut self) {
        let members = &self.setup.bootstrap_members;
        let is_initiator = members.iter().min() == Some(&self.id().name);
        let has_empty_store =
            |n: &&ReplicaName| **n == self.id().name || self.fresh_peers.contains_key(*n);
        if self.is_fresh()
            && is_initiator
            && members.iter().filter(has_empty_store).count() == members.len()
        {
            self.bootstrap();
        }
    }

    /// Writes the first membership. This replica's incarnation becomes the id of the cluster, so
    /// that no other bootstrap has the same id.
    fn bootstrap(&mut self) {
        let peers = std::mem::take(&mut self.fresh_peers);
        let mut membership = Membership::default();
        membership.voters.insert(self.id().clone());
        let others = peers
            .into_iter()
            .map(|(name, incarnation)| ReplicaId { name, incarnation });
        membership.voters.extend(others);
        self.hard_state.cluster = Some(self.id().incarnation);
        self.hard_state.term = BOOTSTRAP_TERM;
        self.hard_state.vote = Some(self.id().clone());
        self.hard_state_changed = true;
        let position = Position {
            term: BOOTSTRAP_TERM,
            index: 1,
        };
        let payload = Payload::Membership(membership.clone());
        self.append_entries(vec![Entry { position, payload }]);
        self.effects.notices.push(Notice::Bootstrapped(membership));
        self.campaign();
    }

    fn join_targets(&self) -> Vec<ReplicaName> {
        let members = self.membership.members().map(|m| &m.name);
        let all = members
            .chain(&self.setup.peers)
            .chain(&self.setup.bootstrap_members);
        let mut names: Vec<_> = all.filter(|n| **n != self.id().name).cloned().collect();
        names.sort_unstable();
        names.dedup();
        names
    }

    fn message_by_name(&self, to: ReplicaName, body: Body) -> Message {
        Message {
            cluster: self.hard_state.cluster,
            from: self.id().clone(),
            to,
            to_incarnation: None,
            term: self.hard_state.term,
            body,
        }
    }
}
