//! Tests that each violation of a guarantee is found, and that a correct run has no findings.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use nutmegwheel_soak::{Evidence, FaultWindow, Observation, Record, SendResult, Sent, check};
use nutmegwheel_support::Run;

const KEY: &str = "Bearer key-of-vidzeme-000001";
const WITHDRAWN_KEY: &str = "Bearer key-of-kurzeme-000001";
const SHORT: Duration = Duration::from_millis(10);

fn sent(at: Instant, body: &str, result: SendResult) -> Sent {
    Sent {
        body: body.to_owned(),
        ingress: "riga1-0".to_owned(),
        key: KEY,
        must_not_repeat: body.starts_with("bill"),
        began: at,
        ended: at + SHORT,
        result,
    }
}

fn run(at: Instant, body: &str, workspace: &str) -> Run {
    let service = if body.starts_with("bill") {
        "dispatch/bill"
    } else {
        "tally-portal/count"
    };
    Run {
        service: String::new(),
        backend: String::new(),
        path: format!("/{service}"),
        root: String::new(),
        workspace: Some(workspace.to_owned()),
        fields: HashMap::new(),
        body: body.as_bytes().to_vec(),
        began: at,
        ended: None,
        cancelled: false,
        processing_time: SHORT,
    }
}

fn refused(outcome: &str) -> SendResult {
    SendResult::Refused {
        status: 503,
        reason: "overloaded".to_owned(),
        outcome: outcome.to_owned(),
    }
}

fn findings(sent: Vec<Sent>, runs: Vec<Run>) -> Vec<String> {
    check(&Evidence {
        sent,
        runs,
        ..Evidence::default()
    })
}

const SERVED: SendResult = SendResult::Served { is_own: true };

#[test]
fn finds_nothing_in_correct_run() {
    let at = Instant::now();
    let all = vec![
        sent(at, "read-1", SERVED),
        sent(at, "bill-2", refused("may-have-run")),
        sent(at, "bill-2", SERVED),
        sent(at, "read-3", refused("not-run")),
    ];
    let runs = vec![
        run(at, "read-1", "vidzeme"),
        run(at, "read-1", "vidzeme"),
        run(at, "bill-2", "vidzeme"),
    ];
    assert_eq!(findings(all, runs), Vec::<String>::new());
}

#[test]
fn finds_answer_to_another_request() {
    let at = Instant::now();
    let all = vec![sent(at, "read-1", SendResult::Served { is_own: false })];
    assert_eq!(findings(all, vec![run(at, "read-1", "vidzeme")]).len(), 1);
}

#[test]
fn finds_answer_without_run() {
    assert_eq!(
        findings(vec![sent(Instant::now(), "read-1", SERVED)], Vec::new()).len(),
        1
    );
}

#[test]
fn finds_second_run_of_non_idempotent_request() {
    let at = Instant::now();
    let runs = vec![run(at, "bill-1", "vidzeme"), run(at, "bill-1", "vidzeme")];
    assert_eq!(findings(vec![sent(at, "bill-1", SERVED)], runs).len(), 1);
}

#[test]
fn finds_run_of_request_refused_as_not_run() {
    let at = Instant::now();
    let runs = vec![run(at, "read-1", "vidzeme")];
    assert_eq!(
        findings(vec![sent(at, "read-1", refused("not-run"))], runs).len(),
        1
    );
}

#[test]
fn finds_run_under_withdrawn_key() {
    let at = Instant::now();
    let mut withdrawn = sent(at + SHORT, "read-1", SERVED);
    withdrawn.key = WITHDRAWN_KEY;
    let evidence = Evidence {
        sent: vec![withdrawn],
        runs: vec![run(at + SHORT, "read-1", "kurzeme")],
        withdrawn: Some(at),
        ..Evidence::default()
    };
    assert_eq!(check(&evidence).len(), 1);
}

#[test]
fn finds_runs_above_rate_and_burst() {
    let at = Instant::now();
    // Rate 10 and burst 5; a request may start up to 2 s after its token was taken.
    let runs = |count: usize| (0..count).map(|_| run(at, "read-1", "zemgale")).collect();
    assert_eq!(findings(Vec::new(), runs(25)).len(), 0);
    assert_eq!(findings(Vec::new(), runs(26)).len(), 1);
}

#[test]
fn finds_read_older_than_committed_change() {
    let at = Instant::now();
    let record = |after: u32, observation| Record {
        began: at + SHORT * after,
        ended: at + SHORT * after + SHORT / 2,
        observation,
    };
    let evidence = |number| Evidence {
        records: vec![
            record(0, Observation::Committed(7)),
            record(1, Observation::Read(number)),
        ],
        ..Evidence::default()
    };
    assert_eq!(check(&evidence(7)).len(), 0);
    assert_eq!(check(&evidence(6)).len(), 1);
}

#[test]
fn finds_broken_and_late_sends_at_healthy_ingress_nodes_only() {
    let at = Instant::now();
    let mut late = sent(at, "read-2", refused("may-have-run"));
    late.ended = at + Duration::from_secs(4);
    let broken = sent(at, "read-1", SendResult::Broken);
    let findings_with_fault_at = |process: &str| {
        check(&Evidence {
            sent: vec![broken.clone(), late.clone()],
            fault_windows: vec![FaultWindow {
                process: process.to_owned(),
                from: at,
                to: at + SHORT,
            }],
            ..Evidence::default()
        })
    };
    assert_eq!(findings_with_fault_at("riga1-0").len(), 0);
    assert_eq!(findings_with_fault_at("riga1-1").len(), 2);
}
