//! The tokens that an ingress node holds, by workspace.
//!
//! A request normally spends a cached token, without a round trip. The node prefetches more in
//! proportion to recent demand before they run out, and returns those that it does not use.

mod timing;
mod workspace;

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use nutmegwheel_types::{WorkspaceId, plain, plain_copy};
use slotmap::{SlotMap, new_key_type};

use crate::messages::{Grant, IngressId, RequestSeq, TokenRequest, TokenRequestItem};
pub use timing::{
    MESSAGE_INTERVAL, POLL_INTERVAL, PREFETCH_HORIZON, REPORT_INTERVAL, REQUEST_TIMEOUT,
};
use workspace::WorkspaceTokens;

/// The caller's id of a request that waits for a token.
pub type WaiterId = u64;

new_key_type! {
    /// The slot of a workspace in a [`TokenCache`].
    pub struct WorkspaceSlot;
}

plain_copy! {
    /// The result of [`TokenCache::spend`].
    pub enum Spend {
        /// A token was spent; the request is admitted.
        Spent,
        /// A token is being requested from the token server; a [`Decision`] follows.
        Waiting,
        /// There is no token for the request.
        Refused(Refusal),
    }

    /// The refusal of a request that needed a token.
    pub struct Refusal {
        /// Why the request was refused.
        pub cause: RefusalCause,
        /// The time after which to retry, without jitter.
        pub retry_after: Duration,
    }

    /// Why a request was refused.
    pub enum RefusalCause {
        /// The workspace exceeded its rate and burst.
        OverRate,
        /// The token server did not reply in time.
        NoTokenServer,
    }

    /// The outcome of a [`Spend::Waiting`].
    pub struct Decision {
        /// The id of the request that waited.
        pub waiter: WaiterId,
        /// The result for the request, either [`Spend::Spent`] or [`Spend::Refused`].
        pub spend: Spend,
    }
}

plain! {
    /// The message and the decisions that [`TokenCache::poll`] returns.
    pub struct Output {
        /// The message to send to the token server, or `None` if none is due.
        pub request: Option<TokenRequest>,
        /// The refusals of requests for which the token server did not reply in time.
        pub decisions: Vec<Decision>,
    }
}

/// The tokens of an ingress node that the token server of one data centre granted.
#[derive(Clone, Debug)]
pub struct TokenCache {
    ingress: IngressId,
    seq: RequestSeq,
    workspaces: SlotMap<WorkspaceSlot, WorkspaceTokens>,
    slots: HashMap<WorkspaceId, WorkspaceSlot>,
    pending: BTreeMap<RequestSeq, Instant>,
    is_urgent: bool,
    last_sent: Option<Instant>,
}

impl TokenCache {
    /// Creates a cache without tokens.
    #[must_use]
    pub fn open(ingress: IngressId) -> Self {
        TokenCache {
            ingress,
            seq: 0,
            workspaces: SlotMap::with_key(),
            slots: HashMap::new(),
            pending: BTreeMap::new(),
            is_urgent: false,
            last_sent: None,
        }
    }

    /// Returns the slot of a workspace, which is added if it is missing.
    pub fn workspace_slot(&mut self, workspace: &WorkspaceId, now: Instant) -> WorkspaceSlot {
        if let Some(slot) = self.slots.get(workspace) {
            return *slot;
        }
        let slot = self
            .workspaces
            .insert(WorkspaceTokens::open(workspace.clone(), now));
        self.slots.insert(workspace.clone(), slot);
        slot
    }

    /// Removes a workspace that is no longer configured, together with its tokens.
    pub fn close(&mut self, workspace: &WorkspaceId) {
        if let Some(slot) = self.slots.remove(workspace) {
            self.workspaces.remove(slot);
        }
    }
}

impl TokenCache {
    /// Whether [`Self::poll`] should be called immediately, before the next [`POLL_INTERVAL`].
    #[must_use]
    pub fn is_urgent(&self) -> bool {
        self.is_urgent
    }

    /// The number of cached tokens of a workspace that are valid at `now`.
    #[must_use]
    pub fn available(&self, slot: WorkspaceSlot, now: Instant) -> u32 {
        self.workspaces
            .get(slot)
            .map_or(0, |tokens| tokens.available(now))
    }
}

impl TokenCache {
    /// Spends a cached token, or queues the request as `waiter` until the token server replies.
    ///
    /// Requests with the slot of a removed workspace are refused.
    pub fn spend(&mut self, slot: WorkspaceSlot, waiter: WaiterId, now: Instant) -> Spend {
        let Some(tokens) = self.workspaces.get_mut(slot) else {
            return Spend::Refused(Refusal {
                cause: RefusalCause::OverRate,
                retry_after: timing::RETRY_WHEN_CLOSED,
            });
        };
        let spend = tokens.spend(waiter, now);
        self.is_urgent |= spend == Spend::Waiting || tokens.is_report_urgent();
        spend
    }

    /// Removes a waiting request. A token that is granted for it stays in the cache.
    pub fn cancel(&mut self, slot: WorkspaceSlot, waiter: WaiterId) {
        if let Some(tokens) = self.workspaces.get_mut(slot) {
            tokens.cancel(waiter);
        }
    }
}

impl TokenCache {
    /// Handles timeouts and builds the next message. Call it every [`POLL_INTERVAL`] and when
    /// [`Self::is_urgent`].
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

    /// Adds the tokens of a grant, and returns the decisions on waiting requests.
    ///
    /// Grants that are late or were already applied are ignored.
    pub fn apply_grant(&mut self, grant: &Grant, now: Instant) -> Vec<Decision> {
        let mut decisions = Vec::new();
        let Some(sent) = self.pending.remove(&grant.seq) else {
            return decisions;
        };
        for item in &grant.items {
            let slot = self.slots.get(&item.workspace).copied();
            if let Some(tokens) = slot.and_then(|slot| self.workspaces.get_mut(slot)) {
                tokens.apply_grant(grant.seq, item, sent, now, &mut decisions);
                self.is_urgent |= tokens.is_urgent(now);
            }
        }
        decisions
    }

    /// Messages that are not urgent are delayed up to [`MESSAGE_INTERVAL`], so that many workspaces
    /// share few messages.
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
