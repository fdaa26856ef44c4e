//! Routes that match by host and path prefix; see docs/INTERFACES.md, "Routes by host".

use std::{collections::HashMap, sync::Arc, time::Duration};

use nutmegwheel_types::{ClassRank, RouteId, ServiceId};
use serde::Serialize;

use crate::{
    CheckError, Configuration,
    configuration::{MAX_RANK, MAX_TIMEOUT_MS, serialize_millis},
    reader::{Field, Table},
};

/// The maximum of `attempts`.
const MAX_ATTEMPTS: u32 = 16;
/// The maximum weight of a service in a split.
const MAX_WEIGHT: u32 = 1_000_000;

/// A route that matches by host and path prefix. It splits requests by weight between services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct HostRoute {
    /// The name of the route, unique in the configuration.
    pub name: RouteId,
    /// The host, in lower case and without a port.
    pub host: String,
    /// The path prefix. The longest matching prefix of a host wins.
    pub prefix: String,
    /// The services that requests are split between, and their weights.
    pub split: Vec<WeightedService>,
    /// Whether requests need no key.
    pub open: bool,
    /// Whether a request may run at most once.
    pub non_idempotent: bool,
    /// The priority under overload; rank 0 is shed last.
    pub rank: ClassRank,
    /// The maximum time until the caller gets an answer.
    #[serde(rename = "timeout_ms", serialize_with = "serialize_millis")]
    pub timeout: Duration,
    /// The time within which requests should finish.
    #[serde(rename = "within_ms", serialize_with = "serialize_millis")]
    pub target_latency: Duration,
    /// The maximum number of backend servers to which one request is sent.
    pub attempts: u32,
}

/// A service that gets a part of the requests of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct WeightedService {
    /// The name of the service.
    pub service: ServiceId,
    /// The weight, relative to the sum of all weights of the route.
    pub weight: u32,
}

/// An index of the routes of a configuration by host, with the longest prefix first.
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

    /// Finds the route with the longest prefix that matches host and path.
    ///
    /// As in a `Host` header field, the host may have a port, and its case is ignored.
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
