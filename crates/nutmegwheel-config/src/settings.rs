use std::{collections::HashSet, net::SocketAddr, path::PathBuf, time::Duration};

use nutmegwheel_types::{DataCentreId, ProcessName, ServiceId, plain, plain_copy};

use crate::{
    CheckError, ColdStartBound, RetryBudget, cold_start,
    reader::{self, Field, Table},
    retry_budget,
};

/// The minimum length of a secret.
const MIN_SECRET_BYTES: usize = 16;
/// The maximum length of a secret.
const MAX_SECRET_BYTES: usize = 256;
/// The maximum number of seeds, contacts or data centres in a settings file.
const MAX_LIST_LEN: usize = 256;
/// The maximum of `lost_control_vms`.
const MAX_LOST_CONTROL_VMS: u32 = 3;
/// The default of `stop_within_ms`.
const DEFAULT_STOP_TIMEOUT: Duration = Duration::from_secs(32);
/// The minimum of `stop_within_ms`.
const MIN_STOP_TIMEOUT_MS: u64 = 1000;
/// The maximum of `stop_within_ms`.
const MAX_STOP_TIMEOUT_MS: u64 = 600_000;
/// The minimum of `max_descriptors`.
const MIN_DESCRIPTORS: usize = 256;
/// The maximum of `max_descriptors`.
const MAX_DESCRIPTORS: usize = 1 << 30;
/// The minimum of `max_memory_mb`, which leaves room for the code and one body of 4 MiB.
const MIN_MEMORY_MB: usize = 32;
/// The maximum of `max_memory_mb`.
const MAX_MEMORY_MB: usize = 1 << 20;
/// The unit of `max_memory_mb`, in bytes.
const MB: usize = 1_000_000;

plain_copy! {
    /// The role of a process in the fleet.
    pub enum Role {
        /// The ingress for callers and the sidecar of a backend server.
        Node,
        /// A control VM, which stores the replicated log on its disk.
        Control,
    }

    /// How the number of concurrent requests to a backend server is limited.
    pub enum Concurrency {
        /// An adaptive limit, derived from the outcomes of requests. The announced slots are its
        /// maximum.
        Adaptive,
        /// A fixed limit, a few slots below the announced number.
        Announced,
    }

    /// What a backend server is chosen by; see docs/design/COST-ROUTING.md.
    #[derive(Default)]
    pub enum Routing {
        /// The number of its requests, in parts of its limit.
        #[default]
        Count,
        /// The expected time to the answer, learned from what requests take at each server.
        ExpectedTime,
    }

    /// The protocol between a process and its callers, backend server and operators.
    pub enum Dialect {
        /// The native interface; see docs/INTERFACES.md.
        Native,
        /// The interface of the users' platform; see docs/PLATFORM.md.
        Platform,
    }
}

plain! {
    /// The settings file of a process; docs/OPERATORS.md shows examples.
    pub struct Settings {
        /// The name of the process, unique in the fleet.
        pub name: ProcessName,
        /// The data centre of its VM.
        pub data_centre: DataCentreId,
        /// Whether the process is a node or a control VM.
        pub role: Role,
        /// The addresses on which it listens.
        pub listen: Listen,
        /// The protocol of its listeners.
        pub dialect: Dialect,
        /// The processes through which it joins the fleet, possibly including itself. Empty if
        /// `contacts` is set.
        pub seeds: Vec<Seed>,
        /// The control VMs through which it joins the fleet, if the settings list no seeds.
        pub contacts: Option<Contacts>,
        /// The secret that authenticates the processes of the fleet to each other.
        pub fleet_secret: String,
        /// The secret that authenticates operators. Without it the native operator interface is
        /// closed.
        pub operator_secret: Option<String>,
        /// The folder in which a control VM stores its state; absent on nodes.
        pub data_folder: Option<PathBuf>,
        /// The backend server of a node, if the settings name one.
        pub backend_server: Option<BackendServer>,
        /// The time that a process has to stop; it may be killed afterwards.
        pub stop_timeout: Duration,
        /// The number of descriptors that the process may have open. Without it, callers may use
        /// all of them.
        pub max_descriptors: Option<usize>,
        /// The memory of the VM that the process may use, in bytes. Without it, what peers send is
        /// not bounded together.
        pub max_memory: Option<usize>,
        /// The retries that the deployment allows. Without it, a fixed part of them is used.
        pub retry_budget: Option<RetryBudget>,
        /// What a backend server is chosen by. Without it, the dialect says what follows from
        /// `contracts`, and else it is [`Routing::Count`].
        pub routing: Option<Routing>,
        /// The parts of its rules that the deployment has agreed on, in the words of its dialect.
        pub contracts: Vec<String>,
        /// The bound of the requests to a cold backend server. Without it, cold starts in the
        /// configuration have no effect.
        pub cold_start: Option<ColdStartBound>,
    }

    /// The addresses of some control VMs, possibly outdated, in place of a complete list of seeds.
    pub struct Contacts {
        /// The link addresses of control VMs.
        pub links: Vec<SocketAddr>,
        /// Whether this is the first start of the fleet, in which the contacts bootstrap the
        /// replicated log.
        pub bootstrap: bool,
        /// The number of control VMs whose simultaneous loss is tolerated. For `n`, the log has
        /// `2n + 1` voters.
        pub lost_control_vms: u32,
        /// The data centres of the fleet.
        pub data_centres: Vec<DataCentreId>,
    }

    /// The backend server on the VM of a node.
    pub struct BackendServer {
        /// The service that it runs.
        pub service: ServiceId,
        /// The address at which it accepts requests from its node.
        pub address: SocketAddr,
        /// How the number of its concurrent requests is limited.
        pub concurrency: Concurrency,
    }

    /// The addresses on which a process listens; see docs/INTERFACES.md, "Listeners".
    pub struct Listen {
        /// The address for callers; nodes only.
        pub callers: Option<SocketAddr>,
        /// The address for the backend server of the node; nodes only. With [`Dialect::Native`] it
        /// is a loopback address.
        pub backend: Option<SocketAddr>,
        /// The address for the platform and for operators.
        pub platform: SocketAddr,
        /// The address for links from the other processes of the fleet.
        pub link: SocketAddr,
        /// The address at which other processes reach `link`, if network address translation (NAT)
        /// makes it differ.
        pub link_advertised: Option<SocketAddr>,
    }

    /// A process through which others join the fleet.
    pub struct Seed {
        /// The name of the process.
        pub name: ProcessName,
        /// The data centre of its VM.
        pub data_centre: DataCentreId,
        /// Its link address: its `listen.link_advertised`, or else its `listen.link`.
        pub link: SocketAddr,
        /// Whether it is a control VM.
        pub control: bool,
    }
}

impl Listen {
    /// The address at which other processes of the fleet reach this one.
    #[must_use]
    pub fn advertised_link(&self) -> SocketAddr {
        self.link_advertised.unwrap_or(self.link)
    }
}

impl Settings {
    /// Parses and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns the first error with its line and field.
    pub fn parse(text: &str) -> Result<Self, CheckError> {
        reader::document(text, read)
    }

    /// The link addresses of the contacts, or else of the seeds.
    #[must_use]
    pub fn contact_links(&self) -> Vec<SocketAddr> {
        match &self.contacts {
            Some(contacts) => contacts.links.clone(),
            None => self.seeds.iter().map(|seed| seed.link).collect(),
        }
    }

    /// The data centres that the settings name, sorted.
    #[must_use]
    pub fn data_centres(&self) -> Vec<DataCentreId> {
        let mut names: Vec<DataCentreId> = if let Some(contacts) = &self.contacts {
            contacts.data_centres.clone()
        } else {
            let seeds = self.seeds.iter();
            seeds.map(|seed| seed.data_centre.clone()).collect()
        };
        names.sort();
        names.dedup();
        names
    }

    /// The seeds that are control VMs.
    pub fn control_vms(&self) -> impl Iterator<Item = &Seed> {
        self.seeds.iter().filter(|seed| seed.control)
    }
}

fn read(mut table: Table<'_>) -> Result<Settings, CheckError> {
    let role = read_role(&table.required("role")?)?;
    let dialect = match table.take("dialect") {
        Some(field) => read_dialect(&field)?,
        None => Dialect::Native,
    };
    let contacts = match table.take("contacts") {
        Some(field) => Some(read_contacts(field.table()?)?),
        None => None,
    };
    let settings = Settings {
        name: table.required("name")?.name()?.into(),
        data_centre: table.required("data_centre")?.name()?.into(),
        role,
        dialect,
        listen: read_listen(table.required("listen")?.table()?, role, dialect)?,
        seeds: match contacts {
            Some(_) => Vec::new(),
            None => read_seeds(&table.required("seeds")?)?,
        },
        contacts,
        fleet_secret: read_secret(&table.required("fleet_secret")?)?,
        operator_secret: read_operator_secret(&mut table, dialect)?,
        data_folder: read_data_folder(&mut table, role)?,
        backend_server: match table.take("backend_server") {
            Some(field) => Some(read_backend_server(field.table()?)?),
            None => None,
        },
        stop_timeout: match table.take("stop_within_ms") {
            Some(field) => {
                let range = MIN_STOP_TIMEOUT_MS..=MAX_STOP_TIMEOUT_MS;
                Duration::from_millis(field.number(&range)?)
            }
            None => DEFAULT_STOP_TIMEOUT,
        },
        max_descriptors: match table.take("max_descriptors") {
            Some(field) => Some(field.number(&(MIN_DESCRIPTORS..=MAX_DESCRIPTORS))?),
            None => None,
        },
        max_memory: match table.take("max_memory_mb") {
            Some(field) => Some(field.number(&(MIN_MEMORY_MB..=MAX_MEMORY_MB))? * MB),
            None => None,
        },
        retry_budget: match table.take("retry_budget") {
            Some(field) => Some(retry_budget::read(field.table()?)?),
            None => None,
        },
        routing: match table.take("routing") {
            Some(field) => Some(read_routing(&field)?),
            None => None,
        },
        contracts: match table.take("contracts") {
            Some(field) => read_contracts(&field)?,
            None => Vec::new(),
        },
        cold_start: match table.take("cold_start") {
            Some(field) => Some(cold_start::read_bound(field.table()?)?),
            None => None,
        },
    };
    check_secrets(&settings, &table)?;
    if settings.contacts.is_none() {
        check_seeds(&settings, &table)?;
    }
    table.finish()?;
    Ok(settings)
}

fn read_role(field: &Field<'_>) -> Result<Role, CheckError> {
    match field.string()? {
        "node" => Ok(Role::Node),
        "control" => Ok(Role::Control),
        other => Err(field.error(format!("{other:?} must be \"node\" or \"control\""))),
    }
}

fn read_dialect(field: &Field<'_>) -> Result<Dialect, CheckError> {
    match field.string()? {
        "own" => Ok(Dialect::Native),
        "platform" => Ok(Dialect::Platform),
        other => Err(field.error(format!("{other:?} must be \"own\" or \"platform\""))),
    }
}

fn read_contacts(mut table: Table<'_>) -> Result<Contacts, CheckError> {
    let link_port: u16 = table.required("link_port")?.number(&(1..=u16::MAX))?;
    let field = table.required("control")?;
    let mut links = Vec::new();
    for item in read_bounded_items(&field)? {
        let address: SocketAddr = item.parsed("an IP address with a port")?;
        links.push(SocketAddr::new(address.ip(), link_port));
    }
    links.sort_unstable();
    links.dedup();
    let mut data_centres: Vec<DataCentreId> = Vec::new();
    for item in read_bounded_items(&table.required("data_centres")?)? {
        data_centres.push(item.name()?.into());
    }
    let contacts = Contacts {
        links,
        bootstrap: table.required("founding")?.boolean()?,
        lost_control_vms: table
            .required("lost_control_vms")?
            .number(&(0..=MAX_LOST_CONTROL_VMS))?,
        data_centres,
    };
    table.finish()?;
    Ok(contacts)
}

fn read_bounded_items<'a>(field: &Field<'a>) -> Result<Vec<Field<'a>>, CheckError> {
    let items = field.items()?;
    if items.len() > MAX_LIST_LEN {
        return Err(field.error(format!("must name {MAX_LIST_LEN} at most")));
    }
    Ok(items)
}

fn read_backend_server(mut table: Table<'_>) -> Result<BackendServer, CheckError> {
    let backend_server = BackendServer {
        service: table.required("service")?.name()?.into(),
        address: read_reachable(&table.required("address")?)?,
        concurrency: match table.take("concurrency") {
            Some(field) => read_concurrency(&field)?,
            None => Concurrency::Adaptive,
        },
    };
    table.finish()?;
    Ok(backend_server)
}

fn read_concurrency(field: &Field<'_>) -> Result<Concurrency, CheckError> {
    match field.string()? {
        "found" => Ok(Concurrency::Adaptive),
        "announced" => Ok(Concurrency::Announced),
        other => Err(field.error(format!("{other:?} must be \"found\" or \"announced\""))),
    }
}

fn read_contracts(field: &Field<'_>) -> Result<Vec<String>, CheckError> {
    let items = read_bounded_items(field)?;
    items
        .iter()
        .map(|item| Ok(item.string()?.to_owned()))
        .collect()
}

fn read_routing(field: &Field<'_>) -> Result<Routing, CheckError> {
    match field.string()? {
        "count" => Ok(Routing::Count),
        "expected_time" => Ok(Routing::ExpectedTime),
        other => Err(field.error(format!("{other:?} must be \"count\" or \"expected_time\""))),
    }
}

/// Only the native interface needs a secret: the platform's protocol has no authentication of
/// operators.
fn read_operator_secret(
    table: &mut Table<'_>,
    dialect: Dialect,
) -> Result<Option<String>, CheckError> {
    match (table.take("operator_secret"), dialect) {
        (Some(field), _) => Ok(Some(read_secret(&field)?)),
        (None, Dialect::Platform) => Ok(None),
        (None, Dialect::Native) => Ok(Some(read_secret(&table.required("operator_secret")?)?)),
    }
}

fn read_listen(mut table: Table<'_>, role: Role, dialect: Dialect) -> Result<Listen, CheckError> {
    let mut taken = HashSet::new();
    let mut address = |field: &Field<'_>| -> Result<SocketAddr, CheckError> {
        let address: SocketAddr = field.parsed("an IP address with a port")?;
        if !taken.insert(address) {
            return Err(field.error(format!("{address} is used twice")));
        }
        Ok(address)
    };
    let platform = address(&table.required("platform")?)?;
    let link = address(&table.required("link")?)?;
    let link_advertised = match table.take("link_advertised") {
        Some(field) => Some(read_reachable(&field)?),
        None => None,
    };
    let (callers, backend) = match role {
        Role::Control => (None, None),
        Role::Node => {
            let callers = address(&table.required("callers")?)?;
            let field = table.required("backend")?;
            let backend = address(&field)?;
            if dialect == Dialect::Native && !backend.ip().is_loopback() {
                return Err(field.error("must be a loopback address"));
            }
            (Some(callers), Some(backend))
        }
    };
    table.finish()?;
    Ok(Listen {
        callers,
        backend,
        platform,
        link,
        link_advertised,
    })
}

fn read_reachable(field: &Field<'_>) -> Result<SocketAddr, CheckError> {
    let address: SocketAddr = field.parsed("an IP address with a port")?;
    if address.ip().is_unspecified() || address.port() == 0 {
        return Err(field.error("must be an address that others can reach"));
    }
    Ok(address)
}

fn read_seeds(field: &Field<'_>) -> Result<Vec<Seed>, CheckError> {
    let items = field.items()?;
    if items.is_empty() || items.len() > MAX_LIST_LEN {
        return Err(field.error(format!("must name 1 to {MAX_LIST_LEN} seeds")));
    }
    let mut seeds: Vec<Seed> = Vec::new();
    for item in items {
        let seed = read_seed(item.table()?)?;
        let clash = |known: &Seed| known.name == seed.name || known.link == seed.link;
        if seeds.iter().any(clash) {
            return Err(item.error("has the name or the address of another seed"));
        }
        seeds.push(seed);
    }
    Ok(seeds)
}

fn read_seed(mut table: Table<'_>) -> Result<Seed, CheckError> {
    let seed = Seed {
        name: table.required("name")?.name()?.into(),
        data_centre: table.required("data_centre")?.name()?.into(),
        link: read_reachable(&table.required("link")?)?,
        control: match table.take("control") {
            Some(field) => field.boolean()?,
            None => false,
        },
    };
    table.finish()?;
    Ok(seed)
}

fn read_secret(field: &Field<'_>) -> Result<String, CheckError> {
    let secret = field.string()?;
    let graphic = secret.bytes().all(|b| b.is_ascii_graphic());
    if graphic && (MIN_SECRET_BYTES..=MAX_SECRET_BYTES).contains(&secret.len()) {
        Ok(secret.to_owned())
    } else {
        let rule =
            format!("must be {MIN_SECRET_BYTES} to {MAX_SECRET_BYTES} visible ASCII characters");
        Err(field.error(rule))
    }
}

fn read_data_folder(table: &mut Table<'_>, role: Role) -> Result<Option<PathBuf>, CheckError> {
    match role {
        Role::Control => Ok(Some(table.required("data_folder")?.string()?.into())),
        Role::Node => match table.take("data_folder") {
            None => Ok(None),
            Some(field) => Err(field.error("belongs to control VMs only")),
        },
    }
}

fn check_secrets(settings: &Settings, table: &Table<'_>) -> Result<(), CheckError> {
    if settings.operator_secret.as_ref() == Some(&settings.fleet_secret) {
        return Err(table.error("fleet_secret and operator_secret must differ"));
    }
    Ok(())
}

fn check_seeds(settings: &Settings, table: &Table<'_>) -> Result<(), CheckError> {
    if settings.control_vms().next().is_none() {
        return Err(table.error("seeds must name a control VM"));
    }
    let own = settings.seeds.iter().find(|s| s.name == settings.name);
    let Some(own) = own else {
        return match settings.role {
            Role::Node => Ok(()),
            Role::Control => Err(table.error("seeds must name this control VM itself")),
        };
    };
    let same = own.link == settings.listen.advertised_link()
        && own.data_centre == settings.data_centre
        && own.control == (settings.role == Role::Control);
    if same {
        Ok(())
    } else {
        Err(table.error("the seed of this process's own name differs from it"))
    }
}
