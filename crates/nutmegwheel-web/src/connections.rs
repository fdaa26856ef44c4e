//! The accepted connections of a listener.

use std::{
    io,
    mem::MaybeUninit,
    net::Shutdown,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use nutmegwheel_memory::{Account, Hold};
use nutmegwheel_policy::{
    readers::{self, Reader},
    senders::{self, Asker, Sender},
};
use slotmap::{SlotMap, new_key_type};
use socket2::SockRef;
use tokio::{net::TcpStream, sync::Notify};

use crate::{reading::Reading, reception::Reception};

/// The part of the connections that is closed at a time to make room for new ones. Finding them
/// looks at all connections.
const EVICTED_FRACTION: usize = 32;

/// The memory of a connection without a body, in bytes: its task and a read buffer.
const CONNECTION_BYTES: usize = 8 * 1024;
/// The interval between choices of the senders to evict, which look at all senders. Those
/// chosen last have released their memory by then.
const EVICTION_INTERVAL: Duration = Duration::from_millis(10);

new_key_type! {
    /// The key of an accepted connection.
    pub(crate) struct ConnectionKey;
}

/// The accepted connections that are not closed.
#[derive(Clone)]
pub(crate) struct Connections {
    open: Arc<Mutex<SlotMap<ConnectionKey, Arc<Socket>>>>,
    max: usize,
    pub(crate) account: Account,
    evicted_at: Arc<Mutex<Option<Instant>>>,
}

/// An accepted socket, shared by the task that serves it and the list of connections.
pub(crate) struct Socket {
    pub(crate) stream: TcpStream,
    /// Since when the connection has waited for a request; `None` while one is in progress.
    idle_since: Mutex<Option<Instant>>,
    /// The request that is being received, if the memory account has a limit.
    reception: Mutex<Option<Reception>>,
    /// The answers that the caller has not taken, if the memory account has a limit.
    reading: Mutex<Option<Reading>>,
    evicted: Notify,
    is_displaced: AtomicBool,
    is_reader_evicted: AtomicBool,
    _hold: Hold,
}

/// A connection in the list, which is removed from it when dropped.
pub(crate) struct Entry {
    pub(crate) socket: Arc<Socket>,
    key: ConnectionKey,
    pub(crate) connections: Connections,
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.connections.lock().remove(self.key);
    }
}

impl Socket {
    /// Records since when the connection waits for a request.
    pub(crate) fn set_idle_since(&self, since: Option<Instant>) {
        *self.idle_since() = since;
    }

    fn idle_since(&self) -> MutexGuard<'_, Option<Instant>> {
        self.idle_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn reception(&self) -> MutexGuard<'_, Option<Reception>> {
        self.reception
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn reading(&self) -> MutexGuard<'_, Option<Reading>> {
        self.reading.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the caller does not read its answers while others need their memory.
    pub(crate) fn is_reader_evicted(&self) -> bool {
        self.is_reader_evicted.load(Ordering::Relaxed)
    }

    /// Whether a new connection has taken the place of this one.
    pub(crate) fn is_displaced(&self) -> bool {
        self.is_displaced.load(Ordering::Relaxed)
    }

    /// Waits until the request that is being received is to be evicted for others.
    pub(crate) async fn evicted(&self) {
        self.evicted.notified().await;
    }

    /// Tells the peer that no further bytes are sent.
    pub(crate) fn shutdown_write(&self) {
        // An error means that the connection is closed already.
        let _ = SockRef::from(&self.stream).shutdown(Shutdown::Write);
    }

    /// Whether received bytes have not been read. The runtime may not have noticed them yet.
    pub(crate) fn has_unread(&self) -> bool {
        self.peek().is_ok_and(|n| n > 0)
    }

    fn peek(&self) -> io::Result<usize> {
        SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()])
    }

    /// Ends the connection as if the peer had closed it.
    fn shutdown_read(&self) {
        // An error means that the connection is closed already.
        let _ = SockRef::from(&self.stream).shutdown(Shutdown::Read);
    }
}

impl Connections {
    /// Opens an empty list for `max` connections, or for as many as the process has descriptors
    /// for, which take their memory from `account`.
    pub(crate) fn open(max: Option<usize>, account: Account) -> Self {
        Self {
            open: Arc::default(),
            max: max.unwrap_or(usize::MAX),
            account,
            evicted_at: Arc::default(),
        }
    }

    /// Adds a connection, unless there is no memory for it.
    pub(crate) fn add(&self, stream: TcpStream) -> Option<Entry> {
        let mut hold = self.account.hold();
        if !hold.try_grow(CONNECTION_BYTES) {
            return None;
        }
        let socket = Arc::new(Socket {
            stream,
            idle_since: Mutex::new(Some(Instant::now())),
            reception: Mutex::default(),
            reading: Mutex::default(),
            evicted: Notify::new(),
            is_displaced: AtomicBool::new(false),
            is_reader_evicted: AtomicBool::new(false),
            _hold: hold,
        });
        Some(Entry {
            key: self.lock().insert(socket.clone()),
            socket,
            connections: self.clone(),
        })
    }

    pub(crate) fn len(&self) -> usize {
        self.lock().len()
    }

    pub(crate) fn is_full(&self) -> bool {
        self.len() >= self.max
    }

    /// Makes room for new connections by closing some that wait for a request, the longest waiting
    /// first, or else some whose request does not arrive. Returns their number.
    pub(crate) fn make_room(&self) -> usize {
        let closed = self.close_idle();
        if closed > 0 {
            return closed;
        }
        let keys = self.choose_senders(Asker::default(), Instant::now());
        let mut open = self.lock();
        let removed = keys.iter().filter_map(|key| open.remove(*key));
        let closed = removed.map(|socket| {
            socket.is_displaced.store(true, Ordering::Relaxed);
            socket.evicted.notify_one();
        });
        closed.count()
    }

    /// Evicts senders for one that needs memory. Returns their number.
    pub(crate) fn evict_senders(&self, asker: Asker, now: Instant) -> usize {
        let mut evicted_at = self
            .evicted_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if evicted_at.is_some_and(|at| now < at + EVICTION_INTERVAL) {
            return 0;
        }
        let keys = self.choose_senders(asker, now);
        *evicted_at = Some(now);
        let open = self.lock();
        let sockets = keys.iter().filter_map(|key| open.get(*key));
        let evicted = sockets.map(|socket| {
            // It is not chosen again before its task runs.
            socket.reception().take();
            socket.evicted.notify_one();
        });
        evicted.count()
    }

    /// Gives up the slowest readers while the account holds too much.
    pub(crate) fn evict_readers(&self, now: Instant) {
        let excess = self.account.excess();
        if excess == 0 {
            return;
        }
        let mut evicted_at = self
            .evicted_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if evicted_at.is_some_and(|at| now < at + EVICTION_INTERVAL) {
            return;
        }
        *evicted_at = Some(now);
        drop(evicted_at);
        let open = self.lock();
        let reader = |(key, socket): (ConnectionKey, &Arc<Socket>)| {
            let reading = socket.reading();
            reading.as_ref().map(|known| known.reader(key, now))
        };
        let readers: Vec<Reader<ConnectionKey>> = open.iter().filter_map(reader).collect();
        for key in readers::choose(excess, &readers) {
            if let Some(socket) = open.get(key) {
                // It is not chosen again before its task runs.
                socket.reading().take();
                socket.is_reader_evicted.store(true, Ordering::Relaxed);
                socket.evicted.notify_one();
            }
        }
    }

    fn choose_senders(&self, asker: Asker, now: Instant) -> Vec<ConnectionKey> {
        let open = self.lock();
        let sender = |(key, socket): (ConnectionKey, &Arc<Socket>)| {
            let reception = socket.reception();
            reception.as_ref().map(|known| known.sender(key, now))
        };
        let senders: Vec<Sender<ConnectionKey>> = open.iter().filter_map(sender).collect();
        drop(open);
        senders::choose(asker, &senders)
    }

    fn close_idle(&self) -> usize {
        let mut open = self.lock();
        let wanted = open.len().div_ceil(EVICTED_FRACTION);
        let mut idle: Vec<(Instant, ConnectionKey)> = open
            .iter()
            .filter(|(_, socket)| !socket.has_unread())
            .filter_map(|(key, socket)| Some(((*socket.idle_since())?, key)))
            .collect();
        idle.sort_unstable();
        idle.truncate(wanted);
        for (_, key) in &idle {
            if let Some(socket) = open.remove(*key) {
                socket.shutdown_read();
            }
        }
        idle.len()
    }

    fn lock(&self) -> MutexGuard<'_, SlotMap<ConnectionKey, Arc<Socket>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
