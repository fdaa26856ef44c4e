//! Measures links over loopback: `cargo run --release -p nutmegwheel-link --example link_bench`.
//!
//! Prints the resident memory of idle links, then the calls per second and the latencies for
//! several numbers of concurrent calls with 1 KiB bodies. Both ends share one thread.

use std::{
    fs,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use nutmegwheel_link::{
    Endpoint, Limits, Options, Peer, Reply, Request, ServeFuture, Service, Topic,
};

const BODY_BYTES: usize = 1024;
const MEASURE_TIME: Duration = Duration::from_secs(2);
const WARM_UP_CALLS: usize = 500;
const IDLE_PEERS: usize = 250;

struct Echo;

impl Service for Echo {
    fn serve(&self, _peer: Peer, req: Request, _deadline: Option<Instant>) -> ServeFuture {
        Box::pin(async move {
            Reply {
                head: req.head,
                body: req.body,
            }
        })
    }

    fn notify(&self, _peer: Peer, _topic: Topic, _body: Bytes) {}
}

async fn endpoint() -> Endpoint {
    let opts = Options {
        name: "bench".into(),
        data_centre: "riga1".into(),
        incarnation: 1,
        listen: "127.0.0.1:0".parse().expect("an address"),
        advertised: None,
        fleet_secret: b"a secret for the bench of links.".to_vec(),
        limits: Limits::default(),
        metering: None,
    };
    Endpoint::bind(opts, Arc::new(Echo)).await.expect("bind")
}

fn request(body_bytes: usize) -> Request {
    Request {
        topic: Topic(1),
        head: Bytes::from_static(&[1; 64]),
        body: Bytes::from(vec![2; body_bytes]),
    }
}

async fn call(caller: &Endpoint, to: SocketAddr, req: Request) -> Duration {
    let begin = Instant::now();
    caller
        .call(to, req, begin + Duration::from_secs(10))
        .await
        .expect("a reply");
    begin.elapsed()
}

/// Makes sequential calls until `end`, and returns their latencies.
async fn call_repeatedly(caller: Endpoint, to: SocketAddr, end: Instant) -> Vec<Duration> {
    let mut latencies = Vec::new();
    while Instant::now() < end {
        latencies.push(call(&caller, to, request(BODY_BYTES)).await);
    }
    latencies
}

async fn measure(caller: &Endpoint, to: SocketAddr, concurrent: usize) {
    for _ in 0..WARM_UP_CALLS {
        call(caller, to, request(BODY_BYTES)).await;
    }
    let begin = Instant::now();
    let tasks: Vec<_> = (0..concurrent)
        .map(|_| tokio::spawn(call_repeatedly(caller.clone(), to, begin + MEASURE_TIME)))
        .collect();
    let mut latencies = Vec::new();
    for task in tasks {
        latencies.extend(task.await.expect("no panic"));
    }
    let seconds = begin.elapsed().as_secs_f64();
    report(&format!("{concurrent} concurrent"), &mut latencies, seconds);
}

fn report(what: &str, latencies: &mut [Duration], seconds: f64) {
    latencies.sort_unstable();
    let count = latencies.len();
    let at = |percent: usize| latencies[(count * percent / 100).min(count - 1)];
    let rate = f64::from(u32::try_from(count).unwrap_or(u32::MAX)) / seconds;
    println!("{what}: {rate:.0}/s, p50 {:?}, p99 {:?}", at(50), at(99));
}

/// Measures small calls while another task sends bodies of 4 MiB.
async fn measure_with_large(caller: &Endpoint, to: SocketAddr) {
    let begin = Instant::now();
    let end = begin + MEASURE_TIME;
    let large = tokio::spawn({
        let caller = caller.clone();
        async move {
            let mut count = 0;
            while Instant::now() < end {
                call(&caller, to, request(4 * 1024 * 1024)).await;
                count += 1;
            }
            count
        }
    });
    let mut latencies = call_repeatedly(caller.clone(), to, end).await;
    let large = large.await.expect("no panic");
    let what = format!("1 concurrent with {large} bodies of 4 MiB");
    report(&what, &mut latencies, begin.elapsed().as_secs_f64());
}

fn resident_kib() -> usize {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    line.and_then(|line| line.split_whitespace().nth(1))
        .and_then(|kib| kib.parse().ok())
        .unwrap_or_default()
}

async fn measure_memory() {
    let mut peers = Vec::new();
    for _ in 0..IDLE_PEERS {
        peers.push(endpoint().await);
    }
    let caller = endpoint().await;
    let before = resident_kib();
    for peer in &peers {
        call(&caller, peer.local_addr(), request(64)).await;
    }
    tokio::time::sleep(Duration::from_secs(4)).await;
    let links = caller.stats().dialled_links;
    let growth = resident_kib() - before;
    println!(
        "{links} idle links, both ends: {growth} KiB, {} KiB a link",
        growth / links.max(1)
    );
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    // Memory is measured first, since memory freed by the other measurements would hide the growth.
    measure_memory().await;
    let (caller, server) = (endpoint().await, endpoint().await);
    let to = server.local_addr();
    for concurrent in [1, 32, 256] {
        measure(&caller, to, concurrent).await;
    }
    measure_with_large(&caller, to).await;
}
