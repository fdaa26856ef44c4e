//! The accepted connections of a listener.

use std::{
    io,
    mem::MaybeUninit,
    net::Shutdown,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use slotmap::{SlotMap, new_key_type};
use socket2::SockRef;
use tokio::net::TcpStream;

/// The part of the connections that is closed at a time to make room for new ones. Finding them
/// looks at all connections.
const EVICTED_FRACTION: usize = 32;

new_key_type! {
    /// The key of an accepted connection.
    pub(crate) struct ConnectionKey;
}

/// The accepted connections that are not closed.
#[derive(Clone)]
pub(crate) struct Connections {
    open: Arc<Mutex<SlotMap<ConnectionKey, Arc<Socket>>>>,
    max: usize,
}

/// An accepted socket, shared by the task that serves it and the list of connections.
pub(crate) struct Socket {
    pub(crate) stream: TcpStream,
    /// Since when the connection has waited for a request; `None` while one is in progress.
    idle_since: Mutex<Option<Instant>>,
}

/// A connection in the list, which is removed from it when dropped.
pub(crate) struct Entry {
    pub(crate) socket: Arc<Socket>,
    key: ConnectionKey,
    connections: Connections,
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
    /// for.
    pub(crate) fn open(max: Option<usize>) -> Self {
        Self {
            open: Arc::default(),
            max: max.unwrap_or(usize::MAX),
        }
    }

    pub(crate) fn add(&self, stream: TcpStream) -> Entry {
        let socket = Arc::new(Socket {
            stream,
            idle_since: Mutex::new(Some(Instant::now())),
        });
        Entry {
            key: self.lock().insert(socket.clone()),
            socket,
            connections: self.clone(),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.lock().len()
    }

    pub(crate) fn is_full(&self) -> bool {
        self.len() >= self.max
    }

    /// Makes room for new connections by closing some that wait for a request, the longest waiting
    /// first. Returns their number.
    pub(crate) fn make_room(&self) -> usize {
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
