//! A deterministic simulation of replicas on a virtual clock, with a lossy network and failing
//! disks.
#![allow(dead_code, reason = "each test file uses only some helpers")]

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use nutmegwheel_agreement::{
    Fault, Input, LogIndex, MemoryStore, Message, Options, Output, Replica, ReplicaName, Term,
    raft::{Notice, RoleName},
};
use rand::{Rng, SeedableRng, rngs::StdRng};

pub(crate) fn name(name: &str) -> ReplicaName {
    name.into()
}

/// Proposes `count` commands to the current leader, one per tick.
pub(crate) fn propose_many(sim: &mut Sim, count: usize) {
    for _ in 0..count {
        if let Some(leader) = sim.leader() {
            sim.propose(&leader);
        }
        sim.tick();
    }
}

/// The step of the virtual clock.
pub(crate) const TICK: Duration = Duration::from_millis(5);

/// The faults of the network.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Network {
    /// The share of messages lost, in percent.
    pub(crate) drop_percent: u32,
    /// The share of messages delivered twice, in percent.
    pub(crate) duplicate_percent: u32,
    /// The maximum delay in ticks, within which messages are reordered.
    pub(crate) max_delay: u32,
}

/// A network that drops, duplicates and reorders messages.
pub(crate) const LOSSY: Network = Network {
    drop_percent: 10,
    duplicate_percent: 10,
    max_delay: 8,
};

/// A network that delivers every message exactly once, in the next tick.
pub(crate) const RELIABLE: Network = Network {
    drop_percent: 0,
    duplicate_percent: 0,
    max_delay: 1,
};

/// A VM with its disk, its replica while the process runs, and the application state.
pub(crate) struct Vm {
    pub(crate) disk: MemoryStore,
    pub(crate) replica: Option<Replica>,
    /// The rate of its clock relative to the virtual clock.
    pub(crate) clock_rate: f64,
    /// The commands applied, by index.
    pub(crate) applied: BTreeMap<LogIndex, Vec<u8>>,
    pub(crate) applied_to: LogIndex,
    pub(crate) reads: BTreeMap<u64, LogIndex>,
    pub(crate) refusals: usize,
    pub(crate) storage_failures: usize,
}

/// A simulated cluster, and the commands and leaders that it has accepted.
pub(crate) struct Sim {
    pub(crate) now: Duration,
    pub(crate) rng: StdRng,
    pub(crate) vms: BTreeMap<ReplicaName, Vm>,
    pub(crate) network: Network,
    pub(crate) partitioned: BTreeSet<ReplicaName>,
    pub(crate) options: Options,
    /// Every command that a replica has reported as committed.
    pub(crate) committed: BTreeMap<LogIndex, Vec<u8>>,
    /// The leader of each term; a second one is a violation.
    pub(crate) leaders: BTreeMap<Term, ReplicaName>,
    /// The number of lost disks, to show that a run exercised disk loss.
    pub(crate) lost_disks: usize,
    /// The number of reads checked, to show that a run exercised reads.
    pub(crate) reads_checked: usize,
    /// The highest index acknowledged to a proposer.
    pub(crate) acknowledged: LogIndex,
    in_flight: Vec<(Duration, Message)>,
    epoch: Instant,
    next_id: u64,
}

impl Sim {
    pub(crate) fn start(seed: u64, names: &[&str], network: Network) -> Self {
        Self::start_with(seed, names, network, |_| {})
    }

    pub(crate) fn start_with(
        seed: u64,
        names: &[&str],
        network: Network,
        adjust: impl FnOnce(&mut Options),
    ) -> Self {
        let members: Vec<ReplicaName> = names.iter().map(|n| (*n).into()).collect();
        let mut options = Options::new("");
        options.bootstrap_members.clone_from(&members);
        options.peers.clone_from(&members);
        adjust(&mut options);
        let mut sim = Self {
            now: Duration::ZERO,
            rng: StdRng::seed_from_u64(seed),
            vms: BTreeMap::new(),
            network,
            partitioned: BTreeSet::new(),
            options,
            committed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            lost_disks: 0,
            reads_checked: 0,
            acknowledged: 0,
            in_flight: Vec::new(),
            epoch: Instant::now(),
            next_id: 0,
        };
        for name in &members {
            sim.add(name);
        }
        sim
    }

    /// Adds a VM with an empty disk and starts it.
    pub(crate) fn add(&mut self, name: &ReplicaName) {
        let drift = f64::from(self.options.max_drift_percent) / 100.0;
        let vm = Vm {
            disk: MemoryStore::default(),
            replica: None,
            clock_rate: 1.0 + self.rng.random_range(-drift..=drift),
            applied: BTreeMap::new(),
            applied_to: 0,
            reads: BTreeMap::new(),
            refusals: 0,
            storage_failures: 0,
        };
        self.vms.insert(name.clone(), vm);
        self.restart(name);
    }

    /// Adds a VM that knows only `peers`, as VMs that start from now on do.
    pub(crate) fn add_with_peers(&mut self, name: &ReplicaName, peers: &[ReplicaName]) {
        self.options.peers = peers.to_vec();
        self.options.bootstrap_members.clear();
        self.add(name);
    }

    /// Kills the process and restarts it from its disk.
    pub(crate) fn restart(&mut self, name: &ReplicaName) {
        self.stop(name);
        let now = self.clock(name);
        let seed = self.rng.random();
        let mut rng = StdRng::seed_from_u64(seed);
        let mut options = self.options.clone();
        options.name = name.clone();
        if !options.bootstrap_members.contains(name) {
            options.bootstrap_members.clear();
        }
        let disk = Box::new(self.vms[name].disk.clone());
        let random = Box::new(move || rng.random());
        let (replica, outputs) = Replica::open(&options, disk, random, now).expect("opens");
        self.vm(name).replica = Some(replica);
        self.handle_outputs(name, outputs);
    }

    pub(crate) fn stop(&mut self, name: &ReplicaName) {
        let vm = self.vm(name);
        vm.replica = None;
        vm.applied.clear();
        vm.applied_to = 0;
    }

    pub(crate) fn lose_disk(&mut self, name: &ReplicaName) {
        self.stop(name);
        self.vm(name).disk.wipe();
        self.lost_disks += 1;
    }
}

impl Sim {
    pub(crate) fn vm(&mut self, name: &ReplicaName) -> &mut Vm {
        self.vms.get_mut(name).expect("a known name")
    }

    pub(crate) fn names(&self) -> Vec<ReplicaName> {
        self.vms.keys().cloned().collect()
    }

    pub(crate) fn fail_writes(&mut self, name: &ReplicaName, faults: &[Fault]) {
        self.vm(name).disk.fail_next(faults.iter().copied());
    }

    /// Returns the time on the drifting clock of this VM.
    fn clock(&self, name: &ReplicaName) -> Instant {
        self.epoch + self.now.mul_f64(self.vms[name].clock_rate)
    }

    pub(crate) fn step(&mut self, name: &ReplicaName, input: Input) {
        let now = self.clock(name);
        let Some(replica) = &mut self.vm(name).replica else {
            return;
        };
        let outputs = replica.step(now, input);
        self.handle_outputs(name, outputs);
    }

    /// Advances the virtual clock by one tick.
    pub(crate) fn tick(&mut self) {
        self.now += TICK;
        let now = self.now;
        let (due, later) = self.in_flight.drain(..).partition(|(at, _)| *at <= now);
        self.in_flight = later;
        let due: Vec<(Duration, Message)> = due;
        for (_, message) in due {
            self.deliver(message);
        }
        for name in self.names() {
            let clock = self.clock(&name);
            let replica = self.vms[&name].replica.as_ref();
            if replica.is_some_and(|r| r.next_tick() <= clock) {
                self.step(&name, Input::Tick);
            }
        }
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.tick();
        }
    }

    /// Runs until `done` returns true, and fails the test if that takes more than a minute.
    pub(crate) fn run_until(&mut self, what: &str, done: impl Fn(&Self) -> bool) {
        let end = self.now + Duration::from_mins(1);
        while !done(self) {
            assert!(self.now < end, "not reached in 60 s: {what}");
            self.tick();
        }
    }

    pub(crate) fn propose(&mut self, name: &ReplicaName) -> Vec<u8> {
        self.next_id += 1;
        let id = self.next_id;
        let command = id.to_le_bytes().to_vec();
        let input = Input::Propose {
            id,
            command: command.clone().into(),
        };
        self.step(name, input);
        command
    }

    /// Starts a read and returns its id and the index that its answer must include.
    pub(crate) fn read(&mut self, name: &ReplicaName) -> (u64, LogIndex) {
        self.next_id += 1;
        let id = self.next_id;
        let min_index = self.acknowledged;
        self.step(name, Input::Read { id });
        (id, min_index)
    }

    fn deliver(&mut self, message: Message) {
        let is_connected = !self.partitioned.contains(&message.to)
            && !self.partitioned.contains(&message.from.name);
        if is_connected && self.vms.contains_key(&message.to) {
            let to = message.to.clone();
            self.step(&to, Input::Message(message));
        }
    }

    fn send(&mut self, message: &Message) {
        let message = Message::decode(message.encode()).expect("an encoded message decodes");
        let percent = |rng: &mut StdRng| rng.random_range(0..100);
        if percent(&mut self.rng) < self.network.drop_percent {
            return;
        }
        let copies = 1 + usize::from(percent(&mut self.rng) < self.network.duplicate_percent);
        for _ in 0..copies {
            let delay = self.rng.random_range(1..=self.network.max_delay);
            self.in_flight
                .push((self.now + TICK * delay, message.clone()));
        }
    }
}

/// Handling of outputs, with checks of the invariants.
impl Sim {
    fn handle_outputs(&mut self, name: &ReplicaName, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send(message) => self.send(&message),
                Output::Restore(snapshot) => {
                    self.restore(name, snapshot.position.index, &snapshot.data);
                }
                Output::Committed(c) => {
                    self.apply(name, c.index, c.command.to_vec());
                    if c.proposal.is_some() {
                        self.acknowledged = self.acknowledged.max(c.index);
                    }
                }
                Output::ReadReady { id, index } => {
                    self.vm(name).reads.insert(id, index);
                }
                Output::SnapshotRequested { index } => {
                    let data = encode_state(&self.vms[name].applied);
                    let data = data.into();
                    self.step(name, Input::Snapshot { index, data });
                }
                Output::Notice(Notice::Leading(term)) => self.check_leader(name, term),
                Output::Refused(_) => self.vm(name).refusals += 1,
                Output::StorageFailed(_) => self.vm(name).storage_failures += 1,
                Output::OutcomeUnknown(_) | Output::Notice(_) | Output::StorageRecovered => {}
            }
        }
    }

    fn apply(&mut self, name: &ReplicaName, index: LogIndex, command: Vec<u8>) {
        let known = self.committed.entry(index).or_insert(command.clone());
        assert_eq!(*known, command, "two commands committed at {index}");
        let vm = self.vm(name);
        assert!(index > vm.applied_to, "{name} applied {index} twice");
        vm.applied_to = index;
        vm.applied.insert(index, command);
    }

    fn restore(&mut self, name: &ReplicaName, index: LogIndex, data: &[u8]) {
        let vm = self.vm(name);
        assert!(index > vm.applied_to, "{name} went back to {index}");
        vm.applied_to = index;
        vm.applied = decode_state(data);
        let applied = vm.applied.clone();
        for (index, command) in applied {
            let known = self.committed.get(&index);
            assert_eq!(known, Some(&command), "snapshot of {name} at {index}");
        }
    }

    fn check_leader(&mut self, name: &ReplicaName, term: Term) {
        let known = self.leaders.entry(term).or_insert(name.clone());
        assert_eq!(known, name, "two leaders in term {term}");
    }

    /// Checks that a replica has applied every committed command.
    pub(crate) fn assert_complete(&self, name: &ReplicaName) {
        assert_eq!(self.vms[name].applied, self.committed, "state of {name}");
    }
}

impl Sim {
    pub(crate) fn role(&self, name: &ReplicaName) -> Option<RoleName> {
        self.vms[name].replica.as_ref().map(|r| r.status().role)
    }

    /// Returns the leader of the newest term, if there is one.
    pub(crate) fn leader(&self) -> Option<ReplicaName> {
        let running = self
            .vms
            .iter()
            .filter_map(|(n, vm)| Some((n, vm.replica.as_ref()?)));
        let leaders = running.filter(|(_, r)| r.status().role == RoleName::Leader);
        let newest = leaders.max_by_key(|(_, r)| r.status().term);
        newest.map(|(name, _)| name.clone())
    }

    /// Runs until the cluster is stable, and returns its leader.
    pub(crate) fn wait_for_leader(&mut self) -> ReplicaName {
        self.run_until("a first leader", Self::is_stable);
        self.leader().expect("a leader")
    }

    /// Returns whether a leader has committed its whole log, no learner is left, and every running
    /// voter has the incarnation listed in the membership.
    pub(crate) fn is_stable(&self) -> bool {
        let Some(leader) = self.leader() else {
            return false;
        };
        let status = self.vms[&leader].replica.as_ref().map(Replica::status);
        status.is_some_and(|s| {
            s.commit == s.last.index
                && s.membership.learners.is_empty()
                && s.membership.voters.iter().all(|v| self.is_live(v))
        })
    }

    fn is_live(&self, id: &nutmegwheel_agreement::ReplicaId) -> bool {
        let replica = self.vms[&id.name].replica.as_ref();
        replica.is_none_or(|r| r.status().id == *id)
    }

    pub(crate) fn all_applied(&self) -> bool {
        let running = || self.vms.values().filter(|vm| vm.replica.is_some());
        self.is_stable() && running().all(|vm| vm.applied == self.committed)
    }
}

fn encode_state(state: &BTreeMap<LogIndex, Vec<u8>>) -> Vec<u8> {
    let one = |(index, command): (&LogIndex, &Vec<u8>)| {
        let id = <[u8; 8]>::try_from(&command[..]).expect("8 bytes");
        [index.to_le_bytes(), id].concat()
    };
    state.iter().flat_map(one).collect()
}

fn decode_state(data: &[u8]) -> BTreeMap<LogIndex, Vec<u8>> {
    let one = |part: &[u8]| {
        let (index, command) = part.split_at(8);
        let index = u64::from_le_bytes(index.try_into().expect("8 bytes"));
        (index, command.to_vec())
    };
    data.chunks(16).map(one).collect()
}
