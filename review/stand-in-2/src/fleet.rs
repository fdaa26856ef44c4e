//! A small deployment: the processes of the system, each machine with a loopback address of its own,
//! and the platform's part: settings, starts, readiness and the operator.

use std::{
    fs, io,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{http, record::Record};

pub const ZONES: [&str; 3] = ["riga-a", "riga-b", "riga-c"];
pub const KEY: &str = "6wsjnbanfqasnmgkcuyj";
pub const HOST: &str = "hulo84.example";
const PROGRAM: &str = "target/release/nutmegwheel";
const START_LIMIT: Duration = Duration::from_secs(20);

/// The ports, which are the same on all machines.
#[derive(Clone, Copy)]
pub struct Ports {
    pub outbound: u16,
    pub control: u16,
    pub ready: u16,
    pub link: u16,
    pub app: u16,
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Core,
    Sidecar,
}

pub struct Machine {
    pub name: String,
    pub role: Role,
    pub ip: IpAddr,
    pub zone: &'static str,
    pub service: String,
    child: Option<Child>,
}

pub struct Fleet {
    pub ports: Ports,
    pub machines: Vec<Machine>,
    pub record: Arc<Record>,
    /// The memory of a sidecar machine.
    pub memory_mb: u32,
    folder: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            if let Some(mut child) = machine.child.take() {
                let _ = child.kill();
                let _ = child.wait();
                crate::watchdog::remove(child.id());
            }
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Fleet {
    /// Lays out three core machines and one sidecar machine for each service in `services`.
    pub fn open(record: Arc<Record>, services: &[&str]) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let net = 16 + (std::process::id() % 200) as u8;
        let mut machines = Vec::new();
        for (n, zone) in ZONES.into_iter().enumerate() {
            machines.push(Machine {
                name: format!("core-{zone}-1"),
                role: Role::Core,
                ip: Ipv4Addr::new(127, net, n as u8 + 1, 1).into(),
                zone,
                service: String::new(),
                child: None,
            });
        }
        for (n, service) in services.iter().enumerate() {
            let zone = ZONES[n % ZONES.len()];
            machines.push(Machine {
                name: format!("sidecar-{zone}-{}", n / ZONES.len() + 1),
                role: Role::Sidecar,
                ip: Ipv4Addr::new(127, net, (n % ZONES.len()) as u8 + 1, 10 + n as u8).into(),
                zone,
                service: (*service).to_owned(),
                child: None,
            });
        }
        let ports = free_ports(&machines)?;
        Ok(Self {
            ports,
            machines,
            record,
            memory_mb: 260,
            folder,
        })
    }

    pub fn sidecars(&self) -> Vec<usize> {
        let all = self.machines.iter().enumerate();
        all.filter(|(_, m)| m.role == Role::Sidecar)
            .map(|(n, _)| n)
            .collect()
    }

    pub fn address(&self, machine: usize, port: u16) -> SocketAddr {
        SocketAddr::new(self.machines[machine].ip, port)
    }

    /// Starts all machines for the first time, and waits until a desired state is accepted and all
    /// sidecar machines are ready.
    pub fn start_all(&mut self, config: &str) -> io::Result<()> {
        for n in 0..self.machines.len() {
            self.start(n, true)?;
        }
        self.publish(config)?;
        for n in self.sidecars() {
            self.wait_until_ready(n)?;
        }
        Ok(())
    }

    pub fn start(&mut self, machine: usize, bootstrap: bool) -> io::Result<()> {
        let settings = self.settings(machine, bootstrap);
        let m = &mut self.machines[machine];
        let path = self.folder.join(format!("{}.conf", m.name));
        fs::write(&path, settings)?;
        let role = if m.role == Role::Core {
            "control"
        } else {
            "node"
        };
        let log = fs::File::create(self.folder.join(format!("{}.log", m.name)))?;
        let child = Command::new(PROGRAM)
            .args([role, "--settings"])
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        crate::watchdog::add(child.id());
        self.record
            .add(format!("{} starts, process {}", m.name, child.id()));
        m.child = Some(child);
        Ok(())
    }

    /// The processes that have ended without a signal of the run.
    pub fn ended(&mut self) -> Vec<String> {
        let mut ended = Vec::new();
        for m in &mut self.machines {
            if let Some(child) = &mut m.child
                && let Ok(Some(status)) = child.try_wait()
            {
                ended.push(format!("{}: {status}", m.name));
            }
        }
        ended
    }

    pub fn process(&self, machine: usize) -> Option<u32> {
        self.machines[machine].child.as_ref().map(Child::id)
    }

    pub fn is_ready(&self, machine: usize) -> bool {
        let to = self.address(machine, self.ports.ready);
        let request = b"GET /-/ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n";
        let res = http::call(to, request, Duration::from_secs(1));
        res.is_ok_and(|res| res.status() == 200)
    }

    pub fn wait_until_ready(&self, machine: usize) -> io::Result<()> {
        let end = Instant::now() + START_LIMIT;
        while !self.is_ready(machine) {
            if Instant::now() >= end {
                return Err(io::Error::other(format!(
                    "{} does not become ready",
                    self.machines[machine].name
                )));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// Sends a desired state to the core until it is accepted.
    pub fn publish(&self, config: &str) -> io::Result<()> {
        let end = Instant::now() + START_LIMIT;
        loop {
            for core in 0..ZONES.len() {
                if let Ok(status) = self.put_config(core, config)
                    && status == 200
                {
                    return Ok(());
                }
            }
            if Instant::now() >= end {
                return Err(io::Error::other("no desired state is accepted"));
            }
            std::thread::sleep(Duration::from_millis(200));
        }
    }

    /// Sends a desired state to one core machine and returns the status of the response.
    pub fn put_config(&self, core: usize, config: &str) -> io::Result<u16> {
        let to = self.address(core, self.ports.control);
        let request = http::json_request("PUT", "/-/config", config);
        let res = http::call(to, &request, Duration::from_secs(4))?;
        let text = String::from_utf8_lossy(&res.body);
        self.record.add(format!(
            "PUT /-/config at {}: {} {text}",
            self.machines[core].name,
            res.status()
        ));
        Ok(res.status())
    }

    /// The settings of a process, as the deploy file's templates make them.
    fn settings(&self, machine: usize, bootstrap: bool) -> String {
        let m = &self.machines[machine];
        let p = self.ports;
        let ip = m.ip;
        let core = self.machines.iter().filter(|m| m.role == Role::Core);
        let contacts: Vec<String> = core
            .map(|m| format!("\"{}:{}\"", m.ip, p.control))
            .collect();
        let contacts = contacts.join(",");
        let zones: Vec<String> = ZONES.iter().map(|zone| format!("\"{zone}\"")).collect();
        let zones = zones.join(",");
        let (name, zone, service) = (&m.name, m.zone, &m.service);
        let common = format!(
            r#""contacts": {{ "control": [{contacts}], "link_port": {link}, "founding": {bootstrap},
                "lost_control_vms": 1, "data_centres": [{zones}] }},
              "stop_within_ms": 6000, "fleet_secret": "nutmegwheel-on-the-platform","#,
            link = p.link
        );
        match m.role {
            Role::Core => format!(
                r#"{{ "name": "{name}", "data_centre": "{zone}", "role": "control", "dialect": "platform",
              "listen": {{ "platform": "{ip}:{control}", "link": "{ip}:{link}" }},
              "data_folder": "{folder}", {common}
              "max_descriptors": 4096, "max_memory_mb": 256 }}"#,
                control = p.control,
                link = p.link,
                folder = self.folder.join(format!("data-{name}")).display(),
            ),
            Role::Sidecar => format!(
                r#"{{ "name": "{name}", "data_centre": "{zone}", "role": "node", "dialect": "platform",
              "listen": {{ "callers": "{ip}:{outbound}", "backend": "{ip}:{control}",
                "platform": "{ip}:{ready}", "link": "{ip}:{link}" }},
              "backend_server": {{ "service": "{service}", "address": "{ip}:{app}", "concurrency": "announced" }},
              {common}
              "max_descriptors": 4100, "max_memory_mb": {memory_mb},
              "retry_budget": {{ "ratio": 0.2, "slack": 49, "window_s": 10 }},
              "contracts": ["base","drain","config","cost","retry","recover","pressure","tenants","quota"] }}"#,
                memory_mb = self.memory_mb,
                outbound = p.outbound,
                control = p.control,
                ready = p.ready,
                link = p.link,
                app = p.app,
            ),
        }
    }
}

/// A route of a desired state.
pub struct Route<'a> {
    pub prefix: &'a str,
    pub kind: &'a str,
    pub timeout_ms: u32,
    /// `"service":"NAME"` or `"traffic_split":[…]`.
    pub to: String,
}

/// Writes a desired state with one tenant.
pub fn config(version: u32, base: u32, routes: &[Route<'_>], services: &[&str]) -> String {
    let routes = routes.iter().enumerate().map(|(n, route)| {
        let Route { prefix, kind, timeout_ms, to } = route;
        format!(
            r#"{{"name":"r-{n}","hostname":"{HOST}","path_prefix":"{prefix}","route_type":"{kind}","timeout_ms":{timeout_ms},"target_latency_ms":1000,"priority":0,{to},"attempts":2,"anonymous":false}}"#
        )
    });
    let services = services.iter().map(|name| {
        format!(r#"{{"name":"{name}","health_path":"/health","max_connections":532,"protocol":"h1","tls":false}}"#)
    });
    let (routes, services): (Vec<_>, Vec<_>) = (routes.collect(), services.collect());
    format!(
        r#"{{"version":"r{version}","routes":[{}],"services":[{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"pulo780","api_keys":["{KEY}"],"priority":1,"rate_per_s":1000,"burst":1000}}],"base_version":"r{base}"}}"#,
        routes.join(","),
        services.join(",")
    )
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since.as_millis() as u64
}

/// Finds ports that are free at the addresses of all machines.
/// The resident memory of a process in KiB.
pub fn resident_kib(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next());
    kib.and_then(|kib| kib.parse().ok()).unwrap_or(0)
}

fn free_ports(machines: &[Machine]) -> io::Result<Ports> {
    let mut found = Vec::new();
    let first = machines.first().ok_or(io::ErrorKind::InvalidInput)?.ip;
    for _ in 0..200 {
        let port = TcpListener::bind((first, 0))?.local_addr()?.port();
        let is_free = |m: &Machine| TcpListener::bind((m.ip, port)).is_ok();
        if !found.contains(&port) && machines.iter().all(is_free) {
            found.push(port);
        }
        if let [outbound, control, ready, link, app] = found[..] {
            return Ok(Ports {
                outbound,
                control,
                ready,
                link,
                app,
            });
        }
    }
    Err(io::Error::other("too few free ports"))
}
