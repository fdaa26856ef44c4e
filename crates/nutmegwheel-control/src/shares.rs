//! Rate limits at the control leader, which moves shares between data centres by demand and answers
//! renewal requests; docs/spec/SHARES.md.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use bytes::Bytes;
use nutmegwheel_config::{Settings, View};
use nutmegwheel_events::{Event, Journal};
use nutmegwheel_limits::{
    Limit, MicroTokens,
    share::{self, ChangeSet, RebalanceOptions, RenewalTracker, Table},
};
use nutmegwheel_seeds::{renewal_request_from_wire, renewal_to_wire};
use nutmegwheel_types::{DataCentreId, WorkspaceId};
use nutmegwheel_wire::RenewalRequest;
use prost::Message as _;

use crate::{
    log::{Log as _, ReplicatedLog},
    state::Command,
};

/// Moves the shares of the data centres while this control VM leads.
pub(crate) struct Shares {
    log: Arc<ReplicatedLog>,
    journal: Arc<Journal>,
    data_centres: BTreeSet<DataCentreId>,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// The term of this leader, and the renewals that it has granted in it.
    renewals: Option<(u64, RenewalTracker)>,
    /// The demand that token servers reported last, in millionths of a token per second.
    demand: BTreeMap<WorkspaceId, BTreeMap<DataCentreId, MicroTokens>>,
}

impl Shares {
    pub(crate) fn open(
        settings: &Settings,
        log: Arc<ReplicatedLog>,
        journal: Arc<Journal>,
    ) -> Self {
        Self {
            log,
            journal,
            data_centres: settings.data_centres().into_iter().collect(),
            state: Mutex::default(),
        }
    }

    /// Commits the expirations and moves of shares that are due. Call it about twice a second.
    pub(crate) async fn step(&self) {
        if !self.is_caught_up_leader().await {
            return;
        }
        let (view, table) = (self.log.view(), self.log.shares());
        let expired = self.expire(&table);
        if let Some(change_set) = expired {
            self.commit(change_set.clone()).await;
            self.with_renewals(|renewals| renewals.finish_expiry(&change_set));
        }
        for workspace in workspaces(&view, &table) {
            // Each change is computed from the table that results from the previous one.
            let table = self.log.shares();
            if let Some(change_set) = self.rebalance(&view, &table, &workspace) {
                self.commit(change_set).await;
            }
        }
    }

    /// Returns whether this control VM leads and has applied every entry that earlier leaders
    /// committed. In a new term, the renewals and the demand are reset.
    async fn is_caught_up_leader(&self) -> bool {
        let Some(term) = self.log.leading_term() else {
            self.state().renewals = None;
            return false;
        };
        if self.log.catch_up().await.is_err() {
            return false;
        }
        let mut state = self.state();
        let is_new = state
            .renewals
            .as_ref()
            .is_none_or(|(opened_in, _)| *opened_in != term);
        if is_new {
            state.renewals = Some((term, RenewalTracker::open(Instant::now())));
            state.demand.clear();
        }
        true
    }

    fn expire(&self, table: &Table) -> Option<ChangeSet> {
        let mut state = self.state();
        let (_, renewals) = state.renewals.as_mut()?;
        renewals.begin_expiry(table, Instant::now())
    }

    fn rebalance(&self, view: &View, table: &Table, workspace: &WorkspaceId) -> Option<ChangeSet> {
        let configured = view.configuration.workspaces.get(workspace);
        let (limit, burst) = configured.map_or((Limit::ZERO, u64::MAX), |configured| {
            let limit = Limit::from_config(configured.rate, configured.burst);
            (limit, limit.burst_tokens())
        });
        let data_centres = share::placement(workspace, burst, &self.data_centres);
        let no_demand = BTreeMap::new();
        let state = self.state();
        let outcome = share::rebalance(&RebalanceOptions {
            table,
            workspace,
            configured: limit,
            data_centres: &data_centres.into_iter().collect(),
            demand: state.demand.get(workspace).unwrap_or(&no_demand),
        });
        outcome.change
    }

    async fn commit(&self, change_set: ChangeSet) {
        let changes = format!("{:?}", change_set.changes);
        if self.log.commit(Command::Shares(change_set)).await.is_ok() {
            self.journal
                .emit(Event::ShareMoved, &[("changes", &changes)]);
        }
    }
}

impl Shares {
    /// Answers the renewal request of a token server or a candidate, or returns `None` if this
    /// control VM does not lead.
    pub(crate) async fn renew(&self, head: Bytes) -> Option<Bytes> {
        let req = renewal_request_from_wire(RenewalRequest::decode(head).ok()?);
        if !self.is_caught_up_leader().await {
            return None;
        }
        self.record_demand(&req);
        let confirmation = self.confirmation(&req);
        if let Some(change_set) = confirmation {
            self.log.commit(Command::Shares(change_set)).await.ok()?;
        }
        // Catching up again confirms that this control VM still leads; the renewal counts from
        // here.
        let table = self.log.shares();
        self.log.catch_up().await.ok()?;
        self.log.leading_term()?;
        let mut state = self.state();
        let (_, renewals) = state.renewals.as_mut()?;
        let renewal = renewals.renew(&table, &req, Instant::now())?;
        Some(renewal_to_wire(&renewal).encode_to_vec().into())
    }

    fn record_demand(&self, req: &share::RenewalRequest) {
        let mut state = self.state();
        for (workspace, rate) in &req.demand {
            let demand = state.demand.entry(workspace.clone()).or_default();
            demand.insert(req.data_centre.clone(), *rate);
        }
    }

    fn confirmation(&self, req: &share::RenewalRequest) -> Option<ChangeSet> {
        let table = self.log.shares();
        let state = self.state();
        let (_, renewals) = state.renewals.as_ref()?;
        renewals.confirmation(&table, req)
    }

    fn with_renewals(&self, work: impl FnOnce(&mut RenewalTracker)) {
        if let Some((_, renewals)) = &mut self.state().renewals {
            work(renewals);
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn workspaces(view: &View, table: &Table) -> BTreeSet<WorkspaceId> {
    let configured = view.configuration.workspaces.keys();
    configured.chain(table.workspaces()).cloned().collect()
}
