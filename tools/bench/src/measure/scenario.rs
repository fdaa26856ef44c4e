//! The scenarios: which faults and load surges occur, and when.

use std::time::{Duration, Instant};

use nutmegwheel_support::{Caller, Fault, Fleet};

use super::round::{Phase, PhaseKind, ScenarioContext, SystemKind};
use crate::{backend_pool::BackendPool, deployment::Deployment, operator, system::NodeAddresses};

/// The length of the warm-up, in which connections are opened and limits adapt. It is excluded from
/// the figures.
const WARM_UP_TIME: Duration = Duration::from_secs(3);
/// The length of the phase without a fault or surge.
const STEADY_TIME: Duration = Duration::from_secs(4);
/// The length of the phase with a fault or surge.
const TRIGGER_TIME: Duration = Duration::from_secs(8);
/// The length of the phase after the trigger, in which the system must recover.
const RECOVERY_TIME: Duration = Duration::from_secs(8);
/// The factor by which the deepest service slows down.
const SLOW_DEEP_FACTOR: f64 = 4.0;
/// The load of every workspace in a surge, as a multiple of its usual demand.
const SURGE_FACTOR: f64 = 3.0;
/// The load of the one surging workspace, as a multiple of its usual demand.
const WORKSPACE_SURGE: f64 = 5.0;
/// The rate limits as a multiple of the demand, low enough for one workspace to exceed its own.
const TIGHT_RATE_OVER_DEMAND: f64 = 1.4;
/// The factor by which all services slow down where capacity must be scarce without a fault.
const SCARCITY_FACTOR: u32 = 2;
/// The factor by which a backend server is slower after a cold restart.
const COLD_FACTOR: f64 = 5.0;
/// The time for which a backend server is slower after a cold restart.
const COLD_TIME: Duration = Duration::from_secs(3);
/// The request body that crashes a backend server.
const CRASHING_BODY: &[u8] = b"crash";
/// The interval between two sends of the crashing request.
const CRASH_INTERVAL: Duration = Duration::from_millis(100);
/// The interval at which the platform restarts crashed backend servers.
const RESTART_INTERVAL: Duration = Duration::from_secs(1);

/// The index of the workspace whose key is withdrawn.
const WITHDRAWN_WORKSPACE: usize = 7;
/// The number of the first change that is committed under load.
const FIRST_CHANGE: u64 = 100;
/// The slowdown factor that makes a backend server unresponsive.
const UNRESPONSIVE_FACTOR: f64 = 1e6;

/// The scenarios. `--only` also selects them by their number in this order, which is that of
/// issue 5.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Scenario {
    /// The deepest service slows down while demand surges and clients retry aggressively.
    SlowDeep,
    /// One workspace sends five times its demand and so exceeds its rate limit.
    OneWorkspace,
    /// Half of the backend servers of the front service restart cold.
    ColdRestart,
    /// A request that crashes backend servers is sent repeatedly.
    Crash,
    /// The processes of a data centre are paused and resumed.
    Freeze,
    /// Open links to every second node stop delivering data permanently. New links work.
    SilentLinks,
    /// A key is withdrawn and the ranks of classes are changed under load.
    Change,
    /// `SlowDeep` and `Crash` together.
    SlowDeepAndCrash,
}

impl Scenario {
    const ALL: [Self; 8] = [
        Self::SlowDeep,
        Self::OneWorkspace,
        Self::ColdRestart,
        Self::Crash,
        Self::Freeze,
        Self::SilentLinks,
        Self::Change,
        Self::SlowDeepAndCrash,
    ];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::SlowDeep => "slow-deep",
            Self::OneWorkspace => "one-workspace",
            Self::ColdRestart => "cold-restart",
            Self::Crash => "crash",
            Self::Freeze => "freeze",
            Self::SilentLinks => "silent-links",
            Self::Change => "change",
            Self::SlowDeepAndCrash => "slow-deep-and-crash",
        }
    }

    /// Returns whether the load within the rate limits exceeds the capacity under the trigger.
    pub(crate) fn is_capacity_scarce(self) -> bool {
        matches!(self, Self::SlowDeep | Self::SlowDeepAndCrash)
    }

    /// Returns whether the links of the fleet go through relays.
    pub(crate) fn is_relayed(self) -> bool {
        self == Self::SilentLinks
    }

    /// Returns whether the scenario applies to a system. The baseline has no links, and no keys or
    /// targets to change.
    pub(crate) fn runs_on(self, system: SystemKind) -> bool {
        system == SystemKind::Ours || !matches!(self, Self::SilentLinks | Self::Change)
    }

    /// Returns the workspace that is entitled to no service under the trigger, because it exceeds its
    /// rate limit or its key is withdrawn.
    pub(crate) fn excluded_workspace(self) -> Option<usize> {
        match self {
            Self::OneWorkspace => Some(0),
            Self::Change => Some(WITHDRAWN_WORKSPACE),
            _ => None,
        }
    }

    pub(crate) fn read(only: Option<&str>) -> anyhow::Result<Vec<Self>> {
        let Some(only) = only else {
            return Ok(Self::ALL.to_vec());
        };
        only.split(',')
            .map(|name| {
                let numbered = Self::ALL.iter().zip(1..);
                let mut named = numbered
                    .filter(|(known, number)| known.name() == name || number.to_string() == name);
                let found = named.next().map(|(known, _)| *known);
                found.ok_or_else(|| anyhow::anyhow!("--only: unknown scenario {name:?}"))
            })
            .collect()
    }

    /// Adjusts a deployment to the scenario. `OneWorkspace` needs lower rate limits, so that one
    /// workspace exceeds its own, and slower services, so that capacity is scarce without a fault.
    pub(crate) fn adapt(self, mut deployment: Deployment) -> Deployment {
        if self == Self::OneWorkspace {
            deployment.rate_over_demand = TIGHT_RATE_OVER_DEMAND;
            for service in &mut deployment.services {
                service.time *= SCARCITY_FACTOR;
            }
        }
        deployment
    }

    /// Runs the scenario from warm-up to recovery.
    pub(crate) async fn run(self, cx: &mut ScenarioContext<'_>) -> anyhow::Result<()> {
        cx.run_phase(PhaseKind::WarmUp, WARM_UP_TIME, 1.0).await;
        cx.run_phase(PhaseKind::Steady, STEADY_TIME, 1.0).await;
        match self {
            Self::SlowDeep => slow_deep(cx).await,
            Self::OneWorkspace => one_workspace(cx).await,
            Self::ColdRestart => cold_restart(cx).await?,
            Self::Crash => crash(cx, 1.0).await?,
            Self::Freeze => freeze(cx).await,
            Self::SilentLinks => silent_links(cx).await,
            Self::Change => change(cx).await?,
            Self::SlowDeepAndCrash => slow_deep_and_crash(cx).await?,
        }
        let begun = Instant::now();
        let is_withdrawn = |workspace| self == Self::Change && workspace == WITHDRAWN_WORKSPACE;
        let factor = |workspace| if is_withdrawn(workspace) { 0.0 } else { 1.0 };
        cx.load.run_phase(RECOVERY_TIME, factor).await;
        cx.record_phase(PhaseKind::Recovery, begun);
        Ok(())
    }
}

impl ScenarioContext<'_> {
    async fn run_phase(&mut self, kind: PhaseKind, time: Duration, factor: f64) {
        let begun = Instant::now();
        self.load.run_phase(time, |_| factor).await;
        self.record_phase(kind, begun);
    }

    fn record_phase(&mut self, kind: PhaseKind, begun: Instant) {
        let ended = Instant::now();
        self.phases.push(Phase { kind, begun, ended });
    }
}

async fn slow_deepest_service(cx: &mut ScenarioContext<'_>) {
    cx.backends
        .set_slowdown(cx.deployment.deepest(), SLOW_DEEP_FACTOR);
    cx.run_phase(PhaseKind::WarmUp, WARM_UP_TIME, 1.0).await;
    cx.run_phase(PhaseKind::Reference, STEADY_TIME, 1.0).await;
}

async fn slow_deep(cx: &mut ScenarioContext<'_>) {
    slow_deepest_service(cx).await;
    cx.run_phase(PhaseKind::Trigger, TRIGGER_TIME, SURGE_FACTOR)
        .await;
    cx.backends.set_slowdown(cx.deployment.deepest(), 1.0);
}

async fn slow_deep_and_crash(cx: &mut ScenarioContext<'_>) -> anyhow::Result<()> {
    slow_deepest_service(cx).await;
    crash(cx, SURGE_FACTOR).await?;
    cx.backends.set_slowdown(cx.deployment.deepest(), 1.0);
    Ok(())
}

async fn one_workspace(cx: &mut ScenarioContext<'_>) {
    let begun = Instant::now();
    let factor = |workspace| if workspace == 0 { WORKSPACE_SURGE } else { 1.0 };
    cx.load.run_phase(TRIGGER_TIME, factor).await;
    cx.record_phase(PhaseKind::Trigger, begun);
}

async fn cold_restart(cx: &mut ScenarioContext<'_>) -> anyhow::Result<()> {
    let begun = Instant::now();
    let front = cx.deployment.front();
    let count = cx.backends.of_service(front.name).count();
    let ledger = cx.backends.ledger.clone();
    for server in cx.backends.of_service(front.name).take(count.div_ceil(2)) {
        server.restart(&ledger).await?;
        server.set_slowdown(front.time, COLD_FACTOR);
    }
    cx.load.run_phase(COLD_TIME, |_| 1.0).await;
    cx.record_phase(PhaseKind::Trigger, begun);
    cx.backends.set_slowdown(front, 1.0);
    Ok(())
}

async fn crash(cx: &mut ScenarioContext<'_>, factor: f64) -> anyhow::Result<()> {
    let front = cx.deployment.front().name;
    for server in cx.backends.of_service(front) {
        server.set_fault(Fault::CrashOn(CRASHING_BODY.to_vec()));
    }
    let begun = Instant::now();
    let key = cx.deployment.key(cx.deployment.workspaces.len() - 1);
    let path = format!("/{front}/{}", cx.deployment.classes[0].name);
    tokio::select! {
        _ = cx.load.run_phase(TRIGGER_TIME, |_| factor) => {}
        () = send_crashing(&cx.node_addresses, &path, &key) => {}
        replaced = restart_crashed(&mut cx.backends) => replaced?,
    }
    cx.record_phase(PhaseKind::Trigger, begun);
    for server in cx.backends.of_service(front) {
        server.set_fault(Fault::None);
    }
    cx.backends.restart_crashed().await?;
    Ok(())
}

/// Pauses every process of the first data centre or, in the baseline, makes its backend servers
/// unresponsive. Meanwhile callers send to the ingress nodes of the other data centres.
async fn freeze(cx: &mut ScenarioContext<'_>) {
    let frozen = cx.deployment.data_centres[0];
    let elsewhere = cx.node_addresses.iter().filter(|p| !is_in(&p.name, frozen));
    let elsewhere = elsewhere.map(|node| node.callers).collect();
    let everywhere = cx.node_addresses.iter().map(|node| node.callers).collect();
    cx.load.set_ingress_nodes(elsewhere);
    cx.set_frozen(frozen, true);
    cx.run_phase(PhaseKind::Trigger, TRIGGER_TIME, 1.0).await;
    cx.set_frozen(frozen, false);
    cx.load.set_ingress_nodes(everywhere);
}

/// Returns whether a node is in a data centre. Nodes are named `<data centre>-<number>`.
fn is_in(node: &str, data_centre: &str) -> bool {
    node.rsplit_once('-')
        .is_some_and(|(name, _)| name == data_centre)
}

impl ScenarioContext<'_> {
    fn set_frozen(&self, data_centre: &str, is_frozen: bool) {
        if let Some(fleet) = self.fleet {
            let processes = fleet.control.iter().chain(&fleet.nodes);
            for process in processes.filter(|p| p.vm.data_centre == data_centre) {
                process.signal(if is_frozen { "STOP" } else { "CONT" });
            }
            return;
        }
        for service in &self.deployment.services {
            let factor = if is_frozen { UNRESPONSIVE_FACTOR } else { 1.0 };
            let servers = self.backends.servers.iter();
            let servers = servers.filter(|server| server.service == service.name);
            for server in servers.filter(|server| is_in(&server.node, data_centre)) {
                server.set_slowdown(service.time, factor);
            }
        }
    }
}

/// Stops the delivery of data on all open links to every second node.
async fn silent_links(cx: &mut ScenarioContext<'_>) {
    if let Some(fleet) = cx.fleet {
        for node in fleet.nodes.iter().step_by(2) {
            fleet.relay(&node.vm.name).silence_existing();
        }
    }
    cx.run_phase(PhaseKind::Trigger, TRIGGER_TIME, 1.0).await;
}

/// Withdraws the key of one workspace, and reverses the ranks of the classes and restores them.
async fn change(cx: &mut ScenarioContext<'_>) -> anyhow::Result<()> {
    let begun = Instant::now();
    let Some(fleet) = cx.fleet else {
        cx.run_phase(PhaseKind::Trigger, TRIGGER_TIME, 1.0).await;
        return Ok(());
    };
    let load = cx.load.run_phase(TRIGGER_TIME, |_| 1.0);
    let (_, withdrawn_at) = tokio::join!(load, operate(fleet, cx.deployment));
    cx.record_phase(PhaseKind::Trigger, begun);
    let withdrawn_at = withdrawn_at?;
    let name = cx.deployment.workspaces[WITHDRAWN_WORKSPACE].name;
    let runs = cx.backends.ledger.runs();
    let late = runs
        .iter()
        .filter(|run| run.workspace.as_deref() == Some(name));
    cx.late_runs = Some(late.filter(|run| run.began > withdrawn_at).count());
    Ok(())
}

/// Withdraws a key and commits configurations under load. Returns when the withdrawal took effect.
async fn operate(fleet: &Fleet, deployment: &Deployment) -> anyhow::Result<Instant> {
    operator::withdraw(fleet, &deployment.key(WITHDRAWN_WORKSPACE)).await?;
    let withdrawn_at = Instant::now();
    let usual = deployment.configuration();
    let mut swapped: serde_json::Value = serde_json::from_str(&usual)?;
    for (class, other) in deployment
        .classes
        .iter()
        .zip(deployment.classes.iter().rev())
    {
        swapped["classes"][class.name]["rank"] = other.rank.into();
    }
    let configurations = [swapped.to_string(), usual];
    for (number, configuration) in (FIRST_CHANGE..).zip(configurations) {
        let body = nutmegwheel_ctl::change::configure(&configuration);
        let version = operator::commit(fleet, number, &body).await?;
        operator::wait_until_applied(fleet, version).await?;
    }
    Ok(withdrawn_at)
}

/// Sends the crashing request to all ingress nodes in turn, whatever the responses are.
async fn send_crashing(node_addresses: &[NodeAddresses], path: &str, key: &str) {
    let caller = Caller::open();
    let key = format!("Bearer {key}");
    for node in node_addresses.iter().cycle() {
        let (caller, key, path) = (caller.clone(), key.clone(), path.to_owned());
        let ingress = node.callers;
        tokio::spawn(async move {
            let fields = [("authorization", key.as_str())];
            let sent = caller.call("POST", ingress, &path, &fields, CRASHING_BODY);
            let _ = sent.await;
        });
        tokio::time::sleep(CRASH_INTERVAL).await;
    }
}

async fn restart_crashed(backends: &mut BackendPool) -> anyhow::Result<()> {
    loop {
        tokio::time::sleep(RESTART_INTERVAL).await;
        backends.restart_crashed().await?;
    }
}
