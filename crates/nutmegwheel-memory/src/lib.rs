//! An account of the bytes that a process holds for its peers, so that what many of them send at
//! once stays within the memory of the VM; see docs/design/MEMORY.md.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod held;

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

pub use held::Share;

/// The fraction of the memory of a process that it may hold for callers and other processes. The
/// rest is for code, state and what the allocator and the kernel hold beside the bytes.
const PEERS_FRACTION: usize = 2;
/// The fraction that it may hold for the platform, operators and the backend server, so that
/// readiness and configuration do not depend on what callers send.
const CONTROL_FRACTION: usize = 8;

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

    /// Opens the account for callers and other processes in a process with this much memory, in
    /// bytes. Without a bound, the account refuses nothing.
    #[must_use]
    pub fn for_peers(max_memory: Option<usize>) -> Self {
        max_memory.map_or_else(Self::unlimited, |max| Self::open(max / PEERS_FRACTION))
    }

    /// Opens the account for the platform, operators and the backend server, as
    /// [`Self::for_peers`] does for the others.
    #[must_use]
    pub fn for_control(max_memory: Option<usize>) -> Self {
        max_memory.map_or_else(Self::unlimited, |max| Self::open(max / CONTROL_FRACTION))
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
        self.try_grow_sparing(bytes, 0)
    }

    /// Takes further bytes from the account as [`Hold::try_grow`] does, and leaves `spare` bytes to
    /// others.
    #[must_use]
    pub fn try_grow_sparing(&mut self, bytes: usize, spare: usize) -> bool {
        let limit = self.account.limit().saturating_sub(spare);
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

    /// The account from which the bytes are taken.
    #[must_use]
    pub fn account(&self) -> &Account {
        &self.account
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
