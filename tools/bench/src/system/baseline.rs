//! A baseline of plain forwarders that choose a backend server at random and retry at each layer.

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
use http_body_util::{BodyExt as _, Full};
use hyper::{Request, Response, StatusCode, body::Incoming, service::service_fn};
use hyper_util::rt::TokioIo;
use nutmegwheel_support::{Answer, Caller};
use tokio::{net::TcpListener, task::JoinSet};
use tokio_util::sync::{CancellationToken, DropGuard};

use super::{NodeAddresses, System};
use crate::deployment::Deployment;

/// How often a forwarder resends a failed request.
const MAX_RETRIES: u32 = 2;
/// The time after which a forwarder abandons an attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);
/// The time after which an announcement expires unless it is renewed.
const ANNOUNCEMENT_LEASE: Duration = Duration::from_millis(1500);
/// The header field from which backend servers read the id of the root request.
const REQUEST_FIELD: &str = "nutmegwheel-request";
/// The header field that backend servers copy to their calls. The baseline sends the root request
/// id and the workspace in it, as `root/workspace`.
const CONTEXT_FIELD: &str = "nutmegwheel-context";
/// The header field with the name of the workspace.
const WORKSPACE_FIELD: &str = "nutmegwheel-workspace";

/// The forwarders of a deployment, one local to each backend server. Dropping it stops them.
pub(crate) struct Baseline {
    node_addresses: Vec<NodeAddresses>,
    _stop: DropGuard,
}

struct Shared {
    http: Caller,
    keys: HashMap<String, &'static str>,
    /// The backend servers of each service, each with the time of its last announcement.
    servers: Mutex<HashMap<String, HashMap<SocketAddr, Instant>>>,
    next_root: AtomicU64,
}

impl Baseline {
    pub(crate) async fn start(deployment: &Deployment) -> std::io::Result<Self> {
        let workspaces = deployment.workspaces.iter().enumerate();
        let shared = Arc::new(Shared {
            http: Caller::open(),
            keys: workspaces
                .map(|(index, workspace)| {
                    (format!("Bearer {}", deployment.key(index)), workspace.name)
                })
                .collect(),
            servers: Mutex::default(),
            next_root: AtomicU64::new(1),
        });
        let stop = CancellationToken::new();
        let mut node_addresses = Vec::new();
        for data_centre in &deployment.data_centres {
            for number in 0..deployment.nodes_per_data_centre() {
                node_addresses.push(NodeAddresses {
                    name: format!("{data_centre}-{number}"),
                    callers: listen(shared.clone(), &stop).await?,
                    backend: listen(shared.clone(), &stop).await?,
                });
            }
        }
        Ok(Self {
            node_addresses,
            _stop: stop.drop_guard(),
        })
    }
}

impl System for Baseline {
    fn node_addresses(&self) -> Vec<NodeAddresses> {
        self.node_addresses.clone()
    }
}

async fn listen(shared: Arc<Shared>, stop: &CancellationToken) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
    let address = listener.local_addr()?;
    let accepting = accept_loop(listener, shared);
    tokio::spawn(stop.clone().run_until_cancelled_owned(accepting));
    Ok(address)
}

async fn accept_loop(listener: TcpListener, shared: Arc<Shared>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            Ok((stream, _)) = listener.accept() => {
                let _ = stream.set_nodelay(true);
                let shared = shared.clone();
                connections.spawn(async move {
                    let service = service_fn(|req| handle(&shared, req));
                    let connection = hyper::server::conn::http1::Builder::new();
                    let _ = connection.serve_connection(TokioIo::new(stream), service).await;
                });
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn handle(
    shared: &Shared,
    req: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (head, body) = req.into_parts();
    let Ok(body) = body.collect().await else {
        return Ok(status(StatusCode::BAD_REQUEST));
    };
    let body = body.to_bytes();
    let path = head.uri.path();
    if path == "/v1/announcement" {
        shared.announce(&body);
        return Ok(status(StatusCode::OK));
    }
    let field = |name: &str| {
        let value = head.headers.get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let context = field(CONTEXT_FIELD).or_else(|| {
        let workspace = shared.keys.get(&field("authorization")?)?;
        let root = shared.next_root.fetch_add(1, Ordering::Relaxed);
        Some(format!("{root:032x}/{workspace}"))
    });
    let Some(context) = context else {
        return Ok(status(StatusCode::UNAUTHORIZED));
    };
    Ok(shared.forward(path, &context, &body).await)
}

impl Shared {
    fn announce(&self, body: &[u8]) {
        let document: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
        let service = document["service"].as_str().unwrap_or_default().to_owned();
        let address = document["address"].as_str().unwrap_or_default().parse();
        let Ok(address) = address else { return };
        let mut servers = self.servers.lock().unwrap_or_else(PoisonError::into_inner);
        let known = servers.entry(service).or_default();
        if document["state"] == "ready" {
            known.insert(address, Instant::now());
        } else {
            known.remove(&address);
        }
        known.retain(|_, at| at.elapsed() < ANNOUNCEMENT_LEASE);
    }

    fn choose_backend(&self, path: &str) -> Option<SocketAddr> {
        let service = path.split('/').nth(1)?;
        let servers = self.servers.lock().unwrap_or_else(PoisonError::into_inner);
        let known = servers.get(service)?.iter();
        let known: Vec<SocketAddr> = known
            .filter(|(_, at)| at.elapsed() < ANNOUNCEMENT_LEASE)
            .map(|(address, _)| *address)
            .collect();
        (!known.is_empty()).then(|| known[rand::random_range(0..known.len())])
    }

    async fn forward(&self, path: &str, context: &str, body: &Bytes) -> Response<Full<Bytes>> {
        let root = context.split('/').next().unwrap_or_default();
        let mut last = None;
        for _ in 0..=MAX_RETRIES {
            last = self.attempt(path, context, body).await;
            if last.as_ref().is_some_and(|answer| answer.status < 500) {
                break;
            }
        }
        let Some(last) = last else {
            return status(StatusCode::BAD_GATEWAY);
        };
        let code = StatusCode::from_u16(last.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let mut res = Response::new(Full::new(last.body));
        *res.status_mut() = code;
        if let Ok(root) = root.parse() {
            res.headers_mut().insert(REQUEST_FIELD, root);
        }
        res
    }

    async fn attempt(&self, path: &str, context: &str, body: &Bytes) -> Option<Answer> {
        let at = self.choose_backend(path)?;
        let (root, workspace) = context.split_once('/')?;
        let fields = [
            (CONTEXT_FIELD, context),
            (REQUEST_FIELD, root),
            (WORKSPACE_FIELD, workspace),
        ];
        let answer = self.http.call("POST", at, path, &fields, body.clone());
        tokio::time::timeout(ATTEMPT_TIMEOUT, answer)
            .await
            .ok()?
            .ok()
    }
}

fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut res = Response::new(Full::default());
    *res.status_mut() = status;
    res
}
