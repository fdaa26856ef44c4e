use std::{
    collections::HashMap,
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::{Request, Response, body::Incoming, service::service_fn};
use hyper_util::rt::TokioIo;
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use tokio::{
    io::AsyncWriteExt as _,
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    task::JoinSet,
};
use tokio_util::sync::CancellationToken;

use crate::{Caller, Ledger, Run, body::Body};

/// The lease that each announcement requests. It spans several renewals.
const LEASE: Duration = Duration::from_millis(1500);
const RENEWAL_INTERVAL: Duration = Duration::from_millis(400);

/// Settings of a fake backend server.
#[derive(Clone, Debug)]
pub struct BackendOptions {
    /// The name under which the ledger records the runs of this backend server.
    pub name: String,
    /// The service that the backend server announces to its node.
    pub service: String,
    /// The number of requests that are processed concurrently; further requests queue inside the
    /// backend server.
    pub slots: u16,
    /// The `backend` listener of the node to which it announces itself.
    pub node: SocketAddr,
}

/// How a fake backend server handles requests. [`Backend::set_behaviour`] changes it at run time.
#[derive(Clone, Debug, Default)]
pub struct Behaviour {
    /// The mean time for which a request occupies a slot.
    pub service_time: Duration,
    /// The fraction of the service time, 0 to 1, that is drawn from an exponential distribution.
    pub random_fraction: f64,
    /// The paths of the downstream calls made for a request, keyed by the path of the request.
    pub calls: HashMap<String, Vec<String>>,
    /// The maximum number of times that the backend server itself resends a failed downstream
    /// call.
    pub own_retries: u32,
    /// The number of bytes that are added to each response body.
    pub padding: usize,
    /// The fault that is injected into each request.
    pub fault: Fault,
}

/// A fault that is injected into the handling of requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Requests are served normally.
    #[default]
    None,
    /// The request is refused with 503 and the outcome `not-run`, as under load shedding.
    Shed,
    /// The request runs, and its response has this HTTP status.
    Status(u16),
    /// The connection is closed without an answer after the request has run.
    Disconnect,
    /// The connection is closed in the middle of the response body.
    Truncate,
    /// The whole backend server crashes on a request with this body.
    CrashOn(Vec<u8>),
}

/// A fake backend server, which is killed on drop.
pub struct Backend {
    shared: Arc<Shared>,
    address: SocketAddr,
    stop: CancellationToken,
}

struct Shared {
    opts: BackendOptions,
    state: Mutex<&'static str>,
    behaviour: Mutex<Behaviour>,
    ledger: Ledger,
    slots: Semaphore,
    caller: Caller,
    calls: AtomicU64,
    rng: Mutex<SmallRng>,
    stop: CancellationToken,
}

impl Backend {
    /// Starts a backend server that announces itself to its node.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if no port can be bound.
    pub async fn spawn(
        opts: BackendOptions,
        behaviour: Behaviour,
        ledger: Ledger,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let stop = CancellationToken::new();
        let shared = Arc::new(Shared {
            slots: Semaphore::new(opts.slots.into()),
            rng: Mutex::new(SmallRng::seed_from_u64(rng_seed(&opts.name))),
            opts,
            state: Mutex::new("ready"),
            behaviour: Mutex::new(behaviour),
            ledger,
            caller: Caller::open(),
            calls: AtomicU64::new(0),
            stop: stop.clone(),
        });
        tokio::spawn(stop.clone().run_until_cancelled_owned({
            let shared = shared.clone();
            async move { announce_periodically(&shared, address).await }
        }));
        tokio::spawn(
            stop.clone()
                .run_until_cancelled_owned(accept_connections(listener, shared.clone())),
        );
        Ok(Self {
            shared,
            address,
            stop,
        })
    }

    /// Stops the backend server immediately, dropping its connections and requests in progress.
    pub fn kill(&self) {
        self.stop.cancel();
    }
}

impl Drop for Backend {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Backend {
    /// Returns the name under which the ledger records the runs of this backend server.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.shared.opts.name
    }

    /// Returns the address on which the backend server accepts requests.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether the backend server was killed or has crashed.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        self.stop.is_cancelled()
    }
}

impl Backend {
    /// Changes the announced state and announces it immediately.
    pub async fn set_state(&self, state: &'static str) {
        *lock(&self.shared.state) = state;
        announce(&self.shared, self.address).await;
    }

    /// Announces the state `leaving` from the next renewal on.
    pub fn leave(&self) {
        *lock(&self.shared.state) = "leaving";
    }

    /// Changes how subsequent requests are handled.
    pub fn set_behaviour(&self, change: impl FnOnce(&mut Behaviour)) {
        change(&mut lock(&self.shared.behaviour));
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn announce_periodically(shared: &Shared, address: SocketAddr) {
    loop {
        announce(shared, address).await;
        tokio::time::sleep(RENEWAL_INTERVAL).await;
    }
}

async fn announce(shared: &Shared, address: SocketAddr) {
    let document = serde_json::json!({
        "service": shared.opts.service,
        "address": address,
        "slots": shared.opts.slots,
        "state": *lock(&shared.state),
        "lease_ms": LEASE.as_millis(),
    });
    let body = document.to_string();
    let node = shared.opts.node;
    // A node that is not up yet receives the announcement at the next renewal.
    let _ = shared
        .caller
        .call("PUT", node, "/v1/announcement", &[], body)
        .await;
}

async fn accept_connections(listener: TcpListener, shared: Arc<Shared>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            Ok((stream, _)) = listener.accept() => {
                connections.spawn(serve_connection(stream, shared.clone()));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

/// Serves one connection. An error from the handler closes it without a response.
async fn serve_connection(stream: TcpStream, shared: Arc<Shared>) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |req| {
        let shared = shared.clone();
        async move { handle(&shared, req).await }
    });
    let _ = hyper::server::conn::http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn handle(shared: &Arc<Shared>, req: Request<Incoming>) -> anyhow::Result<Response<Body>> {
    let (head, body) = req.into_parts();
    let body = body.collect().await?.to_bytes();
    let behaviour = lock(&shared.behaviour).clone();
    if behaviour.fault == Fault::Shed {
        return Ok(refuse_unrun());
    }
    let fields: HashMap<String, String> = head
        .headers
        .iter()
        .map(|(name, value)| {
            let value = String::from_utf8_lossy(value.as_bytes());
            (name.to_string(), value.into_owned())
        })
        .collect();
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let index = shared.ledger.begin(Run {
        service: shared.opts.service.clone(),
        backend: shared.opts.name.clone(),
        path: path.to_owned(),
        root: fields
            .get("nutmegwheel-request")
            .cloned()
            .unwrap_or_default(),
        workspace: fields.get("nutmegwheel-workspace").cloned(),
        fields: fields.clone(),
        body: body.to_vec(),
        began: Instant::now(),
        ended: None,
        cancelled: false,
        processing_time: Duration::ZERO,
    });
    let _guard = CancelGuard {
        ledger: &shared.ledger,
        index,
    };
    if behaviour.fault == Fault::CrashOn(body.to_vec()) {
        shared.stop.cancel();
        std::future::pending::<Infallible>().await;
    }
    let _slot = shared.slots.acquire().await?;
    let time = draw_service_time(&behaviour, &mut lock(&shared.rng));
    tokio::time::sleep(time).await;
    shared.ledger.set_processing_time(index, time);
    if behaviour.fault == Fault::Disconnect {
        anyhow::bail!("disconnecting as requested by the injected fault");
    }
    let context = fields.get("nutmegwheel-context").cloned();
    let mut report = serde_json::json!({"service": shared.opts.service, "path": path});
    for call in behaviour.calls.get(path).into_iter().flatten() {
        let answer = call_downstream(shared, &behaviour, call, context.as_deref()).await;
        if answer.as_ref().is_none_or(|answer| answer.status != 200) {
            return Ok(bad_gateway(answer));
        }
        report["below"] = answer.map(|answer| answer.json()).unwrap_or_default();
    }
    shared.ledger.end(index);
    Ok(response(&behaviour, &report, &body))
}

/// Marks a run as cancelled in the ledger if its handler is dropped before the run has finished.
struct CancelGuard<'a> {
    ledger: &'a Ledger,
    index: usize,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        self.ledger.cancel(self.index);
    }
}

fn draw_service_time(behaviour: &Behaviour, rng: &mut SmallRng) -> Duration {
    let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    let factor = 1.0 - behaviour.random_fraction - behaviour.random_fraction * uniform.ln();
    behaviour.service_time.mul_f64(factor.max(0.0))
}

/// Derives the random seed from the name of the backend server, so that its service times repeat
/// in each test run.
fn rng_seed(name: &str) -> u64 {
    name.bytes().fold(1, |seed: u64, byte| {
        seed.wrapping_mul(31).wrapping_add(byte.into())
    })
}

async fn call_downstream(
    shared: &Arc<Shared>,
    behaviour: &Behaviour,
    path: &str,
    context: Option<&str>,
) -> Option<crate::Answer> {
    let call = shared.calls.fetch_add(1, Ordering::Relaxed).to_string();
    let mut fields = vec![("nutmegwheel-call", call.as_str())];
    fields.extend(context.map(|context| ("nutmegwheel-context", context)));
    let mut last = None;
    for _ in 0..=behaviour.own_retries {
        let node = shared.opts.node;
        last = shared
            .caller
            .call("POST", node, path, &fields, "")
            .await
            .ok();
        if last.as_ref().is_some_and(|answer| answer.status == 200) {
            break;
        }
    }
    last
}

fn refuse_unrun() -> Response<Body> {
    let mut res = Response::new(Body::complete(Bytes::new()));
    *res.status_mut() = hyper::StatusCode::SERVICE_UNAVAILABLE;
    let value = hyper::header::HeaderValue::from_static("not-run");
    res.headers_mut().insert("nutmegwheel-outcome", value);
    res
}

/// Responds with 502 and the body of the failed downstream call; the body is empty if that call got
/// no response.
fn bad_gateway(answer: Option<crate::Answer>) -> Response<Body> {
    let body = answer.map(|answer| answer.body).unwrap_or_default();
    let mut res = Response::new(Body::complete(body));
    *res.status_mut() = hyper::StatusCode::BAD_GATEWAY;
    res
}

fn response(behaviour: &Behaviour, report: &serde_json::Value, body: &[u8]) -> Response<Body> {
    let mut report = report.clone();
    report["echo"] = String::from_utf8_lossy(body).into();
    if behaviour.padding > 0 {
        report["padding"] = "a".repeat(behaviour.padding).into();
    }
    let bytes = Bytes::from(report.to_string());
    let mut res = Response::new(match behaviour.fault {
        Fault::Truncate => Body::truncated(bytes),
        _ => Body::complete(bytes),
    });
    if let Fault::Status(status) = behaviour.fault {
        *res.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    }
    res
}

/// Sends raw bytes to an address and reads the response until the peer closes the connection.
///
/// # Errors
///
/// Returns the I/O error of the socket.
pub async fn raw(address: SocketAddr, bytes: &[u8]) -> std::io::Result<Vec<u8>> {
    use tokio::io::AsyncReadExt as _;
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(bytes).await?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await?;
    Ok(answer)
}
