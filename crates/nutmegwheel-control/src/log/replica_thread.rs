//! The thread that runs a replica, so that syncs to disk do not block the link tasks.

use std::{
    collections::HashMap,
    path::Path,
    sync::{
        Arc, PoisonError, RwLock,
        mpsc::{Receiver, RecvTimeoutError},
    },
    time::Instant,
};

use anyhow::Context as _;
use nutmegwheel_agreement::{
    Command as CommandBytes, FileStore, Input, LogIndex, Message, Options, Output, ProposalId,
    ReadId, Refusal, Replica, Status,
    raft::{Committed, Notice},
};
use nutmegwheel_events::{Event, Journal};
use tokio::sync::{oneshot, watch};

use super::{LogError, Publisher};
use crate::state::{Command, CommandOutcome, State};

/// The maximum number of inputs that are processed, and synced to disk, together.
const MAX_BATCH_INPUTS: usize = 256;

/// A request to the thread of the replica.
pub(crate) enum Job {
    Message(Message),
    Commit {
        command: CommandBytes,
        reply: oneshot::Sender<Result<CommandOutcome, LogError>>,
    },
    ReadIndex {
        reply: oneshot::Sender<Result<LogIndex, LogError>>,
    },
    Stop,
}

/// The state and status that the thread updates and other tasks read.
pub(crate) struct SharedState {
    pub(crate) state: RwLock<State>,
    pub(crate) applied: watch::Sender<LogIndex>,
    pub(crate) status: RwLock<Option<Status>>,
}

/// A replica with the requests that wait for its outputs.
pub(crate) struct ReplicaThread {
    pub(crate) jobs: Receiver<Job>,
    pub(crate) shared: Arc<SharedState>,
    pub(crate) publisher: Box<dyn Publisher>,
    pub(crate) send: Box<dyn Fn(Message) + Send>,
    pub(crate) journal: Arc<Journal>,
    replica: Replica,
    pending_commits: HashMap<ProposalId, oneshot::Sender<Result<CommandOutcome, LogError>>>,
    pending_reads: HashMap<ReadId, oneshot::Sender<Result<LogIndex, LogError>>>,
    next_id: u64,
}

/// The channels and callbacks that connect a [`ReplicaThread`] to the rest of the process.
pub(crate) struct ThreadContext {
    pub(crate) jobs: Receiver<Job>,
    pub(crate) shared: Arc<SharedState>,
    pub(crate) publisher: Box<dyn Publisher>,
    pub(crate) send: Box<dyn Fn(Message) + Send>,
    pub(crate) journal: Arc<Journal>,
}

impl ReplicaThread {
    /// Opens the store and restores the state from it.
    pub(crate) fn open(
        folder: &Path,
        opts: &Options,
        context: ThreadContext,
    ) -> anyhow::Result<Self> {
        let store = FileStore::open(folder);
        let store = store.with_context(|| format!("open the log in {}", folder.display()))?;
        let random = Box::new(rand::random::<u64>);
        let (replica, outputs) = Replica::open(opts, Box::new(store), random, Instant::now())
            .with_context(|| format!("open the log in {}", folder.display()))?;
        let mut thread = Self {
            jobs: context.jobs,
            shared: context.shared,
            publisher: context.publisher,
            send: context.send,
            journal: context.journal,
            replica,
            pending_commits: HashMap::new(),
            pending_reads: HashMap::new(),
            next_id: 0,
        };
        thread.handle_outputs(outputs);
        Ok(thread)
    }

    /// Processes jobs and ticks until it receives [`Job::Stop`] or all senders are dropped.
    pub(crate) fn run(mut self) {
        loop {
            let Some(inputs) = self.next_inputs() else {
                return;
            };
            let outputs = self.replica.step_all(Instant::now(), inputs);
            self.handle_outputs(outputs);
            self.publish_status();
        }
    }

    /// Waits for jobs or the next tick, and returns `None` when the thread must stop.
    fn next_inputs(&mut self) -> Option<Vec<Input>> {
        let now = Instant::now();
        let wait = self.replica.next_tick().saturating_duration_since(now);
        let mut inputs = Vec::new();
        match self.jobs.recv_timeout(wait) {
            Ok(job) => inputs.push(self.job_to_input(job)?),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return None,
        }
        while inputs.len() < MAX_BATCH_INPUTS {
            let Ok(job) = self.jobs.try_recv() else {
                break;
            };
            inputs.push(self.job_to_input(job)?);
        }
        if Instant::now() >= self.replica.next_tick() || inputs.is_empty() {
            inputs.push(Input::Tick);
        }
        Some(inputs)
    }

    /// Converts a job to an input of the replica and keeps its reply channel. Returns `None` for
    /// [`Job::Stop`].
    fn job_to_input(&mut self, job: Job) -> Option<Input> {
        self.next_id += 1;
        let id = self.next_id;
        match job {
            Job::Message(message) => Some(Input::Message(message)),
            Job::Commit { command, reply } => {
                self.pending_commits.insert(id, reply);
                Some(Input::Propose { id, command })
            }
            Job::ReadIndex { reply } => {
                self.pending_reads.insert(id, reply);
                Some(Input::Read { id })
            }
            Job::Stop => None,
        }
    }
}

impl ReplicaThread {
    fn handle_outputs(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            self.handle_output(output);
        }
    }

    fn handle_output(&mut self, output: Output) {
        match output {
            Output::Send(message) => (self.send)(message),
            Output::Restore(snapshot) => self.restore(&snapshot.data, snapshot.position.index),
            Output::Committed(committed) => self.apply(&committed),
            Output::ReadReady { id, index } => {
                if let Some(reply) = self.pending_reads.remove(&id) {
                    let _ = reply.send(Ok(index));
                }
            }
            Output::Refused(refusal) => self.handle_refusal(refusal),
            Output::OutcomeUnknown(id) => self.complete_commit(id, Err(LogError::OutcomeUnknown)),
            Output::SnapshotRequested { index } => {
                let data = self.with_state(State::encode).into();
                let input = Input::Snapshot { index, data };
                let outputs = self.replica.step(Instant::now(), input);
                self.handle_outputs(outputs);
            }
            Output::Notice(notice) => self.emit_notice(&notice),
            Output::StorageFailed(e) => self.journal.emit(Event::StorageFailed, &[("error", &e)]),
            Output::StorageRecovered => self
                .journal
                .emit(Event::StorageFailed, &[("error", &"none any more")]),
        }
    }

    fn restore(&mut self, data: &[u8], index: LogIndex) {
        match State::decode(data) {
            Ok(state) => {
                self.publisher.publish(state.view(), None);
                self.with_state_mut(|current| *current = state);
                self.shared.applied.send_replace(index);
            }
            // No request may be served without a readable state.
            Err(e) => panic!("the snapshot at {index} cannot be read: {e}"),
        }
    }

    fn apply(&mut self, committed: &Committed) {
        let outcome = match serde_json::from_slice::<Command>(&committed.command) {
            Ok(command) => Ok(self.apply_command(&command)),
            Err(e) => Err(LogError::Refused(format!("the command is malformed: {e}"))),
        };
        self.shared.applied.send_replace(committed.index);
        if let Some(id) = committed.proposal {
            self.complete_commit(id, outcome);
        }
    }

    fn apply_command(&mut self, command: &Command) -> CommandOutcome {
        let before = self.with_state(|state| state.view().version);
        let outcome = self.with_state_mut(|state| state.apply(command));
        self.with_state(|state| {
            if state.view().version > before {
                let delta = command.delta();
                self.publisher.publish(state.view(), delta.as_ref());
            }
        });
        outcome
    }

    fn handle_refusal(&mut self, refusal: Refusal) {
        match refusal {
            Refusal::Proposal { id, reason } => self.complete_commit(id, Err(reason.into())),
            Refusal::Read { id, reason } => {
                if let Some(reply) = self.pending_reads.remove(&id) {
                    let _ = reply.send(Err(reason.into()));
                }
            }
            Refusal::Change { .. } => {}
        }
    }

    fn complete_commit(&mut self, id: ProposalId, outcome: Result<CommandOutcome, LogError>) {
        if let Some(reply) = self.pending_commits.remove(&id) {
            let _ = reply.send(outcome);
        }
    }

    fn emit_notice(&self, notice: &Notice) {
        let (event, detail) = match notice {
            Notice::Bootstrapped(members) | Notice::MembershipChanged(members) => {
                let names: Vec<String> = members.members().map(ToString::to_string).collect();
                (Event::ControlMembersChanged, names.join(" "))
            }
            Notice::Leading(term) => (Event::LeaderElected, format!("term {term}")),
            Notice::SteppedDown(term) => (Event::LeaderStoodDown, format!("term {term}")),
            Notice::JoinRequested(id) => {
                (Event::ControlMembersChanged, format!("{id} asks to join"))
            }
        };
        self.journal.emit(event, &[("detail", &detail)]);
    }
}

impl ReplicaThread {
    fn publish_status(&self) {
        let status = self.replica.status();
        // Entries without a command also count as applied. Otherwise a read after an election would
        // wait for the next command. While the store fails, outputs are held back although the
        // commit index is ahead.
        if !status.storage_failed {
            self.shared.applied.send_if_modified(|applied| {
                let is_behind = *applied < status.commit;
                *applied = status.commit.max(*applied);
                is_behind
            });
        }
        let current = self.shared.status.write();
        *current.unwrap_or_else(PoisonError::into_inner) = Some(status);
    }

    fn with_state<T>(&self, work: impl FnOnce(&State) -> T) -> T {
        let state = self.shared.state.read();
        work(&state.unwrap_or_else(PoisonError::into_inner))
    }

    fn with_state_mut<T>(&self, work: impl FnOnce(&mut State) -> T) -> T {
        let state = self.shared.state.write();
        work(&mut state.unwrap_or_else(PoisonError::into_inner))
    }
}
