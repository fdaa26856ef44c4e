//! One run: a fleet, a plan, traffic, and the judgement.

use std::{
    path::PathBuf,
    time::{Duration, Instant},
};

use crate::{
    environment::{self, Environment},
    injector,
    judge::{Evidence, SendResult, judge},
    operators::{self, Operators},
    plan::{FleetShape, Plan},
    traffic::Traffic,
};

/// The time after the last fault in which every door must serve again, see docs/DESIGN.md: the
/// longest is a steward's that follows another.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(20);

/// What to run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program under test.
    pub program: PathBuf,
    /// The fleet.
    pub shape: FleetShape,
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
    let mut env = Environment::start(opts.program.clone(), &opts.shape).await?;
    let (nodes, control) = (env.nodes.clone(), env.control.clone());
    let (traffic, operators) = (Traffic::default(), Operators::default());
    let start = Instant::now();
    let end = start + opts.time;
    let (fault_windows, (), ()) = tokio::join!(
        injector::inject_faults(&mut env, &plan, start),
        traffic.run(opts.seed, &nodes, end),
        operators.run(&control, end),
    );
    let mut evidence = Evidence {
        sent: traffic.sent(),
        records: operators.records(),
        withdrawn: operators.withdrawn(),
        fault_windows: fault_windows?,
        ..Evidence::default()
    };
    let mut findings = find_unrecovered(&env, &evidence).await;
    evidence.runs = env.ledger.runs();
    findings.extend(judge(&evidence));
    let is_served = |result: &SendResult| matches!(result, SendResult::Served { .. });
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
            .map(|vm| (vm.name.clone(), env.fleet.log(&vm.name)))
            .collect(),
    })
}

/// Whether all doors serve again, and every control VM shows the last change.
async fn find_unrecovered(env: &Environment, evidence: &Evidence) -> Vec<String> {
    let mut findings = Vec::new();
    for node in &env.nodes {
        if !environment::serves(&env.fleet.caller, node, RECOVERY_TIMEOUT).await {
            findings.push(format!(
                "{} does not serve {RECOVERY_TIMEOUT:?} after the last fault",
                node.name
            ));
        }
    }
    let newest = evidence.newest();
    for vm in &env.control {
        let end = Instant::now() + RECOVERY_TIMEOUT;
        let mut shown = None;
        while Instant::now() < end && shown < newest {
            shown = operators::last_change(&env.fleet.caller, vm).await;
        }
        if shown < newest {
            findings.push(format!("{} shows change {shown:?} of {newest:?}", vm.name));
        }
    }
    findings
}
