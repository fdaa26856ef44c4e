//! What operators were told is committed survives kills, lost disks, freezes and races.

mod common;

use std::time::{Duration, Instant};

use common::{KEY, Setup};
use nutmegwheel_support::Answer;

const DATA_CENTRES: &[(&str, usize)] = &[("riga1", 1), ("riga2", 1), ("riga3", 1)];

/// A configuration whose only sign is the rate of one workspace.
fn configuration(rate: u64) -> String {
    let wanted = format!("\"zemgale\": {{\"rate\": {rate}");
    let text = common::CONFIGURATION.replacen("\"zemgale\": {\"rate\": 10.0", &wanted, 1);
    assert!(text.contains(&wanted));
    text
}

async fn held_rate(setup: &Setup, vm: usize) -> Option<f64> {
    let at = setup.fleet.control[vm].vm.platform;
    let answer = setup
        .fleet
        .send_as_operator_to(at, "GET", "/v1/configuration", "");
    let answer = answer.await.ok()?.json();
    answer["configuration"]["workspaces"]["zemgale"]["rate"].as_f64()
}

/// Offers a change to one control VM, and again under the same number while it is not certain, as
/// docs/INTERFACES.md asks of operators.
async fn change_at(setup: &Setup, vm: usize, number: u64, body: &str) -> Answer {
    let at = setup.fleet.control[vm].vm.platform;
    let path = format!("/v1/changes/{number}");
    let end = Instant::now() + Duration::from_secs(20);
    loop {
        let answer = setup
            .fleet
            .send_as_operator_to(at, "PUT", &path, body)
            .await;
        let answer = answer.expect("the control VM answers");
        if answer.status != 503 {
            return answer;
        }
        assert!(Instant::now() < end, "{}", answer.text());
    }
}

/// Offers a change to the control VMs in turn until one of them is certain, as operators do.
async fn change_somewhere(setup: &Setup, number: u64, body: &str) -> Answer {
    let path = format!("/v1/changes/{number}");
    let end = Instant::now() + Duration::from_secs(20);
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
        assert!(Instant::now() < end, "no control VM is certain");
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
    panic!("no control VM leads");
}

#[tokio::test]
async fn a_change_through_any_control_vm_is_held_by_all() {
    let setup = Setup::start(DATA_CENTRES, 3).await;
    for vm in 0..3 {
        let number = 10 + vm as u64;
        let answer = change_at(&setup, vm, number, &configuration(number)).await;
        assert_eq!(answer.status, 200, "{}", answer.text());
        let again = change_at(&setup, (vm + 1) % 3, number, &configuration(number)).await;
        assert_eq!(again.json()["first"], false);
        assert_eq!(again.json()["version"], answer.json()["version"]);
    }
    for vm in 0..3 {
        setup
            .until("every control VM holds the last change", async || {
                held_rate(&setup, vm).await == Some(12.0)
            })
            .await;
    }
}

#[tokio::test]
async fn racing_changes_with_one_number_have_one_winner_that_all_name() {
    let setup = Setup::start(DATA_CENTRES, 3).await;
    for number in 10..30 {
        let (left, right) = (configuration(number), configuration(number + 1000));
        let (left, right) = tokio::join!(
            change_at(&setup, 0, number, &left),
            change_at(&setup, 1, number, &right),
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
        let again = change_at(&setup, 2, number, &configuration(winner)).await;
        assert_eq!(again.status, 200);
        assert_eq!(again.json()["version"], won.json()["version"]);
        assert_eq!(again.json()["first"], false);
    }
}

#[tokio::test]
async fn nothing_accepted_is_lost_when_leaders_are_killed_at_any_moment_of_500_changes() {
    let mut setup = Setup::start(DATA_CENTRES, 3).await;
    let last = 509;
    for number in 10..=last {
        let body = configuration(number);
        if number % 50 != 25 {
            let answer = change_somewhere(&setup, number, &body).await;
            assert_eq!(answer.status, 200, "{}", answer.text());
            continue;
        }
        let name = setup.fleet.control[leader(&setup).await].vm.name.clone();
        // Each kill falls on another moment of the change that is under way.
        let moment = Duration::from_micros(number * 7919 % 8000);
        let kill = async {
            tokio::time::sleep(moment).await;
            setup.signal(&name, "KILL");
        };
        let (answer, ()) = tokio::join!(change_somewhere(&setup, number, &body), kill);
        assert_eq!(answer.status, 200, "{}", answer.text());
        setup.fleet.process(&name).kill();
        setup.fleet.restart(&name).await.expect("it starts again");
    }
    for vm in 0..3 {
        setup
            .until("every control VM holds the last change", async || {
                held_rate(&setup, vm).await.map(|rate| rate.to_string()) == Some(last.to_string())
            })
            .await;
    }
    for number in 10..=last {
        let path = format!("/v1/changes/{number}");
        let kept = setup.fleet.send_as_operator("GET", &path, "").await;
        assert_eq!(
            kept.expect("answers").status,
            200,
            "change {number} is lost"
        );
    }
}

#[tokio::test]
async fn a_fleet_restarted_as_a_whole_holds_what_was_committed() {
    let mut setup = Setup::start(DATA_CENTRES, 3).await;
    for number in 10..20 {
        change_somewhere(&setup, number, &configuration(number)).await;
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
        .until("the last change is held again", async || {
            held_rate(&setup, 0).await == Some(19.0)
        })
        .await;
    let stale = change_somewhere(&setup, 15, &configuration(99)).await;
    assert_eq!(
        (stale.status, stale.reason().as_str()),
        (409, "number-taken")
    );
}

#[tokio::test]
async fn a_disk_is_lost_and_repaired_and_then_another_vm_is_lost() {
    let data_centres = [("riga1", 1), ("riga2", 1), ("riga3", 1)];
    let mut setup = Setup::start(&data_centres, 5).await;
    for number in 10..20 {
        change_somewhere(&setup, number, &configuration(number)).await;
    }
    setup.fleet.process("control-0").kill();
    let disk = setup.fleet.folder().join("control-0");
    std::fs::remove_dir_all(disk).expect("the disk is lost");
    setup.fleet.restart("control-0").await.expect("it starts");
    setup
        .until("the new disk has caught up", async || {
            held_rate(&setup, 0).await == Some(19.0)
        })
        .await;
    setup.fleet.process("control-1").kill();
    setup.fleet.process("control-2").kill();
    let answer = change_somewhere(&setup, 20, &configuration(20)).await;
    assert_eq!(answer.status, 200, "{}", answer.text());
    for vm in [0, 3, 4] {
        setup
            .until("the rest holds the last change", async || {
                held_rate(&setup, vm).await == Some(20.0)
            })
            .await;
    }
}

#[tokio::test]
async fn a_frozen_leader_is_replaced_and_comes_back_without_reverting_anything() {
    let setup = Setup::start(DATA_CENTRES, 3).await;
    let frozen = leader(&setup).await;
    setup.fleet.control[frozen].signal("STOP");
    let other = (frozen + 1) % 3;
    let end = Instant::now() + Duration::from_secs(20);
    loop {
        let answer = change_at(&setup, other, 10, &configuration(77)).await;
        if answer.status == 200 {
            break;
        }
        assert!(Instant::now() < end, "{}", answer.text());
    }
    setup.fleet.control[frozen].signal("CONT");
    for vm in 0..3 {
        setup
            .until("all hold the change", async || {
                held_rate(&setup, vm).await == Some(77.0)
            })
            .await;
    }
    setup.version_everywhere(3).await;
}

#[tokio::test]
async fn nodes_take_a_change_within_five_seconds_also_after_a_control_vm_died() {
    let mut setup = Setup::start(DATA_CENTRES, 3).await;
    setup.fleet.process("control-0").kill();
    let answer = change_somewhere(&setup, 10, &configuration(10)).await;
    assert_eq!(answer.status, 200);
    let committed = Instant::now();
    let version = answer.json()["version"].as_u64().expect("a version");
    setup.version_everywhere(version).await;
    if committed.elapsed() >= common::IN_FORCE {
        for node in &setup.fleet.nodes {
            println!("{}:\n{}", node.vm.name, setup.fleet.log(&node.vm.name));
        }
    }
    assert!(
        committed.elapsed() < common::IN_FORCE,
        "{:?}",
        committed.elapsed()
    );
}

#[tokio::test]
async fn a_withdrawn_key_stops_everywhere_and_is_answered_in_force() {
    let setup = Setup::start(DATA_CENTRES, 3).await;
    setup.backend("riga1-0", "tally-portal", |_| {}).await;
    setup.serving(&["tally-portal"]).await;
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
        .until("the withdrawal is in force", async || {
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
    assert_eq!(setup.ledger.runs().len(), ran, "a withdrawn key ran");
}

#[tokio::test]
async fn a_new_leader_answers_reads_without_waiting_for_a_command() {
    let setup = Setup::start(DATA_CENTRES, 3).await;
    let first = leader(&setup).await;
    setup.fleet.control[first].signal("STOP");
    let other = (first + 1) % 3;
    setup
        .until("a new leader answers reads", async || {
            held_rate(&setup, other).await == Some(10.0)
        })
        .await;
    setup.fleet.control[first].signal("CONT");
}
