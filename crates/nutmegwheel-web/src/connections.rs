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
};

use nutmegwheel_events::{Event, Journal};
use socket2::SockRef;
use tokio::net::TcpStream;
use xitca_io::net::Stream;
use xitca_server::net::{IntoListener, Listen};

/// The accepted connections, by the address of the peer. A connection is dropped from this list
/// after the peer has closed it and the last request on it has ended.
#[derive(Clone, Default)]
pub(crate) struct Connections {
    open: Arc<Mutex<HashMap<SocketAddr, Arc<Connection>>>>,
    is_closing: Arc<AtomicBool>,
}

/// The duplicate of an accepted socket.
pub(crate) struct Connection {
    socket: TcpStream,
    is_closing: Arc<AtomicBool>,
}

impl Connection {
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

    fn shutdown_read(&self) {
        // An error means that the connection is closed already.
        let _ = SockRef::from(&self.socket).shutdown(Shutdown::Read);
    }
}

impl Connections {
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
        };
        self.lock().insert(peer, Arc::new(connection));
        Ok(())
    }

    /// Drops the connections that their peer has closed.
    pub(crate) fn sweep(&self) {
        self.lock().retain(|_, connection| connection.is_open());
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
    fn report(&self, step: &str, error: &io::Error) {
        let listener = self.listener.local_addr();
        let listener = listener.map_or_else(|e| e.to_string(), |address| address.to_string());
        let open = self.connections.lock().len();
        self.journal.emit_rate_limited(
            Event::ConnectionRefused,
            &[
                ("listener", &listener),
                ("step", &step),
                ("open", &open),
                ("error", error),
            ],
        );
    }
}

impl Listen for WatchedListener {
    async fn accept(&self) -> io::Result<Stream> {
        let accepted = self.listener.accept().await;
        let (stream, peer) = accepted.inspect_err(|e| self.report("accept", e))?;
        stream.set_nodelay(true)?;
        let stream = stream.into_std()?;
        if let Err(e) = self.connections.add(peer, &stream) {
            self.report("watch", &e);
        }
        Ok(Stream::Tcp(stream, peer))
    }
}
