//! The thread that runs a replica: its syncs to disk must not hold up the links.

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
    Command as Bytes, FileStore, Input, LogIndex, Message, Options, Output, ProposalId, ReadId,
    Refusal, Replica, Status,
    raft::{Committed, Notice},
};
use nutmegwheel_events::{Event, Journal};
use tokio::sync::{oneshot, watch};

use super::{LogError, Publisher};
use crate::state::{Command, State, Verdict};

/// The most inputs that are synced together.
const BATCH: usize = 256;

/// What the thread is asked for.
pub(crate) enum Job {
    Message(Message),
    Commit {
        command: Bytes,
        reply: oneshot::Sender<Result<Verdict, LogError>>,
    },
    ReadIndex {
        reply: oneshot::Sender<Result<LogIndex, LogError>>,
    },
    Stop,
}

/// What the thread shows to others.
pub(crate) struct Shown {
    pub(crate) state: RwLock<State>,
    pub(crate) applied: watch::Sender<LogIndex>,
    pub(crate) status: RwLock<Option<Status>>,
}

/// What the thread works with.
pub(crate) struct Thread {
    pub(crate) jobs: Receiver<Job>,
    pub(crate) shown: Arc<Shown>,
    pub(crate) publisher: Box<dyn Publisher>,
    pub(crate) send: Box<dyn Fn(Message) + Send>,
    pub(crate) journal: Arc<Journal>,
    replica: Replica,
    commits: HashMap<ProposalId, oneshot::Sender<Result<Verdict, LogError>>>,
    reads: HashMap<ReadId, oneshot::Sender<Result<LogIndex, LogError>>>,
    next_id: u64,
}

/// The parts of a [`Thread`] that come from outside.
pub(crate) struct Parts {
    pub(crate) jobs: Receiver<Job>,
    pub(crate) shown: Arc<Shown>,
    pub(crate) publisher: Box<dyn Publisher>,
    pub(crate) send: Box<dyn Fn(Message) + Send>,
    pub(crate) journal: Arc<Journal>,
}

/// Lifecycle.
impl Thread {
    /// Opens the store and restores the state that it holds.
    pub(crate) fn open(folder: &Path, opts: &Options, parts: Parts) -> anyhow::Result<Self> {
        let store = FileStore::open(folder);
        let store = store.with_context(|| format!("open the log in {}", folder.display()))?;
        let random = Box::new(rand::random::<u64>);
        let (replica, outputs) = Replica::open(opts, Box::new(store), random, Instant::now())
            .with_context(|| format!("open the log in {}", folder.display()))?;
        let mut thread = Self {
            jobs: parts.jobs,
            shown: parts.shown,
            publisher: parts.publisher,
            send: parts.send,
            journal: parts.journal,
            replica,
            commits: HashMap::new(),
            reads: HashMap::new(),
            next_id: 0,
        };
        thread.act(outputs);
        Ok(thread)
    }

    /// Runs until it is told to stop.
    pub(crate) fn run(mut self) {
        loop {
            let Some(inputs) = self.next_inputs() else {
                return;
            };
            let outputs = self.replica.step_all(Instant::now(), inputs);
            self.act(outputs);
            self.show_status();
        }
    }

    /// Waits for jobs or the next tick; `None` is the end.
    fn next_inputs(&mut self) -> Option<Vec<Input>> {
        let now = Instant::now();
        let wait = self.replica.next_tick().saturating_duration_since(now);
        let mut inputs = Vec::new();
        match self.jobs.recv_timeout(wait) {
            Ok(job) => inputs.push(self.input(job)?),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return None,
        }
        while inputs.len() < BATCH {
            let Ok(job) = self.jobs.try_recv() else {
                break;
            };
            inputs.push(self.input(job)?);
        }
        if Instant::now() >= self.replica.next_tick() || inputs.is_empty() {
            inputs.push(Input::Tick);
        }
        Some(inputs)
    }

    fn input(&mut self, job: Job) -> Option<Input> {
        self.next_id += 1;
        let id = self.next_id;
        match job {
            Job::Message(message) => Some(Input::Message(message)),
            Job::Commit { command, reply } => {
                self.commits.insert(id, reply);
                Some(Input::Propose { id, command })
            }
            Job::ReadIndex { reply } => {
                self.reads.insert(id, reply);
                Some(Input::Read { id })
            }
            Job::Stop => None,
        }
    }
}

/// Acting on outputs.
impl Thread {
    fn act(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            self.act_on(output);
        }
    }

    fn act_on(&mut self, output: Output) {
        match output {
            Output::Send(message) => (self.send)(message),
            Output::Restore(snapshot) => self.restore(&snapshot.data, snapshot.position.index),
            Output::Committed(committed) => self.apply(&committed),
            Output::ReadReady { id, index } => {
                if let Some(reply) = self.reads.remove(&id) {
                    let _ = reply.send(Ok(index));
                }
            }
            Output::Refused(refusal) => self.refused(refusal),
            Output::OutcomeUnknown(id) => self.settle(id, Err(LogError::Unsettled)),
            Output::SnapshotRequested { index } => {
                let data = self.read(State::encode).into();
                let input = Input::Snapshot { index, data };
                let outputs = self.replica.step(Instant::now(), input);
                self.act(outputs);
            }
            Output::Notice(notice) => self.notice(&notice),
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
                self.write(|shown| *shown = state);
                self.shown.applied.send_replace(index);
            }
            // Nothing may be served from a state that cannot be read.
            Err(e) => panic!("the snapshot at {index} cannot be read: {e}"),
        }
    }

    fn apply(&mut self, committed: &Committed) {
        let verdict = match serde_json::from_slice::<Command>(&committed.command) {
            Ok(command) => Ok(self.apply_command(&command)),
            Err(e) => Err(LogError::Refused(format!("the command is malformed: {e}"))),
        };
        self.shown.applied.send_replace(committed.index);
        if let Some(id) = committed.proposal {
            self.settle(id, verdict);
        }
    }

    fn apply_command(&mut self, command: &Command) -> Verdict {
        let before = self.read(|state| state.view().version);
        let verdict = self.write(|state| state.apply(command));
        self.read(|state| {
            if state.view().version > before {
                let delta = command.delta();
                self.publisher.publish(state.view(), delta.as_ref());
            }
        });
        verdict
    }

    fn refused(&mut self, refusal: Refusal) {
        match refusal {
            Refusal::Proposal { id, reason } => self.settle(id, Err(reason.into())),
            Refusal::Read { id, reason } => {
                if let Some(reply) = self.reads.remove(&id) {
                    let _ = reply.send(Err(reason.into()));
                }
            }
            Refusal::Change { .. } => {}
        }
    }

    fn settle(&mut self, id: ProposalId, verdict: Result<Verdict, LogError>) {
        if let Some(reply) = self.commits.remove(&id) {
            let _ = reply.send(verdict);
        }
    }

    fn notice(&self, notice: &Notice) {
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

/// Showing.
impl Thread {
    fn show_status(&self) {
        let status = self.replica.status();
        // Entries without a command count as applied too, or a read after an election would wait
        // for the next command. While the store fails, outputs are held back behind the commit.
        if !status.storage_failed {
            self.shown.applied.send_if_modified(|applied| {
                let is_behind = *applied < status.commit;
                *applied = status.commit.max(*applied);
                is_behind
            });
        }
        let shown = self.shown.status.write();
        *shown.unwrap_or_else(PoisonError::into_inner) = Some(status);
    }

    fn read<T>(&self, work: impl FnOnce(&State) -> T) -> T {
        let state = self.shown.state.read();
        work(&state.unwrap_or_else(PoisonError::into_inner))
    }

    fn write<T>(&self, work: impl FnOnce(&mut State) -> T) -> T {
        let state = self.shown.state.write();
        work(&mut state.unwrap_or_else(PoisonError::into_inner))
    }
}
