//! Rate limits of workspaces with tokens from token servers: each keyed request spends one token of
//! its workspace.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use nutmegwheel_config::View;
use nutmegwheel_limits::{
    Limit,
    messages::IngressId,
    share::placement,
    token_cache::{
        Decision, POLL_INTERVAL, Refusal as Refused, RefusalCause, Spend, TokenCache, WaiterId,
        WorkspaceSlot,
    },
};
use nutmegwheel_types::{DataCentreId, WorkspaceId};
use tokio::sync::{Notify, oneshot};

use crate::{
    refusal::{Reason, Refusal},
    shared::Shared,
};

/// The maximum time that a request waits for a new token server to be elected.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(4);
/// The interval at which a request that waits for a new token server tries again to spend a token.
const HANDOVER_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// The maximum number of requests that wait for a new token server on this ingress node.
const MAX_HANDOVER_WAITERS: usize = 1024;
/// How long after its last answer a token server counts as available.
const TOKEN_SERVER_TIMEOUT: Duration = Duration::from_secs(10);
/// How long after its last answer an idle token server is probed. Every ingress node of the data
/// centre probes the same process.
const PROBE_IDLE_TIME: Duration = Duration::from_secs(4);
/// The interval between two probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Spends tokens that token servers granted to this ingress node.
pub(crate) struct TokenLimiter {
    local_data_centre: DataCentreId,
    data_centres: BTreeSet<DataCentreId>,
    state: Mutex<State>,
    urgent: Notify,
    next_waiter: AtomicU64,
    /// The number of requests that wait for a new token server.
    handover_waiters: AtomicUsize,
}

struct State {
    ingress: IngressId,
    token_caches: BTreeMap<DataCentreId, TokenCache>,
    waiters: HashMap<WaiterId, oneshot::Sender<Spend>>,
    last_grant_at: Option<Instant>,
    last_probe_at: Option<Instant>,
}

impl TokenLimiter {
    pub(crate) fn open(
        ingress: IngressId,
        local_data_centre: DataCentreId,
        data_centres: BTreeSet<DataCentreId>,
    ) -> Self {
        let token_caches =
            BTreeMap::from([(local_data_centre.clone(), TokenCache::open(ingress.clone()))]);
        Self {
            local_data_centre,
            data_centres,
            state: Mutex::new(State {
                ingress,
                token_caches,
                waiters: HashMap::new(),
                last_grant_at: None,
                last_probe_at: None,
            }),
            urgent: Notify::new(),
            next_waiter: AtomicU64::new(0),
            handover_waiters: AtomicUsize::new(0),
        }
    }

    /// Requests and returns tokens. Runs until the node stops.
    pub(crate) async fn run(shared: &Arc<Shared>) {
        loop {
            let limiter = &shared.token_limiter;
            for (data_centre, request) in limiter.lock().poll(&limiter.local_data_centre) {
                let shared = shared.clone();
                tokio::spawn(async move {
                    let tokens = shared.token_client()?;
                    let grant = tokens.request(&data_centre, &request).await?;
                    shared.token_limiter.apply_grant(&data_centre, &grant);
                    Some(())
                });
            }
            tokio::select! {
                () = tokio::time::sleep(POLL_INTERVAL) => {}
                () = limiter.urgent.notified() => {}
            }
        }
    }

    fn apply_grant(&self, data_centre: &DataCentreId, grant: &nutmegwheel_limits::messages::Grant) {
        let now = Instant::now();
        let mut state = self.lock();
        if *data_centre == self.local_data_centre {
            state.last_grant_at = Some(now);
        }
        let Some(token_cache) = state.token_caches.get_mut(data_centre) else {
            return;
        };
        let decisions = token_cache.apply_grant(grant, now);
        let is_urgent = token_cache.is_urgent();
        state.notify_waiters(decisions);
        drop(state);
        if is_urgent {
            self.urgent.notify_one();
        }
    }
}

impl TokenLimiter {
    /// Whether the token server of the data centre answered recently.
    pub(crate) fn has_token_server(&self) -> bool {
        let last_grant_at = self.lock().last_grant_at;
        last_grant_at.is_some_and(|at| at.elapsed() < TOKEN_SERVER_TIMEOUT)
    }

    /// Spends a token of the workspace, or refuses the request with a retry delay.
    ///
    /// While a new token server is elected, a request with enough time left waits for it, since no
    /// token server has found the workspace to be over its rate. It goes on waiting if the new one,
    /// which starts with an empty bucket, will have a token for it in time.
    pub(crate) async fn spend(
        &self,
        view: &View,
        workspace: &WorkspaceId,
        deadline: Instant,
    ) -> Result<(), Refusal> {
        let data_centre = self.granting_data_centre(view, workspace);
        let now = Instant::now();
        let max_wait = deadline.saturating_duration_since(now) / 2;
        let wait_until = now + max_wait.min(HANDOVER_TIMEOUT);
        let mut handover_waiter = None;
        loop {
            let refused = match self.spend_once(&data_centre, workspace).await {
                Spend::Spent => return Ok(()),
                Spend::Refused(refused) => Some(refused),
                Spend::Waiting => None,
            };
            let is_final = refused.is_some_and(|refused| {
                let has_waited = handover_waiter.is_some();
                let is_in_time = Instant::now() + refused.retry_after < wait_until;
                refused.cause == RefusalCause::OverRate && !(has_waited && is_in_time)
            });
            if is_final || Instant::now() >= wait_until || !self.has_token_server() {
                return Err(refusal(workspace, refused));
            }
            if handover_waiter.is_none() {
                handover_waiter = HandoverWaiter::enter(&self.handover_waiters);
            }
            if handover_waiter.is_none() {
                return Err(refusal(workspace, refused));
            }
            tokio::time::sleep(HANDOVER_RETRY_INTERVAL).await;
        }
    }

    async fn spend_once(&self, data_centre: &DataCentreId, workspace: &WorkspaceId) -> Spend {
        let waiter = self.next_waiter.fetch_add(1, Ordering::Relaxed);
        let (slot, spend, decision) = self.try_spend(data_centre, workspace, waiter);
        let Some(decision) = decision else {
            return spend;
        };
        let _guard = WaiterGuard {
            limiter: self,
            data_centre,
            slot,
            waiter,
        };
        decision.await.unwrap_or(Spend::Waiting)
    }

    fn try_spend(
        &self,
        data_centre: &DataCentreId,
        workspace: &WorkspaceId,
        waiter: WaiterId,
    ) -> (WorkspaceSlot, Spend, Option<oneshot::Receiver<Spend>>) {
        let now = Instant::now();
        let mut state = self.lock();
        let ingress = state.ingress.clone();
        let token_cache = state.token_caches.entry(data_centre.clone());
        let token_cache = token_cache.or_insert_with(|| TokenCache::open(ingress));
        let slot = token_cache.workspace_slot(workspace, now);
        let spend = token_cache.spend(slot, waiter, now);
        let is_urgent = token_cache.is_urgent();
        // The decision may arrive as soon as the lock is released, so the waiter is registered
        // before that.
        let decision = (spend == Spend::Waiting).then(|| {
            let (tx, rx) = oneshot::channel();
            state.waiters.insert(waiter, tx);
            rx
        });
        drop(state);
        if is_urgent {
            self.urgent.notify_one();
        }
        (slot, spend, decision)
    }

    /// The data centre whose token server grants the tokens: the local one, unless the burst is too
    /// small to be divided among all data centres.
    fn granting_data_centre(&self, view: &View, workspace: &WorkspaceId) -> DataCentreId {
        let configured = view.configuration.workspaces.get(workspace);
        let burst = configured.map_or(1, |configured| {
            Limit::from_config(configured.rate, configured.burst).burst_tokens()
        });
        let holders = placement(workspace, burst, &self.data_centres);
        if holders.contains(&self.local_data_centre) {
            return self.local_data_centre.clone();
        }
        holders.first().unwrap_or(&self.local_data_centre).clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Returns the token requests that are due. Each is paired with the data centre whose token
    /// server must receive it.
    fn poll(
        &mut self,
        local_data_centre: &DataCentreId,
    ) -> Vec<(DataCentreId, nutmegwheel_limits::messages::TokenRequest)> {
        let now = Instant::now();
        let mut requests = Vec::new();
        let mut decisions = Vec::new();
        for (data_centre, token_cache) in &mut self.token_caches {
            let output = token_cache.poll(now);
            decisions.extend(output.decisions);
            requests.extend(output.request.map(|request| (data_centre.clone(), request)));
        }
        self.notify_waiters(decisions);
        let is_older = |at: Option<Instant>, age: Duration| {
            at.is_none_or(|at| now.saturating_duration_since(at) >= age)
        };
        if is_older(self.last_grant_at, PROBE_IDLE_TIME)
            && is_older(self.last_probe_at, PROBE_INTERVAL)
        {
            self.last_probe_at = Some(now);
            requests.push((local_data_centre.clone(), self.probe()));
        }
        requests
    }

    /// A request without items, whose answer shows that a token server is available.
    fn probe(&self) -> nutmegwheel_limits::messages::TokenRequest {
        nutmegwheel_limits::messages::TokenRequest {
            ingress: self.ingress.clone(),
            seq: 0,
            items: Vec::new(),
        }
    }

    fn notify_waiters(&mut self, decisions: Vec<Decision>) {
        for Decision { waiter, spend } in decisions {
            if let Some(tx) = self.waiters.remove(&waiter) {
                let _ = tx.send(spend);
            }
        }
    }
}

/// Counts one request as waiting for a new token server until dropped.
struct HandoverWaiter<'a>(&'a AtomicUsize);

impl<'a> HandoverWaiter<'a> {
    /// Counts a request, or returns `None` if [`MAX_HANDOVER_WAITERS`] already wait.
    fn enter(count: &'a AtomicUsize) -> Option<Self> {
        let entered = count.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |count| {
            (count < MAX_HANDOVER_WAITERS).then_some(count + 1)
        });
        entered.is_ok().then(|| Self(count))
    }
}

impl Drop for HandoverWaiter<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Cancels the wait for a token when dropped: after the answer, or when the caller disconnects.
struct WaiterGuard<'a> {
    limiter: &'a TokenLimiter,
    data_centre: &'a DataCentreId,
    slot: WorkspaceSlot,
    waiter: WaiterId,
}

impl Drop for WaiterGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.limiter.lock();
        state.waiters.remove(&self.waiter);
        if let Some(token_cache) = state.token_caches.get_mut(self.data_centre) {
            token_cache.cancel(self.slot, self.waiter);
        }
    }
}

fn refusal(workspace: &WorkspaceId, refused: Option<Refused>) -> Refusal {
    let after = refused.map_or(POLL_INTERVAL, |refused| refused.retry_after);
    let refusal = match refused.map(|refused| refused.cause) {
        Some(RefusalCause::OverRate) => Refusal::over_rate(workspace),
        Some(RefusalCause::NoTokenServer) | None => {
            let detail = "the data centre's steward does not answer";
            Refusal::not_run(Reason::NotReady, detail)
        }
    };
    refusal.with_jittered_retry_after(after)
}
