//! Measures the resource use of a node and of a control VM by fleet size.

use std::time::Duration;

use nutmegwheel_support::{Fleet, Process};

use crate::{
    backend_pool::BackendPool,
    deployment::{self, Deployment},
    flags::Slopes,
    operator,
    system::{self, System as _},
    usage,
};

/// The default fleet sizes, in nodes.
const DEFAULT_NODES: [usize; 3] = [6, 24, 60];
/// The time to wait before a newly started fleet is measured.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// The time over which an idle fleet is measured.
const IDLE_TIME: Duration = Duration::from_secs(8);
/// The number of changes for which the time until every node has applied them is measured.
const CHANGES: u64 = 5;
/// The number of the first of these changes.
const FIRST_CHANGE: u64 = 100;

/// The measurements of one fleet size.
struct Point {
    nodes: usize,
    node_percent: f64,
    node_mb: f64,
    control_percent: f64,
    control_mb: f64,
    /// The median time until every node has applied a change.
    apply_time: Duration,
    /// The maximum of these times.
    apply_time_max: Duration,
}

/// Runs the measurement and prints it.
pub(crate) async fn run(flags: &Slopes) -> anyhow::Result<()> {
    let sizes = match &flags.nodes {
        None => DEFAULT_NODES.to_vec(),
        Some(text) => text
            .split(',')
            .map(str::parse)
            .collect::<Result<Vec<usize>, _>>()?,
    };
    let mut points = Vec::new();
    for nodes in sizes {
        points.push(point(nodes).await?);
    }
    if flags.json {
        for point in &points {
            println!("{}", json(point));
        }
    } else {
        print(&points);
    }
    Ok(())
}

fn ids(processes: &[Process]) -> Vec<u32> {
    processes.iter().filter_map(Process::id).collect()
}

async fn point(nodes: usize) -> anyhow::Result<Point> {
    let deployment = deployment::idle(nodes);
    let fleet = system::start_fleet(&deployment, false).await?;
    let backends = BackendPool::start(&deployment, &fleet.node_addresses()).await?;
    operator::wait_announced(&fleet, backends.servers.len()).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    let (nodes, control) = (ids(&fleet.nodes), ids(&fleet.control));
    let (node_before, control_before) = (
        usage::processor_time_of(&nodes)?,
        usage::processor_time_of(&control)?,
    );
    tokio::time::sleep(IDLE_TIME).await;
    let node_used = usage::processor_time_of(&nodes)? - node_before;
    let control_used = usage::processor_time_of(&control)? - control_before;
    let mut times = changes(&fleet, deployment).await?;
    times.sort();
    Ok(Point {
        nodes: nodes.len(),
        node_percent: usage::percent_of_core(node_used, IDLE_TIME, nodes.len()),
        node_mb: usage::mean_resident_mb(&nodes)?,
        control_percent: usage::percent_of_core(control_used, IDLE_TIME, control.len()),
        control_mb: usage::mean_resident_mb(&control)?,
        apply_time: times[times.len() / 2],
        apply_time_max: times[times.len() - 1],
    })
}

/// Commits changes one after another, and returns for each the time until every node has applied
/// it.
async fn changes(fleet: &Fleet, mut deployment: Deployment) -> anyhow::Result<Vec<Duration>> {
    let mut times = Vec::new();
    for number in FIRST_CHANGE..FIRST_CHANGE + CHANGES {
        deployment.rate_over_demand += 1.0;
        let body = nutmegwheel_ctl::change::configure(&deployment.configuration());
        let version = operator::commit(fleet, number, &body).await?;
        times.push(operator::wait_until_applied(fleet, version).await?);
    }
    Ok(times)
}

/// Fits a line by least squares and returns its slope and its intercept.
fn fit(points: &[Point], value: impl Fn(&Point) -> f64) -> (f64, f64) {
    #[allow(clippy::cast_precision_loss)]
    let pairs: Vec<(f64, f64)> = points.iter().map(|p| (p.nodes as f64, value(p))).collect();
    #[allow(clippy::cast_precision_loss)]
    let count = pairs.len() as f64;
    let mean_x = pairs.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = pairs.iter().map(|(_, y)| y).sum::<f64>() / count;
    let products: f64 = pairs.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let squares: f64 = pairs.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = products / squares.max(f64::MIN_POSITIVE);
    (slope, mean_y - slope * mean_x)
}

fn print(points: &[Point]) {
    println!("an idle fleet in 3 data centres with 3 control VMs");
    println!(
        "{:>8}{:>14}{:>10}{:>17}{:>13}{:>16}{:>12}",
        "nodes",
        "node % core",
        "node MB",
        "control % core",
        "control MB",
        "in force ms",
        "longest ms"
    );
    for point in points {
        println!(
            "{:>8}{:>14.2}{:>10.1}{:>17.2}{:>13.1}{:>16}{:>12}",
            point.nodes,
            point.node_percent,
            point.node_mb,
            point.control_percent,
            point.control_mb,
            point.apply_time.as_millis(),
            point.apply_time_max.as_millis(),
        );
    }
    let line = |name: &str, (slope, zero): (f64, f64)| {
        println!("fit: {name} = {zero:.3} + {slope:.5} per node");
    };
    line("node % core", fit(points, |p| p.node_percent));
    line("node MB", fit(points, |p| p.node_mb));
    line("control % core", fit(points, |p| p.control_percent));
    line("control MB", fit(points, |p| p.control_mb));
    line(
        "in force ms",
        fit(points, |p| 1000.0 * p.apply_time.as_secs_f64()),
    );
}

fn json(point: &Point) -> serde_json::Value {
    serde_json::json!({
        "nodes": point.nodes,
        "node_percent_of_core": point.node_percent,
        "node_mb": point.node_mb,
        "control_percent_of_core": point.control_percent,
        "control_mb": point.control_mb,
        "in_force_ms": point.apply_time.as_secs_f64() * 1000.0,
        "in_force_longest_ms": point.apply_time_max.as_secs_f64() * 1000.0,
    })
}
