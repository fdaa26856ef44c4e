//! Processes under callers that keep no limits: many large or chunked bodies that stop short of
//! their end on connections that stay open, and bodies over the limit.

#[path = "../../../platform/tests/stand_in/mod.rs"]
mod stand_in;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use serde_json::json;
use stand_in::{Fleet, KEY, Vm};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    sync::{Mutex, MutexGuard},
    task::JoinSet,
    time::timeout,
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_nutmegwheel");
const SERVERS: &[(&str, &str)] = &[("riga1", "portal"), ("riga2", "portal"), ("riga3", "desk")];
/// The node to which the crowds send.
const NODE: usize = 2;
/// The memory of a VM, in kB. Bytes that have arrived and are unread count toward it.
const MEMORY_KB: u64 = 64_000;
/// The number of descriptors that a process may have open.
const DESCRIPTORS: usize = 256;
/// The number of callers of a crowd.
const CROWD: usize = 40;
/// One caller in so many sends its body to the end.
const COMPLETE: usize = 8;
/// The size of a large body, in bytes: the largest one that nodes accept without a configured limit.
const LARGE: usize = 4 * 1024 * 1024;
/// The size of a body in chunks of one byte.
const SMALL_CHUNKS: usize = 2 * 1024 * 1024;
/// The limit for what depends on the speed of the machine.
const LIMIT: Duration = Duration::from_mins(3);

/// Crowds come one at a time, since the memory and descriptors of a process are measured.
static ALONE: Mutex<()> = Mutex::const_new(());

/// How a caller sends its body.
#[derive(Clone, Copy)]
enum Body {
    /// With an announced length, in pieces of this size.
    Announced(usize),
    /// As chunks of this size.
    Chunked(usize, usize),
    /// With an announced length over any limit.
    AnnouncedOverLimit,
    /// As chunks without an end.
    Endless,
}

struct Crowd {
    fleet: Fleet,
    vm: Vm,
    at: SocketAddr,
    request_line: &'static str,
    _alone: MutexGuard<'static, ()>,
}

impl Crowd {
    async fn at_callers() -> Self {
        let request_line = "POST /once/crowd HTTP/1.1";
        Self::start(
            |fleet| fleet.nodes[NODE].clone(),
            Vm::outbound,
            request_line,
        )
        .await
    }

    async fn start(
        choose: impl Fn(&Fleet) -> Vm,
        listener: impl Fn(&Vm) -> SocketAddr,
        request_line: &'static str,
    ) -> Self {
        let alone = ALONE.lock().await;
        let common = json!({"max_descriptors": DESCRIPTORS, "max_memory_mb": MEMORY_KB / 1000});
        let fleet = Fleet::serving_with(PROGRAM, SERVERS, common).await;
        let vm = choose(&fleet);
        Self {
            at: listener(&vm),
            vm,
            fleet,
            request_line,
            _alone: alone,
        }
    }

    /// Lets the crowd send until each caller has sent what it wants or was cut off, checks the
    /// memory and the descriptors of the process, and returns the connections with their numbers.
    async fn send(&self, body_of: impl Fn(usize) -> Body) -> Vec<(usize, TcpStream)> {
        let unread = self.watch_unread();
        let mut callers = JoinSet::new();
        for number in 0..CROWD {
            let head = format!(
                "{}\r\nhost: portal.example\r\nauthorization: {KEY}\r\n\
                 x-nutmegwheel-request-id: crowd-{number}\r\n\
                 x-nutmegwheel-request-deadline-ms: 3000\r\n",
                self.request_line
            );
            let (at, body) = (self.at, body_of(number));
            let sent = send_body(at, head, body, number % COMPLETE == 0);
            callers.spawn(async move { (number, sent.await) });
        }
        let streams = timeout(LIMIT, callers.join_all()).await;
        let streams = streams.expect("no caller waits forever");
        self.check(unread.load(Ordering::SeqCst));
        streams
    }

    fn check(&self, unread: u64) {
        let name = &self.vm.name;
        let id = self.fleet.process_id(name);
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let is_alive = status.contains("VmRSS:");
        assert!(is_alive, "{name} ended: {}", self.fleet.log(name));
        let peak = self.fleet.peak_memory_kb(name);
        let descriptors = std::fs::read_dir(format!("/proc/{id}/fd"));
        let descriptors = descriptors.expect("its descriptors").count();
        let seen = format!("{peak} kB, {unread} bytes unread, {descriptors} descriptors");
        println!("{name}: {seen}");
        assert!(peak + unread / 1000 <= MEMORY_KB, "{name}: {seen}");
        assert!(descriptors <= DESCRIPTORS, "{name}: {seen}");
    }

    /// Records the largest number of bytes that have arrived at the VM and were unread.
    fn watch_unread(&self) -> Arc<AtomicU64> {
        let (max, vm) = (Arc::new(AtomicU64::new(0)), self.vm.clone());
        let weak = Arc::downgrade(&max);
        tokio::spawn(async move {
            while let Some(max) = weak.upgrade() {
                max.fetch_max(vm.unread_bytes(), Ordering::SeqCst);
                drop(max);
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        });
        max
    }

    /// Checks that an ordinary request is answered, which is sent again as callers do.
    async fn check_ordinary(&self, mut status: impl AsyncFnMut() -> Option<u16>) {
        let end = Instant::now() + LIMIT;
        loop {
            let status = status().await;
            if status == Some(200) {
                return;
            }
            assert!(Instant::now() < end, "an ordinary request got {status:?}");
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    }

    async fn check_caller(&self) {
        let (node, key) = (&self.vm, [("authorization", KEY)]);
        self.check_ordinary(async || {
            let answer = self
                .fleet
                .call_at(node, "GET", "portal.example", "/safe/x", &key);
            Some(answer.await.status)
        })
        .await;
    }
}

/// Sends a request and returns its connection once the body was sent as far as wanted, or once the
/// process takes no more of it.
async fn send_body(at: SocketAddr, head: String, body: Body, is_complete: bool) -> TcpStream {
    let mut stream = TcpStream::connect(at).await.expect("a connection");
    let framing = match body {
        Body::Announced(_) => format!("content-length: {LARGE}\r\n\r\n"),
        Body::AnnouncedOverLimit => format!("content-length: {}\r\n\r\n", 1_u64 << 40),
        Body::Chunked(..) | Body::Endless => "transfer-encoding: chunked\r\n\r\n".to_owned(),
    };
    let (piece, mut rest) = match body {
        Body::Announced(size) => (vec![b'x'; size], LARGE - usize::from(!is_complete)),
        Body::Chunked(size, total) => {
            // Many chunks at a time, so that the crowd costs little.
            let piece = chunk(size).repeat((64 * 1024_usize).div_ceil(size + 8));
            let whole = total / size * chunk(size).len();
            let rest = whole.next_multiple_of(piece.len());
            (piece, rest)
        }
        Body::Endless => (chunk(0x10000), usize::MAX),
        Body::AnnouncedOverLimit => (vec![b'x'; 0x10000], 0x10000),
    };
    let mut sent = stream.write_all((head + &framing).as_bytes()).await;
    while rest > 0 && sent.is_ok() {
        let part = &piece[..piece.len().min(rest)];
        sent = stream.write_all(part).await;
        rest -= part.len();
    }
    if matches!(body, Body::Chunked(..)) && is_complete && sent.is_ok() {
        // A process that has cut the caller off takes no end.
        let _ = stream.write_all(b"0\r\n\r\n").await;
    }
    stream
}

fn chunk(size: usize) -> Vec<u8> {
    format!("{size:x}\r\n{}\r\n", "x".repeat(size)).into_bytes()
}

// Guards against a process that runs out of memory: every body has a legal size, and nothing limits
// their sum.
#[tokio::test(flavor = "multi_thread")]
async fn large_bodies_that_stop_short_of_their_end() {
    let crowd = Crowd::at_callers().await;
    let body = |number: usize| Body::Announced([0x10000, 1000][number % 2]);
    let _open = crowd.send(body).await;
    crowd.check_caller().await;
}

// Guards against the same with lengths that are not announced.
#[tokio::test(flavor = "multi_thread")]
async fn large_chunks_that_stop_short_of_their_end() {
    let crowd = Crowd::at_callers().await;
    let _open = crowd.send(|_| Body::Chunked(0x10000, LARGE)).await;
    crowd.check_caller().await;
}

// Guards against chunks whose framing, buffers and bytes together cost more than the body says.
#[tokio::test(flavor = "multi_thread")]
async fn chunks_of_one_byte_that_stop_short_of_their_end() {
    let crowd = Crowd::at_callers().await;
    let _open = crowd.send(|_| Body::Chunked(1, SMALL_CHUNKS)).await;
    crowd.check_caller().await;
}

// Guards against bodies over the limit, which are read up to the limit each, and against a refusal
// that is destroyed by the bytes behind it.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_over_the_limit() {
    let crowd = Crowd::at_callers().await;
    let body = |number: usize| [Body::Endless, Body::Endless, Body::AnnouncedOverLimit][number % 3];
    let streams = crowd.send(body).await;
    for (number, mut stream) in streams {
        let mut answer = Vec::new();
        // The connection may be reset behind the answer.
        let read = timeout(LIMIT, stream.read_to_end(&mut answer)).await;
        let _ = read.expect("the connection is closed");
        let text = String::from_utf8_lossy(&answer);
        let is_allowed = match body(number) {
            Body::Endless => {
                answer.is_empty()
                    || ["413", "503"]
                        .iter()
                        .any(|status| text[9..].starts_with(status))
            }
            _ => text.starts_with("HTTP/1.1 413"),
        };
        assert!(is_allowed, "{number}: {text}");
    }
    crowd.check_caller().await;
}

// Guards against a control VM that runs out of memory: the platform names its listener to operators
// only, but nothing else keeps callers away from it.
#[tokio::test(flavor = "multi_thread")]
async fn large_bodies_at_the_operators_listener() {
    let choose = |fleet: &Fleet| fleet.control[0].clone();
    let crowd = Crowd::start(choose, Vm::control, "PUT /-/config HTTP/1.1").await;
    let _open = crowd.send(|_| Body::Announced(0x10000)).await;
    crowd
        .check_ordinary(async || {
            let sent = crowd.fleet.send("GET", crowd.at, "/-/config", "");
            Some(sent.await?.status)
        })
        .await;
}

// Guards against the same at the listener for heartbeats.
#[tokio::test(flavor = "multi_thread")]
async fn large_bodies_at_the_listener_for_heartbeats() {
    let choose = |fleet: &Fleet| fleet.nodes[NODE].clone();
    let crowd = Crowd::start(choose, Vm::control, "PUT /-/instances/crowd HTTP/1.1").await;
    let _open = crowd.send(|_| Body::Announced(0x10000)).await;
    let server = &crowd.fleet.servers[NODE];
    crowd
        .check_ordinary(async || server.deliver(server.next_heartbeat()).await)
        .await;
}
