//! An account of the bytes that a process holds for its peers, so that what many of them send at
//! once stays within the memory of the VM; see docs/design/MEMORY.md.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// The bytes that all parts of a process may hold together. Clones share one account.
#[derive(Clone, Debug)]
pub struct Account {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    limit: usize,
    held: AtomicUsize,
}

/// The bytes that one body, queue or connection holds. They are released when it is dropped.
#[derive(Debug)]
pub struct Hold {
    account: Account,
    bytes: usize,
}

impl Account {
    /// Opens an account of at most `limit` bytes.
    #[must_use]
    pub fn open(limit: usize) -> Self {
        Self {
            inner: Arc::new(Inner {
                limit,
                held: AtomicUsize::new(0),
            }),
        }
    }

    /// Opens an account that refuses nothing.
    #[must_use]
    pub fn unlimited() -> Self {
        Self::open(usize::MAX)
    }

    /// Opens a hold of no bytes.
    #[must_use]
    pub fn hold(&self) -> Hold {
        Hold {
            account: self.clone(),
            bytes: 0,
        }
    }

    /// The limit, in bytes.
    #[must_use]
    pub fn limit(&self) -> usize {
        self.inner.limit
    }

    /// The bytes that are held.
    #[must_use]
    pub fn held(&self) -> usize {
        self.inner.held.load(Ordering::Relaxed)
    }

    /// Whether the account has a limit.
    #[must_use]
    pub fn is_limited(&self) -> bool {
        self.inner.limit < usize::MAX
    }
}

impl Hold {
    /// Takes further bytes from the account. Returns `false`, and takes none, if they exceed its
    /// limit.
    #[must_use]
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let limit = self.account.limit();
        let grown = |held: usize| held.checked_add(bytes).filter(|held| *held <= limit);
        let held = &self.account.inner.held;
        // No other memory depends on the count.
        let taken = held.fetch_update(Ordering::Relaxed, Ordering::Relaxed, grown);
        if taken.is_ok() {
            self.bytes += bytes;
        }
        taken.is_ok()
    }

    /// Returns bytes to the account, at most as many as are held.
    pub fn shrink(&mut self, bytes: usize) {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        let held = &self.account.inner.held;
        held.fetch_sub(bytes, Ordering::Relaxed);
    }

    /// The bytes that are held.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.shrink(self.bytes);
    }
}
