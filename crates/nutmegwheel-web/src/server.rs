use std::{
    future::Future,
    io,
    net::{SocketAddr, TcpListener},
    pin::Pin,
    sync::Arc,
    thread::JoinHandle,
    time::Duration,
};

use bytes::Bytes;
use http::request::Parts;
use nutmegwheel_events::Journal;
use nutmegwheel_memory::Account;
use tokio_util::sync::CancellationToken;

use crate::{BodyLimit, connection::Service, connections::Connections, listener::Listener};

/// The interval at which [`Server::stop`] checks whether the listener has ended.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A completely received request.
#[derive(Debug)]
pub struct Request {
    /// The method, path and header fields.
    pub head: Parts,
    /// The complete body.
    pub body: Bytes,
    /// The address of the caller.
    pub peer: SocketAddr,
}

/// A complete response.
pub type Response = http::Response<Bytes>;

/// The future that a [`Handler`] returns.
pub type HandlerFuture = Pin<Box<dyn Future<Output = Response> + Send>>;

/// Handles the requests of a listener.
pub trait Handler: Send + Sync + 'static {
    /// Handles a request. The future is dropped when the caller closes the connection. A response
    /// with `Connection: close` asks for the end of the connection, which follows once the
    /// requests in progress on it are answered.
    fn handle(&self, req: Request) -> HandlerFuture;

    /// Counts a refusal by the listener of what was no complete request.
    fn count_refusal(&self, _reason: &'static str) {}

    /// Whether the request may be in progress together with others of its connection.
    fn may_overlap(&self, head: &Parts) -> bool {
        head.method.is_safe()
    }
}

/// The options of a listener.
#[derive(Clone, Debug)]
pub struct Options {
    /// The address to listen on; port 0 selects a free port.
    pub address: SocketAddr,
    /// The maximum size of a request body.
    pub body_limit: BodyLimit,
    /// The time limit for receiving a head, and again for receiving a body.
    pub read_timeout: Duration,
    /// The maximum number of connections. At the limit, a new connection replaces the one that has
    /// waited longest for a request, and is closed if all are in use. `None` allows as many as the
    /// process has descriptors for.
    pub max_connections: Option<usize>,
    /// The account from which connections and incomplete requests take their memory. If it is used
    /// up, callers that send slowly or much are evicted; see docs/INTERFACES.md, "Memory".
    pub account: Account,
}

/// A handle of a running listener. The listener runs until [`Server::stop`], even if the handle is
/// dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    stopping: CancellationToken,
    thread: JoinHandle<()>,
}

impl Server {
    /// Returns the address on which the listener accepts connections.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections, answers the requests that have arrived and closes all
    /// connections.
    pub async fn stop(&self) {
        self.stopping.cancel();
        while !self.thread.is_finished() {
            tokio::time::sleep(STOP_POLL_INTERVAL).await;
        }
    }
}

/// Opens a listener whose requests are handled by `handler`, on a thread of its own. Connections
/// that it cannot accept are recorded in `journal`.
///
/// # Errors
///
/// Returns the error if the address cannot be bound or the thread cannot be started.
pub fn bind(opts: Options, journal: Arc<Journal>, handler: Box<dyn Handler>) -> io::Result<Server> {
    let listener = TcpListener::bind(opts.address)?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .max_blocking_threads(1)
        .build()?;
    let stopping = CancellationToken::new();
    let token = stopping.clone();
    let thread = std::thread::Builder::new().name("http-listener".to_owned());
    let thread = thread.spawn(move || {
        let served = runtime.block_on(async {
            let listener = Listener {
                socket: tokio::net::TcpListener::from_std(listener)?,
                connections: Connections::open(opts.max_connections, opts.account),
                service: Arc::new(Service {
                    handler,
                    journal: journal.clone(),
                    body_limit: opts.body_limit,
                    read_timeout: opts.read_timeout,
                }),
                journal,
                stopping: token,
            };
            listener.run().await;
            io::Result::Ok(())
        });
        if let Err(e) = served {
            log::error!("HTTP listener on {address} failed: {e}");
        }
    })?;
    Ok(Server {
        address,
        stopping,
        thread,
    })
}
