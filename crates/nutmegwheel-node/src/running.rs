use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use nutmegwheel_policy::retry::ChainBudget;
use nutmegwheel_types::{Context, KeyHash, Priority, ProcessName, ServiceId, plain};

/// The opaque token with which a backend server refers to the request that it works on.
pub(crate) type Token = u128;

/// The maximum number of downstream backend servers that an answer lists.
const MAX_DOWNSTREAM_SERVERS: usize = 32;

plain! {
    /// A backend server further down the chain, with its shed level.
    pub(crate) struct DownstreamServer {
        pub(crate) service: ServiceId,
        pub(crate) node: ProcessName,
        pub(crate) level: Option<Priority>,
    }
}

/// A running request, as the parent of the downstream calls made for it.
pub(crate) struct Parent {
    pub(crate) context: Context,
    pub(crate) key: Option<KeyHash>,
    pub(crate) deadline: Instant,
    state: Mutex<State>,
}

struct State {
    chain: ChainBudget,
    downstream: Vec<DownstreamServer>,
    calls: CallTime,
}

/// The time that a request has spent on calls of its own, of which several may be open at once.
#[derive(Default)]
struct CallTime {
    open: u32,
    since: Option<Instant>,
    total: Duration,
}

/// An open call of a [`Parent`], until it is dropped.
pub(crate) struct OpenCall<'a>(&'a Parent);

impl Parent {
    pub(crate) fn open(context: Context, key: Option<KeyHash>, deadline: Instant) -> Self {
        let chain = ChainBudget::open(context.retry_tokens);
        Self {
            context,
            key,
            deadline,
            state: Mutex::new(State {
                chain,
                downstream: Vec::new(),
                calls: CallTime::default(),
            }),
        }
    }

    /// Runs `work` on the retry budget of the chain.
    pub(crate) fn with_chain<T>(&self, work: impl FnOnce(&mut ChainBudget) -> T) -> T {
        work(&mut self.lock().chain)
    }

    /// Counts the time until the result is dropped as spent on calls.
    pub(crate) fn begin_call(&self, now: Instant) -> OpenCall<'_> {
        let calls = &mut self.lock().calls;
        calls.open += 1;
        calls.since.get_or_insert(now);
        OpenCall(self)
    }

    /// The time during which at least one call was open.
    pub(crate) fn time_waited(&self, now: Instant) -> Duration {
        let calls = &self.lock().calls;
        let open = calls.since.map(|at| now.saturating_duration_since(at));
        calls.total + open.unwrap_or_default()
    }

    /// Records the downstream backend servers that an answer listed.
    pub(crate) fn record_downstream(&self, downstream: impl IntoIterator<Item = DownstreamServer>) {
        let mut state = self.lock();
        for new in downstream {
            let same_server =
                |old: &&mut DownstreamServer| old.service == new.service && old.node == new.node;
            if let Some(old) = state.downstream.iter_mut().find(same_server) {
                old.level = new.level;
            } else if state.downstream.len() < MAX_DOWNSTREAM_SERVERS {
                state.downstream.push(new);
            }
        }
    }

    /// The downstream backend servers recorded so far.
    pub(crate) fn downstream(&self) -> Vec<DownstreamServer> {
        self.lock().downstream.clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for OpenCall<'_> {
    fn drop(&mut self) {
        let calls = &mut self.0.lock().calls;
        calls.open -= 1;
        if calls.open == 0
            && let Some(at) = calls.since.take()
        {
            calls.total += at.elapsed();
        }
    }
}

/// The requests that the local backend server works on.
#[derive(Default)]
pub(crate) struct Running {
    state: Mutex<Index>,
}

#[derive(Default)]
struct Index {
    parents: HashMap<Token, Arc<Parent>>,
    /// Tokens by the callers' request ids, if the dialect has them.
    tokens: HashMap<Box<str>, Token>,
}

/// Registers a parent in [`Running`] and removes it when dropped.
pub(crate) struct Entry<'a> {
    running: &'a Running,
    id: Option<Box<str>>,
    pub(crate) token: Token,
}

impl Running {
    /// Registers a parent under a new token, and under its caller's request id if there is one.
    pub(crate) fn enter(&self, parent: Arc<Parent>, id: Option<&str>) -> Entry<'_> {
        let token = rand::random();
        let id: Option<Box<str>> = id.map(Into::into);
        let mut index = self.lock();
        index.parents.insert(token, parent);
        if let Some(id) = &id {
            index.tokens.insert(id.clone(), token);
        }
        drop(index);
        Entry {
            running: self,
            id,
            token,
        }
    }

    pub(crate) fn parent(&self, token: Token) -> Option<Arc<Parent>> {
        self.lock().parents.get(&token).cloned()
    }

    /// The parent whose caller gave it the request id `id`.
    pub(crate) fn parent_by_id(&self, id: &str) -> Option<Arc<Parent>> {
        let index = self.lock();
        let token = index.tokens.get(id)?;
        index.parents.get(token).cloned()
    }

    pub(crate) fn count(&self) -> usize {
        self.lock().parents.len()
    }

    fn lock(&self) -> MutexGuard<'_, Index> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Entry<'_> {
    fn drop(&mut self) {
        let mut index = self.running.lock();
        index.parents.remove(&self.token);
        if let Some(id) = &self.id
            && index.tokens.get(id) == Some(&self.token)
        {
            index.tokens.remove(id);
        }
    }
}
