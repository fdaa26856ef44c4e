use std::{
    convert::Infallible,
    future::Future,
    io,
    net::{SocketAddr, TcpListener},
    pin::Pin,
    sync::Arc,
    thread::JoinHandle,
    time::Duration,
};

use bytes::Bytes;
use nutmegwheel_events::{Event, Journal};
use xitca_web::{
    HttpServer,
    body::{RequestBody, ResponseBody},
    http::RequestExt,
    service::fn_service,
};

use crate::{
    body,
    connections::{Connections, WatchedSocket},
};

/// The maximum size of a request head; see docs/INTERFACES.md, "Limits".
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The maximum number of header fields of a request.
const MAX_HEADER_FIELDS: usize = 64;
/// The size of the write buffer of a connection.
const WRITE_BUFFER_BYTES: usize = 64 * 1024;
/// The interval at which the duplicate sockets of closed connections are dropped.
const SWEEP_INTERVAL: Duration = Duration::from_secs(2);
/// The interval at which [`Server::stop`] checks whether the listener has ended.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The maximum idle time of a connection.
const KEEP_ALIVE: Duration = Duration::from_mins(2);

/// A completely received request.
pub struct Request {
    /// The method, path and header fields.
    pub head: http::request::Parts,
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
    /// Handles a request. The future is dropped when the caller closes the connection.
    fn handle(&self, req: Request) -> HandlerFuture;
}

/// The options of a listener.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// The address to listen on; port 0 selects a free port.
    pub address: SocketAddr,
    /// The maximum size of a request body, in bytes.
    pub body_limit: usize,
    /// The time limit for receiving a head, and again for receiving a body.
    pub read_timeout: Duration,
    /// The maximum number of connections, each of which takes
    /// [`DESCRIPTORS_PER_CONNECTION`] descriptors. At the limit, a new connection replaces the one
    /// that has waited longest for a request, and is closed if all are in use. `None` allows as
    /// many as the process has descriptors for.
    pub max_connections: Option<usize>,
}

/// The number of descriptors that a connection takes.
pub const DESCRIPTORS_PER_CONNECTION: usize = 2;

/// A handle of a running listener. The listener runs until [`Server::stop`], even if the handle is
/// dropped.
pub struct Server {
    address: SocketAddr,
    handle: xitca_server::ServerHandle,
    connections: Connections,
    thread: JoinHandle<()>,
}

impl Server {
    /// Returns the address on which the listener accepts connections.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Server {
    /// Stops accepting connections, finishes the running requests and closes idle connections.
    pub async fn stop(&self) {
        self.handle.stop(true);
        while !self.thread.is_finished() {
            self.connections.close_idle();
            tokio::time::sleep(STOP_POLL_INTERVAL).await;
        }
    }
}

/// Opens a listener whose requests are handled by `handler`. Connections that it cannot accept are
/// recorded in `journal`.
///
/// # Errors
///
/// Returns the socket error if the address cannot be bound.
pub fn bind(opts: Options, journal: Arc<Journal>, handler: Arc<dyn Handler>) -> io::Result<Server> {
    let listener = TcpListener::bind(opts.address)?;
    let address = listener.local_addr()?;
    let connections = Connections::open(opts.max_connections);
    tokio::spawn(sweep(connections.clone()));
    let watched = WatchedSocket {
        listener,
        connections: connections.clone(),
        journal: journal.clone(),
    };
    let (service_journal, service_connections) = (journal, connections.clone());
    let service = fn_service(move |req: http::Request<RequestExt<RequestBody>>| {
        let handler = handler.clone();
        let (journal, connections) = (service_journal.clone(), service_connections.clone());
        let (limit, read_timeout) = (opts.body_limit, opts.read_timeout);
        async move { answer(req, &*handler, &journal, &connections, limit, read_timeout).await }
    });
    let mut server = HttpServer::serve(service)
        .worker_threads(1)
        .worker_max_blocking_threads(1)
        .disable_signal()
        .keep_alive_timeout(KEEP_ALIVE)
        .request_head_timeout(opts.read_timeout)
        .max_read_buf_size::<MAX_HEAD_BYTES>()
        .max_write_buf_size::<WRITE_BUFFER_BYTES>()
        .max_request_headers::<MAX_HEADER_FIELDS>()
        .listen(watched)?
        .run();
    let handle = server.handle()?;
    // The library blocks the thread that waits until the last connection is closed.
    let thread = std::thread::Builder::new().name("http-server".to_owned());
    let thread = thread.spawn(move || {
        if let Err(e) = server.wait() {
            log::error!("HTTP listener on {address} failed: {e}");
        }
    })?;
    Ok(Server {
        address,
        handle,
        connections,
        thread,
    })
}

async fn sweep(connections: Connections) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        connections.sweep();
    }
}

async fn answer(
    req: http::Request<RequestExt<RequestBody>>,
    handler: &dyn Handler,
    journal: &Journal,
    connections: &Connections,
    limit: usize,
    read_timeout: Duration,
) -> Result<http::Response<ResponseBody>, Infallible> {
    let (head, ext) = req.into_parts();
    let peer = *ext.socket_addr();
    let connection = connections.get(peer);
    let _busy = connection.as_ref().map(|connection| connection.begin());
    let (_, body) = ext.replace_body(());
    let body = match body::read(body, limit, read_timeout).await {
        Ok(body) => body,
        Err(problem) => return Ok(problem.into_response().map(Into::into)),
    };
    if connection.as_ref().is_some_and(|c| c.is_peer_closed()) {
        journal.emit_rate_limited(
            Event::RequestAbandoned,
            &[("caller", &peer), ("path", &head.uri.path())],
        );
        return Ok(close_response().map(Into::into));
    }
    let answer = handler.handle(Request { head, body, peer });
    let res = match &connection {
        Some(connection) => tokio::select! {
            res = answer => res,
            // The caller does not receive this response. It only ends the connection.
            () = connection.peer_closed() => close_response(),
        },
        None => answer.await,
    };
    Ok(res.map(Into::into))
}

fn close_response() -> Response {
    let mut res = Response::new(Bytes::new());
    let close = http::HeaderValue::from_static("close");
    res.headers_mut().insert(http::header::CONNECTION, close);
    res
}
