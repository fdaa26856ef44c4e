//! A fleet with backend servers, a configuration and a key, as the process tests need it.
#![allow(dead_code)]

use std::{
    sync::Mutex,
    time::{Duration, Instant},
};

use nutmegwheel_support::{
    Answer, Backend, BackendOptions, Behaviour, Fleet, FleetOptions, Ledger,
};

/// The header field with the key of the workspace `vidzeme`.
pub(crate) const KEY: &str = "Bearer key-of-vidzeme-000001";
/// The key itself.
pub(crate) const KEY_TEXT: &str = "key-of-vidzeme-000001";
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
    "dispatch": {"bill": {"class": "crews", "non_idempotent": true}, "*": {"class": "crews"}},
    "shiftbook": {"*": {"class": "reports"}}
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
        let fleet = Fleet::start(FleetOptions {
            program: env!("CARGO_BIN_EXE_nutmegwheel").into(),
            data_centres: data_centres.to_vec(),
            control_vms,
        });
        let setup = Self {
            fleet: fleet.await.expect("the fleet starts"),
            ledger: Ledger::default(),
            backends: Mutex::default(),
        };
        setup.change(1, CONFIGURATION).await;
        setup.give_key(2, "vidzeme", KEY_TEXT).await;
        setup.fleet.ready().await.expect("every node serves");
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
        let answer = self.fleet.operate("PUT", &path, body).await;
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
                let status = self.fleet.operate_at(at, "GET", "/v1/status", "").await;
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
        let mut behaviour = Behaviour::default();
        behave(&mut behaviour);
        let vm = self
            .fleet
            .nodes
            .iter()
            .find(|process| process.vm.name == node);
        let opts = BackendOptions {
            name: format!("{service}@{node}"),
            service: service.to_owned(),
            slots: 16,
            node: vm.expect("a node of that name").vm.backend,
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
                    let status = self.fleet.operate_at(at, "GET", "/v1/status", "").await;
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
        let vm = self
            .fleet
            .nodes
            .iter()
            .find(|process| process.vm.name == node);
        let at = vm.expect("a node of that name").vm.callers;
        let answer = self
            .fleet
            .caller
            .call("POST", at, path, fields, body.to_owned())
            .await;
        answer.expect("the door answers")
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
