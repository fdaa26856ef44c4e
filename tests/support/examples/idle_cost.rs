//! Measures the resource usage of an idle fleet against its number of nodes, for
//! docs/CAPACITY.md, "Figures".
//!
//! `cargo run --release -p nutmegwheel-support --example idle_cost -- PROGRAM NODES...` starts one
//! fleet of the given binary after the other, each with three control VMs and three data centres,
//! and prints resident memory, processor time and TCP payload bytes per second for each role.
#![forbid(unsafe_code)]

use std::{
    collections::HashMap,
    path::{Path, PathBuf},
    process::Command,
    time::{Duration, Instant},
};

use anyhow::Context as _;
use nutmegwheel_support::{
    Backend, BackendOptions, Behaviour, Fleet, FleetOptions, Ledger, Process,
};

const DATA_CENTRES: [&str; 3] = ["riga1", "riga2", "riga3"];
const CONTROL_VMS: usize = 3;
/// The delay before each measurement, in which the fleet becomes idle.
const SETTLING_TIME: Duration = Duration::from_secs(20);
const MEASURED_TIME: Duration = Duration::from_secs(20);
/// The number of clock ticks per second; `/proc/PID/stat` reports processor times in these ticks.
const TICKS_PER_SECOND: f64 = 100.0;
const CONFIGURATION: &str = r#"{"configure": {
  "classes": {"crews": {"rank": 0, "finish": 0.999, "within_ms": 5000}},
  "services": {"tally-portal": {"*": {"class": "crews"}}},
  "workspaces": {"vidzeme": {"rate": 5000.0, "burst": 5000}}
}}"#;

/// Resource usage of one process since its start, or rates per second between two samples.
#[derive(Clone, Copy, Default)]
struct Usage {
    resident_kib: f64,
    processor_seconds: f64,
    sent: f64,
    received: f64,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let mut args = std::env::args().skip(1);
    let program = PathBuf::from(args.next().context("PROGRAM is missing")?);
    println!(
        "nodes phase       role     n  MiB mean/max  core % mean/max  sent+received B/s mean/max"
    );
    for nodes in args {
        measure(&program, nodes.parse()?).await?;
    }
    Ok(())
}

async fn measure(program: &Path, nodes: usize) -> anyhow::Result<()> {
    let per_data_centre = nodes / DATA_CENTRES.len();
    let fleet = Fleet::start(FleetOptions {
        program: program.to_owned(),
        data_centres: DATA_CENTRES.map(|name| (name, per_data_centre)).to_vec(),
        control_vms: CONTROL_VMS,
        relayed: false,
    })
    .await?;
    let answer = fleet
        .send_as_operator("PUT", "/v1/changes/1", CONFIGURATION)
        .await?;
    anyhow::ensure!(answer.status == 200, "{}", answer.text());
    fleet.wait_until_ready().await?;
    report(&fleet, nodes, "no backend").await?;
    let _backends = start_backends(&fleet).await?;
    report(&fleet, nodes, "announced").await
}

async fn start_backends(fleet: &Fleet) -> anyhow::Result<Vec<Backend>> {
    let mut backends = Vec::new();
    for node in &fleet.nodes {
        let opts = BackendOptions {
            name: node.vm.name.clone(),
            service: "tally-portal".to_owned(),
            slots: 55,
            node: node.vm.backend,
        };
        let backend = Backend::spawn(opts, Behaviour::default(), Ledger::default());
        backends.push(backend.await?);
    }
    Ok(backends)
}

async fn report(fleet: &Fleet, nodes: usize, phase: &str) -> anyhow::Result<()> {
    tokio::time::sleep(SETTLING_TIME).await;
    let began = Instant::now();
    let before = usages(fleet)?;
    tokio::time::sleep(MEASURED_TIME).await;
    let after = usages(fleet)?;
    let seconds = began.elapsed().as_secs_f64();
    let (seeds, nodes_only): (Vec<_>, Vec<_>) = fleet.nodes.iter().partition(|p| is_seed(p));
    let control: Vec<_> = fleet.control.iter().collect();
    for (role, processes) in [("node", nodes_only), ("seed", seeds), ("control", control)] {
        let rates: Vec<Usage> = processes
            .into_iter()
            .filter_map(Process::id)
            .map(|id| rates(before[&id], after[&id], seconds))
            .collect();
        if rates.is_empty() {
            continue;
        }
        println!(
            "{nodes:5} {phase:11} {role:8} {:2}  {}  {}  {}",
            rates.len(),
            mean_and_max(&rates, |u| u.resident_kib / 1024.0, 2),
            mean_and_max(&rates, |u| u.processor_seconds * 100.0, 2),
            mean_and_max(&rates, |u| u.sent + u.received, 0),
        );
    }
    Ok(())
}

/// Returns whether a node is a seed: the seeds of each data centre are its control VM and its first
/// two nodes.
fn is_seed(process: &Process) -> bool {
    let name = &process.vm.name;
    name.ends_with("-0") || name.ends_with("-1")
}

/// Returns the rates per second between two samples, and the memory of the later one.
fn rates(before: Usage, after: Usage, seconds: f64) -> Usage {
    Usage {
        resident_kib: after.resident_kib,
        processor_seconds: (after.processor_seconds - before.processor_seconds) / seconds,
        sent: (after.sent - before.sent) / seconds,
        received: (after.received - before.received) / seconds,
    }
}

fn mean_and_max(rates: &[Usage], value: impl Fn(&Usage) -> f64, digits: usize) -> String {
    let sum: f64 = rates.iter().map(&value).sum();
    let count = f64::from(u32::try_from(rates.len()).unwrap_or(u32::MAX));
    let max = rates.iter().map(&value).fold(0.0, f64::max);
    format!("{:8.digits$} / {max:8.digits$}", sum / count)
}

fn usages(fleet: &Fleet) -> anyhow::Result<HashMap<u32, Usage>> {
    let mut usages = HashMap::new();
    for id in fleet
        .nodes
        .iter()
        .chain(&fleet.control)
        .filter_map(Process::id)
    {
        usages.insert(id, usage(id)?);
    }
    let sockets = Command::new("ss").args(["-tinpHO"]).output()?;
    for line in String::from_utf8_lossy(&sockets.stdout).lines() {
        let Some(usage) = parse_number(line, "pid=").and_then(|id| usages.get_mut(&id)) else {
            continue;
        };
        usage.sent += f64::from(parse_number(line, "bytes_sent:").unwrap_or(0));
        usage.received += f64::from(parse_number(line, "bytes_received:").unwrap_or(0));
    }
    Ok(usages)
}

fn usage(id: u32) -> anyhow::Result<Usage> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status"))?;
    let resident = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.split_whitespace().next())
        .context("VmRSS is missing")?;
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    // The 12th and 13th fields after the name are the user and system times (proc(5)).
    let ticks: f64 = after_name
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<f64>().ok())
        .sum();
    Ok(Usage {
        resident_kib: resident.parse()?,
        processor_seconds: ticks / TICKS_PER_SECOND,
        ..Usage::default()
    })
}

fn parse_number(line: &str, name: &str) -> Option<u32> {
    let (_, rest) = line.split_once(name)?;
    let end = rest
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(rest.len());
    rest[..end].parse().ok()
}
