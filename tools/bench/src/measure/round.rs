//! One run of a scenario on a newly started system.

use std::{path::Path, time::Instant};

use nutmegwheel_support::Fleet;

use super::{
    figures::{self, Figures},
    scenario::Scenario,
};
use crate::{
    backend_pool::BackendPool,
    deployment::Deployment,
    load::LoadGenerator,
    operator,
    system::{self, NodeAddresses, System, baseline::Baseline},
};

/// The purpose of a load phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PhaseKind {
    /// A period of adaptation that is excluded from the figures.
    WarmUp,
    /// Usual demand, without a fault or a surge.
    Steady,
    /// The reduced capacity of the trigger without its surge. Where a scenario has no such phase, the
    /// steady phase is the reference.
    Reference,
    /// A fault or a surge is active.
    Trigger,
    /// The trigger has ended.
    Recovery,
}

/// A completed phase. Records refer to it by its index.
pub(crate) struct Phase {
    pub(crate) kind: PhaseKind,
    pub(crate) begun: Instant,
    pub(crate) ended: Instant,
}

/// The system, load and results of one run.
pub(crate) struct ScenarioContext<'a> {
    pub(crate) deployment: &'a Deployment,
    pub(crate) node_addresses: Vec<NodeAddresses>,
    pub(crate) fleet: Option<&'a Fleet>,
    pub(crate) backends: BackendPool,
    pub(crate) load: LoadGenerator,
    pub(crate) phases: Vec<Phase>,
    /// The number of requests with a withdrawn key that began to run after the withdrawal had taken
    /// effect; `None` if the scenario withdraws no key.
    pub(crate) late_runs: Option<usize>,
}

/// A system under test.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SystemKind {
    /// A fleet of nutmegwheel processes.
    Ours,
    /// Plain forwarders; see [`Baseline`].
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
            Some(_) => anyhow::bail!("--system must be ours or baseline"),
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
            let figures = run_on(
                scenario,
                deployment,
                fleet.node_addresses(),
                Some(&fleet),
                seed,
            )
            .await?;
            if let Some(path) = events {
                std::fs::write(path, operator::events(&fleet).await)?;
            }
            Ok(figures)
        }
        SystemKind::Baseline => {
            let baseline = Baseline::start(deployment).await?;
            run_on(scenario, deployment, baseline.node_addresses(), None, seed).await
        }
    }
}

async fn run_on(
    scenario: Scenario,
    deployment: &Deployment,
    node_addresses: Vec<NodeAddresses>,
    fleet: Option<&Fleet>,
    seed: u64,
) -> anyhow::Result<Figures> {
    let backends = BackendPool::start(deployment, &node_addresses).await?;
    if let Some(fleet) = fleet {
        operator::wait_announced(fleet, backends.servers.len()).await?;
    }
    let ingress_nodes = node_addresses.iter().map(|node| node.callers).collect();
    let mut cx = ScenarioContext {
        deployment,
        node_addresses,
        fleet,
        backends,
        load: LoadGenerator::open(deployment, ingress_nodes, seed),
        phases: Vec::new(),
        late_runs: None,
    };
    scenario.run(&mut cx).await?;
    let records = cx.load.finish().await;
    let runs = cx.backends.ledger.runs();
    let measured = figures::analyze(scenario, deployment, &cx.phases, &records, &runs);
    Ok(Figures {
        late_runs: cx.late_runs,
        ..measured
    })
}
