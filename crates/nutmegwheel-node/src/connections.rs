//! Kept connections to the local backend server; see docs/DESIGN.md, "Connections to backend
//! servers".

use std::{
    hash::{BuildHasher as _, RandomState},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use nutmegwheel_policy::{
    answer::{Conclusion, Identity},
    kept_connection::{History, RequestHash},
};
use thiserror::Error;
use tokio::net::{TcpSocket, TcpStream};
use tokio_util::task::AbortOnDropHandle;

/// How long an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

type Body = Full<Bytes>;

/// The bytes of an answer that a connection reads ahead, and again those that the kernel receives
/// ahead, if memory is limited: the window that TCP offers before it adapts.
const READ_AHEAD_BYTES: u16 = 60 * 1024;

/// The idle connections to the backend server.
pub(crate) struct Connections {
    /// Whether connections read ahead at most [`READ_AHEAD_BYTES`].
    is_memory_limited: bool,
    idle: Arc<Mutex<Vec<IdleConnection>>>,
    hasher: RandomState,
}

/// A connection on which an answer has begun. It is closed when dropped, unless the exchange is
/// finished.
pub(crate) struct ActiveConnection {
    connection: Connection,
    request: RequestHash,
    idle: Arc<Mutex<Vec<IdleConnection>>>,
}

/// Why no answer to a request began.
#[derive(Debug, Error)]
pub(crate) enum SendError {
    /// No byte of the request was sent.
    #[error("{0}")]
    NotSent(#[source] io::Error),
    /// The connection ended after the request may have been sent.
    #[error("{0}")]
    BrokeOff(#[source] hyper::Error),
}

struct IdleConnection {
    connection: Connection,
    since: Instant,
}

/// An open connection, which is closed when dropped.
struct Connection {
    address: SocketAddr,
    sender: SendRequest<Body>,
    history: History,
    _driver: AbortOnDropHandle<()>,
}

impl Connections {
    pub(crate) fn open(is_memory_limited: bool) -> Self {
        Self {
            is_memory_limited,
            idle: Arc::default(),
            hasher: RandomState::default(),
        }
    }

    /// Sends a request on an idle connection or a new one, and returns the head of the answer. `id`
    /// is the id that the answer repeats. With `avoids_denial`, a connection that has carried a
    /// denial of the same request is not used. Dropping the future closes the connection.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        id: &[u8],
        avoids_denial: bool,
        mut req: Request<Body>,
    ) -> Result<(Response<Incoming>, ActiveConnection), SendError> {
        let request = self.hasher.hash_one(id);
        loop {
            let idle = self.take_idle(address, avoids_denial.then_some(request));
            let is_new = idle.is_none();
            let mut connection = match idle {
                Some(connection) => connection,
                None => Connection::open(address, self.is_memory_limited).await?,
            };
            match connection.sender.try_send_request(req).await {
                Ok(res) => {
                    let active = ActiveConnection {
                        connection,
                        request,
                        idle: self.idle.clone(),
                    };
                    return Ok((res, active));
                }
                Err(mut e) => match e.take_message() {
                    // The backend server closed the idle connection before the request was sent.
                    Some(unsent) if !is_new => req = unsent,
                    Some(_) => return Err(SendError::NotSent(io::Error::other(e.into_error()))),
                    None => return Err(SendError::BrokeOff(e.into_error())),
                },
            }
        }
    }

    /// Closes the connections that have been idle for too long.
    pub(crate) fn expire(&self, now: Instant) {
        lock(&self.idle).retain(|idle| {
            !idle.connection.sender.is_closed()
                && now.saturating_duration_since(idle.since) < IDLE_TIMEOUT
        });
    }

    /// Takes the connection that became idle last, and has carried no denial of `avoided`. Those
    /// that were closed meanwhile or lead to another address are dropped.
    fn take_idle(&self, address: SocketAddr, avoided: Option<RequestHash>) -> Option<Connection> {
        let mut idle = lock(&self.idle);
        let mut index = idle.len();
        while let Some(next) = index.checked_sub(1) {
            index = next;
            let connection = &idle[index].connection;
            if avoided.is_some_and(|request| connection.history.has_denied(request)) {
                continue;
            }
            let is_usable = connection.address == address && connection.sender.is_ready();
            let taken = idle.remove(index);
            if is_usable {
                return Some(taken.connection);
            }
        }
        None
    }
}

impl ActiveConnection {
    /// Whether the connection has carried a denial of the same request before.
    pub(crate) fn was_denied(&self) -> bool {
        self.connection.history.has_denied(self.request)
    }

    /// Ends the exchange after the answer has been read completely. The connection is kept for
    /// other requests if what arrives on it next cannot be mistaken.
    pub(crate) fn finish(mut self, identity: Identity, conclusion: Conclusion) {
        let history = &mut self.connection.history;
        if !history.record(self.request, identity, conclusion) {
            return;
        }
        if self.connection.sender.is_ready() {
            self.add_to_idle();
        } else if !self.connection.sender.is_closed() {
            // The end of the exchange is still being processed, or the request is still being sent.
            tokio::spawn(async move {
                let ready = tokio::time::timeout(IDLE_TIMEOUT, self.connection.sender.ready());
                if matches!(ready.await, Ok(Ok(()))) {
                    self.add_to_idle();
                }
            });
        }
    }

    fn add_to_idle(self) {
        let since = Instant::now();
        let connection = self.connection;
        lock(&self.idle).push(IdleConnection { connection, since });
    }
}

impl Connection {
    async fn open(address: SocketAddr, is_memory_limited: bool) -> Result<Self, SendError> {
        let stream = connect(address, is_memory_limited).await;
        let stream = stream.map_err(SendError::NotSent)?;
        let mut http = http1::Builder::new();
        if is_memory_limited {
            http.max_buf_size(READ_AHEAD_BYTES.into());
        }
        let opened = http.handshake(TokioIo::new(stream)).await;
        let (sender, driver) = opened.map_err(|e| SendError::NotSent(io::Error::other(e)))?;
        let driver = tokio::spawn(async move {
            // The request on the connection gets the error, and an idle connection needs none.
            let _ = driver.await;
        });
        Ok(Self {
            address,
            sender,
            history: History::default(),
            _driver: AbortOnDropHandle::new(driver),
        })
    }
}

async fn connect(address: SocketAddr, is_memory_limited: bool) -> io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    if is_memory_limited {
        socket.set_recv_buffer_size(READ_AHEAD_BYTES.into())?;
    }
    let stream = socket.connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

fn lock(idle: &Mutex<Vec<IdleConnection>>) -> MutexGuard<'_, Vec<IdleConnection>> {
    idle.lock().unwrap_or_else(PoisonError::into_inner)
}
