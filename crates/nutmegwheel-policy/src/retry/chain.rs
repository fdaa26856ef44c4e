use std::collections::BTreeMap;

use slotmap::SlotMap;

use super::{CallEnd, CallId, ChildKey, Error, StartedCall};

/// The most calls of one parent that may be under way at a time.
const MAX_CHILDREN: usize = 256;
/// The most failed calls that are remembered by name; past it every call counts as a repeat.
const MAX_FAILED: usize = 256;

#[derive(Clone, Debug)]
struct Child {
    call: CallId,
    lent: u32,
}

/// The retry tokens of one request while it runs, and the calls made for it.
///
/// Tokens only move or vanish, so the retries of a whole chain never pass the tokens that its
/// root was opened with; docs/POLICY.md specifies the protocol that is model checked.
#[derive(Clone, Debug)]
pub struct ChainBudget {
    available: u32,
    children: SlotMap<ChildKey, Child>,
    failed: BTreeMap<CallId, u32>,
    /// Whether any call failed, also one whose repeat did not.
    has_failed_call: bool,
}

/// Lifecycle
impl ChainBudget {
    /// Opens the budget that came with the request.
    #[must_use]
    pub fn open(tokens: u32) -> Self {
        Self {
            available: tokens,
            children: SlotMap::with_key(),
            failed: BTreeMap::new(),
            has_failed_call: false,
        }
    }

    /// Begins a call and lends it half of the tokens, so that calls beside it find some too.
    ///
    /// # Errors
    ///
    /// [`Error::Exhausted`] for a repeat without a token left, [`Error::TooManyCalls`].
    pub fn begin(&mut self, call: CallId) -> Result<StartedCall, Error> {
        if self.children.len() >= MAX_CHILDREN {
            self.has_failed_call = true;
            return Err(Error::TooManyCalls {
                under_way: self.children.len(),
            });
        }
        let is_repeat = self.is_repeat(call);
        if is_repeat {
            self.debit()?;
            self.forget_failure(call);
        }
        let tokens = self.lend();
        let child = self.children.insert(Child { call, lent: tokens });
        Ok(StartedCall {
            child,
            tokens,
            is_repeat,
        })
    }

    /// Debits another try of a call whose last try gave `unspent` tokens back, or `None` when
    /// its answer was lost, and lends anew. Without a token left nothing changes.
    ///
    /// # Errors
    ///
    /// [`Error::Exhausted`] without a token left, [`Error::AlreadyEnded`] for a call already settled.
    pub fn retry(&mut self, child: ChildKey, unspent: Option<u32>) -> Result<u32, Error> {
        let loan = self.children.get(child).ok_or(Error::AlreadyEnded)?.lent;
        let returned = unspent.unwrap_or(0).min(loan);
        self.available = (self.available + returned)
            .checked_sub(1)
            .ok_or(Error::Exhausted)?;
        let tokens = self.lend();
        self.children[child].lent = tokens;
        Ok(tokens)
    }

    /// Ends a call and takes back the tokens that came with its answer, or none when it was
    /// lost, for its receiver may still spend them. A second end of the same call is ignored.
    pub fn settle(&mut self, child: ChildKey, end: CallEnd, unspent: Option<u32>) {
        let Some(Child { call, lent }) = self.children.remove(child) else {
            return;
        };
        self.available += unspent.unwrap_or(0).min(lent);
        if end == CallEnd::Failed {
            self.has_failed_call = true;
            self.remember_failure(call);
        }
    }

    /// Ends the request itself and gives what is unspent, to be sent back with its answer.
    /// Tokens of calls still under way are not in it.
    #[must_use]
    pub fn close(self) -> u32 {
        self.available
    }
}

/// Access
impl ChainBudget {
    /// The tokens neither spent nor lent.
    #[must_use]
    pub fn available(&self) -> u32 {
        self.available
    }

    /// The calls under way, each with the tokens lent to it.
    pub fn under_way(&self) -> impl Iterator<Item = (ChildKey, CallId, u32)> {
        self.children
            .iter()
            .map(|(key, child)| (key, child.call, child.lent))
    }

    /// Whether the request waits for a call, or one made for it failed: how it ends then says
    /// nothing about its own backend server.
    #[must_use]
    pub fn depends_on_calls(&self) -> bool {
        self.has_failed_call || !self.children.is_empty()
    }

    /// Whether the same call again would be a repeat.
    #[must_use]
    pub fn is_repeat(&self, call: CallId) -> bool {
        self.failed.contains_key(&call) || self.failed.len() >= MAX_FAILED
    }
}

/// Tokens and failures
impl ChainBudget {
    fn debit(&mut self) -> Result<(), Error> {
        self.available = self.available.checked_sub(1).ok_or(Error::Exhausted)?;
        Ok(())
    }

    /// Splits off the larger half of what is left.
    fn lend(&mut self) -> u32 {
        let tokens = self.available.div_ceil(2);
        self.available -= tokens;
        tokens
    }

    fn remember_failure(&mut self, call: CallId) {
        if self.failed.len() < MAX_FAILED {
            let failures = self.failed.entry(call).or_insert(0);
            *failures = failures.saturating_add(1);
        }
    }

    fn forget_failure(&mut self, call: CallId) {
        if self.failed.len() >= MAX_FAILED {
            return;
        }
        if let Some(failures) = self.failed.get_mut(&call) {
            *failures -= 1;
            if *failures == 0 {
                self.failed.remove(&call);
            }
        }
    }
}
