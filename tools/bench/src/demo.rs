//! The demo: a request, an overload and the withdrawal of a key on a local fleet.

use std::time::Duration;

use nutmegwheel_support::{Answer, Fleet};

use crate::{
    backend_pool::BackendPool,
    deployment::{self, Deployment},
    load::{LoadGenerator, Record},
    operator, score,
    system::{self, System as _},
};

/// The seed of the load generator.
const SEED: u64 = 1;
/// The length of each load phase before the recovery.
const PHASE_TIME: Duration = Duration::from_millis(2500);
/// The length of the phase after the surge: the 5 s within which the system must recover, and the
/// windows that detect the recovery.
const RECOVERY_TIME: Duration = Duration::from_secs(6);
/// The load of a workspace in a surge, as a multiple of its usual demand.
const SURGE_FACTOR: f64 = 4.0;

/// Runs the demo. Fails if an answer or the recovery differs from what is expected.
pub(crate) async fn run() -> anyhow::Result<()> {
    let deployment = deployment::demo();
    let fleet = system::start_fleet(&deployment, false).await?;
    let backends = BackendPool::start(&deployment, &fleet.node_addresses()).await?;
    operator::wait_announced(&fleet, backends.servers.len()).await?;
    println!(
        "fleet     {} nodes in {} data centres, {} control VMs, {} backend servers",
        fleet.nodes.len(),
        deployment.data_centres.len(),
        fleet.control.len(),
        backends.servers.len(),
    );
    show_request(&fleet, &backends, &deployment).await?;
    show_overload(&fleet, &backends, &deployment).await?;
    show_withdrawal(&fleet, &deployment).await?;
    println!("\nall checks passed");
    Ok(())
}

async fn call(fleet: &Fleet, deployment: &Deployment) -> anyhow::Result<Answer> {
    let key = format!("Bearer {}", deployment.key(0));
    let path = format!(
        "/{}/{}",
        deployment.front().name,
        deployment.classes[0].name
    );
    let ingress = fleet.nodes[0].vm.callers;
    let fields = [("authorization", key.as_str())];
    fleet
        .caller
        .call("POST", ingress, &path, &fields, "42")
        .await
}

async fn show_request(
    fleet: &Fleet,
    backends: &BackendPool,
    deployment: &Deployment,
) -> anyhow::Result<()> {
    let answer = call(fleet, deployment).await?;
    anyhow::ensure!(answer.status == 200, "{} {}", answer.status, answer.text());
    let root = answer
        .fields
        .get("nutmegwheel-request")
        .cloned()
        .unwrap_or_default();
    println!(
        "\nrequest   {root} through ingress node {}",
        fleet.nodes[0].vm.name
    );
    for run in backends.ledger.runs().iter().filter(|run| run.root == root) {
        let workspace = run.workspace.as_deref().unwrap_or("-");
        println!(
            "          ran {} on {} for {workspace}",
            run.path, run.backend
        );
    }
    let deepest = deployment.deepest().name;
    anyhow::ensure!(
        answer.json()["below"]["service"] == deepest,
        "{}",
        answer.text()
    );
    Ok(())
}

async fn show_overload(
    fleet: &Fleet,
    backends: &BackendPool,
    deployment: &Deployment,
) -> anyhow::Result<()> {
    let ingress_nodes = fleet
        .node_addresses()
        .iter()
        .map(|node| node.callers)
        .collect();
    let mut load = LoadGenerator::open(deployment, ingress_nodes, SEED);
    let vidzeme_only = |workspace| if workspace == 0 { SURGE_FACTOR } else { 1.0 };
    load.run_phase(PHASE_TIME, |_| 1.0).await;
    load.run_phase(PHASE_TIME, vidzeme_only).await;
    load.run_phase(PHASE_TIME, |_| SURGE_FACTOR).await;
    let trigger_end = std::time::Instant::now();
    load.run_phase(RECOVERY_TIME, |_| 1.0).await;
    let end = std::time::Instant::now();
    let records = load.finish().await;
    print_phases(deployment, &records);
    let recovery = score::recovery(&records, trigger_end, end);
    anyhow::ensure!(
        recovery.is_some(),
        "no recovery within {RECOVERY_TIME:?} after the surge"
    );
    let runs = backends.ledger.runs();
    println!(
        "          recovered {:.2} s after the surge; at most {} retries of a call; {:.1} % of the work wasted",
        recovery.unwrap_or_default().as_secs_f64(),
        score::max_retries(&runs),
        100.0 * score::wasted_fraction(&runs, &records),
    );
    Ok(())
}

fn print_phases(deployment: &Deployment, records: &[Record]) {
    println!("\noverload  in time, of whole requests with up to 3 resends (seed {SEED})");
    print!("          {:24}{:>9}", "", "sent/s");
    for class in &deployment.classes {
        print!("{:>9}", class.name);
    }
    for workspace in &deployment.workspaces {
        print!("{:>9}", workspace.name);
    }
    println!();
    let names = [
        "usual demand",
        "vidzeme sends 4 times",
        "both send 4 times",
        "usual demand again",
    ];
    for (phase, name) in names.iter().enumerate() {
        let of_phase: Vec<&Record> = records.iter().filter(|r| r.phase == phase).collect();
        #[allow(clippy::cast_precision_loss)]
        let rate = of_phase.len() as f64 / PHASE_TIME.as_secs_f64();
        print!("          {name:24}{rate:>9.0}");
        for class in 0..deployment.classes.len() {
            let fraction =
                score::fraction_in_time(of_phase.iter().copied().filter(|r| r.class == class));
            print!("{:>8.1}%", 100.0 * fraction);
        }
        for workspace in 0..deployment.workspaces.len() {
            let of_workspace = of_phase
                .iter()
                .copied()
                .filter(|r| r.workspace == workspace);
            print!("{:>8.1}%", 100.0 * score::fraction_in_time(of_workspace));
        }
        println!();
    }
}

async fn show_withdrawal(fleet: &Fleet, deployment: &Deployment) -> anyhow::Result<()> {
    let elapsed = operator::withdraw(fleet, &deployment.key(0)).await?;
    println!(
        "\nkey       of vidzeme withdrawn; in force everywhere after {:.2} s",
        elapsed.as_secs_f64()
    );
    let answer = call(fleet, deployment).await?;
    println!(
        "          its next request: {} {}",
        answer.status,
        answer.reason()
    );
    anyhow::ensure!(
        answer.status == 401,
        "a request with a withdrawn key was accepted"
    );
    Ok(())
}
