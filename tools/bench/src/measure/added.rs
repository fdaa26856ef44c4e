//! Measures the latency that two nodes add to a call: the ingress node, and the node of the backend
//! server.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use nutmegwheel_support::{Caller, Fleet, Process};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use tokio::task::JoinSet;

use crate::{
    backend_pool::BackendPool,
    deployment::{self, Deployment},
    flags::Added,
    operator,
    system::{self, System as _},
    usage,
};

/// The measured loads, in calls per second.
const LOADS: [f64; 4] = [100.0, 500.0, 1000.0, 2000.0];
/// The time for which each load runs, once directly and once through the nodes.
const LOAD_TIME: Duration = Duration::from_secs(4);
/// The time at the start of each load in which latencies are not recorded.
const WARM_UP: Duration = Duration::from_secs(1);
/// The time over which an idle node is measured.
const IDLE_TIME: Duration = Duration::from_secs(5);
/// The default seed.
const DEFAULT_SEED: u64 = 1;

/// The measurements of one load, sent directly and through two nodes.
struct Point {
    load: f64,
    direct: Histogram<u64>,
    through: Histogram<u64>,
    failed: u64,
    /// The number of calls for each second of processor time that the two nodes used.
    per_core: f64,
    /// The processor use of the two nodes together, in percent of a core.
    percent: f64,
}

/// The address, path and key of a series of calls.
#[derive(Clone)]
struct CallTarget {
    http: Caller,
    addr: SocketAddr,
    path: String,
    key: String,
}

/// Runs the measurement and prints it.
pub(crate) async fn run(flags: &Added) -> anyhow::Result<()> {
    let deployment = deployment::one_service();
    let fleet = system::start_fleet(&deployment, false).await?;
    let ids: Vec<u32> = fleet.nodes.iter().filter_map(Process::id).collect();
    // Only the second node has a local backend server, so a call to the first goes through both.
    let node_addresses = fleet.node_addresses();
    let backends = BackendPool::start(&deployment, &node_addresses[1..]).await?;
    operator::wait_announced(&fleet, backends.servers.len()).await?;
    let idle = idle_percent(&ids).await?;
    let direct = target(&deployment, backends.servers[0].backend.address());
    let through = target(&deployment, node_addresses[0].callers);
    let mut rng = SmallRng::seed_from_u64(flags.seed.unwrap_or(DEFAULT_SEED));
    let mut points = Vec::new();
    for load in LOADS {
        points.push(point(load, &direct, &through, &ids, &mut rng).await?);
    }
    let resident = usage::mean_resident_mb(&ids)?;
    if flags.json {
        for point in &points {
            println!("{}", json(point, idle, resident));
        }
    } else {
        print(&points, idle, resident, flags.seed.unwrap_or(DEFAULT_SEED));
    }
    drop::<Fleet>(fleet);
    Ok(())
}

fn target(deployment: &Deployment, addr: SocketAddr) -> CallTarget {
    let service = deployment.front().name;
    let endpoint = deployment.classes[0].name;
    CallTarget {
        http: Caller::open(),
        addr,
        path: format!("/{service}/{endpoint}"),
        key: format!("Bearer {}", deployment.key(0)),
    }
}

async fn idle_percent(ids: &[u32]) -> anyhow::Result<f64> {
    let before = usage::processor_time_of(ids)?;
    tokio::time::sleep(IDLE_TIME).await;
    let used = usage::processor_time_of(ids)? - before;
    Ok(usage::percent_of_core(used, IDLE_TIME, ids.len()))
}

async fn point(
    load: f64,
    direct: &CallTarget,
    through: &CallTarget,
    ids: &[u32],
    rng: &mut SmallRng,
) -> anyhow::Result<Point> {
    let (direct, lost) = send(load, direct, rng).await?;
    let before = usage::processor_time_of(ids)?;
    let (through, failed) = send(load, through, rng).await?;
    let used = usage::processor_time_of(ids)? - before;
    Ok(Point {
        load,
        direct,
        through,
        failed: lost + failed,
        per_core: load * LOAD_TIME.as_secs_f64() / used,
        percent: usage::percent_of_core(used, LOAD_TIME, 1),
    })
}

/// Sends calls for [`LOAD_TIME`] and returns their latencies in microseconds and the number of
/// failed calls.
///
/// Latency counts from the wake-up of the generator, not from the intended start, because the timer
/// is only accurate to a millisecond and its error must not count as latency of the call. Calls run
/// concurrently, so a slow call delays no other.
async fn send(
    load: f64,
    target: &CallTarget,
    rng: &mut SmallRng,
) -> anyhow::Result<(Histogram<u64>, u64)> {
    let begun = Instant::now();
    let mut intended_start = begun;
    let mut calls = JoinSet::new();
    loop {
        let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
        intended_start += Duration::from_secs_f64(-uniform.ln() / load);
        if intended_start >= begun + LOAD_TIME {
            break;
        }
        tokio::time::sleep_until(intended_start.into()).await;
        let target = target.clone();
        let is_measured = intended_start >= begun + WARM_UP;
        let woken = Instant::now();
        calls.spawn(async move {
            let fields = [("authorization", target.key.as_str())];
            let answer = target
                .http
                .call("POST", target.addr, &target.path, &fields, "")
                .await;
            let is_ok = answer.is_ok_and(|answer| answer.status == 200);
            (is_measured, is_ok, woken.elapsed())
        });
    }
    let mut times = Histogram::new(3)?;
    let mut failed = 0;
    for (is_measured, is_ok, time) in calls.join_all().await {
        match (is_measured, is_ok) {
            (_, false) => failed += 1,
            (true, true) => times.record(u64::try_from(time.as_micros())?)?,
            (false, true) => {}
        }
    }
    Ok((times, failed))
}

/// Returns a quantile of latencies in microseconds, converted to milliseconds.
fn quantile_ms(times: &Histogram<u64>, quantile: f64) -> f64 {
    let micros = u32::try_from(times.value_at_quantile(quantile)).unwrap_or(u32::MAX);
    f64::from(micros) / 1000.0
}

fn print(points: &[Point], idle: f64, resident: f64, seed: u64) {
    println!("added by two nodes, seed {seed}; times in ms; target: at most 1.30 for 99 in 100");
    println!(
        "{:>8}{:>10}{:>10}{:>10}{:>10}{:>10}{:>10}{:>8}{:>13}{:>12}",
        "calls/s",
        "direct 50",
        "99",
        "nodes 50",
        "99",
        "added 50",
        "99",
        "failed",
        "calls/core s",
        "% of a core"
    );
    for point in points {
        let (direct, through) = (&point.direct, &point.through);
        println!(
            "{:>8}{:>10.2}{:>10.2}{:>10.2}{:>10.2}{:>10.2}{:>10.2}{:>8}{:>13.0}{:>12.1}",
            point.load,
            quantile_ms(direct, 0.5),
            quantile_ms(direct, 0.99),
            quantile_ms(through, 0.5),
            quantile_ms(through, 0.99),
            quantile_ms(through, 0.5) - quantile_ms(direct, 0.5),
            quantile_ms(through, 0.99) - quantile_ms(direct, 0.99),
            point.failed,
            point.per_core,
            point.percent,
        );
    }
    println!("a node: idle {idle:.2} % of a core, {resident:.1} MB resident after the load");
}

fn json(point: &Point, idle: f64, resident: f64) -> serde_json::Value {
    serde_json::json!({
        "calls_per_second": point.load,
        "direct_ms": {"p50": quantile_ms(&point.direct, 0.5), "p99": quantile_ms(&point.direct, 0.99)},
        "through_ms": {"p50": quantile_ms(&point.through, 0.5), "p99": quantile_ms(&point.through, 0.99)},
        "failed": point.failed,
        "calls_per_core_second": point.per_core,
        "percent_of_core": point.percent,
        "idle_percent_of_core": idle,
        "resident_mb": resident,
    })
}
