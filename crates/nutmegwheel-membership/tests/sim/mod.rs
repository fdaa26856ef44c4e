//! A fleet of gossiping processes on a virtual clock, with drops, restarts and cuts.
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

/// The bytes that the framing of a link adds to a message.
const FRAME_BYTES: u64 = 4;
/// The bytes of a whole configuration.
const SNAPSHOT_BYTES: usize = 20 * 1024;
/// The bytes of one change of it.
const CHANGE_BYTES: usize = 300;
/// How often stamps are issued.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// How long a control VM vouches for its state.
const AUTHORITY: Duration = Duration::from_secs(1);

/// What a fleet looks like.
#[derive(Clone, Copy)]
pub(crate) struct Shape {
    pub(crate) members: usize,
    pub(crate) data_centres: usize,
    pub(crate) control: usize,
    pub(crate) seed: u64,
}

pub(crate) struct Process {
    pub(crate) gossip: Gossip,
    pub(crate) options: Options,
    pub(crate) data_centre: usize,
    pub(crate) is_up: bool,
    pub(crate) is_frozen: bool,
    pub(crate) sent: u64,
    pub(crate) received: u64,
    lives: u64,
    held_back: Vec<(SocketAddr, Message)>,
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

enum Due {
    Tick(usize, u64),
    Heartbeat,
    Deliver(Box<Delivery>),
}

struct Delivery {
    to: usize,
    life: u64,
    from: SocketAddr,
    message: Message,
}

pub(crate) struct Sim {
    pub(crate) shape: Shape,
    pub(crate) processes: Vec<Process>,
    pub(crate) counts: Counts,
    pub(crate) drops: f64,
    pub(crate) now: Duration,
    pub(crate) base: Instant,
    pub(crate) rng: StdRng,
    by_address: BTreeMap<SocketAddr, usize>,
    cut: BTreeSet<usize>,
    isolated: BTreeSet<usize>,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    due: BTreeMap<u64, Due>,
    next: u64,
    heartbeat: u64,
    timed: bool,
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

/// What a control VM says of itself.
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

/// Lifecycle.
impl Sim {
    pub(crate) fn open(shape: Shape) -> Self {
        let mut sim = Self {
            shape,
            processes: Vec::new(),
            counts: Counts::default(),
            drops: 0.0,
            now: Duration::ZERO,
            base: Instant::now(),
            rng: StdRng::seed_from_u64(shape.seed),
            by_address: BTreeMap::new(),
            cut: BTreeSet::new(),
            isolated: BTreeSet::new(),
            queue: BinaryHeap::new(),
            due: BTreeMap::new(),
            next: 0,
            heartbeat: 0,
            timed: false,
        };
        for index in 0..shape.members {
            let options = sim.options(index);
            sim.by_address.insert(options.link, index);
            sim.processes.push(Process {
                gossip: Gossip::open(options.clone()),
                data_centre: index % shape.data_centres,
                options,
                is_up: true,
                is_frozen: false,
                sent: 0,
                received: 0,
                lives: 0,
                held_back: Vec::new(),
            });
            let start = Duration::from_micros(sim.rng.random_range(0..1_000_000));
            sim.plan(start, Due::Tick(index, 0));
        }
        sim.plan(Duration::ZERO, Due::Heartbeat);
        let first = configuration(1);
        let now = sim.instant();
        sim.processes[0].gossip.set_configuration(now, first);
        sim
    }

    pub(crate) fn timed(mut self) -> Self {
        self.timed = true;
        self
    }

    /// Processes with low indices are control VMs; the three lowest of a data centre are its seeds.
    fn options(&mut self, index: usize) -> Options {
        const SEEDS: usize = 3;
        let centres = self.shape.data_centres;
        let seeds_of = |centre: usize| (0..SEEDS).map(move |place| centre + place * centres);
        let own = index % centres;
        let seeds = seeds_of(own)
            .filter(|seed| *seed < self.shape.members)
            .map(|seed| Seed {
                name: name(seed),
                link: address(seed),
            })
            .collect();
        let is_control = index < self.shape.control;
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
        self.base + self.now
    }

    fn plan(&mut self, at: Duration, due: Due) {
        self.queue.push(Reverse((at, self.next)));
        self.due.insert(self.next, due);
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
            let due = self.due.remove(&id).unwrap();
            self.step(due);
        }
        self.now = until;
    }

    pub(crate) fn run_for(&mut self, time: Duration) {
        self.run_to(self.now + time);
    }

    /// Runs until the condition holds and returns how long that took, or `None` past the limit.
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

    fn step(&mut self, due: Due) {
        match due {
            Due::Tick(index, life) => self.tick(index, life),
            Due::Heartbeat => self.issue_heartbeat(),
            Due::Deliver(delivery) => self.deliver(*delivery),
        }
    }

    fn tick(&mut self, index: usize, life: u64) {
        let process = &self.processes[index];
        if !process.is_up || process.lives != life {
            return;
        }
        let is_frozen = process.is_frozen;
        self.plan(self.now + TICK, Due::Tick(index, life));
        if is_frozen {
            return;
        }
        let now = self.instant();
        let started = self.timed.then(Instant::now);
        let out = self.processes[index].gossip.tick(now);
        if let Some(started) = started {
            self.counts.tick_time += started.elapsed();
            self.counts.ticks += 1;
        }
        self.act(index, out);
    }

    fn issue_heartbeat(&mut self) {
        self.plan(self.now + HEARTBEAT_INTERVAL, Due::Heartbeat);
        let now = self.instant();
        self.heartbeat += 1;
        let heartbeat = ControlHeartbeat {
            term: 1,
            sequence: self.heartbeat,
        };
        for index in 0..self.shape.control {
            let process = &self.processes[index];
            let is_cut = self.is_cut_off(0, index);
            if process.is_frozen || !process.is_up || is_cut {
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
            life,
            from,
            message,
        } = delivery;
        let process = &mut self.processes[to];
        if !process.is_up || process.lives != life {
            return;
        }
        if process.is_frozen {
            process.held_back.push((from, message));
            return;
        }
        process.received += size(&message);
        let now = self.instant();
        let started = self.timed.then(Instant::now);
        let out = self.processes[to].gossip.receive(now, from, message);
        if let Some(started) = started {
            self.counts.receive_time += started.elapsed();
            self.counts.receives += 1;
        }
        self.act(to, out);
    }

    /// Sends what a process wants to send and applies what it learnt.
    pub(crate) fn act(&mut self, index: usize, out: Vec<Outgoing>) {
        for message in out {
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
                let out = self.processes[index]
                    .gossip
                    .set_configuration(now, configuration(version));
                self.act(index, out);
            }
            Event::Suspected(_) => self.counts.suspicions += 1,
            Event::Died(record) => {
                let dead = self.by_address[&record.link];
                if self.processes[dead].is_up && record.incarnation == self.incarnation(dead) {
                    self.counts.false_deaths += 1;
                }
                self.counts.deaths.entry(dead).or_insert(self.now);
            }
            _ => {}
        }
    }

    fn incarnation(&self, index: usize) -> u64 {
        self.processes[index].gossip.own().incarnation
    }

    fn transmit(&mut self, from: usize, out: Outgoing) {
        let bytes = size(&out.message);
        self.processes[from].sent += bytes;
        self.counts.messages += 1;
        *self
            .counts
            .sent_by_kind
            .entry(kind(&out.message))
            .or_default() += bytes;
        let Some(&to) = self.by_address.get(&out.to) else {
            return;
        };
        let is_dropped = self.drops > 0.0 && self.rng.random_bool(self.drops);
        if is_dropped || self.is_cut_off(from, to) {
            return;
        }
        let is_local = self.processes[from].data_centre == self.processes[to].data_centre;
        let delay = if is_local { 200..600 } else { 1_000..2_500 };
        let delay = Duration::from_micros(self.rng.random_range(delay));
        let delivery = Delivery {
            to,
            life: self.processes[to].lives,
            from: address(from),
            message: out.message,
        };
        self.plan(self.now + delay, Due::Deliver(Box::new(delivery)));
    }

    fn is_cut_off(&self, from: usize, to: usize) -> bool {
        let centre = |index: usize| self.processes[index].data_centre;
        let is_isolated = self.isolated.contains(&from) || self.isolated.contains(&to);
        from != to
            && (is_isolated || self.cut.contains(&centre(from)) != self.cut.contains(&centre(to)))
    }
}

/// Faults and changes.
impl Sim {
    pub(crate) fn cut(&mut self, centre: usize) {
        self.cut.insert(centre);
    }

    pub(crate) fn isolate(&mut self, index: usize) {
        self.isolated.insert(index);
    }

    pub(crate) fn heal(&mut self) {
        self.cut.clear();
        self.isolated.clear();
    }

    pub(crate) fn crash(&mut self, index: usize) {
        self.processes[index].is_up = false;
        self.processes[index].lives += 1;
    }

    /// Starts a process anew with the same name and an incarnation that is not newer.
    pub(crate) fn restart(&mut self, index: usize) {
        let nonce = self.rng.random();
        let process = &mut self.processes[index];
        process.options.nonce = nonce;
        process.gossip = Gossip::open(process.options.clone());
        process.is_up = true;
        process.is_frozen = false;
        process.lives += 1;
        let life = process.lives;
        self.plan(self.now, Due::Tick(index, life));
    }

    pub(crate) fn freeze(&mut self, index: usize) {
        self.processes[index].is_frozen = true;
    }

    pub(crate) fn thaw(&mut self, index: usize) {
        self.processes[index].is_frozen = false;
        let held_back = std::mem::take(&mut self.processes[index].held_back);
        let life = self.processes[index].lives;
        for (from, message) in held_back {
            self.deliver(Delivery {
                to: index,
                life,
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
        let out = self.processes[index]
            .gossip
            .announce(now, Some(announcement));
        self.act(index, out);
    }

    pub(crate) fn leave(&mut self, index: usize) {
        let now = self.instant();
        let out = self.processes[index].gossip.leave(now);
        self.act(index, out);
    }

    pub(crate) fn publish(&mut self, index: usize, version: u64) {
        let now = self.instant();
        let out = self.processes[index]
            .gossip
            .set_configuration(now, configuration(version));
        self.act(index, out);
    }

    pub(crate) fn withdraw(&mut self, index: usize, key: [u8; 32], committed: bool) {
        let now = self.instant();
        let out = self.processes[index].gossip.withdraw(now, key, committed);
        self.act(index, out);
    }
}

/// Access.
impl Sim {
    pub(crate) fn up(&self) -> impl Iterator<Item = &Process> {
        self.processes.iter().filter(|process| process.is_up)
    }

    pub(crate) fn all_know_all(&self) -> bool {
        let up = self.up().count();
        self.up().all(|process| {
            let live = process.gossip.members();
            live.filter(|record| record.health == Health::Alive).count() == up
        })
    }

    pub(crate) fn all_see_ready(&self) -> bool {
        let up = self.up().count();
        let is_ready = |record: &&Record| {
            let announcement = record.announcement.as_ref();
            announcement.is_some_and(|a| a.state == AnnouncementState::Ready)
        };
        self.up()
            .all(|process| process.gossip.members().filter(is_ready).count() == up)
    }

    pub(crate) fn knows_all(&self, index: usize) -> bool {
        self.known_by(index, |_| true) == self.up().count()
    }

    pub(crate) fn knows_own_data_centre(&self, index: usize) -> bool {
        let own = &self.processes[index].options.data_centre;
        let up = self.up().filter(|p| p.options.data_centre == *own).count();
        self.known_by(index, |record| record.data_centre == *own) == up
    }

    fn known_by(&self, index: usize, is_counted: impl Fn(&Record) -> bool) -> usize {
        let members = self.processes[index].gossip.members();
        members
            .filter(|record| record.health == Health::Alive && is_counted(record))
            .count()
    }

    /// Whether no process holds a record of this one that would let it send work there.
    pub(crate) fn none_sees_active(&self, index: usize) -> bool {
        let name = name(index);
        self.up().all(|process| {
            let record = process.gossip.member(&name);
            record.is_none_or(|record| record.status == MemberStatus::Leaving)
        })
    }

    pub(crate) fn all_hold(&self, version: u64) -> bool {
        let now = self.instant();
        self.up()
            .all(|process| process.gossip.freshness(now).version >= version)
    }

    pub(crate) fn all_have_withdrawn(&self, key: &[u8; 32]) -> bool {
        self.up().all(|process| process.gossip.is_withdrawn(key))
    }

    pub(crate) fn all_see_leaving(&self, index: usize) -> bool {
        let name = name(index);
        self.up().all(|process| {
            let record = process.gossip.member(&name);
            record.is_some_and(|record| record.status == MemberStatus::Leaving)
        })
    }

    pub(crate) fn all_see_dead(&self, index: usize) -> bool {
        let name = name(index);
        self.up().all(|process| {
            let record = process.gossip.member(&name);
            record.is_none_or(|record| record.health == Health::Dead)
        })
    }

    pub(crate) fn serving(&self, centre: usize) -> (usize, usize) {
        use nutmegwheel_membership::freshness::Decision;
        let now = self.instant();
        let inside = self.up().filter(|process| process.data_centre == centre);
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
        Body::Updates { .. } => "rumours",
        Body::Join(_) => "join",
        Body::Digest(_) | Body::Sync { .. } | Body::RecordRequest(_) => "compare",
        Body::Records(_) => "records",
        Body::Renew(_) | Body::Confirmation(_) => "lease",
        Body::Pull(_) | Body::Withdrawn(_) | Body::Withdraw(_) | Body::WithdrawAck(_) => {
            "withdrawn"
        }
        Body::Fetch { .. } | Body::Configuration(_) => "configuration",
    }
}
