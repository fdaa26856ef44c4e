//! Helpers of the link tests: the options of an endpoint, and a service that answers by topic.
#![allow(dead_code)]

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use nutmegwheel_link::{
    Endpoint, Limits, Options, Peer, Reply, Request, ServeFuture, Service, Topic,
};

/// A request that is answered immediately with its own head and body.
pub(crate) const ECHO: Topic = Topic(1);
/// A request that is never answered.
pub(crate) const NEVER: Topic = Topic(2);
/// A request that is answered after the number of milliseconds in the first byte of its head.
pub(crate) const LATER: Topic = Topic(3);

/// A request that makes the service panic.
pub(crate) const PANIC: Topic = Topic(4);

pub(crate) fn options(name: &str) -> Options {
    Options {
        name: name.into(),
        data_centre: "riga1".into(),
        incarnation: 7,
        listen: "127.0.0.1:0".parse().unwrap(),
        advertised: None,
        fleet_secret: b"a secret for the tests of links.".to_vec(),
        limits: Limits::default(),
        metering: None,
    }
}

/// A service that counts started and open requests, and keeps the notifications it received.
#[derive(Default)]
pub(crate) struct CountingService {
    pub(crate) started: AtomicUsize,
    pub(crate) open: Arc<AtomicUsize>,
    pub(crate) notified: Mutex<Vec<(Peer, Topic, Bytes)>>,
}

struct OpenGuard(Arc<AtomicUsize>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Service for CountingService {
    fn serve(&self, _peer: Peer, req: Request, _deadline: Option<Instant>) -> ServeFuture {
        self.started.fetch_add(1, Ordering::SeqCst);
        self.open.fetch_add(1, Ordering::SeqCst);
        let open = OpenGuard(self.open.clone());
        Box::pin(async move {
            let _open = open;
            match req.topic {
                PANIC => panic!("requested by the test"),
                NEVER => std::future::pending().await,
                LATER => {
                    tokio::time::sleep(Duration::from_millis(u64::from(req.head[0]))).await;
                }
                _ => {}
            }
            Reply {
                head: req.head,
                body: req.body,
            }
        })
    }

    fn notify(&self, peer: Peer, topic: Topic, body: Bytes) {
        self.notified.lock().unwrap().push((peer, topic, body));
    }
}

pub(crate) async fn endpoint(name: &str) -> (Endpoint, Arc<CountingService>) {
    endpoint_with(options(name)).await
}

pub(crate) async fn endpoint_with(opts: Options) -> (Endpoint, Arc<CountingService>) {
    let service = Arc::new(CountingService::default());
    let endpoint = Endpoint::bind(opts, service.clone()).await.unwrap();
    (endpoint, service)
}

pub(crate) fn request(topic: Topic, head: impl Into<Bytes>, body: impl Into<Bytes>) -> Request {
    Request {
        topic,
        head: head.into(),
        body: body.into(),
    }
}

pub(crate) fn within(time: Duration) -> Instant {
    Instant::now() + time
}

pub(crate) const LONG: Duration = Duration::from_secs(20);

/// Waits until the condition holds. The time limit only ends a test that would hang.
pub(crate) async fn eventually(what: &str, cond: impl Fn() -> bool) {
    let end = Instant::now() + LONG;
    while !cond() {
        assert!(Instant::now() < end, "timed out waiting for {what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

pub(crate) fn unused_addr() -> SocketAddr {
    let socket = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    socket.local_addr().unwrap()
}
