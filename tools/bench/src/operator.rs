//! Operator actions on a fleet: configuring it, giving keys and withdrawing them.

use std::time::{Duration, Instant};

use anyhow::Context as _;
use nutmegwheel_support::{Answer, Fleet};

use crate::deployment::Deployment;

/// The time within which an operator's change must take effect on every node.
const APPLY_TIMEOUT: Duration = Duration::from_secs(20);
/// The interval between two status requests.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Commits the configuration of a fleet and the key of every workspace. Returns the version of the
/// last change.
pub(crate) async fn configure(fleet: &Fleet, deployment: &Deployment) -> anyhow::Result<u64> {
    let body = nutmegwheel_ctl::change::configure(&deployment.configuration());
    let mut version = commit(fleet, 1, &body).await?;
    for (index, workspace) in deployment.workspaces.iter().enumerate() {
        let key = deployment.key(index);
        let body = nutmegwheel_ctl::change::give_key(workspace.name, &key);
        version = commit(fleet, index as u64 + 2, &body).await?;
    }
    wait_until_applied(fleet, version).await?;
    Ok(version)
}

/// Commits a change, resending it under the same number while its outcome is unknown (503).
pub(crate) async fn commit(fleet: &Fleet, number: u64, body: &str) -> anyhow::Result<u64> {
    let path = format!("/v1/changes/{number}");
    let end = Instant::now() + APPLY_TIMEOUT;
    loop {
        let answer = fleet.send_as_operator("PUT", &path, body).await?;
        match answer.status {
            200 => return answer.json()["version"].as_u64().context("no version"),
            503 if Instant::now() < end => tokio::time::sleep(POLL_INTERVAL).await,
            _ => anyhow::bail!("change {number}: {} {}", answer.status, answer.text()),
        }
    }
}

/// Waits until every node has applied a version, and returns how long that took.
pub(crate) async fn wait_until_applied(fleet: &Fleet, version: u64) -> anyhow::Result<Duration> {
    let began = Instant::now();
    for node in &fleet.nodes {
        let has_version = async || {
            let status = fleet.send_as_operator_to(node.vm.platform, "GET", "/v1/status", "");
            status
                .await
                .is_ok_and(|status| status.json()["version"].as_u64() >= Some(version))
        };
        wait_until(
            &format!("{} has version {version}", node.vm.name),
            has_version,
        )
        .await?;
    }
    Ok(began.elapsed())
}

/// Waits until the status of every node shows at least `count` backend servers.
pub(crate) async fn wait_announced(fleet: &Fleet, count: usize) -> anyhow::Result<()> {
    for node in &fleet.nodes {
        let has_backends = async || {
            let status = fleet.send_as_operator_to(node.vm.platform, "GET", "/v1/status", "");
            status
                .await
                .is_ok_and(|status| status.text().matches("\"slots\":").count() >= count)
        };
        wait_until(
            &format!("{} knows {count} backend servers", node.vm.name),
            has_backends,
        )
        .await?;
    }
    Ok(())
}

/// Withdraws a key, waits until the withdrawal has taken effect in every data centre, and returns
/// how long that took.
pub(crate) async fn withdraw(fleet: &Fleet, key: &str) -> anyhow::Result<Duration> {
    let began = Instant::now();
    let hash = nutmegwheel_types::hex::encode(&nutmegwheel_config::hash_key(key.as_bytes()));
    let path = format!("/v1/withdrawals/{hash}");
    let answer = fleet.send_as_operator("PUT", &path, "").await?;
    anyhow::ensure!(
        answer.status == 200,
        "withdrawal refused: {}",
        answer.text()
    );
    wait_until("the withdrawal is in force", async || {
        let answer = fleet.send_as_operator("GET", &path, "").await;
        answer.is_ok_and(|answer: Answer| answer.json()["state"] == "in-force")
    })
    .await?;
    Ok(began.elapsed())
}

/// Polls until a condition holds; fails after [`APPLY_TIMEOUT`].
pub(crate) async fn wait_until(
    condition: &str,
    holds: impl AsyncFn() -> bool,
) -> anyhow::Result<()> {
    let end = Instant::now() + APPLY_TIMEOUT;
    while !holds().await {
        anyhow::ensure!(
            Instant::now() < end,
            "timed out after {APPLY_TIMEOUT:?}: {condition}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

/// Returns the events of all processes, as JSON lines.
pub(crate) async fn events(fleet: &Fleet) -> String {
    let mut all = String::new();
    for process in fleet.control.iter().chain(&fleet.nodes) {
        let answer = fleet.send_as_operator_to(process.vm.platform, "GET", "/v1/events", "");
        if let Ok(answer) = answer.await {
            all.push_str(&answer.text());
        }
    }
    all
}
