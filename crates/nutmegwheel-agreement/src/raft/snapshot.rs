//! Snapshots. The application takes them; the leader sends them in chunks to members whose next
//! entry is no longer in its log.

use std::sync::Arc;

use nutmegwheel_types::plain;

use super::{Core, Role, leader::ProgressState};
use crate::{
    message::{AppendResult, Body},
    storage::Write,
    types::{Command, LogIndex, Membership, Payload, Position, ReplicaId, Round, Snapshot},
};

plain! {
    /// A snapshot from the leader that has arrived only in part.
    #[derive(Hash)]
    pub(crate) struct PartialSnapshot {
        from: ReplicaId,
        position: Position,
        data: Vec<u8>,
    }
}

impl Core {
    /// Requests a snapshot from the application once the log has reached `snapshot_log_bytes`.
    pub(super) fn request_snapshot(&mut self) {
        let large = self.log.bytes() >= self.setup.limits.snapshot_log_bytes;
        let useful = self.commit > self.log.base().index;
        if large && useful && !self.snapshot_requested {
            self.snapshot_requested = true;
            self.effects.snapshot_requested = Some(self.commit);
        }
    }

    pub(super) fn on_snapshot(&mut self, index: LogIndex, data: Command) {
        self.snapshot_requested = false;
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
        self.save_snapshot(Arc::new(snapshot));
    }

    fn save_snapshot(&mut self, snapshot: Arc<Snapshot>) {
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

impl Core {
    pub(super) fn start_snapshot(&mut self, to: &ReplicaId) -> Option<Body> {
        let index = self.snapshot.as_ref()?.position.index;
        self.set_progress_state(to, ProgressState::Snapshot { index, offset: 0 });
        self.snapshot_chunk(to)
    }

    /// Returns the next chunk to send. If a newer snapshot has replaced the one being sent, returns
    /// the first chunk of the newer one.
    pub(super) fn snapshot_chunk(&mut self, to: &ReplicaId) -> Option<Body> {
        let snapshot = self.snapshot.clone()?;
        let (state, round) = self.progress_state(to)?;
        let ProgressState::Snapshot { index, offset } = state else {
            return None;
        };
        let position = snapshot.position;
        let offset = if index == position.index { offset } else { 0 };
        self.set_progress_state(
            to,
            ProgressState::Snapshot {
                index: position.index,
                offset,
            },
        );
        Some(Body::Install {
            position,
            membership: snapshot.membership.clone(),
            total: snapshot.data.len() as u64,
            offset,
            data: self.chunk(&snapshot.data, offset),
            round,
        })
    }

    fn chunk(&self, data: &Command, offset: u64) -> Command {
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
        let current = match &mut progress.state {
            ProgressState::Snapshot { index: i, offset } if *i == index && *offset != received => {
                *offset = received;
                true
            }
            _ => false,
        };
        self.confirm_rounds();
        if current && let Some(chunk) = self.snapshot_chunk(from) {
            self.send(from, chunk);
        }
    }

    fn progress_state(&self, id: &ReplicaId) -> Option<(ProgressState, Round)> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        let progress = leader.progress.get(id)?;
        Some((progress.state.clone(), leader.round))
    }

    fn set_progress_state(&mut self, id: &ReplicaId, state: ProgressState) {
        if let Role::Leader(leader) = &mut self.role
            && let Some(progress) = leader.progress.get_mut(id)
        {
            progress.state = state;
        }
    }
}

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
        if !self.follow_leader(from) {
            return;
        }
        if position.index <= self.commit {
            self.answer_installed(from, round);
            return;
        }
        self.append_chunk(from, position, total, offset, &data);
        if self
            .incoming_snapshot
            .as_ref()
            .is_some_and(|i| i.data.len() as u64 == total)
        {
            self.install(position, membership);
            self.answer_installed(from, round);
            return;
        }
        let received = self
            .incoming_snapshot
            .as_ref()
            .map_or(0, |i| i.data.len() as u64);
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

    fn append_chunk(
        &mut self,
        from: &ReplicaId,
        position: Position,
        total: u64,
        offset: u64,
        data: &Command,
    ) {
        let limit = self.setup.limits.max_snapshot_bytes as u64;
        let same = |i: &PartialSnapshot| i.from == *from && i.position == position;
        if !self.incoming_snapshot.as_ref().is_some_and(same) {
            self.incoming_snapshot = Some(PartialSnapshot {
                from: from.clone(),
                position,
                data: Vec::new(),
            });
        }
        let Some(incoming) = &mut self.incoming_snapshot else {
            return;
        };
        let held = incoming.data.len() as u64;
        if offset == held && held + data.len() as u64 <= total.min(limit) {
            incoming.data.extend_from_slice(data);
        }
    }

    fn install(&mut self, position: Position, membership: Membership) {
        let Some(incoming) = self.incoming_snapshot.take() else {
            return;
        };
        let snapshot = Arc::new(Snapshot {
            position,
            membership,
            data: incoming.data.into(),
        });
        self.commit = position.index;
        self.snapshot_requested = false;
        self.save_snapshot(snapshot.clone());
        self.effects.committed.clear();
        self.effects.restored = Some(snapshot);
    }
}
