//! The fixture of the process tests: a fleet with backend servers, a configuration and a key.
#![allow(dead_code)]

use std::{
    sync::Mutex,
    time::{Duration, Instant},
};

use nutmegwheel_support::{
    Answer, Backend, BackendOptions, Behaviour, Fleet, FleetOptions, Ledger, Vm,
};
use tokio::task::JoinHandle;

/// The `authorization` field with the key of the workspace `vidzeme`.
pub(crate) const KEY: &str = "Bearer key-of-vidzeme-000001";
/// The key of the workspace `vidzeme`.
pub(crate) const KEY_TEXT: &str = "key-of-vidzeme-000001";
/// The default number of slots of a backend server.
const SLOTS: u16 = 16;
/// The time within which every node must apply a committed change.
pub(crate) const PROPAGATION_LIMIT: Duration = Duration::from_secs(5);

/// The configuration that the fixture commits.
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

/// A running fleet with its backend servers and the ledger of their runs.
pub(crate) struct Setup {
    pub(crate) fleet: Fleet,
    pub(crate) ledger: Ledger,
    pub(crate) backends: Mutex<Vec<Backend>>,
}

impl Setup {
    /// Starts a fleet, commits the configuration and a key, and waits until every node serves.
    pub(crate) async fn start(data_centres: &[(&'static str, usize)], control_vms: usize) -> Self {
        Self::start_with(data_centres, control_vms, false).await
    }

    /// Starts a fleet as [`Setup::start`] does, with a relay in front of every `link` listener.
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
        setup.commit_change(1, CONFIGURATION).await;
        setup.give_key(2, "vidzeme", KEY_TEXT).await;
        setup
            .fleet
            .wait_until_ready()
            .await
            .expect("every node serves");
        setup.wait_for_version(2).await;
        setup.wait_for_tokens().await;
        setup
    }

    /// Waits until every ingress node obtains tokens for the workspace `vidzeme`: a request that
    /// fails for lack of a backend server has passed the rate limit.
    async fn wait_for_tokens(&self) {
        for node in &self.fleet.nodes {
            self.wait_until("every ingress node obtains tokens", async || {
                let name = &node.vm.name;
                let answer = self.call(name, "/shiftbook/probe", &[("authorization", KEY)], "");
                answer.await.reason() == "no-backend-server"
            })
            .await;
        }
    }

    /// Commits a change through the first control VM and fails the test if that is refused.
    pub(crate) async fn commit_change(&self, number: u64, body: &str) -> Answer {
        let path = format!("/v1/changes/{number}");
        let answer = self.fleet.send_as_operator("PUT", &path, body).await;
        let answer = answer.expect("a control VM answers");
        assert_eq!(answer.status, 200, "{}", answer.text());
        answer
    }

    /// Commits a key for a workspace.
    pub(crate) async fn give_key(&self, number: u64, workspace: &str, key: &str) {
        let body = nutmegwheel_ctl::change::give_key(workspace, key);
        self.commit_change(number, &body).await;
    }

    /// Waits until every node has applied this configuration version or a newer one.
    pub(crate) async fn wait_for_version(&self, version: u64) {
        for node in &self.fleet.nodes {
            self.wait_until("the version is everywhere", async || {
                let at = node.vm.platform;
                let status = self
                    .fleet
                    .send_as_operator_to(at, "GET", "/v1/status", "")
                    .await;
                let reported = status.map(|status| status.json()["version"].as_u64());
                reported.is_ok_and(|reported| reported >= Some(version))
            })
            .await;
        }
    }

    /// Starts a backend server on the VM of a node.
    pub(crate) async fn start_backend(
        &self,
        node: &str,
        service: &str,
        configure: impl FnOnce(&mut Behaviour),
    ) -> std::net::SocketAddr {
        self.start_backend_with_slots(node, service, SLOTS, configure)
            .await
    }

    /// Starts a backend server with this many slots on the VM of a node.
    pub(crate) async fn start_backend_with_slots(
        &self,
        node: &str,
        service: &str,
        slots: u16,
        configure: impl FnOnce(&mut Behaviour),
    ) -> std::net::SocketAddr {
        let mut behaviour = Behaviour::default();
        configure(&mut behaviour);
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

    /// Waits until every node knows an announced backend server of each service.
    pub(crate) async fn wait_for_services(&self, services: &[&str]) {
        for node in &self.fleet.nodes {
            for service in services {
                self.wait_until("the announcements are everywhere", async || {
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

    /// Sends a request to the `callers` listener of a node.
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
        answer.expect("the ingress node answers")
    }

    /// Sends a request with the key of `vidzeme` to the `callers` listener of a node.
    pub(crate) async fn call_with_key(&self, node: &str, path: &str, body: &str) -> Answer {
        self.call(node, path, &[("authorization", KEY)], body).await
    }

    /// Sends a request with the key of `vidzeme` in a separate task.
    pub(crate) fn spawn_call(&self, node: &str, path: &str, body: &str) -> JoinHandle<Answer> {
        let (caller, at) = (self.fleet.caller.clone(), self.vm(node).callers);
        let (path, body) = (path.to_owned(), body.to_owned());
        tokio::spawn(async move {
            let fields = [("authorization", KEY)];
            let answer = caller.call("POST", at, &path, &fields, body).await;
            answer.expect("the ingress node answers")
        })
    }

    /// Returns the VM of the process with this name.
    pub(crate) fn vm(&self, node: &str) -> &Vm {
        let mut all = self.fleet.nodes.iter().chain(&self.fleet.control);
        let process = all.find(|process| process.vm.name == node);
        &process.expect("a process of that name").vm
    }

    /// Calls `work` with the latest backend server of this name, which is `SERVICE@NODE`.
    pub(crate) fn with_backend<T>(&self, name: &str, work: impl FnOnce(&Backend) -> T) -> T {
        let backends = self.backends.lock().unwrap();
        let mut named = backends.iter().rev();
        work(named.find(|backend| backend.name() == name).expect(name))
    }

    /// Calls `work` with each backend server.
    pub(crate) fn with_each_backend(&self, work: impl Fn(&Backend)) {
        self.backends.lock().unwrap().iter().for_each(work);
    }

    /// Returns the number of backend servers that were killed or have crashed.
    pub(crate) fn crash_count(&self) -> usize {
        let backends = self.backends.lock().unwrap();
        backends
            .iter()
            .filter(|backend| backend.is_stopped())
            .count()
    }

    /// Sends a signal to the process with this name.
    pub(crate) fn signal(&self, name: &str, signal: &str) {
        let mut all = self.fleet.control.iter().chain(&self.fleet.nodes);
        let process = all.find(|process| process.vm.name == name);
        process.expect("a process of that name").signal(signal);
    }

    /// Waits until at least `times` runs of a path have started, and returns the backend server of
    /// the last one.
    pub(crate) async fn wait_for_run(&self, path: &str, times: usize) -> String {
        self.wait_until("the request starts to run", async || {
            self.ledger.count(path) >= times
        })
        .await;
        let runs = self.ledger.runs();
        let last = runs.into_iter().rfind(|run| run.path == path);
        last.expect("a run").backend
    }

    /// Waits until every node knows a ready backend server at each of these nodes.
    pub(crate) async fn wait_for_backends(&self, nodes: &[&str]) {
        for at in &self.fleet.nodes {
            for node in nodes {
                self.wait_until("the announcement is everywhere", async || {
                    self.member_status(&at.vm, node).await["backend"]["state"] == "ready"
                })
                .await;
            }
        }
    }

    /// Waits until a node reports that it is ready. After a freeze it contacts its seeds first.
    pub(crate) async fn wait_until_serving(&self, node: &str) {
        let at = self.vm(node).platform;
        self.wait_until("the node is ready", async || {
            let answer = self.fleet.caller.call("GET", at, "/readyz", &[], "");
            answer.await.is_ok_and(|answer| answer.status == 200)
        })
        .await;
    }

    /// Returns the number of requests queued at a node for its backend server.
    pub(crate) async fn queue_length(&self, node: &str) -> u64 {
        let at = self.vm(node).platform;
        let status = self
            .fleet
            .send_as_operator_to(at, "GET", "/v1/status", "")
            .await;
        let status = status.map(|answer| answer.json()).unwrap_or_default();
        status["waiting"].as_u64().unwrap_or_default()
    }

    /// Returns the entry of a process in the member list of one VM, or null.
    pub(crate) async fn member_status(&self, at: &Vm, name: &str) -> serde_json::Value {
        let status = self
            .fleet
            .send_as_operator_to(at.platform, "GET", "/v1/status", "");
        let status = status.await.map(|answer| answer.json()).unwrap_or_default();
        let members = status["members"].as_array().cloned().unwrap_or_default();
        let mut named = members.into_iter().filter(|member| member["name"] == name);
        named.next().unwrap_or_default()
    }

    /// Waits until a condition holds and fails the test after four times the propagation limit.
    pub(crate) async fn wait_until(&self, what: &str, condition: impl AsyncFn() -> bool) {
        let deadline = Instant::now() + 4 * PROPAGATION_LIMIT;
        while !condition().await {
            assert!(Instant::now() < deadline, "timed out waiting until {what}");
            tokio::time::sleep(Duration::from_millis(25)).await;
        }
    }
}

/// A persistent connection of a caller, which carries one request after the other.
pub(crate) struct KeepAliveConnection {
    stream: tokio::io::BufReader<tokio::net::TcpStream>,
}

impl KeepAliveConnection {
    pub(crate) async fn open(at: std::net::SocketAddr) -> Self {
        let stream = tokio::net::TcpStream::connect(at).await;
        Self {
            stream: tokio::io::BufReader::new(
                stream.expect("the ingress node accepts the connection"),
            ),
        }
    }

    /// Sends a complete request, reads the complete response and returns its head.
    pub(crate) async fn exchange(&mut self, request: &str) -> String {
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
        read.expect("the complete response");
        head
    }
}
