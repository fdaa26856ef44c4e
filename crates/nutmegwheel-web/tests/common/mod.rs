//! A listener with a handler that records what was started, and callers on plain sockets.
#![allow(dead_code, reason = "each test file uses a part")]

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use nutmegwheel_events::{Clock, Journal, SystemTime};
use nutmegwheel_memory::Account;
use nutmegwheel_web::{Handler, HandlerFuture, Options, Request, Response, Server};
use tokio::sync::Semaphore;

/// How long a test waits for what must happen.
pub(crate) const LIMIT: Duration = Duration::from_secs(5);
/// The time for which [`STALL_PATH`] blocks the listener's thread.
const STALL: Duration = Duration::from_millis(500);
/// A request that blocks the thread of the listener, as a process does that is suspended or out of
/// descriptors.
pub(crate) const STALL_PATH: &str = "/stall";
/// A request that is answered after [`Recorder::finish_work`].
pub(crate) const WORK_PATH: &str = "/work";

/// A request whose answer asks for the end of the connection.
pub(crate) const CLOSE_PATH: &str = "/close";
/// A request whose answer has a body of [`LARGE_BYTES`].
pub(crate) const LARGE_PATH: &str = "/large";
/// The size of a large body, in bytes.
pub(crate) const LARGE_BYTES: usize = 1024 * 1024;
/// The prefix of requests that are answered after the number of ms in their path.
pub(crate) const DELAYED_PREFIX: &str = "/delayed/";

/// Records the paths of the requests that were started, and of those whose handler ended or was
/// dropped.
#[derive(Clone)]
pub(crate) struct Recorder {
    started: Arc<Mutex<Vec<String>>>,
    ended: Arc<Mutex<Vec<String>>>,
    work: Arc<Semaphore>,
}

/// Records the end of a handler.
struct Ended(Recorder, String);

impl Drop for Ended {
    fn drop(&mut self) {
        self.0.ended.lock().unwrap().push(self.1.clone());
    }
}

impl Default for Recorder {
    fn default() -> Self {
        Self {
            started: Arc::default(),
            ended: Arc::default(),
            work: Arc::new(Semaphore::new(0)),
        }
    }
}

impl Recorder {
    pub(crate) fn started(&self) -> Vec<String> {
        self.started.lock().unwrap().clone()
    }

    pub(crate) fn await_started(&self, path: &str, count: usize) {
        await_count(&self.started, path, count);
    }

    pub(crate) fn await_ended(&self, path: &str, count: usize) {
        await_count(&self.ended, path, count);
    }

    pub(crate) fn finish_work(&self) {
        self.work.close();
    }
}

impl Handler for Recorder {
    fn handle(&self, req: Request) -> HandlerFuture {
        let path = req.head.uri.path().to_owned();
        self.started.lock().unwrap().push(path.clone());
        if path == STALL_PATH {
            std::thread::sleep(STALL);
        }
        let ended = Ended(self.clone(), path.clone());
        let work = (path == WORK_PATH).then(|| self.work.clone());
        Box::pin(async move {
            let _ended = ended;
            if let Some(work) = work {
                let _ = work.acquire().await;
            }
            if let Some(delay) = path.strip_prefix(DELAYED_PREFIX) {
                tokio::time::sleep(Duration::from_millis(delay.parse().unwrap())).await;
            }
            let body = match path.as_str() {
                LARGE_PATH => vec![b'a'; LARGE_BYTES],
                _ => path.clone().into_bytes(),
            };
            let mut res = Response::new(body.into());
            if path == CLOSE_PATH {
                let close = http::HeaderValue::from_static("close");
                res.headers_mut().insert(http::header::CONNECTION, close);
            }
            res
        })
    }
}

fn await_count(paths: &Mutex<Vec<String>>, path: &str, count: usize) {
    let end = Instant::now() + LIMIT;
    while paths.lock().unwrap().iter().filter(|p| *p == path).count() < count {
        assert!(Instant::now() < end, "{path} did not come {count} times");
        std::thread::sleep(Duration::from_millis(5));
    }
}

pub(crate) fn bind_with(max_connections: Option<usize>, recorder: Recorder) -> (Server, Recorder) {
    bind(max_connections, 1024, Account::unlimited(), recorder)
}

pub(crate) fn bind(
    max_connections: Option<usize>,
    body_limit: usize,
    account: Account,
    recorder: Recorder,
) -> (Server, Recorder) {
    let opts = nutmegwheel_events::Options {
        process: "web".into(),
        capacity: 64,
    };
    let journal = Arc::new(Journal::open(opts, Clock::open(SystemTime)));
    let opts = Options {
        address: SocketAddr::from(([127, 0, 0, 1], 0)),
        body_limit: body_limit.into(),
        read_timeout: LIMIT,
        max_connections,
        account,
    };
    let server = nutmegwheel_web::bind(opts, journal, Box::new(recorder.clone())).unwrap();
    (server, recorder)
}

pub(crate) fn send(address: SocketAddr, path: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(LIMIT)).unwrap();
    write!(stream, "GET {path} HTTP/1.1\r\nhost: a\r\n\r\n").unwrap();
    stream
}

/// A whole response.
#[derive(Debug)]
pub(crate) struct Received {
    pub(crate) status: String,
    pub(crate) closes: bool,
    pub(crate) body: String,
}

/// Reads a whole response.
pub(crate) fn read_response(mut stream: &TcpStream) -> Received {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).unwrap();
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).unwrap().to_ascii_lowercase();
    let value = |name: &str| {
        let line = head.lines().find_map(|line| line.strip_prefix(name));
        line.map(|value| value.trim_start_matches(':').trim().to_owned())
    };
    let length = value("content-length").map_or(0, |n| n.parse().unwrap());
    let mut body = vec![0; length];
    stream.read_exact(&mut body).unwrap();
    Received {
        status: head[..12].to_ascii_uppercase(),
        closes: value("connection").as_deref() == Some("close"),
        body: String::from_utf8(body).unwrap(),
    }
}

/// Reads a whole response, and returns its version and status.
pub(crate) fn read_status(stream: &TcpStream) -> String {
    read_response(stream).status
}
