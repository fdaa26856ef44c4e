//! Tests with silent, slow, damaged and partitioned links between processes. A relay in front of
//! each process injects these faults.

mod common;

use std::time::{Duration, Instant};

use common::{KEY, PROPAGATION_LIMIT, Setup};
use nutmegwheel_support::{
    Answer,
    relay::{Direction, Relay},
};

const IDEMPOTENT: &str = "/dispatch/crew";
const NON_IDEMPOTENT: &str = "/dispatch/bill";
/// The deadline of requests that are sent while links are faulty.
const SHORT_DEADLINE_MS: &str = "1500";
/// The time within which silent links are detected.
const DETECTION_TIME: Duration = Duration::from_millis(2500);
/// Byte offsets of a fault: in the head, in the body, and in later messages.
const FAULT_OFFSETS: [usize; 6] = [0, 9, 60, 300, 2000, 9000];

/// Starts a fleet: the ingress node `riga1-0`, and two nodes that have a backend server each.
async fn start_fleet() -> Setup {
    let setup = Setup::start_relayed(&[("riga1", 3)], 1).await;
    for node in ["riga1-1", "riga1-2"] {
        setup.start_backend(node, "dispatch", |_| {}).await;
    }
    setup.wait_for_backends(&["riga1-1", "riga1-2"]).await;
    setup
}

fn for_each_relay(setup: &Setup, change: impl Fn(&Relay)) {
    for process in setup.fleet.control.iter().chain(&setup.fleet.nodes) {
        change(setup.fleet.relay(&process.vm.name));
    }
}

async fn call_with_short_deadline(setup: &Setup, node: &str, path: &str, body: &str) -> Answer {
    let deadline = ("nutmegwheel-deadline-ms", SHORT_DEADLINE_MS);
    let fields = [("authorization", KEY), deadline];
    setup.call(node, path, &fields, body).await
}

/// Asserts that a response is that of its own request, or a refusal whose outcome agrees with the
/// ledger, and that a non-idempotent request did not run twice.
fn assert_consistent(setup: &Setup, answer: &Answer, body: &str) {
    let runs = setup.ledger.runs();
    let ran = runs
        .iter()
        .filter(|run| run.body == body.as_bytes())
        .count();
    if answer.status == 200 {
        assert_eq!(answer.json()["echo"], body);
    } else {
        assert!(matches!(answer.status, 503 | 504), "{}", answer.text());
        let is_not_run = answer.outcome() == Some("not-run");
        assert!(
            !is_not_run || ran == 0,
            "ran despite the outcome not-run: {}",
            answer.text()
        );
    }
    let is_non_idempotent = runs
        .iter()
        .any(|run| run.path == NON_IDEMPOTENT && run.body == body.as_bytes());
    assert!(!is_non_idempotent || ran == 1, "{body} ran {ran} times");
}

async fn wait_until_served(setup: &Setup) {
    let began = Instant::now();
    setup
        .wait_until("a request is served", async || {
            call_with_short_deadline(setup, "riga1-0", IDEMPOTENT, "again")
                .await
                .status
                == 200
        })
        .await;
    assert!(began.elapsed() < PROPAGATION_LIMIT, "{:?}", began.elapsed());
}

#[tokio::test]
async fn replaces_connections_that_stay_silent() {
    let setup = start_fleet().await;
    for round in 0..2 {
        assert_eq!(
            setup.call_with_key("riga1-0", IDEMPOTENT, "x").await.status,
            200
        );
        for_each_relay(&setup, Relay::silence_existing);
        for n in 0..3 {
            let body = format!("bill-{round}-{n}");
            let answer = call_with_short_deadline(&setup, "riga1-0", NON_IDEMPOTENT, &body).await;
            assert_consistent(&setup, &answer, &body);
        }
        wait_until_served(&setup).await;
    }
}

#[tokio::test]
async fn refuses_requests_while_all_links_are_silent_and_recovers() {
    let setup = start_fleet().await;
    for_each_relay(&setup, Relay::silence_all);
    for n in 0..2 {
        let body = format!("bill-{n}");
        let answer = call_with_short_deadline(&setup, "riga1-0", NON_IDEMPOTENT, &body).await;
        assert_ne!(answer.status, 200);
        assert_consistent(&setup, &answer, &body);
    }
    for_each_relay(&setup, Relay::clear_faults);
    wait_until_served(&setup).await;
}

#[tokio::test]
async fn delayed_responses_reach_only_their_own_request() {
    let setup = start_fleet().await;
    for_each_relay(&setup, |relay| relay.delay(Duration::from_millis(20)));
    call_concurrently(&setup, "slow", async || {}).await;
    for_each_relay(&setup, Relay::clear_faults);
    for held in [Duration::from_millis(300), DETECTION_TIME] {
        call_concurrently(&setup, &format!("held-{held:?}"), async || {
            for node in ["riga1-1", "riga1-2"] {
                setup.fleet.relay(node).hold();
            }
            tokio::time::sleep(held).await;
            for_each_relay(&setup, Relay::release);
        })
        .await;
        wait_until_served(&setup).await;
        call_concurrently(&setup, &format!("after-{held:?}"), async || {}).await;
    }
}

/// Sends 20 requests concurrently, runs `during`, and checks the responses.
async fn call_concurrently(setup: &Setup, name: &str, during: impl AsyncFnOnce()) {
    let bodies: Vec<String> = (0..20).map(|n| format!("{name}-{n}")).collect();
    let call = |(n, body): (usize, &String)| {
        let path = if n % 2 == 0 {
            IDEMPOTENT
        } else {
            NON_IDEMPOTENT
        };
        setup.spawn_call("riga1-0", path, body)
    };
    let calls: Vec<_> = bodies.iter().enumerate().map(call).collect();
    during().await;
    for (call, body) in calls.into_iter().zip(&bodies) {
        assert_consistent(setup, &call.await.expect("an answer"), body);
    }
}

#[tokio::test]
async fn damaged_bytes_never_reach_a_caller() {
    let setup = start_fleet().await;
    let long = "x".repeat(3000);
    for direction in [Direction::ToTarget, Direction::FromTarget] {
        for offset in FAULT_OFFSETS {
            for inject in [Relay::truncate_after, Relay::corrupt_after] {
                for node in ["riga1-1", "riga1-2"] {
                    inject(setup.fleet.relay(node), direction, offset);
                }
                for (n, path) in [IDEMPOTENT, NON_IDEMPOTENT]
                    .iter()
                    .cycle()
                    .take(6)
                    .enumerate()
                {
                    let body = format!(
                        "{direction:?}-{offset}-{n}-{:p}-{long}",
                        inject as *const ()
                    );
                    let answer = call_with_short_deadline(&setup, "riga1-0", path, &body).await;
                    assert_consistent(&setup, &answer, &body);
                }
            }
        }
    }
    for_each_relay(&setup, Relay::clear_faults);
    wait_until_served(&setup).await;
}

#[tokio::test]
async fn partitioned_data_centres_serve_alone_and_converge_later() {
    let setup = Setup::start_relayed(&[("riga1", 2), ("riga2", 3)], 1).await;
    for node in ["riga1-1", "riga2-1"] {
        setup.start_backend(node, "dispatch", |_| {}).await;
    }
    setup.wait_for_backends(&["riga1-1", "riga2-1"]).await;
    for process in setup.fleet.control.iter().chain(&setup.fleet.nodes) {
        let others = if process.vm.data_centre == "riga1" {
            "riga2"
        } else {
            "riga1"
        };
        setup.fleet.relay(&process.vm.name).block_matching(others);
    }
    tokio::time::sleep(DETECTION_TIME).await;
    setup.commit_change(10, common::CONFIGURATION).await;
    for (node, own) in [
        ("riga1-0", "dispatch@riga1-1"),
        ("riga2-0", "dispatch@riga2-1"),
    ] {
        setup
            .wait_until("the data centre serves alone", async || {
                call_with_short_deadline(&setup, node, IDEMPOTENT, "x")
                    .await
                    .status
                    == 200
            })
            .await;
        for n in 0..5 {
            let body = format!("{node}-{n}");
            let answer = call_with_short_deadline(&setup, node, IDEMPOTENT, &body).await;
            assert_eq!(answer.status, 200, "{}", answer.text());
            let runs = setup.ledger.runs();
            let last = runs.last().expect("a run");
            assert_eq!(last.backend, own);
        }
    }
    for_each_relay(&setup, Relay::clear_faults);
    setup.wait_for_version(3).await;
    setup.with_backend("dispatch@riga2-1", nutmegwheel_support::Backend::kill);
    setup
        .wait_until("the data centres serve for each other again", async || {
            call_with_short_deadline(&setup, "riga2-0", IDEMPOTENT, "across")
                .await
                .status
                == 200
        })
        .await;
}
