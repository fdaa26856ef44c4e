//! A listener with a handler that records what was started, and callers on plain sockets.
#![allow(dead_code, reason = "each test file uses a part")]

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use nutmegwheel_events::{Clock, Journal, SystemTime};
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

/// Records the paths of the requests that were started.
#[derive(Clone)]
pub(crate) struct Recorder {
    started: Arc<Mutex<Vec<String>>>,
    work: Arc<Semaphore>,
}

impl Default for Recorder {
    fn default() -> Self {
        Self {
            started: Arc::default(),
            work: Arc::new(Semaphore::new(0)),
        }
    }
}

impl Recorder {
    pub(crate) fn started(&self) -> Vec<String> {
        self.started.lock().unwrap().clone()
    }

    pub(crate) fn await_started(&self, path: &str, count: usize) {
        let end = Instant::now() + LIMIT;
        while self.started().iter().filter(|p| *p == path).count() < count {
            assert!(Instant::now() < end, "{path} was not started {count} times");
            std::thread::sleep(Duration::from_millis(5));
        }
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
        let work = (path == WORK_PATH).then(|| self.work.clone());
        Box::pin(async move {
            if let Some(work) = work {
                let _ = work.acquire().await;
            }
            Response::default()
        })
    }
}

pub(crate) fn bind_with(max_connections: Option<usize>, recorder: Recorder) -> (Server, Recorder) {
    let opts = nutmegwheel_events::Options {
        process: "web".into(),
        capacity: 64,
    };
    let journal = Arc::new(Journal::open(opts, Clock::open(SystemTime)));
    let opts = Options {
        address: SocketAddr::from(([127, 0, 0, 1], 0)),
        body_limit: 1024,
        read_timeout: LIMIT,
        max_connections,
    };
    let server = nutmegwheel_web::bind(opts, journal, Arc::new(recorder.clone())).unwrap();
    (server, recorder)
}

pub(crate) fn send(address: SocketAddr, path: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(LIMIT)).unwrap();
    write!(stream, "GET {path} HTTP/1.1\r\nhost: a\r\n\r\n").unwrap();
    stream
}

/// Reads a response without a body, and returns its version and status.
pub(crate) fn read_status(mut stream: &TcpStream) -> String {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).unwrap();
        head.push(byte[0]);
    }
    String::from_utf8_lossy(&head[..12]).into_owned()
}
