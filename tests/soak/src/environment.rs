//! The fleet under test, with its configuration, keys and backend servers.

use std::{
    collections::HashMap,
    path::PathBuf,
    time::{Duration, Instant},
};

use nutmegwheel_support::{
    Backend, BackendOptions, Behaviour, Caller, Fleet, FleetOptions, Ledger, Vm,
};

use crate::plan::FleetShape;

/// The `authorization` field of the workspace whose rate limit is too high to matter.
pub(crate) const KEY: &str = "Bearer key-of-vidzeme-000001";
/// The `authorization` field of the workspace that is limited to [`RATE`] and [`BURST`].
pub(crate) const LIMITED_KEY: &str = "Bearer key-of-zemgale-000001";
/// The `authorization` field with the key that is withdrawn in the middle of the run.
pub(crate) const WITHDRAWN_KEY: &str = "Bearer key-of-kurzeme-000001";
/// The rate of the limited workspace, in requests per second.
pub(crate) const RATE: u32 = 10;
/// The burst of the limited workspace, in requests.
pub(crate) const BURST: u32 = 5;
/// The path of idempotent requests; each makes one downstream call.
pub(crate) const READ: &str = "/tally-portal/count";
/// The path of non-idempotent requests, which make no downstream call.
pub(crate) const BILL: &str = "/dispatch/bill";
/// The number of the first change that [`crate::operators`] makes.
pub(crate) const FIRST_CHANGE: u64 = 100;
/// The services, assigned to the nodes round-robin.
const SERVICES: [&str; 3] = ["tally-portal", "dispatch", "shiftbook"];
/// The workspaces and their keys, in the order of the changes that commit these keys.
const KEYS: [(&str, &str); 3] = [
    ("vidzeme", KEY),
    ("zemgale", LIMITED_KEY),
    ("kurzeme", WITHDRAWN_KEY),
];
const SLOTS: u16 = 16;
/// The mean time for which a request occupies a slot of a backend server.
pub(crate) const SERVICE_TIME: Duration = Duration::from_millis(3);
/// The time within which every ingress node must serve requests after the start.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// The running fleet.
pub(crate) struct Environment {
    pub(crate) fleet: Fleet,
    pub(crate) ledger: Ledger,
    pub(crate) backends: HashMap<String, Backend>,
    pub(crate) nodes: Vec<Vm>,
    pub(crate) control: Vec<Vm>,
}

/// Returns the body of a configuration change that gives the workspace `latgale` this rate. Nothing
/// else differs between these changes.
pub(crate) fn configuration(rate: u64) -> String {
    let document = format!(
        r#"{{"classes": {{
            "crews": {{"rank": 0, "finish": 0.999, "within_ms": 5000}},
            "reports": {{"rank": 2, "finish": 0.9, "within_ms": 5000}}}},
          "services": {{
            "tally-portal": {{"*": {{"class": "crews"}}}},
            "dispatch": {{"bill": {{"class": "crews", "non_idempotent": true}}}},
            "shiftbook": {{"*": {{"class": "reports"}}}}}},
          "workspaces": {{
            "vidzeme": {{"rate": 5000.0, "burst": 5000}},
            "zemgale": {{"rate": {RATE}.0, "burst": {BURST}}},
            "kurzeme": {{"rate": 5000.0, "burst": 5000}},
            "latgale": {{"rate": {rate}.0, "burst": 5}}}}}}"#
    );
    nutmegwheel_ctl::change::configure(&document)
}

/// Returns the key in an `authorization` field.
pub(crate) fn key_text(field: &str) -> &str {
    field.trim_start_matches("Bearer ")
}

impl Environment {
    /// Starts the fleet behind relays and waits until every ingress node serves requests.
    pub(crate) async fn start(program: PathBuf, shape: &FleetShape) -> anyhow::Result<Self> {
        let data_centres = shape.data_centres.iter().copied();
        let fleet = Fleet::start(FleetOptions {
            program,
            data_centres: data_centres.map(|name| (name, shape.nodes)).collect(),
            control_vms: shape.control_vms,
            relayed: true,
        })
        .await?;
        let vms = |all: &[nutmegwheel_support::Process]| all.iter().map(|p| p.vm.clone()).collect();
        let mut env = Self {
            nodes: vms(&fleet.nodes),
            control: vms(&fleet.control),
            fleet,
            ledger: Ledger::default(),
            backends: HashMap::new(),
        };
        env.change(1, &configuration(1)).await?;
        for (number, (workspace, key)) in (2..).zip(KEYS) {
            let body = nutmegwheel_ctl::change::give_key(workspace, key_text(key));
            env.change(number, &body).await?;
        }
        env.fleet.wait_until_ready().await?;
        for index in 0..env.nodes.len() {
            env.start_backend(index).await?;
        }
        for node in &env.nodes {
            let served = serves(&env.fleet.caller, node, START_TIMEOUT).await;
            anyhow::ensure!(
                served,
                "{} does not serve:\n{}",
                node.name,
                env.fleet.log(&node.name)
            );
        }
        Ok(env)
    }

    async fn change(&self, number: u64, body: &str) -> anyhow::Result<()> {
        let path = format!("/v1/changes/{number}");
        let answer = self.fleet.send_as_operator("PUT", &path, body).await?;
        anyhow::ensure!(answer.status == 200, "change {number}: {}", answer.text());
        Ok(())
    }

    /// Starts the backend server local to a node, in place of the previous one.
    pub(crate) async fn start_backend(&mut self, index: usize) -> anyhow::Result<()> {
        let node = &self.nodes[index];
        let service = SERVICES[index % SERVICES.len()];
        let mut behaviour = default_behaviour();
        behaviour
            .calls
            .insert(READ.to_owned(), vec!["/shiftbook/roster".to_owned()]);
        let opts = BackendOptions {
            name: format!("{service}@{}", node.name),
            service: service.to_owned(),
            slots: SLOTS,
            node: node.backend,
        };
        let backend = Backend::spawn(opts, behaviour, self.ledger.clone()).await?;
        self.backends.insert(node.name.clone(), backend);
        Ok(())
    }
}

fn default_behaviour() -> Behaviour {
    Behaviour {
        service_time: SERVICE_TIME,
        random_fraction: 0.5,
        ..Behaviour::default()
    }
}

/// Waits until an ingress node serves a read, and a bill whose home data centre is that of the
/// node. Returns whether it did within `limit`.
pub(crate) async fn serves(caller: &Caller, node: &Vm, limit: Duration) -> bool {
    let end = Instant::now() + limit;
    let mut attempt = 0;
    while Instant::now() < end {
        attempt += 1;
        let id = format!("{}/probe-{}-{attempt}", node.data_centre, node.name);
        let fields = [("authorization", KEY), ("idempotency-key", id.as_str())];
        let read = caller.call("POST", node.callers, READ, &fields[..1], "probe");
        let is_read = read.await.is_ok_and(|answer| answer.status == 200);
        let bill = caller.call("POST", node.callers, BILL, &fields, id.clone());
        if bill.await.is_ok_and(|answer| answer.status == 200) && is_read {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    false
}
