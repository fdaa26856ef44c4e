use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use nutmegwheel_config::Routing;
use nutmegwheel_events::Event;
use nutmegwheel_policy::{
    routing::{
        Announcement, BackendKey, LoadReport, Options, Outcome, Request, ServerState, SpillChange,
        Table,
    },
    work::WorkReport,
};
use nutmegwheel_spread::{AnnouncementState, Health, MemberStatus, Record};
use nutmegwheel_types::{
    DataCentreId, EndpointId, Incarnation, Priority, ProcessName, ServiceId, plain,
};

use crate::{
    call::Call,
    refusal::{Reason, Refusal},
    shared::Shared,
};

/// The retry delay while no backend server accepts requests.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_secs(1);

plain! {
    /// The node of the chosen backend server.
    pub(crate) struct Target {
        pub(crate) key: BackendKey,
        pub(crate) node: ProcessName,
        pub(crate) data_centre: DataCentreId,
        pub(crate) link: SocketAddr,
        pub(crate) incarnation: Incarnation,
    }
}

/// The backend servers of all services, as known to this node.
pub(crate) struct Routes {
    data_centre: DataCentreId,
    routing: Routing,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    tables: HashMap<ServiceId, Table>,
    nodes: HashMap<ProcessName, NodeEntry>,
    evacuated: BTreeSet<DataCentreId>,
}

/// The address of a node, and the service in whose table its backend server is listed.
struct NodeEntry {
    service: ServiceId,
    link: SocketAddr,
    incarnation: Incarnation,
}

impl Routes {
    pub(crate) fn open(data_centre: DataCentreId, routing: Routing) -> Self {
        Self {
            data_centre,
            routing,
            state: Mutex::default(),
        }
    }

    /// Updates the routes from the record of a node and its backend server.
    pub(crate) fn update(&self, now: Instant, record: &Record) {
        let mut state = self.lock();
        let announced = record.announcement.as_ref();
        let Some(announced) = announced.filter(|_| record.health != Health::Dead) else {
            return state.remove_node(now, &record.name);
        };
        let entry = state.nodes.get(&record.name);
        if entry.is_some_and(|entry| entry.service != announced.service) {
            state.remove_node(now, &record.name);
        }
        let node = NodeEntry {
            service: announced.service.clone(),
            link: record.link,
            incarnation: record.incarnation,
        };
        state.nodes.insert(record.name.clone(), node);
        let State {
            tables, evacuated, ..
        } = &mut *state;
        let table = tables.entry(announced.service.clone()).or_insert_with(|| {
            let mut table = Table::open(self.data_centre.clone(), Options::default());
            table.set_evacuated(now, evacuated);
            table
        });
        let announcement = Announcement {
            node: record.name.clone(),
            data_centre: record.data_centre.clone(),
            incarnation: record.incarnation,
            slots: announced.slots.into(),
            state: server_state(record.status, announced.state),
        };
        let key = table.announce(now, announcement);
        table.set_unresponsive(now, key, record.health == Health::Suspect);
    }

    /// Sets the data centres whose backend servers get no requests.
    pub(crate) fn set_evacuated(&self, now: Instant, data_centres: &BTreeSet<DataCentreId>) {
        let mut state = self.lock();
        state.evacuated.clone_from(data_centres);
        for table in state.tables.values_mut() {
            table.set_evacuated(now, data_centres);
        }
    }
}

impl Routes {
    /// Chooses a backend server and counts the request as outstanding there.
    pub(crate) fn choose(
        &self,
        now: Instant,
        service: &str,
        endpoint: &EndpointId,
        priority: Priority,
        tried: &[BackendKey],
    ) -> Result<Target, Refusal> {
        let mut state = self.lock();
        let refuse = |detail: String| {
            let refusal = Refusal::not_run(Reason::NoBackendServer, detail);
            refusal.with_retry_after(NO_SERVER_RETRY_AFTER)
        };
        let table = state.tables.get_mut(service);
        let table = table.ok_or_else(|| refuse(format!("no backend server of {service}")))?;
        let req = Request { priority, tried };
        let mut rng = rand::rng();
        let chosen = match self.routing {
            Routing::Count => table.choose(now, &req, &mut rng),
            Routing::ExpectedTime => table.choose_by_time(now, &req, endpoint, &mut rng),
        };
        let key = chosen.map_err(|e| refuse(format!("{service}: {e}")))?;
        let target = state.target(service, key);
        target.ok_or_else(|| refuse(format!("{service}: the backend server is gone")))
    }

    /// Chooses one of the backend servers that the call was sent to before, and counts the request
    /// as outstanding there.
    pub(crate) fn choose_among(
        &self,
        now: Instant,
        call: &Call,
        keys: &[BackendKey],
    ) -> Result<Target, Refusal> {
        let mut state = self.lock();
        let table = state.tables.get_mut(&call.service);
        let key = table.and_then(|table| table.choose_among(now, call.context.priority, keys));
        key.and_then(|key| state.target(&call.service, key))
            .ok_or_else(|| {
                let detail = format!("{}: the backend servers are gone", call.service);
                let refusal = Refusal::not_run(Reason::NoBackendServer, detail);
                refusal.with_retry_after(NO_SERVER_RETRY_AFTER)
            })
    }

    /// Records the end of a request that [`Routes::choose`] counted as outstanding.
    pub(crate) fn finish(
        &self,
        now: Instant,
        service: &str,
        key: BackendKey,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) {
        if let Some(table) = self.lock().tables.get_mut(service) {
            table.finish(now, key, outcome, report);
        }
    }

    /// Records what an answer says of the work of its backend server.
    pub(crate) fn observe_work(
        &self,
        shared: &Shared,
        service: &str,
        key: BackendKey,
        endpoint: &EndpointId,
        work: Option<WorkReport>,
    ) {
        if self.routing == Routing::Count {
            return;
        }
        let mut state = self.lock();
        let Some(table) = state.tables.get_mut(service) else {
            return;
        };
        table.observe_work(Instant::now(), key, endpoint, work);
        let change = table.take_spill_change();
        drop(state);
        if let Some(change) = change {
            journal_spill_change(shared, service, &change);
        }
    }

    /// The number of a service's backend servers that accept new requests.
    pub(crate) fn available(&self, service: &str) -> usize {
        let state = self.lock();
        state.tables.get(service).map_or(0, Table::available)
    }

    /// Whether a request that was sent to the `tried` backend servers can be sent to another one.
    pub(crate) fn has_untried(&self, service: &str, tried: &[BackendKey]) -> bool {
        let state = self.lock();
        let table = state.tables.get(service);
        table.is_some_and(|table| table.has_untried(tried))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn target(&self, service: &str, key: BackendKey) -> Option<Target> {
        let announcement = self.tables.get(service)?.announcement(key)?;
        let node = self.nodes.get(&announcement.node)?;
        Some(Target {
            key,
            node: announcement.node.clone(),
            data_centre: announcement.data_centre.clone(),
            link: node.link,
            incarnation: node.incarnation,
        })
    }

    fn remove_node(&mut self, now: Instant, node: &str) {
        let Some(entry) = self.nodes.remove(node) else {
            return;
        };
        if let Some(table) = self.tables.get_mut(&entry.service)
            && let Some(key) = table.find(node)
        {
            table.remove(now, key);
        }
    }
}

fn journal_spill_change(shared: &Shared, service: &str, change: &SpillChange) {
    let event = if change.is_spilling {
        Event::SpillOverBegan
    } else {
        Event::SpillOverEnded
    };
    shared.journal.emit_rate_limited(
        event,
        &[
            ("service", &service),
            ("local_ms", &change.local.as_millis()),
            ("remote_ms", &change.remote.as_millis()),
        ],
    );
}

fn server_state(status: MemberStatus, state: AnnouncementState) -> ServerState {
    match (status, state) {
        (MemberStatus::Leaving, _) | (_, AnnouncementState::Leaving) => ServerState::Leaving,
        (_, AnnouncementState::Starting) => ServerState::Starting,
        (_, AnnouncementState::Ready) => ServerState::Ready,
    }
}
