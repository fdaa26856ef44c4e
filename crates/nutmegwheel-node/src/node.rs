use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use anyhow::Context as _;
use nutmegwheel_config::{RequestLimits, Settings};
use nutmegwheel_events::{Event, Journal};
use nutmegwheel_link::{Endpoint, Limits, Metering, Options};
use nutmegwheel_spread::TICK;
use nutmegwheel_supervisor::Supervisor;
use nutmegwheel_types::Incarnation;
use nutmegwheel_web::Server;
use nutmegwheel_wire::topic;

use crate::{
    allotment_limiter::AllotmentLimiter,
    cold_start, departures,
    dialect::Dialect,
    failure_rate, listeners, members,
    serve::NodeService,
    server_limit,
    shared::{LEAVE_PROPAGATION_TIME, Shared},
    token_limiter::TokenLimiter,
};

/// The interval at which the backend server's announcement is checked for expiry.
const ANNOUNCEMENT_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The interval between the recovery steps of a restarted seed.
const RECOVERY_INTERVAL: Duration = Duration::from_millis(200);
/// The interval between the steps of a token server candidate.
const TOKEN_SERVER_INTERVAL: Duration = Duration::from_millis(100);
/// The interval at which expired state is removed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);
/// The fraction of `stop_timeout` within which a shutdown drains the requests in flight and closes
/// the connections. The rest is reserved for stopping the tasks.
const DRAIN_FRACTION: f64 = 0.9;
/// The interval at which a shutdown checks whether requests are still in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running node, which [`Node::shutdown`] stops.
pub struct Node {
    shared: Arc<Shared>,
    tree: Supervisor,
    servers: Vec<Server>,
}

/// Starts the links, tasks and listeners of a node. Without a `dialect`, callers and the backend
/// server use the native one.
///
/// # Errors
///
/// Fails when a listener cannot be opened; the error names the listener.
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
    let servers = listeners::bind(&shared)?;
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
        limits: Limits {
            // The listeners bound the bodies of requests, and the view in force is not the same on
            // all nodes at a time.
            max_body: RequestLimits::MAX_BODY,
            ..Limits::default()
        },
        metering: Some(Metering {
            account: shared.memory.clone(),
            topics: vec![topic::CALL],
        })
        .filter(|metering| metering.account.is_limited()),
    };
    let service = Arc::new(NodeService {
        shared: shared.clone(),
    });
    let bound = Endpoint::bind(opts, service).await;
    bound.context("open listen.link")
}

fn spawn_tasks(tree: &Supervisor, shared: &Arc<Shared>) {
    let cx = shared.clone();
    tree.spawn_interval("gossip", TICK, move || {
        let cx = cx.clone();
        async move { members::handle(&cx, cx.gossip.tick()) }
    });
    let cx = shared.clone();
    tree.spawn_interval("announcement", ANNOUNCEMENT_CHECK_INTERVAL, move || {
        let cx = cx.clone();
        async move {
            expire_backend_state(&cx);
            cold_start::refresh(&cx, Instant::now());
        }
    });
    let cx = shared.clone();
    tree.spawn_interval("expiry", EXPIRY_INTERVAL, move || {
        let cx = cx.clone();
        async move {
            cx.expire(Instant::now());
            server_limit::refresh(&cx);
        }
    });
    let cx = shared.clone();
    tree.spawn_interval("seed", RECOVERY_INTERVAL, move || {
        let cx = cx.clone();
        async move {
            if let (Some(seed_service), Some(endpoint)) = (&cx.seed_service, cx.endpoint()) {
                seed_service.recover(endpoint).await;
            }
        }
    });
    let cx = shared.clone();
    tree.spawn_interval("steward", TOKEN_SERVER_INTERVAL, move || {
        let cx = cx.clone();
        async move {
            if let (Some(seed_service), Some(endpoint)) = (&cx.seed_service, cx.endpoint()) {
                seed_service.tick(endpoint);
            }
        }
    });
    let cx = shared.clone();
    if shared.has_token_servers() {
        tree.spawn("rates", move || {
            let cx = cx.clone();
            async move { TokenLimiter::run(&cx).await }
        });
    } else {
        tree.spawn("quotas", move || {
            let cx = cx.clone();
            async move { AllotmentLimiter::run(&cx).await }
        });
    }
    if shared.dialect.is_some() {
        let cx = shared.clone();
        tree.spawn("departures", move || {
            let cx = cx.clone();
            async move { departures::run(&cx).await }
        });
    }
    let cx = shared.clone();
    tree.spawn("gate", move || {
        let cx = cx.clone();
        async move { cx.admission.run_timers().await }
    });
}

fn expire_backend_state(shared: &Arc<Shared>) {
    let changes = shared.registration_changes();
    if let Some(expired) = shared.local_backend.remove_expired(Instant::now()) {
        let service = &expired.backend.service;
        shared
            .journal
            .emit(Event::BackendLapsed, &[("service", service)]);
        shared.registration().mark_down();
        shared.backend_changed();
    }
    drop(changes);
    failure_rate::expire(shared);
}

impl Node {
    /// Announces to the fleet that the node leaves, drains the requests in flight and stops.
    pub async fn shutdown(self) {
        let limit = self.shared.settings.stop_timeout.mul_f64(DRAIN_FRACTION);
        let deadline = tokio::time::Instant::now() + limit;
        self.shared.journal.emit(Event::ProcessLeaving, &[]);
        self.shared.leave();
        tokio::join!(tokio::time::sleep(LEAVE_PROPAGATION_TIME), self.hand_over());
        self.drain(deadline).await;
        // What is still open at the deadline is closed by the exit of the process.
        if tokio::time::timeout_at(deadline, self.close())
            .await
            .is_err()
        {
            let stop_timeout = &self.shared.settings.stop_timeout;
            let detail = format!("connections were open after {stop_timeout:?}");
            self.shared
                .journal
                .emit(Event::ProcessStopTimedOut, &[("detail", &detail)]);
        }
        self.tree.stop();
        self.tree.stopped().await;
        self.shared.journal.emit(Event::ProcessStopped, &[]);
    }

    /// Applies newer settings. Only the addresses of the gossip contacts can change while the
    /// process runs.
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

    async fn drain(&self, deadline: tokio::time::Instant) {
        while self.shared.in_flight() > 0 && tokio::time::Instant::now() < deadline {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }
}
