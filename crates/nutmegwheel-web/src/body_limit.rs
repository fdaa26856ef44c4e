use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// The maximum size of a request body, in bytes. Clones share it, so that it can change while a
/// listener runs. It applies to requests whose head arrives after the change.
#[derive(Clone, Debug)]
pub struct BodyLimit(Arc<AtomicUsize>);

impl From<usize> for BodyLimit {
    fn from(bytes: usize) -> Self {
        Self(Arc::new(AtomicUsize::new(bytes)))
    }
}

impl BodyLimit {
    /// The limit, in bytes.
    #[must_use]
    pub fn get(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    /// Replaces the limit.
    pub fn set(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }
}
