//! What backend servers say in their answers: a limit of requests a second, and that they leave.

#[path = "../../../platform/tests/stand_in/mod.rs"]
mod stand_in;

use std::time::{Duration, Instant};

use futures_util::{StreamExt as _, stream::FuturesUnordered};
use nutmegwheel_support::Answer;
use stand_in::{Fleet, KEY, LIMIT, Run, Server, Vm, document};

const PROGRAM: &str = env!("CARGO_BIN_EXE_nutmegwheel");
const SERVERS: &[(&str, &str)] = &[("riga1", "portal"), ("riga2", "portal"), ("riga3", "desk")];
const PATH: &str = "/safe/load";
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
const WORK: Duration = Duration::from_millis(30);
/// The time from the first naming of a limit until it must hold.
const CONTACT: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(4);
/// The time after which a leaving backend server gets no further request.
const DRAIN: Duration = Duration::from_secs(2);

async fn start() -> Fleet {
    let fleet = Fleet::start(PROGRAM, SERVERS).await;
    assert_eq!(fleet.publish(1, 0, &document()).await, 200);
    for server in &fleet.servers {
        server.set_work(WORK);
    }
    let end = Instant::now() + LIMIT;
    while !(0..2).all(|n| has_run(&fleet, n, "/safe/warm")) {
        assert!(Instant::now() < end, "{}", fleet.log("node-2"));
        call(&fleet, &fleet.nodes[2], "/safe/warm").await;
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    fleet
}

fn has_run(fleet: &Fleet, server: usize, path: &str) -> bool {
    let id = &fleet.servers[server].id;
    fleet.runs_of(path).iter().any(|run| run.server == *id)
}

async fn call(fleet: &Fleet, node: &Vm, path: &str) -> Answer {
    let key = [("authorization", KEY)];
    fleet
        .call_at(node, "GET", "portal.example", path, &key)
        .await
}

/// Sends requests to all nodes in turn for some time, and returns the answers.
async fn load(fleet: &Fleet, time: Duration) -> Vec<Answer> {
    let end = Instant::now() + time;
    let mut calls = FuturesUnordered::new();
    let mut answers = Vec::new();
    for node in fleet.nodes.iter().cycle() {
        if Instant::now() >= end {
            break;
        }
        calls.push(call(fleet, node, PATH));
        let pause = tokio::time::sleep(REQUEST_INTERVAL);
        tokio::pin!(pause);
        loop {
            tokio::select! {
                () = &mut pause => break,
                Some(answer) = calls.next() => {
                    answers.push(answer);
                }
            }
        }
    }
    while let Some(answer) = calls.next().await {
        answers.push(answer);
    }
    answers
}

fn runs_after(fleet: &Fleet, server: &Server, since: Instant) -> Vec<Run> {
    let runs = fleet.runs_of(PATH).into_iter();
    runs.filter(|run| run.server == server.id && run.at >= since)
        .collect()
}

/// The greatest number of runs within [`WINDOW`].
fn most_in_window(runs: &[Run]) -> usize {
    let starts = runs.iter().map(|run| run.at);
    let in_window = |start: Instant| {
        let within = |run: &&Run| run.at >= start && run.at < start + WINDOW;
        runs.iter().filter(within).count()
    };
    starts.map(in_window).max().unwrap_or(0)
}

fn assert_served(answers: &[Answer], because: &str) {
    let refused: Vec<_> = answers.iter().filter(|a| a.status != 200).collect();
    assert!(refused.is_empty(), "{because}: {refused:?}");
}

// Guards against LIMIT: a backend server that named the requests a second that it takes from all
// nodes together got as many as before.
#[tokio::test(flavor = "multi_thread")]
async fn backend_server_gets_no_more_than_limit_that_it_named() {
    const PER_SECOND: usize = 5;
    const ALLOWED: usize = PER_SECOND * 4 * 3 / 2 + 5;
    let fleet = start().await;
    let server = &fleet.servers[0];
    server.set_limit(Some("5.0"));
    let named_at = Instant::now();
    let answers = load(&fleet, CONTACT + WINDOW + WINDOW).await;
    let runs = runs_after(&fleet, server, named_at + CONTACT);
    let most = most_in_window(&runs);
    assert!(most <= ALLOWED, "{most} in {WINDOW:?}, allowed {ALLOWED}");
    assert!(most >= PER_SECOND, "{most} in {WINDOW:?}: it takes more");
    assert_served(&answers, "the other backend server has room");
}

// Guards against LIMIT: the node beside the backend server restarts, has forgotten the limit, and
// lets as many requests through as there are slots.
#[tokio::test(flavor = "multi_thread")]
async fn limit_is_kept_after_restart_of_node() {
    const PER_SECOND: usize = 2;
    const ALLOWED: usize = PER_SECOND * 4 * 3 / 2 + 5;
    let mut fleet = start().await;
    let server = &fleet.servers[0];
    server.set_limit(Some("2"));
    server.set_work(Duration::from_secs(1));
    load(&fleet, CONTACT).await;
    let since = Instant::now();
    let node = fleet.nodes[0].clone();
    fleet.kill(&node.name);
    fleet.launch(&node, false);
    load(&fleet, CONTACT + WINDOW).await;
    let most = most_in_window(&runs_after(&fleet, &fleet.servers[0], since));
    assert!(most <= ALLOWED, "{most} in {WINDOW:?}, allowed {ALLOWED}");
}

// Guards against a limit that outlives its naming.
#[tokio::test(flavor = "multi_thread")]
async fn limit_ends_when_backend_server_takes_it_back() {
    let fleet = start().await;
    let server = &fleet.servers[0];
    server.set_limit(Some("2"));
    load(&fleet, CONTACT).await;
    server.set_limit(None);
    load(&fleet, CONTACT).await;
    let since = Instant::now();
    load(&fleet, WINDOW).await;
    let (limited, other) = (&fleet.servers[0], &fleet.servers[1]);
    let limited = runs_after(&fleet, limited, since).len();
    let other = runs_after(&fleet, other, since).len();
    assert!(limited * 2 >= other, "{limited} and {other} runs");
}

// Guards against DRAIN: a backend server that says in its answers that it leaves got requests until
// its heartbeats said so too.
#[tokio::test(flavor = "multi_thread")]
async fn backend_server_that_says_it_leaves_gets_no_further_request() {
    let fleet = start().await;
    let server = &fleet.servers[0];
    server.say_leaving();
    let said_at = Instant::now();
    let answers = load(&fleet, DRAIN + WINDOW).await;
    let late = runs_after(&fleet, server, said_at + DRAIN);
    assert!(late.is_empty(), "{} late runs", late.len());
    assert_served(&answers, "the other backend server has room");
}
