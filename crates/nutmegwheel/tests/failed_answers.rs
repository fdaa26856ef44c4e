//! Backend servers that run requests and answer with a failure.

#[path = "../../../platform/tests/stand_in/mod.rs"]
mod stand_in;

use nutmegwheel_support::Answer;
use stand_in::{Fault, Fleet, KEY};

const PROGRAM: &str = env!("CARGO_BIN_EXE_nutmegwheel");
const SERVERS: &[(&str, &str)] = &[("riga1", "portal"), ("riga2", "portal"), ("riga3", "desk")];
const REQUESTS: usize = 20;
const SEAL: &str = "x-nutmegwheel-server-seal";

async fn call(fleet: &Fleet, method: &str, path: &str) -> Answer {
    let key = [("authorization", KEY)];
    fleet
        .call_at(&fleet.nodes[2], method, "portal.example", path, &key)
        .await
}

async fn start() -> Fleet {
    Fleet::serving(PROGRAM, SERVERS).await
}

// Guards against idempotent requests that fail although another backend server could serve them.
#[tokio::test(flavor = "multi_thread")]
async fn idempotent_request_that_failed_runs_on_another_backend_server() {
    let fleet = start().await;
    fleet.servers[0].set_fault(Fault::Fail);
    for n in 0..REQUESTS {
        let path = format!("/safe/{n}");
        let answer = call(&fleet, "GET", &path).await;
        assert_eq!(answer.status, 200, "{}", answer.text());
        assert!(fleet.runs_of(&path).len() <= 2);
    }
}

// Guards against TWICE.
#[tokio::test(flavor = "multi_thread")]
async fn non_idempotent_request_that_failed_is_answered_with_its_failure() {
    let fleet = start().await;
    fleet.servers[0].set_fault(Fault::Fail);
    for n in 0..REQUESTS {
        let path = format!("/once/{n}");
        let answer = call(&fleet, "POST", &path).await;
        let runs = fleet.runs_of(&path);
        assert_eq!(runs.len(), 1, "{path}");
        let has_failed = runs[0].server == fleet.servers[0].id;
        assert_eq!(answer.status, if has_failed { 500 } else { 200 }, "{path}");
    }
}

// Guards against MIXED: the failure that callers get is one that a backend server gave.
#[tokio::test(flavor = "multi_thread")]
async fn failure_of_all_backend_servers_is_passed_on_whole() {
    let fleet = start().await;
    for server in &fleet.servers {
        server.set_fault(Fault::Fail);
    }
    let answer = call(&fleet, "GET", "/safe/all").await;
    assert_eq!(answer.status, 500, "{}", answer.text());
    assert!(answer.fields[SEAL].starts_with("seal-of-i-node-"));
    assert_eq!(answer.body, "the server's bytes");
    assert_eq!(fleet.runs_of("/safe/all").len(), 2, "the route's attempts");
}

// Guards against work that is repeated in vain: a request that failed because a call of it failed
// would make the same call again.
#[tokio::test(flavor = "multi_thread")]
async fn request_whose_call_failed_is_not_run_again() {
    let fleet = start().await;
    for server in &fleet.servers[..2] {
        server.set_calls("desk.example", "/inner/call");
    }
    fleet.servers[2].set_fault(Fault::Fail);
    let answer = call(&fleet, "GET", "/safe/parent").await;
    assert_eq!(answer.status, 500, "{}", answer.text());
    assert_eq!(fleet.runs_of("/safe/parent").len(), 1);
    assert_eq!(fleet.runs_of("/inner/call").len(), 1);
}
