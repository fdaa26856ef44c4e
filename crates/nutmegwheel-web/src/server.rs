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

/// The largest head of a request, in bytes; docs/INTERFACES.md, "Limits".
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The most header fields of a request.
const MAX_HEADER_FIELDS: usize = 64;
/// How much of an answer is gathered before it is written, in bytes.
const WRITE_BUFFER_BYTES: usize = 64 * 1024;
/// The time between two searches for connections that their peer closed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(2);
/// The time between two looks whether a listener that stops has ended.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The time for which a connection may stay without a request.
const KEEP_ALIVE: Duration = Duration::from_mins(2);

/// A request that was read whole.
pub struct Request {
    /// Method, path and header fields.
    pub head: http::request::Parts,
    /// The whole body.
    pub body: Bytes,
    /// The address of the caller.
    pub peer: SocketAddr,
}

/// A whole answer.
pub type Response = http::Response<Bytes>;

/// What a [`Handler`] returns; dropped when the caller leaves.
pub type HandlerFuture = Pin<Box<dyn Future<Output = Response> + Send>>;

/// Answers the requests of one listener.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request; the future is dropped when the caller leaves.
    fn handle(&self, req: Request) -> HandlerFuture;
}

/// How a listener is opened.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// The address to listen on; port 0 takes a free one.
    pub address: SocketAddr,
    /// The largest body of a request, in bytes.
    pub body_limit: usize,
    /// The time in which a head, and then a body, must have arrived.
    pub read_timeout: Duration,
}

/// A running listener; it goes on after the handle is dropped and ends by [`Server::stop`].
pub struct Server {
    address: SocketAddr,
    handle: xitca_server::ServerHandle,
    connections: Connections,
    thread: JoinHandle<()>,
}

/// Access.
impl Server {
    /// The address on which the listener takes connections.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Lifecycle.
impl Server {
    /// Takes no further connections, finishes the requests that run and closes idle connections.
    pub async fn stop(&self) {
        self.handle.stop(true);
        while !self.thread.is_finished() {
            self.connections.close_idle();
            tokio::time::sleep(STOP_POLL_INTERVAL).await;
        }
    }
}

/// Opens a listener and answers its requests by `handler`.
///
/// # Errors
///
/// Returns the error of the socket when the address cannot be bound.
pub fn bind(opts: Options, handler: Arc<dyn Handler>) -> io::Result<Server> {
    let listener = TcpListener::bind(opts.address)?;
    let address = listener.local_addr()?;
    let connections = Connections::default();
    tokio::spawn(sweep(connections.clone()));
    let watched = WatchedSocket {
        listener,
        connections: connections.clone(),
    };
    let service_connections = connections.clone();
    let service = fn_service(move |req: http::Request<RequestExt<RequestBody>>| {
        let handler = handler.clone();
        let connections = service_connections.clone();
        let (limit, read_timeout) = (opts.body_limit, opts.read_timeout);
        async move { answer(req, &*handler, &connections, limit, read_timeout).await }
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
    // The library blocks the thread that waits for the end of the last connection.
    let thread = std::thread::Builder::new().name("http-server".to_owned());
    let thread = thread.spawn(move || {
        if let Err(e) = server.wait() {
            log::error!("{address}: {e}");
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
    connections: &Connections,
    limit: usize,
    read_timeout: Duration,
) -> Result<http::Response<ResponseBody>, Infallible> {
    let (head, ext) = req.into_parts();
    let peer = *ext.socket_addr();
    let (_, body) = ext.replace_body(());
    let body = match body::read(body, limit, read_timeout).await {
        Ok(body) => body,
        Err(problem) => return Ok(problem.into_response().map(Into::into)),
    };
    let answer = handler.handle(Request { head, body, peer });
    let res = tokio::select! {
        res = answer => res,
        // Nobody reads this answer; it only ends the connection.
        () = connections.peer_closed(peer) => close_response(),
    };
    Ok(res.map(Into::into))
}

fn close_response() -> Response {
    let mut res = Response::new(Bytes::new());
    let close = http::HeaderValue::from_static("close");
    res.headers_mut().insert(http::header::CONNECTION, close);
    res
}
