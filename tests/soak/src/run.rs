//! One run: a fleet, a plan, traffic, and the judgement.

use std::{
    path::PathBuf,
    time::{Duration, Instant},
};

use crate::{
    bed::{self, Bed},
    judge::{Evidence, Result, judge},
    operators::{self, Operators},
    plan::{Plan, Shape},
    play,
    traffic::Traffic,
};

/// The time after the last fault in which every door must serve again, see docs/DESIGN.md: the
/// longest is a steward's that follows another.
const RECOVERY: Duration = Duration::from_secs(20);

/// What to run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program under test.
    pub program: PathBuf,
    /// The fleet.
    pub shape: Shape,
    /// What the faults and the traffic are drawn from.
    pub seed: u64,
    /// How long faults and traffic go on.
    pub time: Duration,
}

/// What came of a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// A line for each broken promise.
    pub findings: Vec<String>,
    /// The faults that were played.
    pub plan: Plan,
    /// The sends of callers.
    pub sent: usize,
    /// Those that were served.
    pub served: usize,
    /// The changes that were committed and the reads that were answered.
    pub operations: usize,
    /// The logs of all processes, by name.
    pub logs: Vec<(String, String)>,
}

/// Plays the faults of a seed and judges what was seen.
///
/// # Errors
///
/// The fleet does not start, or a process that was asked to stop does not.
pub async fn run(opts: &Options) -> anyhow::Result<Outcome> {
    let plan = Plan::draw(opts.seed, &opts.shape, opts.time);
    let mut bed = Bed::start(opts.program.clone(), &opts.shape).await?;
    let (nodes, control) = (bed.nodes.clone(), bed.control.clone());
    let (traffic, operators) = (Traffic::default(), Operators::default());
    let start = Instant::now();
    let end = start + opts.time;
    let (disturbed, (), ()) = tokio::join!(
        play::play(&mut bed, &plan, start),
        traffic.run(opts.seed, &nodes, end),
        operators.run(&control, end),
    );
    let mut evidence = Evidence {
        sent: traffic.sent(),
        records: operators.records(),
        withdrawn: operators.withdrawn(),
        disturbed: disturbed?,
        ..Evidence::default()
    };
    let mut findings = recovered(&bed, &evidence).await;
    evidence.runs = bed.ledger.runs();
    findings.extend(judge(&evidence));
    let is_served = |result: &Result| matches!(result, Result::Served { .. });
    let all = nodes.iter().chain(&control);
    Ok(Outcome {
        findings,
        plan,
        sent: evidence.sent.len(),
        served: evidence
            .sent
            .iter()
            .filter(|sent| is_served(&sent.result))
            .count(),
        operations: evidence.records.len(),
        logs: all
            .map(|vm| (vm.name.clone(), bed.fleet.log(&vm.name)))
            .collect(),
    })
}

/// Whether all doors serve again, and every control VM shows the last change.
async fn recovered(bed: &Bed, evidence: &Evidence) -> Vec<String> {
    let mut findings = Vec::new();
    for node in &bed.nodes {
        if !bed::serves(&bed.fleet.caller, node, RECOVERY).await {
            findings.push(format!(
                "{} does not serve {RECOVERY:?} after the last fault",
                node.name
            ));
        }
    }
    let newest = evidence.newest();
    for vm in &bed.control {
        let end = Instant::now() + RECOVERY;
        let mut shown = None;
        while Instant::now() < end && shown < newest {
            shown = operators::last_change(&bed.fleet.caller, vm).await;
        }
        if shown < newest {
            findings.push(format!("{} shows change {shown:?} of {newest:?}", vm.name));
        }
    }
    findings
}
