//! Detects that a caller has closed its connection while its request is being handled.
//!
//! The HTTP/1 dispatcher of `xitca-web` does not read while a handler runs, so it would notice a
//! closed connection only when it writes the response. Therefore a duplicate of each accepted socket
//! is watched in the meantime. It only peeks, so it consumes no byte of the connection.

use std::{
    collections::HashMap,
    io,
    net::{Shutdown, SocketAddr, TcpListener},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
};

use nutmegwheel_events::{Event, Journal};
use xitca_io::net::Stream;
use xitca_server::net::{IntoListener, Listen};

/// Duplicates of the accepted sockets, by the address of the peer. A duplicate is dropped after the
/// peer has closed the connection and the last request on it has ended.
#[derive(Clone, Default)]
pub(crate) struct Connections {
    duplicates: Arc<Mutex<HashMap<SocketAddr, std::net::TcpStream>>>,
    is_closing: Arc<AtomicBool>,
}

impl Connections {
    /// Waits until the peer has closed its side of the connection.
    ///
    /// Never returns if the connection cannot be watched. The response is then written even if the
    /// peer is gone.
    pub(crate) async fn peer_closed(&self, peer: SocketAddr) {
        match self.watch(peer) {
            Ok(stream) => self.wait_closed(stream).await,
            Err(_) => std::future::pending().await,
        }
    }

    /// Shuts down the read half of every connection, so that each closes after its pending requests
    /// are answered. From then on no connection is reported as closed by its peer.
    pub(crate) fn close_idle(&self) {
        self.is_closing.store(true, Ordering::SeqCst);
        for stream in self.lock().values() {
            // An error means that the connection is closed already.
            let _ = stream.shutdown(Shutdown::Read);
        }
    }

    fn watch(&self, peer: SocketAddr) -> io::Result<tokio::net::TcpStream> {
        let duplicates = self.lock();
        let stream = duplicates.get(&peer).ok_or(io::ErrorKind::NotFound)?;
        tokio::net::TcpStream::from_std(stream.try_clone()?)
    }

    async fn wait_closed(&self, stream: tokio::net::TcpStream) {
        let mut byte = [0];
        match stream.peek(&mut byte).await {
            Ok(0) if self.is_closing.load(Ordering::SeqCst) => std::future::pending().await,
            Ok(0) | Err(_) => {}
            // The next request of the same caller has arrived, so the connection is open.
            Ok(_) => std::future::pending().await,
        }
    }

    fn add(&self, peer: SocketAddr, stream: &std::net::TcpStream) -> io::Result<()> {
        let duplicate = stream.try_clone()?;
        self.lock().insert(peer, duplicate);
        Ok(())
    }

    /// Drops the duplicates of connections that their peer has closed.
    pub(crate) fn sweep(&self) {
        let mut byte = [0];
        self.lock()
            .retain(|_, stream| match stream.peek(&mut byte) {
                Ok(0) => false,
                Ok(_) => true,
                Err(e) => e.kind() == io::ErrorKind::WouldBlock,
            });
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, std::net::TcpStream>> {
        self.duplicates
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
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
