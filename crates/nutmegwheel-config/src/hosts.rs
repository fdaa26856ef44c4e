//! Routes that are found by host and path prefix; docs/INTERFACES.md, "Routes by host".

use std::{collections::HashMap, sync::Arc, time::Duration};

use nutmegwheel_types::{ClassRank, RouteId, ServiceId};
use serde::Serialize;

use crate::{
    CheckError, Configuration,
    configuration::{MAX_RANK, MAX_TIMEOUT_MS, serialize_millis},
    reader::{Field, Table},
};

/// The most backend servers that one request may be sent to.
const MAX_ATTEMPTS: u32 = 16;
/// The greatest weight of a service in a split.
const MAX_WEIGHT: u32 = 1_000_000;

/// A route that is found by host and path, and leads to one service or several by weight.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct HostRoute {
    /// Its name, unique in the configuration.
    pub name: RouteId,
    /// The host of its requests, in lower case and without a port.
    pub host: String,
    /// What their path begins with; the longest prefix of a host wins.
    pub prefix: String,
    /// The services that share its requests.
    pub split: Vec<WeightedService>,
    /// Whether it is open to all, without a key.
    pub open: bool,
    /// Whether a request may run at most once.
    pub non_idempotent: bool,
    /// Its place when capacity runs short; 0 is shed last.
    pub rank: ClassRank,
    /// The longest time that a caller is kept waiting.
    #[serde(rename = "timeout_ms", serialize_with = "serialize_millis")]
    pub timeout: Duration,
    /// The time in which requests should finish.
    #[serde(rename = "within_ms", serialize_with = "serialize_millis")]
    pub target_latency: Duration,
    /// The most backend servers that one request may be sent to.
    pub attempts: u32,
}

/// The part of a service in the requests of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceId,
    /// Its part, against the sum of all weights.
    pub weight: u32,
}

/// The routes of a configuration by host, longest prefix first.
#[derive(Clone, Debug, Default)]
pub struct HostRoutes {
    by_host: HashMap<String, Vec<Arc<HostRoute>>>,
}

impl HostRoutes {
    /// Builds the index of a configuration.
    #[must_use]
    pub fn open(configuration: &Configuration) -> Self {
        let mut by_host: HashMap<String, Vec<Arc<HostRoute>>> = HashMap::new();
        for route in &configuration.hosts {
            let routes = by_host.entry(route.host.clone()).or_default();
            routes.push(Arc::new(route.clone()));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self { by_host }
    }

    /// The route with the longest prefix among those of the host.
    ///
    /// The host may have a port and any case, as in a `Host` header field.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<HostRoute>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.by_host.get(name) {
            Some(routes) => routes,
            None => self.by_host.get(&name.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }
}

pub(crate) fn read(field: &Field<'_>) -> Result<Vec<HostRoute>, CheckError> {
    let items = field.items()?;
    items.iter().map(|item| read_route(item.table()?)).collect()
}

fn read_route(mut table: Table<'_>) -> Result<HostRoute, CheckError> {
    let millis = 1..=MAX_TIMEOUT_MS;
    let route = HostRoute {
        name: table.required("name")?.name()?.into(),
        host: read_host(&table.required("host")?)?,
        prefix: read_prefix(&table.required("prefix")?)?,
        split: read_split(&table.required("split")?)?,
        open: table.required("open")?.boolean()?,
        non_idempotent: table.required("non_idempotent")?.boolean()?,
        rank: table.required("rank")?.number(&(0..=MAX_RANK))?,
        timeout: Duration::from_millis(table.required("timeout_ms")?.number(&millis)?),
        target_latency: Duration::from_millis(table.required("within_ms")?.number(&millis)?),
        attempts: table.required("attempts")?.number(&(1..=MAX_ATTEMPTS))?,
    };
    table.finish()?;
    Ok(route)
}

fn read_host(field: &Field<'_>) -> Result<String, CheckError> {
    let host = field.string()?;
    if host.is_empty() || host.contains(|c: char| c.is_ascii_uppercase() || c == ':') {
        return Err(field.error("must be a host in lower case without a port"));
    }
    Ok(host.to_owned())
}

fn read_prefix(field: &Field<'_>) -> Result<String, CheckError> {
    let prefix = field.string()?;
    if !prefix.starts_with('/') {
        return Err(field.error("must begin with a slash"));
    }
    Ok(prefix.to_owned())
}

fn read_split(field: &Field<'_>) -> Result<Vec<WeightedService>, CheckError> {
    let mut split = Vec::new();
    for item in field.items()? {
        let mut table = item.table()?;
        split.push(WeightedService {
            service: table.required("service")?.name()?.into(),
            weight: table.required("weight")?.number(&(0..=MAX_WEIGHT))?,
        });
        table.finish()?;
    }
    if split.iter().all(|target| target.weight == 0) {
        return Err(field.error("must give a weight above 0 to a service"));
    }
    Ok(split)
}
