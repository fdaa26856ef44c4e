//! What goes wrong, and when.

use std::time::{Duration, Instant};

use nutmegwheel_support::{Caller, Fault};

use super::round::{Kind, Phase, Scene};
use crate::{bed::Bed, deployment::Deployment, system::Place};

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
}

impl Scenario {
    const ALL: [Self; 4] = [
        Self::SlowDeep,
        Self::OneWorkspace,
        Self::ColdRestart,
        Self::Crash,
    ];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::SlowDeep => "slow-deep",
            Self::OneWorkspace => "one-workspace",
            Self::ColdRestart => "cold-restart",
            Self::Crash => "crash",
        }
    }

    /// Whether the capacity under the trigger is less than what is sent inside the rates.
    pub(crate) fn is_scarce(self) -> bool {
        self == Self::SlowDeep
    }

    /// The workspace that passes its rate under the trigger.
    pub(crate) fn over_rate(self) -> Option<usize> {
        (self == Self::OneWorkspace).then_some(0)
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
            Self::Crash => crash(scene).await?,
        }
        scene.phase(Kind::After, AFTER, 1.0).await;
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

async fn slow_deep(scene: &mut Scene<'_>) {
    let deepest = scene.deployment.deepest();
    scene.bed.slow(deepest, SLOW_DEEP);
    scene.phase(Kind::WarmUp, WARM_UP, 1.0).await;
    scene.phase(Kind::Reference, CALM, 1.0).await;
    scene.phase(Kind::Trigger, TRIGGER, SURGE).await;
    scene.bed.slow(deepest, 1.0);
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

async fn crash(scene: &mut Scene<'_>) -> anyhow::Result<()> {
    let front = scene.deployment.front().name;
    for server in scene.bed.of(front) {
        server.set_fault(Fault::DieOn(CRASHING_BODY.to_vec()));
    }
    let begun = Instant::now();
    let key = scene.deployment.key(scene.deployment.workspaces.len() - 1);
    let path = format!("/{front}/{}", scene.deployment.classes[0].name);
    tokio::select! {
        _ = scene.load.phase(TRIGGER, |_| 1.0) => {}
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
