//! Evacuations of data centres with processes: orders, what is in force after them, and faults.

#[path = "../../../platform/tests/stand_in/mod.rs"]
mod stand_in;

use std::time::{Duration, Instant};

use nutmegwheel_support::Answer;
use stand_in::{Fleet, KEY, LIMIT, Vm};

const PROGRAM: &str = env!("CARGO_BIN_EXE_nutmegwheel");
const SERVERS: &[(&str, &str)] = &[("riga1", "portal"), ("riga2", "portal"), ("riga3", "desk")];
const EVACUATED: &str = "data-centre-evacuated";
const READMITTED: &str = "data-centre-readmitted";

async fn call(fleet: &Fleet, node: &Vm, method: &str, path: &str) -> Answer {
    let key = [("authorization", KEY)];
    fleet
        .call_at(node, method, "portal.example", path, &key)
        .await
}

/// How long an operator waits for a control VM that stands still. The others elect no other leader
/// meanwhile.
const OPERATOR_TIMEOUT: Duration = Duration::from_millis(100);

/// Sends an order to the control VMs in turn until one gives a definite answer.
async fn order(fleet: &Fleet, method: &str, data_centre: &str) -> u16 {
    let path = format!("/-/evacuate/{data_centre}");
    let end = Instant::now() + LIMIT;
    loop {
        for vm in &fleet.control {
            let answer = fleet.send(method, vm.control(), &path, "").await;
            if let Some(answer) = answer.filter(|answer| answer.status < 500) {
                return answer.status;
            }
        }
        assert!(
            Instant::now() < end,
            "no definite answer to {method} {path}: {}",
            control_logs(fleet)
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// The logs of the control VMs, which tell why an order has no answer.
fn control_logs(fleet: &Fleet) -> String {
    let logs = fleet.control.iter().map(|vm| fleet.log(&vm.name));
    logs.collect()
}

/// Waits until the log of a node shows an event `count` times.
async fn await_event(fleet: &Fleet, node: &Vm, event: &str, count: usize) {
    let end = Instant::now() + LIMIT;
    while fleet.log(&node.name).matches(event).count() < count {
        assert!(
            Instant::now() < end,
            "{}: {}",
            node.name,
            fleet.log(&node.name)
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn await_everywhere(fleet: &Fleet, event: &str, count: usize) {
    for node in &fleet.nodes {
        await_event(fleet, node, event, count).await;
    }
}

/// Sends a few requests through every node, also those of evacuated data centres, and checks that
/// each is answered and that they run on the backend server of one node only.
async fn assert_all_run_on(fleet: &Fleet, server: usize, label: &str) {
    for (n, node) in fleet.nodes.iter().enumerate() {
        for number in 0..6 {
            let path = format!("/once/{label}-{n}-{number}");
            let answer = call(fleet, node, "POST", &path).await;
            assert_eq!(answer.status, 200, "{path}: {}", answer.text());
            let runs = fleet.runs_of(&path);
            let servers: Vec<_> = runs.iter().map(|run| &run.server).collect();
            assert_eq!(servers, [&fleet.servers[server].id], "{path}");
        }
    }
}

async fn await_run_on(fleet: &Fleet, server: usize, label: &str) {
    let end = Instant::now() + LIMIT;
    let path = format!("/safe/{label}");
    let has_run = || {
        let runs = fleet.runs_of(&path);
        runs.iter()
            .any(|run| run.server == fleet.servers[server].id)
    };
    while !has_run() {
        assert!(Instant::now() < end, "nothing runs on server {server}");
        call(fleet, &fleet.nodes[server], "GET", &path).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn evacuated_data_centre_gets_nothing_until_it_is_readmitted() {
    let mut fleet = Fleet::serving(PROGRAM, SERVERS).await;
    assert_eq!(order(&fleet, "POST", "riga9").await, 400, "unknown");
    assert_eq!(order(&fleet, "POST", "").await, 400, "no name");
    fleet.servers[0].set_work(Duration::from_millis(700));
    let node = fleet.nodes[0].clone();
    let running = call(&fleet, &node, "POST", "/once/running");
    let ordered = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        order(&fleet, "POST", "riga1").await
    };
    let (answer, status) = tokio::join!(running, ordered);
    assert_eq!(status, 200);
    assert_eq!(answer.status, 200, "what runs is finished");
    assert_eq!(fleet.runs_of("/once/running").len(), 1);
    fleet.servers[0].set_work(Duration::ZERO);
    await_everywhere(&fleet, EVACUATED, 1).await;
    assert_all_run_on(&fleet, 1, "ordered").await;
    assert_eq!(order(&fleet, "POST", "riga1").await, 200, "the same again");
    let ready = fleet.send("GET", node.ready(), "/-/ready", "").await;
    assert_eq!(ready.map(|answer| answer.status), Some(200));

    let all: Vec<Vm> = fleet.control.iter().chain(&fleet.nodes).cloned().collect();
    for vm in &all {
        fleet.kill(&vm.name);
    }
    for vm in &all {
        fleet.launch(vm, false);
    }
    for node in fleet.nodes.clone() {
        await_ready(&fleet, &node).await;
    }
    await_run_on(&fleet, 1, "restarted").await;
    assert_all_run_on(&fleet, 1, "restarted").await;

    assert_eq!(order(&fleet, "DELETE", "riga1").await, 200);
    await_everywhere(&fleet, READMITTED, 1).await;
    await_run_on(&fleet, 0, "readmitted").await;
    assert_eq!(
        order(&fleet, "DELETE", "riga1").await,
        200,
        "the same again"
    );
}

async fn await_ready(fleet: &Fleet, node: &Vm) {
    let end = Instant::now() + LIMIT;
    loop {
        let ready = fleet.send("GET", node.ready(), "/-/ready", "").await;
        if ready.is_some_and(|answer| answer.status == 200) {
            return;
        }
        assert!(Instant::now() < end, "{}", fleet.log(&node.name));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

// The node beside the backend server refuses what a sender without the order still sends, and the
// sender redirects it.
#[tokio::test(flavor = "multi_thread")]
async fn sender_that_learns_late_reaches_no_evacuated_server() {
    let fleet = Fleet::serving(PROGRAM, SERVERS).await;
    let late = fleet.nodes[2].clone();
    fleet.signal(&late.name, "STOP");
    assert_eq!(order(&fleet, "POST", "riga1").await, 200);
    await_event(&fleet, &fleet.nodes[0], EVACUATED, 1).await;
    fleet.signal(&late.name, "CONT");
    for number in 0..20 {
        let path = format!("/once/late-{number}");
        let answer = call(&fleet, &late, "POST", &path).await;
        assert_eq!(answer.status, 200, "{path}: {}", answer.text());
        let runs = fleet.runs_of(&path);
        assert_eq!(runs.len(), 1, "{path}");
        assert_eq!(runs[0].server, fleet.servers[1].id, "{path}");
    }
    await_event(&fleet, &late, EVACUATED, 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn orders_are_committed_without_any_one_control_vm() {
    let mut fleet = Fleet::serving(PROGRAM, SERVERS).await;
    for (round, lost) in fleet.control.clone().iter().enumerate() {
        fleet.kill(&lost.name);
        assert_eq!(order(&fleet, "POST", "riga1").await, 200, "{}", lost.name);
        await_everywhere(&fleet, EVACUATED, round + 1).await;
        fleet.launch(lost, false);
        withdraw_at(&fleet, lost, "riga1").await;
        await_everywhere(&fleet, READMITTED, round + 1).await;
    }
}

/// Withdraws an order at one control VM, which may have to catch up first.
async fn withdraw_at(fleet: &Fleet, vm: &Vm, data_centre: &str) {
    let path = format!("/-/evacuate/{data_centre}");
    let end = Instant::now() + LIMIT;
    loop {
        let answer = fleet.send("DELETE", vm.control(), &path, "").await;
        if answer.is_some_and(|answer| answer.status == 200) {
            return;
        }
        assert!(Instant::now() < end, "{}", fleet.log(&vm.name));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn service_without_other_servers_is_refused_at_once() {
    let fleet = Fleet::serving(PROGRAM, SERVERS).await;
    assert_eq!(order(&fleet, "POST", "riga3").await, 200);
    await_everywhere(&fleet, EVACUATED, 1).await;
    for node in &fleet.nodes {
        let answer = fleet
            .call_at(node, "GET", "desk.example", "/inner/none", &[])
            .await;
        assert_eq!(answer.status, 503, "{}", node.name);
        let after: f64 = answer.fields["retry-after"].parse().expect("seconds");
        assert!(after > 0.0);
    }
    assert!(fleet.runs_of("/inner/none").is_empty());
    for data_centre in ["riga1", "riga2"] {
        assert_eq!(
            order(&fleet, "POST", data_centre).await,
            200,
            "the last too"
        );
    }
    await_everywhere(&fleet, EVACUATED, 3).await;
    let answer = call(&fleet, &fleet.nodes[0], "POST", "/once/nowhere").await;
    assert_eq!(answer.status, 503);
    assert!(fleet.runs_of("/once/nowhere").is_empty());
}

// An order bears no number, so one that waited in a control VM that stood still could undo a later
// one.
#[tokio::test(flavor = "multi_thread")]
async fn order_of_operator_that_has_gone_is_not_committed() {
    let fleet = Fleet::serving(PROGRAM, SERVERS).await;
    for vm in &fleet.control {
        fleet.signal(&vm.name, "STOP");
        // Its threads do not stop at once.
        tokio::time::sleep(OPERATOR_TIMEOUT).await;
        let path = "/-/evacuate/riga1";
        let sent = fleet.send("POST", vm.control(), path, "");
        let answer = tokio::time::timeout(OPERATOR_TIMEOUT, sent).await;
        assert!(answer.is_err(), "{} stands still", vm.name);
        // The connection is closed by another task.
        tokio::time::sleep(OPERATOR_TIMEOUT).await;
        fleet.signal(&vm.name, "CONT");
        // The last one commits, so what the others did before is known everywhere.
        assert_eq!(order(&fleet, "POST", "riga3").await, 200);
        assert_eq!(order(&fleet, "DELETE", "riga3").await, 200);
    }
    await_everywhere(&fleet, READMITTED, fleet.control.len()).await;
    for node in &fleet.nodes {
        let log = fleet.log(&node.name);
        let has_followed = |name: &str| log.contains(&format!(r#""data_centre":"{name}""#));
        assert!(has_followed("riga3"), "{log}");
        assert!(!has_followed("riga1"), "{log}");
    }
}
