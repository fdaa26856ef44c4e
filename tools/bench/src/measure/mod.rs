//! The measurements: scenarios, added latency, and resource use by fleet size.

pub(crate) mod added;
mod figures;
pub(crate) mod readers;
mod report;
mod round;
mod scenario;
pub(crate) mod slopes;

use std::path::{Path, PathBuf};

use anyhow::Context as _;

use crate::{
    deployment::{self, Deployment},
    flags::Scenarios,
};
use figures::Figures;
use round::SystemKind;
use scenario::Scenario;

/// The default number of runs of each scenario.
const DEFAULT_ROUNDS: u64 = 3;
/// The default first seed.
const DEFAULT_SEED: u64 = 1;

/// The selected scenarios, deployments and systems.
struct Options {
    scenarios: Vec<Scenario>,
    deployments: Vec<fn() -> Deployment>,
    systems: Vec<SystemKind>,
    rounds: u64,
    seed: u64,
    events: Option<PathBuf>,
}

/// One run with its figures.
pub(crate) struct Run {
    pub(crate) scenario: Scenario,
    pub(crate) deployment: &'static str,
    pub(crate) system: SystemKind,
    pub(crate) seed: u64,
    pub(crate) figures: Figures,
}

impl Options {
    fn read(flags: &Scenarios) -> anyhow::Result<Self> {
        let deployments = [
            ("skaititajs", deployment::skaititajs as fn() -> Deployment),
            ("kawayan", deployment::kawayan),
        ];
        let is_selected = |name: &str| flags.deployment.as_deref().is_none_or(|only| only == name);
        let deployments: Vec<_> = deployments
            .into_iter()
            .filter(|(name, _)| is_selected(name))
            .map(|(_, open)| open)
            .collect();
        anyhow::ensure!(
            !deployments.is_empty(),
            "--deployment must be skaititajs or kawayan"
        );
        Ok(Self {
            scenarios: Scenario::read(flags.only.as_deref())?,
            deployments,
            systems: SystemKind::read(flags.system.as_deref())?,
            rounds: flags.rounds.unwrap_or(DEFAULT_ROUNDS),
            seed: flags.seed.unwrap_or(DEFAULT_SEED),
            events: flags.events.clone(),
        })
    }
}

/// Runs the selected scenarios and prints their figures.
pub(crate) async fn scenarios(flags: &Scenarios) -> anyhow::Result<()> {
    let opts = Options::read(flags)?;
    if let Some(folder) = &opts.events {
        std::fs::create_dir_all(folder)?;
    }
    for scenario in &opts.scenarios {
        for open in &opts.deployments {
            let deployment = scenario.adapt(open());
            let runs = rounds(&opts, *scenario, &deployment).await?;
            if flags.json {
                for run in &runs {
                    println!("{}", report::json(run));
                }
            } else {
                report::print(*scenario, &deployment, &runs);
            }
        }
    }
    Ok(())
}

async fn rounds(
    opts: &Options,
    scenario: Scenario,
    deployment: &Deployment,
) -> anyhow::Result<Vec<Run>> {
    let mut runs = Vec::new();
    for seed in opts.seed..opts.seed + opts.rounds {
        let systems = opts.systems.iter();
        for system in systems.filter(|system| scenario.runs_on(**system)) {
            let events = opts.events.as_deref();
            let events = events.map(|folder| events_path(folder, scenario, deployment, seed));
            let figures = round::run(scenario, deployment, *system, seed, events.as_deref())
                .await
                .with_context(|| format!("{} on {}", scenario.name(), deployment.name))?;
            eprintln!(
                "{} {} {} seed {seed}: done",
                scenario.name(),
                deployment.name,
                system.name()
            );
            runs.push(Run {
                scenario,
                deployment: deployment.name,
                system: *system,
                seed,
                figures,
            });
        }
    }
    Ok(runs)
}

fn events_path(folder: &Path, scenario: Scenario, deployment: &Deployment, seed: u64) -> PathBuf {
    let name = format!("{}-{}-{seed}.jsonl", scenario.name(), deployment.name);
    folder.join(name)
}
