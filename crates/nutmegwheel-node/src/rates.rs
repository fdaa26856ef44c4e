//! The rates of workspaces at this door: each keyed request spends one token of its workspace.

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
        WorkspaceKey,
    },
};
use nutmegwheel_types::{DataCentreId, WorkspaceId};
use tokio::sync::{Notify, oneshot};

use crate::{
    refusal::{Reason, Refusal},
    shared::Shared,
};

/// The longest time that a request waits while one steward follows another.
const STEWARD_WAIT: Duration = Duration::from_secs(4);
/// The pause before such a request asks again.
const STEWARD_PAUSE: Duration = Duration::from_millis(50);
/// The most requests of a door that wait so.
const MAX_PATIENT: usize = 1024;
/// How long the last answer of a steward shows that there is one.
const STEWARD_SEEN: Duration = Duration::from_secs(10);
/// How long after its last answer a steward is asked whether it is there, while no tokens are
/// wanted; every door of the data centre asks the same process.
const PROBE_AFTER: Duration = Duration::from_secs(4);
/// The time between two such questions.
const PROBE_PAUSE: Duration = Duration::from_millis(500);

/// What this door holds of the workspaces' tokens.
pub(crate) struct Rates {
    own: DataCentreId,
    data_centres: BTreeSet<DataCentreId>,
    state: Mutex<State>,
    urgent: Notify,
    next_waiter: AtomicU64,
    /// The requests that wait for the next steward.
    patient: AtomicUsize,
}

struct State {
    door: IngressId,
    purses: BTreeMap<DataCentreId, TokenCache>,
    waiters: HashMap<WaiterId, oneshot::Sender<Spend>>,
    steward_seen: Option<Instant>,
    probed: Option<Instant>,
}

/// Lifecycle.
impl Rates {
    pub(crate) fn open(
        door: IngressId,
        own: DataCentreId,
        data_centres: BTreeSet<DataCentreId>,
    ) -> Self {
        let purses = BTreeMap::from([(own.clone(), TokenCache::open(door.clone()))]);
        Self {
            own,
            data_centres,
            state: Mutex::new(State {
                door,
                purses,
                waiters: HashMap::new(),
                steward_seen: None,
                probed: None,
            }),
            urgent: Notify::new(),
            next_waiter: AtomicU64::new(0),
            patient: AtomicUsize::new(0),
        }
    }

    /// Asks for tokens and gives them back; runs as long as the node.
    pub(crate) async fn keep(shared: &Arc<Shared>) {
        loop {
            let rates = &shared.rates;
            for (data_centre, ask) in rates.lock().poll(&rates.own) {
                let shared = shared.clone();
                tokio::spawn(async move {
                    let tokens = shared.tokens()?;
                    let grant = tokens.request(&data_centre, &ask).await?;
                    shared.rates.granted(&data_centre, &grant);
                    Some(())
                });
            }
            tokio::select! {
                () = tokio::time::sleep(POLL_INTERVAL) => {}
                () = rates.urgent.notified() => {}
            }
        }
    }

    fn granted(&self, data_centre: &DataCentreId, grant: &nutmegwheel_limits::messages::Grant) {
        let now = Instant::now();
        let mut state = self.lock();
        if *data_centre == self.own {
            state.steward_seen = Some(now);
        }
        let Some(purse) = state.purses.get_mut(data_centre) else {
            return;
        };
        let decisions = purse.apply_grant(grant, now);
        let is_urgent = purse.is_urgent();
        state.tell(decisions);
        drop(state);
        if is_urgent {
            self.urgent.notify_one();
        }
    }
}

/// Spending.
impl Rates {
    /// Whether the data centre's steward answered lately.
    pub(crate) fn has_steward(&self) -> bool {
        let seen = self.lock().steward_seen;
        seen.is_some_and(|at| at.elapsed() < STEWARD_SEEN)
    }

    /// Spends a token of the workspace, or refuses with the time to come back.
    ///
    /// While one steward follows another, a request that has the time waits for the next one, since
    /// it is inside its rate as far as anybody knows.
    pub(crate) async fn spend(
        &self,
        view: &View,
        workspace: &WorkspaceId,
        deadline: Instant,
    ) -> Result<(), Refusal> {
        let data_centre = self.asked(view, workspace);
        let now = Instant::now();
        let patience = deadline.saturating_duration_since(now) / 2;
        let until = now + patience.min(STEWARD_WAIT);
        let mut patient = None;
        loop {
            let refused = match self.spend_once(&data_centre, workspace).await {
                Spend::Spent => return Ok(()),
                Spend::Refused(refused) => Some(refused),
                Spend::Waiting => None,
            };
            let is_over_rate =
                refused.is_some_and(|refused| refused.cause == RefusalCause::OverRate);
            if is_over_rate || Instant::now() >= until || !self.has_steward() {
                return Err(refusal(workspace, refused));
            }
            if patient.is_none() {
                patient = Patient::enter(&self.patient);
            }
            if patient.is_none() {
                return Err(refusal(workspace, refused));
            }
            tokio::time::sleep(STEWARD_PAUSE).await;
        }
    }

    async fn spend_once(&self, data_centre: &DataCentreId, workspace: &WorkspaceId) -> Spend {
        let waiter = self.next_waiter.fetch_add(1, Ordering::Relaxed);
        let (key, spend, decision) = self.try_spend(data_centre, workspace, waiter);
        let Some(decision) = decision else {
            return spend;
        };
        let _waiting = Waiting {
            rates: self,
            data_centre,
            key,
            waiter,
        };
        decision.await.unwrap_or(Spend::Waiting)
    }

    fn try_spend(
        &self,
        data_centre: &DataCentreId,
        workspace: &WorkspaceId,
        waiter: WaiterId,
    ) -> (WorkspaceKey, Spend, Option<oneshot::Receiver<Spend>>) {
        let now = Instant::now();
        let mut state = self.lock();
        let door = state.door.clone();
        let purse = state.purses.entry(data_centre.clone());
        let purse = purse.or_insert_with(|| TokenCache::open(door));
        let key = purse.workspace_key(workspace, now);
        let spend = purse.spend(key, waiter, now);
        let is_urgent = purse.is_urgent();
        // The decision may come as soon as the state is free, so its receiver stands before.
        let decision = (spend == Spend::Waiting).then(|| {
            let (tx, rx) = oneshot::channel();
            state.waiters.insert(waiter, tx);
            rx
        });
        drop(state);
        if is_urgent {
            self.urgent.notify_one();
        }
        (key, spend, decision)
    }

    /// The data centre whose steward is asked: the own one, unless the burst is too small to share.
    fn asked(&self, view: &View, workspace: &WorkspaceId) -> DataCentreId {
        let configured = view.configuration.workspaces.get(workspace);
        let burst = configured.map_or(1, |configured| {
            Limit::from_config(configured.rate, configured.burst).burst_tokens()
        });
        let holders = placement(workspace, burst, &self.data_centres);
        if holders.contains(&self.own) {
            return self.own.clone();
        }
        holders.first().unwrap_or(&self.own).clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// What is to be asked, of which data centre.
    fn poll(
        &mut self,
        own: &DataCentreId,
    ) -> Vec<(DataCentreId, nutmegwheel_limits::messages::TokenRequest)> {
        let now = Instant::now();
        let mut asks = Vec::new();
        let mut decisions = Vec::new();
        for (data_centre, purse) in &mut self.purses {
            let output = purse.poll(now);
            decisions.extend(output.decisions);
            asks.extend(output.request.map(|ask| (data_centre.clone(), ask)));
        }
        self.tell(decisions);
        let is_older = |at: Option<Instant>, age: Duration| {
            at.is_none_or(|at| now.saturating_duration_since(at) >= age)
        };
        if is_older(self.steward_seen, PROBE_AFTER) && is_older(self.probed, PROBE_PAUSE) {
            self.probed = Some(now);
            asks.push((own.clone(), self.probe()));
        }
        asks
    }

    /// A question without items, whose answer shows that there is a steward.
    fn probe(&self) -> nutmegwheel_limits::messages::TokenRequest {
        nutmegwheel_limits::messages::TokenRequest {
            ingress: self.door.clone(),
            seq: 0,
            items: Vec::new(),
        }
    }

    fn tell(&mut self, decisions: Vec<Decision>) {
        for Decision { waiter, spend } in decisions {
            if let Some(tx) = self.waiters.remove(&waiter) {
                let _ = tx.send(spend);
            }
        }
    }
}

/// One of the requests that wait for the next steward.
struct Patient<'a>(&'a AtomicUsize);

impl<'a> Patient<'a> {
    /// Lets a request wait unless too many do already.
    fn enter(count: &'a AtomicUsize) -> Option<Self> {
        let entered = count.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |count| {
            (count < MAX_PATIENT).then_some(count + 1)
        });
        entered.is_ok().then(|| Self(count))
    }
}

impl Drop for Patient<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Forgets a request that waits for a token when it is answered or its caller leaves.
struct Waiting<'a> {
    rates: &'a Rates,
    data_centre: &'a DataCentreId,
    key: WorkspaceKey,
    waiter: WaiterId,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut state = self.rates.lock();
        state.waiters.remove(&self.waiter);
        if let Some(purse) = state.purses.get_mut(self.data_centre) {
            purse.cancel(self.key, self.waiter);
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
    refusal.after_about(after)
}
