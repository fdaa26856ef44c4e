//! With routing by expected time, a slow backend server gets few requests although it is idle.

mod common;

use std::time::Duration;

use common::{KEY, Setup};
use nutmegwheel_support::Behaviour;

const PATH: &str = "/dispatch/crew";
const FAST: Duration = Duration::from_millis(20);
const SLOW: Duration = Duration::from_millis(200);
/// The answers after which a node reports the service time of a kind.
const LEARNED: usize = 4;
/// The requests within which each server gets that many while nothing is known.
const MAX_LEARNING: usize = 100;
const REQUESTS: usize = 40;

/// Restarts all nodes with another value of `routing`.
async fn set_routing(setup: &mut Setup, routing: &str) {
    let nodes = setup.fleet.nodes.iter();
    let names: Vec<String> = nodes.map(|node| node.vm.name.clone()).collect();
    for name in names {
        let path = setup.fleet.folder().join(format!("{name}.jsonc"));
        let text = std::fs::read_to_string(&path).expect("settings");
        let text = text.replacen('{', &format!("{{\"routing\": \"{routing}\","), 1);
        std::fs::write(&path, text).expect("a folder to write to");
        setup.fleet.process(&name).kill();
        setup.fleet.restart(&name).await.expect("a restart");
    }
    setup.fleet.wait_until_ready().await.expect("ready nodes");
}

async fn call(setup: &Setup) {
    let answer = setup
        .call("riga1-0", PATH, &[("authorization", KEY)], "")
        .await;
    assert_eq!(answer.status, 200, "{}", answer.text());
}

fn runs(setup: &Setup, server: &str) -> usize {
    let runs = setup.ledger.runs();
    let name = format!("dispatch@{server}");
    runs.iter().filter(|run| run.backend == name).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_server_gets_few_requests() {
    let mut setup = Setup::start(&[("riga1", 3)], 1).await;
    set_routing(&mut setup, "expected_time").await;
    for (node, time) in [("riga1-1", SLOW), ("riga1-2", FAST)] {
        let configure = |behaviour: &mut Behaviour| behaviour.service_time = time;
        setup.start_backend(node, "dispatch", configure).await;
    }
    setup.wait_for_backends(&["riga1-1", "riga1-2"]).await;
    for _ in 0..MAX_LEARNING {
        if ["riga1-1", "riga1-2"].map(|server| runs(&setup, server) >= LEARNED) == [true; 2] {
            break;
        }
        call(&setup).await;
    }
    let before = runs(&setup, "riga1-1");
    for _ in 0..REQUESTS {
        call(&setup).await;
    }
    let slow = runs(&setup, "riga1-1") - before;
    assert!(slow <= REQUESTS / 4, "{slow} of {REQUESTS} went to it");
    let at = setup.fleet.nodes[1].vm.platform;
    let metrics = setup.fleet.send_as_operator_to(at, "GET", "/metrics", "");
    let metrics = metrics.await.expect("metrics").text();
    let name = "nutmegwheel_endpoint_service_seconds{endpoint=\"crew\"} 0.2";
    assert!(metrics.contains(name), "{metrics}");
}
