//! Links between processes that go silent, are slow, damaged or cut, with a relay before each.

mod common;

use std::time::{Duration, Instant};

use common::{IN_FORCE, KEY, Setup};
use nutmegwheel_support::{
    Answer,
    relay::{Direction, Relay},
};

const IDEMPOTENT: &str = "/dispatch/crew";
const NON_IDEMPOTENT: &str = "/dispatch/bill";
/// The deadline of a request that is sent while links are silent, in ms.
const SHORT_DEADLINE_MS: &str = "1500";
/// A time in which silent links are found out.
const SILENCE: Duration = Duration::from_millis(2500);
/// The bytes after which a fault strikes: in a head, in a body, and later.
const PLACES: [usize; 6] = [0, 9, 60, 300, 2000, 9000];

/// A door `riga1-0` and two nodes with backend servers.
async fn fleet() -> Setup {
    let setup = Setup::start_relayed(&[("riga1", 3)], 1).await;
    for node in ["riga1-1", "riga1-2"] {
        setup.backend(node, "dispatch", |_| {}).await;
    }
    setup.ready_at(&["riga1-1", "riga1-2"]).await;
    setup
}

fn relays(setup: &Setup, change: impl Fn(&Relay)) {
    for process in setup.fleet.control.iter().chain(&setup.fleet.nodes) {
        change(setup.fleet.relay(&process.vm.name));
    }
}

async fn ask_soon(setup: &Setup, node: &str, path: &str, body: &str) -> Answer {
    let deadline = ("nutmegwheel-deadline-ms", SHORT_DEADLINE_MS);
    let fields = [("authorization", KEY), deadline];
    setup.call(node, path, &fields, body).await
}

/// Fails the test unless an answer is the request's own, or a refusal that keeps its word.
fn assert_own(setup: &Setup, answer: &Answer, body: &str) {
    let runs = setup.ledger.runs();
    let ran = runs
        .iter()
        .filter(|run| run.body == body.as_bytes())
        .count();
    if answer.status == 200 {
        assert_eq!(answer.json()["echo"], body);
    } else {
        assert!(matches!(answer.status, 503 | 504), "{}", answer.text());
        let proved = answer.outcome() == Some("not-run");
        assert!(!proved || ran == 0, "it ran: {}", answer.text());
    }
    let once = runs
        .iter()
        .any(|run| run.path == NON_IDEMPOTENT && run.body == body.as_bytes());
    assert!(!once || ran == 1, "{body} ran {ran} times");
}

async fn served_again(setup: &Setup) {
    let began = Instant::now();
    setup
        .until("a request is served", async || {
            ask_soon(setup, "riga1-0", IDEMPOTENT, "again").await.status == 200
        })
        .await;
    assert!(began.elapsed() < IN_FORCE, "{:?}", began.elapsed());
}

#[tokio::test]
async fn connections_that_went_silent_for_good_are_replaced() {
    let setup = fleet().await;
    for round in 0..2 {
        assert_eq!(setup.ask("riga1-0", IDEMPOTENT, "x").await.status, 200);
        relays(&setup, Relay::silence_existing);
        for n in 0..3 {
            let body = format!("bill-{round}-{n}");
            let answer = ask_soon(&setup, "riga1-0", NON_IDEMPOTENT, &body).await;
            assert_own(&setup, &answer, &body);
        }
        served_again(&setup).await;
    }
}

#[tokio::test]
async fn silence_everywhere_ends_in_refusals_and_service_comes_back() {
    let setup = fleet().await;
    relays(&setup, Relay::silence_all);
    for n in 0..2 {
        let body = format!("bill-{n}");
        let answer = ask_soon(&setup, "riga1-0", NON_IDEMPOTENT, &body).await;
        assert_ne!(answer.status, 200);
        assert_own(&setup, &answer, &body);
    }
    relays(&setup, Relay::clear_faults);
    served_again(&setup).await;
}

#[tokio::test]
async fn slow_and_held_answers_reach_only_their_own_request() {
    let setup = fleet().await;
    relays(&setup, |relay| relay.delay(Duration::from_millis(20)));
    ask_many(&setup, "slow", async || {}).await;
    relays(&setup, Relay::clear_faults);
    for held in [Duration::from_millis(300), SILENCE] {
        ask_many(&setup, &format!("held-{held:?}"), async || {
            for node in ["riga1-1", "riga1-2"] {
                setup.fleet.relay(node).hold();
            }
            tokio::time::sleep(held).await;
            relays(&setup, Relay::release);
        })
        .await;
        served_again(&setup).await;
        ask_many(&setup, &format!("after-{held:?}"), async || {}).await;
    }
}

/// Asks many times at once, while something happens.
async fn ask_many(setup: &Setup, name: &str, happens: impl AsyncFnOnce()) {
    let bodies: Vec<String> = (0..20).map(|n| format!("{name}-{n}")).collect();
    let ask = |(n, body): (usize, &String)| {
        let path = if n % 2 == 0 {
            IDEMPOTENT
        } else {
            NON_IDEMPOTENT
        };
        setup.spawn_ask("riga1-0", path, body)
    };
    let asked: Vec<_> = bodies.iter().enumerate().map(ask).collect();
    happens().await;
    for (asked, body) in asked.into_iter().zip(&bodies) {
        assert_own(setup, &asked.await.expect("an answer"), body);
    }
}

#[tokio::test]
async fn damaged_bytes_never_reach_a_caller() {
    let setup = fleet().await;
    let long = "x".repeat(3000);
    for direction in [Direction::ToTarget, Direction::FromTarget] {
        for place in PLACES {
            for faulty in [Relay::truncate_after, Relay::corrupt_after] {
                for node in ["riga1-1", "riga1-2"] {
                    faulty(setup.fleet.relay(node), direction, place);
                }
                for (n, path) in [IDEMPOTENT, NON_IDEMPOTENT]
                    .iter()
                    .cycle()
                    .take(6)
                    .enumerate()
                {
                    let body =
                        format!("{direction:?}-{place}-{n}-{:p}-{long}", faulty as *const ());
                    let answer = ask_soon(&setup, "riga1-0", path, &body).await;
                    assert_own(&setup, &answer, &body);
                }
            }
        }
    }
    relays(&setup, Relay::clear_faults);
    served_again(&setup).await;
}

#[tokio::test]
async fn data_centres_that_are_cut_off_from_each_other_serve_and_converge_later() {
    let setup = Setup::start_relayed(&[("riga1", 2), ("riga2", 3)], 1).await;
    for node in ["riga1-1", "riga2-1"] {
        setup.backend(node, "dispatch", |_| {}).await;
    }
    setup.ready_at(&["riga1-1", "riga2-1"]).await;
    for process in setup.fleet.control.iter().chain(&setup.fleet.nodes) {
        let others = if process.vm.data_centre == "riga1" {
            "riga2"
        } else {
            "riga1"
        };
        setup.fleet.relay(&process.vm.name).block_matching(others);
    }
    tokio::time::sleep(SILENCE).await;
    setup.change(10, common::CONFIGURATION).await;
    for (node, own) in [
        ("riga1-0", "dispatch@riga1-1"),
        ("riga2-0", "dispatch@riga2-1"),
    ] {
        setup
            .until("the data centre serves alone", async || {
                ask_soon(&setup, node, IDEMPOTENT, "x").await.status == 200
            })
            .await;
        for n in 0..5 {
            let body = format!("{node}-{n}");
            let answer = ask_soon(&setup, node, IDEMPOTENT, &body).await;
            assert_eq!(answer.status, 200, "{}", answer.text());
            let runs = setup.ledger.runs();
            let last = runs.last().expect("a run");
            assert_eq!(last.backend, own);
        }
    }
    relays(&setup, Relay::clear_faults);
    setup.version_everywhere(3).await;
    setup.with_backend("dispatch@riga2-1", nutmegwheel_support::Backend::kill);
    setup
        .until("the data centres serve for each other again", async || {
            ask_soon(&setup, "riga2-0", IDEMPOTENT, "across")
                .await
                .status
                == 200
        })
        .await;
}
