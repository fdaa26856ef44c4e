//! A TCP relay on loopback that can be made to fail in the ways of a network.
//!
//! A process is given the relay's address in place of the real one. Faults are set and lifted at
//! run time and hold for every connection unless they say otherwise.

mod plan;
mod pump;

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use plan::Plan;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};
use tokio_util::sync::{CancellationToken, DropGuard};

pub use plan::Direction;

/// A running relay; it ends with its connections when dropped.
pub struct Relay {
    address: SocketAddr,
    shared: Arc<Shared>,
    _stop: DropGuard,
}

struct Shared {
    target: Mutex<SocketAddr>,
    plan: watch::Sender<Plan>,
    open: AtomicUsize,
    stop: CancellationToken,
}

/// Lifecycle
impl Relay {
    /// Opens a relay on a free port of 127.0.0.1 that passes everything on to `target`.
    ///
    /// # Errors
    ///
    /// The listening socket may not be had.
    pub async fn bind(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let stop = CancellationToken::new();
        let shared = Arc::new(Shared {
            target: Mutex::new(target),
            plan: watch::Sender::new(Plan::default()),
            open: AtomicUsize::new(0),
            stop: stop.clone(),
        });
        tokio::spawn(accept(listener, shared.clone()));
        Ok(Self {
            address,
            shared,
            _stop: stop.drop_guard(),
        })
    }
}

/// Access
impl Relay {
    /// The address to connect to.
    #[must_use]
    pub fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// The number of connections that are open, silent ones included.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.shared.open.load(Ordering::SeqCst)
    }

    /// The number of connections that were accepted since the relay was bound.
    #[must_use]
    pub fn accepted_connections(&self) -> u64 {
        self.shared.plan.borrow().accepted
    }

    /// Makes new connections go to another address.
    pub fn set_target(&self, target: SocketAddr) {
        *self.shared.target() = target;
    }
}

/// Faults
impl Relay {
    /// Lifts every fault that has not closed or silenced a connection for good.
    pub fn pass(&self) {
        self.change(Plan::pass);
    }

    /// Closes the connections of now; new ones work.
    pub fn cut(&self) {
        self.change(|plan| plan.cut_up_to = plan.accepted);
    }

    /// Closes the connections of now and every new one at once, until [`Relay::pass`].
    pub fn refuse(&self) {
        self.change(|plan| {
            plan.cut_up_to = plan.accepted;
            plan.refuse = true;
        });
    }

    /// Lets nothing through any more on the connections of now, which stay open; new ones work.
    pub fn silence_existing(&self) {
        self.change(|plan| plan.silent_up_to = plan.accepted);
    }

    /// Lets nothing through any more on the first `count` connections since the relay was bound,
    /// which stay open; the others work.
    pub fn silence_first(&self, count: u64) {
        self.change(|plan| plan.silent_up_to = plan.silent_up_to.max(count));
    }

    /// Lets nothing through, on new connections either, until [`Relay::pass`]; the connections of
    /// now stay silent for good.
    pub fn silence_all(&self) {
        self.change(|plan| {
            plan.silent_up_to = plan.accepted;
            plan.silence_new = true;
        });
    }

    /// Lets nothing through on the connections, of now and later, whose first bytes hold this
    /// name, until [`Relay::pass`]; then what was kept back is delivered.
    pub fn bar(&self, name: &str) {
        self.change(|plan| plan.barred.push(name.to_owned()));
    }

    /// Delivers everything later by `time`, in order.
    pub fn delay(&self, time: Duration) {
        self.change(|plan| plan.delay = time);
    }

    /// Keeps back what is sent until [`Relay::release`] or [`Relay::pass`].
    pub fn hold(&self) {
        self.change(|plan| plan.hold = true);
    }

    /// Delivers what was kept back, and everything after it.
    pub fn release(&self) {
        self.change(|plan| plan.hold = false);
    }

    /// Closes a connection once `bytes` more bytes have gone through it in one direction; only the
    /// first connection that gets there.
    pub fn truncate_after(&self, direction: Direction, bytes: usize) {
        self.change(|plan| plan.set_fault(direction, plan::Kind::Truncate, bytes));
    }

    /// Flips the bits of the byte that comes `bytes` bytes further on in one direction of a
    /// connection; only on the first connection that gets there.
    pub fn corrupt_after(&self, direction: Direction, bytes: usize) {
        self.change(|plan| plan.set_fault(direction, plan::Kind::Corrupt, bytes));
    }

    fn change(&self, change: impl FnOnce(&mut Plan)) {
        self.shared.plan.send_modify(change);
    }
}

impl Shared {
    fn target(&self) -> std::sync::MutexGuard<'_, SocketAddr> {
        self.target.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Numbers a new connection from 1, as the faults refer to connections by number.
    fn number(&self) -> u64 {
        let mut number = 0;
        self.plan.send_modify(|plan| {
            plan.accepted += 1;
            number = plan.accepted;
        });
        number
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shared.stop.cancelled() => return,
        };
        if let Ok((stream, _)) = accepted {
            tokio::spawn(relay(stream, shared.clone()));
        }
    }
}

async fn relay(accepted: TcpStream, shared: Arc<Shared>) {
    let number = shared.number();
    if shared.plan.borrow().refuse {
        return;
    }
    let address = *shared.target();
    let Ok(target) = TcpStream::connect(address).await else {
        return;
    };
    shared.open.fetch_add(1, Ordering::SeqCst);
    tokio::select! {
        () = pump::both(accepted, target, number, &shared.plan) => {}
        () = shared.stop.cancelled() => {}
    }
    shared.open.fetch_sub(1, Ordering::SeqCst);
}
