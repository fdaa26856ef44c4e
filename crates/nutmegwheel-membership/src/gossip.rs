//! The gossip state machine of one process.

mod budget;
mod control;
mod dissemination;
mod membership;
mod options;
mod queries;
mod receive;
mod state_sync;
mod tick;

pub use options::{Event, Options, Outgoing};
pub use queries::{BackendServer, Freshness};

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use nutmegwheel_types::{Incarnation, plain};

use crate::broadcast_queue::BroadcastQueue;
use crate::configuration::ConfigurationStore;
use crate::freshness::{Lease, LeaseOptions, SeedState};
use crate::heartbeat::LatestHeartbeat;
use crate::probe::Prober;
use crate::random::Random;
use crate::record::Record;
use crate::table::Table;
use crate::withdrawal::TrackedWithdrawals;
use crate::{Body, Health, LinkAddress, MemberStatus, Message, WithdrawnSet};

use budget::Budget;
use control::ControlMonitor;

/// The interval at which [`Gossip::tick`] must be called.
pub const TICK: Duration = Duration::from_millis(100);

plain! {
    /// The gossip state machine of one process; see docs/spec/SPREAD.md.
    pub struct Gossip {
        options: Options,
        table: Table,
        broadcasts: BroadcastQueue,
        prober: Prober,
        withdrawn: WithdrawnSet,
        read_positions: BTreeMap<LinkAddress, ReadPosition>,
        lease: Lease,
        seed_state: Option<SeedState>,
        control: ControlMonitor,
        store: ConfigurationStore,
        latest_heartbeat: LatestHeartbeat,
        tracked: TrackedWithdrawals,
        authority_until: Option<Instant>,
        budget: Budget,
        random: Random,
        next_sequence: u64,
        timers: Timers,
        is_stopped: bool,
        outbox: Vec<Outgoing>,
        inbox: VecDeque<Message>,
        events: Vec<Event>,
    }

    /// The number of keys read so far from a peer's list of withdrawn keys.
    struct ReadPosition {
        log_id: u64,
        count: u64,
    }

    /// The times at which periodic actions last ran.
    struct Timers {
        last_tick: Option<Instant>,
        last_push: Option<Instant>,
        last_anti_entropy: Option<Instant>,
        last_join: Option<Instant>,
        join_attempts: u32,
        last_contact: Option<Instant>,
        last_reconnect: Option<Instant>,
        is_joined: bool,
    }
}

impl Gossip {
    /// Creates the state of a process that knows only itself; its first tick starts joining the
    /// fleet.
    #[must_use]
    pub fn open(options: Options) -> Self {
        let mut random = Random::open(options.nonce);
        let seeds: Vec<LinkAddress> = options.seeds.iter().map(|seed| seed.link).collect();
        let is_seed = seeds.contains(&options.link);
        let own = own_record(&options, is_seed);
        let seed_state = is_seed.then(|| SeedState::open(options.link, &seeds, random.next()));
        Self {
            table: Table::open(own),
            broadcasts: BroadcastQueue::open(),
            prober: Prober::open(random.next()),
            withdrawn: WithdrawnSet::open(random.next()),
            read_positions: BTreeMap::new(),
            lease: Lease::open(LeaseOptions::with_default_intervals(seeds, random.next())),
            seed_state,
            control: ControlMonitor::open(random.next()),
            store: ConfigurationStore::open(),
            latest_heartbeat: LatestHeartbeat::open(),
            tracked: TrackedWithdrawals::open(),
            authority_until: None,
            budget: Budget::open(),
            next_sequence: random.next(),
            random,
            timers: Timers::open(),
            is_stopped: false,
            outbox: Vec::new(),
            inbox: VecDeque::new(),
            events: Vec::new(),
            options,
        }
    }

    /// Replaces the configured [`Options::contacts`].
    pub fn set_contacts(&mut self, contacts: Vec<LinkAddress>) {
        self.options.contacts = contacts;
    }

    /// Queues a message. A message to this process itself is handled before the current public call
    /// returns.
    fn send(&mut self, to: LinkAddress, body: Body) {
        let version = self.store.version();
        let message = Message { version, body };
        if to == self.options.link {
            self.inbox.push_back(message);
        } else {
            self.outbox.push(Outgoing { to, message });
        }
    }

    /// Handles queued messages to this process itself, and returns the messages to peers.
    fn flush(&mut self, now: Instant) -> Vec<Outgoing> {
        let own = self.options.link;
        while let Some(message) = self.inbox.pop_front() {
            self.handle(now, own, message);
        }
        std::mem::take(&mut self.outbox)
    }

    fn take_sequence(&mut self) -> u64 {
        self.next_sequence = self.next_sequence.wrapping_add(1);
        self.next_sequence
    }
}

impl Timers {
    fn open() -> Self {
        Self {
            last_tick: None,
            last_push: None,
            last_anti_entropy: None,
            last_join: None,
            join_attempts: 0,
            last_contact: None,
            last_reconnect: None,
            is_joined: false,
        }
    }
}

/// Returns whether `interval` has passed since `last`; if so, sets `last` to `now`.
fn is_due(last: &mut Option<Instant>, now: Instant, interval: Duration) -> bool {
    let due = last.is_none_or(|at| now.saturating_duration_since(at) >= interval);
    if due {
        *last = Some(now);
    }
    due
}

fn own_record(options: &Options, seed: bool) -> Record {
    /// Incarnation 0 denotes no process.
    const FIRST: Incarnation = 1;
    Record {
        name: options.name.clone(),
        data_centre: options.data_centre.clone(),
        role: options.role,
        seed,
        link: options.link,
        callers: options.callers,
        platform: options.platform,
        incarnation: options.incarnation.max(FIRST),
        counter: 0,
        status: MemberStatus::Active,
        announcement: None,
        health: Health::Alive,
    }
}
