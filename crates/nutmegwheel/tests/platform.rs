//! Tests processes of the system against a simulation of the users' platform, which uses the
//! platform's published protocol.

#[path = "../../../platform/tests/stand_in/mod.rs"]
mod stand_in;

use std::time::{Duration, Instant};

use nutmegwheel_support::Answer;
use stand_in::{Fault, Fleet, KEY, LIMIT, Vm, document};

const PROGRAM: &str = env!("CARGO_BIN_EXE_nutmegwheel");
const SERVERS: &[(&str, &str)] = &[("riga1", "portal"), ("riga2", "portal"), ("riga3", "desk")];

/// The host, path and header fields of a request, and the expected status of its response.
type Case = (
    &'static str,
    &'static str,
    &'static [(&'static str, &'static str)],
    u16,
);

async fn start() -> Fleet {
    let fleet = Fleet::start(PROGRAM, SERVERS).await;
    assert_eq!(fleet.publish(1, 0, &document()).await, 200);
    await_portals(&fleet).await;
    fleet
}

/// Waits until requests through the last node have run on both backend servers of the portal.
async fn await_portals(fleet: &Fleet) {
    let end = Instant::now() + LIMIT;
    let node = fleet.nodes[2].clone();
    loop {
        call(fleet, &node, "GET", "/safe/warm").await;
        let runs = fleet.runs_of("/safe/warm");
        let has_run = |n: usize| runs.iter().any(|run| run.server == fleet.servers[n].id);
        if has_run(0) && has_run(1) {
            return;
        }
        assert!(Instant::now() < end, "{}", fleet.log(&node.name));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn call(fleet: &Fleet, node: &Vm, method: &str, path: &str) -> Answer {
    let key = [("authorization", KEY)];
    fleet
        .call_at(node, method, "portal.example", path, &key)
        .await
}

#[tokio::test(flavor = "multi_thread")]
async fn request_runs_once_with_system_fields() {
    let fleet = start().await;
    let forged = [
        ("authorization", KEY),
        ("x-nutmegwheel-tenant", "zemgale"),
        ("x-nutmegwheel-caller-service", "forged"),
        ("x-custom", "kept"),
    ];
    let node = &fleet.nodes[2];
    let answer = fleet
        .call_at(node, "POST", "portal.example", "/once/1?q=2", &forged)
        .await;
    assert_eq!(answer.status, 200, "{}", answer.text());
    assert!(answer.fields["x-nutmegwheel-server-seal"].starts_with("seal-of-i-node-"));
    let runs = fleet.runs_of("/once/1");
    assert_eq!(runs.len(), 1, "{runs:?}");
    let fields = &runs[0].fields;
    assert_eq!(fields["x-nutmegwheel-tenant"], "vidzeme");
    assert_eq!(fields["x-nutmegwheel-caller-service"], "desk");
    assert_eq!(fields["x-nutmegwheel-target-instance"], runs[0].server);
    assert_eq!(fields["x-custom"], "kept");
    assert!(
        !fields.contains_key("authorization"),
        "the key is not shown"
    );
    let left: u64 = fields["x-nutmegwheel-request-deadline-ms"]
        .parse()
        .expect("ms");
    assert!(
        (1000..=2000).contains(&left),
        "{left}: the route's time limit goes first"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn refuses_unauthorized_requests_without_running_them() {
    let fleet = start().await;
    let node = &fleet.nodes[0];
    let cases: [Case; 4] = [
        ("portal.example", "/safe/x", &[], 401),
        (
            "portal.example",
            "/safe/x",
            &[("authorization", "Token nobody-has-this")],
            401,
        ),
        ("portal.example", "/other/x", &[("authorization", KEY)], 404),
        ("nowhere.example", "/safe/x", &[("authorization", KEY)], 404),
    ];
    for (host, path, fields, status) in cases {
        let answer = fleet.call_at(node, "GET", host, path, fields).await;
        assert_eq!(answer.status, status, "{host}{path}");
    }
    assert!(fleet.runs_of("/safe/x").is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn nested_call_has_no_workspace_and_fails_parent_on_failure() {
    let fleet = start().await;
    for server in &fleet.servers[..2] {
        server.set_calls("desk.example", "/inner/call");
    }
    let node = fleet.nodes[0].clone();
    assert_eq!(call(&fleet, &node, "GET", "/safe/parent").await.status, 200);
    let inner = fleet.runs_of("/inner/call");
    assert_eq!(inner.len(), 1);
    assert!(!inner[0].fields.contains_key("x-nutmegwheel-tenant"));
    assert_eq!(inner[0].fields["x-nutmegwheel-caller-service"], "portal");
    fleet.servers[2].set_fault(Fault::Shed);
    let answer = call(&fleet, &node, "GET", "/safe/parent").await;
    assert_eq!(answer.status, 500, "the backend server's own answer");
    assert!(answer.fields.contains_key("x-nutmegwheel-server-seal"));
}

#[tokio::test(flavor = "multi_thread")]
async fn retries_lost_responses_only_where_safe() {
    let fleet = start().await;
    let node = fleet.nodes[2].clone();
    for fault in [Fault::Break, Fault::Foreign] {
        fleet.servers[0].set_fault(fault);
        for number in 0..12 {
            let path = format!("/safe/{fault:?}-{number}");
            assert_eq!(
                call(&fleet, &node, "GET", &path).await.status,
                200,
                "{path}"
            );
            let path = format!("/once/{fault:?}-{number}");
            let status = call(&fleet, &node, "POST", &path).await.status;
            assert!(status == 200 || status == 502, "{path}: {status}");
            assert_eq!(fleet.runs_of(&path).len(), 1, "{path}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn shed_requests_run_elsewhere_or_are_refused_as_not_run() {
    let fleet = start().await;
    let node = fleet.nodes[2].clone();
    fleet.servers[0].set_fault(Fault::Shed);
    for number in 0..10 {
        let path = format!("/once/shed-{number}");
        assert_eq!(
            call(&fleet, &node, "POST", &path).await.status,
            200,
            "{path}"
        );
    }
    fleet.servers[1].set_fault(Fault::Shed);
    let answer = call(&fleet, &node, "POST", "/once/all-shed").await;
    assert_eq!(answer.status, 503);
    let after: f64 = answer.fields["retry-after"].parse().expect("seconds");
    assert!(after > 0.0);
    assert!(fleet.runs_of("/once/all-shed").is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn drained_server_gets_no_new_requests_after_acknowledgement() {
    let fleet = start().await;
    fleet.servers[0].drain().await;
    let node = fleet.nodes[2].clone();
    for number in 0..10 {
        let path = format!("/safe/drain-{number}");
        assert_eq!(call(&fleet, &node, "GET", &path).await.status, 200);
        let runs = fleet.runs_of(&path);
        assert!(runs.iter().all(|run| run.server != fleet.servers[0].id));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_publications_by_protocol() {
    let fleet = start().await;
    let good = document();
    assert_eq!(fleet.publish(5, 1, &good).await, 200);
    assert_eq!(fleet.put(5, 1, &good).await, 200, "the same again");
    assert_eq!(fleet.put(1, 0, &good).await, 200, "an earlier one again");
    assert_eq!(fleet.put(7, 1, &good).await, 412, "another base");
    assert_eq!(fleet.put(5, 5, &good).await, 400, "a version that is taken");
    let faults = [
        ("service", serde_json::json!("unknown")),
        ("timeout_ms", 0.into()),
        ("attempts", 0.into()),
        ("hostname", "".into()),
    ];
    for (field, value) in faults {
        let mut bad = good.clone();
        bad["routes"][0][field] = value;
        assert_eq!(fleet.put(9, 5, &bad).await, 400, "{field}");
    }
    for vm in &fleet.control {
        let shown = fleet.send("GET", vm.control(), "/-/config", "").await;
        assert_eq!(
            shown.expect("an answer").json()["version"],
            "r5",
            "{}",
            vm.name
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn publishes_without_control_vm_and_restores_wiped_vms() {
    let mut fleet = start().await;
    for round in 0..3_u64 {
        let vm = fleet.control[usize::try_from(round).expect("small")].clone();
        fleet.kill(&vm.name);
        let began = Instant::now();
        let (version, base) = (round + 2, round + 1);
        assert_eq!(fleet.publish(version, base, &document()).await, 200);
        let took = began.elapsed();
        assert!(took < Duration::from_secs(6), "ack and apply took {took:?}");
        fleet.launch(&vm, false);
        wait_for_version(&fleet, &vm, version).await;
    }
}

async fn wait_for_version(fleet: &Fleet, vm: &Vm, version: u64) {
    let end = Instant::now() + LIMIT;
    loop {
        let shown = fleet.send("GET", vm.control(), "/-/config", "").await;
        let shown = shown.map(|answer| answer.json()["version"].clone());
        if shown == Some(format!("r{version}").into()) {
            return;
        }
        assert!(Instant::now() < end, "{shown:?}: {}", fleet.log(&vm.name));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn signals_interrupt_no_request() {
    let mut fleet = start().await;
    for server in &fleet.servers {
        server.set_work(Duration::from_millis(1200));
    }
    let node = fleet.nodes[0].clone();
    let running = call(&fleet, &node, "POST", "/once/hang-up");
    let signal = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        fleet.signal(&node.name, "HUP");
    };
    let (answer, ()) = tokio::join!(running, signal);
    assert_eq!(answer.status, 200);
    let running = call(&fleet, &node, "POST", "/once/stop");
    let signal = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        fleet.signal(&node.name, "TERM");
        tokio::time::sleep(Duration::from_millis(100)).await;
        let ready = fleet.send("GET", node.ready(), "/-/ready", "").await;
        ready.map(|answer| answer.status)
    };
    let (answer, ready) = tokio::join!(running, signal);
    assert_eq!(answer.status, 200, "{}", answer.text());
    assert_eq!(answer.fields["connection"], "close");
    assert_eq!(
        ready,
        Some(503),
        "a stopping node reports at once that it is not ready"
    );
    assert_eq!(
        fleet
            .wait_for_exit(&node.name, Duration::from_secs(6))
            .await,
        Some(0)
    );
}
