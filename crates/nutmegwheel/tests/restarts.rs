//! What was withdrawn or has left stays so when processes restart.

#[path = "../../../platform/tests/stand_in/mod.rs"]
mod stand_in;

use std::time::{Duration, Instant};

use serde_json::json;
use stand_in::{Fleet, KEY, document};

const PROGRAM: &str = env!("CARGO_BIN_EXE_nutmegwheel");
const SERVERS: &[(&str, &str)] = &[("riga1", "portal"), ("riga2", "portal"), ("riga3", "desk")];
/// The node that the callers use.
const INGRESS: usize = 2;
/// The users' bound: nothing new reaches a backend server later than this after it was acknowledged
/// that it leaves.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);
/// How long requests are sent while processes restart.
const OBSERVATION_TIME: Duration = Duration::from_secs(6);
const PAUSE: Duration = Duration::from_millis(20);

async fn start() -> Fleet {
    Fleet::serving(PROGRAM, SERVERS).await
}

async fn call(fleet: &Fleet, path: &str) -> u16 {
    let (node, key) = (&fleet.nodes[INGRESS], [("authorization", KEY)]);
    let answer = fleet.call_at(node, "GET", "portal.example", path, &key);
    answer.await.status
}

/// Kills processes one after the other and starts each again.
async fn restart(fleet: &mut Fleet, names: &[String]) {
    for name in names {
        let all = fleet.control.iter().chain(&fleet.nodes);
        let vm = all.clone().find(|vm| vm.name == *name);
        let vm = vm.expect("a VM of the fleet").clone();
        fleet.kill(name);
        fleet.launch(&vm, false);
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
}

/// The names of all processes, control VMs first.
fn all_processes(fleet: &Fleet) -> Vec<String> {
    let vms = fleet.control.iter().chain(&fleet.nodes);
    vms.map(|vm| vm.name.clone()).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn backend_server_that_leaves_is_not_used_after_restarts() {
    let mut fleet = start().await;
    fleet.servers[0].drain().await;
    let acknowledged_at = Instant::now();
    let names = all_processes(&fleet);
    restart(&mut fleet, &names).await;
    while acknowledged_at.elapsed() < DRAIN_LIMIT + OBSERVATION_TIME {
        call(&fleet, "/safe/later").await;
        tokio::time::sleep(PAUSE).await;
    }
    let leaving = &fleet.servers[0].id;
    let runs = fleet.runs_of("/safe/later");
    assert!(
        runs.iter().any(|run| run.server != *leaving),
        "served again"
    );
    let late = runs.iter().filter(|run| {
        run.server == *leaving && run.at.duration_since(acknowledged_at) > DRAIN_LIMIT
    });
    assert_eq!(late.count(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn withdrawn_key_is_not_used_after_restarts() {
    let mut fleet = start().await;
    let mut other = document();
    other["tenants"][0]["api_keys"] = json!(["another-key-of-vidzeme-1"]);
    assert_eq!(fleet.publish(2, 1, &other).await, 200);
    assert_eq!(call(&fleet, "/safe/withdrawn").await, 401);
    let names = all_processes(&fleet);
    restart(&mut fleet, &names).await;
    let started_at = Instant::now();
    let mut statuses = Vec::new();
    while started_at.elapsed() < OBSERVATION_TIME {
        statuses.push(call(&fleet, "/safe/withdrawn").await);
        tokio::time::sleep(PAUSE).await;
    }
    assert!(
        statuses.contains(&401),
        "the node has a configuration again"
    );
    assert!(!statuses.contains(&200), "{statuses:?}");
    assert!(fleet.runs_of("/safe/withdrawn").is_empty());
}
