//! Tests that a client request causes a bounded number of retries over its whole call chain,
//! whichever process sends them.

mod common;

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use common::{KEY, Setup};
use nutmegwheel_support::{Answer, Behaviour, Fault};

/// The retry budget of one client request in the configuration of these tests.
const RETRIES: usize = 3;
/// The number of times that each layer retries a failed call by itself.
const LAYER_RETRIES: u32 = 3;
/// The maximum latency of a prompt refusal: far below the deadline of a request, with a margin for
/// a loaded machine.
const FAST_REFUSAL_LIMIT: Duration = Duration::from_secs(2);

/// The node, service and path of each layer of the chain, from top to bottom.
const CHAIN: [(&str, &str, &str); 4] = [
    ("riga1-0", "tally-portal", "/tally-portal/count"),
    ("riga1-1", "dispatch", "/dispatch/crew"),
    ("riga1-2", "shiftbook", "/shiftbook/read"),
    ("riga1-3", "intake", "/intake/take"),
];

/// Starts a backend server for each layer of the chain, every one of which retries.
async fn start_chain() -> Setup {
    let setup = Setup::start(&[("riga1", 4)], 1).await;
    for (layer, (node, service, path)) in CHAIN.into_iter().enumerate() {
        let downstream = CHAIN
            .get(layer + 1)
            .map(|downstream| downstream.2.to_owned());
        let configure = |behaviour: &mut Behaviour| {
            behaviour.own_retries = LAYER_RETRIES;
            behaviour
                .calls
                .extend(downstream.map(|downstream| (path.to_owned(), vec![downstream])));
        };
        setup.start_backend(node, service, configure).await;
    }
    setup
        .wait_for_services(&CHAIN.map(|(_, service, _)| service))
        .await;
    setup
}

/// Asserts that no call of a client request ran more often than the retry budget allows.
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

fn assert_has_retry_after(answer: &Answer) {
    let fields = &answer.fields;
    assert!(fields.contains_key("retry-after"), "{fields:?}");
    assert!(
        fields.contains_key("nutmegwheel-retry-after-ms"),
        "{fields:?}"
    );
}

#[tokio::test]
async fn chain_of_retrying_layers_shares_one_retry_budget() {
    let setup = start_chain().await;
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
            let answer = setup.call_with_key("riga1-0", CHAIN[0].2, "x").await;
            assert_ne!(answer.status, 200, "{fault:?}");
        }
        assert_bounded(&setup, &format!("{fault:?}"));
    }
}

#[tokio::test]
async fn faults_in_every_layer_share_one_retry_budget() {
    let setup = start_chain().await;
    for (node, service, _) in &CHAIN[1..] {
        setup.with_backend(&format!("{service}@{node}"), |backend| {
            backend.set_behaviour(|behaviour| behaviour.fault = Fault::Truncate);
        });
    }
    for _ in 0..5 {
        let answer = setup.call_with_key("riga1-0", CHAIN[0].2, "x").await;
        assert_ne!(answer.status, 200);
    }
    assert_bounded(&setup, "truncated everywhere");
}

#[tokio::test]
async fn concurrent_resends_get_one_retry_budget_each() {
    let setup = start_chain().await;
    setup.with_backend("intake@riga1-3", |backend| {
        backend.set_behaviour(|behaviour| behaviour.fault = Fault::Disconnect);
    });
    let resend = async || {
        for _ in 0..5 {
            setup.call_with_key("riga1-0", CHAIN[0].2, "x").await;
        }
    };
    tokio::join!(resend(), resend(), resend(), resend());
    assert_bounded(&setup, "resent");
}

#[tokio::test]
async fn debits_retries_of_backend_servers_and_refuses_last_promptly() {
    let setup = Setup::start(&[("riga1", 2)], 1).await;
    let slow = |behaviour: &mut Behaviour| behaviour.service_time = Duration::from_secs(4);
    setup.start_backend("riga1-0", "tally-portal", slow).await;
    let failing = |behaviour: &mut Behaviour| behaviour.fault = Fault::Status(503);
    setup.start_backend("riga1-1", "dispatch", failing).await;
    setup.wait_for_services(&["tally-portal", "dispatch"]).await;
    let parent = setup.call_with_key("riga1-0", CHAIN[0].2, "x");
    let repeats = async {
        setup.wait_for_run(CHAIN[0].2, 1).await;
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
    let (_, answers) = tokio::join!(parent, repeats);
    assert!(setup.ledger.count("/dispatch/crew") <= 1 + RETRIES);
    let (last, latency) = &answers[answers.len() - 1];
    assert_eq!(
        (last.status, last.reason().as_str()),
        (503, "retries-spent")
    );
    assert!(*latency < FAST_REFUSAL_LIMIT, "{latency:?}");
    assert_has_retry_after(last);
}

#[tokio::test]
async fn calls_with_different_call_fields_are_not_retries() {
    let setup = Setup::start(&[("riga1", 2)], 1).await;
    let calls = vec!["/dispatch/crew".to_owned(); 2 * RETRIES];
    let call_many = |behaviour: &mut Behaviour| {
        behaviour.calls.insert(CHAIN[0].2.to_owned(), calls);
    };
    setup
        .start_backend("riga1-0", "tally-portal", call_many)
        .await;
    setup.start_backend("riga1-1", "dispatch", |_| {}).await;
    setup.wait_for_services(&["tally-portal", "dispatch"]).await;
    let answer = setup
        .call("riga1-1", CHAIN[0].2, &[("authorization", KEY)], "x")
        .await;
    assert_eq!(answer.status, 200, "{}", answer.text());
    assert_eq!(setup.ledger.count("/dispatch/crew"), 2 * RETRIES);
}

/// A refusal of the second attempt must not hide that the first one may have run.
#[tokio::test]
async fn refusal_after_interrupted_attempt_does_not_claim_not_run() {
    const REQUESTS: usize = 30;
    let setup = Setup::start(&[("riga1", 3)], 1).await;
    let faults = [("riga1-1", Fault::Disconnect), ("riga1-2", Fault::Shed)];
    for (node, fault) in faults {
        let configure = |behaviour: &mut Behaviour| behaviour.fault = fault;
        setup.start_backend(node, "tally-portal", configure).await;
    }
    setup.wait_for_backends(&["riga1-1", "riga1-2"]).await;
    for number in 0..REQUESTS {
        let body = format!("open-{number}");
        let answer = setup
            .call_with_key("riga1-0", "/tally-portal/count", &body)
            .await;
        let runs = setup.ledger.runs();
        if runs.iter().any(|run| run.body == body.as_bytes()) {
            assert_ne!(answer.outcome(), Some("not-run"), "{}", answer.text());
        }
    }
    assert!(!setup.ledger.runs().is_empty(), "no attempt has run");
}
