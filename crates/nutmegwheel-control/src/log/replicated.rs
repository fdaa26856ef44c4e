use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::{Arc, OnceLock, PoisonError, RwLock, mpsc},
    time::{Duration, Instant},
};

use bytes::Bytes;
use nutmegwheel_agreement::{LogIndex, Message, ReplicaName, Status};
use nutmegwheel_config::View;
use nutmegwheel_events::Journal;
use nutmegwheel_limits::share::Table;
use nutmegwheel_link::{Endpoint, Reply, Request, Topic};
use nutmegwheel_types::ProcessName;
use nutmegwheel_wire::topic;
use serde_json::{Value, json};
use tokio::sync::{oneshot, watch};

use super::{
    CommitFuture, Group, Log, LogError, Publisher,
    replica_thread::{Job, ReplicaThread, SharedState, ThreadContext},
};
use crate::state::{ChangeNumber, Command, CommandOutcome, CommittedChange, Published, State};

/// The time limit for committing a command, after which its outcome is reported as not certain.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(3);
/// The time limit for one request that is forwarded to the leader.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(1);
/// The delay before a command is proposed again, for example during a leader election.
const COMMIT_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// The time limit for applying the log up to a read index.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(500);
/// The folder of the log, relative to the data folder.
const LOG_FOLDER: &str = "log";

/// Options of [`ReplicatedLog::open`].
pub(crate) struct Options {
    pub(crate) name: ProcessName,
    pub(crate) group: Group,
    pub(crate) data_folder: PathBuf,
    pub(crate) journal: Arc<Journal>,
}

/// A handle of this process's replica of the log, which runs on a separate thread.
pub(crate) struct ReplicatedLog {
    name: ReplicaName,
    group: Arc<Group>,
    jobs: mpsc::Sender<Job>,
    shared: Arc<SharedState>,
    endpoint: Arc<OnceLock<Endpoint>>,
}

impl ReplicatedLog {
    /// Opens the store of the replica and starts its thread.
    pub(crate) fn open(opts: Options, publisher: impl Publisher) -> anyhow::Result<Self> {
        let (jobs, received) = mpsc::channel();
        let shared = Arc::new(SharedState {
            state: RwLock::new(State::default()),
            applied: watch::Sender::new(0),
            status: RwLock::default(),
        });
        let group = Arc::new(opts.group);
        let endpoint = Arc::new(OnceLock::new());
        let context = ThreadContext {
            jobs: received,
            shared: shared.clone(),
            publisher: Box::new(publisher),
            send: Box::new(sender(group.clone(), endpoint.clone())),
            journal: opts.journal,
        };
        let settings = group.consensus_options(&opts.name);
        let folder = opts.data_folder.join(LOG_FOLDER);
        let runtime = tokio::runtime::Handle::current();
        let thread = ReplicaThread::open(&folder, &settings, context)?;
        std::thread::Builder::new()
            .name("agreement".into())
            .spawn(move || {
                let _runtime = runtime.enter();
                thread.run();
            })?;
        Ok(Self {
            name: opts.name,
            group,
            jobs,
            shared,
            endpoint,
        })
    }

    /// Sets the link endpoint. It is opened after the log, which must be able to answer its
    /// requests.
    pub(crate) fn connect(&self, endpoint: Endpoint) {
        let _ = self.endpoint.set(endpoint);
    }

    /// Stops the thread of the replica.
    pub(crate) fn stop(&self) {
        let _ = self.jobs.send(Job::Stop);
    }
}

impl ReplicatedLog {
    pub(crate) fn receive(&self, body: &Bytes) {
        if let Ok(message) = Message::decode(body) {
            let _ = self.jobs.send(Job::Message(message));
        }
    }

    /// Answers a request that another control VM forwarded to this one as the leader.
    pub(crate) async fn serve(&self, topic: Topic, body: Bytes) -> Reply {
        let answer = match topic {
            topic::COMMIT => serde_json::to_vec(&err_to_text(self.propose(body).await)),
            topic::READ_INDEX => serde_json::to_vec(&err_to_text(self.leader_read_index().await)),
            _ => Ok(Vec::new()),
        };
        Reply {
            head: Bytes::new(),
            body: answer.unwrap_or_default().into(),
        }
    }
}

/// Converts the error to text for the reply, since the sender only distinguishes outcome and error.
fn err_to_text<T>(result: Result<T, LogError>) -> Result<T, String> {
    result.map_err(|e| e.to_string())
}

impl ReplicatedLog {
    /// Waits until this replica has applied every entry that was committed before the call.
    pub(crate) async fn catch_up(&self) -> Result<(), LogError> {
        let index = match self.leader_read_index().await {
            Err(LogError::NotLeader(Some(leader))) if leader != self.name => {
                self.forward(&leader, topic::READ_INDEX, Bytes::new())
                    .await?
            }
            result => result?,
        };
        let mut applied = self.shared.applied.subscribe();
        let caught_up = applied.wait_for(|applied| *applied >= index);
        match tokio::time::timeout(CATCH_UP_TIMEOUT, caught_up).await {
            Ok(Ok(_)) => Ok(()),
            _ => Err(LogError::Refused("the state lags behind".into())),
        }
    }

    /// The published configuration in the state that this replica has applied.
    pub(crate) fn published(&self) -> Option<Published> {
        self.with_state(|state| state.published().cloned())
    }

    /// The shares of the data centres in the state that this replica has applied.
    pub(crate) fn shares(&self) -> Table {
        self.with_state(|state| state.shares().clone())
    }

    /// The current term, or `None` if this replica does not lead.
    pub(crate) fn leading_term(&self) -> Option<u64> {
        let status = self.replica_status()?;
        let leads = status.leader.as_ref() == Some(&status.id);
        leads.then_some(status.term)
    }

    /// Runs `work` on the newest view that this replica has applied, without copying it. The state
    /// is locked for reading meanwhile.
    pub(crate) fn with_view<T>(&self, work: impl FnOnce(&View) -> T) -> T {
        self.with_state(|state| work(state.view()))
    }

    /// The address at which the leader accepts links, if known.
    pub(crate) fn leader_address(&self) -> Option<SocketAddr> {
        let leader = self.replica_status()?.leader?;
        self.group.address(&leader.name)
    }

    async fn commit_within(
        &self,
        command: Bytes,
        limit: Duration,
    ) -> Result<CommandOutcome, LogError> {
        let end = Instant::now() + limit;
        loop {
            let e = match self.try_commit(command.clone()).await {
                Ok(outcome) => return Ok(outcome),
                Err(e) => e,
            };
            if matches!(e, LogError::Stopped) || Instant::now() >= end {
                return Err(e);
            }
            tokio::time::sleep(COMMIT_RETRY_INTERVAL).await;
        }
    }

    /// Proposes a command here or at the leader. A command may be proposed again, because each
    /// number and each withdrawal takes effect at most once.
    async fn try_commit(&self, command: Bytes) -> Result<CommandOutcome, LogError> {
        match self.propose(command.clone()).await {
            Err(LogError::NotLeader(Some(leader))) if leader != self.name => {
                self.forward(&leader, topic::COMMIT, command).await
            }
            result => result,
        }
    }

    async fn propose(&self, command: Bytes) -> Result<CommandOutcome, LogError> {
        let (reply, outcome) = oneshot::channel();
        let command = command.as_ref().into();
        self.send_job(Job::Commit { command, reply })?;
        outcome.await.map_err(|_| LogError::Stopped)?
    }

    async fn leader_read_index(&self) -> Result<LogIndex, LogError> {
        let (reply, index) = oneshot::channel();
        self.send_job(Job::ReadIndex { reply })?;
        index.await.map_err(|_| LogError::Stopped)?
    }

    fn send_job(&self, job: Job) -> Result<(), LogError> {
        self.jobs.send(job).map_err(|_| LogError::Stopped)
    }

    async fn forward<T: serde::de::DeserializeOwned>(
        &self,
        leader: &ReplicaName,
        topic: Topic,
        body: Bytes,
    ) -> Result<T, LogError> {
        let unreachable = |detail: String| LogError::Unreachable {
            peer: leader.clone(),
            step: "forward to the leader",
            detail,
        };
        let address = self.group.address(leader);
        let address = address.ok_or_else(|| unreachable("no address".into()))?;
        let endpoint = self.endpoint.get();
        let endpoint = endpoint.ok_or_else(|| unreachable("the links are not up".into()))?;
        let req = Request {
            topic,
            head: Bytes::new(),
            body,
        };
        let reply = endpoint.call(address, req, Instant::now() + FORWARD_TIMEOUT);
        let reply = reply.await.map_err(|e| unreachable(e.to_string()))?;
        let answer: Result<T, String> =
            serde_json::from_slice(&reply.body).map_err(|e| unreachable(e.to_string()))?;
        answer.map_err(LogError::Refused)
    }

    fn replica_status(&self) -> Option<Status> {
        let status = self.shared.status.read();
        status.unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn with_state<T>(&self, work: impl FnOnce(&State) -> T) -> T {
        let state = self.shared.state.read();
        work(&state.unwrap_or_else(PoisonError::into_inner))
    }
}

impl Log for ReplicatedLog {
    fn commit(&self, command: Command) -> CommitFuture<'_> {
        Box::pin(async move {
            let command = serde_json::to_vec(&command).unwrap_or_default();
            self.commit_within(command.into(), COMMIT_TIMEOUT).await
        })
    }

    fn view(&self) -> View {
        self.with_state(|state| state.view().clone())
    }

    fn last_change(&self) -> ChangeNumber {
        self.with_state(State::last_change)
    }

    fn committed_change(&self, number: ChangeNumber) -> Option<CommittedChange> {
        self.with_state(|state| state.committed_change(number).cloned())
    }

    fn status(&self) -> Value {
        let Some(status) = self.replica_status() else {
            return Value::Null;
        };
        let names = |ids: &std::collections::BTreeSet<_>| -> Vec<String> {
            ids.iter().map(ToString::to_string).collect()
        };
        json!({
            "role": format!("{:?}", status.role),
            "term": status.term,
            "leader": status.leader.map(|id| id.name),
            "voters": names(&status.membership.voters),
            "learners": names(&status.membership.learners),
            "commit": status.commit,
            "snapshot": status.snapshot.index,
            "log_bytes": status.log_bytes,
            "storage_failed": status.storage_failed,
        })
    }
}

/// Returns the function that sends the messages of a replica over the links. Messages that cannot
/// be sent are dropped.
fn sender(group: Arc<Group>, endpoint: Arc<OnceLock<Endpoint>>) -> impl Fn(Message) + Send {
    move |message| {
        if let (Some(address), Some(endpoint)) = (group.address(&message.to), endpoint.get()) {
            endpoint.send(address, topic::AGREEMENT, message.encode().into());
        }
    }
}
