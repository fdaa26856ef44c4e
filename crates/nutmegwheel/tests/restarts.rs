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
/// How late a heartbeat arrives.
const HEARTBEAT_DELAY: Duration = Duration::from_millis(2500);
/// How long requests are sent after a late heartbeat, which would be valid for 5 s.
const LATE_OBSERVATION_TIME: Duration = Duration::from_secs(3);
/// The interval between the heartbeats of the platform's backend servers.
const USUAL_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1500);

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

/// How a backend server says that it leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Departure {
    /// It deregisters without more than its id.
    Id,
    /// It deregisters and names its start time.
    StartTime,
    /// A heartbeat says that it drains.
    Draining,
    /// Its answers say so, while its heartbeats go on to say that it is ready.
    Answers,
}

/// The processes that are killed after a departure.
#[derive(Clone, Copy, Debug)]
enum Killed {
    Node,
    Nodes,
    All,
    /// All, and the files in which control VMs remember departures are damaged.
    AllWithDamage,
}

/// Lets the backend server of the first node leave, kills and starts processes, and delivers a
/// heartbeat that was sent before the departure. Returns how many requests reached the backend server
/// later than [`DRAIN_LIMIT`] after the departure was acknowledged.
async fn late_runs(departure: Departure, killed: Killed) -> usize {
    let mut fleet = start().await;
    let late = fleet.servers[0].next_heartbeat();
    match departure {
        Departure::Id | Departure::StartTime => {
            let names_start = departure == Departure::StartTime;
            let status = fleet.servers[0].deregister(names_start).await;
            assert_eq!(status, Some(200));
        }
        Departure::Draining => {
            fleet.servers[0].drain().await;
            // The late heartbeat arrives before the next one.
            fleet.servers[0].set_silent(true);
        }
        Departure::Answers => {
            fleet.servers[0].say_leaving();
            let has_said = |fleet: &Fleet| {
                let runs = fleet.runs_of("/safe/said");
                runs.iter().any(|run| run.server == fleet.servers[0].id)
            };
            while !has_said(&fleet) {
                call(&fleet, "/safe/said").await;
            }
        }
    }
    let acknowledged_at = Instant::now();
    if departure == Departure::Answers {
        // The first answer after the restart says so again; it must not be asked.
        tokio::time::sleep(DRAIN_LIMIT).await;
    }
    let names: Vec<String> = match killed {
        Killed::Node => vec![fleet.nodes[0].name.clone()],
        Killed::Nodes => fleet.nodes.iter().map(|vm| vm.name.clone()).collect(),
        Killed::All | Killed::AllWithDamage => all_processes(&fleet),
    };
    for name in &names {
        fleet.kill(name);
    }
    if matches!(killed, Killed::AllWithDamage) {
        for vm in &fleet.control {
            let file = fleet.data_folder(&vm.name).join("departures");
            let mut bytes = std::fs::read(&file).expect("the file");
            *bytes.last_mut().expect("a byte") ^= 1;
            std::fs::write(&file, bytes).expect("damage");
        }
    }
    for name in &names {
        let all = fleet.control.iter().chain(&fleet.nodes);
        let vm = all.clone().find(|vm| vm.name == *name);
        let vm = vm.expect("a VM of the fleet").clone();
        fleet.launch(&vm, false);
    }
    let mut late = Some(late);
    while acknowledged_at.elapsed() < DRAIN_LIMIT + LATE_OBSERVATION_TIME {
        if acknowledged_at.elapsed() > HEARTBEAT_DELAY
            && let Some(late) = late.take()
        {
            assert_eq!(fleet.servers[0].deliver(late).await, Some(200));
        }
        call(&fleet, "/safe/later").await;
        tokio::time::sleep(PAUSE).await;
    }
    if matches!(killed, Killed::AllWithDamage) {
        for vm in &fleet.control {
            let log = fleet.log(&vm.name);
            assert!(log.contains("departures: the checksum"), "{log}");
        }
    }
    let runs = fleet.runs_of("/safe/later");
    let has_left = |run: &&stand_in::Run| run.server == fleet.servers[0].id;
    let served = runs.iter().any(|run| !has_left(&run));
    assert!(served, "served again: {}", fleet.log("node-2"));
    let late = runs.iter().filter(has_left);
    let late = late.filter(|run| run.at.duration_since(acknowledged_at) > DRAIN_LIMIT);
    let count = late.count();
    if count > 0 {
        println!("{departure:?}, {killed:?}: {}", fleet.log("node-0"));
    }
    count
}

// Guards against DRAIN: a heartbeat that was sent before the departure arrives after a restart of the
// node, and makes the backend server that has left ready again.
#[tokio::test(flavor = "multi_thread")]
async fn late_heartbeat_revives_no_deregistered_backend_server() {
    assert_eq!(late_runs(Departure::Id, Killed::Node).await, 0);
    assert_eq!(late_runs(Departure::StartTime, Killed::Node).await, 0);
}

// The same where all nodes restart, so that only control VMs remember, where these remember on their
// disks only, and where nobody remembers.
#[tokio::test(flavor = "multi_thread")]
async fn late_heartbeat_revives_no_deregistered_backend_server_after_restart_of_others() {
    assert_eq!(late_runs(Departure::Id, Killed::Nodes).await, 0);
    assert_eq!(late_runs(Departure::Id, Killed::All).await, 0);
    assert_eq!(late_runs(Departure::Id, Killed::AllWithDamage).await, 0);
}

// The same where it said that it drains, or said in answers that it leaves.
#[tokio::test(flavor = "multi_thread")]
async fn late_heartbeat_revives_no_draining_or_leaving_backend_server() {
    assert_eq!(late_runs(Departure::Draining, Killed::Node).await, 0);
    assert_eq!(late_runs(Departure::Answers, Killed::Node).await, 0);
}

// Guards against a departure that nobody remembers because the node had just restarted when it was
// told, and had not heard of the backend server.
#[tokio::test(flavor = "multi_thread")]
async fn backend_server_that_leaves_restarted_node_is_not_revived() {
    let mut fleet = start().await;
    let server = &fleet.servers[0];
    server.set_silent(true);
    let late = server.next_heartbeat();
    let node = fleet.nodes[0].clone();
    fleet.kill(&node.name);
    fleet.launch(&node, false);
    let server = &fleet.servers[0];
    while server.deregister(false).await != Some(200) {
        tokio::time::sleep(PAUSE).await;
    }
    let left_at = Instant::now();
    tokio::time::sleep(HEARTBEAT_DELAY).await;
    assert_eq!(server.deliver(late).await, Some(200));
    while left_at.elapsed() < LATE_OBSERVATION_TIME {
        call(&fleet, "/safe/later").await;
        tokio::time::sleep(PAUSE).await;
    }
    let runs = fleet.runs_of("/safe/later");
    assert!(!runs.is_empty());
    assert!(runs.iter().all(|run| run.server != fleet.servers[0].id));
}

// A sound backend server must not wait for a second heartbeat after a restart of its node.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_node_soon_knows_which_backend_servers_have_left() {
    let mut fleet = start().await;
    let node = fleet.nodes[0].clone();
    for restarts in 1..=2 {
        fleet.kill(&node.name);
        fleet.launch(&node, false);
        let end = Instant::now() + USUAL_HEARTBEAT_INTERVAL;
        let answers = |log: &str| log.matches(r#""source":"answers""#).count();
        while answers(&fleet.log(&node.name)) < restarts {
            assert!(Instant::now() < end, "{}", fleet.log(&node.name));
            tokio::time::sleep(PAUSE).await;
        }
    }
}
