//! Backend servers and nodes that crash, freeze or disconnect while they process requests.

mod common;

use std::time::Duration;

use common::{KEY, Setup};
use nutmegwheel_support::{Answer, Behaviour, Fault};

const IDEMPOTENT: &str = "/dispatch/crew";
const NON_IDEMPOTENT: &str = "/dispatch/bill";
/// The service time of slow requests, long enough to inject a fault while one runs.
const SLOW_SERVICE_TIME: Duration = Duration::from_millis(1500);
/// The time within which a request that a frozen node still holds would run after its thaw.
const LATE_RUN_TIME: Duration = Duration::from_secs(2);
/// The maximum number of backend servers that one request may crash before it is quarantined.
const MAX_CRASHES: usize = 2;

/// Starts a fleet with a backend server of `dispatch` at each node except the ingress node
/// `riga1-0`.
async fn start_fleet(nodes: usize, configure: impl Fn(&mut Behaviour)) -> Setup {
    let setup = Setup::start(&[("riga1", nodes)], 1).await;
    let names: Vec<String> = (1..nodes).map(|node| format!("riga1-{node}")).collect();
    for node in &names {
        setup.start_backend(node, "dispatch", &configure).await;
    }
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    setup.wait_for_backends(&names).await;
    setup
}

fn slow(behaviour: &mut Behaviour) {
    behaviour.service_time = SLOW_SERVICE_TIME;
}

fn node_of(backend: &str) -> String {
    let (_, node) = backend.split_once('@').expect("SERVICE@NODE");
    node.to_owned()
}

fn assert_refused(answer: &Answer, outcome: &str) {
    let seen = (answer.status, answer.outcome());
    assert_eq!(seen, (503, Some(outcome)), "{}", answer.text());
}

/// Asserts that an idempotent request was served, and that a non-idempotent one ran once and was
/// refused as `may-have-run`.
fn assert_served_or_run_once(setup: &Setup, path: &str, answer: &Answer) {
    if path == IDEMPOTENT {
        assert_eq!(answer.status, 200, "{}", answer.text());
        assert_eq!(answer.json()["echo"], "mine");
    } else {
        assert_refused(answer, "may-have-run");
        assert_eq!(setup.ledger.count(path), 1);
    }
}

#[tokio::test]
async fn retries_only_idempotent_request_after_backend_server_crash() {
    for path in [IDEMPOTENT, NON_IDEMPOTENT] {
        let setup = start_fleet(3, slow).await;
        let (answer, ()) = tokio::join!(setup.call_with_key("riga1-0", path, "mine"), async {
            let at = setup.wait_for_run(path, 1).await;
            setup.with_backend(&at, nutmegwheel_support::Backend::kill);
        });
        assert_served_or_run_once(&setup, path, &answer);
    }
}

#[tokio::test]
async fn retries_only_idempotent_request_after_node_crash() {
    for path in [IDEMPOTENT, NON_IDEMPOTENT] {
        let setup = start_fleet(3, slow).await;
        let (answer, ()) = tokio::join!(setup.call_with_key("riga1-0", path, "mine"), async {
            let at = setup.wait_for_run(path, 1).await;
            setup.signal(&node_of(&at), "KILL");
        });
        assert_served_or_run_once(&setup, path, &answer);
    }
}

#[tokio::test]
async fn retries_only_idempotent_request_when_node_freezes_and_thaws() {
    for path in [IDEMPOTENT, NON_IDEMPOTENT] {
        let setup = start_fleet(3, slow).await;
        let (answer, frozen) = tokio::join!(setup.call_with_key("riga1-0", path, "mine"), async {
            let frozen = node_of(&setup.wait_for_run(path, 1).await);
            setup.signal(&frozen, "STOP");
            frozen
        });
        assert_served_or_run_once(&setup, path, &answer);
        // The frozen node may have been the token server, whose lease must expire first.
        setup
            .wait_until("others are served while the node is frozen", async || {
                let other = setup.call_with_key("riga1-0", IDEMPOTENT, "other").await;
                other.status == 200 && other.json()["echo"] == "other"
            })
            .await;
        setup.signal(&frozen, "CONT");
        setup.wait_until_serving(&frozen).await;
        let quick = |behaviour: &mut Behaviour| behaviour.service_time = Duration::ZERO;
        setup.with_each_backend(|backend| backend.set_behaviour(quick));
        for n in 0..20 {
            let body = format!("after-{n}");
            let (left, right) = tokio::join!(
                setup.call_with_key("riga1-0", IDEMPOTENT, &body),
                setup.call_with_key(&frozen, IDEMPOTENT, "concurrent"),
            );
            assert_eq!(left.json()["echo"], body, "{}", left.text());
            assert_eq!(right.json()["echo"], "concurrent", "{}", right.text());
        }
        if path == NON_IDEMPOTENT {
            assert_eq!(setup.ledger.count(path), 1);
        }
    }
}

#[tokio::test]
async fn request_refused_as_not_run_never_runs_after_thaw() {
    let setup = start_fleet(2, |_| {}).await;
    setup.signal("riga1-1", "STOP");
    let bodies: Vec<String> = (0..8).map(|n| format!("bill-{n}")).collect();
    let mut answers = Vec::new();
    for body in &bodies {
        let fields = [("authorization", KEY), ("nutmegwheel-deadline-ms", "1500")];
        answers.push(setup.call("riga1-0", NON_IDEMPOTENT, &fields, body).await);
    }
    setup.signal("riga1-1", "CONT");
    tokio::time::sleep(LATE_RUN_TIME).await;
    for (body, answer) in bodies.iter().zip(&answers) {
        assert_ne!(answer.status, 200, "{}", answer.text());
        let runs = setup.ledger.runs();
        let ran = runs
            .iter()
            .filter(|run| run.body == body.as_bytes())
            .count();
        assert!(ran <= 1, "{body} ran {ran} times");
        let is_not_run = answer.outcome() == Some("not-run");
        assert!(
            !is_not_run || ran == 0,
            "{body} ran after {}",
            answer.text()
        );
    }
    setup
        .wait_until("the node that was frozen serves again", async || {
            setup
                .call_with_key("riga1-0", IDEMPOTENT, "again")
                .await
                .status
                == 200
        })
        .await;
}

#[tokio::test]
async fn truncated_responses_are_never_forwarded() {
    for fault in [Fault::Truncate, Fault::Disconnect] {
        let setup = start_fleet(4, |_| {}).await;
        setup.with_backend("dispatch@riga1-1", |backend| {
            backend.set_behaviour(|behaviour| behaviour.fault = fault.clone());
        });
        for n in 0..20 {
            let body = format!("{n}");
            let answer = setup.call_with_key("riga1-0", IDEMPOTENT, &body).await;
            assert_eq!(answer.status, 200, "{fault:?}: {}", answer.text());
            assert_eq!(answer.json()["echo"], body);
        }
        for n in 0..20 {
            let body = format!("bill-{n}");
            let answer = setup.call_with_key("riga1-0", NON_IDEMPOTENT, &body).await;
            if answer.status == 200 {
                assert_eq!(answer.json()["echo"], body);
            } else {
                assert_refused(&answer, "may-have-run");
            }
            let runs = setup.ledger.runs();
            let ran = runs
                .iter()
                .filter(|run| run.body == body.as_bytes())
                .count();
            assert_eq!(ran, 1, "{body}");
        }
    }
}

#[tokio::test]
async fn quarantines_request_after_two_crashes_at_most() {
    let setup = start_fleet(6, |behaviour| {
        behaviour.fault = Fault::CrashOn(b"poison".to_vec());
    })
    .await;
    for resend in 0..10 {
        let ingress = format!("riga1-{}", resend % 6);
        let answer = setup.call_with_key(&ingress, IDEMPOTENT, "poison").await;
        assert_ne!(answer.status, 200, "{}", answer.text());
        assert!(
            setup.crash_count() <= MAX_CRASHES,
            "{} crashes",
            setup.crash_count()
        );
    }
    for node in 0..6 {
        let answer = setup
            .call_with_key(&format!("riga1-{node}"), IDEMPOTENT, "poison")
            .await;
        assert_eq!(answer.reason(), "quarantined", "{}", answer.text());
        assert_refused(&answer, "do-not-resend");
        let unrelated = setup
            .call_with_key(&format!("riga1-{node}"), IDEMPOTENT, "unrelated")
            .await;
        assert_eq!(unrelated.status, 200, "{}", unrelated.text());
    }
}

#[tokio::test]
async fn crash_by_one_request_fails_no_others() {
    let setup = start_fleet(6, |behaviour| {
        behaviour.service_time = Duration::from_millis(300);
        behaviour.fault = Fault::CrashOn(b"poison".to_vec());
    })
    .await;
    let unrelated_calls: Vec<_> = (0..10)
        .map(|n| (n, format!("unrelated-{n}")))
        .map(|(n, body)| setup.spawn_call(&format!("riga1-{}", n % 6), IDEMPOTENT, &body))
        .collect();
    setup.wait_for_run(IDEMPOTENT, 1).await;
    for ingress in ["riga1-0", "riga1-3", "riga1-5"] {
        let answer = setup.call_with_key(ingress, IDEMPOTENT, "poison").await;
        assert_ne!(answer.status, 200, "{}", answer.text());
    }
    for (n, call) in unrelated_calls.into_iter().enumerate() {
        let answer = call.await.expect("an answer");
        assert_eq!(answer.status, 200, "{n}: {}", answer.text());
        assert_eq!(answer.json()["echo"], format!("unrelated-{n}"));
    }
    assert!(
        setup.crash_count() <= MAX_CRASHES,
        "{} crashes",
        setup.crash_count()
    );
}

#[tokio::test]
async fn serves_idempotent_request_after_node_and_backend_server_crash() {
    let setup = start_fleet(4, slow).await;
    let (answer, ()) = tokio::join!(setup.call_with_key("riga1-0", IDEMPOTENT, "mine"), async {
        let first = setup.wait_for_run(IDEMPOTENT, 1).await;
        setup.with_backend(&first, nutmegwheel_support::Backend::kill);
        let second = setup.wait_for_run(IDEMPOTENT, 2).await;
        setup.signal(&node_of(&second), "KILL");
    });
    assert_served_or_run_once(&setup, IDEMPOTENT, &answer);
}
