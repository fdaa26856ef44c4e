//! One established link: the handle that callers share, and the task that transfers its bytes.

mod driver;
mod serve;

use std::{
    collections::HashMap,
    fmt,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use bytes::Bytes;
use slotmap::SecondaryMap;
use tokio::{
    sync::{Notify, oneshot},
    task::AbortHandle,
};

pub(crate) use driver::{CloseReason, Driver};

use crate::{
    Peer, Reply, Request, Step, Topic,
    core::Core,
    mux::{CallKey, Event, Failure, Mux, Rejection, Side, StreamId},
};

/// Why a call ended without a reply, with a description for its error.
#[derive(Clone, Debug)]
pub(crate) struct CallFailure {
    pub(crate) failure: Failure,
    pub(crate) reason: Arc<str>,
}

impl CallFailure {
    /// The failure of a call whose outcome is unknown: the peer may have started it. The driver
    /// completes every call before it ends, so this is only a conservative fallback.
    fn unknown() -> Self {
        Self {
            failure: Failure::Lost(Step::Wait),
            reason: Arc::from("the link ended"),
        }
    }
}

type Outcome = Result<Reply, CallFailure>;

/// A link to a peer, shared between its callers and its driver.
pub(crate) struct Link {
    peer: Peer,
    state: Mutex<State>,
    wake: Notify,
}

struct State {
    mux: Mux,
    waiters: SecondaryMap<CallKey, oneshot::Sender<Outcome>>,
    running: HashMap<StreamId, AbortHandle>,
    /// The reason that failed calls report. Closing the link replaces it by the close reason.
    reason: Arc<str>,
}

/// A call that waits for its outcome. Dropping it earlier cancels the call.
pub(crate) struct OpenCall {
    link: Arc<Link>,
    key: CallKey,
    outcome: oneshot::Receiver<Outcome>,
}

impl fmt::Debug for Link {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Link")
            .field("peer", &self.peer)
            .finish_non_exhaustive()
    }
}

impl Link {
    /// Creates one side of a link; see [`Mux::new`].
    pub(crate) fn new(
        side: Side,
        peer: Peer,
        core: &Core,
        peer_opened_after: Instant,
    ) -> Arc<Self> {
        let state = State {
            mux: Mux::new(side, &core.limits, now(), peer_opened_after)
                .with_metering(core.metering.clone()),
            waiters: SecondaryMap::new(),
            running: HashMap::new(),
            reason: Arc::from("by the far side"),
        };
        Arc::new(Self {
            peer,
            state: Mutex::new(state),
            wake: Notify::new(),
        })
    }

    /// Stops accepting requests or calls; those that were accepted continue.
    pub(crate) fn go_away(&self) {
        self.state().mux.go_away();
        self.wake.notify_one();
    }
}

impl Link {
    pub(crate) fn peer(&self) -> &Peer {
        &self.peer
    }

    /// The number of open streams, or `None` if new calls should use another link.
    pub(crate) fn load(&self, now: Instant) -> Option<usize> {
        let state = self.state();
        let usable = !state.mux.is_draining() && !state.mux.is_suspect(now);
        usable.then(|| state.mux.open_streams())
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Link {
    pub(crate) fn open(
        self: &Arc<Self>,
        req: Request,
        deadline: Instant,
    ) -> Result<OpenCall, Rejection> {
        let (tx, outcome) = oneshot::channel();
        let mut state = self.state();
        let key = state.mux.open(req, Some(deadline), now())?;
        state.waiters.insert(key, tx);
        drop(state);
        self.wake.notify_one();
        Ok(OpenCall {
            link: self.clone(),
            key,
            outcome,
        })
    }

    pub(crate) fn notify(&self, topic: Topic, body: Bytes) -> Result<(), Rejection> {
        self.state().mux.notify(topic, body, now())?;
        self.wake.notify_one();
        Ok(())
    }

    fn cancel(&self, key: CallKey) -> Option<bool> {
        let mut state = self.state();
        state.waiters.remove(key);
        let may_have_started = state.mux.cancel(key);
        drop(state);
        if may_have_started.is_some() {
            self.wake.notify_one();
        }
        may_have_started
    }
}

impl OpenCall {
    pub(crate) async fn wait(&mut self) -> Outcome {
        match (&mut self.outcome).await {
            Ok(outcome) => outcome,
            Err(_) => Err(CallFailure::unknown()),
        }
    }

    /// Cancels the call. Returns whether the peer may have started it, or its outcome as the error
    /// if the call has ended in the meantime.
    pub(crate) fn cancel(mut self) -> Result<bool, Outcome> {
        match self.link.cancel(self.key) {
            Some(may_have_started) => Ok(may_have_started),
            None => Err(self
                .outcome
                .try_recv()
                .unwrap_or_else(|_| Err(CallFailure::unknown()))),
        }
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.link.cancel(self.key);
    }
}

impl State {
    /// Sends the outcomes of calls to their waiters, and returns the other events.
    fn dispatch_outcomes(&mut self) -> Vec<Event> {
        let mut others = Vec::new();
        while let Some(event) = self.mux.next_event() {
            match event {
                Event::Replied { call, reply } => self.complete(call, Ok(reply)),
                Event::Failed { call, failure } => {
                    let reason = self.reason.clone();
                    self.complete(call, Err(CallFailure { failure, reason }));
                }
                other => others.push(other),
            }
        }
        others
    }

    fn complete(&mut self, call: CallKey, outcome: Outcome) {
        if let Some(tx) = self.waiters.remove(call) {
            // The caller may have been dropped in the meantime; the outcome is then not needed.
            let _ = tx.send(outcome);
        }
    }
}

/// The current time by the clock of the runtime, which tests can pause.
pub(crate) fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}
