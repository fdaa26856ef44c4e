//! The machines and processes of a small deployment.

use std::{
    fs, io,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Message},
    record::Record,
    template::{self, Fields},
};

pub const HEARTBEAT: Duration = Duration::from_millis(1500);
/// The maximum time until the fleet serves.
const START_LIMIT: Duration = Duration::from_secs(25);

/// A machine. All machines use the same ports.
#[derive(Clone, Debug)]
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub ip: Ipv4Addr,
    pub base: u16,
    pub service: Option<String>,
}

impl Machine {
    fn at(&self, offset: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), self.base + offset)
    }
    pub fn outbound(&self) -> SocketAddr {
        self.at(0)
    }
    pub fn control(&self) -> SocketAddr {
        self.at(1)
    }
    pub fn ready(&self) -> SocketAddr {
        self.at(2)
    }
    pub fn app(&self) -> SocketAddr {
        self.at(3)
    }
    pub fn link(&self) -> SocketAddr {
        self.at(4)
    }
}

/// What a deployment consists of; the bounds are those of `sites/` and `further/`.
pub struct Plan {
    pub zones: Vec<String>,
    /// The zone and service of each node.
    pub nodes: Vec<(String, String)>,
    pub memory_mb: u64,
}

pub struct Fleet {
    pub core: Vec<Machine>,
    pub nodes: Vec<Machine>,
    processes: Vec<(String, Child)>,
    root: PathBuf,
    folder: PathBuf,
    plan: Plan,
    pub record: Record,
}

impl Plan {
    /// Three zones, `count` nodes beside endpoints of `service`, and one beside an endpoint of
    /// `portal` in the zone of the first, where the clients are.
    pub fn service(service: &str, count: usize) -> Self {
        let zones = ["zone-a", "zone-b", "zone-c"].map(str::to_owned);
        let node = |n: usize| (zones[n % 3].clone(), service.to_owned());
        let mut nodes: Vec<_> = (0..count).map(node).collect();
        nodes.push((zones[0].clone(), "portal".to_owned()));
        Self {
            zones: zones.to_vec(),
            nodes,
            memory_mb: 260,
        }
    }
}

impl Fleet {
    /// The machine at which the clients are.
    pub fn portal(&self) -> &Machine {
        &self.nodes[self.nodes.len() - 1]
    }

    /// Starts a control process in each zone and the nodes.
    pub fn start(root: &Path, plan: Plan, record: &Record) -> io::Result<Self> {
        let pid = std::process::id();
        let count = plan.zones.len() + plan.nodes.len();
        let [_, _, high, low] = pid.to_be_bytes();
        let ip = |n: usize| {
            let host = u8::try_from(n + 1).expect("few machines");
            Ipv4Addr::new(127, high % 250 + 2, low, host)
        };
        let base = free_base(&(0..count).map(ip).collect::<Vec<_>>(), pid);
        let machine = |n: usize, name: String, zone: &str, service: Option<&str>| Machine {
            name,
            zone: zone.into(),
            ip: ip(n),
            base,
            service: service.map(Into::into),
        };
        let core: Vec<_> = (plan.zones.iter().enumerate())
            .map(|(n, zone)| machine(n, format!("core-{zone}-1"), zone, None))
            .collect();
        let nodes: Vec<_> = (plan.nodes.iter().enumerate())
            .map(|(n, (zone, service))| {
                let name = format!("sidecar-{zone}-{}", n + 1);
                machine(core.len() + n, name, zone, Some(service))
            })
            .collect();
        let folder = std::env::temp_dir().join(format!("nutmegwheel-review-{pid}"));
        fs::create_dir_all(&folder)?;
        let mut fleet = Self {
            core,
            nodes,
            processes: Vec::new(),
            root: root.to_owned(),
            folder,
            plan,
            record: record.clone(),
        };
        for machine in fleet.core.clone().iter().chain(&fleet.nodes.clone()) {
            fleet.launch(machine, true)?;
        }
        Ok(fleet)
    }

    /// Starts the process of a machine with the command of the deploy file.
    pub fn launch(&mut self, machine: &Machine, bootstrap: bool) -> io::Result<()> {
        let role = if machine.service.is_some() {
            "node"
        } else {
            "control"
        };
        let template = self.root.join(format!("deploy/{role}.tmpl"));
        let text = template::fill(
            &fs::read_to_string(template)?,
            &self.fields(machine, bootstrap),
        );
        let settings = self.folder.join(format!("{}.conf", machine.name));
        fs::write(&settings, text)?;
        let log = self.folder.join(format!("{}.log", machine.name));
        let log = fs::File::options().create(true).append(true).open(log)?;
        let child = Command::new(self.root.join("target/release/nutmegwheel"))
            .args([role, "--settings"])
            .arg(&settings)
            .current_dir(&self.root)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.line(format!(
            "start {} ({role}), pid {}",
            machine.name,
            child.id()
        ));
        if let Ok(path) = std::env::var("REVIEW_PIDS") {
            use std::io::Write as _;
            let mut file = fs::File::options().create(true).append(true).open(path)?;
            writeln!(file, "{}", child.id())?;
        }
        self.processes.push((machine.name.clone(), child));
        Ok(())
    }

    fn fields(&self, machine: &Machine, bootstrap: bool) -> Fields {
        let mut fields = Fields::default();
        fields.set("node_name", &machine.name);
        fields.set("zone", &machine.zone);
        fields.set("ip", machine.ip);
        fields.set("listen_addrs.outbound", machine.outbound());
        fields.set("listen_addrs.control", machine.control());
        fields.set("listen_addrs.ready", machine.ready());
        fields.set("internal_ports.0", machine.link().port());
        fields.set("bootstrap", bootstrap);
        fields.set("fault_tolerance.machines", 1);
        fields.set("bounds.grace_s", 6);
        fields.set("limits.max_fds", 4100);
        fields.set("limits.memory_mb", self.plan.memory_mb);
        let data = self.folder.join(format!("{}-data", machine.name));
        let _ = fs::create_dir_all(&data);
        fields.set("data_dir", data.display());
        if let Some(service) = &machine.service {
            fields.set("service", service);
            fields.set("app_addr", machine.app());
        }
        let seeds = self.core.iter().take(3).map(|m| m.control().to_string());
        fields.lists.insert("seed_nodes".into(), seeds.collect());
        fields.lists.insert("zones".into(), self.plan.zones.clone());
        fields
    }

    pub fn pid(&self, name: &str) -> Option<u32> {
        let found = self.processes.iter().rev().find(|(n, _)| n == name);
        found.map(|(_, child)| child.id())
    }

    /// Sends a signal to the process of a machine.
    pub fn signal(&self, name: &str, signal: &str) {
        if let Some(pid) = self.pid(name) {
            self.record.line(format!("signal {signal} to {name}"));
            let _ = Command::new("kill")
                .arg(format!("-{signal}"))
                .arg(pid.to_string())
                .status();
        }
    }

    /// Kills the process of a machine and waits for it.
    pub fn kill(&mut self, name: &str) {
        let at = self.processes.iter().rposition(|(n, _)| n == name);
        if let Some(at) = at {
            let (_, mut child) = self.processes.remove(at);
            self.record.line(format!("kill {name}"));
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the process of a machine has ended by itself or by a signal.
    pub fn has_ended(&mut self, name: &str) -> bool {
        let found = self.processes.iter_mut().rev().find(|(n, _)| n == name);
        found.is_none_or(|(_, child)| !matches!(child.try_wait(), Ok(None)))
    }

    /// A value of a process in `/proc/PID/status`, in kB.
    pub fn memory_kb(&self, name: &str, field: &str) -> u64 {
        let Some(pid) = self.pid(name) else { return 0 };
        let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = status.lines().find_map(|l| l.strip_prefix(field));
        let word = line.and_then(|l| l.trim_start_matches(':').split_whitespace().next());
        word.and_then(|w| w.parse().ok()).unwrap_or(0)
    }

    /// Sends a desired state until it is acknowledged.
    pub fn publish(&self, document: &str) -> io::Result<()> {
        let end = Instant::now() + START_LIMIT;
        let fields = [("Host", "control"), ("Content-Type", "application/json")];
        loop {
            for machine in &self.core {
                let answer = self.operator(machine, "PUT", &fields, document);
                match answer {
                    Ok(a) if a.status() == 200 => {
                        self.record.line("the desired state is acknowledged");
                        return Ok(());
                    }
                    Ok(a) if (400..500).contains(&a.status()) => {
                        let text = String::from_utf8_lossy(&a.body).into_owned();
                        return Err(io::Error::other(format!("refused: {} {text}", a.status())));
                    }
                    _ => {}
                }
            }
            if Instant::now() > end {
                return Err(io::Error::other("the desired state was not acknowledged"));
            }
            thread::sleep(Duration::from_millis(200));
        }
    }

    pub fn operator(
        &self,
        machine: &Machine,
        method: &str,
        fields: &[(&str, &str)],
        document: &str,
    ) -> io::Result<Message> {
        let (to, body) = (machine.control(), document.as_bytes());
        http::call(
            to,
            method,
            "/-/config",
            fields,
            body,
            Duration::from_secs(2),
        )
    }

    /// Waits until all nodes are ready.
    pub fn await_ready(&self) -> io::Result<()> {
        let end = Instant::now() + START_LIMIT;
        for node in &self.nodes {
            loop {
                let fields = [("Host", "ready")];
                let timeout = Duration::from_secs(1);
                let answer = http::call(node.ready(), "GET", "/-/ready", &fields, b"", timeout);
                if answer.is_ok_and(|a| a.status() == 200) {
                    break;
                }
                if Instant::now() > end {
                    return Err(io::Error::other(format!("{} is not ready", node.name)));
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        Ok(())
    }

    pub fn log(&self, name: &str) -> String {
        fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap_or_default()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for (_, child) in &mut self.processes {
            let _ = child.kill();
        }
        for (_, child) in &mut self.processes {
            let _ = child.wait();
        }
        if std::env::var("REVIEW_KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// The first port of a range that is free on all addresses.
fn free_base(ips: &[Ipv4Addr], seed: u32) -> u16 {
    for n in 0..200 {
        let base = 12_000 + u16::try_from((seed + n * 37) % 1_900).expect("small") * 8;
        let is_free = |ip: &Ipv4Addr| (0..8).all(|o| TcpListener::bind((*ip, base + o)).is_ok());
        if ips.iter().all(is_free) {
            return base;
        }
    }
    panic!("no free ports")
}

/// A route of a desired state.
pub fn route(
    name: &str,
    host: &str,
    kind: &str,
    service: &str,
    attempts: u32,
    timeout_ms: u32,
) -> String {
    format!(
        r#"{{"name":"{name}","hostname":"{host}","path_prefix":"/{name}/","route_type":"{kind}","timeout_ms":{timeout_ms},"target_latency_ms":1500,"priority":0,"service":"{service}","attempts":{attempts},"anonymous":false}}"#
    )
}

/// The key of the only tenant.
pub const KEY: &str = "Token 6wsjnbanfqasnmgkcuyj";

/// A desired state with one tenant without a usage cap.
pub fn desired_state(version: u32, base: u32, routes: &[String], services: &[&str]) -> String {
    let base = if base == 0 {
        "0".to_owned()
    } else {
        format!("\"r{base}\"")
    };
    let services: Vec<_> = services
        .iter()
        .map(|s| {
            format!(r#"{{"name":"{s}","health_path":"/health","max_connections":346,"protocol":"h1","tls":false}}"#)
        })
        .collect();
    format!(
        r#"{{"version":"r{version}","routes":[{}],"services":[{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"pulo780","api_keys":["6wsjnbanfqasnmgkcuyj"],"priority":1,"rate_per_s":0,"burst":0}}],"base_version":{base}}}"#,
        routes.join(","),
        services.join(","),
    )
}
