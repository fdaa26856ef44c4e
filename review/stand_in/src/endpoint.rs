//! An application endpoint: it accepts connections and sends heartbeats to its node.

use std::{
    io,
    net::{Shutdown, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    fleet::{HEARTBEAT, Machine},
    http::{self, Connection, Message},
    unix_ms,
};

/// What an endpoint does with the requests of a connection.
pub trait Behaviour: Send + Sync + 'static {
    /// Handles a request. Returning an error closes the connection.
    fn handle(&self, cx: &mut Exchange<'_>, req: Message) -> io::Result<()>;
}

/// A connection on which a request has arrived.
pub struct Exchange<'a> {
    pub endpoint: &'a Endpoint,
    pub connection: &'a mut Connection,
    /// The number of the connection at this endpoint.
    pub number: u64,
    /// Bytes that the behaviour keeps for the connection.
    pub kept: &'a mut Option<Vec<u8>>,
}

/// One boot of an endpoint.
pub struct Endpoint {
    pub id: String,
    pub born: u64,
    pub machine: Machine,
    pub slots: u16,
    sequence: AtomicU64,
    connections: AtomicU64,
    stopped: AtomicBool,
    closed: AtomicBool,
    pub state: Mutex<&'static str>,
    open: Mutex<Vec<TcpStream>>,
}

impl Endpoint {
    /// Boots an endpoint that listens at once.
    pub fn boot(
        id: &str,
        machine: &Machine,
        slots: u16,
        behaviour: Arc<dyn Behaviour>,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(machine.app())?;
        let endpoint = Arc::new(Self {
            id: id.into(),
            born: unix_ms(),
            machine: machine.clone(),
            slots,
            sequence: AtomicU64::new(0),
            connections: AtomicU64::new(0),
            stopped: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            state: Mutex::new("ready"),
            open: Mutex::default(),
        });
        let this = endpoint.clone();
        listener.set_nonblocking(true)?;
        thread::spawn(move || {
            while !this.stopped.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => this.clone().serve(stream, behaviour.clone()),
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
            drop(listener);
            this.closed.store(true, Ordering::SeqCst);
        });
        Ok(endpoint)
    }

    fn serve(self: Arc<Self>, stream: TcpStream, behaviour: Arc<dyn Behaviour>) {
        let _ = stream.set_nonblocking(false);
        if let Ok(copy) = stream.try_clone() {
            self.open.lock().expect("connections").push(copy);
        }
        thread::spawn(move || {
            let number = self.connections.fetch_add(1, Ordering::SeqCst) + 1;
            let mut connection = Connection::accepted(stream);
            let mut kept = None;
            while let Ok(Some(req)) = connection.read() {
                let mut cx = Exchange {
                    endpoint: &self,
                    connection: &mut connection,
                    number,
                    kept: &mut kept,
                };
                if self.stopped.load(Ordering::SeqCst) || behaviour.handle(&mut cx, req).is_err() {
                    break;
                }
            }
            let _ = connection.stream.shutdown(Shutdown::Both);
        });
    }

    /// Sends heartbeats from now on, until the endpoint ends.
    pub fn start_heartbeats(self: &Arc<Self>) {
        let this = self.clone();
        thread::spawn(move || {
            while !this.stopped.load(Ordering::SeqCst) {
                let _ = this.heartbeat();
                thread::sleep(HEARTBEAT);
            }
        });
    }

    /// Sends a heartbeat and returns the status of its answer.
    pub fn heartbeat(&self) -> io::Result<u16> {
        let body = self.next_heartbeat();
        self.deliver(&body)
    }

    /// Writes the next heartbeat without sending it.
    pub fn next_heartbeat(&self) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let state = *self.state.lock().expect("state");
        let Machine { zone, service, .. } = &self.machine;
        let service = service.as_deref().unwrap_or_default();
        format!(
            r#"{{"born":{},"address":"{}","info":{{"service":"{service}","version":"v1","zone":"{zone}","slots":{}}},"status":{{"state":"{state}","sequence":{sequence},"cold_remaining_ms":0}}}}"#,
            self.born,
            self.machine.app(),
            self.slots
        )
    }

    pub fn deliver(&self, body: &str) -> io::Result<u16> {
        self.call("PUT", body)
    }

    /// Says that the endpoint has left.
    pub fn deregister(&self) -> io::Result<u16> {
        self.call("DELETE", &format!(r#"{{"born":{}}}"#, self.born))
    }

    fn call(&self, method: &str, body: &str) -> io::Result<u16> {
        let path = format!("/-/instances/{}", self.id);
        let fields = [("Host", "control"), ("Content-Type", "application/json")];
        let (to, timeout) = (self.machine.control(), Duration::from_secs(1));
        let answer = http::call(to, method, &path, &fields, body.as_bytes(), timeout)?;
        Ok(answer.status())
    }

    /// Ends this boot: closes the listener and then all connections.
    pub fn end(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        // The listener is closed by its thread.
        while !self.closed.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(1));
        }
        for stream in self.open.lock().expect("connections").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// A digest that no other boot gives.
    pub fn seal(&self) -> String {
        format!("{}.{}", self.id, self.born)
    }
}
