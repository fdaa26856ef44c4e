//! Changes acknowledged as committed survive killed and frozen control VMs, lost disks and races.

mod common;

use std::time::{Duration, Instant};

use common::{KEY, Setup};
use nutmegwheel_support::Answer;

const DATA_CENTRES: &[(&str, usize)] = &[("riga1", 1), ("riga2", 1), ("riga3", 1)];

/// Returns a configuration with this rate of one workspace, by which tests identify it.
fn configuration(rate: u64) -> String {
    let rate_entry = format!("\"zemgale\": {{\"rate\": {rate}");
    let text = common::CONFIGURATION.replacen("\"zemgale\": {\"rate\": 10.0", &rate_entry, 1);
    assert!(text.contains(&rate_entry));
    text
}

async fn configured_rate(setup: &Setup, vm: usize) -> Option<f64> {
    let at = setup.fleet.control[vm].vm.platform;
    let answer = setup
        .fleet
        .send_as_operator_to(at, "GET", "/v1/configuration", "");
    let answer = answer.await.ok()?.json();
    answer["configuration"]["workspaces"]["zemgale"]["rate"].as_f64()
}

/// Submits a change to one control VM, and resends it under the same number while the outcome is
/// unknown, as docs/INTERFACES.md asks of operators.
async fn commit_on(setup: &Setup, vm: usize, number: u64, body: &str) -> Answer {
    let at = setup.fleet.control[vm].vm.platform;
    let path = format!("/v1/changes/{number}");
    let deadline = Instant::now() + Duration::from_secs(20);
    loop {
        let answer = setup
            .fleet
            .send_as_operator_to(at, "PUT", &path, body)
            .await;
        let answer = answer.expect("the control VM answers");
        if answer.status != 503 {
            return answer;
        }
        assert!(Instant::now() < deadline, "{}", answer.text());
    }
}

/// Submits a change to the control VMs in turn, as operators do, until one knows the outcome.
async fn commit_on_any(setup: &Setup, number: u64, body: &str) -> Answer {
    let path = format!("/v1/changes/{number}");
    let deadline = Instant::now() + Duration::from_secs(20);
    loop {
        for process in &setup.fleet.control {
            if process.id().is_none() {
                continue;
            }
            let at = process.vm.platform;
            let answer = setup.fleet.send_as_operator_to(at, "PUT", &path, body);
            let answer = tokio::time::timeout(Duration::from_secs(4), answer).await;
            if let Ok(Ok(answer)) = answer
                && answer.status != 503
            {
                return answer;
            }
        }
        assert!(
            Instant::now() < deadline,
            "no control VM knows the outcome of change {number}"
        );
    }
}

async fn leader(setup: &Setup) -> usize {
    for (vm, process) in setup.fleet.control.iter().enumerate() {
        let at = process.vm.platform;
        let status = setup
            .fleet
            .send_as_operator_to(at, "GET", "/v1/status", "")
            .await;
        let Ok(status) = status.map(|status| status.json()) else {
            continue;
        };
        let leader = status["log"]["leader"].as_str().unwrap_or_default();
        if leader == process.vm.name {
            return vm;
        }
    }
    panic!("no control VM is the leader");
}

#[tokio::test]
async fn change_through_any_control_vm_reaches_all() {
    let setup = Setup::start(DATA_CENTRES, 3).await;
    for vm in 0..3 {
        let number = 10 + vm as u64;
        let answer = commit_on(&setup, vm, number, &configuration(number)).await;
        assert_eq!(answer.status, 200, "{}", answer.text());
        let again = commit_on(&setup, (vm + 1) % 3, number, &configuration(number)).await;
        assert_eq!(again.json()["first"], false);
        assert_eq!(again.json()["version"], answer.json()["version"]);
    }
    for vm in 0..3 {
        setup
            .wait_until("every control VM holds the last change", async || {
                configured_rate(&setup, vm).await == Some(12.0)
            })
            .await;
    }
}

#[tokio::test]
async fn racing_changes_have_one_winner_everywhere() {
    let setup = Setup::start(DATA_CENTRES, 3).await;
    for number in 10..30 {
        let (left, right) = (configuration(number), configuration(number + 1000));
        let (left, right) = tokio::join!(
            commit_on(&setup, 0, number, &left),
            commit_on(&setup, 1, number, &right),
        );
        let mut statuses = [left.status, right.status];
        statuses.sort_unstable();
        assert_eq!(statuses, [200, 409], "{} {}", left.text(), right.text());
        let (won, lost, winner) = if left.status == 200 {
            (left, right, number)
        } else {
            (right, left, number + 1000)
        };
        assert_eq!(lost.reason(), "number-taken");
        assert_eq!(lost.json()["winner"]["version"], won.json()["version"]);
        let again = commit_on(&setup, 2, number, &configuration(winner)).await;
        assert_eq!(again.status, 200);
        assert_eq!(again.json()["version"], won.json()["version"]);
        assert_eq!(again.json()["first"], false);
    }
}

#[tokio::test]
async fn loses_no_committed_change_when_leaders_are_killed() {
    let mut setup = Setup::start(DATA_CENTRES, 3).await;
    let last = 509;
    for number in 10..=last {
        let body = configuration(number);
        if number % 50 != 25 {
            let answer = commit_on_any(&setup, number, &body).await;
            assert_eq!(answer.status, 200, "{}", answer.text());
            continue;
        }
        let name = setup.fleet.control[leader(&setup).await].vm.name.clone();
        // Each kill happens at a different time during the change in progress.
        let kill_after = Duration::from_micros(number * 7919 % 8000);
        let kill = async {
            tokio::time::sleep(kill_after).await;
            setup.signal(&name, "KILL");
        };
        let (answer, ()) = tokio::join!(commit_on_any(&setup, number, &body), kill);
        assert_eq!(answer.status, 200, "{}", answer.text());
        setup.fleet.process(&name).kill();
        setup.fleet.restart(&name).await.expect("it starts again");
    }
    for vm in 0..3 {
        setup
            .wait_until("every control VM holds the last change", async || {
                configured_rate(&setup, vm)
                    .await
                    .map(|rate| rate.to_string())
                    == Some(last.to_string())
            })
            .await;
    }
    for number in 10..=last {
        let path = format!("/v1/changes/{number}");
        let stored = setup.fleet.send_as_operator("GET", &path, "").await;
        assert_eq!(
            stored.expect("answers").status,
            200,
            "change {number} is lost"
        );
    }
}

#[tokio::test]
async fn keeps_committed_changes_after_all_control_vms_restart() {
    let mut setup = Setup::start(DATA_CENTRES, 3).await;
    for number in 10..20 {
        commit_on_any(&setup, number, &configuration(number)).await;
    }
    let names: Vec<String> = setup
        .fleet
        .control
        .iter()
        .map(|process| process.vm.name.clone())
        .collect();
    for name in &names {
        setup.fleet.process(name).kill();
    }
    for name in &names {
        setup.fleet.restart(name).await.expect("it starts again");
    }
    setup
        .wait_until("the last change is held again", async || {
            configured_rate(&setup, 0).await == Some(19.0)
        })
        .await;
    let stale = commit_on_any(&setup, 15, &configuration(99)).await;
    assert_eq!(
        (stale.status, stale.reason().as_str()),
        (409, "number-taken")
    );
}

#[tokio::test]
async fn commits_with_replaced_disk_after_loss_of_two_more_vms() {
    let data_centres = [("riga1", 1), ("riga2", 1), ("riga3", 1)];
    let mut setup = Setup::start(&data_centres, 5).await;
    for number in 10..20 {
        commit_on_any(&setup, number, &configuration(number)).await;
    }
    setup.fleet.process("control-0").kill();
    let disk = setup.fleet.folder().join("control-0");
    std::fs::remove_dir_all(disk).expect("the disk is wiped");
    setup.fleet.restart("control-0").await.expect("it starts");
    setup
        .wait_until("the new disk has caught up", async || {
            configured_rate(&setup, 0).await == Some(19.0)
        })
        .await;
    setup.fleet.process("control-1").kill();
    setup.fleet.process("control-2").kill();
    let answer = commit_on_any(&setup, 20, &configuration(20)).await;
    assert_eq!(answer.status, 200, "{}", answer.text());
    for vm in [0, 3, 4] {
        setup
            .wait_until("the rest holds the last change", async || {
                configured_rate(&setup, vm).await == Some(20.0)
            })
            .await;
    }
}

#[tokio::test]
async fn frozen_leader_is_replaced_and_reverts_nothing_on_return() {
    let setup = Setup::start(DATA_CENTRES, 3).await;
    let frozen = leader(&setup).await;
    setup.fleet.control[frozen].signal("STOP");
    let other = (frozen + 1) % 3;
    let deadline = Instant::now() + Duration::from_secs(20);
    loop {
        let answer = commit_on(&setup, other, 10, &configuration(77)).await;
        if answer.status == 200 {
            break;
        }
        assert!(Instant::now() < deadline, "{}", answer.text());
    }
    setup.fleet.control[frozen].signal("CONT");
    for vm in 0..3 {
        setup
            .wait_until("all hold the change", async || {
                configured_rate(&setup, vm).await == Some(77.0)
            })
            .await;
    }
    setup.wait_for_version(3).await;
}

#[tokio::test]
async fn nodes_apply_changes_within_five_seconds_after_control_vm_crash() {
    let mut setup = Setup::start(DATA_CENTRES, 3).await;
    setup.fleet.process("control-0").kill();
    let answer = commit_on_any(&setup, 10, &configuration(10)).await;
    assert_eq!(answer.status, 200);
    let committed = Instant::now();
    let version = answer.json()["version"].as_u64().expect("a version");
    setup.wait_for_version(version).await;
    if committed.elapsed() >= common::PROPAGATION_LIMIT {
        for node in &setup.fleet.nodes {
            println!("{}:\n{}", node.vm.name, setup.fleet.log(&node.vm.name));
        }
    }
    assert!(
        committed.elapsed() < common::PROPAGATION_LIMIT,
        "{:?}",
        committed.elapsed()
    );
}

#[tokio::test]
async fn refuses_withdrawn_key_everywhere_once_reported() {
    let setup = Setup::start(DATA_CENTRES, 3).await;
    setup.start_backend("riga1-0", "tally-portal", |_| {}).await;
    setup.wait_for_services(&["tally-portal"]).await;
    let path = "/tally-portal/count";
    for node in ["riga1-0", "riga2-0", "riga3-0"] {
        let answer = setup.call(node, path, &[("authorization", KEY)], "").await;
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    let hash = nutmegwheel_config::hash_key(common::KEY_TEXT.as_bytes());
    let route = format!("/v1/withdrawals/{}", nutmegwheel_types::hex::encode(&hash));
    let answer = setup
        .fleet
        .send_as_operator("PUT", &route, "")
        .await
        .expect("answers");
    assert_eq!(answer.status, 200, "{}", answer.text());
    setup
        .wait_until("the withdrawal is in force", async || {
            let answer = setup.fleet.send_as_operator("GET", &route, "").await;
            answer.is_ok_and(|answer| answer.json()["state"] == "in-force")
        })
        .await;
    let ran = setup.ledger.runs().len();
    for node in ["riga1-0", "riga2-0", "riga3-0"] {
        let answer = setup.call(node, path, &[("authorization", KEY)], "").await;
        assert_eq!(
            (answer.status, answer.reason().as_str()),
            (401, "key-withdrawn")
        );
    }
    assert_eq!(
        setup.ledger.runs().len(),
        ran,
        "a request with a withdrawn key ran"
    );
}

#[tokio::test]
async fn new_leader_answers_reads_without_new_command() {
    let setup = Setup::start(DATA_CENTRES, 3).await;
    let first = leader(&setup).await;
    setup.fleet.control[first].signal("STOP");
    let other = (first + 1) % 3;
    setup
        .wait_until("a new leader answers reads", async || {
            configured_rate(&setup, other).await == Some(10.0)
        })
        .await;
    setup.fleet.control[first].signal("CONT");
}
