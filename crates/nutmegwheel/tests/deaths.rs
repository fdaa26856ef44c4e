//! Backend servers and nodes that die, freeze or break off while requests are in them.

mod common;

use std::time::Duration;

use common::{KEY, Setup};
use nutmegwheel_support::{Answer, Behaviour, Fault};

const IDEMPOTENT: &str = "/dispatch/crew";
const NON_IDEMPOTENT: &str = "/dispatch/bill";
/// The time that a request takes which something is done to while it runs.
const LONG: Duration = Duration::from_millis(1500);
/// A time in which what was held back would have come.
const LATE: Duration = Duration::from_secs(2);
/// The most backend servers that one request may bring down.
const MAX_DEATHS: usize = 2;

/// A fleet whose door `riga1-0` has no backend server, with one of `dispatch` beside the others.
async fn fleet(nodes: usize, behave: impl Fn(&mut Behaviour)) -> Setup {
    let setup = Setup::start(&[("riga1", nodes)], 1).await;
    let names: Vec<String> = (1..nodes).map(|node| format!("riga1-{node}")).collect();
    for node in &names {
        setup.backend(node, "dispatch", &behave).await;
    }
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    setup.ready_at(&names).await;
    setup
}

fn long(behaviour: &mut Behaviour) {
    behaviour.service_time = LONG;
}

fn node_of(backend: &str) -> String {
    let (_, node) = backend.split_once('@').expect("SERVICE@NODE");
    node.to_owned()
}

fn assert_refused(answer: &Answer, outcome: &str) {
    let seen = (answer.status, answer.outcome());
    assert_eq!(seen, (503, Some(outcome)), "{}", answer.text());
}

/// Fails the test unless an idempotent request was served and a non-idempotent one ran once.
fn assert_kept(setup: &Setup, path: &str, answer: &Answer) {
    if path == IDEMPOTENT {
        assert_eq!(answer.status, 200, "{}", answer.text());
        assert_eq!(answer.json()["echo"], "mine");
    } else {
        assert_refused(answer, "may-have-run");
        assert_eq!(setup.ledger.count(path), 1);
    }
}

#[tokio::test]
async fn a_backend_server_is_killed_in_the_middle_of_a_request() {
    for path in [IDEMPOTENT, NON_IDEMPOTENT] {
        let setup = fleet(3, long).await;
        let (answer, ()) = tokio::join!(setup.ask("riga1-0", path, "mine"), async {
            let at = setup.begun(path, 1).await;
            setup.with_backend(&at, nutmegwheel_support::Backend::kill);
        });
        assert_kept(&setup, path, &answer);
    }
}

#[tokio::test]
async fn a_node_is_killed_in_the_middle_of_a_request() {
    for path in [IDEMPOTENT, NON_IDEMPOTENT] {
        let setup = fleet(3, long).await;
        let (answer, ()) = tokio::join!(setup.ask("riga1-0", path, "mine"), async {
            let at = setup.begun(path, 1).await;
            setup.signal(&node_of(&at), "KILL");
        });
        assert_kept(&setup, path, &answer);
    }
}

#[tokio::test]
async fn a_node_freezes_in_the_middle_of_a_request_and_goes_on_later() {
    for path in [IDEMPOTENT, NON_IDEMPOTENT] {
        let setup = fleet(3, long).await;
        let (answer, frozen) = tokio::join!(setup.ask("riga1-0", path, "mine"), async {
            let frozen = node_of(&setup.begun(path, 1).await);
            setup.signal(&frozen, "STOP");
            frozen
        });
        assert_kept(&setup, path, &answer);
        // The frozen node may have been the steward of the rates, whose lease is waited out.
        setup
            .until("others are served while the node is frozen", async || {
                let other = setup.ask("riga1-0", IDEMPOTENT, "other").await;
                other.status == 200 && other.json()["echo"] == "other"
            })
            .await;
        setup.signal(&frozen, "CONT");
        setup.door_serves(&frozen).await;
        let quick = |behaviour: &mut Behaviour| behaviour.service_time = Duration::ZERO;
        setup.with_each_backend(|backend| backend.set_behaviour(quick));
        for n in 0..20 {
            let body = format!("after-{n}");
            let (left, right) = tokio::join!(
                setup.ask("riga1-0", IDEMPOTENT, &body),
                setup.ask(&frozen, IDEMPOTENT, "beside"),
            );
            assert_eq!(left.json()["echo"], body, "{}", left.text());
            assert_eq!(right.json()["echo"], "beside", "{}", right.text());
        }
        if path == NON_IDEMPOTENT {
            assert_eq!(setup.ledger.count(path), 1);
        }
    }
}

#[tokio::test]
async fn what_a_frozen_node_did_not_run_never_runs_later() {
    let setup = fleet(2, |_| {}).await;
    setup.signal("riga1-1", "STOP");
    let bodies: Vec<String> = (0..8).map(|n| format!("bill-{n}")).collect();
    let mut answers = Vec::new();
    for body in &bodies {
        let fields = [("authorization", KEY), ("nutmegwheel-deadline-ms", "1500")];
        answers.push(setup.call("riga1-0", NON_IDEMPOTENT, &fields, body).await);
    }
    setup.signal("riga1-1", "CONT");
    tokio::time::sleep(LATE).await;
    for (body, answer) in bodies.iter().zip(&answers) {
        assert_ne!(answer.status, 200, "{}", answer.text());
        let runs = setup.ledger.runs();
        let ran = runs
            .iter()
            .filter(|run| run.body == body.as_bytes())
            .count();
        assert!(ran <= 1, "{body} ran {ran} times");
        let proved = answer.outcome() == Some("not-run");
        assert!(!proved || ran == 0, "{body} ran after {}", answer.text());
    }
    setup
        .until("the node that was frozen serves again", async || {
            setup.ask("riga1-0", IDEMPOTENT, "again").await.status == 200
        })
        .await;
}

#[tokio::test]
async fn answers_cut_short_are_never_passed_on() {
    for fault in [Fault::Truncate, Fault::Disconnect] {
        let setup = fleet(4, |_| {}).await;
        setup.with_backend("dispatch@riga1-1", |backend| {
            backend.set_behaviour(|behaviour| behaviour.fault = fault.clone());
        });
        for n in 0..20 {
            let body = format!("{n}");
            let answer = setup.ask("riga1-0", IDEMPOTENT, &body).await;
            assert_eq!(answer.status, 200, "{fault:?}: {}", answer.text());
            assert_eq!(answer.json()["echo"], body);
        }
        for n in 0..20 {
            let body = format!("bill-{n}");
            let answer = setup.ask("riga1-0", NON_IDEMPOTENT, &body).await;
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
async fn a_request_that_crashes_backend_servers_brings_down_two_at_most() {
    let setup = fleet(6, |behaviour| {
        behaviour.fault = Fault::CrashOn(b"poison".to_vec());
    })
    .await;
    for resend in 0..10 {
        let door = format!("riga1-{}", resend % 6);
        let answer = setup.ask(&door, IDEMPOTENT, "poison").await;
        assert_ne!(answer.status, 200, "{}", answer.text());
        assert!(setup.deaths() <= MAX_DEATHS, "{} deaths", setup.deaths());
    }
    for node in 0..6 {
        let answer = setup
            .ask(&format!("riga1-{node}"), IDEMPOTENT, "poison")
            .await;
        assert_eq!(answer.reason(), "quarantined", "{}", answer.text());
        assert_refused(&answer, "do-not-resend");
        let innocent = setup
            .ask(&format!("riga1-{node}"), IDEMPOTENT, "innocent")
            .await;
        assert_eq!(innocent.status, 200, "{}", innocent.text());
    }
}

#[tokio::test]
async fn innocents_that_share_a_crash_with_poison_are_served() {
    let setup = fleet(6, |behaviour| {
        behaviour.service_time = Duration::from_millis(300);
        behaviour.fault = Fault::CrashOn(b"poison".to_vec());
    })
    .await;
    let innocents: Vec<_> = (0..10)
        .map(|n| (n, format!("innocent-{n}")))
        .map(|(n, body)| setup.spawn_ask(&format!("riga1-{}", n % 6), IDEMPOTENT, &body))
        .collect();
    setup.begun(IDEMPOTENT, 1).await;
    for door in ["riga1-0", "riga1-3", "riga1-5"] {
        let answer = setup.ask(door, IDEMPOTENT, "poison").await;
        assert_ne!(answer.status, 200, "{}", answer.text());
    }
    for (n, asked) in innocents.into_iter().enumerate() {
        let answer = asked.await.expect("an answer");
        assert_eq!(answer.status, 200, "{n}: {}", answer.text());
        assert_eq!(answer.json()["echo"], format!("innocent-{n}"));
    }
    assert!(setup.deaths() <= MAX_DEATHS, "{} deaths", setup.deaths());
}

#[tokio::test]
async fn a_node_and_a_backend_server_are_lost_together() {
    let setup = fleet(4, long).await;
    let (answer, ()) = tokio::join!(setup.ask("riga1-0", IDEMPOTENT, "mine"), async {
        let first = setup.begun(IDEMPOTENT, 1).await;
        setup.with_backend(&first, nutmegwheel_support::Backend::kill);
        let second = setup.begun(IDEMPOTENT, 2).await;
        setup.signal(&node_of(&second), "KILL");
    });
    assert_kept(&setup, IDEMPOTENT, &answer);
}
