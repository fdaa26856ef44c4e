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
const BELOW_LIMIT: usize = 32;

plain! {
    /// A backend server further down the chain, with the level at which it sheds.
    pub(crate) struct Below {
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
    below: Vec<Below>,
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
                below: Vec::new(),
            }),
        }
    }

    /// Works on the retry budget of the chain.
    pub(crate) fn chain<T>(&self, work: impl FnOnce(&mut ChainBudget) -> T) -> T {
        work(&mut self.lock().chain)
    }

    /// Notes what an answer told of the backend servers further down.
    pub(crate) fn note(&self, below: impl IntoIterator<Item = Below>) {
        let mut state = self.lock();
        for entry in below {
            let place =
                |known: &&mut Below| known.service == entry.service && known.node == entry.node;
            if let Some(known) = state.below.iter_mut().find(place) {
                known.level = entry.level;
            } else if state.below.len() < BELOW_LIMIT {
                state.below.push(entry);
            }
        }
    }

    /// What was noted.
    pub(crate) fn below(&self) -> Vec<Below> {
        self.lock().below.clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The requests that the backend server works on.
#[derive(Default)]
pub(crate) struct Running {
    state: Mutex<Named>,
}

#[derive(Default)]
struct Named {
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
        let mut named = self.lock();
        named.parents.insert(token, parent);
        if let Some(id) = &id {
            named.tokens.insert(id.clone(), token);
        }
        drop(named);
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
    pub(crate) fn parent_of(&self, id: &str) -> Option<Arc<Parent>> {
        let named = self.lock();
        let token = named.tokens.get(id)?;
        named.parents.get(token).cloned()
    }

    pub(crate) fn count(&self) -> usize {
        self.lock().parents.len()
    }

    fn lock(&self) -> MutexGuard<'_, Named> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Entry<'_> {
    fn drop(&mut self) {
        let mut named = self.running.lock();
        named.parents.remove(&self.token);
        if let Some(id) = &self.id
            && named.tokens.get(id) == Some(&self.token)
        {
            named.tokens.remove(id);
        }
    }
}
