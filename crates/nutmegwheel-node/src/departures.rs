//! Reports the departures of the local backend server's instances to processes that remember them,
//! and learns from these what an earlier process of this node acknowledged; see docs/DESIGN.md,
//! "Departures of backend servers".

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use bytes::Bytes;
use nutmegwheel_events::Event;
use nutmegwheel_link::Request;
use nutmegwheel_policy::registration::MAX_HEARTBEAT_DELAY;
use nutmegwheel_spread::{Health, Role, departures_from_wire, departures_to_wire};
use nutmegwheel_wire::{self as wire, topic};
use prost::Message as _;
use tokio::sync::mpsc;

use crate::{digest::short_digest, heartbeat_handler, shared::Shared};

/// The time within which processes must answer a report. It also bounds how long the
/// acknowledgement of a departure waits, which must arrive within a second.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// The interval between questions for earlier departures.
const QUESTION_INTERVAL: Duration = Duration::from_millis(100);
/// The interval at which a report is repeated that not all control VMs have stored.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// The interval at which departures are reported again, to processes that have restarted meanwhile.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);
/// The number of nodes that remember a node's departures in addition to the control VMs.
const REMEMBERING_NODES: usize = 2;

/// The processes that remember this node's departures.
struct Peers {
    /// The control VMs, also those that are only named in the settings.
    control: BTreeSet<SocketAddr>,
    /// The number of control VMs that are known to be alive.
    alive_control: usize,
    nodes: BTreeSet<SocketAddr>,
}

/// How many control VMs have answered a report.
#[derive(Clone, Copy, Debug, Default)]
struct Progress {
    /// Those that stored it.
    stored: usize,
    /// Those that remember all earlier departures.
    complete: usize,
}

/// Asks for earlier departures, and then reports departures at intervals. Runs until the node
/// stops.
pub(crate) async fn run(shared: &Arc<Shared>) {
    learn(shared).await;
    let mut is_stored = true;
    let mut reported_at = Instant::now();
    loop {
        tokio::time::sleep(RETRY_INTERVAL).await;
        let has_departures = !shared.registration().departures(Instant::now()).is_empty();
        if has_departures && (!is_stored || reported_at.elapsed() >= REPORT_INTERVAL) {
            is_stored = report(shared).await;
            reported_at = Instant::now();
        }
    }
}

/// Reports all departures, and returns whether all control VMs that are known to be alive have
/// stored them. Returns at the latest after [`ANSWER_TIMEOUT`].
pub(crate) async fn report(shared: &Arc<Shared>) -> bool {
    let recorded = shared.registration().recorded();
    let peers = peers(shared);
    let needed = peers.alive_control.max(1);
    let progress = exchange(shared, peers, |progress| progress.stored >= needed).await;
    let reported = &shared.reported_departures;
    reported.fetch_max(recorded, Ordering::SeqCst);
    progress.stored >= needed
}

/// Whether departures were recorded that no finished report contains.
pub(crate) fn has_unreported(shared: &Shared) -> bool {
    let reported = shared.reported_departures.load(Ordering::SeqCst);
    shared.registration().recorded() > reported
}

/// Asks for the departures that an earlier process of this node acknowledged, until enough control
/// VMs have answered or no heartbeat of that time can arrive any more.
async fn learn(shared: &Arc<Shared>) {
    let started_at = Instant::now();
    let mut source = "first start";
    while !shared.registration().knows_earlier() {
        source = "answers";
        let peers = peers(shared);
        let needed = needed_answers(shared, peers.control.len());
        let progress = exchange(shared, peers, |progress| progress.complete >= needed).await;
        if progress.complete < needed {
            if started_at.elapsed() < MAX_HEARTBEAT_DELAY {
                tokio::time::sleep(QUESTION_INTERVAL).await;
                continue;
            }
            source = "time";
        }
        shared.registration().set_earlier_known();
    }
    let departures = shared.registration().departures(Instant::now());
    shared.journal.emit(
        Event::DeparturesKnown,
        &[
            ("source", &source),
            ("departures", &departures.len()),
            ("after_ms", &started_at.elapsed().as_millis()),
        ],
    );
    heartbeat_handler::apply_held(shared);
}

/// The number of control VMs whose answers are enough to know all earlier departures. All control
/// VMs that were not lost stored these, so it is one more than may be lost.
fn needed_answers(shared: &Shared, known: usize) -> usize {
    let lost = match &shared.settings.contacts {
        Some(contacts) => usize::try_from(contacts.lost_control_vms).unwrap_or(usize::MAX),
        None => known / 2,
    };
    lost.saturating_add(1).min(known).max(1)
}

/// Reports all departures to the peers and learns from their answers, until `is_enough` or
/// [`ANSWER_TIMEOUT`]. Reports that are still on their way then are not given up.
async fn exchange(
    shared: &Arc<Shared>,
    peers: Peers,
    is_enough: impl Fn(Progress) -> bool,
) -> Progress {
    let deadline = Instant::now() + ANSWER_TIMEOUT;
    let departures = shared.registration().departures(Instant::now());
    let report = wire::DepartureReport {
        node: shared.settings.name.to_string(),
        departures: departures_to_wire(&departures),
    };
    let head = Bytes::from(report.encode_to_vec());
    let (tx, mut rx) = mpsc::unbounded_channel();
    let control = peers.control.into_iter().map(|link| (link, true));
    let nodes = peers.nodes.into_iter().map(|link| (link, false));
    for (link, is_control) in control.chain(nodes) {
        let (shared, head, tx) = (shared.clone(), head.clone(), tx.clone());
        tokio::spawn(async move {
            if let Some(answer) = exchange_with(&shared, link, head, deadline).await {
                // The receiver may have had enough answers.
                let _ = tx.send((is_control, answer));
            }
        });
    }
    drop(tx);
    let mut progress = Progress::default();
    let timeout = tokio::time::sleep_until(deadline.into());
    tokio::pin!(timeout);
    while !is_enough(progress) {
        let answer = tokio::select! {
            answer = rx.recv() => answer,
            () = &mut timeout => None,
        };
        let Some((is_control, answer)) = answer else {
            break;
        };
        progress.stored += usize::from(is_control && answer.is_stored);
        progress.complete += usize::from(is_control && answer.is_complete);
    }
    progress
}

/// Reports to one peer and learns from its answer.
async fn exchange_with(
    shared: &Arc<Shared>,
    link: SocketAddr,
    head: Bytes,
    deadline: Instant,
) -> Option<wire::DepartureAnswer> {
    let req = Request {
        topic: topic::DEPARTURES,
        head,
        body: Bytes::new(),
    };
    let reply = shared.endpoint()?.call(link, req, deadline).await;
    let reply = reply
        .inspect_err(|e| log::debug!("no answer to a report of departures from {link}: {e}"))
        .ok()?;
    let mut answer = wire::DepartureAnswer::decode(reply.body)
        .inspect_err(|e| log::debug!("malformed answer to a report of departures: {link}: {e}"))
        .ok()?;
    let departures = departures_from_wire(std::mem::take(&mut answer.departures));
    let _changes = shared.registration_changes();
    let left = shared.registration().learn(Instant::now(), departures);
    if let Some(instance) = left {
        heartbeat_handler::remove(shared, &instance.id);
    }
    Some(answer)
}

fn peers(shared: &Shared) -> Peers {
    let members = shared.gossip.members();
    let alive = members.iter().filter(|m| m.health != Health::Dead);
    let (alive_control, nodes): (Vec<_>, Vec<_>) = alive.partition(|m| m.role == Role::Control);
    let mut control: BTreeSet<SocketAddr> = match &shared.settings.contacts {
        Some(contacts) => contacts.links.iter().copied().collect(),
        None => shared.settings.control_vms().map(|vm| vm.link).collect(),
    };
    control.extend(alive_control.iter().map(|m| m.link));
    let own = &shared.settings.name;
    let mut nodes: Vec<_> = nodes.into_iter().filter(|m| m.name != *own).collect();
    // The same nodes are chosen before and after a restart of this one.
    nodes.sort_by_cached_key(|m| short_digest([own.as_bytes(), m.name.as_bytes()]));
    let nodes = nodes.into_iter().take(REMEMBERING_NODES);
    Peers {
        control,
        alive_control: alive_control.len(),
        nodes: nodes.map(|m| m.link).collect(),
    }
}
