//! A request marked as non-idempotent runs at most once, whatever is resent, lost or killed.

mod common;

use std::time::Duration;

use common::{KEY, Setup};
use nutmegwheel_support::Fault;

const BILL: &str = "/dispatch/bill";

/// Three seeds in every data centre, so that one may restart.
const DATA_CENTRES: &[(&str, usize)] = &[("riga1", 3), ("riga2", 3)];

async fn setup() -> Setup {
    let setup = Setup::start(DATA_CENTRES, 1).await;
    setup.backend("riga1-1", "dispatch", |_| {}).await;
    setup.backend("riga2-1", "dispatch", |_| {}).await;
    setup.serving(&["dispatch"]).await;
    setup
        .until("claims are granted", async || {
            let fields = [("authorization", KEY), ("idempotency-key", "riga1/probe")];
            let near = setup.call("riga1-0", BILL, &fields, "").await;
            let fields = [("authorization", KEY), ("idempotency-key", "riga2/probe")];
            let far = setup.call("riga2-0", BILL, &fields, "").await;
            near.status == 200 && far.status == 200
        })
        .await;
    setup
}

fn fields(id: &str) -> [(&str, &str); 2] {
    [("authorization", KEY), ("idempotency-key", id)]
}

fn runs(setup: &Setup, body: &str) -> usize {
    let runs = setup.ledger.runs();
    runs.iter()
        .filter(|run| run.body == body.as_bytes())
        .count()
}

#[tokio::test]
async fn a_resend_gets_the_answer_of_the_first_run_at_every_door() {
    let setup = setup().await;
    let first = setup.call("riga1-0", BILL, &fields("a"), "one").await;
    assert_eq!(first.status, 200, "{}", first.text());
    setup
        .until("the answer is kept", async || {
            let again = setup.call("riga1-2", BILL, &fields("a"), "one").await;
            again.fields.contains_key("nutmegwheel-replayed")
        })
        .await;
    for door in ["riga1-0", "riga1-1", "riga2-0", "riga2-2"] {
        let again = setup.call(door, BILL, &fields("a"), "one").await;
        assert_eq!(again.status, 200, "{door}: {}", again.text());
        assert_eq!(again.body, first.body);
    }
    assert_eq!(runs(&setup, "one"), 1);
}

#[tokio::test]
async fn racing_sends_through_all_doors_run_once() {
    let setup = setup().await;
    for round in 0..10 {
        let (id, body) = (format!("race-{round}"), format!("body-{round}"));
        let fields = fields(&id);
        let sends = ["riga1-0", "riga1-2", "riga2-0", "riga2-2"]
            .map(|door| setup.call(door, BILL, &fields, &body));
        let [a, b, c, d] = sends;
        let answers: [_; 4] = tokio::join!(a, b, c, d).into();
        assert!(answers.iter().filter(|answer| answer.status == 200).count() <= 4);
        setup
            .until("a resend is answered by the first run", async || {
                setup.call("riga1-0", BILL, &fields, &body).await.status == 200
            })
            .await;
        assert_eq!(runs(&setup, &body), 1, "round {round}");
    }
}

#[tokio::test]
async fn a_run_that_breaks_off_is_never_tried_again() {
    let setup = setup().await;
    for backend in setup.backends.lock().unwrap().iter() {
        backend.set_behaviour(|behaviour| behaviour.fault = Fault::Disconnect);
    }
    let broken = setup.call("riga1-0", BILL, &fields("b"), "two").await;
    assert_eq!(broken.status, 503, "{}", broken.text());
    assert_eq!(broken.outcome(), Some("may-have-run"));
    for backend in setup.backends.lock().unwrap().iter() {
        backend.set_behaviour(|behaviour| behaviour.fault = Fault::None);
    }
    for door in ["riga1-0", "riga1-2", "riga2-0"] {
        let again = setup.call(door, BILL, &fields("b"), "two").await;
        assert_eq!(
            (again.status, again.reason().as_str()),
            (503, "in-progress")
        );
    }
    assert_eq!(runs(&setup, "two"), 1);
}

#[tokio::test]
async fn a_run_goes_on_when_its_caller_leaves_and_a_resend_gets_its_answer() {
    let setup = setup().await;
    for backend in setup.backends.lock().unwrap().iter() {
        backend.set_behaviour(|behaviour| behaviour.service_time = Duration::from_millis(800));
    }
    let fields = fields("c");
    let sent = setup.call("riga1-0", BILL, &fields, "three");
    let left = tokio::time::timeout(Duration::from_millis(300), sent).await;
    assert!(left.is_err(), "the caller left before the answer");
    setup
        .until("a resend gets the answer", async || {
            setup.call("riga2-0", BILL, &fields, "three").await.status == 200
        })
        .await;
    assert_eq!(runs(&setup, "three"), 1);
}

#[tokio::test]
async fn a_restarted_seed_does_not_forget_a_claim() {
    let mut setup = setup().await;
    let first = setup
        .call("riga1-0", BILL, &fields("riga1/d"), "four")
        .await;
    assert_eq!(first.status, 200);
    // One after the other, every node that is a seed of the home loses its memory.
    for seed in ["riga1-0", "riga1-2"] {
        setup.fleet.process(seed).kill();
        setup.fleet.restart(seed).await.expect("it starts again");
        setup
            .fleet
            .wait_until_ready()
            .await
            .expect("it serves again");
        setup
            .until("the seed has recovered", async || {
                let again = setup
                    .call("riga2-0", BILL, &fields("riga1/d"), "four")
                    .await;
                again.status == 200
            })
            .await;
    }
    assert_eq!(runs(&setup, "four"), 1);
}

#[tokio::test]
async fn without_the_home_a_resend_elsewhere_is_refused_and_not_run() {
    let setup = setup().await;
    let at_home = ["riga1-0", "riga1-1", "riga1-2", "control-0"];
    let home = |name: &str| at_home.contains(&name);
    for process in setup.fleet.nodes.iter().chain(&setup.fleet.control) {
        if home(&process.vm.name) {
            process.signal("STOP");
        }
    }
    let refused = setup
        .call("riga2-0", BILL, &fields("riga1/e"), "five")
        .await;
    let seen = (refused.status, refused.reason());
    assert_eq!(seen, (503, "claim-unavailable".to_owned()));
    assert_eq!(refused.outcome(), Some("not-run"));
    // The first sends may go to a VM that is not yet known to be frozen; they are not run twice.
    let sends = std::sync::atomic::AtomicUsize::new(0);
    setup
        .until("the other data centre goes on by itself", async || {
            let send = sends.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
            let (id, body) = (format!("riga2/f{send}"), format!("six-{send}"));
            let served = setup.call("riga2-0", BILL, &fields(&id), &body).await;
            served.status == 200
        })
        .await;
    for process in setup.fleet.nodes.iter().chain(&setup.fleet.control) {
        process.signal("CONT");
    }
    assert_eq!(runs(&setup, "five"), 0);
    for send in 0..sends.into_inner() {
        assert!(runs(&setup, &format!("six-{send}")) <= 1, "send {send}");
    }
}
