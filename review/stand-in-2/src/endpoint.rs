//! An application endpoint.

use std::{
    io::{self, ErrorKind, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    fleet::{Fleet, unix_ms},
    http::{self, Message, Reader},
    record::Record,
};

const HEARTBEAT: Duration = Duration::from_millis(1500);
const POLL: Duration = Duration::from_millis(2);

/// What an endpoint answers to a request.
#[derive(Default)]
pub struct Answer {
    pub status: u16,
    pub work: Duration,
    pub body: Vec<u8>,
    /// The request is rejected and does not run.
    pub is_rejection: bool,
    /// Bytes that the endpoint sends besides, at the point where the next response is expected.
    pub late_bytes: Vec<u8>,
}

/// A request that an endpoint began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Duration,
    pub endpoint: String,
    pub id: String,
    /// When the endpoint ended the run because its connection was closed.
    pub dropped_at: Option<Duration>,
    pub ended_at: Option<Duration>,
}

type Behaviour = dyn Fn(&str, &Message) -> Answer + Send + Sync;

pub struct Endpoint {
    inner: Arc<Inner>,
}

struct Inner {
    machine: String,
    service: String,
    zone: &'static str,
    slots: u32,
    address: SocketAddr,
    heartbeats_to: SocketAddr,
    record: Arc<Record>,
    behaviour: Arc<Behaviour>,
    runs: Arc<Mutex<Vec<Run>>>,
    state: Mutex<State>,
    is_stopped: AtomicBool,
}

#[derive(Default)]
struct State {
    id: String,
    boots: u32,
    born: u64,
    sequence: u64,
    is_up: bool,
    is_listening: bool,
    connections: Vec<TcpStream>,
}

impl Endpoint {
    /// Starts the endpoint beside a sidecar machine. Its runs are added to `runs`.
    pub fn start(
        fleet: &Fleet,
        machine: usize,
        slots: u32,
        runs: Arc<Mutex<Vec<Run>>>,
        behaviour: Arc<Behaviour>,
    ) -> io::Result<Self> {
        let m = &fleet.machines[machine];
        let inner = Arc::new(Inner {
            machine: m.name.clone(),
            service: m.service.clone(),
            zone: m.zone,
            slots,
            address: fleet.address(machine, fleet.ports.app),
            heartbeats_to: fleet.address(machine, fleet.ports.control),
            record: fleet.record.clone(),
            behaviour,
            runs,
            state: Mutex::default(),
            is_stopped: AtomicBool::new(false),
        });
        inner.boot()?;
        let beating = inner.clone();
        thread::spawn(move || {
            while !beating.is_stopped.load(Ordering::SeqCst) {
                if beating.state().is_up {
                    beating.beat();
                }
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(Self { inner })
    }
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        self.inner.is_stopped.store(true, Ordering::SeqCst);
        self.inner.shut_down();
    }
}

impl Inner {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn boot(self: &Arc<Self>) -> io::Result<()> {
        let listener = TcpListener::bind(self.address)?;
        listener.set_nonblocking(true)?;
        let mut state = self.state();
        state.boots += 1;
        let boot = state.boots;
        state.id = format!("i-{}-{boot}", self.machine);
        state.born = unix_ms();
        state.sequence = 0;
        state.is_up = true;
        state.is_listening = true;
        let id = state.id.clone();
        drop(state);
        self.record
            .add(format!("{} begins to listen at {}", id, self.address));
        let accepting = self.clone();
        thread::spawn(move || {
            accepting.accept(&listener, boot);
            drop(listener);
            accepting.state().is_listening = false;
        });
        Ok(())
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener, boot: u32) {
        loop {
            {
                let state = self.state();
                if !state.is_up || state.boots != boot {
                    return;
                }
            }
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    if let Ok(clone) = stream.try_clone() {
                        self.state().connections.push(clone);
                    }
                    let serving = self.clone();
                    thread::spawn(move || {
                        // A connection ends with an error when its peer resets it.
                        let _ = serving.serve(stream);
                    });
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => thread::sleep(POLL),
                Err(_) => thread::sleep(POLL),
            }
        }
    }

    fn serve(self: &Arc<Self>, mut stream: TcpStream) -> io::Result<()> {
        let mut reader = Reader::new(stream.try_clone()?);
        let mut late_bytes = Vec::new();
        while let Some(req) = reader.read()? {
            let own_id = self.state().id.clone();
            if req.path() == "/health" {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nX-Nutmegwheel-Instance-Id: {own_id}\r\nContent-Length: 0\r\n\r\n"
                );
                stream.write_all(head.as_bytes())?;
                continue;
            }
            let Some(id) = req.field("x-nutmegwheel-request-id").map(str::to_owned) else {
                stream.write_all(&respond(
                    400,
                    "",
                    &Answer {
                        is_rejection: true,
                        ..Answer::default()
                    },
                ))?;
                continue;
            };
            let target = req.field("x-nutmegwheel-target-instance");
            if target.is_some_and(|target| target != own_id) {
                let answer = Answer {
                    status: 421,
                    is_rejection: true,
                    ..Answer::default()
                };
                stream.write_all(&respond(421, &id, &answer))?;
                continue;
            }
            let answer = (self.behaviour)(&self.machine, &req);
            if !answer.is_rejection {
                self.begin_run(&own_id, &id, &req);
            }
            if !self.work(&stream, answer.work)? {
                self.end_run(&id, true);
                self.record
                    .add(format!("{own_id} drops {id}: its connection is closed"));
                return Ok(());
            }
            if !answer.is_rejection {
                self.end_run(&id, false);
            }
            let mut bytes = std::mem::take(&mut late_bytes);
            if !bytes.is_empty() {
                self.record
                    .add(format!("{own_id} sends {} late bytes first", bytes.len()));
            }
            bytes.extend(respond(answer.status, &id, &answer));
            late_bytes = answer.late_bytes;
            self.record
                .add(format!("{own_id} answers {id}: {}", answer.status));
            stream.write_all(&bytes)?;
        }
        Ok(())
    }

    /// Works for some time. Returns `false` if the connection is closed meanwhile.
    fn work(&self, stream: &TcpStream, time: Duration) -> io::Result<bool> {
        let end = Instant::now() + time;
        while Instant::now() < end {
            stream.set_nonblocking(true)?;
            let peeked = stream.peek(&mut [0]);
            stream.set_nonblocking(false)?;
            match peeked {
                Ok(0) => return Ok(false),
                Err(e) if e.kind() != ErrorKind::WouldBlock => return Ok(false),
                _ => thread::sleep(POLL.min(end.saturating_duration_since(Instant::now()))),
            }
        }
        Ok(true)
    }

    fn begin_run(&self, own_id: &str, id: &str, req: &Message) {
        let deadline = req
            .field("x-nutmegwheel-request-deadline-ms")
            .unwrap_or("-");
        self.record.add(format!(
            "{own_id} runs {id} ({}), {deadline} ms left",
            req.line
        ));
        let run = Run {
            at: self.record.now(),
            endpoint: own_id.to_owned(),
            id: id.to_owned(),
            dropped_at: None,
            ended_at: None,
        };
        self.runs().push(run);
    }

    fn end_run(&self, id: &str, is_dropped: bool) {
        let now = self.record.now();
        let mut runs = self.runs();
        if let Some(run) = runs.iter_mut().rev().find(|run| run.id == id) {
            run.ended_at = Some(now);
            run.dropped_at = is_dropped.then_some(now);
        }
    }

    fn runs(&self) -> MutexGuard<'_, Vec<Run>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends as a process does: nothing listens any more, and all connections are closed.
    fn shut_down(&self) {
        self.state().is_up = false;
        while self.state().is_listening {
            thread::sleep(Duration::from_micros(200));
        }
        let mut state = self.state();
        for connection in state.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Sends a heartbeat and returns the status of the response.
    fn beat(&self) -> Option<u16> {
        let mut state = self.state();
        state.sequence += 1;
        let (id, born, sequence) = (state.id.clone(), state.born, state.sequence);
        drop(state);
        let body = format!(
            r#"{{"address":"{}","born":{born},"info":{{"service":"{}","version":"v1","zone":"{}","slots":{}}},"status":{{"state":"ready","sequence":{sequence},"cold_remaining_ms":0}}}}"#,
            self.address, self.service, self.zone, self.slots
        );
        let req = http::json_request("PUT", &format!("/-/instances/{id}"), &body);
        let res = http::call(self.heartbeats_to, &req, Duration::from_secs(1));
        res.ok().map(|res| res.status())
    }
}

/// Writes a response of an endpoint.
pub fn respond(status: u16, id: &str, answer: &Answer) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        421 => "Misdirected Request",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        _ => "Other",
    };
    let mut head = format!("HTTP/1.1 {status} {reason}\r\n");
    if answer.is_rejection {
        head += "X-Nutmegwheel-Not-Executed: 1\r\n";
    } else {
        head += &format!("X-Nutmegwheel-Server-Seal: {}\r\n", seal(id));
    }
    head += "Content-Type: application/octet-stream\r\n";
    head += &format!("X-Nutmegwheel-Request-Id: {id}\r\n");
    head += &format!("Content-Length: {}\r\n\r\n", answer.body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(&answer.body);
    bytes
}

/// The seal of the answer to a request.
pub fn seal(id: &str) -> String {
    format!("3e1b.07.5a2.600.0.{id}")
}
