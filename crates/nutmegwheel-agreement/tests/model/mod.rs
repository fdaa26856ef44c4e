//! A small world around the real decisions, whose every state can be visited.
//!
//! The network is the set of all messages ever sent: a message may come at any time, any number of
//! times, or never. A step and the sync of its writes are one action, since nothing of a step is
//! seen by anyone before it is synced; a crash therefore goes back to what the disk holds.

use std::{
    cell::{Cell, RefCell},
    cmp::Ordering,
    collections::{BTreeMap, HashMap},
    fmt,
    hash::{DefaultHasher, Hash, Hasher},
    rc::Rc,
};

use nutmegwheel_agreement::{
    Body, Entry, HardState, LogIndex, Membership, Message, Payload, Position, ReplicaId, Stored,
    Term, Write,
    raft::{Change, Core, Effects, Event, Limits, Notice, RoleName, Setup},
};
use pathfinding::prelude::bfs;

/// The names of the replicas.
const NAMES: [&str; 3] = ["a", "b", "c"];
/// The founding that all replicas belong to at the start.
const CLUSTER: u64 = 1;

/// A faulty variant, to show that the check can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Variant {
    /// The rules as they are.
    Correct,
    /// Term and vote are not kept over a crash.
    VoteNotSynced,
    /// A replica that lost its disk keeps its incarnation, and so its vote.
    SameIncarnation,
    /// Entries are not kept over a crash.
    EntriesNotSynced,
}

/// How often each kind of action may happen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Budget {
    pub(crate) campaigns: u8,
    pub(crate) proposals: u8,
    pub(crate) heartbeats: u8,
    pub(crate) crashes: u8,
    pub(crate) lost_disks: u8,
    pub(crate) joins: u8,
    pub(crate) snapshots: u8,
    pub(crate) removals: u8,
}

/// What may happen next.
#[derive(Clone, Debug)]
enum Action {
    Campaign(usize),
    Propose(usize),
    Heartbeat(usize),
    Crash(usize),
    LoseDisk(usize),
    AskToJoin(usize),
    Compact(usize),
    Remove(usize, usize),
    Deliver(usize, Message),
}

/// A shared value with its hash, so that states are cheap to keep and compare.
#[derive(Clone, Debug)]
struct Shared<T>(Rc<(u64, T)>);

/// One replica and its disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    core: Core,
    disk: Stored,
}

/// The whole world.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    nodes: Vec<Shared<Node>>,
    network: Vec<Shared<Message>>,
    budget: Budget,
    history: Shared<History>,
}

/// What has happened and must stay true.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct History {
    leaders: BTreeMap<Term, ReplicaId>,
    /// The committed entries, each with the term in which it was first known to be.
    committed: BTreeMap<LogIndex, (Term, Entry)>,
    broken: Option<&'static str>,
}

/// What a check has found.
pub(crate) struct Report {
    pub(crate) states: usize,
    pub(crate) depth: usize,
    /// The states in which a replica that lost its disk is a voter again.
    pub(crate) repaired: usize,
    /// The invariant that does not hold and the shortest way there.
    pub(crate) broken: Option<(&'static str, Vec<String>)>,
}

/// Visits every state within the budget, nearest first, until an invariant does not hold.
pub(crate) fn check(variant: Variant, budget: Budget) -> Report {
    let depths = RefCell::new(HashMap::new());
    let start = World::start(budget);
    depths.borrow_mut().insert(hash_of(&start), 0);
    let repaired = Cell::new(0);
    let next = |world: &World| {
        repaired.set(repaired.get() + usize::from(world.is_repaired()));
        let depth = depths.borrow()[&hash_of(world)];
        let next = world.successors(variant);
        for (_, world) in &next {
            let mut depths = depths.borrow_mut();
            depths.entry(hash_of(world)).or_insert(depth + 1);
        }
        next.into_iter().map(|(_, world)| world).collect::<Vec<_>>()
    };
    let path = bfs(&start, next, |world| world.history.get().broken.is_some());
    let depths = depths.into_inner();
    Report {
        states: depths.len(),
        depth: depths.values().copied().max().unwrap_or(0),
        repaired: repaired.get(),
        broken: path.map(|path| explain(&path, variant)),
    }
}

fn explain(path: &[World], variant: Variant) -> (&'static str, Vec<String>) {
    let last = path.last().and_then(|world| world.history.get().broken);
    let step = |pair: &[World]| {
        let mut all = pair[0].successors(variant).into_iter();
        let action = all.find(|(_, world)| *world == pair[1]);
        action.map_or_else(String::new, |(action, _)| action.to_string())
    };
    (last.unwrap_or(""), path.windows(2).map(step).collect())
}

impl World {
    fn start(budget: Budget) -> Self {
        let id = |name: &&str| ReplicaId {
            name: (*name).into(),
            incarnation: 1,
        };
        let mut membership = Membership::default();
        membership.voters.extend(NAMES.iter().map(id));
        let node = |name| Shared::new(Node::founded(id(name), membership.clone()));
        Self {
            nodes: NAMES.iter().map(node).collect(),
            network: Vec::new(),
            budget,
            history: Shared::new(History::default()),
        }
    }

    fn is_repaired(&self) -> bool {
        let nodes = self.nodes.iter().map(|n| &n.get().core);
        let mut new = nodes.filter(|core| core.id().incarnation > 1);
        new.any(|core| core.membership().voters.contains(core.id()))
    }

    fn successors(&self, variant: Variant) -> Vec<(Action, Self)> {
        if self.history.get().broken.is_some() {
            return Vec::new();
        }
        let actions = self.actions().into_iter();
        let after = |action: Action| {
            let world = self.after(&action, variant)?;
            (world != *self).then_some((action, world))
        };
        actions.filter_map(after).collect()
    }
}

impl World {
    fn actions(&self) -> Vec<Action> {
        let mut actions = Vec::new();
        for (at, node) in self.nodes.iter().enumerate() {
            let core = &node.get().core;
            actions.extend([Action::Crash(at), Action::LoseDisk(at)]);
            if core.is_leader() {
                let leading = [
                    Action::Propose(at),
                    Action::Heartbeat(at),
                    Action::Compact(at),
                ];
                actions.extend(leading);
                actions.extend((0..NAMES.len()).map(|other| Action::Remove(at, other)));
            } else if core.membership().voters.contains(core.id()) {
                actions.push(Action::Campaign(at));
            } else {
                actions.push(Action::AskToJoin(at));
            }
        }
        let messages = self.network.iter().map(Shared::get);
        actions.extend(messages.filter_map(|message| {
            let at = NAMES.iter().position(|n| **n == *message.to)?;
            Some(Action::Deliver(at, message.clone()))
        }));
        actions
    }

    fn after(&self, action: &Action, variant: Variant) -> Option<Self> {
        let mut world = self.clone();
        spend(&mut world.budget, action)?;
        match action {
            Action::Crash(at) => world.change(*at, Node::restart),
            Action::LoseDisk(at) => world.change(*at, |node| node.lose_disk(variant)),
            Action::Campaign(at) => world.step(*at, Event::Campaign, variant),
            Action::AskToJoin(at) => world.step(*at, Event::ElectionTimeout, variant),
            Action::Heartbeat(at) => world.step(*at, Event::Heartbeat, variant),
            Action::Propose(at) => {
                let id = u64::from(world.budget.proposals);
                let command = vec![world.budget.proposals].into();
                world.step(*at, Event::Propose { id, command }, variant);
            }
            Action::Compact(at) => {
                let index = self.nodes[*at].get().core.commit_index();
                let data = vec![0; 1].into();
                world.step(*at, Event::Snapshot { index, data }, variant);
            }
            Action::Remove(at, other) => {
                let change = Change::Remove(NAMES[*other].into());
                world.step(*at, Event::Change(change), variant);
            }
            Action::Deliver(at, message) => {
                let message = message.clone();
                let leader_alive = false;
                let event = Event::Message {
                    message,
                    leader_alive,
                };
                world.step(*at, event, variant);
            }
        }
        world.forget_useless_messages();
        Some(world)
    }

    fn step(&mut self, at: usize, event: Event, variant: Variant) {
        let mut node = self.nodes[at].get().clone();
        let effects = node.core.step(event);
        node.sync(&effects.writes, variant);
        let mut history = self.history.get().clone();
        history.note(&node, &effects);
        self.nodes[at] = Shared::new(node);
        for message in effects.messages {
            self.send(message);
        }
        self.check_logs(&mut history);
        self.history = Shared::new(history);
    }

    fn change(&mut self, at: usize, change: impl FnOnce(&mut Node)) {
        let mut node = self.nodes[at].get().clone();
        change(&mut node);
        self.nodes[at] = Shared::new(node);
    }

    fn send(&mut self, message: Message) {
        let message = Shared::new(message);
        if let Err(at) = self
            .network
            .binary_search_by_key(&message.hash(), Shared::hash)
        {
            self.network.insert(at, message);
        }
    }

    /// Drops what could only come too late, which keeps the number of states down.
    fn forget_useless_messages(&mut self) {
        let nodes = &self.nodes;
        self.network.retain(|message| {
            let message = message.get();
            let to = nodes
                .iter()
                .map(Shared::get)
                .find(|n| n.core.id().name == message.to);
            to.is_some_and(|node| is_useful(message, node))
        });
    }

    /// Two logs with the same entry hold the same up to it.
    fn check_logs(&self, history: &mut History) {
        let logs: Vec<_> = self.nodes.iter().map(|n| n.get().core.log()).collect();
        for (at, log) in logs.iter().enumerate() {
            for other in &logs[at + 1..] {
                if !match_up(log, other) {
                    history.broken = Some("log matching");
                }
            }
        }
    }
}

fn is_useful(message: &Message, node: &Node) -> bool {
    let core = &node.core;
    let incarnation = core.id().incarnation;
    if message.to_incarnation.is_some_and(|i| i != incarnation) {
        return false;
    }
    if matches!(message.body, Body::Join { .. }) {
        return !core.membership().contains(&message.from);
    }
    match message.term.cmp(&core.term()) {
        Ordering::Less => false,
        Ordering::Equal => is_open(message, node),
        Ordering::Greater => message.body != Body::VoteReply { granted: false },
    }
}

/// Returns whether a message of the receiver's own term can still change anything: a role once
/// lost does not come back in its term, and a vote once given is not given again.
fn is_open(message: &Message, node: &Node) -> bool {
    match message.body {
        Body::Vote { .. } => node.disk.hard_state.vote.is_none(),
        Body::VoteReply { granted } => granted && node.core.role() == RoleName::Candidate,
        Body::AppendReply { .. } | Body::InstallReply { .. } => node.core.is_leader(),
        _ => true,
    }
}

fn match_up(one: &nutmegwheel_agreement::Log, other: &nutmegwheel_agreement::Log) -> bool {
    let common = |e: &&Entry| {
        other
            .get(e.position.index)
            .is_some_and(|o| o.position == e.position)
    };
    let Some(last) = one.entries().iter().rev().find(common) else {
        return true;
    };
    let upto = |e: &&Entry| e.position.index <= last.position.index;
    let held = |e: &Entry| other.get(e.position.index).is_none_or(|o| o == e);
    one.entries().iter().filter(upto).all(held)
}

fn spend(budget: &mut Budget, action: &Action) -> Option<()> {
    let left = match action {
        Action::Deliver(..) => return Some(()),
        Action::Campaign(_) => &mut budget.campaigns,
        Action::Propose(_) => &mut budget.proposals,
        Action::Heartbeat(_) => &mut budget.heartbeats,
        Action::Crash(_) => &mut budget.crashes,
        Action::LoseDisk(_) => &mut budget.lost_disks,
        Action::AskToJoin(_) => &mut budget.joins,
        Action::Compact(_) => &mut budget.snapshots,
        Action::Remove(..) => &mut budget.removals,
    };
    *left = left.checked_sub(1)?;
    Some(())
}

impl Node {
    fn founded(id: ReplicaId, membership: Membership) -> Self {
        let mut disk = Stored::new(id);
        let position = Position { term: 1, index: 1 };
        let payload = Payload::Membership(membership);
        let hard = HardState {
            cluster: Some(CLUSTER),
            term: 1,
            vote: None,
        };
        disk.apply_all(&[
            Write::HardState(hard),
            Write::Append(vec![Entry { position, payload }]),
        ]);
        Self::open(disk)
    }

    fn open(disk: Stored) -> Self {
        let setup = Setup {
            id: disk.id.clone(),
            peers: NAMES.map(Into::into).to_vec(),
            bootstrap_members: Vec::new(),
            auto_repair: true,
            target_voters: None,
            limits: Limits::default(),
        };
        let core = Core::open(setup, disk.clone());
        Self { core, disk }
    }

    fn restart(&mut self) {
        *self = Self::open(self.disk.clone());
    }

    fn lose_disk(&mut self, variant: Variant) {
        let mut id = self.disk.id.clone();
        if variant != Variant::SameIncarnation {
            id.incarnation += 1;
        }
        *self = Self::open(Stored::new(id));
    }

    fn sync(&mut self, writes: &[Write], variant: Variant) {
        for write in writes {
            let lost = match write {
                Write::HardState(_) => variant == Variant::VoteNotSynced,
                Write::Append(_) => variant == Variant::EntriesNotSynced,
                Write::Snapshot(_) => false,
            };
            if !lost {
                self.disk.apply(write);
            }
        }
    }
}

impl History {
    fn note(&mut self, node: &Node, effects: &Effects) {
        for notice in &effects.notices {
            if let Notice::Leading(term) = notice {
                self.note_leader(*term, node);
            }
        }
        self.note_committed(node);
    }

    /// A term has one leader, and it holds all that was committed in earlier terms.
    fn note_leader(&mut self, term: Term, node: &Node) {
        let id = node.core.id();
        if self.leaders.entry(term).or_insert_with(|| id.clone()) != id {
            self.broken = Some("election safety");
        }
        let log = node.core.log();
        let held = |(committed, e): &(Term, Entry)| {
            let compacted = e.position.index <= log.base().index;
            *committed >= term || compacted || log.get(e.position.index) == Some(e)
        };
        if !self.committed.values().all(held) {
            self.broken = Some("leader completeness");
        }
    }

    /// What was committed once stays as it is.
    fn note_committed(&mut self, node: &Node) {
        let commit = node.core.commit_index();
        let entries = node.core.log().entries().iter();
        for entry in entries.take_while(|e| e.position.index <= commit) {
            let index = entry.position.index;
            let new = || (node.core.term(), entry.clone());
            if self.committed.entry(index).or_insert_with(new).1 != *entry {
                self.broken = Some("committed never lost");
            }
        }
    }
}

impl<T: Hash> Shared<T> {
    fn new(value: T) -> Self {
        Self(Rc::new((hash_of(&value), value)))
    }

    fn get(&self) -> &T {
        &self.0.1
    }

    fn hash(&self) -> u64 {
        self.0.0
    }
}

impl<T: Eq> PartialEq for Shared<T> {
    fn eq(&self, other: &Self) -> bool {
        Rc::ptr_eq(&self.0, &other.0) || self.0 == other.0
    }
}

impl<T: Eq> Eq for Shared<T> {}

impl<T> Hash for Shared<T> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        state.write_u64(self.0.0);
    }
}

fn hash_of(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = |at: &usize| NAMES[*at];
        match self {
            Self::Campaign(at) => write!(f, "{} asks for votes", name(at)),
            Self::Propose(at) => write!(f, "{} takes a command", name(at)),
            Self::Heartbeat(at) => write!(f, "{} sends heartbeats", name(at)),
            Self::Crash(at) => write!(f, "{} crashes and starts again", name(at)),
            Self::LoseDisk(at) => write!(f, "{} loses its disk and starts again", name(at)),
            Self::AskToJoin(at) => write!(f, "{} asks to join", name(at)),
            Self::Compact(at) => write!(f, "{} takes a snapshot", name(at)),
            Self::Remove(at, other) => write!(f, "{} removes {}", name(at), name(other)),
            Self::Deliver(at, message) => {
                write!(f, "{} gets from {} in term ", name(at), message.from)?;
                write!(f, "{}: {}", message.term, body_name(&message.body))
            }
        }
    }
}

fn body_name(body: &Body) -> String {
    match body {
        Body::Append { prev, entries, .. } => {
            let positions = entries.iter().map(|e| (e.position.term, e.position.index));
            format!(
                "append after {} {:?}",
                prev.index,
                positions.collect::<Vec<_>>()
            )
        }
        Body::AppendReply { result, .. } => format!("{result:?}"),
        Body::Vote { .. } => "vote request".into(),
        Body::VoteReply { .. } => "vote".into(),
        other => format!("{other:?}"),
    }
}
