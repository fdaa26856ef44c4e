use std::{sync::Arc, time::Duration};

use anyhow::Context as _;
use nutmegwheel_config::Settings;
use nutmegwheel_events::{Event, Journal};
use nutmegwheel_link::{Endpoint, Limits, Options};
use nutmegwheel_memory::Account;
use nutmegwheel_seeds::SeedService;
use nutmegwheel_spread::{GossipService, TICK};
use nutmegwheel_supervisor::Supervisor;
use nutmegwheel_types::Incarnation;

use crate::{
    allotments::Allotments,
    departures::Departures,
    dialect::Dialect,
    log::{self, ReplicatedLog},
    members::{GossipPublisher, Members},
    metrics::Metrics,
    operators::Operators,
    service::ControlService,
    shares::Shares,
};

const MAX_REQUEST_BODY_BYTES: usize = 4 * 1024 * 1024;
/// The time limit for receiving the whole of an operator's request.
const REQUEST_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// The interval at which this control VM catches up with the committed entries and then extends its
/// authority.
const AUTHORITY_INTERVAL: Duration = Duration::from_millis(300);
/// The interval between steps of the recovery of a restarted seed.
const SEED_RECOVERY_INTERVAL: Duration = Duration::from_millis(200);
/// The interval between the steps of a token server, or of a candidate for that role.
const TOKEN_SERVER_INTERVAL: Duration = Duration::from_millis(100);
/// The interval at which the leader checks whether shares must move between data centres.
const SHARES_INTERVAL: Duration = Duration::from_millis(500);
/// The percentage of the descriptors that connections of operators may take. The rest is left for
/// links and files.
const OPERATORS_DESCRIPTOR_PERCENT: usize = 75;
/// How long a shutdown waits for answers that are still being written.
const SHUTDOWN_GRACE_PERIOD: Duration = Duration::from_millis(500);

/// A running control VM, which [`Control::shutdown`] stops.
pub struct Control {
    journal: Arc<Journal>,
    supervisor: Supervisor,
    endpoint: Endpoint,
    web: nutmegwheel_web::Server,
    gossip: Arc<GossipService>,
    log: Arc<ReplicatedLog>,
    seed_service: Option<Arc<SeedService>>,
}

/// Starts the control role with the given settings. `dialect` adds the operators' interface of a
/// platform to that of this crate.
///
/// # Errors
///
/// Returns an error if `data_folder` is missing, the log cannot be opened, or a listener cannot be
/// bound; the error names the setting or the folder.
pub async fn spawn(
    settings: Settings,
    incarnation: Incarnation,
    journal: Arc<Journal>,
    dialect: Option<Arc<dyn Dialect>>,
) -> anyhow::Result<Control> {
    let supervisor = Supervisor::open(journal.clone());
    let gossip = Arc::new(GossipService::open(&settings, incarnation));
    let seed_service = SeedService::open(&settings, incarnation).map(Arc::new);
    let members = Arc::new(Members::open(gossip.clone(), journal.clone()));
    let publisher = GossipPublisher {
        gossip: gossip.clone(),
    };
    let log = Arc::new(ReplicatedLog::open(
        log_options(&settings, &journal)?,
        publisher,
    )?);
    members.connect(log.clone());
    let opts = Options {
        name: settings.name.clone(),
        data_centre: settings.data_centre.clone(),
        incarnation,
        listen: settings.listen.link,
        advertised: settings.listen.link_advertised,
        fleet_secret: settings.fleet_secret.clone().into_bytes(),
        limits: Limits::default(),
        metering: None,
    };
    let shares = Arc::new(Shares::open(&settings, log.clone(), journal.clone()));
    let service = Arc::new(ControlService {
        members: members.clone(),
        log: log.clone(),
        seed_service: seed_service.clone(),
        shares: shares.clone(),
        allotments: Arc::new(Allotments::open(log.clone(), gossip.clone())),
        departures: Arc::new(open_departures(&settings, &journal)?),
    });
    let endpoint = Endpoint::bind(opts, service)
        .await
        .context("open listen.link")?;
    gossip.set_endpoint(endpoint.clone());
    log.connect(endpoint.clone());
    spawn_tasks(&supervisor, &members);
    if settings.contacts.is_none() {
        spawn_leases(&supervisor, &members, &log, &shares);
    }
    if let Some(seed_service) = &seed_service {
        spawn_seed_service(&supervisor, seed_service, &endpoint, &journal);
    }
    let mut data_centres = settings.data_centres();
    data_centres.push(settings.data_centre.clone());
    let operators = Operators {
        data_centres: data_centres.into(),
        log: log.clone(),
        metrics: Arc::new(Metrics::open()),
        members: members.clone(),
        journal: journal.clone(),
        seed_service: seed_service.clone(),
        secret: settings.operator_secret.as_deref().map(Into::into),
        dialect,
    };
    let web = bind_web(&settings, operators)?;
    journal.emit(
        Event::ProcessStarted,
        &[("role", &"control"), ("platform", &web.address())],
    );
    Ok(Control {
        journal,
        supervisor,
        endpoint,
        web,
        gossip,
        log,
        seed_service,
    })
}

fn open_departures(settings: &Settings, journal: &Arc<Journal>) -> anyhow::Result<Departures> {
    let folder = settings.data_folder.as_ref();
    let folder = folder.context("data_folder is missing")?;
    let contacts = settings.contacts.as_ref();
    let is_first_start = contacts.is_some_and(|contacts| contacts.bootstrap);
    Ok(Departures::open(folder, is_first_start, journal.clone()))
}

fn log_options(settings: &Settings, journal: &Arc<Journal>) -> anyhow::Result<log::Options> {
    let group = log::Group::open(settings);
    let data_folder = settings.data_folder.clone();
    Ok(log::Options {
        name: group.own_name(settings),
        group,
        data_folder: data_folder.context("data_folder is missing")?,
        journal: journal.clone(),
    })
}

fn spawn_seed_service(
    supervisor: &Supervisor,
    seed_service: &Arc<SeedService>,
    endpoint: &Endpoint,
    journal: &Arc<Journal>,
) {
    let cx = (seed_service.clone(), endpoint.clone());
    supervisor.spawn_interval("seed", SEED_RECOVERY_INTERVAL, move || {
        let (seed_service, endpoint) = cx.clone();
        async move { seed_service.recover(&endpoint).await }
    });
    let cx = (seed_service.clone(), endpoint.clone(), journal.clone());
    supervisor.spawn_interval("steward", TOKEN_SERVER_INTERVAL, move || {
        let (seed_service, endpoint, journal) = cx.clone();
        async move {
            seed_service.tick(&endpoint);
            seed_service.emit_role_change(&journal);
        }
    });
}

fn spawn_tasks(supervisor: &Supervisor, members: &Arc<Members>) {
    let cx = members.clone();
    supervisor.spawn_interval("gossip", TICK, move || {
        let cx = cx.clone();
        async move { cx.tick() }
    });
}

/// Spawns the tasks that extend the authority of this control VM and move shares. The freshness
/// leases and token servers of the data centres need them. Both exist only if the settings list the
/// control VMs by name, not if they name contacts.
fn spawn_leases(
    supervisor: &Supervisor,
    members: &Arc<Members>,
    log: &Arc<ReplicatedLog>,
    shares: &Arc<Shares>,
) {
    let cx = (members.clone(), log.clone());
    supervisor.spawn_interval("vouch", AUTHORITY_INTERVAL, move || {
        let (members, log) = cx.clone();
        async move { members.extend_authority(&log).await }
    });
    let cx = shares.clone();
    supervisor.spawn_interval("shares", SHARES_INTERVAL, move || {
        let cx = cx.clone();
        async move { cx.step().await }
    });
}

fn bind_web(settings: &Settings, operators: Operators) -> anyhow::Result<nutmegwheel_web::Server> {
    let account = Account::for_control(settings.max_memory);
    // A process without a bound of its memory accepts as many as before.
    let max_connections = settings.max_descriptors.filter(|_| account.is_limited());
    let max_connections = max_connections.map(|n| n * OPERATORS_DESCRIPTOR_PERCENT / 100);

    let opts = nutmegwheel_web::Options {
        address: settings.listen.platform,
        body_limit: MAX_REQUEST_BODY_BYTES.into(),
        read_timeout: REQUEST_READ_TIMEOUT,
        max_connections,
        account,
    };
    let journal = operators.journal.clone();
    nutmegwheel_web::bind(opts, journal, Box::new(operators)).context("open listen.platform")
}

impl Control {
    /// Applies newer settings. Only the addresses of the contacts can change while the process
    /// runs.
    pub fn reload(&self, settings: &Settings) {
        self.gossip.set_contacts(settings.contact_links());
    }

    /// Leaves the gossip group, hands over the token server lease and stops the listeners. The log
    /// and the tasks stop last, after a grace period for answers in flight.
    pub async fn shutdown(self) {
        self.journal.emit(Event::ProcessLeaving, &[]);
        self.gossip.leave();
        if let Some(seed_service) = &self.seed_service {
            seed_service.hand_over().await;
        }
        self.web.stop().await;
        self.gossip.stop();
        self.endpoint.shutdown().await;
        tokio::time::sleep(SHUTDOWN_GRACE_PERIOD).await;
        self.log.stop();
        self.supervisor.stop();
        self.supervisor.stopped().await;
        self.journal.emit(Event::ProcessStopped, &[]);
    }
}
