//! The pool of links to one peer: dials them, chooses one for each call and replaces lost ones.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use tokio::sync::Notify;

use crate::{
    Limits, Step, Topic,
    connect::{self, ConnectError, Connected},
    core::{Core, CountGuard},
    link::{CloseReason, Driver, Link, now},
    mux::Side,
};

/// The maximum number of one-way messages queued until a link to the peer is established.
const MAX_QUEUED_NOTIFICATIONS: usize = 256;
/// A lost link is replaced immediately if the peer was used within this time, and otherwise at the
/// next use.
const RECENT_USE: Duration = Duration::from_secs(5);
/// The number of consecutive connection failures after which calls fail immediately instead of
/// waiting for a link.
const FAILURES_BEFORE_FAIL_FAST: u32 = 2;
/// The maximum number of doublings of the backoff. More would not lengthen it, since
/// [`Limits::max_backoff`] caps it long before.
const MAX_DOUBLINGS: u32 = 16;

/// Why no link to the peer is available.
#[derive(Clone, Debug)]
pub(crate) struct DialFailure {
    pub(crate) step: Step,
    pub(crate) reason: String,
}

/// The pools of links to all peers that were called recently.
pub(crate) struct Pools {
    core: Arc<Core>,
    by_address: Mutex<HashMap<SocketAddr, Arc<Pool>>>,
}

impl Pools {
    pub(crate) fn open(core: Arc<Core>) -> Self {
        Self {
            core,
            by_address: Mutex::default(),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.by_address().len()
    }

    pub(crate) fn get(&self, to: SocketAddr) -> Arc<Pool> {
        let mut pools = self.by_address();
        if let Some(pool) = pools.get(&to) {
            return pool.clone();
        }
        pools.retain(|_, pool| !pool.is_stale());
        let pool = Pool::new(to, self.core.clone());
        pools.insert(to, pool.clone());
        pool
    }

    /// Lets a peer that is known to have started be dialled without waiting for the backoff to end.
    pub(crate) fn end_backoff(&self, peer: SocketAddr) {
        let pool = self.by_address().get(&peer).cloned();
        if let Some(pool) = pool {
            pool.end_backoff();
        }
    }

    fn by_address(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<Pool>>> {
        self.by_address
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// The links to one address.
pub(crate) struct Pool {
    address: SocketAddr,
    core: Arc<Core>,
    state: Mutex<State>,
    changed: Notify,
}

struct State {
    links: Vec<Arc<Link>>,
    dialling: usize,
    /// The number of connection failures since the last success.
    failures: u32,
    next_dial_at: Instant,
    last_failure: DialFailure,
    last_use: Instant,
    /// Advances with every choice, so that equally loaded links are used in rotation.
    rotation: usize,
    notifications: VecDeque<(Topic, Bytes)>,
}

/// The decision for a new call: use a link, wait for one that is being dialled, or fail.
enum Choice {
    Use(Arc<Link>),
    Wait,
    Fail(DialFailure),
}

impl Pool {
    fn new(address: SocketAddr, core: Arc<Core>) -> Arc<Self> {
        let state = State {
            links: Vec::new(),
            dialling: 0,
            failures: 0,
            next_dial_at: now(),
            last_failure: DialFailure {
                step: Step::Connect,
                reason: "not tried yet".into(),
            },
            last_use: now(),
            rotation: 0,
            notifications: VecDeque::new(),
        };
        Arc::new(Self {
            address,
            core,
            state: Mutex::new(state),
            changed: Notify::new(),
        })
    }

    /// Whether the pool can be dropped: it has no links and has been idle for the idle timeout.
    fn is_stale(&self) -> bool {
        let state = self.state();
        let idle = now().saturating_duration_since(state.last_use);
        state.links.is_empty() && state.dialling == 0 && idle >= self.core.limits.idle_timeout
    }

    /// Chooses the link for a new call, and dials missing links.
    pub(crate) async fn link(self: &Arc<Self>) -> Result<Arc<Link>, DialFailure> {
        loop {
            let mut changed = std::pin::pin!(self.changed.notified());
            changed.as_mut().enable();
            match self.choose() {
                Choice::Use(link) => return Ok(link),
                Choice::Wait => changed.await,
                Choice::Fail(failure) => return Err(failure),
            }
        }
    }

    /// Sends a one-way message, queues it until a link that is being dialled is established, or
    /// drops it.
    pub(crate) fn notify(self: &Arc<Self>, topic: Topic, body: Bytes) {
        match self.choose() {
            Choice::Use(link) => {
                // One-way messages are best effort, so a full link drops them.
                let _ = link.notify(topic, body);
            }
            Choice::Wait | Choice::Fail(_) => self.queue_notification(topic, body),
        }
    }

    fn queue_notification(&self, topic: Topic, body: Bytes) {
        let mut state = self.state();
        if state.dialling > 0 && state.notifications.len() < MAX_QUEUED_NOTIFICATIONS {
            state.notifications.push_back((topic, body));
        }
    }

    fn choose(self: &Arc<Self>) -> Choice {
        let now = now();
        let mut state = self.state();
        state.last_use = now;
        let (best, usable) = state.least_loaded(now);
        self.replenish(&mut state, usable, now);
        match best {
            Some(link) => Choice::Use(link),
            None if state.may_wait() => Choice::Wait,
            None => Choice::Fail(state.last_failure.clone()),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// The usable link with the fewest open streams, and the number of usable links.
    fn least_loaded(&mut self, now: Instant) -> (Option<Arc<Link>>, usize) {
        self.rotation = self.rotation.wrapping_add(1);
        let count = self.links.len();
        let mut best: Option<(usize, usize)> = None;
        let mut usable = 0;
        for i in (0..count).map(|i| (i + self.rotation) % count) {
            let Some(load) = self.links[i].load(now) else {
                continue;
            };
            usable += 1;
            if best.is_none_or(|(min_load, _)| load < min_load) {
                best = Some((load, i));
            }
        }
        (best.map(|(_, i)| self.links[i].clone()), usable)
    }

    /// Whether a call may wait for a link that is being dialled. After repeated failures it fails
    /// at once, so that its caller can choose another peer instead of waiting for a timeout.
    fn may_wait(&self) -> bool {
        self.dialling > 0 && self.failures < FAILURES_BEFORE_FAIL_FAST
    }

    fn record_failure(&mut self, error: &ConnectError, limits: &Limits) {
        self.dialling -= 1;
        self.failures = self.failures.saturating_add(1);
        self.next_dial_at = now() + backoff(self.failures, limits);
        self.last_failure = DialFailure {
            step: error.step(),
            reason: error.to_string(),
        };
        if self.dialling == 0 {
            self.notifications.clear();
        }
    }
}

impl Pool {
    /// Dials the missing links, or a single one if the last attempt to connect failed.
    fn replenish(self: &Arc<Self>, state: &mut State, usable: usize, now: Instant) {
        let limits = &self.core.limits;
        let wanted = if state.failures == 0 {
            limits.links_per_peer
        } else {
            usable + 1
        };
        let wanted = wanted.min(limits.links_per_peer);
        let missing = wanted.saturating_sub(usable + state.dialling);
        if now < state.next_dial_at || self.core.drain_dialled.is_cancelled() {
            return;
        }
        for _ in 0..missing {
            state.dialling += 1;
            self.core.dialled.spawn(dial(self.clone()));
        }
    }

    /// Dials again now if the last attempt failed, and lets calls wait for the result.
    fn end_backoff(self: &Arc<Self>) {
        {
            let mut state = self.state();
            if state.failures == 0 {
                return;
            }
            state.failures = 1;
            state.next_dial_at = now();
        }
        self.replace_lost();
    }

    /// Replaces a lost link before the next call needs it, if the peer was used recently.
    fn replace_lost(self: &Arc<Self>) {
        let now = now();
        let mut state = self.state();
        if now.saturating_duration_since(state.last_use) < RECENT_USE {
            let (_, usable) = state.least_loaded(now);
            self.replenish(&mut state, usable, now);
        }
    }

    fn add(&self, link: &Arc<Link>) {
        let mut state = self.state();
        state.dialling -= 1;
        state.failures = 0;
        state.links.push(link.clone());
        for (topic, body) in state.notifications.drain(..) {
            let _ = link.notify(topic, body);
        }
    }

    fn remove(&self, link: &Arc<Link>) {
        self.state().links.retain(|other| !Arc::ptr_eq(other, link));
    }
}

async fn dial(pool: Arc<Pool>) {
    let core = pool.core.clone();
    let connected = tokio::select! {
        connected = connect(pool.address, &core) => connected,
        () = core.stop.cancelled() => Err(ConnectError::Timeout(Step::Connect)),
    };
    match connected {
        Ok(connected) => run_link(&pool, connected).await,
        Err(e) => {
            log::debug!("dialling {} failed: {}: {e}", pool.address, e.step());
            pool.state().record_failure(&e, &core.limits);
            pool.changed.notify_waiters();
        }
    }
}

async fn connect(address: SocketAddr, core: &Core) -> Result<Connected, ConnectError> {
    let deadline = tokio::time::Instant::now() + core.limits.handshake_timeout;
    let stream = tokio::time::timeout_at(deadline, connect::connect_repeatedly(address))
        .await
        .map_err(|_| ConnectError::Timeout(Step::Connect))??;
    let handshake = connect::dial_handshake(stream, &core.credentials);
    tokio::time::timeout_at(deadline, handshake)
        .await
        .map_err(|_| ConnectError::Timeout(Step::Handshake))?
}

async fn run_link(pool: &Arc<Pool>, connected: Connected) {
    let core = &pool.core;
    let _counted = CountGuard::new(&core.counts.dialled);
    let link = Link::new(
        Side::Dialler,
        connected.peer,
        core,
        connected.peer_opened_after,
    );
    let service = core.service.clone();
    let driver = Driver::new(link.clone(), connected.stream, connected.input, service);
    pool.add(&link);
    pool.changed.notify_waiters();
    let reason = driver
        .run(core.stop.clone(), core.drain_dialled.clone())
        .await;
    log::debug!("link to {} ended: {reason}", pool.address);
    pool.remove(&link);
    if !matches!(reason, CloseReason::Finished | CloseReason::Stopped) {
        pool.replace_lost();
    }
    pool.changed.notify_waiters();
}

/// Exponential backoff with jitter, so that processes that lost the same peer do not all reconnect
/// at the same moment.
fn backoff(failures: u32, limits: &Limits) -> Duration {
    let doublings = (failures - 1).min(MAX_DOUBLINGS);
    let backoff = limits.min_backoff.saturating_mul(1 << doublings);
    backoff
        .min(limits.max_backoff)
        .mul_f64(rand::random_range(0.5..=1.0))
}
