//! A model of a small cluster that runs the real state machine, for exhaustive checks.
//!
//! The network is the set of all messages ever sent: a message may be delivered at any time, any
//! number of times, or never. A step and the sync of its writes are one action, because no other
//! replica sees a step before it is synced. A crash therefore reverts a replica to the state on its
//! disk.

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
/// The cluster that all replicas belong to at the start.
const CLUSTER: u64 = 1;

/// The variant of the protocol to check. The faulty variants show that the check finds violations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Variant {
    /// The protocol as implemented, without a fault.
    Correct,
    /// Term and vote are lost in a crash.
    VoteNotSynced,
    /// A replica that lost its disk keeps its incarnation, so that its votes still count.
    SameIncarnation,
    /// Entries are lost in a crash.
    EntriesNotSynced,
}

/// The maximum number of actions of each kind.
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

/// A transition of the model.
#[derive(Clone, Debug)]
enum Action {
    Campaign(usize),
    Propose(usize),
    Heartbeat(usize),
    Crash(usize),
    LoseDisk(usize),
    RequestJoin(usize),
    Compact(usize),
    Remove(usize, usize),
    Deliver(usize, Message),
}

/// A shared value with its hash, so that states are cheap to store and compare.
#[derive(Clone, Debug)]
struct Hashed<T>(Rc<(u64, T)>);

/// One replica and its disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    core: Core,
    disk: Stored,
}

/// The state of the whole cluster.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ModelState {
    nodes: Vec<Hashed<Node>>,
    network: Vec<Hashed<Message>>,
    budget: Budget,
    history: Hashed<History>,
}

/// The leaders and committed entries observed so far; later states must agree with them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct History {
    leaders: BTreeMap<Term, ReplicaId>,
    /// The committed entries, each with the term in which it was first observed as committed.
    committed: BTreeMap<LogIndex, (Term, Entry)>,
    violation: Option<&'static str>,
}

/// The result of a check.
pub(crate) struct Report {
    pub(crate) states: usize,
    pub(crate) depth: usize,
    /// The number of states in which a replica that lost its disk is a voter again.
    pub(crate) repaired: usize,
    /// The violated invariant and the shortest trace that leads to it.
    pub(crate) violation: Option<(&'static str, Vec<String>)>,
}

/// Visits every state within the budget in breadth-first order until an invariant is violated.
pub(crate) fn check(variant: Variant, budget: Budget) -> Report {
    let depths = RefCell::new(HashMap::new());
    let start = ModelState::start(budget);
    depths.borrow_mut().insert(hash_of(&start), 0);
    let repaired = Cell::new(0);
    let next = |state: &ModelState| {
        repaired.set(repaired.get() + usize::from(state.is_repaired()));
        let depth = depths.borrow()[&hash_of(state)];
        let next = state.successors(variant);
        for (_, state) in &next {
            let mut depths = depths.borrow_mut();
            depths.entry(hash_of(state)).or_insert(depth + 1);
        }
        next.into_iter().map(|(_, state)| state).collect::<Vec<_>>()
    };
    let path = bfs(&start, next, |s| s.history.get().violation.is_some());
    let depths = depths.into_inner();
    Report {
        states: depths.len(),
        depth: depths.values().copied().max().unwrap_or(0),
        repaired: repaired.get(),
        violation: path.map(|path| describe_violation(&path, variant)),
    }
}

fn describe_violation(path: &[ModelState], variant: Variant) -> (&'static str, Vec<String>) {
    let last = path.last().and_then(|state| state.history.get().violation);
    let step = |pair: &[ModelState]| {
        let mut all = pair[0].successors(variant).into_iter();
        let action = all.find(|(_, state)| *state == pair[1]);
        action.map_or_else(String::new, |(action, _)| action.to_string())
    };
    (last.unwrap_or(""), path.windows(2).map(step).collect())
}

impl ModelState {
    fn start(budget: Budget) -> Self {
        let id = |name: &&str| ReplicaId {
            name: (*name).into(),
            incarnation: 1,
        };
        let mut membership = Membership::default();
        membership.voters.extend(NAMES.iter().map(id));
        let node = |name| Hashed::new(Node::bootstrapped(id(name), membership.clone()));
        Self {
            nodes: NAMES.iter().map(node).collect(),
            network: Vec::new(),
            budget,
            history: Hashed::new(History::default()),
        }
    }

    fn is_repaired(&self) -> bool {
        let nodes = self.nodes.iter().map(|n| &n.get().core);
        let mut new = nodes.filter(|core| core.id().incarnation > 1);
        new.any(|core| core.membership().voters.contains(core.id()))
    }

    fn successors(&self, variant: Variant) -> Vec<(Action, Self)> {
        if self.history.get().violation.is_some() {
            return Vec::new();
        }
        let actions = self.actions().into_iter();
        let after = |action: Action| {
            let state = self.apply_action(&action, variant)?;
            (state != *self).then_some((action, state))
        };
        actions.filter_map(after).collect()
    }
}

impl ModelState {
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
                actions.push(Action::RequestJoin(at));
            }
        }
        let messages = self.network.iter().map(Hashed::get);
        actions.extend(messages.filter_map(|message| {
            let at = NAMES.iter().position(|n| **n == *message.to)?;
            Some(Action::Deliver(at, message.clone()))
        }));
        actions
    }

    fn apply_action(&self, action: &Action, variant: Variant) -> Option<Self> {
        let mut state = self.clone();
        consume_budget(&mut state.budget, action)?;
        match action {
            Action::Crash(at) => state.update_node(*at, Node::restart),
            Action::LoseDisk(at) => state.update_node(*at, |node| node.lose_disk(variant)),
            Action::Campaign(at) => state.step(*at, Event::Campaign, variant),
            Action::RequestJoin(at) => state.step(*at, Event::ElectionTimeout, variant),
            Action::Heartbeat(at) => state.step(*at, Event::Heartbeat, variant),
            Action::Propose(at) => {
                let id = u64::from(state.budget.proposals);
                let command = vec![state.budget.proposals].into();
                state.step(*at, Event::Propose { id, command }, variant);
            }
            Action::Compact(at) => {
                let index = self.nodes[*at].get().core.commit_index();
                let data = vec![0; 1].into();
                state.step(*at, Event::Snapshot { index, data }, variant);
            }
            Action::Remove(at, other) => {
                let change = Change::Remove(NAMES[*other].into());
                state.step(*at, Event::Change(change), variant);
            }
            Action::Deliver(at, message) => {
                let message = message.clone();
                let leader_alive = false;
                let event = Event::Message {
                    message,
                    leader_alive,
                };
                state.step(*at, event, variant);
            }
        }
        state.drop_irrelevant_messages();
        Some(state)
    }

    fn step(&mut self, at: usize, event: Event, variant: Variant) {
        let mut node = self.nodes[at].get().clone();
        let effects = node.core.step(event);
        node.sync(&effects.writes, variant);
        let mut history = self.history.get().clone();
        history.record(&node, &effects);
        self.nodes[at] = Hashed::new(node);
        for message in effects.messages {
            self.send(message);
        }
        self.check_logs(&mut history);
        self.history = Hashed::new(history);
    }

    fn update_node(&mut self, at: usize, change: impl FnOnce(&mut Node)) {
        let mut node = self.nodes[at].get().clone();
        change(&mut node);
        self.nodes[at] = Hashed::new(node);
    }

    fn send(&mut self, message: Message) {
        let message = Hashed::new(message);
        if let Err(at) = self
            .network
            .binary_search_by_key(&message.hash(), Hashed::hash)
        {
            self.network.insert(at, message);
        }
    }

    /// Drops messages that can no longer have an effect, which reduces the number of states.
    fn drop_irrelevant_messages(&mut self) {
        let nodes = &self.nodes;
        self.network.retain(|message| {
            let message = message.get();
            let to = nodes
                .iter()
                .map(Hashed::get)
                .find(|n| n.core.id().name == message.to);
            to.is_some_and(|node| is_relevant(message, node))
        });
    }

    /// Checks that two logs with the same entry are identical up to that entry.
    fn check_logs(&self, history: &mut History) {
        let logs: Vec<_> = self.nodes.iter().map(|n| n.get().core.log()).collect();
        for (at, log) in logs.iter().enumerate() {
            for other in &logs[at + 1..] {
                if !logs_match(log, other) {
                    history.violation = Some("log matching");
                }
            }
        }
    }
}

fn is_relevant(message: &Message, node: &Node) -> bool {
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
        Ordering::Equal => is_relevant_in_term(message, node),
        Ordering::Greater => message.body != Body::VoteReply { granted: false },
    }
}

/// Returns whether a message of the receiver's own term can still have an effect: a replica does
/// not regain a role in the same term, nor vote twice.
fn is_relevant_in_term(message: &Message, node: &Node) -> bool {
    match message.body {
        Body::Vote { .. } => node.disk.hard_state.vote.is_none(),
        Body::VoteReply { granted } => granted && node.core.role() == RoleName::Candidate,
        Body::AppendReply { .. } | Body::InstallReply { .. } => node.core.is_leader(),
        _ => true,
    }
}

fn logs_match(one: &nutmegwheel_agreement::Log, other: &nutmegwheel_agreement::Log) -> bool {
    let common = |e: &&Entry| {
        other
            .get(e.position.index)
            .is_some_and(|o| o.position == e.position)
    };
    let Some(last) = one.entries().iter().rev().find(common) else {
        return true;
    };
    let in_prefix = |e: &&Entry| e.position.index <= last.position.index;
    let held = |e: &Entry| other.get(e.position.index).is_none_or(|o| o == e);
    one.entries().iter().filter(in_prefix).all(held)
}

fn consume_budget(budget: &mut Budget, action: &Action) -> Option<()> {
    let left = match action {
        Action::Deliver(..) => return Some(()),
        Action::Campaign(_) => &mut budget.campaigns,
        Action::Propose(_) => &mut budget.proposals,
        Action::Heartbeat(_) => &mut budget.heartbeats,
        Action::Crash(_) => &mut budget.crashes,
        Action::LoseDisk(_) => &mut budget.lost_disks,
        Action::RequestJoin(_) => &mut budget.joins,
        Action::Compact(_) => &mut budget.snapshots,
        Action::Remove(..) => &mut budget.removals,
    };
    *left = left.checked_sub(1)?;
    Some(())
}

impl Node {
    fn bootstrapped(id: ReplicaId, membership: Membership) -> Self {
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
    fn record(&mut self, node: &Node, effects: &Effects) {
        for notice in &effects.notices {
            if let Notice::Leading(term) = notice {
                self.record_leader(*term, node);
            }
        }
        self.record_committed(node);
    }

    /// Checks that a term has a single leader whose log has all entries committed in earlier terms.
    fn record_leader(&mut self, term: Term, node: &Node) {
        let id = node.core.id();
        if self.leaders.entry(term).or_insert_with(|| id.clone()) != id {
            self.violation = Some("election safety");
        }
        let log = node.core.log();
        let held = |(committed, e): &(Term, Entry)| {
            let compacted = e.position.index <= log.base().index;
            *committed >= term || compacted || log.get(e.position.index) == Some(e)
        };
        if !self.committed.values().all(held) {
            self.violation = Some("leader completeness");
        }
    }

    /// Checks that committed entries do not change.
    fn record_committed(&mut self, node: &Node) {
        let commit = node.core.commit_index();
        let entries = node.core.log().entries().iter();
        for entry in entries.take_while(|e| e.position.index <= commit) {
            let index = entry.position.index;
            let new = || (node.core.term(), entry.clone());
            if self.committed.entry(index).or_insert_with(new).1 != *entry {
                self.violation = Some("committed entries never lost");
            }
        }
    }
}

impl<T: Hash> Hashed<T> {
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

impl<T: Eq> PartialEq for Hashed<T> {
    fn eq(&self, other: &Self) -> bool {
        Rc::ptr_eq(&self.0, &other.0) || self.0 == other.0
    }
}

impl<T: Eq> Eq for Hashed<T> {}

impl<T> Hash for Hashed<T> {
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
            Self::Campaign(at) => write!(f, "{} campaigns", name(at)),
            Self::Propose(at) => write!(f, "{} proposes a command", name(at)),
            Self::Heartbeat(at) => write!(f, "{} sends heartbeats", name(at)),
            Self::Crash(at) => write!(f, "{} crashes and restarts", name(at)),
            Self::LoseDisk(at) => write!(f, "{} loses its disk and restarts", name(at)),
            Self::RequestJoin(at) => write!(f, "{} asks to join", name(at)),
            Self::Compact(at) => write!(f, "{} takes a snapshot", name(at)),
            Self::Remove(at, other) => write!(f, "{} removes {}", name(at), name(other)),
            Self::Deliver(at, message) => {
                write!(f, "{} receives from {} in term ", name(at), message.from)?;
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
