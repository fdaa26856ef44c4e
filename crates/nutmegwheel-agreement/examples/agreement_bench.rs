//! Measures the commit rate and latency of three replicas with file stores on one machine, and the
//! restart time and snapshot size by number of changes.
//!
//! `agreement_bench [FOLDER]` creates the files in FOLDER, by default a folder in the temporary
//! directory, and removes that folder at the end.

use std::{
    collections::{BTreeMap, VecDeque},
    error::Error,
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

use nutmegwheel_agreement::{FileStore, Input, Options, Output, ProposalId, Replica, ReplicaName};
use rand::Rng;

/// The size of each command.
const COMMAND_BYTES: usize = 200;
/// The number of keys that the commands write to, which bounds the size of the application state.
const KEYS: u64 = 256;
/// The number of commits that are proposed and timed one by one.
const SINGLE_COMMITS: usize = 500;
/// The number of commits that are proposed in groups.
const GROUPED_COMMITS: usize = 12_800;
const GROUP_SIZE: usize = 64;
/// The log size at which the restart runs take a snapshot.
const SNAPSHOT_LOG_BYTES: usize = 256 * 1024;

type Result<T> = std::result::Result<T, Box<dyn Error>>;

struct Member {
    replica: Replica,
    state: BTreeMap<u64, Vec<u8>>,
}

struct Cluster {
    names: Vec<ReplicaName>,
    members: Vec<Member>,
    network: VecDeque<Input>,
    targets: VecDeque<usize>,
    committed: Vec<ProposalId>,
}

fn options(name: &ReplicaName, names: &[ReplicaName]) -> Options {
    let mut options = Options::new(name.clone());
    options.bootstrap_members = names.to_vec();
    options.limits.snapshot_log_bytes = SNAPSHOT_LOG_BYTES;
    options
}

fn open(folder: &Path, options: &Options) -> Result<Member> {
    let store = Box::new(FileStore::open(folder.join(&*options.name))?);
    let random = Box::new(|| rand::rng().random());
    let (replica, outputs) = Replica::open(options, store, random, Instant::now())?;
    let mut state = BTreeMap::new();
    for output in outputs {
        if let Output::Restore(snapshot) = output {
            state = decode(&snapshot.data);
        }
    }
    Ok(Member { replica, state })
}

fn encode(state: &BTreeMap<u64, Vec<u8>>) -> Vec<u8> {
    state.values().flatten().copied().collect()
}

fn decode(data: &[u8]) -> BTreeMap<u64, Vec<u8>> {
    let command = |c: &[u8]| (key(c), c.to_vec());
    data.chunks(COMMAND_BYTES).map(command).collect()
}

fn key(command: &[u8]) -> u64 {
    u64::from(command[0])
}

fn command(number: u64) -> Vec<u8> {
    let mut command = vec![0xa5; COMMAND_BYTES];
    command[0] = u8::try_from(number % KEYS).unwrap_or(0);
    command
}

impl Cluster {
    fn start(folder: &Path, names: &[&str]) -> Result<Self> {
        let names: Vec<ReplicaName> = names.iter().map(|n| (*n).into()).collect();
        let member = |name| open(folder, &options(name, &names));
        let members = names.iter().map(member).collect::<Result<_>>()?;
        let mut cluster = Self {
            names,
            members,
            network: VecDeque::new(),
            targets: VecDeque::new(),
            committed: Vec::new(),
        };
        while cluster.leader().is_none() {
            cluster.deliver(Vec::new(), 0);
        }
        Ok(cluster)
    }

    fn leader(&self) -> Option<usize> {
        let leads = |m: &Member| m.replica.core().lease_read_index().is_some();
        self.members.iter().position(leads)
    }

    /// Delivers the queued messages to all members, and `inputs` to the member `to`.
    fn deliver(&mut self, inputs: Vec<Input>, to: usize) {
        self.network.extend(inputs);
        self.targets.resize(self.network.len(), to);
        let messages: Vec<_> = self.targets.drain(..).zip(self.network.drain(..)).collect();
        let mut inboxes: Vec<Vec<Input>> = self.names.iter().map(|_| Vec::new()).collect();
        for (to, input) in messages {
            inboxes[to].push(input);
        }
        for (at, mut inbox) in inboxes.into_iter().enumerate() {
            let now = Instant::now();
            if self.members[at].replica.next_tick() <= now {
                inbox.push(Input::Tick);
            }
            if !inbox.is_empty() {
                self.step(at, now, inbox);
            }
        }
    }

    fn step(&mut self, at: usize, now: Instant, inputs: Vec<Input>) {
        for output in self.members[at].replica.step_all(now, inputs) {
            match output {
                Output::Send(message) => {
                    let to = self.names.iter().position(|n| *n == message.to);
                    self.targets.push_back(to.unwrap_or(at));
                    self.network.push_back(Input::Message(message));
                }
                Output::Committed(c) => {
                    let state = &mut self.members[at].state;
                    state.insert(key(&c.command), c.command.to_vec());
                    self.committed.extend(c.proposal);
                }
                Output::SnapshotRequested { index } => {
                    let data = encode(&self.members[at].state).into();
                    self.step(at, now, vec![Input::Snapshot { index, data }]);
                }
                _ => {}
            }
        }
    }

    /// Proposes `count` commands together and runs until all are committed.
    fn commit(&mut self, first: u64, count: usize) {
        self.committed.clear();
        let propose = |number| Input::Propose {
            id: number,
            command: command(number).into(),
        };
        let mut inputs: Vec<_> = (first..first + count as u64).map(propose).collect();
        while self.committed.len() < count {
            let leader = self.leader().unwrap_or(0);
            self.deliver(std::mem::take(&mut inputs), leader);
        }
    }
}

fn measure_commits(folder: &Path) -> Result<()> {
    let mut cluster = Cluster::start(folder, &["a", "b", "c"])?;
    let mut times = Vec::new();
    for number in 0..SINGLE_COMMITS {
        let start = Instant::now();
        cluster.commit(number as u64, 1);
        times.push(start.elapsed());
    }
    times.sort_unstable();
    let total: Duration = times.iter().sum();
    println!("three replicas, file stores, {COMMAND_BYTES} B commands, stepped in one thread");
    println!(
        "  one at a time: {:.0} commits/s",
        per_second(SINGLE_COMMITS, total)
    );
    println!(
        "  commit latency: p50 {:?}, p99 {:?}",
        percentile(&times, 50),
        percentile(&times, 99)
    );
    let start = Instant::now();
    for group in 0..GROUPED_COMMITS / GROUP_SIZE {
        cluster.commit((group * GROUP_SIZE) as u64, GROUP_SIZE);
    }
    let rate = per_second(GROUPED_COMMITS, start.elapsed());
    println!("  {GROUP_SIZE} at a time: {rate:.0} commits/s");
    Ok(())
}

fn per_second(count: usize, time: Duration) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX)) / time.as_secs_f64()
}

fn percentile(times: &[Duration], percent: usize) -> Duration {
    times[(times.len() * percent / 100).min(times.len() - 1)]
}

fn measure_restarts(folder: &Path) -> Result<()> {
    println!("restart of one replica, snapshot at {SNAPSHOT_LOG_BYTES} B of log, {KEYS} keys");
    for changes in [500, 5_000, 50_000] {
        let folder = folder.join(format!("restart-{changes}"));
        let mut cluster = Cluster::start(&folder, &["a"])?;
        for first in (0..changes).step_by(GROUP_SIZE) {
            cluster.commit(first as u64, GROUP_SIZE.min(changes - first));
        }
        let names = cluster.names.clone();
        let snapshot = cluster.members[0].replica.core().snapshot().cloned();
        drop(cluster);
        let start = Instant::now();
        let member = open(&folder, &options(&names[0], &names))?;
        let time = start.elapsed();
        let status = member.replica.status();
        let snapshot = snapshot.map_or(0, |s| s.data.len());
        let log = status.log_bytes;
        println!("  {changes:>6} changes: open {time:?}, snapshot {snapshot} B, log {log} B");
    }
    Ok(())
}

fn main() -> Result<()> {
    let scratch = std::env::temp_dir().join(format!("agreement-bench-{}", std::process::id()));
    let folder = std::env::args().nth(1).map_or(scratch, PathBuf::from);
    measure_commits(&folder.join("commits"))?;
    measure_restarts(&folder)?;
    std::fs::remove_dir_all(&folder)?;
    Ok(())
}
