//! A non-idempotent request runs at most once, despite resends, lost responses and killed
//! processes.

mod common;

use std::time::Duration;

use common::{KEY, Setup};
use nutmegwheel_support::Fault;

const BILL: &str = "/dispatch/bill";

/// The data centres and their numbers of nodes: three seeds each, so that one of them may restart.
const DATA_CENTRES: &[(&str, usize)] = &[("riga1", 3), ("riga2", 3)];

async fn start_fleet() -> Setup {
    let setup = Setup::start(DATA_CENTRES, 1).await;
    setup.start_backend("riga1-1", "dispatch", |_| {}).await;
    setup.start_backend("riga2-1", "dispatch", |_| {}).await;
    setup.wait_for_services(&["dispatch"]).await;
    setup
        .wait_until("claims are granted", async || {
            let fields = [("authorization", KEY), ("idempotency-key", "riga1/probe")];
            let local = setup.call("riga1-0", BILL, &fields, "").await;
            let fields = [("authorization", KEY), ("idempotency-key", "riga2/probe")];
            let remote = setup.call("riga2-0", BILL, &fields, "").await;
            local.status == 200 && remote.status == 200
        })
        .await;
    setup
}

fn fields(id: &str) -> [(&str, &str); 2] {
    [("authorization", KEY), ("idempotency-key", id)]
}

fn run_count(setup: &Setup, body: &str) -> usize {
    let runs = setup.ledger.runs();
    runs.iter()
        .filter(|run| run.body == body.as_bytes())
        .count()
}

#[tokio::test]
async fn resend_gets_first_response_at_every_ingress_node() {
    let setup = start_fleet().await;
    let first = setup.call("riga1-0", BILL, &fields("a"), "one").await;
    assert_eq!(first.status, 200, "{}", first.text());
    setup
        .wait_until("the response is stored", async || {
            let again = setup.call("riga1-2", BILL, &fields("a"), "one").await;
            again.fields.contains_key("nutmegwheel-replayed")
        })
        .await;
    for ingress in ["riga1-0", "riga1-1", "riga2-0", "riga2-2"] {
        let again = setup.call(ingress, BILL, &fields("a"), "one").await;
        assert_eq!(again.status, 200, "{ingress}: {}", again.text());
        assert_eq!(again.body, first.body);
    }
    assert_eq!(run_count(&setup, "one"), 1);
}

#[tokio::test]
async fn concurrent_sends_through_several_ingress_nodes_run_once() {
    let setup = start_fleet().await;
    for round in 0..10 {
        let (id, body) = (format!("race-{round}"), format!("body-{round}"));
        let fields = fields(&id);
        let sends = ["riga1-0", "riga1-2", "riga2-0", "riga2-2"]
            .map(|ingress| setup.call(ingress, BILL, &fields, &body));
        let [a, b, c, d] = sends;
        let answers: [_; 4] = tokio::join!(a, b, c, d).into();
        assert!(answers.iter().filter(|answer| answer.status == 200).count() <= 4);
        setup
            .wait_until("a resend is answered by the first run", async || {
                setup.call("riga1-0", BILL, &fields, &body).await.status == 200
            })
            .await;
        assert_eq!(run_count(&setup, &body), 1, "round {round}");
    }
}

#[tokio::test]
async fn interrupted_run_is_never_retried() {
    let setup = start_fleet().await;
    for backend in setup.backends.lock().unwrap().iter() {
        backend.set_behaviour(|behaviour| behaviour.fault = Fault::Disconnect);
    }
    let broken = setup.call("riga1-0", BILL, &fields("b"), "two").await;
    assert_eq!(broken.status, 503, "{}", broken.text());
    assert_eq!(broken.outcome(), Some("may-have-run"));
    for backend in setup.backends.lock().unwrap().iter() {
        backend.set_behaviour(|behaviour| behaviour.fault = Fault::None);
    }
    for ingress in ["riga1-0", "riga1-2", "riga2-0"] {
        let again = setup.call(ingress, BILL, &fields("b"), "two").await;
        assert_eq!(
            (again.status, again.reason().as_str()),
            (503, "in-progress")
        );
    }
    assert_eq!(run_count(&setup, "two"), 1);
}

#[tokio::test]
async fn run_continues_after_caller_disconnects_and_resend_gets_response() {
    let setup = start_fleet().await;
    for backend in setup.backends.lock().unwrap().iter() {
        backend.set_behaviour(|behaviour| behaviour.service_time = Duration::from_millis(800));
    }
    let fields = fields("c");
    let sent = setup.call("riga1-0", BILL, &fields, "three");
    let left = tokio::time::timeout(Duration::from_millis(300), sent).await;
    assert!(left.is_err(), "the caller left before the answer");
    setup
        .wait_until("a resend gets the answer", async || {
            setup.call("riga2-0", BILL, &fields, "three").await.status == 200
        })
        .await;
    assert_eq!(run_count(&setup, "three"), 1);
}

#[tokio::test]
async fn claims_survive_seed_restarts() {
    let mut setup = start_fleet().await;
    let first = setup
        .call("riga1-0", BILL, &fields("riga1/d"), "four")
        .await;
    assert_eq!(first.status, 200);
    // Nodes of the home data centre, including the seed `riga1-0`, are restarted in turn and lose
    // their in-memory state.
    for node in ["riga1-0", "riga1-2"] {
        setup.fleet.process(node).kill();
        setup.fleet.restart(node).await.expect("it starts again");
        setup
            .fleet
            .wait_until_ready()
            .await
            .expect("it serves again");
        setup
            .wait_until("the node has recovered", async || {
                let again = setup
                    .call("riga2-0", BILL, &fields("riga1/d"), "four")
                    .await;
                again.status == 200
            })
            .await;
    }
    assert_eq!(run_count(&setup, "four"), 1);
}

#[tokio::test]
async fn refuses_claims_while_home_data_centre_is_frozen() {
    let setup = start_fleet().await;
    let home_vms = ["riga1-0", "riga1-1", "riga1-2", "control-0"];
    let is_home = |name: &str| home_vms.contains(&name);
    for process in setup.fleet.nodes.iter().chain(&setup.fleet.control) {
        if is_home(&process.vm.name) {
            process.signal("STOP");
        }
    }
    let refused = setup
        .call("riga2-0", BILL, &fields("riga1/e"), "five")
        .await;
    let seen = (refused.status, refused.reason());
    assert_eq!(seen, (503, "claim-unavailable".to_owned()));
    assert_eq!(refused.outcome(), Some("not-run"));
    // The first sends may reach a VM whose freeze is not detected yet. They must not run twice.
    let sends = std::sync::atomic::AtomicUsize::new(0);
    setup
        .wait_until("the other data centre serves by itself", async || {
            let send = sends.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
            let (id, body) = (format!("riga2/f{send}"), format!("six-{send}"));
            let served = setup.call("riga2-0", BILL, &fields(&id), &body).await;
            served.status == 200
        })
        .await;
    for process in setup.fleet.nodes.iter().chain(&setup.fleet.control) {
        process.signal("CONT");
    }
    assert_eq!(run_count(&setup, "five"), 0);
    for send in 0..sends.into_inner() {
        assert!(
            run_count(&setup, &format!("six-{send}")) <= 1,
            "send {send}"
        );
    }
}
