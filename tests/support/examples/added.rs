//! What two nodes add to a call, and what a call costs them; docs/CAPACITY.md, "Figures".
//!
//! `cargo run --release -p nutmegwheel-support --example added -- PROGRAM` starts a control VM, a door
//! and the node of a fake backend server. It sends the same call to the backend server directly and
//! through the door, in turns, and prints the times of both, the processor time of each process for
//! a call and the resident memory.
#![forbid(unsafe_code)]

use std::{
    path::PathBuf,
    sync::Arc,
    time::{Duration, Instant},
};

use anyhow::Context as _;
use nutmegwheel_support::{
    Backend, BackendOptions, Behaviour, Caller, Fleet, FleetOptions, Ledger,
};

/// The callers that send at a time, one call after the other.
const CALLERS: [usize; 3] = [1, 8, 32];
/// The rounds of each number of callers.
const ROUNDS: usize = 5;
/// The time of a round.
const ROUND: Duration = Duration::from_secs(3);
/// The slots of the backend server, more than callers.
const SLOTS: u16 = 64;
/// The time in which all processes learn of the backend server.
const LEARN: Duration = Duration::from_secs(3);
/// The ticks of processor time in a second, as Linux reports them.
const TICKS_PER_SECOND: f64 = 100.0;
/// The path that is called.
const PATH: &str = "/tally-portal/count";
/// The key of the caller.
const KEY: &str = "key-of-vidzeme-000001";
/// The SHA-256 of the key.
const KEY_HASH: &str = "0aa8a88ec5fcc7fa7930ae63863a819bc23abbe46902c8f2f3ace67ed16ae781";
/// The configuration that the fleet holds.
const CONFIGURATION: &str = r#"{"configure": {
  "classes": {"crews": {"rank": 0, "finish": 0.999, "within_ms": 5000}},
  "services": {"tally-portal": {"*": {"class": "crews"}}},
  "workspaces": {"vidzeme": {"rate": 1000000.0, "burst": 1000000}}
}}"#;

/// The times of calls, and how many failed.
#[derive(Default)]
struct Times {
    all: Vec<Duration>,
    failed: usize,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let program = PathBuf::from(std::env::args().nth(1).context("PROGRAM is missing")?);
    let fleet = Fleet::start(FleetOptions {
        program,
        data_centres: vec![("riga1", 2)],
        control_vms: 1,
        relayed: false,
    })
    .await?;
    operate(&fleet, 1, CONFIGURATION).await?;
    let key = format!(r#"{{"give_key": {{"workspace": "vidzeme", "hash": "{KEY_HASH}"}}}}"#);
    operate(&fleet, 2, &key).await?;
    fleet.ready().await?;
    let opts = BackendOptions {
        name: "backend".to_owned(),
        service: "tally-portal".to_owned(),
        slots: SLOTS,
        node: fleet.nodes[1].vm.backend,
    };
    let backend = Backend::spawn(opts, Behaviour::default(), Ledger::default()).await?;
    tokio::time::sleep(LEARN).await;
    println!(
        "callers  direct p50/p99 ms    through p50/p99 ms   added p50/p99 ms   calls/s  door us/call  node us/call  failed"
    );
    for callers in CALLERS {
        measure(&fleet, &backend, callers).await?;
    }
    for process in &fleet.nodes {
        println!(
            "{}: {} resident afterwards",
            process.vm.name,
            resident(process.id())?
        );
    }
    Ok(())
}

async fn operate(fleet: &Fleet, number: u64, body: &str) -> anyhow::Result<()> {
    let path = format!("/v1/changes/{number}");
    let answer = fleet.operate("PUT", &path, body).await?;
    anyhow::ensure!(answer.status == 200, "{}", answer.text());
    Ok(())
}

async fn measure(fleet: &Fleet, backend: &Backend, callers: usize) -> anyhow::Result<()> {
    let door = fleet.nodes[0].vm.callers;
    let (mut direct, mut through) = (Times::default(), Times::default());
    let mut used = [0.0, 0.0];
    let mut seconds = 0.0;
    for _ in 0..ROUNDS {
        round(&mut direct, backend.address(), callers).await;
        let before = [
            processor(fleet.nodes[0].id())?,
            processor(fleet.nodes[1].id())?,
        ];
        let began = Instant::now();
        round(&mut through, door, callers).await;
        seconds += began.elapsed().as_secs_f64();
        let after = [
            processor(fleet.nodes[0].id())?,
            processor(fleet.nodes[1].id())?,
        ];
        for (used, (after, before)) in used.iter_mut().zip(after.into_iter().zip(before)) {
            *used += after - before;
        }
    }
    let calls = f64::from(u32::try_from(through.all.len())?);
    let (d50, d99) = (direct.at(0.5), direct.at(0.99));
    let (t50, t99) = (through.at(0.5), through.at(0.99));
    println!(
        "{callers:7}  {d50:8.3} / {d99:8.3}  {t50:8.3} / {t99:8.3}  {:7.3} / {:7.3}  {:7.0}  {:12.0}  {:12.0}  {:6}",
        t50 - d50,
        t99 - d99,
        calls / seconds,
        used[0] * 1e6 / calls,
        used[1] * 1e6 / calls,
        direct.failed + through.failed,
    );
    Ok(())
}

async fn round(times: &mut Times, at: std::net::SocketAddr, callers: usize) {
    let caller = Arc::new(Caller::open());
    let tasks: Vec<_> = (0..callers)
        .map(|_| tokio::spawn(call_always(caller.clone(), at)))
        .collect();
    for task in tasks {
        if let Ok(done) = task.await {
            times.all.extend(done.all);
            times.failed += done.failed;
        }
    }
}

async fn call_always(caller: Arc<Caller>, at: std::net::SocketAddr) -> Times {
    let bearer = format!("Bearer {KEY}");
    let fields = [("authorization", bearer.as_str())];
    let mut times = Times::default();
    let began = Instant::now();
    while began.elapsed() < ROUND {
        let sent = Instant::now();
        let answer = caller.call("POST", at, PATH, &fields, "a count").await;
        if answer.is_ok_and(|answer| answer.status == 200) {
            times.all.push(sent.elapsed());
        } else {
            times.failed += 1;
        }
    }
    times
}

impl Times {
    /// The time in ms below which this part of the calls was.
    fn at(&mut self, part: f64) -> f64 {
        self.all.sort_unstable();
        let count = f64::from(u32::try_from(self.all.len()).unwrap_or(u32::MAX));
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let index = ((count * part) as usize).min(self.all.len().saturating_sub(1));
        self.all
            .get(index)
            .map_or(f64::NAN, |time| time.as_secs_f64() * 1e3)
    }
}

fn processor(id: Option<u32>) -> anyhow::Result<f64> {
    let id = id.context("the process has ended")?;
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    // The 12th and 13th fields after the name are the times in user and in kernel mode.
    let fields = after_name.split_whitespace().skip(11).take(2);
    let ticks: f64 = fields.filter_map(|field| field.parse::<f64>().ok()).sum();
    Ok(ticks / TICKS_PER_SECOND)
}

fn resident(id: Option<u32>) -> anyhow::Result<String> {
    let id = id.context("the process has ended")?;
    let status = std::fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    Ok(line.context("VmRSS is missing")?.trim().to_owned())
}
