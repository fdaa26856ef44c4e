//! The links to one peer: dialling, choosing, replacing.

use std::{
    collections::VecDeque,
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

/// The one-way messages that wait for the first link of a peer.
const MAX_QUEUED_NOTIFICATIONS: usize = 256;
/// The time for which a lost link is replaced at once, counted from the last use of the peer.
const RECENT_USE: Duration = Duration::from_secs(5);
/// The failed attempts in a row after which calls no longer wait for the next one.
const FAILURES_BEFORE_FAIL_FAST: u32 = 2;
/// The doublings after which the pause between attempts is the longest in any case.
const MAX_DOUBLINGS: u32 = 16;

/// Why no link could be had.
#[derive(Clone, Debug)]
pub(crate) struct DialFailure {
    pub(crate) step: Step,
    pub(crate) reason: String,
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
    /// Attempts that failed since the last one that did not.
    failures: u32,
    next_dial_at: Instant,
    last_failure: DialFailure,
    last_use: Instant,
    /// Moves on with every choice, so that equally loaded links take turns.
    rotation: usize,
    notifications: VecDeque<(Topic, Bytes)>,
}

/// What there is for a new call.
enum Choice {
    Use(Arc<Link>),
    Wait,
    Fail(DialFailure),
}

/// Access
impl Pool {
    pub(crate) fn new(address: SocketAddr, core: Arc<Core>) -> Arc<Self> {
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

    /// Whether nothing would be lost by forgetting this peer.
    pub(crate) fn is_stale(&self) -> bool {
        let state = self.state();
        let idle = now().saturating_duration_since(state.last_use);
        state.links.is_empty() && state.dialling == 0 && idle >= self.core.limits.idle_timeout
    }

    /// Chooses the link for a new call, dialling if there is none.
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

    /// Sends a one-way message now, or with the link that is being made, or not at all.
    pub(crate) fn notify(self: &Arc<Self>, topic: Topic, body: Bytes) {
        match self.choose() {
            Choice::Use(link) => {
                // A full link drops one-way messages, which is what best effort means.
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
        let (best, usable) = state.best(now);
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
    /// The least loaded usable link and the number of usable ones.
    fn best(&mut self, now: Instant) -> (Option<Arc<Link>>, usize) {
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

    /// Whether a link is being made to a peer that was there lately. A call to another one fails at
    /// once, so that its caller can go elsewhere in place of waiting for a timeout.
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

/// Dialling
impl Pool {
    /// Dials as many links as are missing, or one to try a peer that failed last time.
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

    /// Replaces a lost link of a peer that is in use, before the next call asks for it.
    fn replace_lost(self: &Arc<Self>) {
        let now = now();
        let mut state = self.state();
        if now.saturating_duration_since(state.last_use) < RECENT_USE {
            let (_, usable) = state.best(now);
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
            log::debug!("link to {}: {}: {e}", pool.address, e.step());
            pool.state().record_failure(&e, &core.limits);
            pool.changed.notify_waiters();
        }
    }
}

async fn connect(address: SocketAddr, core: &Core) -> Result<Connected, ConnectError> {
    let deadline = tokio::time::Instant::now() + core.limits.handshake_timeout;
    let stream = tokio::time::timeout_at(deadline, connect::connect(address))
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
    let link = Link::new(Side::Dialler, connected.peer, &core.limits);
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

/// A pause that doubles with every failure and is jittered, so that processes that lost the same
/// peer do not come back at the same moment.
fn backoff(failures: u32, limits: &Limits) -> Duration {
    let doublings = (failures - 1).min(MAX_DOUBLINGS);
    let backoff = limits.min_backoff.saturating_mul(1 << doublings);
    backoff
        .min(limits.max_backoff)
        .mul_f64(rand::random_range(0.5..=1.0))
}
