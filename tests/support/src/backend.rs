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

/// The lease of an announcement.
const LEASE: Duration = Duration::from_millis(1500);
/// The time between two renewals of an announcement.
const RENEWAL: Duration = Duration::from_millis(400);

/// How a fake backend server is started.
#[derive(Clone, Debug)]
pub struct BackendOptions {
    /// Its name in the ledger.
    pub name: String,
    /// Its service.
    pub service: String,
    /// How many requests it works on at a time; more wait inside it.
    pub slots: u16,
    /// The `backend` listener of its node.
    pub node: SocketAddr,
}

/// What a fake backend server does with requests; can be changed while it runs.
#[derive(Clone, Debug, Default)]
pub struct Behaviour {
    /// The time that a request takes in a slot, on average.
    pub service_time: Duration,
    /// The part of the service time that varies, 0 to 1; it is distributed exponentially.
    pub spread: f64,
    /// The downstream calls made for a request, by the request's path: each a path.
    pub calls: HashMap<String, Vec<String>>,
    /// How often a failed downstream call is sent again by the backend server itself.
    pub own_retries: u32,
    /// What goes wrong.
    pub fault: Fault,
}

/// What goes wrong with a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// It is refused unrun, as a server that sheds load does.
    Shed,
    /// It is answered with this status after it ran.
    Status(u16),
    /// The connection is closed after the request began.
    Break,
    /// The connection is closed in the middle of the answer.
    Truncate,
    /// The whole backend server dies when a request carries this body.
    DieOn(Vec<u8>),
}

/// A fake backend server; dropping it kills it.
pub struct Backend {
    shared: Arc<Inner>,
    address: SocketAddr,
    killed: CancellationToken,
}

struct Inner {
    opts: BackendOptions,
    state: Mutex<&'static str>,
    behaviour: Mutex<Behaviour>,
    ledger: Ledger,
    slots: Semaphore,
    caller: Caller,
    calls: AtomicU64,
    rng: Mutex<SmallRng>,
    killed: CancellationToken,
}

/// Lifecycle.
impl Backend {
    /// Starts a backend server that announces itself to its node.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    pub async fn spawn(
        opts: BackendOptions,
        behaviour: Behaviour,
        ledger: Ledger,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let killed = CancellationToken::new();
        let shared = Arc::new(Inner {
            slots: Semaphore::new(opts.slots.into()),
            rng: Mutex::new(SmallRng::seed_from_u64(seed(&opts.name))),
            opts,
            state: Mutex::new("ready"),
            behaviour: Mutex::new(behaviour),
            ledger,
            caller: Caller::open(),
            calls: AtomicU64::new(0),
            killed: killed.clone(),
        });
        tokio::spawn(killed.clone().run_until_cancelled_owned({
            let shared = shared.clone();
            async move { announce_always(&shared, address).await }
        }));
        tokio::spawn(
            killed
                .clone()
                .run_until_cancelled_owned(accept_always(listener, shared.clone())),
        );
        Ok(Self {
            shared,
            address,
            killed,
        })
    }

    /// Ends the backend server at once, with its connections and the requests in it.
    pub fn kill(&self) {
        self.killed.cancel();
    }
}

impl Drop for Backend {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Access.
impl Backend {
    /// Its name in the ledger.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.shared.opts.name
    }

    /// Where it takes requests.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether it was killed or died.
    #[must_use]
    pub fn is_dead(&self) -> bool {
        self.killed.is_cancelled()
    }
}

/// Control.
impl Backend {
    /// Changes the state that it announces, and announces it at once.
    pub async fn set_state(&self, state: &'static str) {
        *lock(&self.shared.state) = state;
        announce(&self.shared, self.address).await;
    }

    /// Announces from the next renewal on that it leaves.
    pub fn leave(&self) {
        *lock(&self.shared.state) = "leaving";
    }

    /// Changes what it does with requests from now on.
    pub fn set_behaviour(&self, change: impl FnOnce(&mut Behaviour)) {
        change(&mut lock(&self.shared.behaviour));
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn announce_always(shared: &Inner, address: SocketAddr) {
    loop {
        announce(shared, address).await;
        tokio::time::sleep(RENEWAL).await;
    }
}

async fn announce(shared: &Inner, address: SocketAddr) {
    let document = serde_json::json!({
        "service": shared.opts.service,
        "address": address,
        "slots": shared.opts.slots,
        "state": *lock(&shared.state),
        "lease_ms": LEASE.as_millis(),
    });
    let body = document.to_string();
    let node = shared.opts.node;
    // A node that is not up yet is told again at the next renewal.
    let _ = shared
        .caller
        .call("PUT", node, "/v1/announcement", &[], body)
        .await;
}

async fn accept_always(listener: TcpListener, shared: Arc<Inner>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            Ok((stream, _)) = listener.accept() => {
                connections.spawn(connection(stream, shared.clone()));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

/// Serves one connection; an error from the handler closes it without an answer.
async fn connection(stream: TcpStream, shared: Arc<Inner>) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |req| {
        let shared = shared.clone();
        async move { handle(&shared, req).await }
    });
    let _ = hyper::server::conn::http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn handle(shared: &Arc<Inner>, req: Request<Incoming>) -> anyhow::Result<Response<Body>> {
    let (head, body) = req.into_parts();
    let body = body.collect().await?.to_bytes();
    let behaviour = lock(&shared.behaviour).clone();
    if behaviour.fault == Fault::Shed {
        return Ok(shed());
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
    let place = shared.ledger.begin(Run {
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
        worked: Duration::ZERO,
    });
    let _watched = Watched {
        ledger: &shared.ledger,
        place,
    };
    if behaviour.fault == Fault::DieOn(body.to_vec()) {
        shared.killed.cancel();
        std::future::pending::<Infallible>().await;
    }
    let _slot = shared.slots.acquire().await?;
    let time = service_time(&behaviour, &mut lock(&shared.rng));
    tokio::time::sleep(time).await;
    shared.ledger.worked(place, time);
    if behaviour.fault == Fault::Break {
        anyhow::bail!("breaks off");
    }
    let context = fields.get("nutmegwheel-context").cloned();
    let mut report = serde_json::json!({"service": shared.opts.service, "path": path});
    for call in behaviour.calls.get(path).into_iter().flatten() {
        let called = downstream(shared, &behaviour, call, context.as_deref()).await;
        if called.as_ref().is_none_or(|answer| answer.status != 200) {
            return Ok(failed_below(called));
        }
        report["below"] = called.map(|answer| answer.json()).unwrap_or_default();
    }
    shared.ledger.end(place);
    Ok(finish(&behaviour, &report, &body))
}

/// Notes in the ledger when the work on a request is dropped before its end.
struct Watched<'a> {
    ledger: &'a Ledger,
    place: usize,
}

impl Drop for Watched<'_> {
    fn drop(&mut self) {
        self.ledger.cancel(self.place);
    }
}

/// Draws the service time of one request.
fn service_time(behaviour: &Behaviour, rng: &mut SmallRng) -> Duration {
    let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    let factor = 1.0 - behaviour.spread - behaviour.spread * uniform.ln();
    behaviour.service_time.mul_f64(factor.max(0.0))
}

/// A seed that is the same in every run, so that a run can be repeated.
fn seed(name: &str) -> u64 {
    name.bytes().fold(1, |seed: u64, byte| {
        seed.wrapping_mul(31).wrapping_add(byte.into())
    })
}

async fn downstream(
    shared: &Arc<Inner>,
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

fn shed() -> Response<Body> {
    let mut res = Response::new(Body::whole(Bytes::new()));
    *res.status_mut() = hyper::StatusCode::SERVICE_UNAVAILABLE;
    let word = hyper::header::HeaderValue::from_static("not-run");
    res.headers_mut().insert("nutmegwheel-outcome", word);
    res
}

/// A backend server whose own call failed answers 502 and what it got.
fn failed_below(called: Option<crate::Answer>) -> Response<Body> {
    let body = called.map(|answer| answer.body).unwrap_or_default();
    let mut res = Response::new(Body::whole(body));
    *res.status_mut() = hyper::StatusCode::BAD_GATEWAY;
    res
}

fn finish(behaviour: &Behaviour, report: &serde_json::Value, body: &[u8]) -> Response<Body> {
    let mut report = report.clone();
    report["echo"] = String::from_utf8_lossy(body).into();
    let bytes = Bytes::from(report.to_string());
    let mut res = Response::new(match behaviour.fault {
        Fault::Truncate => Body::truncated(bytes),
        _ => Body::whole(bytes),
    });
    if let Fault::Status(status) = behaviour.fault {
        *res.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    }
    res
}

/// Writes raw bytes to an address and reads what comes back until the other side closes.
///
/// # Errors
///
/// Returns the error of the socket.
pub async fn raw(at: SocketAddr, bytes: &[u8]) -> std::io::Result<Vec<u8>> {
    use tokio::io::AsyncReadExt as _;
    let mut stream = TcpStream::connect(at).await?;
    stream.write_all(bytes).await?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await?;
    Ok(answer)
}
