//! What a door holds of its workspaces' tokens.
//!
//! A request normally spends a token that is already here. The door asks for more, in proportion to
//! recent demand, before it runs out, and gives back what it does not use.

mod account;
mod options;

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use nutmegwheel_types::{WorkspaceId, plain, plain_copy};
use slotmap::{SlotMap, new_key_type};

use crate::messages::{Ask, AskItem, AskSeq, DoorId, Grant};
use account::Account;
pub use options::{ASK_TIMEOUT, MESSAGE_INTERVAL, POLL_INTERVAL, REPORT_INTERVAL, STOCK_HORIZON};

/// The caller's number for a request that waits for a token.
pub type WaiterId = u64;

new_key_type! {
    /// A workspace's account in a purse.
    pub struct AccountKey;
}

plain_copy! {
    /// What became of a request's wish to spend a token.
    pub enum Spend {
        /// The token is spent: the request may go on.
        Spent,
        /// The steward is being asked; a [`Decision`] will follow.
        Waiting,
        /// There is no token for it.
        Refused(Refusal),
    }

    /// Why a request got no token.
    pub struct Refusal {
        /// The cause.
        pub cause: RefusalCause,
        /// When to come back, without jitter.
        pub retry_after: Duration,
    }

    /// The cause of a refusal.
    pub enum RefusalCause {
        /// The workspace has used up its rate and burst.
        OverRate,
        /// The steward did not answer in time.
        NoSteward,
    }

    /// The end of a [`Spend::Waiting`].
    pub struct Decision {
        /// The request.
        pub waiter: WaiterId,
        /// [`Spend::Spent`] or [`Spend::Refused`].
        pub spend: Spend,
    }
}

plain! {
    /// What [`Purse::poll`] wants to be done.
    pub struct Output {
        /// A message for the steward.
        pub ask: Option<Ask>,
        /// Requests that waited in vain.
        pub decisions: Vec<Decision>,
    }
}

/// The tokens of one door, got from the steward of one data centre.
#[derive(Clone, Debug)]
pub struct Purse {
    door: DoorId,
    seq: AskSeq,
    accounts: SlotMap<AccountKey, Account>,
    keys: HashMap<WorkspaceId, AccountKey>,
    asked: BTreeMap<AskSeq, Instant>,
    is_urgent: bool,
    last_sent: Option<Instant>,
}

/// Lifecycle.
impl Purse {
    /// A purse without tokens.
    #[must_use]
    pub fn open(door: DoorId) -> Self {
        Purse {
            door,
            seq: 0,
            accounts: SlotMap::with_key(),
            keys: HashMap::new(),
            asked: BTreeMap::new(),
            is_urgent: false,
            last_sent: None,
        }
    }

    /// The key of a workspace's account, which is opened when there is none.
    pub fn account(&mut self, workspace: &WorkspaceId, now: Instant) -> AccountKey {
        if let Some(key) = self.keys.get(workspace) {
            return *key;
        }
        let key = self.accounts.insert(Account::open(workspace.clone(), now));
        self.keys.insert(workspace.clone(), key);
        key
    }

    /// Drops the account of a workspace that is no longer configured, and with it its tokens.
    pub fn close(&mut self, workspace: &WorkspaceId) {
        if let Some(key) = self.keys.remove(workspace) {
            self.accounts.remove(key);
        }
    }
}

/// Access.
impl Purse {
    /// Whether [`Self::poll`] should be called at once and not only at the next tick.
    #[must_use]
    pub fn is_urgent(&self) -> bool {
        self.is_urgent
    }

    /// The tokens at hand.
    #[must_use]
    pub fn tokens(&self, key: AccountKey, now: Instant) -> u32 {
        self.accounts.get(key).map_or(0, |a| a.stock(now))
    }
}

/// Spending.
impl Purse {
    /// Spends a token for a request, or lets it wait for the steward under the caller's number.
    ///
    /// A key of a closed account is refused.
    pub fn spend(&mut self, key: AccountKey, waiter: WaiterId, now: Instant) -> Spend {
        let Some(account) = self.accounts.get_mut(key) else {
            return Spend::Refused(Refusal {
                cause: RefusalCause::OverRate,
                retry_after: options::RETRY_WHEN_CLOSED,
            });
        };
        let spend = account.spend(waiter, now);
        self.is_urgent |= spend == Spend::Waiting || account.is_report_urgent();
        spend
    }

    /// Forgets a request that waits no longer; a token granted for it stays in the purse.
    pub fn cancel(&mut self, key: AccountKey, waiter: WaiterId) {
        if let Some(account) = self.accounts.get_mut(key) {
            account.cancel(waiter);
        }
    }
}

/// Messages.
impl Purse {
    /// Does what is due; to be called every [`POLL_INTERVAL`] and when [`Self::is_urgent`].
    pub fn poll(&mut self, now: Instant) -> Output {
        self.is_urgent = false;
        let mut decisions = Vec::new();
        for account in self.accounts.values_mut() {
            account.tick(now, &mut decisions);
        }
        let wants_message = self.wants_message(now);
        let ask = wants_message.then(|| self.ask(now));
        Output { ask, decisions }
    }

    /// Takes in a steward's answer, and decides on requests that waited for it.
    pub fn granted(&mut self, grant: &Grant, now: Instant) -> Vec<Decision> {
        let mut decisions = Vec::new();
        let Some(sent) = self.asked.remove(&grant.seq) else {
            return decisions;
        };
        for item in &grant.items {
            let key = self.keys.get(&item.workspace).copied();
            if let Some(account) = key.and_then(|key| self.accounts.get_mut(key)) {
                account.granted(grant.seq, item, sent, now, &mut decisions);
                self.is_urgent |= account.is_urgent(now);
            }
        }
        decisions
    }

    /// What is not urgent is gathered for a while, so that many small accounts make few messages.
    fn wants_message(&self, now: Instant) -> bool {
        let is_due = self
            .last_sent
            .is_none_or(|sent| now >= sent + MESSAGE_INTERVAL);
        let mut accounts = self.accounts.values();
        accounts.any(|a| a.is_urgent(now) || is_due && a.wants_message(now))
    }

    fn ask(&mut self, now: Instant) -> Ask {
        self.last_sent = Some(now);
        self.seq += 1;
        self.asked
            .retain(|_, sent| now.saturating_duration_since(*sent) < ASK_TIMEOUT);
        self.asked.insert(self.seq, now);
        let seq = self.seq;
        let accounts = self.accounts.values_mut();
        let items: Vec<AskItem> = accounts.filter_map(|a| a.ask(seq, now)).collect();
        Ask {
            door: self.door.clone(),
            seq,
            items,
        }
    }
}
