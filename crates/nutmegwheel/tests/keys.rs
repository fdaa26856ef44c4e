//! Withdrawn keys stop in time, and nodes without their seeds fence themselves.

mod common;

use std::time::Duration;

use common::{KEY, Setup};
use nutmegwheel_support::Behaviour;

const PATH: &str = "/dispatch/crew";
const OPEN_PATH: &str = "/tally-portal/health";
/// A time in which a frozen control VM would have been missed.
const CUT_OFF: Duration = Duration::from_secs(4);
/// The time for which the queued request has to wait.
const BUSY: Duration = Duration::from_secs(3);

fn withdrawal() -> String {
    let hash = nutmegwheel_config::hash_key(common::KEY_TEXT.as_bytes());
    format!("/v1/withdrawals/{}", nutmegwheel_types::hex::encode(&hash))
}

async fn withdraw_at(setup: &Setup, node: &str) -> serde_json::Value {
    let at = setup.vm(node).platform;
    let answer = setup
        .fleet
        .send_as_operator_to(at, "PUT", &withdrawal(), "")
        .await;
    let answer = answer.expect("the node answers");
    assert_eq!(answer.status, 200, "{}", answer.text());
    answer.json()
}

async fn is_refused(setup: &Setup, node: &str, reason: &str) -> bool {
    let answer = setup.ask(node, PATH, "late").await;
    if answer.reason() == reason {
        assert_eq!(answer.outcome(), Some("not-run"));
    }
    answer.reason() == reason
}

#[tokio::test]
async fn a_withdrawn_key_stops_on_a_connection_that_stays_open() {
    let setup = Setup::start(&[("riga1", 2)], 1).await;
    setup.backend("riga1-1", "dispatch", |_| {}).await;
    setup.ready_at(&["riga1-1"]).await;
    let request = format!(
        "POST {PATH} HTTP/1.1\r\nhost: x\r\nauthorization: {KEY}\r\ncontent-length: 0\r\n\r\n"
    );
    let mut kept = common::KeptAlive::open(setup.vm("riga1-0").callers).await;
    for _ in 0..3 {
        let head = kept.ask(&request).await;
        assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    }
    withdraw_at(&setup, "riga1-0").await;
    let ran = setup.ledger.count(PATH);
    for _ in 0..3 {
        let head = kept.ask(&request).await;
        assert!(head.starts_with("HTTP/1.1 401"), "{head}");
    }
    assert_eq!(setup.ledger.count(PATH), ran, "a withdrawn key ran");
}

#[tokio::test]
async fn a_queued_request_does_not_start_after_its_key_was_withdrawn() {
    let setup = Setup::start(&[("riga1", 2)], 1).await;
    let busy = |behaviour: &mut Behaviour| behaviour.service_time = BUSY;
    setup.backend_of("riga1-1", "dispatch", 1, busy).await;
    setup.ready_at(&["riga1-1"]).await;
    let running = setup.spawn_ask("riga1-0", PATH, "running");
    setup.begun(PATH, 1).await;
    let queued = setup.spawn_ask("riga1-0", PATH, "queued");
    setup
        .until("the second request waits or was refused", async || {
            setup.waiting_at("riga1-1").await > 0 || queued.is_finished()
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
async fn a_data_centre_without_control_vms_serves_and_takes_withdrawals() {
    let setup = Setup::start(&[("riga1", 1), ("riga2", 4)], 1).await;
    setup.backend("riga2-1", "dispatch", |_| {}).await;
    setup.ready_at(&["riga2-1"]).await;
    setup.signal("control-0", "STOP");
    setup.signal("riga1-0", "STOP");
    tokio::time::sleep(CUT_OFF).await;
    for node in ["riga2-0", "riga2-1", "riga2-2", "riga2-3"] {
        let answer = setup.ask(node, PATH, "x").await;
        assert_eq!(answer.status, 200, "{node}: {}", answer.text());
    }
    let answer = withdraw_at(&setup, "riga2-3").await;
    assert_eq!(answer["state"], "pending", "{answer}");
    for node in ["riga2-0", "riga2-1", "riga2-2", "riga2-3"] {
        setup
            .until("the key is withdrawn in the data centre", async || {
                is_refused(&setup, node, "key-withdrawn").await
            })
            .await;
    }
    let at = setup.vm("riga2-3").platform;
    let answer = setup
        .fleet
        .send_as_operator_to(at, "GET", &withdrawal(), "")
        .await;
    let answer = answer.expect("the node answers").json();
    assert_eq!(answer["state"], "pending", "{answer}");
    let waiting = answer["waiting_for"].to_string();
    assert!(waiting.contains("riga1"), "{answer}");
    setup.signal("control-0", "CONT");
    setup.signal("riga1-0", "CONT");
    setup
        .until("the withdrawal is everywhere", async || {
            is_refused(&setup, "riga1-0", "key-withdrawn").await
        })
        .await;
}

#[tokio::test]
async fn a_node_whose_seeds_are_frozen_fences_itself_and_serves_again_later() {
    let setup = Setup::start(&[("riga1", 4)], 1).await;
    setup.backend("riga1-3", "dispatch", |_| {}).await;
    setup.backend("riga1-2", "tally-portal", |_| {}).await;
    setup.ready_at(&["riga1-2", "riga1-3"]).await;
    assert_eq!(setup.ask("riga1-3", PATH, "x").await.status, 200);
    for seed in ["control-0", "riga1-0", "riga1-1"] {
        setup.signal(seed, "STOP");
    }
    setup
        .until("the node fences itself", async || {
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
    setup.door_serves("riga1-3").await;
    setup
        .until("the node serves again", async || {
            setup.ask("riga1-3", PATH, "again").await.status == 200
        })
        .await;
}
