use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use nutmegwheel_policy::retry::ChainBudget;
use nutmegwheel_types::{Context, KeyHash, Priority, ProcessName, ServiceId, plain};

/// The opaque word by which a backend server names the request that it works for.
pub(crate) type Token = u128;

/// The most backend servers further down that an answer tells of.
const MAX_DOWNSTREAM_SERVERS: usize = 32;

plain! {
    /// A backend server further down the chain, with the level at which it sheds.
    pub(crate) struct DownstreamServer {
        pub(crate) service: ServiceId,
        pub(crate) node: ProcessName,
        pub(crate) level: Option<Priority>,
    }
}

/// A request in the system, as the root of the calls made for it.
pub(crate) struct Parent {
    pub(crate) context: Context,
    pub(crate) key: Option<KeyHash>,
    pub(crate) deadline: Instant,
    state: Mutex<State>,
}

struct State {
    chain: ChainBudget,
    downstream: Vec<DownstreamServer>,
}

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
            }),
        }
    }

    /// Works on the retry budget of the chain.
    pub(crate) fn chain<T>(&self, work: impl FnOnce(&mut ChainBudget) -> T) -> T {
        work(&mut self.lock().chain)
    }

    /// Notes what an answer told of the backend servers further down.
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

    /// What was noted.
    pub(crate) fn downstream(&self) -> Vec<DownstreamServer> {
        self.lock().downstream.clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The requests that the backend server works on.
#[derive(Default)]
pub(crate) struct Running {
    state: Mutex<Index>,
}

#[derive(Default)]
struct Index {
    parents: HashMap<Token, Arc<Parent>>,
    /// The tokens by the caller's ids, where the dialect has such.
    tokens: HashMap<Box<str>, Token>,
}

/// Names a parent until it is dropped.
pub(crate) struct Entry<'a> {
    running: &'a Running,
    id: Option<Box<str>>,
    pub(crate) token: Token,
}

impl Running {
    /// Names a parent by a token, and by its caller's id where there is one.
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

    /// The parent that its caller named `id`.
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
