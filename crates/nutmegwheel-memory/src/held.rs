use bytes::Bytes;

use crate::{Account, Hold};

/// Who takes bytes from an account. What waits for others to end takes less of it than what lets
/// them end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Share {
    /// Requests, which may wait for a backend server.
    Requests,
    /// Answers, whose requests hold bytes until they are read.
    Answers,
    /// Messages too small to fill the account.
    Small,
}

impl Share {
    /// The bytes of the account that are left to others.
    fn spared(self, limit: usize) -> usize {
        match self {
            Self::Requests => limit / 8,
            Self::Answers => limit / 16,
            Self::Small => 0,
        }
    }
}

impl Account {
    /// Takes bytes for a message, or returns `None` if its share of the account has no room.
    #[must_use]
    pub fn try_hold(&self, bytes: usize, share: Share) -> Option<Hold> {
        let mut hold = self.hold();
        hold.try_grow_within(bytes, share).then_some(hold)
    }

    /// The bytes that are held above three quarters of the account, from which on those are released
    /// that are held for the slowest peers.
    #[must_use]
    pub fn excess(&self) -> usize {
        self.held().saturating_sub(self.limit() - self.limit() / 4)
    }
}

impl Hold {
    /// Takes further bytes, as [`Hold::try_grow`] does, if the share has room for them.
    #[must_use]
    pub fn try_grow_within(&mut self, bytes: usize, share: Share) -> bool {
        let spared = share.spared(self.account.limit());
        self.try_grow_sparing(bytes, spared)
    }

    /// Keeps the hold until the last clone of `bytes` is dropped.
    #[must_use]
    pub fn attach(self, bytes: Bytes) -> Bytes {
        if self.bytes() == 0 {
            return bytes;
        }
        Bytes::from_owner(Held { bytes, _hold: self })
    }
}

struct Held {
    bytes: Bytes,
    _hold: Hold,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
