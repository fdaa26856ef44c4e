//! The first founding of a cluster, and the way back in for a replica without a store.
//!
//! A cluster is founded once: by the least name of the founding members, after every one of them
//! has said that its store never held anything. A replica that finds even one older store among
//! them can't found, and asks to join.

use super::{Core, Notice};
use crate::{
    message::{Body, Message},
    types::{Entry, Membership, Payload, Position, ReplicaId, ReplicaName},
};

/// The term of the first entry; the first election is for the term after it.
const FOUNDING_TERM: u64 = 1;

impl Core {
    /// Asks the known members and the configured peers to be let in.
    pub(super) fn ask_to_join(&mut self) {
        self.fresh_peers.clear();
        self.found_if_complete();
        let body = Body::Join {
            founding: self.setup.founding.clone(),
        };
        for to in self.contacts() {
            let message = self.unaddressed(to, body.clone());
            self.effects.messages.push(message);
        }
    }

    /// Handles what is said before a common founding is known; returns whether this was it.
    pub(super) fn on_founding_message(&mut self, message: &Message) -> bool {
        match &message.body {
            Body::Join { founding } => self.on_join_request(&message.from, founding),
            Body::Fresh { founding } => self.on_fresh(&message.from, founding),
            _ => return false,
        }
        true
    }

    fn on_join_request(&mut self, from: &ReplicaId, founding: &[ReplicaName]) {
        if self.is_fresh() && founding == self.setup.founding && !founding.is_empty() {
            let body = Body::Fresh {
                founding: founding.to_vec(),
            };
            self.send(from, body);
        }
        self.on_join(from);
    }

    fn on_fresh(&mut self, from: &ReplicaId, founding: &[ReplicaName]) {
        let setup = &self.setup;
        if !self.is_fresh() || founding != setup.founding || !founding.contains(&from.name) {
            return;
        }
        self.fresh_peers.insert(from.name.clone(), from.incarnation);
        self.found_if_complete();
    }

    fn is_fresh(&self) -> bool {
        self.hard.cluster.is_none() && self.last() == Position::default() && self.hard.term == 0
    }

    fn found_if_complete(&mut self) {
        let founding = &self.setup.founding;
        let founder = founding.iter().min() == Some(&self.id().name);
        let heard = |n: &&ReplicaName| **n == self.id().name || self.fresh_peers.contains_key(*n);
        if self.is_fresh() && founder && founding.iter().filter(heard).count() == founding.len() {
            self.found();
        }
    }

    /// The founder's incarnation names the founding, as no other founding can share it.
    fn found(&mut self) {
        let peers = std::mem::take(&mut self.fresh_peers);
        let mut membership = Membership::default();
        membership.voters.insert(self.id().clone());
        let others = peers
            .into_iter()
            .map(|(name, incarnation)| ReplicaId { name, incarnation });
        membership.voters.extend(others);
        self.hard.cluster = Some(self.id().incarnation);
        self.hard.term = FOUNDING_TERM;
        self.hard.vote = Some(self.id().clone());
        self.hard_changed = true;
        let position = Position {
            term: FOUNDING_TERM,
            index: 1,
        };
        let payload = Payload::Membership(membership.clone());
        self.append_entries(vec![Entry { position, payload }]);
        self.effects.notices.push(Notice::Founded(membership));
        self.campaign();
    }

    fn contacts(&self) -> Vec<ReplicaName> {
        let members = self.membership.members().map(|m| &m.name);
        let all = members.chain(&self.setup.peers).chain(&self.setup.founding);
        let mut names: Vec<_> = all.filter(|n| **n != self.id().name).cloned().collect();
        names.sort_unstable();
        names.dedup();
        names
    }

    fn unaddressed(&self, to: ReplicaName, body: Body) -> Message {
        Message {
            cluster: self.hard.cluster,
            from: self.id().clone(),
            to,
            to_incarnation: None,
            term: self.hard.term,
            body,
        }
    }
}
