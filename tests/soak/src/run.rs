//! One run: starts a fleet, injects faults under traffic, and checks the guarantees.

use std::{
    path::PathBuf,
    time::{Duration, Instant},
};

use crate::{
    checker::{Evidence, SendResult, check},
    environment::{self, Environment},
    injector,
    operators::{self, Operators},
    plan::{FleetShape, Plan},
    traffic::Traffic,
};

/// The time after the last fault within which every ingress node must serve again; see
/// docs/DESIGN.md. The longest recovery is the election of a new token server.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(20);

/// The options of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program under test.
    pub program: PathBuf,
    /// The data centres, nodes and control VMs of the fleet.
    pub shape: FleetShape,
    /// The seed of the faults and the traffic.
    pub seed: u64,
    /// The duration of faults and traffic.
    pub time: Duration,
}

/// The outcome of a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// A line for each violation of a guarantee.
    pub findings: Vec<String>,
    /// The faults that were injected, drawn from the seed.
    pub plan: Plan,
    /// How often callers sent requests, resends included.
    pub sent: usize,
    /// The number of sends that a backend server answered.
    pub served: usize,
    /// The number of committed changes and completed reads of operators.
    pub operations: usize,
    /// The logs of all processes, by name.
    pub logs: Vec<(String, String)>,
}

/// Injects the faults drawn from a seed and checks what was observed.
///
/// # Errors
///
/// Returns an error if the fleet does not start, or if a process does not stop when asked to.
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
    findings.extend(check(&evidence));
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

/// Returns a finding for each ingress node that does not serve again, and for each control VM that
/// does not report the newest change.
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
