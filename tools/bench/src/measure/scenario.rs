//! What goes wrong, and when.

use std::time::{Duration, Instant};

use nutmegwheel_support::{Caller, Fault, Fleet};

use super::round::{Kind, Phase, Scene, SystemKind};
use crate::{bed::Bed, deployment::Deployment, operator, system::Place};

/// The time in which connections are opened and first decisions made; it is not judged.
const WARM_UP: Duration = Duration::from_secs(3);
/// The time with nothing wrong.
const CALM: Duration = Duration::from_secs(4);
/// The time with something wrong.
const TRIGGER: Duration = Duration::from_secs(8);
/// The time in which the system must recover.
const AFTER: Duration = Duration::from_secs(8);
/// How much slower the deepest service becomes.
const SLOW_DEEP: f64 = 4.0;
/// How many times its demand is sent when all surge.
const SURGE: f64 = 3.0;
/// How many times its demand the one workspace sends.
const ONE_WORKSPACE: f64 = 5.0;
/// The rates over the demand where one workspace passes its rate.
const CLOSE_RATE: f64 = 1.4;
/// How much slower all services are where capacity must be scarce without a fault.
const SCARCE: u32 = 2;
/// How much slower a cold backend server is.
const COLD: f64 = 5.0;
/// The time for which a backend server is cold.
const COLD_TIME: Duration = Duration::from_secs(3);
/// The body that brings a backend server down.
const CRASHING_BODY: &[u8] = b"crash";
/// The time between two sendings of the crashing request.
const CRASH_PAUSE: Duration = Duration::from_millis(100);
/// The time in which the platform starts a dead backend server again.
const REPLACE_TIME: Duration = Duration::from_secs(1);

/// The workspace whose key is withdrawn.
const WITHDRAWN: usize = 7;
/// The first number of the changes under load.
const FIRST_CHANGE: u64 = 100;
/// How much slower a backend server is that answers no more.
const ENDLESS: f64 = 1e6;

/// The scenarios, in the order of issue 5.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Scenario {
    /// A deep service slows while demand surges and clients retry hard.
    SlowDeep,
    /// One workspace sends five times its demand and so passes its rate.
    OneWorkspace,
    /// Half of the front service's backend servers restart cold.
    ColdRestart,
    /// A request that crashes backend servers is sent again and again.
    Crash,
    /// The processes of a data centre stand still and go on later.
    Freeze,
    /// The links between processes go silent for good while new ones work.
    Silent,
    /// A key is withdrawn and targets are changed under load.
    Change,
    /// The first scenario and the crashing request together.
    Two,
}

impl Scenario {
    const ALL: [Self; 8] = [
        Self::SlowDeep,
        Self::OneWorkspace,
        Self::ColdRestart,
        Self::Crash,
        Self::Freeze,
        Self::Silent,
        Self::Change,
        Self::Two,
    ];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::SlowDeep => "slow-deep",
            Self::OneWorkspace => "one-workspace",
            Self::ColdRestart => "cold-restart",
            Self::Crash => "crash",
            Self::Freeze => "freeze",
            Self::Silent => "silent-links",
            Self::Change => "change",
            Self::Two => "slow-deep-and-crash",
        }
    }

    /// Whether the capacity under the trigger is less than what is sent inside the rates.
    pub(crate) fn is_scarce(self) -> bool {
        matches!(self, Self::SlowDeep | Self::Two)
    }

    /// Whether the links of the fleet go through relays.
    pub(crate) fn is_relayed(self) -> bool {
        self == Self::Silent
    }

    /// Whether the scenario means something for a system; the baseline has no links, and no keys
    /// or targets to change.
    pub(crate) fn runs_on(self, system: SystemKind) -> bool {
        system == SystemKind::Ours || !matches!(self, Self::Silent | Self::Change)
    }

    /// The workspace that is due nothing, for it passes its rate or its key is withdrawn.
    pub(crate) fn not_due(self) -> Option<usize> {
        match self {
            Self::OneWorkspace => Some(0),
            Self::Change => Some(WITHDRAWN),
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
                found.ok_or_else(|| anyhow::anyhow!("--only: no scenario {name:?}"))
            })
            .collect()
    }

    /// Changes a deployment so that the scenario shows what it is for.
    pub(crate) fn adapt(self, mut deployment: Deployment) -> Deployment {
        if self == Self::OneWorkspace {
            deployment.rate_over_demand = CLOSE_RATE;
            for service in &mut deployment.services {
                service.time *= SCARCE;
            }
        }
        deployment
    }

    /// Plays the scenario from warm-up to recovery.
    pub(crate) async fn play(self, scene: &mut Scene<'_>) -> anyhow::Result<()> {
        scene.phase(Kind::WarmUp, WARM_UP, 1.0).await;
        scene.phase(Kind::Calm, CALM, 1.0).await;
        match self {
            Self::SlowDeep => slow_deep(scene).await,
            Self::OneWorkspace => one_workspace(scene).await,
            Self::ColdRestart => cold_restart(scene).await?,
            Self::Crash => crash(scene, 1.0).await?,
            Self::Freeze => freeze(scene).await,
            Self::Silent => silent(scene).await,
            Self::Change => change(scene).await?,
            Self::Two => two(scene).await?,
        }
        let begun = Instant::now();
        let is_withdrawn = |workspace| self == Self::Change && workspace == WITHDRAWN;
        let factor = |workspace| if is_withdrawn(workspace) { 0.0 } else { 1.0 };
        scene.load.phase(AFTER, factor).await;
        scene.note(Kind::After, begun);
        Ok(())
    }
}

impl Scene<'_> {
    async fn phase(&mut self, kind: Kind, time: Duration, factor: f64) {
        let begun = Instant::now();
        self.load.phase(time, |_| factor).await;
        self.note(kind, begun);
    }

    fn note(&mut self, kind: Kind, begun: Instant) {
        let ended = Instant::now();
        self.phases.push(Phase { kind, begun, ended });
    }
}

async fn slow_down(scene: &mut Scene<'_>) {
    scene.bed.slow(scene.deployment.deepest(), SLOW_DEEP);
    scene.phase(Kind::WarmUp, WARM_UP, 1.0).await;
    scene.phase(Kind::Reference, CALM, 1.0).await;
}

async fn slow_deep(scene: &mut Scene<'_>) {
    slow_down(scene).await;
    scene.phase(Kind::Trigger, TRIGGER, SURGE).await;
    scene.bed.slow(scene.deployment.deepest(), 1.0);
}

async fn two(scene: &mut Scene<'_>) -> anyhow::Result<()> {
    slow_down(scene).await;
    crash(scene, SURGE).await?;
    scene.bed.slow(scene.deployment.deepest(), 1.0);
    Ok(())
}

async fn one_workspace(scene: &mut Scene<'_>) {
    let begun = Instant::now();
    let factor = |workspace| if workspace == 0 { ONE_WORKSPACE } else { 1.0 };
    scene.load.phase(TRIGGER, factor).await;
    scene.note(Kind::Trigger, begun);
}

async fn cold_restart(scene: &mut Scene<'_>) -> anyhow::Result<()> {
    let begun = Instant::now();
    let front = scene.deployment.front();
    let count = scene.bed.of(front.name).count();
    let ledger = scene.bed.ledger.clone();
    for server in scene.bed.of(front.name).take(count.div_ceil(2)) {
        server.restart(&ledger).await?;
        server.slow(front.time, COLD);
    }
    scene.load.phase(COLD_TIME, |_| 1.0).await;
    scene.note(Kind::Trigger, begun);
    scene.bed.slow(front, 1.0);
    Ok(())
}

async fn crash(scene: &mut Scene<'_>, factor: f64) -> anyhow::Result<()> {
    let front = scene.deployment.front().name;
    for server in scene.bed.of(front) {
        server.set_fault(Fault::DieOn(CRASHING_BODY.to_vec()));
    }
    let begun = Instant::now();
    let key = scene.deployment.key(scene.deployment.workspaces.len() - 1);
    let path = format!("/{front}/{}", scene.deployment.classes[0].name);
    tokio::select! {
        _ = scene.load.phase(TRIGGER, |_| factor) => {}
        () = send_crashing(&scene.places, &path, &key) => {}
        replaced = replace_dead(&mut scene.bed) => replaced?,
    }
    scene.note(Kind::Trigger, begun);
    for server in scene.bed.of(front) {
        server.set_fault(Fault::None);
    }
    scene.bed.replace_dead().await?;
    Ok(())
}

/// Stops every process of the first data centre, or, in the baseline, makes its backend servers
/// answer no more; callers ask the doors elsewhere in the meantime.
async fn freeze(scene: &mut Scene<'_>) {
    let frozen = scene.deployment.data_centres[0];
    let elsewhere = scene.places.iter().filter(|p| !is_in(&p.name, frozen));
    let elsewhere = elsewhere.map(|place| place.callers).collect();
    let everywhere = scene.places.iter().map(|place| place.callers).collect();
    scene.load.set_doors(elsewhere);
    scene.set_frozen(frozen, true);
    scene.phase(Kind::Trigger, TRIGGER, 1.0).await;
    scene.set_frozen(frozen, false);
    scene.load.set_doors(everywhere);
}

/// Whether a node is in a data centre, by the names that a fleet gives.
fn is_in(node: &str, data_centre: &str) -> bool {
    node.rsplit_once('-')
        .is_some_and(|(name, _)| name == data_centre)
}

impl Scene<'_> {
    fn set_frozen(&self, data_centre: &str, is_frozen: bool) {
        if let Some(fleet) = self.fleet {
            let processes = fleet.control.iter().chain(&fleet.nodes);
            for process in processes.filter(|p| p.vm.data_centre == data_centre) {
                process.signal(if is_frozen { "STOP" } else { "CONT" });
            }
            return;
        }
        for service in &self.deployment.services {
            let factor = if is_frozen { ENDLESS } else { 1.0 };
            let servers = self.bed.servers.iter();
            let servers = servers.filter(|server| server.service == service.name);
            for server in servers.filter(|server| is_in(&server.node, data_centre)) {
                server.slow(service.time, factor);
            }
        }
    }
}

/// Makes every open link to every second node silent for good.
async fn silent(scene: &mut Scene<'_>) {
    if let Some(fleet) = scene.fleet {
        for node in fleet.nodes.iter().step_by(2) {
            fleet.relay(&node.vm.name).silence_existing();
        }
    }
    scene.phase(Kind::Trigger, TRIGGER, 1.0).await;
}

/// Withdraws the key of one workspace and swaps the ranks of two classes, back and forth.
async fn change(scene: &mut Scene<'_>) -> anyhow::Result<()> {
    let begun = Instant::now();
    let Some(fleet) = scene.fleet else {
        scene.phase(Kind::Trigger, TRIGGER, 1.0).await;
        return Ok(());
    };
    let load = scene.load.phase(TRIGGER, |_| 1.0);
    let (_, in_force) = tokio::join!(load, operate(fleet, scene.deployment));
    scene.note(Kind::Trigger, begun);
    let in_force = in_force?;
    let name = scene.deployment.workspaces[WITHDRAWN].name;
    let runs = scene.bed.ledger.runs();
    let late = runs
        .iter()
        .filter(|run| run.workspace.as_deref() == Some(name));
    scene.late_runs = Some(late.filter(|run| run.began > in_force).count());
    Ok(())
}

/// Does what an operator does under load, and tells when the withdrawal was in force.
async fn operate(fleet: &Fleet, deployment: &Deployment) -> anyhow::Result<Instant> {
    operator::withdraw(fleet, &deployment.key(WITHDRAWN)).await?;
    let in_force = Instant::now();
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
        operator::in_force(fleet, version).await?;
    }
    Ok(in_force)
}

/// Sends the crashing request to all doors in turn, whatever it is told.
async fn send_crashing(places: &[Place], path: &str, key: &str) {
    let caller = Caller::open();
    let key = format!("Bearer {key}");
    for place in places.iter().cycle() {
        let (caller, key, path) = (caller.clone(), key.clone(), path.to_owned());
        let door = place.callers;
        tokio::spawn(async move {
            let fields = [("authorization", key.as_str())];
            let sent = caller.call("POST", door, &path, &fields, CRASHING_BODY);
            let _ = sent.await;
        });
        tokio::time::sleep(CRASH_PAUSE).await;
    }
}

async fn replace_dead(bed: &mut Bed) -> anyhow::Result<()> {
    loop {
        tokio::time::sleep(REPLACE_TIME).await;
        bed.replace_dead().await?;
    }
}
