//! A TCP relay on loopback that injects network faults.
//!
//! A process is given the relay's address in place of the real one. Faults are set and cleared at
//! run time and apply to every connection unless stated otherwise.

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

/// A running relay; dropping it closes its connections.
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

impl Relay {
    /// Starts a relay on a free port of 127.0.0.1 that forwards connections to `target`.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the listening socket cannot be bound.
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

impl Relay {
    /// Returns the address that the relay listens on.
    #[must_use]
    pub fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of open connections, including silenced ones.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.shared.open.load(Ordering::SeqCst)
    }

    /// Returns the number of connections accepted since the relay was bound.
    #[must_use]
    pub fn accepted_connections(&self) -> u64 {
        self.shared.plan.borrow().accepted
    }

    /// Forwards new connections to another address.
    pub fn set_target(&self, target: SocketAddr) {
        *self.shared.target() = target;
    }
}

impl Relay {
    /// Clears every fault. Closed connections stay closed, and silenced connections stay silent.
    pub fn clear_faults(&self) {
        self.change(Plan::clear);
    }

    /// Closes the existing connections. New connections work.
    pub fn close_existing(&self) {
        self.change(|plan| plan.closed_up_to = plan.accepted);
    }

    /// Closes the existing connections, and each new one right after it is accepted, until
    /// [`Relay::clear_faults`].
    pub fn refuse(&self) {
        self.change(|plan| {
            plan.closed_up_to = plan.accepted;
            plan.refuse_new = true;
        });
    }

    /// Stops all traffic on the existing connections, which stay open. New connections work.
    pub fn silence_existing(&self) {
        self.change(|plan| plan.silent_up_to = plan.accepted);
    }

    /// Stops all traffic on the first `count` connections since the relay was bound, which stay
    /// open; the others work.
    pub fn silence_first(&self, count: u64) {
        self.change(|plan| plan.silent_up_to = plan.silent_up_to.max(count));
    }

    /// Stops all traffic on the existing connections and on those made until
    /// [`Relay::clear_faults`]. All of these connections stay open and silent permanently.
    pub fn silence_all(&self) {
        self.change(|plan| {
            plan.silent_up_to = plan.accepted;
            plan.silence_new = true;
        });
    }

    /// Stops all traffic on existing and new connections whose first bytes contain this name, until
    /// [`Relay::clear_faults`], which delivers the bytes that were held back.
    pub fn block_matching(&self, name: &str) {
        self.change(|plan| plan.blocked.push(name.to_owned()));
    }

    /// Delays all bytes by `time` and keeps their order.
    pub fn delay(&self, time: Duration) {
        self.change(|plan| plan.delay = time);
    }

    /// Holds back all bytes until [`Relay::release`] or [`Relay::clear_faults`].
    pub fn hold(&self) {
        self.change(|plan| plan.hold = true);
    }

    /// Delivers the bytes that were held back, and forwards later ones again.
    pub fn release(&self) {
        self.change(|plan| plan.hold = false);
    }

    /// Closes a connection after another `bytes` bytes have been forwarded in one direction.
    ///
    /// Applies once, to the first connection that reaches this offset.
    pub fn truncate_after(&self, direction: Direction, bytes: usize) {
        self.change(|plan| plan.set_fault(direction, plan::FaultKind::Truncate, bytes));
    }

    /// Inverts one byte of a connection after another `bytes` bytes in one direction.
    ///
    /// Applies once, to the first connection that reaches this offset.
    pub fn corrupt_after(&self, direction: Direction, bytes: usize) {
        self.change(|plan| plan.set_fault(direction, plan::FaultKind::Corrupt, bytes));
    }

    fn change(&self, change: impl FnOnce(&mut Plan)) {
        self.shared.plan.send_modify(change);
    }
}

impl Shared {
    fn target(&self) -> std::sync::MutexGuard<'_, SocketAddr> {
        self.target.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Numbers a new connection, starting at 1; faults refer to connections by number.
    fn next_number(&self) -> u64 {
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
    let number = shared.next_number();
    if shared.plan.borrow().refuse_new {
        return;
    }
    let address = *shared.target();
    let Ok(target) = TcpStream::connect(address).await else {
        return;
    };
    shared.open.fetch_add(1, Ordering::SeqCst);
    tokio::select! {
        () = pump::copy_both_ways(accepted, target, number, &shared.plan) => {}
        () = shared.stop.cancelled() => {}
    }
    shared.open.fetch_sub(1, Ordering::SeqCst);
}
