//! A client request causes a bounded number of retries over its whole chain, whoever sends them.

mod common;

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use common::{KEY, Setup};
use nutmegwheel_support::{Answer, Behaviour, Fault};

/// The retries of one client request in the configuration of these tests.
const RETRIES: usize = 3;
/// How often each layer sends a failed call again by itself.
const OWN_RETRIES: u32 = 3;
/// A time that is far below the deadline of a request, with room for a busy machine.
const AT_ONCE: Duration = Duration::from_secs(2);

/// The chain from its top to its bottom, with the node of each layer.
const CHAIN: [(&str, &str, &str); 4] = [
    ("riga1-0", "tally-portal", "/tally-portal/count"),
    ("riga1-1", "dispatch", "/dispatch/crew"),
    ("riga1-2", "shiftbook", "/shiftbook/read"),
    ("riga1-3", "intake", "/intake/take"),
];

/// Starts the chain, every layer of which retries.
async fn chain() -> Setup {
    let setup = Setup::start(&[("riga1", 4)], 1).await;
    for (layer, (node, service, path)) in CHAIN.into_iter().enumerate() {
        let below = CHAIN.get(layer + 1).map(|below| below.2.to_owned());
        let behave = |behaviour: &mut Behaviour| {
            behaviour.own_retries = OWN_RETRIES;
            behaviour
                .calls
                .extend(below.map(|below| (path.to_owned(), vec![below])));
        };
        setup.backend(node, service, behave).await;
    }
    setup.serving(&CHAIN.map(|(_, service, _)| service)).await;
    setup
}

/// Fails the test when any call of a client request ran more often than the budget allows.
fn assert_bounded(setup: &Setup, what: &str) {
    let mut runs: HashMap<(String, String), usize> = HashMap::new();
    for run in setup.ledger.runs() {
        *runs.entry((run.root, run.path)).or_default() += 1;
    }
    for ((root, path), count) in runs {
        assert!(
            count <= 1 + RETRIES,
            "{what}: {count} runs of {path} for {root}"
        );
    }
}

fn assert_says_when(answer: &Answer) {
    let fields = &answer.fields;
    assert!(fields.contains_key("retry-after"), "{fields:?}");
    assert!(
        fields.contains_key("nutmegwheel-retry-after-ms"),
        "{fields:?}"
    );
}

#[tokio::test]
async fn a_chain_whose_every_layer_retries_keeps_to_one_budget() {
    let setup = chain().await;
    let faults = [
        Fault::Disconnect,
        Fault::Truncate,
        Fault::Status(500),
        Fault::Status(429),
        Fault::Shed,
    ];
    for fault in faults {
        setup.with_backend("intake@riga1-3", |backend| {
            backend.set_behaviour(|behaviour| behaviour.fault = fault.clone());
        });
        for _ in 0..5 {
            let answer = setup.ask("riga1-0", CHAIN[0].2, "x").await;
            assert_ne!(answer.status, 200, "{fault:?}");
        }
        assert_bounded(&setup, &format!("{fault:?}"));
    }
}

#[tokio::test]
async fn faults_in_every_layer_keep_to_one_budget() {
    let setup = chain().await;
    for (node, service, _) in &CHAIN[1..] {
        setup.with_backend(&format!("{service}@{node}"), |backend| {
            backend.set_behaviour(|behaviour| behaviour.fault = Fault::Truncate);
        });
    }
    for _ in 0..5 {
        let answer = setup.ask("riga1-0", CHAIN[0].2, "x").await;
        assert_ne!(answer.status, 200);
    }
    assert_bounded(&setup, "truncated everywhere");
}

#[tokio::test]
async fn callers_that_resend_at_once_get_no_more_than_a_budget_each() {
    let setup = chain().await;
    setup.with_backend("intake@riga1-3", |backend| {
        backend.set_behaviour(|behaviour| behaviour.fault = Fault::Disconnect);
    });
    let resend = async || {
        for _ in 0..5 {
            setup.ask("riga1-0", CHAIN[0].2, "x").await;
        }
    };
    tokio::join!(resend(), resend(), resend(), resend());
    assert_bounded(&setup, "resent");
}

#[tokio::test]
async fn a_repeat_by_a_backend_server_is_debited_and_the_last_answer_comes_at_once() {
    let setup = Setup::start(&[("riga1", 2)], 1).await;
    let slow = |behaviour: &mut Behaviour| behaviour.service_time = Duration::from_secs(4);
    setup.backend("riga1-0", "tally-portal", slow).await;
    let broken = |behaviour: &mut Behaviour| behaviour.fault = Fault::Status(503);
    setup.backend("riga1-1", "dispatch", broken).await;
    setup.serving(&["tally-portal", "dispatch"]).await;
    let above = setup.ask("riga1-0", CHAIN[0].2, "x");
    let repeats = async {
        setup.begun(CHAIN[0].2, 1).await;
        let context = setup.ledger.runs()[0].fields["nutmegwheel-context"].clone();
        let fields = [
            ("nutmegwheel-context", context.as_str()),
            ("nutmegwheel-call", "7"),
        ];
        let at = setup.vm("riga1-0").backend;
        let mut answers = Vec::new();
        for _ in 0..RETRIES + 5 {
            let began = Instant::now();
            let answer = setup
                .fleet
                .caller
                .call("POST", at, "/dispatch/crew", &fields, "")
                .await;
            answers.push((answer.expect("the node answers"), began.elapsed()));
        }
        answers
    };
    let (_, answers) = tokio::join!(above, repeats);
    assert!(setup.ledger.count("/dispatch/crew") <= 1 + RETRIES);
    let (last, took) = &answers[answers.len() - 1];
    assert_eq!(
        (last.status, last.reason().as_str()),
        (503, "retries-spent")
    );
    assert!(*took < AT_ONCE, "{took:?}");
    assert_says_when(last);
}

#[tokio::test]
async fn calls_with_other_names_are_no_repeats() {
    let setup = Setup::start(&[("riga1", 2)], 1).await;
    let calls = vec!["/dispatch/crew".to_owned(); 2 * RETRIES];
    let many = |behaviour: &mut Behaviour| {
        behaviour.calls.insert(CHAIN[0].2.to_owned(), calls);
    };
    setup.backend("riga1-0", "tally-portal", many).await;
    setup.backend("riga1-1", "dispatch", |_| {}).await;
    setup.serving(&["tally-portal", "dispatch"]).await;
    let answer = setup
        .call("riga1-1", CHAIN[0].2, &[("authorization", KEY)], "x")
        .await;
    assert_eq!(answer.status, 200, "{}", answer.text());
    assert_eq!(setup.ledger.count("/dispatch/crew"), 2 * RETRIES);
}

/// What the first try left open stays open, whatever the next backend server says of its own.
#[tokio::test]
async fn a_refusal_after_a_run_that_broke_off_does_not_say_not_run() {
    const REQUESTS: usize = 30;
    let setup = Setup::start(&[("riga1", 3)], 1).await;
    let faults = [("riga1-1", Fault::Disconnect), ("riga1-2", Fault::Shed)];
    for (node, fault) in faults {
        let behave = |behaviour: &mut Behaviour| behaviour.fault = fault;
        setup.backend(node, "tally-portal", behave).await;
    }
    setup.ready_at(&["riga1-1", "riga1-2"]).await;
    for number in 0..REQUESTS {
        let body = format!("open-{number}");
        let answer = setup.ask("riga1-0", "/tally-portal/count", &body).await;
        let ran = setup.ledger.runs();
        if ran.iter().any(|run| run.body == body.as_bytes()) {
            assert_ne!(answer.outcome(), Some("not-run"), "{}", answer.text());
        }
    }
    assert!(!setup.ledger.runs().is_empty(), "no try has run");
}
