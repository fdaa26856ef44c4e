use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use anyhow::Context as _;
use nutmegwheel_config::Settings;
use nutmegwheel_events::{Event, Journal};
use nutmegwheel_link::{Endpoint, Limits, Options};
use nutmegwheel_spread::TICK;
use nutmegwheel_supervisor::Supervisor;
use nutmegwheel_types::Incarnation;
use nutmegwheel_web::{Handler, Server};

use crate::{
    door::Door,
    local::LocalDoor,
    members,
    platform::Platform,
    rates::Rates,
    serve::NodeService,
    shared::{LEAVE_TIME, Shared},
};

/// The largest body of a request, in bytes.
const BODY_LIMIT: usize = 1024 * 1024;
/// The time in which a request must have arrived.
const PATIENCE: Duration = Duration::from_secs(10);
/// The time between two looks for a lapsed announcement.
const LAPSE_PAUSE: Duration = Duration::from_millis(100);
/// The time between two steps of a restarted seed's recovery.
const RECOVER_PAUSE: Duration = Duration::from_millis(200);
/// The time between two steps of a possible steward.
const STEWARD_PAUSE: Duration = Duration::from_millis(100);
/// The time between two rounds of forgetting what is too old.
const EXPIRY_PAUSE: Duration = Duration::from_secs(1);
/// The longest time that a planned stop waits for requests in flight.
const DRAIN_LIMIT: Duration = Duration::from_secs(30);
/// The time between two looks whether requests are in flight.
const DRAIN_PAUSE: Duration = Duration::from_millis(20);

/// A running node.
pub struct Node {
    shared: Arc<Shared>,
    tree: Supervisor,
    servers: Vec<Server>,
}

/// Starts the node role.
///
/// # Errors
///
/// Names the listener that could not be opened.
pub async fn spawn(
    settings: Settings,
    incarnation: Incarnation,
    journal: Arc<Journal>,
) -> anyhow::Result<Node> {
    let shared = Arc::new(Shared::open(settings, incarnation, journal.clone()));
    let endpoint = bind_links(&shared).await?;
    shared.connect(endpoint);
    let tree = Supervisor::open(journal);
    spawn_tasks(&tree, &shared);
    let servers = bind_listeners(&shared)?;
    let listen = &shared.settings.listen;
    shared.journal.emit(
        Event::ProcessStarted,
        &[("role", &"node"), ("platform", &listen.platform)],
    );
    Ok(Node {
        shared,
        tree,
        servers,
    })
}

async fn bind_links(shared: &Arc<Shared>) -> anyhow::Result<Endpoint> {
    let settings = &shared.settings;
    let opts = Options {
        name: settings.name.clone(),
        data_centre: settings.data_centre.clone(),
        incarnation: shared.incarnation,
        listen: settings.listen.link,
        advertised: settings.listen.link_advertised,
        fleet_secret: settings.fleet_secret.clone().into_bytes(),
        limits: Limits::default(),
    };
    let service = Arc::new(NodeService {
        shared: shared.clone(),
    });
    let bound = Endpoint::bind(opts, service).await;
    bound.context("open listen.link")
}

fn bind_listeners(shared: &Arc<Shared>) -> anyhow::Result<Vec<Server>> {
    let listen = &shared.settings.listen;
    let mut servers = Vec::new();
    let mut bind = |name, address: Option<SocketAddr>, handler: Arc<dyn Handler>| {
        let address = address.context(name)?;
        let opts = nutmegwheel_web::Options {
            address,
            body_limit: BODY_LIMIT,
            patience: PATIENCE,
        };
        servers.push(nutmegwheel_web::bind(opts, handler).context(name)?);
        anyhow::Ok(())
    };
    let shared = || shared.clone();
    bind(
        "open listen.platform",
        Some(listen.platform),
        Arc::new(Platform { shared: shared() }),
    )?;
    bind(
        "open listen.backend",
        listen.backend,
        Arc::new(LocalDoor { shared: shared() }),
    )?;
    bind(
        "open listen.callers",
        listen.callers,
        Arc::new(Door { shared: shared() }),
    )?;
    Ok(servers)
}

fn spawn_tasks(tree: &Supervisor, shared: &Arc<Shared>) {
    let cx = shared.clone();
    tree.spawn_interval("gossip", TICK, move || {
        let cx = cx.clone();
        async move { members::handle(&cx, cx.spread.tick()) }
    });
    let cx = shared.clone();
    tree.spawn_interval("announcement", LAPSE_PAUSE, move || {
        let cx = cx.clone();
        async move { lapse(&cx) }
    });
    let cx = shared.clone();
    tree.spawn_interval("expiry", EXPIRY_PAUSE, move || {
        let cx = cx.clone();
        async move { cx.expire(Instant::now()) }
    });
    let cx = shared.clone();
    tree.spawn_interval("seed", RECOVER_PAUSE, move || {
        let cx = cx.clone();
        async move {
            if let (Some(duty), Some(endpoint)) = (&cx.duty, cx.endpoint()) {
                duty.recover(endpoint).await;
            }
        }
    });
    let cx = shared.clone();
    tree.spawn_interval("steward", STEWARD_PAUSE, move || {
        let cx = cx.clone();
        async move {
            if let (Some(duty), Some(endpoint)) = (&cx.duty, cx.endpoint()) {
                duty.step(endpoint);
            }
        }
    });
    let cx = shared.clone();
    tree.spawn("rates", move || {
        let cx = cx.clone();
        async move { Rates::keep(&cx).await }
    });
    let cx = shared.clone();
    tree.spawn("gate", move || {
        let cx = cx.clone();
        async move { cx.gate.keep_time().await }
    });
}

fn lapse(shared: &Arc<Shared>) {
    if let Some(lapsed) = shared.local.lapse(Instant::now()) {
        let service = &lapsed.backend.service;
        shared
            .journal
            .emit(Event::BackendLapsed, &[("service", service)]);
        shared.backend_changed();
    }
}

/// Lifecycle.
impl Node {
    /// Tells the fleet that it leaves, finishes what is in flight and ends.
    pub async fn shutdown(self) {
        self.shared.journal.emit(Event::ProcessLeaving, &[]);
        self.shared.leave();
        tokio::join!(tokio::time::sleep(LEAVE_TIME), self.hand_over());
        self.drain().await;
        for server in &self.servers {
            server.stop().await;
        }
        self.shared.spread.stop();
        if let Some(endpoint) = self.shared.endpoint() {
            endpoint.shutdown().await;
        }
        self.tree.stop();
        self.tree.stopped().await;
        self.shared.journal.emit(Event::ProcessStopped, &[]);
    }

    async fn hand_over(&self) {
        if let Some(duty) = &self.shared.duty {
            duty.hand_over().await;
        }
    }

    async fn drain(&self) {
        let end = tokio::time::Instant::now() + DRAIN_LIMIT;
        while self.shared.in_flight() > 0 && tokio::time::Instant::now() < end {
            tokio::time::sleep(DRAIN_PAUSE).await;
        }
    }
}
