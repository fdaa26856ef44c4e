//! Under overload the less important is shed first, at once, without running, and not for long.

mod common;

use std::time::{Duration, Instant};

use common::{KEY, Setup};
use nutmegwheel_support::{Answer, Behaviour, Caller};
use tokio::task::JoinHandle;

/// A path of a class of rank 0.
const IMPORTANT: &str = "/dispatch/crew";
/// A path of a class of rank 2 of the same service.
const UNIMPORTANT: &str = "/dispatch/report";
/// The time that a request takes.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// The slots of each of the two backend servers.
const SLOTS: u16 = 4;
/// The callers of unimportant work, several times as many as there are slots.
const UNIMPORTANT_CALLERS: usize = 48;
/// The callers of important work, fewer than there are slots.
const IMPORTANT_CALLERS: usize = 3;
/// The time for which the overload lasts.
const SURGE: Duration = Duration::from_secs(4);
/// A time far below the deadline of 5 s.
const AT_ONCE: Duration = Duration::from_secs(2);

struct Asked {
    body: String,
    answer: Answer,
    took: Duration,
}

/// Starts callers that ask without pause until the time is over.
fn surge(
    setup: &Setup,
    path: &'static str,
    callers: usize,
    time: Duration,
) -> Vec<JoinHandle<Vec<Asked>>> {
    let ask = |number: usize| {
        let at = setup.fleet.nodes[number % setup.fleet.nodes.len()]
            .vm
            .callers;
        tokio::spawn(async move {
            let (caller, began, mut asked) = (Caller::open(), Instant::now(), Vec::new());
            while began.elapsed() < time {
                let body = format!("{path}-{number}-{}", asked.len());
                let sent = Instant::now();
                let fields = [("authorization", KEY)];
                let answer = caller.call("POST", at, path, &fields, body.clone()).await;
                let answer = answer.expect("the door answers");
                if answer.status != 200 {
                    tokio::time::sleep(SERVICE_TIME).await;
                }
                asked.push(Asked {
                    body,
                    answer,
                    took: sent.elapsed(),
                });
            }
            asked
        })
    };
    (0..callers).map(ask).collect()
}

async fn all(callers: Vec<JoinHandle<Vec<Asked>>>) -> Vec<Asked> {
    let mut asked = Vec::new();
    for caller in callers {
        asked.extend(caller.await.expect("a caller"));
    }
    asked
}

fn served(asked: &[Asked]) -> usize {
    asked
        .iter()
        .filter(|asked| asked.answer.status == 200)
        .count()
}

async fn fleet() -> Setup {
    let setup = Setup::start(&[("riga1", 3)], 1).await;
    let behave = |behaviour: &mut Behaviour| behaviour.service_time = SERVICE_TIME;
    for node in ["riga1-1", "riga1-2"] {
        setup.backend_of(node, "dispatch", SLOTS, behave).await;
    }
    setup.ready_at(&["riga1-1", "riga1-2"]).await;
    setup
}

#[tokio::test]
async fn important_work_is_served_while_the_rest_is_shed_unrun_and_at_once() {
    let setup = fleet().await;
    // The backend servers grow out of their cold start first.
    all(surge(&setup, IMPORTANT, IMPORTANT_CALLERS, SURGE / 2)).await;
    let rest = surge(&setup, UNIMPORTANT, UNIMPORTANT_CALLERS, SURGE);
    let important = all(surge(&setup, IMPORTANT, IMPORTANT_CALLERS, SURGE)).await;
    let rest = all(rest).await;
    let lost: Vec<String> = important
        .iter()
        .filter(|asked| asked.answer.status != 200)
        .map(|asked| asked.answer.text())
        .collect();
    assert!(served(&rest) > 0, "nothing of rank 2 was served");
    assert!(
        lost.is_empty(),
        "{} of {}: {:?}",
        lost.len(),
        important.len(),
        &lost[..1]
    );
    let runs = setup.ledger.runs();
    for asked in rest.iter().filter(|asked| asked.answer.status != 200) {
        let answer = &asked.answer;
        assert!(asked.took < AT_ONCE, "{:?}: {}", asked.took, answer.text());
        assert!(
            answer.fields.contains_key("retry-after"),
            "{}",
            answer.text()
        );
        assert_eq!(answer.outcome(), Some("not-run"), "{}", answer.text());
        let ran = runs.iter().any(|run| run.body == asked.body.as_bytes());
        assert!(!ran, "{} ran after {}", asked.body, answer.text());
    }
}

#[tokio::test]
async fn everything_is_served_again_soon_after_a_slow_service_recovers() {
    let setup = fleet().await;
    let slow = |time: Duration| {
        setup.with_each_backend(|backend| {
            backend.set_behaviour(|behaviour| behaviour.service_time = time);
        });
    };
    all(surge(&setup, UNIMPORTANT, IMPORTANT_CALLERS, SURGE / 2)).await;
    slow(SERVICE_TIME * 50);
    let surged = all(surge(&setup, UNIMPORTANT, UNIMPORTANT_CALLERS, SURGE)).await;
    assert!(served(&surged) < surged.len(), "there was no overload");
    slow(SERVICE_TIME);
    setup
        .until("all is served again", async || {
            let asked = all(surge(&setup, UNIMPORTANT, 2, SERVICE_TIME * 10)).await;
            served(&asked) == asked.len()
        })
        .await;
}

#[tokio::test]
async fn expired_work_is_never_started() {
    let setup = Setup::start(&[("riga1", 2)], 1).await;
    let busy = |behaviour: &mut Behaviour| behaviour.service_time = Duration::from_secs(1);
    setup.backend_of("riga1-1", "dispatch", 1, busy).await;
    setup.ready_at(&["riga1-1"]).await;
    let running = setup.spawn_ask("riga1-0", IMPORTANT, "running");
    setup.begun(IMPORTANT, 1).await;
    let fields = [("authorization", KEY), ("nutmegwheel-deadline-ms", "300")];
    for body in ["late-1", "late-2", "late-3"] {
        let answer = setup.call("riga1-0", IMPORTANT, &fields, body).await;
        assert_ne!(answer.status, 200, "{}", answer.text());
    }
    assert_eq!(running.await.expect("an answer").status, 200);
    let after = setup.ask("riga1-0", IMPORTANT, "after").await;
    assert_eq!(after.status, 200, "{}", after.text());
    assert_eq!(setup.ledger.count(IMPORTANT), 2, "expired work was started");
}

#[tokio::test]
async fn a_caller_that_leaves_cancels_its_work() {
    let setup = Setup::start(&[("riga1", 2)], 1).await;
    let busy = |behaviour: &mut Behaviour| behaviour.service_time = Duration::from_secs(4);
    setup.backend_of("riga1-1", "dispatch", 1, busy).await;
    setup.ready_at(&["riga1-1"]).await;
    let leaving = setup.spawn_ask("riga1-0", IMPORTANT, "leaving");
    setup.begun(IMPORTANT, 1).await;
    setup.with_each_backend(|backend| {
        backend.set_behaviour(|behaviour| behaviour.service_time = Duration::ZERO);
    });
    leaving.abort();
    setup
        .until("the backend server's connection is closed", async || {
            setup.ledger.cancelled() == 1
        })
        .await;
    let next = setup.ask("riga1-0", IMPORTANT, "next").await;
    assert_eq!(next.status, 200, "{}", next.text());
    let runs = setup.ledger.runs();
    assert!(runs[0].ended.is_none(), "cancelled work went on to its end");
}
