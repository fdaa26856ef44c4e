//! Clients that pipeline safe requests read their answers slowly.

use std::{
    io::{self, Read as _, Write as _},
    net::TcpStream,
    path::{Path, PathBuf},
    process::ExitCode,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use review_stand_in::{
    endpoint::{Behaviour, Endpoint, Exchange},
    fleet::{Fleet, KEY, Plan, desired_state, route},
    http::{self, Message, response},
    record::Record,
    trouble,
};

/// The memory of a machine's process in the site files, in MiB.
const MEMORY_MB: u64 = 260;
/// The clients of a machine; the site file has 30 in each zone.
const CLIENTS: u64 = 30;
/// The requests that a client sends before the first is answered.
const PIPELINED: u64 = 16;
const ANSWER_BYTES: usize = 800 * 1000;
/// The time from one round of a client to the next.
const ROUND: Duration = Duration::from_secs(10);
const WORK: Duration = Duration::from_millis(40);
const DEADLINE: Duration = Duration::from_secs(8);
const RUN: Duration = Duration::from_secs(75);

struct Server {
    body: Vec<u8>,
    served: AtomicU64,
}

impl Behaviour for Server {
    fn handle(&self, cx: &mut Exchange<'_>, req: Message) -> io::Result<()> {
        let id = req.field("x-nutmegwheel-request-id").unwrap_or_default().to_owned();
        thread::sleep(WORK);
        self.served.fetch_add(1, Ordering::SeqCst);
        let seal = cx.endpoint.seal();
        let fields = [("X-Nutmegwheel-Request-Id", id.as_str()), ("X-Nutmegwheel-Server-Seal", seal.as_str())];
        cx.connection.send(&response(200, &fields, &self.body))
    }
}

/// One client: sends its requests on a new connection, reads, and leaves at its time budget.
/// Returns the number of bytes that it read.
fn client(to: std::net::SocketAddr, name: &str) -> u64 {
    let Ok(mut stream) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else {
        return 0;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(200)));
    for n in 0..PIPELINED {
        let id = format!("{name}-{n}");
        let fields = [
            ("Host", "view.example"),
            ("X-Nutmegwheel-Request-Id", id.as_str()),
            ("X-Nutmegwheel-Request-Deadline-Ms", "8000"),
            ("Authorization", KEY),
        ];
        if stream.write_all(&http::request("GET", "/view/x", &fields, b"")).is_err() {
            return 0;
        }
    }
    let expected = PIPELINED * ANSWER_BYTES as u64;
    let end = Instant::now() + DEADLINE;
    let mut total = 0;
    let mut chunk = vec![0; 256 * 1024];
    while Instant::now() < end && total < expected {
        let room = if trouble() { 16 * 1024 } else { chunk.len() };
        match stream.read(&mut chunk[..room]) {
            Ok(0) => return total,
            Ok(n) => total += n as u64,
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
            Err(_) => return total,
        }
        if trouble() {
            thread::sleep(Duration::from_millis(100));
        }
    }
    total
}

fn run(root: &Path, folder: &Path) -> io::Result<bool> {
    let record = Record::open(folder)?;
    let zones = ["zone-a", "zone-b", "zone-c"].map(str::to_owned);
    let plan = Plan {
        zones: zones.to_vec(),
        nodes: zones.iter().map(|zone| (zone.clone(), "portal".to_owned())).collect(),
        memory_mb: MEMORY_MB,
    };
    let mut fleet = Fleet::start(root, plan, &record)?;
    let server = Arc::new(Server {
        body: vec![b'x'; ANSWER_BYTES],
        served: AtomicU64::new(0),
    });
    let mut endpoints = Vec::new();
    for (n, node) in fleet.nodes.clone().iter().enumerate() {
        let endpoint = Endpoint::boot(&format!("i-{n}"), node, 41, server.clone())?;
        endpoint.start_heartbeats();
        endpoints.push(endpoint);
    }
    let routes = [route("view", "view.example", "safe", "portal", 2, 8000)];
    fleet.publish(&desired_state(1, 0, &routes, &["portal"]))?;
    fleet.await_ready()?;
    thread::sleep(Duration::from_secs(2));

    let nodes = fleet.nodes.clone();
    let mut kills = vec![0_u32; 2];
    let mut peaks = vec![0_u64; 2];
    let stop = AtomicBool::new(false);
    let read = Mutex::new(0_u64);
    thread::scope(|scope| -> io::Result<()> {
        for node in nodes.iter().take(2) {
            for c in 0..CLIENTS {
                let (stop, read, record) = (&stop, &read, &record);
                scope.spawn(move || {
                    // The clients do not begin at the same moment.
                    thread::sleep(ROUND / 2 * u32::try_from(c).unwrap_or(0) / 30);
                    for round in 0.. {
                        let began = Instant::now();
                        if stop.load(Ordering::SeqCst) {
                            return;
                        }
                        let name = format!("{}-{c}-{round}", node.name);
                        let bytes = client(node.outbound(), &name);
                        record.line(format!("client {name}: {PIPELINED} requests sent, {bytes} bytes read"));
                        *read.lock().expect("read") += bytes;
                        while began.elapsed() < ROUND && !stop.load(Ordering::SeqCst) {
                            thread::sleep(Duration::from_millis(50));
                        }
                    }
                });
            }
        }
        let end = Instant::now() + RUN;
        while Instant::now() < end && !kills.iter().all(|n| *n >= 3) {
            thread::sleep(Duration::from_millis(20));
            for (n, node) in nodes.iter().take(2).enumerate() {
                let now = fleet.memory_kb(&node.name, "VmRSS");
                peaks[n] = peaks[n].max(now);
                if now > MEMORY_MB * 1024 {
                    kills[n] += 1;
                    record.say(format!("{}: {now} kB, over its {MEMORY_MB} MiB: the platform kills it", node.name));
                    fleet.kill(&node.name);
                    thread::sleep(Duration::from_millis(300));
                    if let Err(e) = fleet.launch(node, false) {
                        stop.store(true, Ordering::SeqCst);
                        return Err(e);
                    }
                }
                if fleet.has_ended(&node.name) {
                    kills[n] += 1;
                    record.say(format!("{} has ended by itself", node.name));
                    fleet.launch(node, false)?;
                }
            }
        }
        stop.store(true, Ordering::SeqCst);
        Ok(())
    })?;
    let served = server.served.load(Ordering::SeqCst);
    record.say(format!("answers of the endpoints: {served}; bytes read: {}", read.lock().expect("read")));
    record.say(format!("peak memory: {peaks:?} kB; ended: {kills:?} times"));
    Ok(kills.iter().all(|n| *n >= 3))
}

fn main() -> ExitCode {
    let args: Vec<PathBuf> = std::env::args_os().skip(1).map(Into::into).collect();
    match run(&args[0], &args[1]) {
        Ok(true) => ExitCode::from(1),
        Ok(false) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Err(e) => {
            println!("the case could not run: {e}");
            ExitCode::from(2)
        }
    }
}
