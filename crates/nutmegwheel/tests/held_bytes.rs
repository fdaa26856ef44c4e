//! What processes hold for large bodies, and for callers and backend servers that are slow, stays
//! within the memory of a VM. These tests run one at a time.

#[path = "../../../platform/tests/stand_in/mod.rs"]
mod stand_in;

use std::time::{Duration, Instant};

use bytes::Bytes;
use serde_json::json;
use stand_in::{BodyDigest, Fleet, Vm, document};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpSocket, TcpStream},
    sync::Mutex,
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_nutmegwheel");
/// The only backend server of `desk` is on the third VM.
const SERVERS: &[(&str, &str)] = &[
    ("riga1", "portal"),
    ("riga2", "portal"),
    ("riga3", "desk"),
    ("riga1", "portal"),
];
/// The memory of a VM, in kB.
const VM_MEMORY_KB: u64 = 160 * 1024;
/// The maximum number of descriptors that a process may have open here.
const MAX_DESCRIPTORS: usize = 400;
/// The time that callers give every request, in ms. Nothing here waits for it.
const CALLER_TIMEOUT_MS: u64 = 60_000;
/// The time without growth after which a process holds all that it will.
const SETTLING_TIME: Duration = Duration::from_secs(2);
/// The size of the chunks of chunked bodies, in bytes.
const CHUNK_BYTES: usize = 64 * 1024;

/// Fleets come one at a time, since the memory of their processes is measured.
static ALONE: Mutex<()> = Mutex::const_new(());

/// Starts a fleet whose routes let requests take their time, and waits until it serves.
async fn start() -> Fleet {
    let common = json!({"max_memory_mb": VM_MEMORY_KB * 1024 / 1_000_000});
    let fleet = Fleet::start_with(PROGRAM, SERVERS, common).await;
    let mut document = document();
    for route in document["routes"].as_array_mut().expect("routes") {
        route["timeout_ms"] = CALLER_TIMEOUT_MS.into();
    }
    assert_eq!(fleet.publish(1, 0, &document).await, 200);
    for node in &fleet.nodes {
        check_ordinary_request(&fleet, node).await;
    }
    fleet
}

/// Checks that an ordinary request is answered, which callers repeat when told to.
async fn check_ordinary_request(fleet: &Fleet, node: &Vm) {
    let end = Instant::now() + stand_in::LIMIT;
    loop {
        let answer = fleet.call_at(node, "GET", "desk.example", "/inner/ordinary", &[]);
        let answer = answer.await;
        if answer.status == 200 {
            return;
        }
        assert!(Instant::now() < end, "{}: {}", answer.status, answer.text());
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Waits until no process takes more memory than before, and checks what each has taken.
async fn check_memory(fleet: &Fleet) {
    let all = || fleet.control.iter().chain(&fleet.nodes);
    let peaks = || -> Vec<(String, u64)> {
        let peak = |vm: &Vm| (vm.name.clone(), fleet.peak_memory_kb(&vm.name));
        all().map(peak).collect()
    };
    let mut last = peaks();
    let mut since = Instant::now();
    while since.elapsed() < SETTLING_TIME {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let now = peaks();
        if now != last {
            (last, since) = (now, Instant::now());
        }
    }
    println!("peak memory in kB: {last:?}");
    let above = last.iter().filter(|(_, peak)| *peak > VM_MEMORY_KB);
    let above: Vec<_> = above.collect();
    assert!(above.is_empty(), "more than {VM_MEMORY_KB} kB: {above:?}");
    for vm in all() {
        let open = fleet.open_descriptors(&vm.name);
        assert!(open <= MAX_DESCRIPTORS, "{}: {open} descriptors", vm.name);
    }
}

fn head(method: &str, path: &str, id: &str, framing: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: desk.example\r\nx-nutmegwheel-request-id: {id}\r\n\
         x-nutmegwheel-request-deadline-ms: {CALLER_TIMEOUT_MS}\r\n{framing}\r\n"
    )
}

/// Sends a request and returns the status of its answer, or 0 if the connection breaks off.
async fn send(node: &Vm, head: String, parts: impl Iterator<Item = Bytes>) -> u16 {
    let stream = TcpStream::connect(node.outbound()).await;
    let (mut rx, mut tx) = stream.expect("a connection").into_split();
    let sending = async {
        tx.write_all(head.as_bytes()).await?;
        for part in parts {
            tx.write_all(&part).await?;
        }
        std::io::Result::Ok(())
    };
    let mut answer = Vec::new();
    let receiving = async {
        while !answer.contains(&b'\n') {
            if !matches!(rx.read_buf(&mut answer).await, Ok(1..)) {
                return;
            }
        }
    };
    // The answer may come before the end of the request, which is then no longer taken.
    let _ = tokio::join!(sending, receiving);
    let answer = String::from_utf8_lossy(&answer);
    let status = answer.split(' ').nth(1).and_then(|text| text.parse().ok());
    status.unwrap_or(0)
}

fn chunk(part: &Bytes) -> Bytes {
    let mut chunk = format!("{:x}\r\n", part.len()).into_bytes();
    chunk.extend_from_slice(part);
    chunk.extend_from_slice(b"\r\n");
    chunk.into()
}

// Guards against a 413 for a body that the limits of the configuration allow.
#[tokio::test(flavor = "multi_thread")]
async fn body_of_nearly_maximum_size_is_served() {
    const BODY_BYTES: usize = 64 * 1024 * 1024 - 1;
    let _alone = ALONE.lock().await;
    let fleet = start().await;
    let body: Bytes = (0..=250u8).cycle().take(BODY_BYTES).collect();
    let digest = BodyDigest::of(&body);
    let parts = || {
        let starts = (0..BODY_BYTES).step_by(CHUNK_BYTES);
        starts.map(|at| body.slice(at..(at + CHUNK_BYTES).min(BODY_BYTES)))
    };
    let framing = format!("content-length: {BODY_BYTES}\r\n");
    let sized = head("POST", "/inner/sized", "sized", &framing);
    let chunked = head(
        "POST",
        "/inner/chunked",
        "chunked",
        "transfer-encoding: chunked\r\n",
    );
    let end = std::iter::once(Bytes::from_static(b"0\r\n\r\n"));
    let chunks = parts().map(|part| chunk(&part)).chain(end);
    let statuses = [
        send(&fleet.nodes[0], sized, parts()).await,
        send(&fleet.nodes[1], chunked, chunks).await,
    ];
    assert_eq!(statuses, [200, 200], "{}", fleet.log("node-0"));
    for path in ["/inner/sized", "/inner/chunked"] {
        let runs = fleet.runs_of(path);
        let bodies: Vec<_> = runs.iter().map(|run| run.body).collect();
        assert_eq!(bodies, [digest], "{path}");
    }
    check_memory(&fleet).await;
    check_ordinary_request(&fleet, &fleet.nodes[0]).await;
}

// Guards against the end of a process that runs out of memory for answers that callers do not read.
#[tokio::test(flavor = "multi_thread")]
async fn callers_that_do_not_read_take_bounded_memory() {
    const CALLERS: usize = 30;
    const REQUESTS: usize = 16;
    const ANSWER_BYTES: usize = 800_000;
    let _alone = ALONE.lock().await;
    let fleet = start().await;
    fleet.servers[2].set_answer(vec![b'a'; ANSWER_BYTES]);
    let mut callers = Vec::new();
    for caller in 0..CALLERS {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_recv_buffer_size(4096).expect("a small buffer");
        let stream = socket.connect(fleet.nodes[0].outbound()).await;
        let mut stream = stream.expect("a connection");
        let heads =
            (0..REQUESTS).map(|n| head("GET", "/inner/large", &format!("{caller}-{n}"), ""));
        let heads = heads.collect::<String>();
        stream
            .write_all(heads.as_bytes())
            .await
            .expect("it is open");
        callers.push(stream);
    }
    check_memory(&fleet).await;
    check_ordinary_request(&fleet, &fleet.nodes[0]).await;
    drop(callers);
}

// Guards against the end of a node that runs out of memory for requests that wait for its backend
// server, each sent by a caller that is within its limits.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_wait_for_backend_server_take_bounded_memory() {
    const CALLERS: usize = 60;
    const BODY_BYTES: usize = 4_000_000;
    let _alone = ALONE.lock().await;
    let fleet = start().await;
    fleet.servers[2].set_work(Duration::from_millis(CALLER_TIMEOUT_MS));
    let body = Bytes::from(vec![b'a'; BODY_BYTES]);
    let ingress = [0, 1, 3].map(|node| &fleet.nodes[node]);
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (node, body) = (ingress[caller % ingress.len()].clone(), body.clone());
            let framing = format!("content-length: {BODY_BYTES}\r\n");
            let head = head("POST", "/inner/slow", &caller.to_string(), &framing);
            tokio::spawn(async move { send(&node, head, std::iter::once(body)).await })
        })
        .collect();
    check_memory(&fleet).await;
    fleet.servers[2].set_work(Duration::ZERO);
    for caller in callers {
        caller.abort();
    }
    check_ordinary_request(&fleet, &fleet.nodes[0]).await;
}
