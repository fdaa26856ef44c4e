use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
    time::Instant,
};

use nutmegwheel_policy::retry::Chain;
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
    chain: Chain,
    below: Vec<Below>,
}

impl Parent {
    pub(crate) fn open(context: Context, key: Option<KeyHash>, deadline: Instant) -> Self {
        let chain = Chain::open(context.retry_tokens);
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
    pub(crate) fn chain<T>(&self, work: impl FnOnce(&mut Chain) -> T) -> T {
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
    parents: Mutex<HashMap<Token, Arc<Parent>>>,
}

/// Names a parent until it is dropped.
pub(crate) struct Entry<'a> {
    running: &'a Running,
    pub(crate) token: Token,
}

impl Running {
    pub(crate) fn enter(&self, parent: Arc<Parent>) -> Entry<'_> {
        let token = rand::random();
        self.lock().insert(token, parent);
        Entry {
            running: self,
            token,
        }
    }

    pub(crate) fn parent(&self, token: Token) -> Option<Arc<Parent>> {
        self.lock().get(&token).cloned()
    }

    pub(crate) fn count(&self) -> usize {
        self.lock().len()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<Token, Arc<Parent>>> {
        self.parents.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Entry<'_> {
    fn drop(&mut self) {
        self.running.lock().remove(&self.token);
    }
}
