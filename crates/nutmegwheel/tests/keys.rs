//! Tests that withdrawn keys are refused in time, and that nodes fence themselves while they cannot
//! reach their seeds.

mod common;

use std::time::Duration;

use common::{KEY, Setup};
use nutmegwheel_support::Behaviour;

const PATH: &str = "/dispatch/crew";
const OPEN_PATH: &str = "/tally-portal/health";
/// The time within which a frozen control VM is detected.
const OUTAGE: Duration = Duration::from_secs(4);
/// The service time of a request, during which the next request is queued.
const SLOW_SERVICE_TIME: Duration = Duration::from_secs(3);

fn withdrawal_path() -> String {
    let hash = nutmegwheel_config::hash_key(common::KEY_TEXT.as_bytes());
    format!("/v1/withdrawals/{}", nutmegwheel_types::hex::encode(&hash))
}

async fn withdraw_at(setup: &Setup, node: &str) -> serde_json::Value {
    let at = setup.vm(node).platform;
    let answer = setup
        .fleet
        .send_as_operator_to(at, "PUT", &withdrawal_path(), "")
        .await;
    let answer = answer.expect("the node answers");
    assert_eq!(answer.status, 200, "{}", answer.text());
    answer.json()
}

async fn is_refused(setup: &Setup, node: &str, reason: &str) -> bool {
    let answer = setup.call_with_key(node, PATH, "late").await;
    if answer.reason() == reason {
        assert_eq!(answer.outcome(), Some("not-run"));
    }
    answer.reason() == reason
}

#[tokio::test]
async fn refuses_withdrawn_key_on_open_connection() {
    let setup = Setup::start(&[("riga1", 2)], 1).await;
    setup.start_backend("riga1-1", "dispatch", |_| {}).await;
    setup.wait_for_backends(&["riga1-1"]).await;
    let request = format!(
        "POST {PATH} HTTP/1.1\r\nhost: x\r\nauthorization: {KEY}\r\ncontent-length: 0\r\n\r\n"
    );
    let mut connection = common::KeepAliveConnection::open(setup.vm("riga1-0").callers).await;
    for _ in 0..3 {
        let head = connection.exchange(&request).await;
        assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    }
    withdraw_at(&setup, "riga1-0").await;
    let ran = setup.ledger.count(PATH);
    for _ in 0..3 {
        let head = connection.exchange(&request).await;
        assert!(head.starts_with("HTTP/1.1 401"), "{head}");
    }
    assert_eq!(
        setup.ledger.count(PATH),
        ran,
        "a request with a withdrawn key ran"
    );
}

#[tokio::test]
async fn queued_request_does_not_run_after_its_key_is_withdrawn() {
    let setup = Setup::start(&[("riga1", 2)], 1).await;
    let slow = |behaviour: &mut Behaviour| behaviour.service_time = SLOW_SERVICE_TIME;
    setup
        .start_backend_with_slots("riga1-1", "dispatch", 1, slow)
        .await;
    setup.wait_for_backends(&["riga1-1"]).await;
    let running = setup.spawn_call("riga1-0", PATH, "running");
    setup.wait_for_run(PATH, 1).await;
    let queued = setup.spawn_call("riga1-0", PATH, "queued");
    setup
        .wait_until("the second request waits or was refused", async || {
            setup.queue_length("riga1-1").await > 0 || queued.is_finished()
        })
        .await;
    setup.signal("control-0", "STOP");
    withdraw_at(&setup, "riga1-0").await;
    let queued = queued.await.expect("an answer");
    assert_eq!(queued.outcome(), Some("not-run"), "{}", queued.text());
    assert_eq!(queued.reason(), "key-withdrawn");
    let running = running.await.expect("an answer");
    assert_eq!(running.status, 200, "{}", running.text());
    assert_eq!(setup.ledger.count(PATH), 1);
}

#[tokio::test]
async fn data_centre_without_control_vms_serves_and_accepts_withdrawals() {
    let setup = Setup::start(&[("riga1", 1), ("riga2", 4)], 1).await;
    setup.start_backend("riga2-1", "dispatch", |_| {}).await;
    setup.wait_for_backends(&["riga2-1"]).await;
    setup.signal("control-0", "STOP");
    setup.signal("riga1-0", "STOP");
    tokio::time::sleep(OUTAGE).await;
    for node in ["riga2-0", "riga2-1", "riga2-2", "riga2-3"] {
        let answer = setup.call_with_key(node, PATH, "x").await;
        assert_eq!(answer.status, 200, "{node}: {}", answer.text());
    }
    let answer = withdraw_at(&setup, "riga2-3").await;
    assert_eq!(answer["state"], "pending", "{answer}");
    for node in ["riga2-0", "riga2-1", "riga2-2", "riga2-3"] {
        setup
            .wait_until("the key is withdrawn in the data centre", async || {
                is_refused(&setup, node, "key-withdrawn").await
            })
            .await;
    }
    let at = setup.vm("riga2-3").platform;
    let answer = setup
        .fleet
        .send_as_operator_to(at, "GET", &withdrawal_path(), "")
        .await;
    let answer = answer.expect("the node answers").json();
    assert_eq!(answer["state"], "pending", "{answer}");
    let waiting = answer["waiting_for"].to_string();
    assert!(waiting.contains("riga1"), "{answer}");
    setup.signal("control-0", "CONT");
    setup.signal("riga1-0", "CONT");
    setup
        .wait_until("the withdrawal is everywhere", async || {
            is_refused(&setup, "riga1-0", "key-withdrawn").await
        })
        .await;
}

#[tokio::test]
async fn node_fences_itself_while_its_seeds_are_frozen() {
    let setup = Setup::start(&[("riga1", 4)], 1).await;
    setup.start_backend("riga1-3", "dispatch", |_| {}).await;
    setup.start_backend("riga1-2", "tally-portal", |_| {}).await;
    setup.wait_for_backends(&["riga1-2", "riga1-3"]).await;
    assert_eq!(setup.call_with_key("riga1-3", PATH, "x").await.status, 200);
    for seed in ["control-0", "riga1-0", "riga1-1"] {
        setup.signal(seed, "STOP");
    }
    setup
        .wait_until("the node fences itself", async || {
            is_refused(&setup, "riga1-3", "not-ready").await
        })
        .await;
    let ran = setup.ledger.count(PATH);
    for _ in 0..5 {
        assert!(is_refused(&setup, "riga1-3", "not-ready").await);
    }
    assert_eq!(setup.ledger.count(PATH), ran, "a fenced node ran a request");
    let open = setup.call("riga1-3", OPEN_PATH, &[], "x").await;
    assert_eq!(open.status, 200, "{}", open.text());
    for seed in ["control-0", "riga1-0", "riga1-1"] {
        setup.signal(seed, "CONT");
    }
    setup.wait_until_serving("riga1-3").await;
    setup
        .wait_until("the node serves again", async || {
            setup.call_with_key("riga1-3", PATH, "again").await.status == 200
        })
        .await;
}
