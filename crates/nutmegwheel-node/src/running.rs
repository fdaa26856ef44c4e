use std::{
    collections::HashMap,
    sync::{Mutex, PoisonError},
    time::Instant,
};

use nutmegwheel_types::{Context, KeyHash, plain};

/// The opaque word by which a backend server names the request that it works for.
pub(crate) type Token = u128;

plain! {
    /// A request that the backend server works on, as the root of its downstream calls.
    pub(crate) struct Parent {
        pub(crate) context: Context,
        pub(crate) key: Option<KeyHash>,
        pub(crate) deadline: Instant,
    }
}

/// The requests that the backend server works on.
#[derive(Default)]
pub(crate) struct Running {
    parents: Mutex<HashMap<Token, Parent>>,
}

/// Names a parent until it is dropped.
pub(crate) struct Entry<'a> {
    running: &'a Running,
    pub(crate) token: Token,
}

impl Running {
    pub(crate) fn enter(&self, parent: Parent) -> Entry<'_> {
        let token = rand::random();
        self.lock().insert(token, parent);
        Entry {
            running: self,
            token,
        }
    }

    pub(crate) fn parent(&self, token: Token) -> Option<Parent> {
        self.lock().get(&token).cloned()
    }

    pub(crate) fn count(&self) -> usize {
        self.lock().len()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<Token, Parent>> {
        self.parents.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Entry<'_> {
    /// The retries that the branch has left.
    pub(crate) fn retry_tokens(&self) -> u32 {
        let parent = self.running.parent(self.token);
        parent.map_or(0, |parent| parent.context.retry_tokens)
    }
}

impl Drop for Entry<'_> {
    fn drop(&mut self) {
        self.running.lock().remove(&self.token);
    }
}
