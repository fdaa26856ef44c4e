//! Replicas on one virtual clock, over a network and disks that lose things, with fixed seeds.
#![allow(dead_code, reason = "each test file uses a part")]

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

/// Offers that many commands to whoever leads, a step apart.
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

/// How unkind the network is.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Network {
    /// The messages lost, in percent.
    pub(crate) drop_percent: u32,
    /// The messages that come twice, in percent.
    pub(crate) double_percent: u32,
    /// The longest delay in ticks; messages overtake each other within it.
    pub(crate) max_delay: u32,
}

/// A network that loses, doubles and reorders.
pub(crate) const HARSH: Network = Network {
    drop_percent: 10,
    double_percent: 10,
    max_delay: 8,
};

/// A network that does none of it.
pub(crate) const KIND: Network = Network {
    drop_percent: 0,
    double_percent: 0,
    max_delay: 1,
};

/// One VM: its disk, its process when it runs, and the application's state.
pub(crate) struct Vm {
    pub(crate) disk: MemoryStore,
    pub(crate) replica: Option<Replica>,
    /// The rate of its clock against the virtual one.
    pub(crate) clock_rate: f64,
    /// The commands applied, by index.
    pub(crate) applied: BTreeMap<LogIndex, Vec<u8>>,
    pub(crate) applied_to: LogIndex,
    pub(crate) reads: BTreeMap<u64, LogIndex>,
    pub(crate) refused: usize,
    pub(crate) storage_failures: usize,
}

/// A cluster and what was accepted by it.
pub(crate) struct Sim {
    pub(crate) now: Duration,
    pub(crate) rng: StdRng,
    pub(crate) vms: BTreeMap<ReplicaName, Vm>,
    pub(crate) network: Network,
    pub(crate) cut: BTreeSet<ReplicaName>,
    pub(crate) options: Options,
    /// Every command that any replica reported as committed.
    pub(crate) committed: BTreeMap<LogIndex, Vec<u8>>,
    /// The one leader that each term may have.
    pub(crate) leaders: BTreeMap<Term, ReplicaName>,
    /// How often a disk was lost and a read was answered, to show that a run meant something.
    pub(crate) lost_disks: usize,
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
            cut: BTreeSet::new(),
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
            refused: 0,
            storage_failures: 0,
        };
        self.vms.insert(name.clone(), vm);
        self.restart(name);
    }

    /// Kills the process and starts it on what its disk holds.
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
        self.act(name, outputs);
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

    /// Returns what the clock of this VM shows, which drifts.
    fn clock(&self, name: &ReplicaName) -> Instant {
        self.epoch + self.now.mul_f64(self.vms[name].clock_rate)
    }

    pub(crate) fn step(&mut self, name: &ReplicaName, input: Input) {
        let now = self.clock(name);
        let Some(replica) = &mut self.vm(name).replica else {
            return;
        };
        let outputs = replica.step(now, input);
        self.act(name, outputs);
    }

    /// Lets one step of the virtual clock pass.
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

    /// Runs until `done` holds, and fails the test when it does not within a minute.
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

    /// Starts a read and returns its number and the index that its answer must include.
    pub(crate) fn read(&mut self, name: &ReplicaName) -> (u64, LogIndex) {
        self.next_id += 1;
        let id = self.next_id;
        let floor = self.acknowledged;
        self.step(name, Input::Read { id });
        (id, floor)
    }

    fn deliver(&mut self, message: Message) {
        let open = !self.cut.contains(&message.to) && !self.cut.contains(&message.from.name);
        if open && self.vms.contains_key(&message.to) {
            let to = message.to.clone();
            self.step(&to, Input::Message(message));
        }
    }

    fn send(&mut self, message: &Message) {
        let message = Message::decode(message.encode()).expect("what was encoded");
        let percent = |rng: &mut StdRng| rng.random_range(0..100);
        if percent(&mut self.rng) < self.network.drop_percent {
            return;
        }
        let copies = 1 + usize::from(percent(&mut self.rng) < self.network.double_percent);
        for _ in 0..copies {
            let delay = self.rng.random_range(1..=self.network.max_delay);
            self.in_flight
                .push((self.now + TICK * delay, message.clone()));
        }
    }
}

/// What comes out, and the invariants that it must keep.
impl Sim {
    fn act(&mut self, name: &ReplicaName, outputs: Vec<Output>) {
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
                Output::Refused(_) => self.vm(name).refused += 1,
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

    /// Checks that a replica has applied all that was ever committed.
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

    /// Returns whether `name` leads and has committed all of its log, membership changes included.
    /// Runs until there is a first leader, and returns its name.
    pub(crate) fn settle(&mut self) -> ReplicaName {
        self.run_until("a first leader", Self::is_settled);
        self.leader().expect("a leader")
    }

    pub(crate) fn is_settled(&self) -> bool {
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
        self.is_settled() && running().all(|vm| vm.applied == self.committed)
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
