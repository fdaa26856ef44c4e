use std::{
    collections::HashMap,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::PathBuf,
    sync::atomic::{AtomicU16, Ordering},
    time::{Duration, Instant},
};

use tempfile::TempDir;

use crate::{Answer, Caller, Program, relay::Relay};

/// What operators of a test fleet show.
pub const OPERATOR_SECRET: &str = "operators-of-the-test-fleet";
/// What the processes of a test fleet share.
const FLEET_SECRET: &str = "secret-of-the-test-fleet-0001";
/// The most seeds per data centre, the control VM included.
const SEEDS_PER_DATA_CENTRE: usize = 3;
/// The time in which a process must be up.
const START_LIMIT: Duration = Duration::from_secs(20);

/// Tells the fleets of one test process apart.
static FLEETS: AtomicU16 = AtomicU16::new(0);

/// How a fleet is laid out.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// The program to start.
    pub program: PathBuf,
    /// The names of the data centres, each with its number of nodes.
    pub data_centres: Vec<(&'static str, usize)>,
    /// The number of control VMs, dealt to the data centres in turn.
    pub control_vms: usize,
    /// Whether a relay stands in front of every `link` listener.
    pub relayed: bool,
}

/// A VM of the fleet with the addresses of its process.
#[derive(Clone, Debug)]
pub struct Vm {
    /// The process's name.
    pub name: String,
    /// Its data centre.
    pub data_centre: &'static str,
    /// Whether it is a control VM.
    pub control: bool,
    /// For callers.
    pub callers: SocketAddr,
    /// For the backend server.
    pub backend: SocketAddr,
    /// For the platform and operators.
    pub platform: SocketAddr,
    /// Where its process listens for the other processes.
    pub link: SocketAddr,
    /// Where the others reach it: its relay, or else `link`.
    pub advertised: SocketAddr,
}

/// A VM with its running process; dropping it kills the process.
pub struct Process {
    /// The VM.
    pub vm: Vm,
    program: Option<Program>,
}

/// A fleet of separate processes on loopback; dropping it kills them.
pub struct Fleet {
    /// The control VMs.
    pub control: Vec<Process>,
    /// The nodes.
    pub nodes: Vec<Process>,
    program: PathBuf,
    folder: TempDir,
    relays: HashMap<String, Relay>,
    /// Calls doors and operators' interfaces.
    pub caller: Caller,
}

/// Lifecycle.
impl Fleet {
    /// Writes the settings of a fleet and starts its processes.
    ///
    /// # Errors
    ///
    /// Names the process that did not come up.
    pub async fn start(opts: FleetOptions) -> anyhow::Result<Self> {
        let folder = tempfile::tempdir()?;
        let mut vms = lay_out(&opts);
        let mut relays = HashMap::new();
        for vm in vms.iter_mut().filter(|_| opts.relayed) {
            let relay = Relay::bind(vm.link).await?;
            vm.advertised = relay.local_addr();
            relays.insert(vm.name.clone(), relay);
        }
        let mut fleet = Self {
            control: Vec::new(),
            nodes: Vec::new(),
            program: opts.program,
            folder,
            relays,
            caller: Caller::open(),
        };
        for vm in &vms {
            let text = settings(vm, &vms, &fleet.folder.path().join(&vm.name));
            std::fs::write(fleet.settings_path(vm), text)?;
            let process = Process {
                vm: vm.clone(),
                program: Some(fleet.launch(vm)?),
            };
            if vm.control {
                fleet.control.push(process);
            } else {
                fleet.nodes.push(process);
            }
        }
        for vm in &vms {
            fleet.await_answer(vm, "/livez").await?;
        }
        Ok(fleet)
    }

    /// Waits until every node serves.
    ///
    /// # Errors
    ///
    /// Names the node that does not.
    pub async fn ready(&self) -> anyhow::Result<()> {
        for node in &self.nodes {
            self.await_answer(&node.vm, "/readyz").await?;
        }
        Ok(())
    }

    /// Starts the process of a VM again, on the same settings and data folder.
    ///
    /// # Errors
    ///
    /// Fails when the process does not come up.
    pub async fn restart(&mut self, name: &str) -> anyhow::Result<()> {
        self.relaunch(name)?;
        let vm = self.process(name).vm.clone();
        self.await_answer(&vm, "/livez").await
    }

    /// Does the same without waiting for the process to come up.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be started.
    pub fn relaunch(&mut self, name: &str) -> anyhow::Result<()> {
        let vm = self.process(name).vm.clone();
        let program = self.launch(&vm)?;
        self.process(name).program = Some(program);
        Ok(())
    }

    fn launch(&self, vm: &Vm) -> anyhow::Result<Program> {
        let log = self.folder.path().join(format!("{}.log", vm.name));
        let role = if vm.control { "control" } else { "node" };
        Program::spawn(&self.program, role, &self.settings_path(vm), &log)
    }

    async fn await_answer(&self, vm: &Vm, path: &str) -> anyhow::Result<()> {
        let end = Instant::now() + START_LIMIT;
        loop {
            let answer = self.caller.call("GET", vm.platform, path, &[], "").await;
            if answer.is_ok_and(|answer| answer.status == 200) {
                return Ok(());
            }
            if Instant::now() > end {
                anyhow::bail!("{}: {path} in vain, log:\n{}", vm.name, self.log(&vm.name));
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Access.
impl Fleet {
    /// The process of that name.
    ///
    /// # Panics
    ///
    /// Panics when the fleet has none, which is a fault of the test.
    pub fn process(&mut self, name: &str) -> &mut Process {
        let all = self.control.iter_mut().chain(&mut self.nodes);
        all.into_iter()
            .find(|process| process.vm.name == name)
            .expect("a process of that name")
    }

    /// The relay in front of a process.
    ///
    /// # Panics
    ///
    /// Panics when the fleet has none of that name, which is a fault of the test.
    #[must_use]
    pub fn relay(&self, name: &str) -> &Relay {
        self.relays.get(name).expect("a relay of that name")
    }

    /// The log of a process so far.
    #[must_use]
    pub fn log(&self, name: &str) -> String {
        let path = self.folder.path().join(format!("{name}.log"));
        std::fs::read_to_string(path).unwrap_or_default()
    }

    /// The folder with the settings, logs and data of all processes.
    #[must_use]
    pub fn folder(&self) -> &std::path::Path {
        self.folder.path()
    }

    fn settings_path(&self, vm: &Vm) -> PathBuf {
        self.folder.path().join(format!("{}.jsonc", vm.name))
    }
}

/// Operating.
impl Fleet {
    /// Asks the first control VM as an operator.
    ///
    /// # Errors
    ///
    /// Fails when it does not answer.
    pub async fn operate(&self, method: &str, path: &str, body: &str) -> anyhow::Result<Answer> {
        self.operate_at(self.control[0].vm.platform, method, path, body)
            .await
    }

    /// Asks a process as an operator.
    ///
    /// # Errors
    ///
    /// Fails when it does not answer.
    pub async fn operate_at(
        &self,
        at: SocketAddr,
        method: &str,
        path: &str,
        body: &str,
    ) -> anyhow::Result<Answer> {
        let secret = format!("Bearer {OPERATOR_SECRET}");
        let fields = [("authorization", secret.as_str())];
        self.caller
            .call(method, at, path, &fields, body.to_owned())
            .await
    }
}

/// Control, as in [`Program`].
impl Process {
    /// The process id while it runs.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.program.as_ref().and_then(Program::id)
    }

    /// Kills the process at once (SIGKILL).
    pub fn kill(&mut self) {
        self.program = None;
    }

    /// Sends a signal by name, such as `TERM`, `STOP` or `CONT`.
    pub fn signal(&self, name: &str) {
        if let Some(program) = &self.program {
            program.signal(name);
        }
    }

    /// Waits for the process to end by itself; `None` when it has not within `limit`.
    pub async fn ended(&mut self, limit: Duration) -> Option<i32> {
        self.program.as_mut()?.ended(limit).await
    }
}

/// Gives every VM an address of its own, and every fleet ports of its own.
fn lay_out(opts: &FleetOptions) -> Vec<Vm> {
    let fleet = FLEETS.fetch_add(1, Ordering::SeqCst);
    let mut vms = Vec::new();
    for number in 0..opts.control_vms {
        let (data_centre, _) = opts.data_centres[number % opts.data_centres.len()];
        vms.push(vm(
            &vms,
            fleet,
            data_centre,
            format!("control-{number}"),
            true,
        ));
    }
    for (data_centre, nodes) in &opts.data_centres {
        for number in 0..*nodes {
            let name = format!("{data_centre}-{number}");
            vms.push(vm(&vms, fleet, data_centre, name, false));
        }
    }
    vms
}

fn vm(before: &[Vm], fleet: u16, data_centre: &'static str, name: String, control: bool) -> Vm {
    let [.., high, low] = std::process::id().to_be_bytes();
    let host = u8::try_from(before.len() + 1).expect("at most 255 VMs");
    let ip = IpAddr::V4(Ipv4Addr::new(127, high % 250 + 1, low, host));
    let port = |offset| SocketAddr::new(ip, 7000 + fleet * 10 + offset);
    Vm {
        name,
        data_centre,
        control,
        callers: port(0),
        backend: port(1),
        platform: port(2),
        link: port(3),
        advertised: port(3),
    }
}

fn settings(vm: &Vm, all: &[Vm], data_folder: &std::path::Path) -> String {
    let mut document = serde_json::json!({
        "name": vm.name,
        "data_centre": vm.data_centre,
        "role": if vm.control { "control" } else { "node" },
        "listen": {"platform": vm.platform, "link": vm.link},
        "seeds": seeds(all),
        "fleet_secret": FLEET_SECRET,
        "operator_secret": OPERATOR_SECRET,
    });
    if vm.advertised != vm.link {
        document["listen"]["link_advertised"] = vm.advertised.to_string().into();
    }
    if vm.control {
        document["data_folder"] = data_folder.to_string_lossy().into();
    } else {
        document["listen"]["callers"] = vm.callers.to_string().into();
        document["listen"]["backend"] = vm.backend.to_string().into();
    }
    format!("// Written by the test fleet.\n{document:#}")
}

fn seeds(all: &[Vm]) -> Vec<serde_json::Value> {
    let mut counts = HashMap::new();
    let mut seeds = Vec::new();
    for vm in all {
        let count: &mut usize = counts.entry(vm.data_centre).or_default();
        *count += 1;
        if vm.control || *count <= SEEDS_PER_DATA_CENTRE {
            seeds.push(serde_json::json!({
                "name": vm.name,
                "data_centre": vm.data_centre,
                "link": vm.advertised,
                "control": vm.control,
            }));
        }
    }
    seeds
}
