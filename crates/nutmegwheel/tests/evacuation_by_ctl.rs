//! Evacuations through the operators' tool and the own interface.

mod common;

use std::{
    path::Path,
    process::{Command, Output},
};

use common::{KEY, Setup};
use nutmegwheel_support::OPERATOR_SECRET;

/// Runs the operators' tool, which asks the node first and then the control VMs.
fn ctl(setup: &Setup, secret_file: &Path, command: &[&str]) -> Output {
    let node = setup.fleet.nodes[0].vm.platform;
    let control = setup.fleet.control.iter().map(|vm| vm.vm.platform);
    let at: Vec<String> = [node]
        .into_iter()
        .chain(control)
        .map(|at| at.to_string())
        .collect();
    Command::new(env!("CARGO_BIN_EXE_nutmegwheel"))
        .args(["ctl", "--at", &at.join(","), "--secret-file"])
        .arg(secret_file)
        .args(command)
        .output()
        .expect("the tool runs")
}

fn text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).trim().to_owned()
}

/// Waits until every node names these evacuated data centres in its status.
async fn await_evacuated(setup: &Setup, expected: &[&str]) {
    for node in &setup.fleet.nodes {
        let at = node.vm.platform;
        setup
            .wait_until("the order is followed everywhere", async || {
                let status = setup.fleet.send_as_operator_to(at, "GET", "/v1/status", "");
                let status = status.await.map(|status| status.json());
                status.is_ok_and(|status| status["evacuated"] == serde_json::json!(expected))
            })
            .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn tool_sends_shows_and_withdraws_orders() {
    let setup = Setup::start(&[("riga1", 1), ("riga2", 1)], 1).await;
    for node in ["riga1-0", "riga2-0"] {
        setup.start_backend(node, "intake", |_| {}).await;
    }
    setup.wait_for_services(&["intake"]).await;
    let folder = tempfile::tempdir().expect("a folder");
    let secret_file = folder.path().join("operator.secret");
    std::fs::write(&secret_file, OPERATOR_SECRET).expect("the secret");
    let ctl = |command: &[&str]| ctl(&setup, &secret_file, command);

    let refused = ctl(&["evacuate", "riga9"]);
    assert_eq!(refused.status.code(), Some(1));
    let reason = String::from_utf8_lossy(&refused.stderr).into_owned();
    assert!(reason.contains("unknown-data-centre"), "{reason}");
    assert!(reason.contains("riga1, riga2"), "{reason}");

    for _ in 0..2 {
        let ordered = ctl(&["evacuate", "riga2"]);
        assert_eq!(text(&ordered), "evacuated: riga2", "{ordered:?}");
    }
    await_evacuated(&setup, &["riga2"]).await;
    setup
        .wait_until("the other data centre serves its callers", async || {
            let key = [("authorization", KEY)];
            let answer = setup.call("riga2-0", "/intake/count", &key, "1").await;
            answer.status == 200
        })
        .await;
    let runs = setup.ledger.runs();
    assert!(runs.iter().all(|run| run.backend == "intake@riga1-0"));
    assert_eq!(text(&ctl(&["evacuations"])), "evacuated: riga2");
    assert_eq!(
        text(&ctl(&["readmit", "riga2"])),
        "no data centre is evacuated"
    );
    await_evacuated(&setup, &[]).await;
}
