//! Quarantine of requests that crash backend servers: crashes observed locally, and suspicions
//! exchanged with other nodes.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use nutmegwheel_events::Event;
use nutmegwheel_policy::quarantine::{Crash, Fingerprint, Options, Quarantine, Suspicion, Verdict};
use nutmegwheel_spread::{Health, Role};
use nutmegwheel_wire as wire;
use prost::Message as _;

use crate::{
    call::Call,
    digest::short_digest,
    refusal::{Outcome, Reason, Refusal},
    shared::Shared,
};

/// The time within which a running backend server accepts a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// A run that was aborted within this time before a crash is detected counts as in flight at the
/// crash.
const ABORTED_RUN_RETENTION: Duration = Duration::from_secs(2);
/// How long completed requests are remembered. Requests with the same fingerprint are not reported
/// as suspects meanwhile.
const COMPLETED_RETENTION: Duration = Duration::from_secs(10);
/// The maximum number of completed requests that are remembered.
const MAX_COMPLETED: usize = 8192;
/// The size of a body up to which all of it is part of the fingerprint, in bytes. A platform's
/// callers send no larger ones unless the configuration says so.
const MAX_HASHED_BYTES: usize = 4 * 1024 * 1024;
/// The maximum number of suspicions read from one message.
const MAX_SUSPICIONS_PER_MESSAGE: usize = 4096;

/// Tracks which requests may crash backend servers.
pub(crate) struct RequestQuarantine {
    state: Mutex<State>,
}

struct State {
    quarantine: Quarantine,
    running: HashMap<Fingerprint, usize>,
    aborted: Vec<(Fingerprint, Instant)>,
    /// Requests that completed recently. They are not reported as suspects, since a request that
    /// crashes backend servers does not complete.
    completed: HashMap<Fingerprint, Instant>,
}

/// Tracks a run until dropped.
pub(crate) struct Run<'a> {
    quarantine: &'a RequestQuarantine,
    fingerprint: Fingerprint,
}

/// The fingerprint of a request, which is the same for all requests with equal service, path,
/// method, workspace and body. Of a large body, only the length and the ends are compared, since
/// hashing it would hold up the links of this node.
pub(crate) fn fingerprint(call: &Call) -> Fingerprint {
    let length = call.body.len().to_be_bytes();
    let (start, end): (&[u8], &[u8]) = if call.body.len() <= MAX_HASHED_BYTES {
        (&call.body, &[])
    } else {
        let (start, rest) = call.body.split_at(MAX_HASHED_BYTES / 4);
        (start, &rest[rest.len() - MAX_HASHED_BYTES / 4..])
    };
    let parts = [
        call.service.as_bytes(),
        call.path.as_bytes(),
        call.method.as_str().as_bytes(),
        call.context.workspace.as_deref().unwrap_or("").as_bytes(),
        start,
    ];
    let ends = [&length[..], end].into_iter().filter(|_| !end.is_empty());
    short_digest(parts.into_iter().chain(ends))
}

impl RequestQuarantine {
    pub(crate) fn open() -> Self {
        Self {
            state: Mutex::new(State {
                quarantine: Quarantine::open(Options::default()),
                running: HashMap::new(),
                aborted: Vec::new(),
                completed: HashMap::new(),
            }),
        }
    }

    pub(crate) fn expire(&self, now: Instant) {
        let mut state = self.lock();
        state.quarantine.expire(now);
        state.expire_aborted(now);
        state
            .completed
            .retain(|_, at| now.saturating_duration_since(*at) < COMPLETED_RETENTION);
    }
}

impl RequestQuarantine {
    /// Refuses quarantined requests. This is cheap enough to be called before every attempt.
    pub(crate) fn check(&self, now: Instant, fingerprint: Fingerprint) -> Result<(), Refusal> {
        match self.lock().quarantine.verdict(now, fingerprint) {
            Verdict::Quarantined { .. } => Err(quarantine_refusal()),
            Verdict::Clear | Verdict::Suspect => Ok(()),
        }
    }

    /// Begins a run. This node runs one suspect request at a time and refuses others, which may be
    /// retried later or on another node.
    pub(crate) fn begin(&self, now: Instant, fingerprint: Fingerprint) -> Result<Run<'_>, Refusal> {
        let mut state = self.lock();
        if let Verdict::Quarantined { .. } = state.quarantine.verdict(now, fingerprint) {
            return Err(quarantine_refusal());
        }
        if !state.quarantine.try_begin_run(now, fingerprint) {
            let detail = "another request that may bring down backend servers runs here";
            let refusal = Refusal::not_run(Reason::Overloaded, detail);
            return Err(refusal.with_retry_after(PROBE_TIMEOUT));
        }
        *state.running.entry(fingerprint).or_default() += 1;
        Ok(Run {
            quarantine: self,
            fingerprint,
        })
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Run<'_> {
    /// Records that the backend server answered, which clears the request. Returns the updates
    /// for the other nodes.
    pub(crate) fn record_completion(&self) -> Vec<Suspicion> {
        let now = Instant::now();
        let mut state = self.quarantine.lock();
        if state.completed.len() < MAX_COMPLETED {
            state.completed.insert(self.fingerprint, now);
        }
        state.quarantine.record_completion(now, self.fingerprint)
    }

    /// Records that the backend server aborted the run, possibly by a crash.
    pub(crate) fn record_abort(&self) {
        let mut state = self.quarantine.lock();
        state.aborted.push((self.fingerprint, Instant::now()));
    }
}

impl Drop for Run<'_> {
    fn drop(&mut self) {
        let mut state = self.quarantine.lock();
        state.quarantine.end_run(self.fingerprint);
        if let Some(count) = state.running.get_mut(&self.fingerprint) {
            *count -= 1;
            if *count == 0 {
                state.running.remove(&self.fingerprint);
            }
        }
    }
}

impl State {
    fn expire_aborted(&mut self, now: Instant) {
        self.aborted
            .retain(|(_, at)| now.saturating_duration_since(*at) < ABORTED_RUN_RETENTION);
    }

    fn in_flight(&mut self, now: Instant) -> Vec<Fingerprint> {
        self.expire_aborted(now);
        let running = self.running.keys().copied();
        let aborted = self.aborted.drain(..).map(|(fingerprint, _)| fingerprint);
        let completed = &self.completed;
        let in_flight = running.chain(aborted);
        in_flight
            .filter(|fingerprint| !completed.contains_key(fingerprint))
            .collect()
    }
}

/// Checks whether the backend server crashed, and reports the requests in flight at the crash to
/// the fleet.
pub(crate) async fn detect_crash(shared: Arc<Shared>, address: SocketAddr) {
    let connect = tokio::net::TcpStream::connect(address);
    match tokio::time::timeout(PROBE_TIMEOUT, connect).await {
        Ok(Err(e)) if e.kind() == std::io::ErrorKind::ConnectionRefused => {}
        _ => return,
    }
    let changes = shared.registration_changes();
    let Some(crashed) = shared.local_backend.remove_crashed(address) else {
        return;
    };
    shared.registration().mark_down();
    drop(changes);
    let crash = Crash {
        node: shared.settings.name.clone(),
        incarnation: crashed.backend.incarnation,
    };
    let now = Instant::now();
    let updates = {
        let mut state = shared.quarantine.lock();
        let in_flight = state.in_flight(now);
        state.quarantine.record_crash(now, &crash, in_flight)
    };
    shared.journal.emit(
        Event::BackendCrashed,
        &[
            ("service", &crashed.backend.service),
            ("in_flight", &updates.len()),
        ],
    );
    shared.backend_changed();
    notify_nodes(&shared, &updates);
}

/// Sends the updates to all other nodes.
pub(crate) fn notify_nodes(shared: &Shared, updates: &[Suspicion]) {
    let Some(endpoint) = shared.endpoint().filter(|_| !updates.is_empty()) else {
        return;
    };
    let body = Bytes::from(to_wire(updates).encode_to_vec());
    for member in shared.gossip.members() {
        let is_recipient = member.role == Role::Node && member.health != Health::Dead;
        if is_recipient && member.name != shared.settings.name {
            endpoint.send(member.link, wire::topic::SUSPICIONS, body.clone());
        }
    }
}

/// Merges the suspicions that another node sent.
pub(crate) fn receive(shared: &Shared, body: Bytes) {
    let Ok(message) = wire::Suspicions::decode(body) else {
        return;
    };
    let now = Instant::now();
    let mut state = shared.quarantine.lock();
    for suspicion in message
        .suspicions
        .into_iter()
        .take(MAX_SUSPICIONS_PER_MESSAGE)
    {
        let Some(suspicion) = from_wire(suspicion) else {
            continue;
        };
        let fingerprint = suspicion.fingerprint;
        let is_new = state.quarantine.merge(now, &suspicion);
        let verdict = state.quarantine.verdict(now, fingerprint);
        if is_new && matches!(verdict, Verdict::Quarantined { .. }) {
            let fingerprint = format!("{fingerprint:032x}");
            shared.journal.emit(
                Event::RequestQuarantined,
                &[("fingerprint", &fingerprint), ("by", &suspicion.crash.node)],
            );
        }
    }
}

fn quarantine_refusal() -> Refusal {
    let detail = "requests like this one brought down backend servers";
    Refusal::new(Reason::Quarantined, Outcome::DoNotResend, detail)
}

fn to_wire(updates: &[Suspicion]) -> wire::Suspicions {
    let suspicions = updates.iter().map(|suspicion| wire::Suspicion {
        fingerprint: suspicion.fingerprint.to_be_bytes().to_vec().into(),
        node: suspicion.crash.node.to_string(),
        incarnation: suspicion.crash.incarnation,
        age_ms: u64::try_from(suspicion.age.as_millis()).unwrap_or(u64::MAX),
        is_cleared: suspicion.is_cleared,
    });
    wire::Suspicions {
        suspicions: suspicions.collect(),
    }
}

fn from_wire(wire: wire::Suspicion) -> Option<Suspicion> {
    let fingerprint = <[u8; 16]>::try_from(wire.fingerprint.as_ref()).ok()?;
    Some(Suspicion {
        fingerprint: u128::from_be_bytes(fingerprint),
        crash: Crash {
            node: wire.node.into(),
            incarnation: wire.incarnation,
        },
        age: Duration::from_millis(wire.age_ms),
        is_cleared: wire.is_cleared,
    })
}
