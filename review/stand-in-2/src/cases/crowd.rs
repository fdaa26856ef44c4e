//! Many clients send several safe requests each before the first one is answered.

use std::{
    collections::BTreeSet,
    io::{self, BufRead, BufReader, Read, Write},
    net::TcpStream,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use super::Verdict;
use crate::{
    client,
    endpoint::{Answer, Endpoint, Run},
    fleet::{self, Fleet, HOST, KEY, Route},
    http::{Message, Reader},
    record::Record,
    watchdog,
};

const SERVICE: &str = "huvo11a";
const PATH: &str = "/leny950/2f";
/// The path of the first request on each connection.
const FIRST_PATH: &str = "/leny950/1";
const SLOTS: u32 = 40;
/// The mean work of a `fetch-minutes`.
const WORK: Duration = Duration::from_millis(150);
const MEMORY_MB: u32 = 160;
const PROCESSES: usize = 6;
const CONNECTIONS: usize = 500;
const DEPTH: usize = 16;
/// Fields that browsers and tracing add to a request.
const COOKIE_BYTES: usize = 40;
/// The rule allows three.
const MAX_LOST: usize = 3;

pub fn run(record: &Arc<Record>, has_trouble: bool) -> io::Result<Verdict> {
    let mut fleet = Fleet::open(record.clone(), &[SERVICE; 3])?;
    fleet.memory_mb = MEMORY_MB;
    let route = Route {
        prefix: "/leny950/",
        kind: "safe",
        timeout_ms: 1000,
        to: format!(r#""service":"{SERVICE}""#),
    };
    let config = fleet::config(2, 0, &[route], &[SERVICE]);
    // No limit of the tenant comes in between.
    let config = config.replace(r#""rate_per_s":1000,"burst":1000"#, r#""rate_per_s":0"#);
    fleet.start_all(&config)?;
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let sidecars = fleet.sidecars();
    let behaviour = Arc::new(|_: &str, req: &Message| Answer {
        status: 200,
        work: if req.path() == FIRST_PATH {
            Duration::ZERO
        } else {
            WORK
        },
        body: vec![b'x'; 400],
        ..Answer::default()
    });
    let mut endpoints = Vec::new();
    for machine in &sidecars {
        endpoints.push(Endpoint::start(
            &fleet,
            *machine,
            SLOTS,
            runs.clone(),
            behaviour.clone(),
        )?);
    }
    thread::sleep(Duration::from_secs(3));
    let machine = sidecars[0];
    let to = fleet.address(machine, fleet.ports.outbound).to_string();
    let depth = if has_trouble { DEPTH } else { 1 };
    let mut clients = Vec::new();
    for _ in 0..PROCESSES {
        let args = [
            "crowd-clients",
            &to,
            &CONNECTIONS.to_string(),
            &depth.to_string(),
        ];
        let child = Command::new(std::env::current_exe()?)
            .args(args)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        watchdog::add(child.id());
        clients.push(Clients::open(child)?);
    }
    for one in &mut clients {
        one.wait_for("connected")?;
    }
    record.add(format!(
        "{} clients are connected and have had one answer each",
        PROCESSES * CONNECTIONS
    ));
    let process = fleet.process(machine).ok_or(io::ErrorKind::NotFound)?;
    let peak = Arc::new(AtomicU64::new(0));
    enforce_memory(record.clone(), process, peak.clone());
    for one in &mut clients {
        one.begin()?;
    }
    record.add(format!("each client sends {depth} requests at once"));
    thread::sleep(Duration::from_secs(8));
    let ended = fleet.ended();
    for one in &ended {
        record.add(format!("ended: {one}"));
    }
    if !ended.is_empty() {
        fleet.start(machine, false)?;
    }
    let mut unanswered = BTreeSet::new();
    let mut answered = 0;
    for one in clients {
        let (count, ids) = one.finish()?;
        answered += count;
        unanswered.extend(ids);
    }
    let runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
    let ran: BTreeSet<&str> = runs.iter().map(|run| &*run.id).collect();
    let lost: Vec<&String> = unanswered
        .iter()
        .filter(|id| ran.contains(id.as_str()))
        .collect();
    for id in &lost {
        record.add(format!(
            "{id} ran, and its connection was closed without an answer"
        ));
    }
    Ok(Verdict {
        is_broken: lost.len() > MAX_LOST,
        text: format!(
            "the node took {} KiB of {} at most; processes that ended: {}; {answered} answered; \
             {} requests were passed on to an endpoint and lost, {MAX_LOST} are allowed",
            peak.load(Ordering::SeqCst),
            MEMORY_MB * 1024,
            ended.len(),
            lost.len(),
        ),
    })
}

/// Kills a process that uses more memory than its machine has, as the platform does.
fn enforce_memory(record: Arc<Record>, process: u32, peak: Arc<AtomicU64>) {
    thread::spawn(move || {
        loop {
            let used = fleet::resident_kib(process);
            peak.fetch_max(used, Ordering::SeqCst);
            if used > u64::from(MEMORY_MB) * 1024 {
                record.add(format!("process {process} uses {used} KiB and is killed"));
                let _ = watchdog::kill(process);
                return;
            }
            thread::sleep(Duration::from_millis(10));
        }
    });
}

/// A process with clients.
struct Clients {
    child: Child,
    lines: io::Lines<BufReader<std::process::ChildStdout>>,
}

impl Drop for Clients {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        watchdog::remove(self.child.id());
    }
}

impl Clients {
    fn open(mut child: Child) -> io::Result<Self> {
        let stdout = child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        Ok(Self {
            child,
            lines: BufReader::new(stdout).lines(),
        })
    }

    fn wait_for(&mut self, text: &str) -> io::Result<()> {
        match self.lines.next().transpose()? {
            Some(line) if line == text => Ok(()),
            other => Err(io::Error::other(format!("clients: {other:?}"))),
        }
    }

    fn begin(&mut self) -> io::Result<()> {
        let stdin = self.child.stdin.as_mut().ok_or(io::ErrorKind::BrokenPipe)?;
        stdin.write_all(b"begin\n")
    }

    /// Returns the number of requests that were answered, and the ids of those whose connection
    /// was closed before.
    fn finish(mut self) -> io::Result<(usize, Vec<String>)> {
        let mut answered = 0;
        let mut closed = Vec::new();
        for line in self.lines.by_ref() {
            let line = line?;
            match line.split_once(' ') {
                Some(("answered", count)) => answered = count.parse().unwrap_or(0),
                Some(("closed", id)) => closed.push(id.to_owned()),
                _ => {}
            }
        }
        Ok((answered, closed))
    }
}

/// Opens connections, sends one request on each, waits for the word to begin, and sends `depth`
/// requests on each at once.
pub fn run_clients(to: &str, connections: &str, depth: &str) -> io::Result<()> {
    let invalid = || io::Error::from(io::ErrorKind::InvalidInput);
    let connections: usize = connections.parse().map_err(|_| invalid())?;
    let depth: usize = depth.parse().map_err(|_| invalid())?;
    let mut open = Vec::new();
    for _ in 0..connections {
        let mut stream = TcpStream::connect(to)?;
        stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        stream.write_all(&request(FIRST_PATH, &client::new_id()))?;
        let mut reader = Reader::new(stream.try_clone()?);
        reader.read()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        drop(reader);
        open.push(stream);
        // The clients come one after the other.
        thread::sleep(Duration::from_millis(5));
    }
    println!("connected");
    io::stdin().read_line(&mut String::new())?;
    let mut sent: Vec<(TcpStream, Vec<String>)> = Vec::new();
    for mut stream in open {
        let ids: Vec<String> = (0..depth).map(|_| client::new_id()).collect();
        let bytes: Vec<u8> = ids.iter().flat_map(|id| request(PATH, id)).collect();
        let _ = stream.write_all(&bytes);
        sent.push((stream, ids));
    }
    let end = Instant::now() + Duration::from_secs(6);
    let mut answered = 0;
    for (mut stream, ids) in sent {
        let left = end.saturating_duration_since(Instant::now());
        stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
        let mut bytes = Vec::new();
        let mut chunk = [0; 64 * 1024];
        let is_closed = loop {
            if ids.iter().all(|id| contains(&bytes, id)) {
                break false;
            }
            match stream.read(&mut chunk) {
                Ok(0) => break true,
                Ok(n) => bytes.extend_from_slice(&chunk[..n]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break false,
                Err(_) => break true,
            }
        };
        for id in &ids {
            let is_answered = contains(&bytes, id);
            answered += usize::from(is_answered);
            if is_closed && !is_answered {
                println!("closed {id}");
            }
        }
    }
    println!("answered {answered}");
    Ok(())
}

/// Whether a response bears this id.
fn contains(bytes: &[u8], id: &str) -> bool {
    bytes
        .windows(id.len())
        .any(|window| window == id.as_bytes())
}

fn request(path: &str, id: &str) -> Vec<u8> {
    format!(
        "GET {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Nutmegwheel-Request-Id: {id}\r\n\
         X-Nutmegwheel-Request-Deadline-Ms: 5000\r\nAuthorization: Token {KEY}\r\n\
         Cookie: {}\r\n\r\n",
        "c".repeat(COOKIE_BYTES)
    )
    .into_bytes()
}
