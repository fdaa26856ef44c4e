//! Detects that a caller has closed its connection while its request is being handled.
//!
//! The HTTP/1 dispatcher of `xitca-web` does not read while a handler runs, so it would notice a
//! closed connection only when it writes the response. Therefore a duplicate of each accepted socket
//! is watched in the meantime. It only peeks, so it consumes no byte of the connection.

use std::{
    collections::HashMap,
    io,
    mem::MaybeUninit,
    net::{Shutdown, SocketAddr, TcpListener},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use nutmegwheel_events::{Event, Journal};
use socket2::SockRef;
use tokio::net::TcpStream;
use xitca_io::net::Stream;
use xitca_server::net::{IntoListener, Listen};

/// The delay before connections are accepted again after the process ran out of descriptors.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// The part of the connections that is closed at a time to make room for new ones. Finding them
/// looks at all connections.
const EVICTED_FRACTION: usize = 32;

/// The accepted connections, by the address of the peer. A connection is dropped from this list
/// after the peer has closed it and the last request on it has ended.
#[derive(Clone)]
pub(crate) struct Connections {
    open: Arc<Mutex<HashMap<SocketAddr, Arc<Connection>>>>,
    is_closing: Arc<AtomicBool>,
    max: usize,
}

/// The duplicate of an accepted socket.
pub(crate) struct Connection {
    socket: TcpStream,
    is_closing: Arc<AtomicBool>,
    /// Since when the connection has waited for a request; `None` while one is handled.
    idle_since: Mutex<Option<Instant>>,
}

/// Marks a connection as handling a request until dropped.
pub(crate) struct Busy<'a>(&'a Connection);

impl Drop for Busy<'_> {
    fn drop(&mut self) {
        *self.0.idle_since() = Some(Instant::now());
    }
}

impl Connection {
    /// Marks the connection as handling a request.
    pub(crate) fn begin(&self) -> Busy<'_> {
        *self.idle_since() = None;
        Busy(self)
    }

    fn idle_since(&self) -> MutexGuard<'_, Option<Instant>> {
        self.idle_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the peer has closed its side of the connection.
    pub(crate) fn is_peer_closed(&self) -> bool {
        matches!(self.peek(), Ok(0)) && !self.is_closing.load(Ordering::SeqCst)
    }

    /// Waits until the peer has closed its side of the connection.
    pub(crate) async fn peer_closed(&self) {
        match self.socket.peek(&mut [0]).await {
            Ok(0) if self.is_closing.load(Ordering::SeqCst) => std::future::pending().await,
            Ok(0) | Err(_) => {}
            // The next request of the same caller has arrived, so the connection is open.
            Ok(_) => std::future::pending().await,
        }
    }

    /// Looks for received bytes without waiting. The runtime may not have noticed them yet.
    fn peek(&self) -> io::Result<usize> {
        SockRef::from(&self.socket).peek(&mut [MaybeUninit::uninit()])
    }

    fn is_open(&self) -> bool {
        match self.peek() {
            Ok(n) => n > 0,
            Err(e) => e.kind() == io::ErrorKind::WouldBlock,
        }
    }

    fn has_unread(&self) -> bool {
        self.peek().is_ok_and(|n| n > 0)
    }

    fn shutdown_read(&self) {
        // An error means that the connection is closed already.
        let _ = SockRef::from(&self.socket).shutdown(Shutdown::Read);
    }
}

impl Connections {
    /// Opens an empty list for `max` connections, or for as many as the process has descriptors
    /// for.
    pub(crate) fn open(max: Option<usize>) -> Self {
        Self {
            open: Arc::default(),
            is_closing: Arc::default(),
            max: max.unwrap_or(usize::MAX),
        }
    }

    /// The connection from a peer, or `None` if it cannot be watched. Its responses are then
    /// written even if the peer is gone.
    pub(crate) fn get(&self, peer: SocketAddr) -> Option<Arc<Connection>> {
        self.lock().get(&peer).cloned()
    }

    /// Shuts down the read half of every connection, so that each closes after its pending requests
    /// are answered. From then on no connection is reported as closed by its peer.
    pub(crate) fn close_idle(&self) {
        self.is_closing.store(true, Ordering::SeqCst);
        for connection in self.lock().values() {
            connection.shutdown_read();
        }
    }

    fn add(&self, peer: SocketAddr, stream: &std::net::TcpStream) -> io::Result<()> {
        let connection = Connection {
            socket: TcpStream::from_std(stream.try_clone()?)?,
            is_closing: self.is_closing.clone(),
            idle_since: Mutex::new(Some(Instant::now())),
        };
        self.lock().insert(peer, Arc::new(connection));
        Ok(())
    }

    /// Drops the connections that their peer has closed.
    pub(crate) fn sweep(&self) {
        self.lock().retain(|_, connection| connection.is_open());
    }

    fn is_full(&self) -> bool {
        self.lock().len() >= self.max
    }

    /// Makes room for new connections: drops those that their peer has closed and, if these are too
    /// few, closes some that wait for a request, the longest waiting first. Returns the number of
    /// those.
    fn make_room(&self) -> usize {
        let mut open = self.lock();
        let wanted = open.len().div_ceil(EVICTED_FRACTION);
        let target = open.len() - wanted;
        open.retain(|_, connection| connection.is_open());
        let excess = open.len().saturating_sub(target);
        let mut idle: Vec<(Instant, SocketAddr)> = open
            .iter()
            .filter(|(_, connection)| !connection.has_unread())
            .filter_map(|(peer, connection)| Some(((*connection.idle_since())?, *peer)))
            .collect();
        idle.sort_unstable();
        idle.truncate(excess);
        for (_, peer) in &idle {
            if let Some(connection) = open.remove(peer) {
                connection.shutdown_read();
            }
        }
        idle.len()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<Connection>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A TCP listener that keeps a duplicate of every connection that it accepts.
pub(crate) struct WatchedSocket {
    pub(crate) listener: TcpListener,
    pub(crate) connections: Connections,
    pub(crate) journal: Arc<Journal>,
}

impl IntoListener for WatchedSocket {
    type Listener = WatchedListener;

    fn into_listener(self) -> io::Result<Self::Listener> {
        self.listener.set_nonblocking(true)?;
        Ok(WatchedListener {
            listener: tokio::net::TcpListener::from_std(self.listener)?,
            connections: self.connections,
            journal: self.journal,
        })
    }
}

pub(crate) struct WatchedListener {
    listener: tokio::net::TcpListener,
    connections: Connections,
    journal: Arc<Journal>,
}

impl WatchedListener {
    fn keep(&self, stream: TcpStream, peer: SocketAddr) -> io::Result<std::net::TcpStream> {
        if self.connections.is_full() {
            self.make_room();
        }
        if self.connections.is_full() {
            return Err(io::Error::new(
                io::ErrorKind::ConnectionRefused,
                "all connections are in use",
            ));
        }
        stream.set_nodelay(true)?;
        let stream = stream.into_std()?;
        self.connections.add(peer, &stream)?;
        Ok(stream)
    }

    fn make_room(&self) {
        let closed = self.connections.make_room();
        if closed > 0 {
            self.report(Event::ConnectionsClosed, ("closed", &closed));
        }
    }

    fn report(&self, event: Event, detail: (&str, &dyn ToString)) {
        let listener = self.listener.local_addr();
        let listener = listener.map_or_else(|e| e.to_string(), |address| address.to_string());
        let open = self.connections.lock().len();
        self.journal
            .emit_rate_limited(event, &[("listener", &listener), ("open", &open), detail]);
    }
}

impl Listen for WatchedListener {
    /// Accepts the next connection. It closes what it cannot keep instead of leaving it in the
    /// queue of the kernel, where requests outlive their callers.
    async fn accept(&self) -> io::Result<Stream> {
        loop {
            let error = match self.listener.accept().await {
                Ok((stream, peer)) => match self.keep(stream, peer) {
                    Ok(stream) => return Ok(Stream::Tcp(stream, peer)),
                    Err(e) => e,
                },
                Err(e) if e.raw_os_error().is_none() => return Err(e),
                Err(e) => e,
            };
            self.report(Event::ConnectionRefused, ("error", &error));
            if !affects_one_connection(&error) {
                self.make_room();
                tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
}

/// Whether the error affects one connection only. All others, such as a lack of descriptors, are
/// likely to affect the next connection too.
fn affects_one_connection(e: &io::Error) -> bool {
    matches!(
        e.kind(),
        io::ErrorKind::ConnectionRefused
            | io::ErrorKind::ConnectionAborted
            | io::ErrorKind::ConnectionReset
    )
}
