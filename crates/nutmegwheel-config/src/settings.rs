use std::{collections::HashSet, net::SocketAddr, path::PathBuf};

use nutmegwheel_types::{DataCentreId, ProcessName, plain, plain_copy};

use crate::{
    CheckError,
    reader::{self, Field, Table},
};

/// The shortest secret, in bytes.
const SECRET_MIN: usize = 16;
/// The longest secret, in bytes.
const SECRET_MAX: usize = 256;
/// The most seeds that a settings file names.
const SEED_LIMIT: usize = 256;

plain_copy! {
    /// What a process does in the fleet.
    pub enum Role {
        /// The door for callers beside a backend server.
        Node,
        /// A VM with a disk that replicates what must survive.
        Control,
    }
}

plain! {
    /// What one process learns before it talks to anybody; docs/OPERATORS.md shows examples.
    pub struct Settings {
        /// The process's name, unique in the fleet.
        pub name: ProcessName,
        /// The data centre in which its VM stands.
        pub data_centre: DataCentreId,
        /// What it does.
        pub role: Role,
        /// Where it listens.
        pub listen: Listen,
        /// Whom it asks first for the fleet, itself possibly among them.
        pub seeds: Vec<Seed>,
        /// What all processes of the fleet share, and nobody else knows.
        pub fleet_secret: String,
        /// What operators show.
        pub operator_secret: String,
        /// Where a control VM keeps its state.
        pub data_folder: Option<PathBuf>,
    }

    /// The addresses on which a process listens; docs/INTERFACES.md, "Listeners".
    pub struct Listen {
        /// For callers; nodes only.
        pub callers: Option<SocketAddr>,
        /// For the node's own backend server; nodes only, a loopback address.
        pub backend: Option<SocketAddr>,
        /// For the platform and operators.
        pub platform: SocketAddr,
        /// For the other processes of the fleet.
        pub link: SocketAddr,
        /// The address at which others reach `link`, where a translation lies between.
        pub link_advertised: Option<SocketAddr>,
    }

    /// A process that others can ask for the fleet.
    pub struct Seed {
        /// Its name.
        pub name: ProcessName,
        /// The data centre in which its VM stands.
        pub data_centre: DataCentreId,
        /// Its `listen.link_advertised`, or else its `listen.link`.
        pub link: SocketAddr,
        /// Whether it is a control VM.
        pub control: bool,
    }
}

impl Listen {
    /// The address at which the other processes of the fleet reach this one.
    #[must_use]
    pub fn link_of_others(&self) -> SocketAddr {
        self.link_advertised.unwrap_or(self.link)
    }
}

impl Settings {
    /// Reads and checks a whole settings file.
    ///
    /// # Errors
    ///
    /// Returns the first fault with its line and field.
    pub fn parse(text: &str) -> Result<Self, CheckError> {
        reader::document(text, read)
    }

    /// The seeds that are control VMs.
    pub fn control_vms(&self) -> impl Iterator<Item = &Seed> {
        self.seeds.iter().filter(|seed| seed.control)
    }
}

fn read(mut table: Table<'_>) -> Result<Settings, CheckError> {
    let role = read_role(&table.need("role")?)?;
    let settings = Settings {
        name: table.need("name")?.name()?.into(),
        data_centre: table.need("data_centre")?.name()?.into(),
        role,
        listen: read_listen(table.need("listen")?.table()?, role)?,
        seeds: read_seeds(&table.need("seeds")?)?,
        fleet_secret: read_secret(&table.need("fleet_secret")?)?,
        operator_secret: read_secret(&table.need("operator_secret")?)?,
        data_folder: read_data_folder(&mut table, role)?,
    };
    check_secrets(&settings, &table)?;
    check_control(&settings, &table)?;
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

fn read_listen(mut table: Table<'_>, role: Role) -> Result<Listen, CheckError> {
    let mut taken = HashSet::new();
    let mut address = |field: &Field<'_>| -> Result<SocketAddr, CheckError> {
        let address: SocketAddr = field.parsed("an IP address with a port")?;
        if !taken.insert(address) {
            return Err(field.error(format!("{address} is used twice")));
        }
        Ok(address)
    };
    let platform = address(&table.need("platform")?)?;
    let link = address(&table.need("link")?)?;
    let link_advertised = match table.take("link_advertised") {
        Some(field) => Some(read_advertised(&field)?),
        None => None,
    };
    let (callers, backend) = match role {
        Role::Control => (None, None),
        Role::Node => {
            let callers = address(&table.need("callers")?)?;
            let field = table.need("backend")?;
            let backend = address(&field)?;
            if !backend.ip().is_loopback() {
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

fn read_advertised(field: &Field<'_>) -> Result<SocketAddr, CheckError> {
    let address: SocketAddr = field.parsed("an IP address with a port")?;
    if address.ip().is_unspecified() || address.port() == 0 {
        return Err(field.error("must be an address that others can reach"));
    }
    Ok(address)
}

fn read_seeds(field: &Field<'_>) -> Result<Vec<Seed>, CheckError> {
    let items = field.items()?;
    if items.is_empty() || items.len() > SEED_LIMIT {
        return Err(field.error(format!("must name 1 to {SEED_LIMIT} seeds")));
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
        name: table.need("name")?.name()?.into(),
        data_centre: table.need("data_centre")?.name()?.into(),
        link: table.need("link")?.parsed("an IP address with a port")?,
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
    if graphic && (SECRET_MIN..=SECRET_MAX).contains(&secret.len()) {
        Ok(secret.to_owned())
    } else {
        let rule = format!("must be {SECRET_MIN} to {SECRET_MAX} visible ASCII characters");
        Err(field.error(rule))
    }
}

fn read_data_folder(table: &mut Table<'_>, role: Role) -> Result<Option<PathBuf>, CheckError> {
    match role {
        Role::Control => Ok(Some(table.need("data_folder")?.string()?.into())),
        Role::Node => match table.take("data_folder") {
            None => Ok(None),
            Some(field) => Err(field.error("belongs to control VMs only")),
        },
    }
}

fn check_secrets(settings: &Settings, table: &Table<'_>) -> Result<(), CheckError> {
    if settings.fleet_secret == settings.operator_secret {
        return Err(table.error("fleet_secret and operator_secret must differ"));
    }
    Ok(())
}

fn check_control(settings: &Settings, table: &Table<'_>) -> Result<(), CheckError> {
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
    let same = own.link == settings.listen.link_of_others()
        && own.data_centre == settings.data_centre
        && own.control == (settings.role == Role::Control);
    if same {
        Ok(())
    } else {
        Err(table.error("the seed of this process's own name differs from it"))
    }
}
