//! A fleet with backend servers, a configuration and a key, as the process tests need it.
#![allow(dead_code)]

use std::{
    sync::Mutex,
    time::{Duration, Instant},
};

use nutmegwheel_support::{
    Answer, Backend, BackendOptions, Behaviour, Fleet, FleetOptions, Ledger, Vm,
};
use tokio::task::JoinHandle;

/// The header field with the key of the workspace `vidzeme`.
pub(crate) const KEY: &str = "Bearer key-of-vidzeme-000001";
/// The key itself.
pub(crate) const KEY_TEXT: &str = "key-of-vidzeme-000001";
/// The slots of a backend server that needs no other number.
const SLOTS: u16 = 16;
/// The time in which a change must be in force everywhere.
pub(crate) const IN_FORCE: Duration = Duration::from_secs(5);

/// The configuration of the process tests.
pub(crate) const CONFIGURATION: &str = r#"{"configure": {
  "classes": {
    "crews": {"rank": 0, "finish": 0.999, "within_ms": 5000},
    "reports": {"rank": 2, "finish": 0.9, "within_ms": 5000}
  },
  "services": {
    "tally-portal": {"health": {"class": "reports", "open": true}, "*": {"class": "crews"}},
    "dispatch": {"bill": {"class": "crews", "non_idempotent": true},
                 "report": {"class": "reports"}, "*": {"class": "crews"}},
    "shiftbook": {"*": {"class": "reports"}},
    "intake": {"*": {"class": "crews"}}
  },
  "workspaces": {"vidzeme": {"rate": 5000.0, "burst": 5000}, "zemgale": {"rate": 10.0, "burst": 5}}
}}"#;

/// A running fleet with what stands around it.
pub(crate) struct Setup {
    pub(crate) fleet: Fleet,
    pub(crate) ledger: Ledger,
    pub(crate) backends: Mutex<Vec<Backend>>,
}

impl Setup {
    /// Starts a fleet, gives it the configuration and a key, and waits until every node serves.
    pub(crate) async fn start(data_centres: &[(&'static str, usize)], control_vms: usize) -> Self {
        Self::start_with(data_centres, control_vms, false).await
    }

    /// Does the same with a relay in front of every process.
    pub(crate) async fn start_relayed(
        data_centres: &[(&'static str, usize)],
        control_vms: usize,
    ) -> Self {
        Self::start_with(data_centres, control_vms, true).await
    }

    async fn start_with(
        data_centres: &[(&'static str, usize)],
        control_vms: usize,
        relayed: bool,
    ) -> Self {
        let fleet = Fleet::start(FleetOptions {
            program: env!("CARGO_BIN_EXE_nutmegwheel").into(),
            data_centres: data_centres.to_vec(),
            control_vms,
            relayed,
        });
        let setup = Self {
            fleet: fleet.await.expect("the fleet starts"),
            ledger: Ledger::default(),
            backends: Mutex::default(),
        };
        setup.change(1, CONFIGURATION).await;
        setup.give_key(2, "vidzeme", KEY_TEXT).await;
        setup
            .fleet
            .wait_until_ready()
            .await
            .expect("every node serves");
        setup.version_everywhere(2).await;
        setup.tokens_everywhere().await;
        setup
    }

    /// Waits until every door gets tokens for the workspace `vidzeme`: a request that finds no
    /// backend server has passed the rate.
    async fn tokens_everywhere(&self) {
        for node in &self.fleet.nodes {
            self.until("every door gets tokens", async || {
                let name = &node.vm.name;
                let answer = self.call(name, "/shiftbook/probe", &[("authorization", KEY)], "");
                answer.await.reason() == "no-backend-server"
            })
            .await;
        }
    }

    /// Commits a change and fails the test when it is not.
    pub(crate) async fn change(&self, number: u64, body: &str) -> Answer {
        let path = format!("/v1/changes/{number}");
        let answer = self.fleet.send_as_operator("PUT", &path, body).await;
        let answer = answer.expect("a control VM answers");
        assert_eq!(answer.status, 200, "{}", answer.text());
        answer
    }

    /// Gives a key to a workspace.
    pub(crate) async fn give_key(&self, number: u64, workspace: &str, key: &str) {
        let body = nutmegwheel_ctl::change::give_key(workspace, key);
        self.change(number, &body).await;
    }

    /// Waits until every node holds this version or a newer one.
    pub(crate) async fn version_everywhere(&self, version: u64) {
        for node in &self.fleet.nodes {
            self.until("the version is everywhere", async || {
                let at = node.vm.platform;
                let status = self
                    .fleet
                    .send_as_operator_to(at, "GET", "/v1/status", "")
                    .await;
                let held = status.map(|status| status.json()["version"].as_u64());
                held.is_ok_and(|held| held >= Some(version))
            })
            .await;
        }
    }

    /// Starts a backend server beside a node.
    pub(crate) async fn backend(
        &self,
        node: &str,
        service: &str,
        behave: impl FnOnce(&mut Behaviour),
    ) -> std::net::SocketAddr {
        self.backend_of(node, service, SLOTS, behave).await
    }

    /// Starts a backend server with this many slots beside a node.
    pub(crate) async fn backend_of(
        &self,
        node: &str,
        service: &str,
        slots: u16,
        behave: impl FnOnce(&mut Behaviour),
    ) -> std::net::SocketAddr {
        let mut behaviour = Behaviour::default();
        behave(&mut behaviour);
        let opts = BackendOptions {
            name: format!("{service}@{node}"),
            service: service.to_owned(),
            slots,
            node: self.vm(node).backend,
        };
        let backend = Backend::spawn(opts, behaviour, self.ledger.clone()).await;
        let backend = backend.expect("a backend server starts");
        let address = backend.address();
        self.backends.lock().unwrap().push(backend);
        address
    }

    /// Waits until every node has heard of a ready backend server of each service.
    pub(crate) async fn serving(&self, services: &[&str]) {
        for node in &self.fleet.nodes {
            for service in services {
                self.until("the announcements are everywhere", async || {
                    let at = node.vm.platform;
                    let status = self
                        .fleet
                        .send_as_operator_to(at, "GET", "/v1/status", "")
                        .await;
                    status.is_ok_and(|status| {
                        let text = status.text();
                        text.contains(&format!("\"service\":\"{service}\""))
                    })
                })
                .await;
            }
        }
    }

    /// Calls the door of a node.
    pub(crate) async fn call(
        &self,
        node: &str,
        path: &str,
        fields: &[(&str, &str)],
        body: &str,
    ) -> Answer {
        let at = self.vm(node).callers;
        let answer = self
            .fleet
            .caller
            .call("POST", at, path, fields, body.to_owned())
            .await;
        answer.expect("the door answers")
    }

    /// Calls the door of a node with the key of `vidzeme`.
    pub(crate) async fn ask(&self, node: &str, path: &str, body: &str) -> Answer {
        self.call(node, path, &[("authorization", KEY)], body).await
    }

    /// Calls the door of a node with the key of `vidzeme` beside what the test goes on to do.
    pub(crate) fn spawn_ask(&self, node: &str, path: &str, body: &str) -> JoinHandle<Answer> {
        let (caller, at) = (self.fleet.caller.clone(), self.vm(node).callers);
        let (path, body) = (path.to_owned(), body.to_owned());
        tokio::spawn(async move {
            let fields = [("authorization", KEY)];
            let answer = caller.call("POST", at, &path, &fields, body).await;
            answer.expect("the door answers")
        })
    }

    /// The VM of a process.
    pub(crate) fn vm(&self, node: &str) -> &Vm {
        let mut all = self.fleet.nodes.iter().chain(&self.fleet.control);
        let process = all.find(|process| process.vm.name == node);
        &process.expect("a process of that name").vm
    }

    /// Does something with the backend server of that name, which is `SERVICE@NODE`.
    pub(crate) fn with_backend<T>(&self, name: &str, work: impl FnOnce(&Backend) -> T) -> T {
        let backends = self.backends.lock().unwrap();
        let mut named = backends.iter().rev();
        work(named.find(|backend| backend.name() == name).expect(name))
    }

    /// Does something with each backend server.
    pub(crate) fn with_each_backend(&self, work: impl Fn(&Backend)) {
        self.backends.lock().unwrap().iter().for_each(work);
    }

    /// How many backend servers were killed or died.
    pub(crate) fn deaths(&self) -> usize {
        let backends = self.backends.lock().unwrap();
        backends
            .iter()
            .filter(|backend| backend.is_stopped())
            .count()
    }

    /// Sends a signal to the process of that name.
    pub(crate) fn signal(&self, name: &str, signal: &str) {
        let mut all = self.fleet.control.iter().chain(&self.fleet.nodes);
        let process = all.find(|process| process.vm.name == name);
        process.expect("a process of that name").signal(signal);
    }

    /// Waits until a path has been begun this often and returns where it was begun last.
    pub(crate) async fn begun(&self, path: &str, times: usize) -> String {
        self.until("the request begins", async || {
            self.ledger.count(path) >= times
        })
        .await;
        let runs = self.ledger.runs();
        let last = runs.into_iter().rfind(|run| run.path == path);
        last.expect("a run").backend
    }

    /// Waits until every node has heard of a ready backend server beside each of these nodes.
    pub(crate) async fn ready_at(&self, nodes: &[&str]) {
        for at in &self.fleet.nodes {
            for node in nodes {
                self.until("the announcement is everywhere", async || {
                    self.seen(&at.vm, node).await["backend"]["state"] == "ready"
                })
                .await;
            }
        }
    }

    /// Waits until a node says that it serves, as after a freeze it first asks its seeds.
    pub(crate) async fn door_serves(&self, node: &str) {
        let at = self.vm(node).platform;
        self.until("the door serves", async || {
            let answer = self.fleet.caller.call("GET", at, "/readyz", &[], "");
            answer.await.is_ok_and(|answer| answer.status == 200)
        })
        .await;
    }

    /// How many requests wait in front of a node's backend server.
    pub(crate) async fn waiting_at(&self, node: &str) -> u64 {
        let at = self.vm(node).platform;
        let status = self
            .fleet
            .send_as_operator_to(at, "GET", "/v1/status", "")
            .await;
        let status = status.map(|answer| answer.json()).unwrap_or_default();
        status["waiting"].as_u64().unwrap_or_default()
    }

    /// What one VM knows of a process.
    pub(crate) async fn seen(&self, at: &Vm, name: &str) -> serde_json::Value {
        let status = self
            .fleet
            .send_as_operator_to(at.platform, "GET", "/v1/status", "");
        let status = status.await.map(|answer| answer.json()).unwrap_or_default();
        let members = status["members"].as_array().cloned().unwrap_or_default();
        let mut named = members.into_iter().filter(|member| member["name"] == name);
        named.next().unwrap_or_default()
    }

    /// Waits until a condition holds, for as long as a change may take to be in force.
    pub(crate) async fn until(&self, what: &str, holds: impl AsyncFn() -> bool) {
        let end = Instant::now() + 4 * IN_FORCE;
        while !holds().await {
            assert!(Instant::now() < end, "not in time: {what}");
            tokio::time::sleep(Duration::from_millis(25)).await;
        }
    }
}

/// A caller's connection that is used for one request after the other.
pub(crate) struct KeptAlive {
    stream: tokio::io::BufReader<tokio::net::TcpStream>,
}

impl KeptAlive {
    pub(crate) async fn open(at: std::net::SocketAddr) -> Self {
        let stream = tokio::net::TcpStream::connect(at).await;
        Self {
            stream: tokio::io::BufReader::new(stream.expect("the door is open")),
        }
    }

    /// Sends a whole request and reads one whole answer, of which it returns the head.
    pub(crate) async fn ask(&mut self, request: &str) -> String {
        use tokio::io::{AsyncBufReadExt as _, AsyncReadExt as _, AsyncWriteExt as _};
        let sent = self.stream.get_mut().write_all(request.as_bytes()).await;
        sent.expect("the connection is open");
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            let read = self.stream.read_line(&mut head).await;
            assert!(read.is_ok_and(|bytes| bytes > 0), "closed after {head:?}");
        }
        let lower = head.to_ascii_lowercase();
        let length = lower.split("content-length: ").nth(1);
        let length = length.and_then(|rest| rest.split('\r').next()?.parse().ok());
        let mut body = vec![0; length.unwrap_or(0)];
        let read = self.stream.read_exact(&mut body).await;
        read.expect("the whole answer");
        head
    }
}
