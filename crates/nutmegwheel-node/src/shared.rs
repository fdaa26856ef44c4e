use std::{
    collections::VecDeque,
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use nutmegwheel_config::{Concurrency, Settings};
use nutmegwheel_events::{Journal, Timestamp};
use nutmegwheel_limits::{messages::IngressId, server_limit::ServerLimit};
use nutmegwheel_link::Endpoint;
use nutmegwheel_memory::Account;
use nutmegwheel_policy::{
    dependencies::Dependencies,
    failure_rate::{self, FailureRate},
    registration::Registration,
    retry::RetryRatios,
    shed::{self, ShedLevels},
    split::TrafficSplits,
};
use nutmegwheel_seeds::{
    AttemptId, AttemptLog, ClaimClient, SeedClient, SeedLists, SeedService, TokenClient,
    attempt_log,
};
use nutmegwheel_spread::{DepartureService, GossipService, Health};
use nutmegwheel_types::{EndpointId, Incarnation, Priority, ProcessName, ServiceId};
use nutmegwheel_wire as wire;

use crate::{
    admission::AdmissionController,
    allotment_limiter::AllotmentLimiter,
    backend::{BackendState, LocalBackend},
    cold_start, dialect,
    evacuation::Evacuations,
    members,
    metrics::Metrics,
    quarantine::RequestQuarantine,
    retries,
    routes::Routes,
    running::Running,
    state_watcher::StateWatcher,
    token_limiter::TokenLimiter,
    views::Views,
    work::WorkAccount,
};

/// How long a leaving node still accepts requests, so that the other nodes receive its leave
/// message and callers with idle connections move to another node.
pub(crate) const LEAVE_PROPAGATION_TIME: Duration = Duration::from_secs(2);

/// The maximum size of a request body if the configuration has no limits, in bytes.
const DEFAULT_BODY_BYTES: usize = 1024 * 1024;
/// The same in a platform's dialect, in bytes.
const DEFAULT_DIALECT_BODY_BYTES: usize = 4 * 1024 * 1024;

/// The number of incarnations of this process that are kept. Calls addressed to older ones are
/// refused as not run.
const MAX_GOSSIP_INCARNATIONS: usize = 64;

/// The state that the listeners and tasks of a node share.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) incarnation: Incarnation,
    pub(crate) journal: Arc<Journal>,
    pub(crate) views: Views,
    pub(crate) gossip: GossipService,
    /// The dialect of the listeners, if it is not the native one.
    pub(crate) dialect: Option<Arc<dyn dialect::Dialect>>,
    pub(crate) local_backend: LocalBackend,
    pub(crate) splits: Mutex<TrafficSplits>,
    registration: Mutex<Registration>,
    registration_changes: Mutex<()>,
    /// The heartbeat that counts once the departures before the start of this process are known.
    pub(crate) held_heartbeat: Mutex<Option<dialect::Alive>>,
    pub(crate) departure_service: DepartureService,
    /// How many of the recorded departures were reported to other processes.
    pub(crate) reported_departures: AtomicU64,
    failure_rate: Mutex<FailureRate>,
    server_limit: Mutex<ServerLimit>,
    pub(crate) cold_start: cold_start::State,
    pub(crate) running: Running,
    pub(crate) routes: Routes,
    pub(crate) evacuations: Evacuations,
    pub(crate) work: WorkAccount,
    pub(crate) admission: AdmissionController,
    pub(crate) quarantine: RequestQuarantine,
    pub(crate) shed_levels: Mutex<ShedLevels>,
    pub(crate) retry_ratios: Mutex<RetryRatios>,
    dependencies: Mutex<Dependencies>,
    pub(crate) metrics: Metrics,
    /// The memory for what callers and other processes send.
    pub(crate) memory: Account,
    state_watcher: StateWatcher,
    in_flight: AtomicUsize,
    pub(crate) seeds: Arc<SeedLists>,
    pub(crate) seed_service: Option<Arc<SeedService>>,
    pub(crate) attempt_log: Mutex<AttemptLog>,
    pub(crate) token_limiter: TokenLimiter,
    pub(crate) allotment_limiter: AllotmentLimiter,
    token_client: OnceLock<TokenClient>,
    claim_client: OnceLock<ClaimClient>,
    last_attempt_number: AtomicU64,
    endpoint: OnceLock<Endpoint>,
    left_at: OnceLock<Instant>,
    last_backend_incarnation: AtomicU64,
    /// The incarnations that the gossip assigned to this process to refute suspicions.
    gossip_incarnations: Mutex<VecDeque<Incarnation>>,
}

impl Shared {
    pub(crate) fn open(
        settings: Settings,
        incarnation: Incarnation,
        journal: Arc<Journal>,
        dialect: Option<Arc<dyn dialect::Dialect>>,
    ) -> Self {
        let now = Instant::now();
        let memory = Account::for_peers(settings.max_memory);
        let routing = settings.routing.unwrap_or_default();
        let contacts = settings.contacts.as_ref();
        let default_max_body = match dialect {
            Some(_) => DEFAULT_DIALECT_BODY_BYTES,
            None => DEFAULT_BODY_BYTES,
        };
        let is_first_start = contacts.is_some_and(|contacts| contacts.bootstrap);
        Self {
            evacuations: Evacuations::default(),
            routes: Routes::open(settings.data_centre.clone(), routing),
            work: WorkAccount::open(routing),
            admission: AdmissionController::open(
                now,
                settings
                    .backend_server
                    .as_ref()
                    .map_or(Concurrency::Adaptive, |server| server.concurrency),
            ),
            quarantine: RequestQuarantine::open(),
            shed_levels: Mutex::new(ShedLevels::open(shed::Options::default())),
            retry_ratios: Mutex::new(RetryRatios::open(now, retries::ratio_options(&settings))),
            dependencies: Mutex::default(),
            seeds: Arc::new(SeedLists::open(&settings)),
            seed_service: SeedService::open(&settings, incarnation).map(Arc::new),
            attempt_log: Mutex::new(AttemptLog::open(attempt_log::Options {
                incarnation,
                capacity: attempt_log::CAPACITY,
                retention: attempt_log::RETENTION,
            })),
            token_limiter: TokenLimiter::open(
                IngressId {
                    name: settings.name.clone(),
                    incarnation,
                },
                settings.data_centre.clone(),
                settings.data_centres().into_iter().collect(),
            ),
            allotment_limiter: AllotmentLimiter::open(now),
            token_client: OnceLock::new(),
            claim_client: OnceLock::new(),
            last_attempt_number: AtomicU64::new(0),
            gossip: GossipService::open(&settings, incarnation),
            settings,
            incarnation,
            views: Views::open(journal.clone(), default_max_body),
            journal,
            local_backend: LocalBackend::open(dialect.clone(), memory.clone()),
            dialect,
            splits: Mutex::default(),
            registration: Mutex::new(Registration::open(is_first_start)),
            registration_changes: Mutex::default(),
            held_heartbeat: Mutex::default(),
            departure_service: DepartureService::open(is_first_start),
            reported_departures: AtomicU64::new(0),
            failure_rate: Mutex::new(FailureRate::open(failure_rate::Options::default())),
            server_limit: Mutex::default(),
            cold_start: cold_start::State::default(),
            running: Running::default(),
            metrics: Metrics::open(),
            memory,
            state_watcher: StateWatcher::default(),
            in_flight: AtomicUsize::new(0),
            endpoint: OnceLock::new(),
            left_at: OnceLock::new(),
            last_backend_incarnation: AtomicU64::new(incarnation),
            gossip_incarnations: Mutex::default(),
        }
    }

    /// Returns an incarnation for a new backend server process, higher than all earlier ones on
    /// this node.
    pub(crate) fn next_backend_incarnation(&self) -> Incarnation {
        self.last_backend_incarnation.fetch_add(1, Ordering::SeqCst) + 1
    }

    /// Returns a new id for an attempt of a non-idempotent call.
    pub(crate) fn next_attempt(&self) -> AttemptId {
        AttemptId {
            ingress: self.settings.name.clone(),
            incarnation: self.incarnation,
            number: self.last_attempt_number.fetch_add(1, Ordering::SeqCst) + 1,
        }
    }

    /// Sets the link endpoint, which is opened after the service that handles its requests.
    pub(crate) fn connect(&self, endpoint: Endpoint) {
        self.gossip.set_endpoint(endpoint.clone());
        let seed_client = SeedClient::open(
            self.settings.name.clone(),
            endpoint.clone(),
            self.seed_service.clone(),
            self.seeds.clone(),
        );
        let _ = self
            .token_client
            .set(TokenClient::open(seed_client.clone()));
        let _ = self.claim_client.set(ClaimClient::open(seed_client));
        let _ = self.endpoint.set(endpoint);
    }

    pub(crate) fn leave(&self) {
        let _ = self.left_at.set(Instant::now());
        self.gossip.leave();
    }
}

impl Shared {
    pub(crate) fn endpoint(&self) -> Option<&Endpoint> {
        self.endpoint.get()
    }

    pub(crate) fn token_client(&self) -> Option<TokenClient> {
        self.token_client.get().cloned()
    }

    pub(crate) fn claim_client(&self) -> Option<ClaimClient> {
        self.claim_client.get().cloned()
    }

    /// Whether data centres elect token servers, which requires seeds that are named in the
    /// settings.
    pub(crate) fn has_token_servers(&self) -> bool {
        self.settings.contacts.is_none()
    }

    /// Tracks the instances of the local backend server.
    pub(crate) fn registration(&self) -> MutexGuard<'_, Registration> {
        let registration = self.registration.lock();
        registration.unwrap_or_else(PoisonError::into_inner)
    }

    /// Held from a change of the registration until the announcement follows it, so that two
    /// changes are not applied to the two in different orders.
    pub(crate) fn registration_changes(&self) -> MutexGuard<'_, ()> {
        let changes = self.registration_changes.lock();
        changes.unwrap_or_else(PoisonError::into_inner)
    }

    /// Tracks the failure rate of the local backend server.
    pub(crate) fn failure_rate(&self) -> MutexGuard<'_, FailureRate> {
        let failure_rate = self.failure_rate.lock();
        failure_rate.unwrap_or_else(PoisonError::into_inner)
    }

    /// The limit that the local backend server named.
    pub(crate) fn server_limit(&self) -> MutexGuard<'_, ServerLimit> {
        let server_limit = self.server_limit.lock();
        server_limit.unwrap_or_else(PoisonError::into_inner)
    }

    /// The number of callers' requests and nested calls that this process is handling.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// The number of fleet members that are not known to be dead.
    pub(crate) fn live_members(&self) -> usize {
        let members = self.gossip.members();
        members
            .iter()
            .filter(|member| member.health != Health::Dead)
            .count()
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.left_at.get().is_some()
    }

    /// Whether [`LEAVE_PROPAGATION_TIME`] has passed since the node left, so that it refuses new
    /// requests.
    pub(crate) fn is_closed(&self) -> bool {
        self.left_at
            .get()
            .is_some_and(|at| at.elapsed() > LEAVE_PROPAGATION_TIME)
    }

    /// Whether a message addressed to `incarnation` is meant for the current process.
    ///
    /// The gossip raises the number while the process runs, and a higher number may also come from
    /// an earlier process, so only incarnations that this process took itself count.
    pub(crate) fn is_current_incarnation(&self, incarnation: Incarnation) -> bool {
        let gossip_incarnations = self
            .gossip_incarnations
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        incarnation == self.incarnation || gossip_incarnations.contains(&incarnation)
    }

    /// Reads the hybrid logical clock, to be sent with a message.
    pub(crate) fn timestamp(&self) -> wire::Stamp {
        let Timestamp { millis, count } = self.journal.clock().now();
        wire::Stamp { millis, count }
    }

    /// Counts a request as in flight until the guard is dropped.
    pub(crate) fn count_in_flight(&self) -> InFlight<'_> {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlight(&self.in_flight)
    }
}

impl Shared {
    /// Announces a change of the local backend server to the fleet at once.
    pub(crate) fn backend_changed(self: &Arc<Self>) {
        let is_ready = self
            .local_backend
            .announced()
            .is_some_and(|announced| announced.backend.state == BackendState::Ready);
        if !is_ready {
            self.admission.refuse_waiting(Instant::now());
        }
        members::announce(self);
    }

    /// Records an incarnation that the gossip took to refute a suspicion of this process.
    pub(crate) fn record_gossip_incarnation(&self, incarnation: Incarnation) {
        let mut gossip_incarnations = self
            .gossip_incarnations
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        gossip_incarnations.push_back(incarnation);
        if gossip_incarnations.len() > MAX_GOSSIP_INCARNATIONS {
            gossip_incarnations.pop_front();
        }
    }

    pub(crate) fn observe_timestamp(&self, timestamp: wire::Stamp) {
        self.journal.clock().observe(Timestamp {
            millis: timestamp.millis,
            count: timestamp.count,
        });
    }

    /// Records the shed level that a backend server reported.
    pub(crate) fn observe_shed_level(
        &self,
        service: &ServiceId,
        node: &ProcessName,
        level: Option<Priority>,
    ) {
        let mut shed_levels = self
            .shed_levels
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        shed_levels.observe(Instant::now(), service, node, level);
    }

    /// The downstream services that requests of an endpoint call.
    pub(crate) fn dependencies(
        &self,
        service: &ServiceId,
        endpoint: &EndpointId,
    ) -> Vec<ServiceId> {
        let dependencies = self
            .dependencies
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        dependencies.required_by(service, endpoint)
    }

    pub(crate) fn record_dependencies(
        &self,
        service: &ServiceId,
        endpoint: &EndpointId,
        called: impl IntoIterator<Item = ServiceId>,
    ) {
        let mut dependencies = self
            .dependencies
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        dependencies.record(service, endpoint, called);
    }

    /// Removes expired state and emits events for changes of state.
    pub(crate) fn expire(&self, now: Instant) {
        self.state_watcher.emit_changes(self);
        self.quarantine.expire(now);
        self.local_backend.expire_connections(now);
        let ingress_nodes = u32::try_from(self.gossip.ingress_nodes()).unwrap_or(u32::MAX);
        let mut retry_ratios = self
            .retry_ratios
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        retry_ratios.set_nodes(ingress_nodes);
        drop(retry_ratios);
        let mut shed_levels = self
            .shed_levels
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        shed_levels.expire(now);
    }
}

/// Counts a request as in flight while it exists.
pub(crate) struct InFlight<'a>(&'a AtomicUsize);

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}
