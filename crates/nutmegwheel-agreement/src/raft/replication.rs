//! Log replication from the leader to its followers, and the commit index.

use super::{
    Committed, Core, Role,
    leader::{Progress, ProgressState},
};
use crate::{
    message::{AppendResult, Body},
    types::{Entry, LogIndex, Payload, Position, ReplicaId, Round},
};

/// Replication on the leader.
impl Core {
    pub(super) fn on_heartbeat(&mut self) {
        if self.is_leader() {
            self.start_round();
        }
    }

    /// Sends a heartbeat to every member; replies from a quorum confirm that this replica was still
    /// the leader when the round started.
    pub(super) fn start_round(&mut self) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        leader.round += 1;
        self.effects.round_started = Some(leader.round);
        self.send_to_all(true);
        self.confirm_rounds();
    }

    pub(super) fn send_to_all(&mut self, heartbeat: bool) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let members: Vec<_> = leader.progress.keys().cloned().collect();
        for member in &members {
            self.send_entries(member, heartbeat);
        }
    }

    /// Sends the entries that the member's progress state permits. With `heartbeat`, it sends at
    /// least one message.
    pub(super) fn send_entries(&mut self, to: &ReplicaId, heartbeat: bool) {
        let mut heartbeat = heartbeat;
        while let Some(body) = self.next_append(to, heartbeat) {
            heartbeat = false;
            self.send(to, body);
        }
    }

    fn next_append(&mut self, to: &ReplicaId, heartbeat: bool) -> Option<Body> {
        let limits = self.setup.limits;
        let commit = self.commit;
        let Role::Leader(leader) = &mut self.role else {
            return None;
        };
        let round = leader.round;
        let progress = leader.progress.get_mut(to)?;
        if let ProgressState::Snapshot { .. } = progress.state {
            return heartbeat.then(|| self.snapshot_chunk(to)).flatten();
        }
        let Some(prev_term) = self.log.term_at(progress.next - 1) else {
            return self.start_snapshot(to);
        };
        let prev = Position {
            term: prev_term,
            index: progress.next - 1,
        };
        let entries = progress.next_batch(&self.log, &limits, heartbeat);
        if entries.is_empty() && !heartbeat {
            return None;
        }
        Some(Body::Append {
            prev,
            entries,
            commit,
            round,
        })
    }

    pub(super) fn on_append_reply(
        &mut self,
        from: &ReplicaId,
        round: Round,
        result: &AppendResult,
    ) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(from) else {
            return;
        };
        progress.round = progress.round.max(round);
        match *result {
            AppendResult::Matched(index) => progress.on_matched(index),
            AppendResult::Rejected { prev, hint } => progress.on_rejected(prev, hint),
        }
        self.advance_commit();
        self.confirm_rounds();
        self.send_entries(from, false);
    }

    /// Commits the entries that a quorum of voters has stored. It counts only copies of entries of
    /// the current term; once such an entry is committed, so are all entries before it.
    pub(super) fn advance_commit(&mut self) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let own = self.last().index;
        let index = self.quorum_value(own, |id| leader.progress.get(id).map_or(0, |p| p.matched));
        if index > self.commit && self.log.term_at(index) == Some(self.hard_state.term) {
            self.commit_to(index);
            self.release_reads();
        }
    }

    /// Returns the highest value that a majority of the voters has reached. `own` is the value of
    /// this replica, and `of` returns that of another voter.
    pub(super) fn quorum_value(&self, own: u64, of: impl Fn(&ReplicaId) -> u64) -> u64 {
        let voters = &self.membership.voters;
        let value = |id| if id == self.id() { own } else { of(id) };
        let mut values: Vec<u64> = voters.iter().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        let at = self.membership.quorum() - 1;
        values.get(at).copied().unwrap_or(0)
    }
}

impl Progress {
    fn next_batch(
        &mut self,
        log: &crate::log::Log,
        limits: &super::Limits,
        heartbeat: bool,
    ) -> Vec<Entry> {
        let may_send = match &self.state {
            ProgressState::Probe { waiting } => !waiting || heartbeat,
            ProgressState::Pipeline { inflight } => inflight.len() < limits.max_inflight,
            ProgressState::Snapshot { .. } => false,
        };
        if !may_send {
            return Vec::new();
        }
        let entries = log.batch(self.next, limits.max_batch_bytes);
        let Some(last) = entries.last().map(|e| e.position.index) else {
            return entries;
        };
        match &mut self.state {
            ProgressState::Probe { waiting } => *waiting = true,
            ProgressState::Pipeline { inflight } => {
                inflight.push_back(last);
                self.next = last + 1;
            }
            ProgressState::Snapshot { .. } => {}
        }
        entries
    }

    fn on_matched(&mut self, index: LogIndex) {
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched + 1);
        match &mut self.state {
            ProgressState::Probe { .. } => {
                self.next = self.matched + 1;
                self.state = ProgressState::Pipeline {
                    inflight: std::collections::VecDeque::new(),
                };
            }
            ProgressState::Pipeline { inflight } => inflight.retain(|last| *last > index),
            ProgressState::Snapshot { index: sent, .. } if self.matched >= *sent => {
                self.state = ProgressState::Probe { waiting: false };
            }
            ProgressState::Snapshot { .. } => {}
        }
    }

    /// Moves `next` back to the index after the last entry that may match the member's log. Ignores
    /// late replies to earlier messages.
    fn on_rejected(&mut self, prev: LogIndex, hint: LogIndex) {
        let outdated = match &self.state {
            ProgressState::Probe { .. } => prev != self.next - 1,
            ProgressState::Pipeline { .. } => prev <= self.matched,
            ProgressState::Snapshot { .. } => true,
        };
        if outdated {
            return;
        }
        self.next = hint.min(prev.saturating_sub(1)).max(self.matched) + 1;
        self.state = ProgressState::Probe { waiting: false };
    }
}

/// Replication on a follower.
impl Core {
    pub(super) fn on_append(&mut self, from: &ReplicaId, body: Body) {
        let Body::Append {
            prev,
            entries,
            commit,
            round,
        } = body
        else {
            return;
        };
        if !self.follow_leader(from) {
            return;
        }
        let result = self.accept_entries(prev, entries, commit);
        self.send(from, Body::AppendReply { round, result });
    }

    /// Becomes a follower of `from`, the leader of the current term. Returns false if this replica
    /// itself leads that term.
    pub(super) fn follow_leader(&mut self, from: &ReplicaId) -> bool {
        if self.is_leader() {
            return false;
        }
        self.become_follower(self.hard_state.term, Some(from.clone()));
        self.effects.leader_contact = true;
        true
    }

    fn accept_entries(
        &mut self,
        prev: Position,
        entries: Vec<Entry>,
        commit: LogIndex,
    ) -> AppendResult {
        let reached = prev.index + entries.len() as u64;
        if reached <= self.commit {
            return AppendResult::Matched(self.commit);
        }
        if prev.index >= self.commit && !self.log.contains(prev) {
            return AppendResult::Rejected {
                prev: prev.index,
                hint: self.conflict_hint(prev),
            };
        }
        let new = self.new_entries(entries);
        if !new.is_empty() {
            self.append_entries(new);
        }
        self.commit_to(commit.min(reached));
        AppendResult::Matched(reached)
    }

    /// Skips the entries that the log already contains, so that a delayed message does not truncate
    /// newer ones.
    fn new_entries(&self, entries: Vec<Entry>) -> Vec<Entry> {
        let held = |e: &Entry| e.position.index <= self.commit || self.log.contains(e.position);
        entries.into_iter().skip_while(held).collect()
    }

    /// Returns the index that the leader should try next: the last one before the conflicting term,
    /// or the last entry if the log is shorter.
    fn conflict_hint(&self, prev: Position) -> LogIndex {
        let Some(term) = self.log.term_at(prev.index) else {
            return self.last().index.max(self.commit);
        };
        let mut index = prev.index;
        while index > self.commit && self.log.term_at(index) == Some(term) {
            index -= 1;
        }
        index
    }

    /// Advances the commit index, at most to the end of the log, and emits the committed commands.
    pub(super) fn commit_to(&mut self, index: LogIndex) {
        let index = index.min(self.last().index);
        while self.commit < index {
            self.commit += 1;
            self.emit_committed(self.commit);
        }
    }

    fn emit_committed(&mut self, index: LogIndex) {
        let Some(entry) = self.log.get(index) else {
            return;
        };
        let Payload::Command(command) = &entry.payload else {
            return;
        };
        let command = command.clone();
        let term = entry.position.term;
        let proposal = match &mut self.role {
            Role::Leader(leader) => leader.proposals.remove(&index),
            _ => None,
        };
        self.effects.committed.push(Committed {
            index,
            term,
            command,
            proposal,
        });
    }
}
