//! Backend servers that are cold, and tolerate few requests, while a crowd asks.

#[path = "../../../platform/tests/stand_in/mod.rs"]
mod stand_in;

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use nutmegwheel_support::Answer;
use stand_in::{COLD_OVERAGE, COLD_SLACK, Fleet, KEY, LIMIT, Run, document};

const PROGRAM: &str = env!("CARGO_BIN_EXE_nutmegwheel");
const SERVERS: &[(&str, &str)] = &[("riga1", "portal"), ("riga2", "portal"), ("riga3", "desk")];
const PATH: &str = "/safe/load";
const RATE: f64 = 5.0;
const COLD: Duration = Duration::from_secs(5);
/// How long the crowd asks while a backend server is cold.
const CROWD: Duration = Duration::from_secs(4);
const SECOND: Duration = Duration::from_secs(1);
const WORK: Duration = Duration::from_millis(30);
/// A fifth of what one warm backend server can serve.
const REQUESTS_PER_SECOND: u32 = 100;

async fn start() -> Fleet {
    let fleet = Fleet::start(PROGRAM, SERVERS).await;
    let mut document = document();
    document["services"][0]["cold_start_s"] = COLD.as_secs_f64().into();
    document["services"][0]["cold_per_s"] = RATE.into();
    assert_eq!(fleet.publish(1, 0, &document).await, 200);
    for server in &fleet.servers {
        server.set_work(WORK);
    }
    let end = Instant::now() + LIMIT;
    while !(0..2).all(|n| !runs_of(&fleet, n, "/safe/warm").is_empty()) {
        assert!(Instant::now() < end, "{}", fleet.log("node-2"));
        load(&fleet, "/safe/warm", SECOND / 10).await;
    }
    fleet
}

/// Sends requests to all nodes in turn for some time, and returns the answers.
async fn load(fleet: &Fleet, path: &str, time: Duration) -> Vec<Answer> {
    let count = time.as_millis() * u128::from(REQUESTS_PER_SECOND) / 1000;
    let count = u32::try_from(count).expect("a short time");
    let calls = (0..count).zip(fleet.nodes.iter().cycle());
    let calls = calls.map(|(number, node)| async move {
        tokio::time::sleep(SECOND * number / REQUESTS_PER_SECOND).await;
        let key = [("authorization", KEY)];
        fleet
            .call_at(node, "GET", "portal.example", path, &key)
            .await
    });
    join_all(calls).await
}

fn runs_of(fleet: &Fleet, server: usize, path: &str) -> Vec<Run> {
    let id = &fleet.servers[server].id;
    let runs = fleet.runs_of(path).into_iter();
    runs.filter(|run| run.server == *id).collect()
}

#[allow(clippy::cast_precision_loss, reason = "the counts are small")]
fn assert_bounded(fleet: &Fleet, server: usize, from: Instant) {
    let runs = runs_of(fleet, server, PATH);
    let while_cold = |run: &&Run| run.at >= from && run.at < from + COLD;
    let runs: Vec<_> = runs.iter().filter(while_cold).collect();
    let count = |start: &&Run| {
        let within = |run: &&&Run| run.at >= start.at && run.at < start.at + SECOND;
        runs.iter().filter(within).count()
    };
    let most = runs.iter().map(count).max().unwrap_or(0);
    let bound = RATE * COLD_OVERAGE + COLD_SLACK;
    assert!(most as f64 <= bound, "{most} in a second, allowed {bound}");
}

fn count_of(answers: &[Answer], status: u16) -> usize {
    answers.iter().filter(|a| a.status == status).count()
}

// Guards against FAILBACK: a backend server that becomes cold again under load got its usual share.
#[tokio::test(flavor = "multi_thread")]
async fn cold_backend_server_gets_no_more_than_it_tolerates() {
    let fleet = start().await;
    fleet.servers[0].become_cold(COLD).await;
    let cold_at = Instant::now();
    let answers = load(&fleet, PATH, CROWD).await;
    assert_bounded(&fleet, 0, cold_at);
    let served = count_of(&answers, 200);
    assert_eq!(served, answers.len(), "the other server has room");
    tokio::time::sleep(SECOND).await;
    let since = Instant::now();
    load(&fleet, PATH, SECOND * 2).await;
    let after = runs_of(&fleet, 0, PATH).into_iter();
    let after = after.filter(|run| run.at >= since).count();
    assert!(after > 30, "{after} runs after the cold start");
}

// Guards against FAILBACK when no other backend server has room. The service goes on at the sum of
// the rates, and what is refused has not run.
#[tokio::test(flavor = "multi_thread")]
async fn service_goes_on_while_all_its_backend_servers_are_cold() {
    let fleet = start().await;
    for server in &fleet.servers[..2] {
        server.become_cold(COLD).await;
    }
    let cold_at = Instant::now();
    let answers = load(&fleet, PATH, CROWD).await;
    for server in 0..2 {
        assert_bounded(&fleet, server, cold_at);
    }
    let (served, refused) = (count_of(&answers, 200), count_of(&answers, 503));
    assert_eq!(served + refused, answers.len(), "{answers:?}");
    assert!(served >= 30, "{served} served");
    let runs = runs_of(&fleet, 0, PATH).len() + runs_of(&fleet, 1, PATH).len();
    assert_eq!(runs, served);
}

// Guards against FAILBACK after a restart of the node, which has forgotten what it sent.
#[tokio::test(flavor = "multi_thread")]
async fn bound_holds_over_restart_of_node() {
    let mut fleet = start().await;
    fleet.servers[0].become_cold(COLD).await;
    let cold_at = Instant::now();
    load(&fleet, PATH, SECOND).await;
    let node = fleet.nodes[0].clone();
    fleet.kill(&node.name);
    fleet.launch(&node, false);
    load(&fleet, PATH, SECOND * 3).await;
    assert_bounded(&fleet, 0, cold_at);
}
