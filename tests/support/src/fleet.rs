use std::{
    collections::HashMap,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::PathBuf,
    sync::atomic::{AtomicU16, Ordering},
    time::{Duration, Instant},
};

use tempfile::TempDir;

use crate::{Answer, Caller, Program, relay::Relay};

/// The bearer token of operators of a test fleet.
pub const OPERATOR_SECRET: &str = "operators-of-the-test-fleet";
/// The secret with which processes of a test fleet authenticate each other.
const FLEET_SECRET: &str = "secret-of-the-test-fleet-0001";
/// The maximum number of seeds in each data centre: its control VMs, and then its first nodes.
const SEEDS_PER_DATA_CENTRE: usize = 3;
/// The time within which a started process must answer 200.
const START_LIMIT: Duration = Duration::from_secs(20);

/// The number of the next fleet of this test process, from which its ports are derived.
static NEXT_FLEET: AtomicU16 = AtomicU16::new(0);

/// The layout of a fleet.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// The path of the `nutmegwheel` binary.
    pub program: PathBuf,
    /// The names of the data centres, each with its number of nodes.
    pub data_centres: Vec<(&'static str, usize)>,
    /// The number of control VMs, distributed round-robin over the data centres.
    pub control_vms: usize,
    /// Whether connections to every `link` listener go through a relay.
    pub relayed: bool,
}

/// A VM of the fleet and the listeners of its process.
#[derive(Clone, Debug)]
pub struct Vm {
    /// The name of the process, such as `control-0` or `riga1-0`.
    pub name: String,
    /// The data centre in which it runs.
    pub data_centre: &'static str,
    /// Whether it is a control VM.
    pub control: bool,
    /// The listener for callers. Control VMs do not listen on it.
    pub callers: SocketAddr,
    /// The listener for the local backend server. Control VMs do not listen on it.
    pub backend: SocketAddr,
    /// The listener for the platform and operators.
    pub platform: SocketAddr,
    /// The listener for links from other processes.
    pub link: SocketAddr,
    /// The address that other processes connect to: that of the relay in front of `link`, or `link`
    /// itself in a fleet without relays.
    pub advertised: SocketAddr,
}

/// A VM and its process. Dropping it kills the process.
pub struct Process {
    /// The VM on which the process runs.
    pub vm: Vm,
    program: Option<Program>,
}

/// A fleet of separate processes on loopback. Dropping it kills them.
pub struct Fleet {
    /// The processes of the control VMs.
    pub control: Vec<Process>,
    /// The processes of the nodes.
    pub nodes: Vec<Process>,
    program: PathBuf,
    folder: TempDir,
    relays: HashMap<String, Relay>,
    /// The client for calls to ingress nodes and operator interfaces.
    pub caller: Caller,
}

impl Fleet {
    /// Writes the settings of a fleet, starts its processes and waits until all of them answer.
    ///
    /// # Errors
    ///
    /// Fails if a process does not answer `/livez` in time; the error names it and holds its log.
    pub async fn start(opts: FleetOptions) -> anyhow::Result<Self> {
        let folder = tempfile::tempdir()?;
        let mut vms = plan_vms(&opts);
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
            let text = settings_document(vm, &vms, &fleet.folder.path().join(&vm.name));
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
            fleet.wait_until_ok(vm, "/livez").await?;
        }
        Ok(fleet)
    }

    /// Waits until every node reports that it is ready.
    ///
    /// # Errors
    ///
    /// Fails if a node does not become ready in time; the error names it and holds its log.
    pub async fn wait_until_ready(&self) -> anyhow::Result<()> {
        for node in &self.nodes {
            self.wait_until_ok(&node.vm, "/readyz").await?;
        }
        Ok(())
    }

    /// Restarts the process of a VM with the same settings and data folder, and waits until it
    /// answers.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be started or does not answer in time.
    pub async fn restart(&mut self, name: &str) -> anyhow::Result<()> {
        self.restart_without_waiting(name)?;
        let vm = self.process(name).vm.clone();
        self.wait_until_ok(&vm, "/livez").await
    }

    /// Restarts the process of a VM without waiting until it answers.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be started.
    pub fn restart_without_waiting(&mut self, name: &str) -> anyhow::Result<()> {
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

    async fn wait_until_ok(&self, vm: &Vm, path: &str) -> anyhow::Result<()> {
        let deadline = Instant::now() + START_LIMIT;
        loop {
            let answer = self.caller.call("GET", vm.platform, path, &[], "").await;
            if answer.is_ok_and(|answer| answer.status == 200) {
                return Ok(());
            }
            if Instant::now() > deadline {
                anyhow::bail!(
                    "{}: {path} did not answer 200 in time, log:\n{}",
                    vm.name,
                    self.log(&vm.name)
                );
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

impl Fleet {
    /// Returns the process with this name.
    ///
    /// # Panics
    ///
    /// Panics if there is no such process.
    pub fn process(&mut self, name: &str) -> &mut Process {
        let all = self.control.iter_mut().chain(&mut self.nodes);
        all.into_iter()
            .find(|process| process.vm.name == name)
            .expect("a process of that name")
    }

    /// Returns the relay in front of the process with this name.
    ///
    /// # Panics
    ///
    /// Panics if there is no such relay, as in a fleet that was started without relays.
    #[must_use]
    pub fn relay(&self, name: &str) -> &Relay {
        self.relays.get(name).expect("a relay of that name")
    }

    /// Returns what a process has logged so far.
    #[must_use]
    pub fn log(&self, name: &str) -> String {
        let path = self.folder.path().join(format!("{name}.log"));
        std::fs::read_to_string(path).unwrap_or_default()
    }

    /// Returns the folder with the settings, logs and data of all processes.
    #[must_use]
    pub fn folder(&self) -> &std::path::Path {
        self.folder.path()
    }

    fn settings_path(&self, vm: &Vm) -> PathBuf {
        self.folder.path().join(format!("{}.jsonc", vm.name))
    }
}

impl Fleet {
    /// Sends a request to the first control VM as an operator.
    ///
    /// # Errors
    ///
    /// Fails if it does not answer, as [`Caller::call`] does.
    pub async fn send_as_operator(
        &self,
        method: &str,
        path: &str,
        body: &str,
    ) -> anyhow::Result<Answer> {
        self.send_as_operator_to(self.control[0].vm.platform, method, path, body)
            .await
    }

    /// Sends a request to the `platform` listener of a process as an operator.
    ///
    /// # Errors
    ///
    /// Fails if the process does not answer, as [`Caller::call`] does.
    pub async fn send_as_operator_to(
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

impl Process {
    /// Returns the process id, or `None` after the process was killed or has exited.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.program.as_ref().and_then(Program::id)
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        self.program = None;
    }

    /// Sends the process a signal by name, such as `TERM`, `STOP` or `CONT`.
    pub fn signal(&self, name: &str) {
        if let Some(program) = &self.program {
            program.signal(name);
        }
    }

    /// Waits for the process to exit and returns its exit code; `None` if it does not exit within
    /// `limit` or was ended by a signal.
    pub async fn wait_for_exit(&mut self, limit: Duration) -> Option<i32> {
        self.program.as_mut()?.wait_for_exit(limit).await
    }
}

/// Returns the VMs of a fleet. Each VM has its own IP address, and the ports differ from those of
/// all other fleets of this test process.
fn plan_vms(opts: &FleetOptions) -> Vec<Vm> {
    let fleet = NEXT_FLEET.fetch_add(1, Ordering::SeqCst);
    let mut vms = Vec::new();
    for number in 0..opts.control_vms {
        let (data_centre, _) = opts.data_centres[number % opts.data_centres.len()];
        vms.push(new_vm(
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
            vms.push(new_vm(&vms, fleet, data_centre, name, false));
        }
    }
    vms
}

fn new_vm(
    earlier: &[Vm],
    fleet: u16,
    data_centre: &'static str,
    name: String,
    control: bool,
) -> Vm {
    let [.., high, low] = std::process::id().to_be_bytes();
    let host = u8::try_from(earlier.len() + 1).expect("at most 255 VMs");
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

fn settings_document(vm: &Vm, all: &[Vm], data_folder: &std::path::Path) -> String {
    let mut document = serde_json::json!({
        "name": vm.name,
        "data_centre": vm.data_centre,
        "role": if vm.control { "control" } else { "node" },
        "listen": {"platform": vm.platform, "link": vm.link},
        "seeds": seed_entries(all),
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

fn seed_entries(all: &[Vm]) -> Vec<serde_json::Value> {
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
