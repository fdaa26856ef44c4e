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
    dialect::Dialect,
    door::Door,
    heartbeats::HeartbeatDoor,
    host_door::HostDoor,
    local::LocalDoor,
    members,
    platform::Platform,
    quotas::Quotas,
    rates::Rates,
    serve::NodeService,
    shared::{LEAVE_TIME, Shared},
    soundness,
};

/// The largest body of a request, in bytes.
const BODY_LIMIT: usize = 1024 * 1024;
/// The largest body of a request in a platform's language, in bytes; links carry no larger one.
const DIALECT_BODY_LIMIT: usize = 4 * 1024 * 1024;
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
/// The part of the time for a stop after which requests in flight are given up; the rest is for
/// answering them and for closing connections.
const DRAIN_PART: f64 = 0.9;
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
    dialect: Option<Arc<dyn Dialect>>,
) -> anyhow::Result<Node> {
    let shared = Shared::open(settings, incarnation, journal.clone(), dialect);
    let shared = Arc::new(shared);
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
            body_limit: match shared.dialect {
                Some(_) => DIALECT_BODY_LIMIT,
                None => BODY_LIMIT,
            },
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
    let (backend, callers): (Arc<dyn Handler>, Arc<dyn Handler>) = match shared().dialect.clone() {
        Some(dialect) => (
            Arc::new(HeartbeatDoor {
                shared: shared(),
                dialect: dialect.clone(),
            }),
            Arc::new(HostDoor {
                shared: shared(),
                dialect,
            }),
        ),
        None => (
            Arc::new(LocalDoor { shared: shared() }),
            Arc::new(Door { shared: shared() }),
        ),
    };
    bind("open listen.backend", listen.backend, backend)?;
    bind("open listen.callers", listen.callers, callers)?;
    Ok(servers)
}

fn spawn_tasks(tree: &Supervisor, shared: &Arc<Shared>) {
    let cx = shared.clone();
    tree.spawn_interval("gossip", TICK, move || {
        let cx = cx.clone();
        async move { members::handle(&cx, cx.gossip.tick()) }
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
            if let (Some(seed_service), Some(endpoint)) = (&cx.seed_service, cx.endpoint()) {
                seed_service.recover(endpoint).await;
            }
        }
    });
    let cx = shared.clone();
    tree.spawn_interval("steward", STEWARD_PAUSE, move || {
        let cx = cx.clone();
        async move {
            if let (Some(seed_service), Some(endpoint)) = (&cx.seed_service, cx.endpoint()) {
                seed_service.tick(endpoint);
            }
        }
    });
    let cx = shared.clone();
    if shared.has_stewards() {
        tree.spawn("rates", move || {
            let cx = cx.clone();
            async move { Rates::keep(&cx).await }
        });
    } else {
        tree.spawn("quotas", move || {
            let cx = cx.clone();
            async move { Quotas::keep(&cx).await }
        });
    }
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
        shared.registration().mark_down();
        shared.backend_changed();
    }
    soundness::expire(shared);
}

/// Lifecycle.
impl Node {
    /// Tells the fleet that it leaves, finishes what is in flight and ends.
    pub async fn shutdown(self) {
        let limit = self.shared.settings.stop_within.mul_f64(DRAIN_PART);
        let end = tokio::time::Instant::now() + limit;
        self.shared.journal.emit(Event::ProcessLeaving, &[]);
        self.shared.leave();
        tokio::join!(tokio::time::sleep(LEAVE_TIME), self.hand_over());
        self.drain(end).await;
        // What does not end in time is cut off by the end of the process.
        if tokio::time::timeout_at(end, self.close()).await.is_err() {
            let pause = &self.shared.settings.stop_within;
            let detail = format!("connections were open after {pause:?}");
            self.shared
                .journal
                .emit(Event::ProcessCutOff, &[("detail", &detail)]);
        }
        self.tree.stop();
        self.tree.stopped().await;
        self.shared.journal.emit(Event::ProcessStopped, &[]);
    }

    /// Takes over newer settings, as far as they may change while the process runs.
    pub fn reload(&self, settings: &Settings) {
        self.shared.gossip.set_contacts(settings.contact_links());
    }

    async fn close(&self) {
        for server in &self.servers {
            server.stop().await;
        }
        self.shared.gossip.stop();
        if let Some(endpoint) = self.shared.endpoint() {
            endpoint.shutdown().await;
        }
    }

    async fn hand_over(&self) {
        if let Some(seed_service) = &self.shared.seed_service {
            seed_service.hand_over().await;
        }
    }

    async fn drain(&self, end: tokio::time::Instant) {
        while self.shared.in_flight() > 0 && tokio::time::Instant::now() < end {
            tokio::time::sleep(DRAIN_PAUSE).await;
        }
    }
}
