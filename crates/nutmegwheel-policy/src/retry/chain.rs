use std::collections::BTreeMap;

use slotmap::SlotMap;

use super::{CallEnd, CallId, ChildKey, Error, StartedCall};

/// The maximum number of calls that one parent may have in flight.
const MAX_CHILDREN: usize = 256;
/// The maximum number of distinct failed calls that are remembered. Once it is reached, every call
/// counts as a repeat.
const MAX_FAILED: usize = 256;

#[derive(Clone, Debug)]
struct Child {
    call: CallId,
    lent: u32,
}

/// The retry tokens of one running request and the calls that it has in flight.
///
/// Tokens are only passed on or lost, never created, so the retries of a whole call chain never
/// exceed the tokens of its root request. docs/POLICY.md specifies the protocol, which is model
/// checked.
#[derive(Clone, Debug)]
pub struct ChainBudget {
    available: u32,
    children: SlotMap<ChildKey, Child>,
    failed: BTreeMap<CallId, u32>,
    /// Whether any call has failed, even if a repeat of it succeeded.
    has_failed_call: bool,
}

impl ChainBudget {
    /// Creates the budget of a request that carried `tokens`.
    #[must_use]
    pub fn open(tokens: u32) -> Self {
        Self {
            available: tokens,
            children: SlotMap::with_key(),
            failed: BTreeMap::new(),
            has_failed_call: false,
        }
    }

    /// Begins a call and lends it half of the available tokens, so that concurrent calls get some
    /// as well.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Exhausted`] for a repeat when no token is left, and
    /// [`Error::TooManyCalls`] when too many calls are in flight.
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

    /// Takes one token for another attempt of a call and returns the tokens lent to that attempt.
    ///
    /// `unspent` is the number of tokens that the previous attempt returned, or `None` if its
    /// response was lost.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Exhausted`] when no token is left, in which case nothing changes, and
    /// [`Error::AlreadyEnded`] when the call has already been finished.
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

    /// Ends a call and takes back the tokens that its response returned. If the response was lost,
    /// none come back, since the receiver may still spend them. Finishing the same call again has
    /// no effect.
    pub fn finish(&mut self, child: ChildKey, end: CallEnd, unspent: Option<u32>) {
        let Some(Child { call, lent }) = self.children.remove(child) else {
            return;
        };
        self.available += unspent.unwrap_or(0).min(lent);
        if end == CallEnd::Failed {
            self.has_failed_call = true;
            self.remember_failure(call);
        }
    }

    /// Ends the request and returns the unspent tokens, which its response carries back. The tokens
    /// lent to calls that are still in flight are not included.
    #[must_use]
    pub fn close(self) -> u32 {
        self.available
    }
}

impl ChainBudget {
    /// The tokens that are neither spent nor lent.
    #[must_use]
    pub fn available(&self) -> u32 {
        self.available
    }

    /// The calls in flight, each with the tokens lent to it.
    pub fn calls_in_flight(&self) -> impl Iterator<Item = (ChildKey, CallId, u32)> {
        self.children
            .iter()
            .map(|(key, child)| (key, child.call, child.lent))
    }

    /// Whether a call made for the request is in flight or has failed. The outcome of the request
    /// then says nothing about its own backend server.
    #[must_use]
    pub fn depends_on_calls(&self) -> bool {
        self.has_failed_call || !self.children.is_empty()
    }

    /// Whether `call` would count as a repeat of a failed call.
    #[must_use]
    pub fn is_repeat(&self, call: CallId) -> bool {
        self.failed.contains_key(&call) || self.failed.len() >= MAX_FAILED
    }
}

impl ChainBudget {
    fn debit(&mut self) -> Result<(), Error> {
        self.available = self.available.checked_sub(1).ok_or(Error::Exhausted)?;
        Ok(())
    }

    /// Takes the larger half of the available tokens.
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
