//! One run of a scenario on a fresh system.

use std::{path::Path, time::Instant};

use nutmegwheel_support::Fleet;

use super::{
    figures::{self, Figures},
    scenario::Scenario,
};
use crate::{
    bed::Bed,
    deployment::Deployment,
    load::Load,
    operator,
    system::{self, Place, System, baseline::Baseline},
};

/// What a phase of the load is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// Not judged.
    WarmUp,
    /// Nothing is wrong.
    Calm,
    /// The capacity of the trigger without its surge; the calm phase where there is none.
    Reference,
    /// Something is wrong.
    Trigger,
    /// The trigger has ended.
    After,
}

/// A phase that was run; its records carry its place.
pub(crate) struct Phase {
    pub(crate) kind: Kind,
    pub(crate) begun: Instant,
    pub(crate) ended: Instant,
}

/// What a scenario works on.
pub(crate) struct Scene<'a> {
    pub(crate) deployment: &'a Deployment,
    pub(crate) places: Vec<Place>,
    pub(crate) fleet: Option<&'a Fleet>,
    pub(crate) bed: Bed,
    pub(crate) load: Load,
    pub(crate) phases: Vec<Phase>,
    /// The runs of a withdrawn key that began after the withdrawal was in force.
    pub(crate) late_runs: Option<usize>,
}

/// The two systems that are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SystemKind {
    /// Our processes.
    Ours,
    /// Plain forwarders.
    Baseline,
}

impl SystemKind {
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Ours => "ours",
            Self::Baseline => "baseline",
        }
    }

    pub(crate) fn read(only: Option<&str>) -> anyhow::Result<Vec<Self>> {
        match only {
            None => Ok(vec![Self::Ours, Self::Baseline]),
            Some("ours") => Ok(vec![Self::Ours]),
            Some("baseline") => Ok(vec![Self::Baseline]),
            Some(_) => anyhow::bail!("--system: ours or baseline"),
        }
    }
}

/// Runs a scenario once.
pub(crate) async fn run(
    scenario: Scenario,
    deployment: &Deployment,
    system: SystemKind,
    seed: u64,
    events: Option<&Path>,
) -> anyhow::Result<Figures> {
    match system {
        SystemKind::Ours => {
            let fleet = system::start_fleet(deployment, scenario.is_relayed()).await?;
            let figures = play(scenario, deployment, fleet.places(), Some(&fleet), seed).await?;
            if let Some(path) = events {
                std::fs::write(path, operator::events(&fleet).await)?;
            }
            Ok(figures)
        }
        SystemKind::Baseline => {
            let baseline = Baseline::start(deployment).await?;
            play(scenario, deployment, baseline.places(), None, seed).await
        }
    }
}

async fn play(
    scenario: Scenario,
    deployment: &Deployment,
    places: Vec<Place>,
    fleet: Option<&Fleet>,
    seed: u64,
) -> anyhow::Result<Figures> {
    let bed = Bed::start(deployment, &places).await?;
    if let Some(fleet) = fleet {
        operator::announced(fleet, bed.servers.len()).await?;
    }
    let doors = places.iter().map(|place| place.callers).collect();
    let mut scene = Scene {
        deployment,
        places,
        fleet,
        bed,
        load: Load::open(deployment, doors, seed),
        phases: Vec::new(),
        late_runs: None,
    };
    scenario.play(&mut scene).await?;
    let records = scene.load.finish().await;
    let runs = scene.bed.ledger.runs();
    let judged = figures::judge(scenario, deployment, &scene.phases, &records, &runs);
    Ok(Figures {
        late_runs: scene.late_runs,
        ..judged
    })
}
