//! What a door holds of its workspaces' tokens.
//!
//! A request normally spends a token that is already here. The door asks for more, in proportion to
//! recent demand, before it runs out, and gives back what it does not use.

mod options;
mod workspace;

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use nutmegwheel_types::{WorkspaceId, plain, plain_copy};
use slotmap::{SlotMap, new_key_type};

use crate::messages::{Grant, IngressId, RequestSeq, TokenRequest, TokenRequestItem};
pub use options::{
    MESSAGE_INTERVAL, POLL_INTERVAL, PREFETCH_HORIZON, REPORT_INTERVAL, REQUEST_TIMEOUT,
};
use workspace::WorkspaceTokens;

/// The caller's number for a request that waits for a token.
pub type WaiterId = u64;

new_key_type! {
    /// A workspace's account in a purse.
    pub struct WorkspaceKey;
}

plain_copy! {
    /// What became of a request's wish to spend a token.
    pub enum Spend {
        /// The token is spent: the request may go on.
        Spent,
        /// The steward is being pending; a [`Decision`] will follow.
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
        NoTokenServer,
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
    /// What [`TokenCache::poll`] wants to be done.
    pub struct Output {
        /// A message for the steward.
        pub request: Option<TokenRequest>,
        /// Requests that waited in vain.
        pub decisions: Vec<Decision>,
    }
}

/// The tokens of one door, got from the steward of one data centre.
#[derive(Clone, Debug)]
pub struct TokenCache {
    ingress: IngressId,
    seq: RequestSeq,
    workspaces: SlotMap<WorkspaceKey, WorkspaceTokens>,
    keys: HashMap<WorkspaceId, WorkspaceKey>,
    pending: BTreeMap<RequestSeq, Instant>,
    is_urgent: bool,
    last_sent: Option<Instant>,
}

/// Lifecycle.
impl TokenCache {
    /// A purse without tokens.
    #[must_use]
    pub fn open(ingress: IngressId) -> Self {
        TokenCache {
            ingress,
            seq: 0,
            workspaces: SlotMap::with_key(),
            keys: HashMap::new(),
            pending: BTreeMap::new(),
            is_urgent: false,
            last_sent: None,
        }
    }

    /// The key of a workspace's account, which is opened when there is none.
    pub fn workspace_key(&mut self, workspace: &WorkspaceId, now: Instant) -> WorkspaceKey {
        if let Some(key) = self.keys.get(workspace) {
            return *key;
        }
        let key = self
            .workspaces
            .insert(WorkspaceTokens::open(workspace.clone(), now));
        self.keys.insert(workspace.clone(), key);
        key
    }

    /// Drops the account of a workspace that is no longer configured, and with it its tokens.
    pub fn close(&mut self, workspace: &WorkspaceId) {
        if let Some(key) = self.keys.remove(workspace) {
            self.workspaces.remove(key);
        }
    }
}

/// Access.
impl TokenCache {
    /// Whether [`Self::poll`] should be called at once and not only at the next tick.
    #[must_use]
    pub fn is_urgent(&self) -> bool {
        self.is_urgent
    }

    /// The tokens at hand.
    #[must_use]
    pub fn available(&self, key: WorkspaceKey, now: Instant) -> u32 {
        self.workspaces
            .get(key)
            .map_or(0, |tokens| tokens.available(now))
    }
}

/// Spending.
impl TokenCache {
    /// Spends a token for a request, or lets it wait for the steward under the caller's number.
    ///
    /// A key of a closed account is refused.
    pub fn spend(&mut self, key: WorkspaceKey, waiter: WaiterId, now: Instant) -> Spend {
        let Some(tokens) = self.workspaces.get_mut(key) else {
            return Spend::Refused(Refusal {
                cause: RefusalCause::OverRate,
                retry_after: options::RETRY_WHEN_CLOSED,
            });
        };
        let spend = tokens.spend(waiter, now);
        self.is_urgent |= spend == Spend::Waiting || tokens.is_report_urgent();
        spend
    }

    /// Forgets a request that waits no longer; a token granted for it stays in the purse.
    pub fn cancel(&mut self, key: WorkspaceKey, waiter: WaiterId) {
        if let Some(tokens) = self.workspaces.get_mut(key) {
            tokens.cancel(waiter);
        }
    }
}

/// Messages.
impl TokenCache {
    /// Does what is due; to be called every [`POLL_INTERVAL`] and when [`Self::is_urgent`].
    pub fn poll(&mut self, now: Instant) -> Output {
        self.is_urgent = false;
        let mut decisions = Vec::new();
        for tokens in self.workspaces.values_mut() {
            tokens.tick(now, &mut decisions);
        }
        let wants_message = self.wants_message(now);
        let request = wants_message.then(|| self.build_request(now));
        Output { request, decisions }
    }

    /// Takes in a steward's answer, and decides on requests that waited for it.
    pub fn apply_grant(&mut self, grant: &Grant, now: Instant) -> Vec<Decision> {
        let mut decisions = Vec::new();
        let Some(sent) = self.pending.remove(&grant.seq) else {
            return decisions;
        };
        for item in &grant.items {
            let key = self.keys.get(&item.workspace).copied();
            if let Some(tokens) = key.and_then(|key| self.workspaces.get_mut(key)) {
                tokens.apply_grant(grant.seq, item, sent, now, &mut decisions);
                self.is_urgent |= tokens.is_urgent(now);
            }
        }
        decisions
    }

    /// What is not urgent is gathered for a while, so that many small accounts make few messages.
    fn wants_message(&self, now: Instant) -> bool {
        let is_due = self
            .last_sent
            .is_none_or(|sent| now >= sent + MESSAGE_INTERVAL);
        let mut workspaces = self.workspaces.values();
        workspaces.any(|tokens| tokens.is_urgent(now) || is_due && tokens.wants_message(now))
    }

    fn build_request(&mut self, now: Instant) -> TokenRequest {
        self.last_sent = Some(now);
        self.seq += 1;
        self.pending
            .retain(|_, sent| now.saturating_duration_since(*sent) < REQUEST_TIMEOUT);
        self.pending.insert(self.seq, now);
        let seq = self.seq;
        let workspaces = self.workspaces.values_mut();
        let items: Vec<TokenRequestItem> = workspaces
            .filter_map(|tokens| tokens.build_item(seq, now))
            .collect();
        TokenRequest {
            ingress: self.ingress.clone(),
            seq,
            items,
        }
    }
}
