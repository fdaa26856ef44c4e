use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Instant,
};

use bytes::Bytes;
use nutmegwheel_types::plain_copy;
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    BindError, CallError, Options, Reply, Request, Service, Step, Topic, accept,
    connect::{self, Credentials},
    core::{Core, Counts},
    handshake::Identity,
    link::{CallFailure, Link, OpenCall},
    mux::{Failure, Rejection},
    pool::{DialFailure, Pool, Pools},
};

/// The minimum length of the fleet secret.
const MIN_SECRET_BYTES: usize = 16;
/// The maximum number of attempts of one call. Another attempt is made only if the failed one
/// provably did not run.
const MAX_ATTEMPTS: usize = 3;

/// Accepts links from other processes of the fleet, and makes calls to them.
///
/// Clones share the endpoint; its tasks end when the last clone is dropped.
#[derive(Clone)]
pub struct Endpoint {
    shared: Arc<Shared>,
}

plain_copy! {
    /// The connections that an endpoint currently has.
    pub struct Stats {
        /// The established links that this process dialled.
        pub dialled_links: usize,
        /// The established links that other processes dialled.
        pub accepted_links: usize,
        /// The accepted connections whose handshake has not completed.
        pub half_open: usize,
        /// The addresses that have a pool of links because they were called recently.
        pub peers: usize,
    }
}

struct Shared {
    core: Arc<Core>,
    address: SocketAddr,
    pools: Arc<Pools>,
    calls: TaskTracker,
}

impl Drop for Shared {
    fn drop(&mut self) {
        self.core.stop.cancel();
    }
}

impl Endpoint {
    /// Opens the listening socket, and starts accepting links in the current Tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be listened on, or when the fleet secret is too short.
    #[allow(
        clippy::unused_async,
        reason = "binding may become asynchronous without a change of its callers"
    )]
    pub async fn bind(opts: Options, service: Arc<dyn Service>) -> Result<Self, BindError> {
        if opts.fleet_secret.len() < MIN_SECRET_BYTES {
            return Err(BindError::WeakSecret {
                length: opts.fleet_secret.len(),
                min: MIN_SECRET_BYTES,
            });
        }
        let failed = |source| BindError::Listen {
            address: opts.listen,
            source,
        };
        let listener = connect::listen(opts.listen).map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        let core = Arc::new(new_core(opts, address, service));
        let pools = Arc::new(Pools::open(core.clone()));
        tokio::spawn(accept::run(listener, core.clone(), pools.clone()));
        Ok(Self {
            shared: Arc::new(Shared {
                core,
                address,
                pools,
                calls: TaskTracker::new(),
            }),
        })
    }

    /// Drains the endpoint: accepts no new requests, waits for those in flight, then closes every
    /// link.
    ///
    /// The peers are notified first. Calls of this process continue until all requests of others
    /// have been answered, since answering may need them; after that they fail with
    /// [`CallError::ShutDown`]. No timeout applies, so the caller must set one.
    pub async fn shutdown(&self) {
        let core = &self.shared.core;
        core.drain_accepted.cancel();
        wait_for(&core.accepted).await;
        wait_for(&self.shared.calls).await;
        core.drain_dialled.cancel();
        let flushed = wait_for(&core.dialled);
        // One-way messages that a peer does not read in time are dropped.
        let _ = tokio::time::timeout(core.limits.silence_timeout, flushed).await;
        core.stop.cancel();
        wait_for(&core.dialled).await;
    }
}

impl Endpoint {
    /// The address on which links are accepted.
    #[must_use]
    pub fn local_addr(&self) -> SocketAddr {
        self.shared.address
    }

    /// The connections that the endpoint currently has.
    #[must_use]
    pub fn stats(&self) -> Stats {
        let counts = &self.shared.core.counts;
        Stats {
            dialled_links: counts.dialled.load(Ordering::Relaxed),
            accepted_links: counts.accepted.load(Ordering::Relaxed),
            half_open: counts.half_open.load(Ordering::Relaxed),
            peers: self.shared.pools.len(),
        }
    }
}

impl Endpoint {
    /// Sends a request and waits for its complete reply. Dropping the returned future cancels the
    /// call at the peer.
    ///
    /// # Errors
    ///
    /// Fails when there is no reply before the deadline. [`CallError::proves_not_run`] tells
    /// whether the peer may have started the request.
    pub async fn call(
        &self,
        to: SocketAddr,
        req: Request,
        deadline: Instant,
    ) -> Result<Reply, CallError> {
        if self.shared.core.drain_dialled.is_cancelled() {
            return Err(CallError::ShutDown { peer: to });
        }
        let _in_flight = self.shared.calls.token();
        let pool = self.shared.pools.get(to);
        let mut attempts = 0;
        loop {
            attempts += 1;
            let failed = match attempt_call(&pool, to, req.clone(), deadline).await {
                Ok(reply) => return Ok(reply),
                Err(failed) => failed,
            };
            let is_link_gone =
                matches!(&failed, CallError::NotSent { step, .. } if step.is_link_failure());
            if !is_link_gone || attempts == MAX_ATTEMPTS {
                return Err(failed);
            }
        }
    }

    /// Ends the wait before the next attempt to connect to a peer that is known to have started,
    /// so that calls to it do not fail for the rest of that wait.
    pub fn end_backoff(&self, peer: SocketAddr) {
        self.shared.pools.end_backoff(peer);
    }

    /// Sends a one-way message without a delivery guarantee: it may be dropped silently, and
    /// messages may arrive out of order.
    pub fn send(&self, to: SocketAddr, topic: Topic, body: Bytes) {
        if !self.shared.core.drain_dialled.is_cancelled() {
            self.shared.pools.get(to).notify(topic, body);
        }
    }
}

fn new_core(opts: Options, address: SocketAddr, service: Arc<dyn Service>) -> Core {
    let identity = Identity {
        name: opts.name,
        data_centre: opts.data_centre,
        incarnation: opts.incarnation,
        address: opts.advertised.unwrap_or(address),
    };
    Core {
        credentials: Credentials {
            identity,
            secret: opts.fleet_secret,
        },
        limits: opts.limits,
        metering: opts.metering,
        service,
        stop: CancellationToken::new(),
        drain_accepted: CancellationToken::new(),
        drain_dialled: CancellationToken::new(),
        accepted: TaskTracker::new(),
        dialled: TaskTracker::new(),
        counts: Counts::default(),
    }
}

async fn wait_for(tasks: &TaskTracker) {
    tasks.close();
    tasks.wait().await;
}

/// Makes one attempt of a call, on one link.
async fn attempt_call(
    pool: &Arc<Pool>,
    peer: SocketAddr,
    req: Request,
    deadline: Instant,
) -> Result<Reply, CallError> {
    let link = choose_link(pool, peer, deadline).await?;
    let mut call = open(&link, peer, req, deadline)?;
    match tokio::time::timeout_at(deadline.into(), call.wait()).await {
        Ok(outcome) => outcome.map_err(|failed| call_error(&link, peer, &failed)),
        Err(_) => expire(&link, peer, call),
    }
}

async fn choose_link(
    pool: &Arc<Pool>,
    peer: SocketAddr,
    deadline: Instant,
) -> Result<Arc<Link>, CallError> {
    match tokio::time::timeout_at(deadline.into(), pool.link()).await {
        Ok(Ok(link)) => Ok(link),
        Ok(Err(DialFailure { step, reason })) => Err(CallError::NotSent { peer, step, reason }),
        Err(_) => Err(CallError::Expired {
            peer,
            sent: false,
            incarnation: None,
        }),
    }
}

fn open(
    link: &Arc<Link>,
    peer: SocketAddr,
    req: Request,
    deadline: Instant,
) -> Result<OpenCall, CallError> {
    let not_sent = |step, reason: &str| CallError::NotSent {
        peer,
        step,
        reason: reason.into(),
    };
    link.open(req, deadline)
        .map_err(|rejection| match rejection {
            Rejection::TooLarge => CallError::TooLarge { peer },
            Rejection::Busy => not_sent(Step::Admit, "too much is open on the link"),
            Rejection::Draining => not_sent(Step::Queue, "the link takes no more calls"),
        })
}

fn call_error(link: &Link, peer: SocketAddr, failed: &CallFailure) -> CallError {
    let reason = failed.reason.to_string();
    match failed.failure {
        Failure::NotSent(step) => CallError::NotSent { peer, step, reason },
        Failure::Refused(reason) => CallError::Refused { peer, reason },
        Failure::Lost(step) => CallError::Lost {
            peer,
            step,
            incarnation: link.peer().incarnation,
            reason,
        },
    }
}

/// Cancels a call whose deadline has passed. If its outcome has arrived in the meantime, returns
/// that instead.
fn expire(link: &Link, peer: SocketAddr, call: OpenCall) -> Result<Reply, CallError> {
    match call.cancel() {
        Ok(sent) => Err(CallError::Expired {
            peer,
            sent,
            incarnation: Some(link.peer().incarnation),
        }),
        Err(outcome) => outcome.map_err(|failed| call_error(link, peer, &failed)),
    }
}
