//! A fleet of gossiping processes on a virtual clock, with message loss, restarts, pauses and
//! partitions.
#![allow(dead_code, reason = "the tests and the example each use a part")]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use nutmegwheel_membership::{
    Announcement, AnnouncementState, Change, Configuration, ControlHeartbeat, Event, Gossip,
    Health, MemberStatus, Message, Options, Outgoing, PartitionPolicy, Record, Role, Seed, TICK,
    wire,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// The framing overhead of a link per message.
const FRAME_BYTES: u64 = 4;
const SNAPSHOT_BYTES: usize = 20 * 1024;
const CHANGE_BYTES: usize = 300;
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// The time for which a control VM is authoritative once it holds all committed state.
const AUTHORITY: Duration = Duration::from_secs(1);

/// The size and layout of a fleet, and the seed of its randomness.
#[derive(Clone, Copy)]
pub(crate) struct Topology {
    pub(crate) members: usize,
    pub(crate) data_centres: usize,
    pub(crate) control: usize,
    pub(crate) seed: u64,
}

pub(crate) struct Process {
    pub(crate) gossip: Gossip,
    pub(crate) options: Options,
    pub(crate) data_centre: usize,
    pub(crate) is_running: bool,
    pub(crate) is_paused: bool,
    pub(crate) sent: u64,
    pub(crate) received: u64,
    incarnation: u64,
    deferred: Vec<(SocketAddr, Message)>,
}

#[derive(Default)]
pub(crate) struct Counts {
    pub(crate) false_deaths: u64,
    pub(crate) suspicions: u64,
    pub(crate) deaths: BTreeMap<usize, Duration>,
    pub(crate) messages: u64,
    pub(crate) sent_by_kind: BTreeMap<&'static str, u64>,
    pub(crate) tick_time: Duration,
    pub(crate) ticks: u64,
    pub(crate) receive_time: Duration,
    pub(crate) receives: u64,
}

enum ScheduledTask {
    Tick(usize, u64),
    Heartbeat,
    Deliver(Box<Delivery>),
}

struct Delivery {
    to: usize,
    incarnation: u64,
    from: SocketAddr,
    message: Message,
}

pub(crate) struct Sim {
    pub(crate) topology: Topology,
    pub(crate) processes: Vec<Process>,
    pub(crate) counts: Counts,
    pub(crate) loss_rate: f64,
    pub(crate) now: Duration,
    pub(crate) epoch: Instant,
    pub(crate) rng: StdRng,
    by_address: BTreeMap<SocketAddr, usize>,
    partitioned: BTreeSet<usize>,
    isolated: BTreeSet<usize>,
    /// The pairs of processes that cannot reach each other.
    cut: BTreeSet<(usize, usize)>,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    scheduled: BTreeMap<u64, ScheduledTask>,
    next: u64,
    heartbeat: u64,
    measures_time: bool,
}

pub(crate) fn address(index: usize) -> SocketAddr {
    let [_, _, high, low] = u32::try_from(index).unwrap().to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7000))
}

fn name(index: usize) -> Arc<str> {
    Arc::from(format!("process-{index}"))
}

pub(crate) fn data_centre(index: usize) -> Arc<str> {
    Arc::from(format!("dc{index}"))
}

/// The record that a control VM publishes of itself.
pub(crate) fn control_record(index: usize, data_centre: Arc<str>) -> Record {
    Record {
        name: Arc::from(format!("control-{index}")),
        data_centre,
        role: Role::Control,
        seed: false,
        link: address(index),
        callers: None,
        platform: None,
        incarnation: 1,
        counter: 0,
        status: MemberStatus::Active,
        announcement: None,
        health: Health::Alive,
    }
}

impl Sim {
    pub(crate) fn open(topology: Topology) -> Self {
        let mut sim = Self {
            topology,
            processes: Vec::new(),
            counts: Counts::default(),
            loss_rate: 0.0,
            now: Duration::ZERO,
            epoch: Instant::now(),
            rng: StdRng::seed_from_u64(topology.seed),
            by_address: BTreeMap::new(),
            partitioned: BTreeSet::new(),
            isolated: BTreeSet::new(),
            cut: BTreeSet::new(),
            queue: BinaryHeap::new(),
            scheduled: BTreeMap::new(),
            next: 0,
            heartbeat: 0,
            measures_time: false,
        };
        for index in 0..topology.members {
            let options = sim.options(index);
            sim.by_address.insert(options.link, index);
            sim.processes.push(Process {
                gossip: Gossip::open(options.clone()),
                data_centre: index % topology.data_centres,
                options,
                is_running: true,
                is_paused: false,
                sent: 0,
                received: 0,
                incarnation: 0,
                deferred: Vec::new(),
            });
            let start = Duration::from_micros(sim.rng.random_range(0..1_000_000));
            sim.schedule(start, ScheduledTask::Tick(index, 0));
        }
        sim.schedule(Duration::ZERO, ScheduledTask::Heartbeat);
        let first = configuration(1);
        let now = sim.instant();
        sim.processes[0].gossip.set_configuration(now, first);
        sim
    }

    pub(crate) fn with_timing(mut self) -> Self {
        self.measures_time = true;
        self
    }

    /// Processes with low indices are control VMs; the three lowest of a data centre are its seeds.
    fn options(&mut self, index: usize) -> Options {
        const SEEDS: usize = 3;
        let centres = self.topology.data_centres;
        let seeds_of = |centre: usize| (0..SEEDS).map(move |place| centre + place * centres);
        let own = index % centres;
        let seeds = seeds_of(own)
            .filter(|seed| *seed < self.topology.members)
            .map(|seed| Seed {
                name: name(seed),
                link: address(seed),
            })
            .collect();
        let is_control = index < self.topology.control;
        Options {
            name: name(index),
            data_centre: data_centre(own),
            role: if is_control {
                Role::Control
            } else {
                Role::Node
            },
            link: address(index),
            callers: Some(address(index)),
            platform: None,
            incarnation: 1,
            nonce: self.rng.random(),
            seeds,
            contacts: (0..centres).map(address).collect(),
            data_centres: (0..centres).map(data_centre).collect(),
            partition_policy: PartitionPolicy::Serve,
            needs_lease: true,
        }
    }

    pub(crate) fn instant(&self) -> Instant {
        self.epoch + self.now
    }

    fn schedule(&mut self, at: Duration, task: ScheduledTask) {
        self.queue.push(Reverse((at, self.next)));
        self.scheduled.insert(self.next, task);
        self.next += 1;
    }

    /// Runs until the virtual time `until`.
    pub(crate) fn run_to(&mut self, until: Duration) {
        while let Some(Reverse((at, id))) = self.queue.peek().copied() {
            if at > until {
                break;
            }
            self.queue.pop();
            self.now = at;
            let task = self.scheduled.remove(&id).unwrap();
            self.step(task);
        }
        self.now = until;
    }

    pub(crate) fn run_for(&mut self, time: Duration) {
        self.run_to(self.now + time);
    }

    /// Runs until the condition holds and returns the elapsed time, or `None` after the limit.
    pub(crate) fn run_until(
        &mut self,
        limit: Duration,
        mut condition: impl FnMut(&Self) -> bool,
    ) -> Option<Duration> {
        const STEP: Duration = Duration::from_millis(20);
        let start = self.now;
        while self.now <= start + limit {
            if condition(self) {
                return Some(self.now.saturating_sub(start));
            }
            self.run_for(STEP);
        }
        None
    }

    fn step(&mut self, task: ScheduledTask) {
        match task {
            ScheduledTask::Tick(index, incarnation) => self.tick(index, incarnation),
            ScheduledTask::Heartbeat => self.issue_heartbeat(),
            ScheduledTask::Deliver(delivery) => self.deliver(*delivery),
        }
    }

    fn tick(&mut self, index: usize, incarnation: u64) {
        let process = &self.processes[index];
        if !process.is_running || process.incarnation != incarnation {
            return;
        }
        let is_paused = process.is_paused;
        self.schedule(self.now + TICK, ScheduledTask::Tick(index, incarnation));
        if is_paused {
            return;
        }
        let now = self.instant();
        let started = self.measures_time.then(Instant::now);
        let outgoing = self.processes[index].gossip.tick(now);
        if let Some(started) = started {
            self.counts.tick_time += started.elapsed();
            self.counts.ticks += 1;
        }
        self.dispatch(index, outgoing);
    }

    fn issue_heartbeat(&mut self) {
        self.schedule(self.now + HEARTBEAT_INTERVAL, ScheduledTask::Heartbeat);
        let now = self.instant();
        self.heartbeat += 1;
        let heartbeat = ControlHeartbeat {
            term: 1,
            sequence: self.heartbeat,
        };
        for index in 0..self.topology.control {
            let process = &self.processes[index];
            let is_partitioned = self.is_partitioned(0, index);
            if process.is_paused || !process.is_running || is_partitioned {
                continue;
            }
            let version = self.processes[0].gossip.freshness(now).version;
            let gossip = &mut self.processes[index].gossip;
            if gossip.freshness(now).version >= version {
                gossip.extend_authority(now + AUTHORITY);
            }
            if index == 0 {
                gossip.issue_heartbeat(now, heartbeat);
            }
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        let Delivery {
            to,
            incarnation,
            from,
            message,
        } = delivery;
        let process = &mut self.processes[to];
        if !process.is_running || process.incarnation != incarnation {
            return;
        }
        if process.is_paused {
            process.deferred.push((from, message));
            return;
        }
        process.received += size(&message);
        let now = self.instant();
        let started = self.measures_time.then(Instant::now);
        let outgoing = self.processes[to].gossip.receive(now, from, message);
        if let Some(started) = started {
            self.counts.receive_time += started.elapsed();
            self.counts.receives += 1;
        }
        self.dispatch(to, outgoing);
    }

    /// Sends the outgoing messages of a process and applies its events.
    pub(crate) fn dispatch(&mut self, index: usize, outgoing: Vec<Outgoing>) {
        for message in outgoing {
            self.transmit(index, message);
        }
        for event in self.processes[index].gossip.take_events() {
            self.apply(index, event);
        }
    }

    fn apply(&mut self, index: usize, event: Event) {
        match event {
            Event::ConfigurationFetched(Change { version, .. }) => {
                let now = self.instant();
                let outgoing = self.processes[index]
                    .gossip
                    .set_configuration(now, configuration(version));
                self.dispatch(index, outgoing);
            }
            Event::Suspected(_) => self.counts.suspicions += 1,
            Event::Died(record) => {
                let dead = self.by_address[&record.link];
                if self.processes[dead].is_running
                    && record.incarnation == self.gossip_incarnation(dead)
                {
                    self.counts.false_deaths += 1;
                }
                self.counts.deaths.entry(dead).or_insert(self.now);
            }
            _ => {}
        }
    }

    fn gossip_incarnation(&self, index: usize) -> u64 {
        self.processes[index].gossip.own().incarnation
    }

    fn transmit(&mut self, from: usize, outgoing: Outgoing) {
        let bytes = size(&outgoing.message);
        self.processes[from].sent += bytes;
        self.counts.messages += 1;
        *self
            .counts
            .sent_by_kind
            .entry(kind(&outgoing.message))
            .or_default() += bytes;
        let Some(&to) = self.by_address.get(&outgoing.to) else {
            return;
        };
        let is_dropped = self.loss_rate > 0.0 && self.rng.random_bool(self.loss_rate);
        if is_dropped || self.is_partitioned(from, to) {
            return;
        }
        let is_local = self.processes[from].data_centre == self.processes[to].data_centre;
        let delay = if is_local { 200..600 } else { 1_000..2_500 };
        let delay = Duration::from_micros(self.rng.random_range(delay));
        let delivery = Delivery {
            to,
            incarnation: self.processes[to].incarnation,
            from: address(from),
            message: outgoing.message,
        };
        self.schedule(self.now + delay, ScheduledTask::Deliver(Box::new(delivery)));
    }

    fn is_partitioned(&self, from: usize, to: usize) -> bool {
        let centre = |index: usize| self.processes[index].data_centre;
        let is_isolated = self.isolated.contains(&from) || self.isolated.contains(&to);
        let is_cut = self.cut.contains(&(from.min(to), from.max(to)));
        from != to
            && (is_isolated
                || is_cut
                || self.partitioned.contains(&centre(from))
                    != self.partitioned.contains(&centre(to)))
    }
}

/// Fault injection and changes.
impl Sim {
    pub(crate) fn partition(&mut self, centre: usize) {
        self.partitioned.insert(centre);
    }

    pub(crate) fn isolate(&mut self, index: usize) {
        self.isolated.insert(index);
    }

    pub(crate) fn heal(&mut self) {
        self.partitioned.clear();
        self.isolated.clear();
        self.cut.clear();
    }

    pub(crate) fn crash(&mut self, index: usize) {
        self.processes[index].is_running = false;
        self.processes[index].incarnation += 1;
    }

    /// Restarts a process with the same name and an incarnation that is not greater.
    pub(crate) fn restart(&mut self, index: usize) {
        let nonce = self.rng.random();
        let process = &mut self.processes[index];
        process.options.nonce = nonce;
        process.gossip = Gossip::open(process.options.clone());
        process.is_running = true;
        process.is_paused = false;
        process.incarnation += 1;
        let incarnation = process.incarnation;
        self.schedule(self.now, ScheduledTask::Tick(index, incarnation));
    }

    /// Restarts all processes as in a fleet whose settings name only contacts: without seeds, with
    /// the control VMs as contacts.
    pub(crate) fn reopen_without_leases(&mut self) {
        let contacts: Vec<SocketAddr> = (0..self.topology.control).map(address).collect();
        for index in 0..self.processes.len() {
            let options = &mut self.processes[index].options;
            options.needs_lease = false;
            options.seeds.clear();
            options.contacts.clone_from(&contacts);
            self.restart(index);
        }
        self.publish(0, 1);
    }

    /// Restarts all processes as in a fleet in which the control VM of a data centre is its only
    /// seed.
    pub(crate) fn reopen_with_control_seeds(&mut self) {
        let control: BTreeSet<SocketAddr> = (0..self.topology.control).map(address).collect();
        for index in 0..self.processes.len() {
            let seeds = &mut self.processes[index].options.seeds;
            seeds.retain(|seed| control.contains(&seed.link));
            self.restart(index);
        }
        self.publish(0, 1);
    }

    /// Cuts two processes off from each other in both directions.
    pub(crate) fn cut_pair(&mut self, first: usize, second: usize) {
        self.cut.insert((first.min(second), first.max(second)));
    }

    pub(crate) fn pause(&mut self, index: usize) {
        self.processes[index].is_paused = true;
    }

    pub(crate) fn resume(&mut self, index: usize) {
        self.processes[index].is_paused = false;
        let deferred = std::mem::take(&mut self.processes[index].deferred);
        let incarnation = self.processes[index].incarnation;
        for (from, message) in deferred {
            self.deliver(Delivery {
                to: index,
                incarnation,
                from,
                message,
            });
        }
    }

    pub(crate) fn announce(&mut self, index: usize, state: AnnouncementState) {
        let announcement = Announcement {
            service: Arc::from("tally-portal"),
            slots: 55,
            state,
        };
        let now = self.instant();
        let outgoing = self.processes[index]
            .gossip
            .announce(now, Some(announcement));
        self.dispatch(index, outgoing);
    }

    pub(crate) fn leave(&mut self, index: usize) {
        let now = self.instant();
        let outgoing = self.processes[index].gossip.leave(now);
        self.dispatch(index, outgoing);
    }

    pub(crate) fn publish(&mut self, index: usize, version: u64) {
        let now = self.instant();
        let outgoing = self.processes[index]
            .gossip
            .set_configuration(now, configuration(version));
        self.dispatch(index, outgoing);
    }

    pub(crate) fn withdraw(&mut self, index: usize, key: [u8; 32], committed: bool) {
        let now = self.instant();
        let outgoing = self.processes[index].gossip.withdraw(now, key, committed);
        self.dispatch(index, outgoing);
    }
}

impl Sim {
    pub(crate) fn running(&self) -> impl Iterator<Item = &Process> {
        self.processes.iter().filter(|process| process.is_running)
    }

    pub(crate) fn all_know_all_members(&self) -> bool {
        let running = self.running().count();
        self.running().all(|process| {
            let live = process.gossip.members();
            live.filter(|record| record.health == Health::Alive).count() == running
        })
    }

    pub(crate) fn all_members_see_all_ready(&self) -> bool {
        let running = self.running().count();
        let is_ready = |record: &&Record| {
            let announcement = record.announcement.as_ref();
            announcement.is_some_and(|a| a.state == AnnouncementState::Ready)
        };
        self.running()
            .all(|process| process.gossip.members().filter(is_ready).count() == running)
    }

    pub(crate) fn knows_all_members(&self, index: usize) -> bool {
        self.count_known(index, |_| true) == self.running().count()
    }

    pub(crate) fn knows_own_data_centre(&self, index: usize) -> bool {
        let own = &self.processes[index].options.data_centre;
        let running = self
            .running()
            .filter(|p| p.options.data_centre == *own)
            .count();
        self.count_known(index, |record| record.data_centre == *own) == running
    }

    fn count_known(&self, index: usize, is_counted: impl Fn(&Record) -> bool) -> usize {
        let members = self.processes[index].gossip.members();
        members
            .filter(|record| record.health == Health::Alive && is_counted(record))
            .count()
    }

    /// Whether no running process considers this one active, so that none would send work to it.
    pub(crate) fn no_member_sees_active(&self, index: usize) -> bool {
        let name = name(index);
        self.running().all(|process| {
            let record = process.gossip.member(&name);
            record.is_none_or(|record| record.status == MemberStatus::Leaving)
        })
    }

    pub(crate) fn all_have_version(&self, version: u64) -> bool {
        let now = self.instant();
        self.running()
            .all(|process| process.gossip.freshness(now).version >= version)
    }

    pub(crate) fn has_version(&self, index: usize, version: u64) -> bool {
        let now = self.instant();
        self.processes[index].gossip.freshness(now).version >= version
    }

    pub(crate) fn all_have_withdrawn(&self, key: &[u8; 32]) -> bool {
        self.running()
            .all(|process| process.gossip.is_withdrawn(key))
    }

    pub(crate) fn all_members_see_leaving(&self, index: usize) -> bool {
        let name = name(index);
        self.running().all(|process| {
            let record = process.gossip.member(&name);
            record.is_some_and(|record| record.status == MemberStatus::Leaving)
        })
    }

    pub(crate) fn all_members_see_dead(&self, index: usize) -> bool {
        let name = name(index);
        self.running().all(|process| {
            let record = process.gossip.member(&name);
            record.is_none_or(|record| record.health == Health::Dead)
        })
    }

    pub(crate) fn count_serving(&self, centre: usize) -> (usize, usize) {
        use nutmegwheel_membership::freshness::Decision;
        let now = self.instant();
        let inside = self
            .running()
            .filter(|process| process.data_centre == centre);
        let all: Vec<bool> = inside
            .map(|process| process.gossip.decide(now) == Decision::Serve)
            .collect();
        (all.iter().filter(|serves| **serves).count(), all.len())
    }

    pub(crate) fn reset_bytes(&mut self) {
        for process in &mut self.processes {
            process.sent = 0;
            process.received = 0;
        }
        self.counts.sent_by_kind.clear();
    }
}

pub(crate) fn configuration(version: u64) -> Configuration {
    let fill = u8::try_from(version % 256).unwrap();
    Configuration {
        version,
        snapshot: Arc::from(vec![fill; SNAPSHOT_BYTES]),
        change: Some(Arc::from(vec![fill; CHANGE_BYTES])),
    }
}

fn size(message: &Message) -> u64 {
    u64::try_from(wire::encoded_len(message)).unwrap() + FRAME_BYTES
}

fn kind(message: &Message) -> &'static str {
    use nutmegwheel_membership::Body;
    match message.body {
        Body::Ping { .. } | Body::Ack { .. } | Body::ProbeRequest { .. } => "probe",
        Body::Updates { .. } => "updates",
        Body::Join(_) => "join",
        Body::Digest(_) | Body::Sync { .. } | Body::RecordRequest(_) => "anti-entropy",
        Body::Records(_) => "records",
        Body::Renew(_) | Body::Confirmation(_) => "lease",
        Body::Pull(_) | Body::Withdrawn(_) | Body::Withdraw(_) | Body::WithdrawAck(_) => {
            "withdrawn"
        }
        Body::Fetch { .. } | Body::Configuration(_) => "configuration",
    }
}
