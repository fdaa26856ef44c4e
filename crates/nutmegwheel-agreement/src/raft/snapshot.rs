//! Snapshots: taken by the application, sent in pieces, installed by who is far behind.

use std::sync::Arc;

use nutmegwheel_types::plain;

use super::{Core, Role, leader::Flow};
use crate::{
    message::{AppendResult, Body},
    storage::Write,
    types::{Command, LogIndex, Membership, Payload, Position, ReplicaId, Round, Snapshot},
};

plain! {
    /// A snapshot of which some pieces have come.
    #[derive(Hash)]
    pub(crate) struct Incoming {
        from: ReplicaId,
        position: Position,
        data: Vec<u8>,
    }
}

/// Taking.
impl Core {
    /// Asks the application for its state once the log has grown past its limit.
    pub(super) fn want_snapshot(&mut self) {
        let large = self.log.bytes() >= self.setup.limits.snapshot_log_bytes;
        let useful = self.commit > self.log.base().index;
        if large && useful && !self.snapshot_wanted {
            self.snapshot_wanted = true;
            self.effects.snapshot_wanted = Some(self.commit);
        }
    }

    pub(super) fn on_snapshot(&mut self, index: LogIndex, data: Command) {
        self.snapshot_wanted = false;
        let outdated = index <= self.log.base().index || index > self.commit;
        let too_large = data.len() > self.setup.limits.max_snapshot_bytes;
        let Some(term) = self.log.term_at(index) else {
            return;
        };
        if outdated || too_large {
            return;
        }
        let snapshot = Snapshot {
            position: Position { term, index },
            membership: self.membership_at(index),
            data,
        };
        self.keep_snapshot(Arc::new(snapshot));
    }

    fn keep_snapshot(&mut self, snapshot: Arc<Snapshot>) {
        self.log.compact(snapshot.position);
        self.snapshot = Some(snapshot.clone());
        self.effects.writes.push(Write::Snapshot(snapshot));
        self.load_membership();
    }

    fn membership_at(&self, index: LogIndex) -> Membership {
        match self.log.membership_entry(index).map(|e| &e.payload) {
            Some(Payload::Membership(m)) => m.clone(),
            _ => self.snapshot_membership().1,
        }
    }
}

/// Sending.
impl Core {
    pub(super) fn start_snapshot(&mut self, to: &ReplicaId) -> Option<Body> {
        let index = self.snapshot.as_ref()?.position.index;
        self.set_flow(to, Flow::Snapshot { index, offset: 0 });
        self.snapshot_piece(to)
    }

    /// Returns the next piece, of a newer snapshot when the one being sent is gone.
    pub(super) fn snapshot_piece(&mut self, to: &ReplicaId) -> Option<Body> {
        let snapshot = self.snapshot.clone()?;
        let (flow, round) = self.flow_of(to)?;
        let Flow::Snapshot { index, offset } = flow else {
            return None;
        };
        let position = snapshot.position;
        let offset = if index == position.index { offset } else { 0 };
        self.set_flow(
            to,
            Flow::Snapshot {
                index: position.index,
                offset,
            },
        );
        Some(Body::Install {
            position,
            membership: snapshot.membership.clone(),
            total: snapshot.data.len() as u64,
            offset,
            data: self.piece(&snapshot.data, offset),
            round,
        })
    }

    fn piece(&self, data: &Command, offset: u64) -> Command {
        let start = usize::try_from(offset).map_or(data.len(), |o| o.min(data.len()));
        let end = data.len().min(start + self.setup.limits.max_chunk_bytes);
        Arc::from(&data[start..end])
    }

    pub(super) fn on_install_reply(
        &mut self,
        from: &ReplicaId,
        round: Round,
        index: LogIndex,
        received: u64,
    ) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(from) else {
            return;
        };
        progress.round = progress.round.max(round);
        let current = match &mut progress.flow {
            Flow::Snapshot { index: i, offset } if *i == index && *offset != received => {
                *offset = received;
                true
            }
            _ => false,
        };
        self.confirm_rounds();
        if current && let Some(piece) = self.snapshot_piece(from) {
            self.send(from, piece);
        }
    }

    fn flow_of(&self, id: &ReplicaId) -> Option<(Flow, Round)> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        let progress = leader.progress.get(id)?;
        Some((progress.flow.clone(), leader.round))
    }

    fn set_flow(&mut self, id: &ReplicaId, flow: Flow) {
        if let Role::Leader(leader) = &mut self.role
            && let Some(progress) = leader.progress.get_mut(id)
        {
            progress.flow = flow;
        }
    }
}

/// Installing.
impl Core {
    pub(super) fn on_install(&mut self, from: &ReplicaId, body: Body) {
        let Body::Install {
            position,
            membership,
            total,
            offset,
            data,
            round,
        } = body
        else {
            return;
        };
        if !self.hear_leader(from) {
            return;
        }
        if position.index <= self.commit {
            self.answer_installed(from, round);
            return;
        }
        self.add_piece(from, position, total, offset, &data);
        if self
            .incoming
            .as_ref()
            .is_some_and(|i| i.data.len() as u64 == total)
        {
            self.install(position, membership);
            self.answer_installed(from, round);
            return;
        }
        let received = self.incoming.as_ref().map_or(0, |i| i.data.len() as u64);
        let index = position.index;
        self.send(
            from,
            Body::InstallReply {
                round,
                index,
                received,
            },
        );
    }

    fn answer_installed(&mut self, from: &ReplicaId, round: Round) {
        let result = AppendResult::Matched(self.commit);
        self.send(from, Body::AppendReply { round, result });
    }

    fn add_piece(
        &mut self,
        from: &ReplicaId,
        position: Position,
        total: u64,
        offset: u64,
        data: &Command,
    ) {
        let limit = self.setup.limits.max_snapshot_bytes as u64;
        let same = |i: &Incoming| i.from == *from && i.position == position;
        if !self.incoming.as_ref().is_some_and(same) {
            self.incoming = Some(Incoming {
                from: from.clone(),
                position,
                data: Vec::new(),
            });
        }
        let Some(incoming) = &mut self.incoming else {
            return;
        };
        let held = incoming.data.len() as u64;
        if offset == held && held + data.len() as u64 <= total.min(limit) {
            incoming.data.extend_from_slice(data);
        }
    }

    fn install(&mut self, position: Position, membership: Membership) {
        let Some(incoming) = self.incoming.take() else {
            return;
        };
        let snapshot = Arc::new(Snapshot {
            position,
            membership,
            data: incoming.data.into(),
        });
        self.commit = position.index;
        self.snapshot_wanted = false;
        self.keep_snapshot(snapshot.clone());
        self.effects.committed.clear();
        self.effects.restored = Some(snapshot);
    }
}
