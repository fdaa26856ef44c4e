//! Desired states with odd values: each is refused with an error or does no harm.

#[path = "../../../platform/tests/stand_in/mod.rs"]
mod stand_in;

use std::time::Duration;

use nutmegwheel_support::Answer;
use serde_json::{Value, json};
use stand_in::{Fleet, KEY, Vm, document};

const PROGRAM: &str = env!("CARGO_BIN_EXE_nutmegwheel");
const SERVERS: &[(&str, &str)] = &[("riga1", "portal"), ("riga2", "portal"), ("riga3", "desk")];
const DEPTH: usize = 50_000;
/// The time in which nodes usually apply a document.
const APPLY_TIME: Duration = Duration::from_millis(60);
const MARK: &str = "\"the value\"";

/// Publishes a document in which the value at `pointer` is replaced by a text, which may be no JSON
/// that [`Value`] holds.
async fn put(fleet: &Fleet, version: u64, base: u64, pointer: &str, text: &str) -> Option<u16> {
    let mut odd: Value = document();
    odd["version"] = format!("r{version}").into();
    odd["base_version"] = format!("r{base}").into();
    odd["unknown"] = json!(0);
    odd["routes"][0]["traffic_split"] = json!([
        {"service": "portal", "weight": 1}, {"service": "desk", "weight": 1}
    ]);
    *odd.pointer_mut(pointer).expect("a value") = json!("the value");
    let body = odd.to_string().replace(MARK, text);
    let at = fleet.control[0].control();
    let answer = fleet.send("PUT", at, "/-/config", &body).await;
    answer.map(|answer| answer.status)
}

async fn call(fleet: &Fleet, node: &Vm, path: &str) -> Answer {
    let key = [("authorization", KEY)];
    let answer = fleet.call_at(node, "POST", "portal.example", path, &key);
    answer.await
}

// Guards against processes that end, or serve nothing any more, after a number in range that is absurd
// where it is multiplied or added, or after deep nesting.
#[tokio::test(flavor = "multi_thread")]
async fn odd_desired_states_do_no_harm() {
    let fleet = Fleet::serving(PROGRAM, SERVERS).await;
    let (mut version, mut base) = (2, 1);
    let nested = "[".repeat(DEPTH) + &"]".repeat(DEPTH);
    let long = format!("\"{}\"", "a".repeat(100_000));
    let texts = [
        "1e308",
        "-1e308",
        "1e-308",
        "1e400",
        "18446744073709551615",
        "18446744073709551616",
        "-1",
        "null",
        "[]",
        "\"x\"",
        &nested,
        &long,
    ];
    for pointer in [
        "/routes/0/timeout_ms",
        "/routes/0/target_latency_ms",
        "/routes/0/priority",
        "/routes/0/attempts",
        "/routes/0/traffic_split/0/weight",
        "/tenants/0/rate_per_s",
        "/tenants/0/burst",
        "/tenants/0/priority",
        "/routes/0/name",
        "/services/0/max_connections",
        "/limits/max_body_bytes",
        "/unknown",
    ] {
        for text in texts {
            let what: String = format!("{pointer}: {text}").chars().take(80).collect();
            let status = put(&fleet, version, base, pointer, text).await;
            match status {
                Some(200) => {
                    (version, base) = (version + 1, version);
                    tokio::time::sleep(APPLY_TIME).await;
                    // It may be refused, but by a process that runs on.
                    call(&fleet, &fleet.nodes[2], "/safe/meanwhile").await;
                }
                Some(400..500) => {}
                _ => panic!("{what}: {status:?}"),
            }
        }
    }
    // All processes are there, and a sound document is in force.
    assert_eq!(fleet.publish(version, base, &document()).await, 200);
    for node in &fleet.nodes {
        for path in ["/safe/after", "/once/after"] {
            let answer = call(&fleet, node, path).await;
            assert_eq!(answer.status, 200, "{}: {}", node.name, answer.text());
        }
    }
    for vm in fleet.control.iter().chain(&fleet.nodes) {
        let starts = fleet.log(&vm.name).matches("process-started").count();
        assert_eq!(starts, 1, "{}", vm.name);
    }
}
