//! Tests that planned shutdowns of nodes, control VMs and backend servers interrupt no request.

mod common;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use common::{KEY, Setup};
use nutmegwheel_support::{Answer, Backend, Behaviour, Caller};
use tokio::task::JoinHandle;

const PATH: &str = "/dispatch/crew";
const SERVICE_TIME: Duration = Duration::from_millis(40);
/// The service time of requests that are in progress when a shutdown begins.
const LONG_SERVICE_TIME: Duration = Duration::from_secs(1);
/// The time after which a leaving backend server gets no new requests.
const LEAVE_LIMIT: Duration = Duration::from_secs(3);
/// The time within which an idle process exits.
const EXIT_LIMIT: Duration = Duration::from_secs(15);
const PAUSE: Duration = Duration::from_millis(5);

/// Callers that send requests to ingress nodes until they are stopped, and collect all responses.
struct Traffic {
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<Vec<anyhow::Result<Answer>>>>,
}

impl Traffic {
    /// Starts one caller for each of the ingress nodes.
    fn spawn(setup: &Setup, ingress_nodes: &[&str]) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let spawn_caller = |node: &&str| {
            let (at, stop) = (setup.vm(node).callers, stop.clone());
            tokio::spawn(async move {
                let (caller, mut answers) = (Caller::open(), Vec::new());
                while !stop.load(Ordering::SeqCst) {
                    let fields = [("authorization", KEY)];
                    let answer = caller.call("POST", at, PATH, &fields, "x").await;
                    let has_failed = answer.is_err();
                    answers.push(answer);
                    if has_failed {
                        break;
                    }
                    tokio::time::sleep(PAUSE).await;
                }
                answers
            })
        };
        let callers = ingress_nodes.iter().map(spawn_caller).collect();
        Self { stop, callers }
    }

    /// Stops the callers and returns the responses of each.
    async fn stop(self) -> Vec<Vec<anyhow::Result<Answer>>> {
        self.stop.store(true, Ordering::SeqCst);
        let mut answers = Vec::new();
        for caller in self.callers {
            answers.push(caller.await.expect("a caller"));
        }
        answers
    }
}

/// Asserts that every response is complete and either 200 or a refusal as `not-run`.
fn assert_served_or_not_run(answers: &[anyhow::Result<Answer>]) {
    assert!(!answers.is_empty());
    for answer in answers {
        let answer = answer.as_ref().expect("a complete response");
        let refused = answer.outcome() == Some("not-run");
        assert!(answer.status == 200 || refused, "{}", answer.text());
    }
}

/// Asserts that a node refused no request, as expected of an ingress node that keeps running.
fn assert_none_refused(answers: &[anyhow::Result<Answer>]) {
    let refused = answers
        .iter()
        .flatten()
        .filter(|answer| answer.status != 200);
    let refused: Vec<String> = refused.map(Answer::text).collect();
    assert!(
        refused.is_empty(),
        "{} of {}: {}",
        refused.len(),
        answers.len(),
        refused[0]
    );
}

/// Asserts that every response is 200 or a refusal as `not-run`, except that the last request may
/// fail to connect to a node that has shut down.
fn assert_served_until_closed(answers: &[anyhow::Result<Answer>]) {
    let (last, before) = answers.split_last().expect("answers");
    assert_served_or_not_run(before);
    if let Err(e) = last {
        let text = format!("{e:#}");
        assert!(text.contains("send"), "interrupted: {text}");
        assert!(text.contains("onnect"), "interrupted: {text}");
    }
}

async fn start_fleet(service_time: Duration) -> Setup {
    let setup = Setup::start(&[("riga1", 4)], 1).await;
    let configure = |behaviour: &mut Behaviour| behaviour.service_time = service_time;
    for node in ["riga1-1", "riga1-2"] {
        setup.start_backend(node, "dispatch", configure).await;
    }
    setup.wait_for_backends(&["riga1-1", "riga1-2"]).await;
    setup
}

/// Waits until more than ten further requests have started to run.
async fn wait_for_traffic(setup: &Setup) {
    let before = setup.ledger.count(PATH);
    setup
        .wait_until("traffic runs", async || {
            setup.ledger.count(PATH) > before + 10
        })
        .await;
}

async fn assert_clean_exit(setup: &mut Setup, name: &str) {
    let code = setup.fleet.process(name).wait_for_exit(EXIT_LIMIT).await;
    let log = setup.fleet.log(name);
    let end: Vec<&str> = log.lines().rev().take(8).collect();
    assert_eq!(code, Some(0), "{name}: {end:#?}");
}

#[tokio::test]
async fn node_restarts_under_traffic_without_interrupting_requests() {
    let mut setup = start_fleet(SERVICE_TIME).await;
    let traffic = Traffic::spawn(&setup, &["riga1-0", "riga1-0", "riga1-3"]);
    let leaving = Traffic::spawn(&setup, &["riga1-1", "riga1-1"]);
    wait_for_traffic(&setup).await;
    setup.signal("riga1-1", "TERM");
    assert_clean_exit(&mut setup, "riga1-1").await;
    for answers in leaving.stop().await {
        assert_served_until_closed(&answers);
    }
    wait_for_traffic(&setup).await;
    setup.fleet.restart("riga1-1").await.expect("it starts");
    setup.wait_until_serving("riga1-1").await;
    setup.wait_for_backends(&["riga1-1"]).await;
    let before = setup.ledger.runs().len();
    setup
        .wait_until("its backend server runs again", async || {
            let runs = setup.ledger.runs();
            runs[before..]
                .iter()
                .any(|run| run.backend == "dispatch@riga1-1")
        })
        .await;
    let answer = setup.call_with_key("riga1-1", PATH, "x").await;
    assert_eq!(answer.status, 200, "{}", answer.text());
    for answers in traffic.stop().await {
        assert_served_or_not_run(&answers);
        assert_none_refused(&answers);
    }
}

#[tokio::test]
async fn stopping_node_finishes_requests_in_progress() {
    let mut setup = start_fleet(LONG_SERVICE_TIME).await;
    let calls: Vec<_> = ["riga1-0", "riga1-1", "riga1-2", "riga1-3"]
        .iter()
        .map(|node| setup.spawn_call(node, PATH, "x"))
        .collect();
    setup.wait_for_run(PATH, 2).await;
    setup.signal("riga1-1", "TERM");
    for call in calls {
        let answer = call.await.expect("an answer");
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    assert_clean_exit(&mut setup, "riga1-1").await;
    assert_eq!(setup.ledger.count(PATH), 4, "one ran twice");
}

#[tokio::test]
async fn control_vms_stop_without_interrupting_traffic_and_changes() {
    let mut setup = Setup::start(&[("riga1", 2)], 3).await;
    setup.start_backend("riga1-1", "dispatch", |_| {}).await;
    setup.wait_for_backends(&["riga1-1"]).await;
    let traffic = Traffic::spawn(&setup, &["riga1-0", "riga1-1"]);
    wait_for_traffic(&setup).await;
    setup.signal("control-1", "TERM");
    assert_clean_exit(&mut setup, "control-1").await;
    wait_for_traffic(&setup).await;
    setup.fleet.restart("control-1").await.expect("it starts");
    setup.wait_until_serving("control-1").await;
    setup.signal("control-2", "TERM");
    assert_clean_exit(&mut setup, "control-2").await;
    setup
        .wait_until("changes are committed again", async || {
            let answer =
                setup
                    .fleet
                    .send_as_operator("PUT", "/v1/changes/10", common::CONFIGURATION);
            answer.await.is_ok_and(|answer| answer.status == 200)
        })
        .await;
    for answers in traffic.stop().await {
        assert_served_or_not_run(&answers);
        assert_none_refused(&answers);
    }
}

#[tokio::test]
async fn leaving_backend_server_gets_no_new_requests() {
    let setup = start_fleet(SERVICE_TIME).await;
    let traffic = Traffic::spawn(&setup, &["riga1-0", "riga1-1", "riga1-2", "riga1-3"]);
    wait_for_traffic(&setup).await;
    let left = Instant::now();
    let address = setup.with_backend("dispatch@riga1-1", |backend| {
        backend.leave();
        backend.address()
    });
    tokio::time::sleep(LEAVE_LIMIT).await;
    wait_for_traffic(&setup).await;
    for run in setup.ledger.runs() {
        let late = run.backend == "dispatch@riga1-1" && run.began > left + LEAVE_LIMIT;
        assert!(!late, "{address} got {} after it left", run.path);
    }
    for answers in traffic.stop().await {
        assert_served_or_not_run(&answers);
        assert_none_refused(&answers);
    }
}

#[tokio::test]
async fn leaving_backend_server_answers_requests_in_progress() {
    let setup = start_fleet(LONG_SERVICE_TIME).await;
    let calls: Vec<_> = (0..3)
        .map(|_| setup.spawn_call("riga1-0", PATH, "x"))
        .collect();
    setup.wait_for_run(PATH, 2).await;
    setup.with_backend("dispatch@riga1-1", Backend::leave);
    for call in calls {
        let answer = call.await.expect("an answer");
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    assert_eq!(setup.ledger.count(PATH), 3, "one ran twice");
}
