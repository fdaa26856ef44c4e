//! Under overload, requests of lower priority are shed first, promptly and without running, and
//! shedding ends soon after the overload.

mod common;

use std::time::{Duration, Instant};

use common::{KEY, Setup};
use nutmegwheel_support::{Answer, Behaviour, Caller};
use tokio::task::JoinHandle;

/// A path whose class has rank 0.
const HIGH_PRIORITY: &str = "/dispatch/crew";
/// A path of a class of rank 2 of the same service.
const LOW_PRIORITY: &str = "/dispatch/report";
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// The slots of each of the two backend servers.
const SLOTS: u16 = 4;
/// The number of callers of rank 2, several times the number of slots.
const LOW_PRIORITY_CALLERS: usize = 48;
/// The number of callers of rank 0, below the number of slots.
const HIGH_PRIORITY_CALLERS: usize = 3;
/// The duration of the overload.
const LOAD_TIME: Duration = Duration::from_secs(4);
/// The maximum latency of a refusal, far below the deadline of 5 s.
const FAST_REFUSAL_LIMIT: Duration = Duration::from_secs(2);

struct Exchange {
    body: String,
    answer: Answer,
    latency: Duration,
}

/// Starts callers that send one request after the other for `time`, with a pause only after a
/// refusal.
fn spawn_load(
    setup: &Setup,
    path: &'static str,
    callers: usize,
    time: Duration,
) -> Vec<JoinHandle<Vec<Exchange>>> {
    let spawn_caller = |number: usize| {
        let at = setup.fleet.nodes[number % setup.fleet.nodes.len()]
            .vm
            .callers;
        tokio::spawn(async move {
            let (caller, began, mut exchanges) = (Caller::open(), Instant::now(), Vec::new());
            while began.elapsed() < time {
                let body = format!("{path}-{number}-{}", exchanges.len());
                let sent = Instant::now();
                let fields = [("authorization", KEY)];
                let answer = caller.call("POST", at, path, &fields, body.clone()).await;
                let answer = answer.expect("the ingress node answers");
                if answer.status != 200 {
                    tokio::time::sleep(SERVICE_TIME).await;
                }
                exchanges.push(Exchange {
                    body,
                    answer,
                    latency: sent.elapsed(),
                });
            }
            exchanges
        })
    };
    (0..callers).map(spawn_caller).collect()
}

async fn join_all(callers: Vec<JoinHandle<Vec<Exchange>>>) -> Vec<Exchange> {
    let mut exchanges = Vec::new();
    for caller in callers {
        exchanges.extend(caller.await.expect("a caller"));
    }
    exchanges
}

fn served_count(exchanges: &[Exchange]) -> usize {
    exchanges
        .iter()
        .filter(|exchange| exchange.answer.status == 200)
        .count()
}

async fn start_fleet() -> Setup {
    let setup = Setup::start(&[("riga1", 3)], 1).await;
    let configure = |behaviour: &mut Behaviour| behaviour.service_time = SERVICE_TIME;
    for node in ["riga1-1", "riga1-2"] {
        setup
            .start_backend_with_slots(node, "dispatch", SLOTS, configure)
            .await;
    }
    setup.wait_for_backends(&["riga1-1", "riga1-2"]).await;
    setup
}

#[tokio::test]
async fn sheds_only_low_priority_requests_without_running_them() {
    let setup = start_fleet().await;
    // The concurrency limits of the backend servers must grow from their cold start first.
    join_all(spawn_load(
        &setup,
        HIGH_PRIORITY,
        HIGH_PRIORITY_CALLERS,
        LOAD_TIME / 2,
    ))
    .await;
    let low_priority = spawn_load(&setup, LOW_PRIORITY, LOW_PRIORITY_CALLERS, LOAD_TIME);
    let high_priority = join_all(spawn_load(
        &setup,
        HIGH_PRIORITY,
        HIGH_PRIORITY_CALLERS,
        LOAD_TIME,
    ))
    .await;
    let low_priority = join_all(low_priority).await;
    let lost: Vec<String> = high_priority
        .iter()
        .filter(|exchange| exchange.answer.status != 200)
        .map(|exchange| exchange.answer.text())
        .collect();
    assert!(
        served_count(&low_priority) > 0,
        "nothing of rank 2 was served"
    );
    assert!(
        lost.is_empty(),
        "{} of {}: {:?}",
        lost.len(),
        high_priority.len(),
        &lost[..1]
    );
    let runs = setup.ledger.runs();
    for exchange in low_priority
        .iter()
        .filter(|exchange| exchange.answer.status != 200)
    {
        let answer = &exchange.answer;
        assert!(
            exchange.latency < FAST_REFUSAL_LIMIT,
            "{:?}: {}",
            exchange.latency,
            answer.text()
        );
        assert!(
            answer.fields.contains_key("retry-after"),
            "{}",
            answer.text()
        );
        assert_eq!(answer.outcome(), Some("not-run"), "{}", answer.text());
        let ran = runs.iter().any(|run| run.body == exchange.body.as_bytes());
        assert!(!ran, "{} ran after {}", exchange.body, answer.text());
    }
}

#[tokio::test]
async fn stops_shedding_soon_after_slow_service_recovers() {
    let setup = start_fleet().await;
    let slow = |time: Duration| {
        setup.with_each_backend(|backend| {
            backend.set_behaviour(|behaviour| behaviour.service_time = time);
        });
    };
    join_all(spawn_load(
        &setup,
        LOW_PRIORITY,
        HIGH_PRIORITY_CALLERS,
        LOAD_TIME / 2,
    ))
    .await;
    slow(SERVICE_TIME * 50);
    let overloaded = join_all(spawn_load(
        &setup,
        LOW_PRIORITY,
        LOW_PRIORITY_CALLERS,
        LOAD_TIME,
    ))
    .await;
    assert!(
        served_count(&overloaded) < overloaded.len(),
        "there was no overload"
    );
    slow(SERVICE_TIME);
    setup
        .wait_until("all is served again", async || {
            let exchanges = join_all(spawn_load(&setup, LOW_PRIORITY, 2, SERVICE_TIME * 10)).await;
            served_count(&exchanges) == exchanges.len()
        })
        .await;
}

#[tokio::test]
async fn never_starts_expired_requests() {
    let setup = Setup::start(&[("riga1", 2)], 1).await;
    let slow = |behaviour: &mut Behaviour| behaviour.service_time = Duration::from_secs(1);
    setup
        .start_backend_with_slots("riga1-1", "dispatch", 1, slow)
        .await;
    setup.wait_for_backends(&["riga1-1"]).await;
    let running = setup.spawn_call("riga1-0", HIGH_PRIORITY, "running");
    setup.wait_for_run(HIGH_PRIORITY, 1).await;
    let fields = [("authorization", KEY), ("nutmegwheel-deadline-ms", "300")];
    for body in ["late-1", "late-2", "late-3"] {
        let answer = setup.call("riga1-0", HIGH_PRIORITY, &fields, body).await;
        assert_ne!(answer.status, 200, "{}", answer.text());
    }
    assert_eq!(running.await.expect("an answer").status, 200);
    let after = setup.call_with_key("riga1-0", HIGH_PRIORITY, "after").await;
    assert_eq!(after.status, 200, "{}", after.text());
    assert_eq!(
        setup.ledger.count(HIGH_PRIORITY),
        2,
        "an expired request was started"
    );
}

#[tokio::test]
async fn cancels_request_when_its_caller_disconnects() {
    let setup = Setup::start(&[("riga1", 2)], 1).await;
    let slow = |behaviour: &mut Behaviour| behaviour.service_time = Duration::from_secs(4);
    setup
        .start_backend_with_slots("riga1-1", "dispatch", 1, slow)
        .await;
    setup.wait_for_backends(&["riga1-1"]).await;
    let leaving = setup.spawn_call("riga1-0", HIGH_PRIORITY, "leaving");
    setup.wait_for_run(HIGH_PRIORITY, 1).await;
    setup.with_each_backend(|backend| {
        backend.set_behaviour(|behaviour| behaviour.service_time = Duration::ZERO);
    });
    leaving.abort();
    setup
        .wait_until("the backend server's connection is closed", async || {
            setup.ledger.cancelled() == 1
        })
        .await;
    let next = setup.call_with_key("riga1-0", HIGH_PRIORITY, "next").await;
    assert_eq!(next.status, 200, "{}", next.text());
    let runs = setup.ledger.runs();
    assert!(
        runs[0].ended.is_none(),
        "a cancelled request ran to its end"
    );
}
