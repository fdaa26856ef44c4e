//! What callers are told, and how often their requests run, when backend servers of the native dialect
//! send answers that are not the answer to the request.

mod common;

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use common::Setup;
use nutmegwheel_support::script::{self, Arrival, Script, Step};
use tokio::net::TcpListener;

const WORK: Duration = Duration::from_millis(40);
const NODE: &str = "riga1-0";
const CONTEXT: &str = "nutmegwheel-context";
const NOT_RUN: (&str, &str) = ("nutmegwheel-outcome", "not-run");

/// A scripted backend server of the service `intake`.
struct Server {
    address: SocketAddr,
    runs: Arc<Mutex<Vec<String>>>,
    connections: Arc<AtomicUsize>,
}

impl Server {
    async fn spawn(script: Script) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let server = Self {
            address: listener.local_addr().expect("an address"),
            runs: Arc::default(),
            connections: Arc::default(),
        };
        let (runs, connections) = (server.runs.clone(), server.connections.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let number = connections.fetch_add(1, Ordering::SeqCst);
                let (script, runs) = (script.clone(), runs.clone());
                tokio::spawn(async move {
                    let current = || script.clone();
                    let record_run = |arrival: &Arrival| {
                        runs.lock().expect("runs").push(arrival.path.clone());
                    };
                    script::serve(stream, "intake", number, current, record_run).await;
                });
            }
        });
        server
    }

    async fn announce(&self, setup: &Setup) {
        let document = serde_json::json!({"service": "intake", "address": self.address,
            "slots": 16, "state": "ready", "lease_ms": 60_000});
        let at = setup.vm(NODE).backend;
        let caller = &setup.fleet.caller;
        let sent = caller.call("PUT", at, "/v1/announcement", &[], document.to_string());
        assert_eq!(sent.await.expect("an answer").status, 200);
        setup.wait_for_services(&["intake"]).await;
    }

    fn runs_of(&self, path: &str) -> usize {
        let runs = self.runs.lock().expect("runs");
        runs.iter().filter(|run| *run == path).count()
    }
}

fn run_and_answer(fields: &[(&str, &str)]) -> Vec<Step> {
    vec![
        Step::Run,
        Step::Wait(WORK),
        Step::Send(script::answer(200, fields, "done")),
    ]
}

// Guards against REFUSED: a second copy of a denial is taken for the answer to the next request of the
// connection, where answers bear nothing that shows whose they are.
#[tokio::test(flavor = "multi_thread")]
async fn denial_is_the_last_answer_of_its_connection() {
    let setup = Setup::start(&[("riga1", 1)], 1).await;
    let denied: Mutex<Vec<usize>> = Mutex::default();
    let server = Server::spawn(Arc::new(move |arrival| {
        let denial = script::answer(503, &[NOT_RUN], "");
        let mut denied = denied.lock().expect("denied");
        if arrival.path.contains("denied") {
            denied.push(arrival.connection);
            return vec![Step::Send(denial)];
        }
        let mut steps = run_and_answer(&[]);
        if denied.contains(&arrival.connection) {
            steps.insert(1, Step::Send(denial));
        }
        steps
    }));
    let server = server.await;
    server.announce(&setup).await;
    for number in 0..5 {
        let path = format!("/intake/denied-{number}");
        let answer = setup.call_with_key(NODE, &path, "").await;
        assert_eq!((answer.status, answer.outcome()), (503, Some("not-run")));
        let path = format!("/intake/next-{number}");
        let answer = setup.call_with_key(NODE, &path, "").await;
        assert_eq!(answer.status, 200, "{}", answer.text());
        assert_eq!(server.runs_of(&path), 1);
    }
}

// Guards against answers that reach another caller than theirs although they show whose they are.
#[tokio::test(flavor = "multi_thread")]
async fn answer_with_another_context_counts_for_no_request() {
    let setup = Setup::start(&[("riga1", 1)], 1).await;
    let server = Server::spawn(Arc::new(|arrival| {
        let context = arrival.field(CONTEXT);
        let mut steps = run_and_answer(&[(CONTEXT, context)]);
        if arrival.path.contains("late") {
            let late = script::answer(200, &[(CONTEXT, "another")], "another");
            steps.insert(1, Step::Send(late));
        }
        if arrival.path.contains("denied") {
            let denial = script::answer(503, &[(CONTEXT, context), NOT_RUN], "");
            steps = vec![Step::Send(denial)];
        }
        steps
    }));
    let server = server.await;
    server.announce(&setup).await;
    let non_idempotent = [
        ("authorization", common::KEY),
        ("nutmegwheel-non-idempotent", "true"),
    ];
    for number in 0..5 {
        let path = format!("/intake/late-{number}");
        let answer = setup.call(NODE, &path, &non_idempotent, "").await;
        assert_eq!(answer.status, 503);
        assert_eq!(answer.reason(), "bad-answer");
        assert_eq!(answer.outcome(), Some("may-have-run"));
        assert_eq!(server.runs_of(&path), 1);
        let path = format!("/intake/next-{number}");
        let answer = setup.call_with_key(NODE, &path, "").await;
        assert_eq!((answer.status, answer.text().as_str()), (200, "done"));
    }
    let opened = server.connections.load(Ordering::SeqCst);
    for number in 0..5 {
        let path = format!("/intake/denied-{number}");
        assert_eq!(setup.call_with_key(NODE, &path, "").await.status, 503);
    }
    let reopened = server.connections.load(Ordering::SeqCst) - opened;
    assert!(reopened <= 1, "{reopened} connections for 5 denials");
}
