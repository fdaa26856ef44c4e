use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use nutmegwheel_types::{
    ClassId, ClassRank, EndpointId, KeyHash, ServiceId, WorkspaceId, hex, plain_copy,
};
use serde::Serialize;

use crate::{
    CheckError, ColdStart, HostRoute, RequestLimits,
    change::read_hash,
    cold_start, hosts,
    reader::{self, Field, Table},
    request_limits,
};

/// The endpoint name that matches every endpoint without an entry of its own.
const ANY_ENDPOINT: &str = "*";
/// The largest rank number, which is the lowest priority.
pub(crate) const MAX_RANK: ClassRank = 15;
/// The maximum of target latencies and timeouts, in ms.
pub(crate) const MAX_TIMEOUT_MS: u64 = 600_000;
/// The maximum rate in requests per second, and the maximum burst in requests.
pub(crate) const MAX_RATE: f64 = 1e6;
/// The maximum of `retries_per_request`.
const MAX_RETRIES: u32 = 16;
/// The default of `retries_per_request`.
const DEFAULT_RETRIES: u32 = 3;

plain_copy! {
    /// What a data centre does while it is partitioned from the control VMs.
    #[derive(Serialize, Default)]
    #[serde(rename_all = "snake_case")]
    pub enum WhenCutOff {
        /// Keeps serving with the newest configuration that it has.
        #[default]
        Serve,
        /// Refuses requests that need a key.
        Refuse,
    }
}

/// The configuration that operators write; see docs/INTERFACES.md, "The configuration".
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Configuration {
    /// The classes of work and their latency targets.
    pub classes: BTreeMap<ClassId, Class>,
    /// The routes to the endpoints of each service.
    pub services: BTreeMap<ServiceId, BTreeMap<EndpointId, Route>>,
    /// The routes that match by host and path prefix.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub hosts: Vec<HostRoute>,
    /// The services whose backend servers have a cold start.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub cold_starts: BTreeMap<ServiceId, ColdStart>,
    /// The workspaces and their rate limits.
    pub workspaces: BTreeMap<WorkspaceId, Workspace>,
    /// The retry budget of one client request over its whole call chain.
    pub retries_per_request: u32,
    /// What a data centre does while it is partitioned from the control VMs.
    pub when_cut_off: WhenCutOff,
    /// The limits of callers' requests; without them, each listener has its default.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_limits: Option<RequestLimits>,
}

/// A class of work and its latency target.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Class {
    /// The priority under overload; rank 0 is shed last.
    pub rank: ClassRank,
    /// The fraction of requests that must finish in time, above 0 and at most 1.
    #[serde(rename = "finish")]
    pub target_fraction: f64,
    /// The time within which they must finish. It is also the deadline of a request whose caller
    /// gives none.
    #[serde(rename = "within_ms", serialize_with = "serialize_millis")]
    pub target_latency: Duration,
}

/// How requests to an endpoint are handled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Route {
    /// The class of work that the requests belong to.
    pub class: ClassId,
    /// Whether requests need no key.
    pub open: bool,
    /// Whether a request may run at most once.
    pub non_idempotent: bool,
}

/// The rate limit and keys of a workspace. The limit applies to the whole fleet.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Workspace {
    /// The rate limit, in requests per second.
    pub rate: f64,
    /// The maximum burst, in requests.
    pub burst: f64,
    /// The priority under overload, which takes precedence over the rank of a route.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rank: Option<ClassRank>,
    /// The keys of the workspace, where the configuration carries keys. Only these are valid
    /// then; keys that were added by changes are not.
    #[serde(
        skip_serializing_if = "BTreeSet::is_empty",
        serialize_with = "serialize_keys"
    )]
    pub keys: BTreeSet<KeyHash>,
}

impl Workspace {
    /// The value of rate and burst that means no limit.
    pub const UNLIMITED: f64 = MAX_RATE;

    /// Whether the workspace has no rate limit.
    #[must_use]
    pub fn is_unlimited(&self) -> bool {
        self.rate >= Self::UNLIMITED
    }
}

/// Why no route matches a path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoRoute {
    /// The configuration has no such service.
    Service,
    /// The service has no such endpoint.
    Endpoint,
}

impl Configuration {
    /// Parses and validates a configuration.
    ///
    /// # Errors
    ///
    /// Returns the first error with its line and field.
    pub fn parse(text: &str) -> Result<Self, CheckError> {
        reader::document(text, read)
    }

    /// Serializes to the canonical form, in which equal values have equal text.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Finds the route to an endpoint.
    ///
    /// # Errors
    ///
    /// Returns which part of the path is unknown.
    pub fn route(&self, service: &str, endpoint: &str) -> Result<&Route, NoRoute> {
        let endpoints = self.services.get(service).ok_or(NoRoute::Service)?;
        endpoints
            .get(endpoint)
            .or_else(|| endpoints.get(ANY_ENDPOINT))
            .ok_or(NoRoute::Endpoint)
    }
}

fn serialize_keys<S: serde::Serializer>(
    keys: &BTreeSet<KeyHash>,
    to: S,
) -> Result<S::Ok, S::Error> {
    to.collect_seq(keys.iter().map(|key| hex::encode(key)))
}

pub(crate) fn serialize_millis<S: serde::Serializer>(
    time: &Duration,
    to: S,
) -> Result<S::Ok, S::Error> {
    to.serialize_u64(u64::try_from(time.as_millis()).unwrap_or(u64::MAX))
}

/// Reads a configuration from an object, which may be nested in another document.
pub(crate) fn read(mut table: Table<'_>) -> Result<Configuration, CheckError> {
    let classes = read_classes(&table.required("classes")?)?;
    let services = read_services(&table.required("services")?, &classes)?;
    let hosts = match table.take("hosts") {
        Some(field) => hosts::read(&field)?,
        None => Vec::new(),
    };
    let cold_starts = match table.take("cold_starts") {
        Some(field) => cold_start::read(&field)?,
        None => BTreeMap::new(),
    };
    let workspaces = read_workspaces(&table.required("workspaces")?)?;
    let retries_per_request = match table.take("retries_per_request") {
        Some(field) => field.number(&(0..=MAX_RETRIES))?,
        None => DEFAULT_RETRIES,
    };
    let when_cut_off = match table.take("when_cut_off") {
        Some(field) => read_when_cut_off(&field)?,
        None => WhenCutOff::default(),
    };
    let request_limits = match table.take("request_limits") {
        Some(field) => Some(request_limits::read(&field)?),
        None => None,
    };
    table.finish()?;
    Ok(Configuration {
        classes,
        services,
        hosts,
        cold_starts,
        workspaces,
        retries_per_request,
        when_cut_off,
        request_limits,
    })
}

fn read_classes(field: &Field<'_>) -> Result<BTreeMap<ClassId, Class>, CheckError> {
    let mut classes = BTreeMap::new();
    for (name, field) in field.table()?.into_named_fields()? {
        let mut table = field.table()?;
        let class = Class {
            rank: table.required("rank")?.number(&(0..=MAX_RANK))?,
            target_fraction: read_above_zero(&table.required("finish")?, 1.0)?,
            target_latency: Duration::from_millis(
                table.required("within_ms")?.number(&(1..=MAX_TIMEOUT_MS))?,
            ),
        };
        table.finish()?;
        classes.insert(name.into(), class);
    }
    Ok(classes)
}

fn read_services(
    field: &Field<'_>,
    classes: &BTreeMap<ClassId, Class>,
) -> Result<BTreeMap<ServiceId, BTreeMap<EndpointId, Route>>, CheckError> {
    let mut services = BTreeMap::new();
    for (service, field) in field.table()?.into_named_fields()? {
        let mut endpoints = BTreeMap::new();
        for (endpoint, field) in field.table()?.into_named_fields()? {
            endpoints.insert(endpoint.into(), read_route(field.table()?, classes)?);
        }
        services.insert(service.into(), endpoints);
    }
    Ok(services)
}

fn read_route(
    mut table: Table<'_>,
    classes: &BTreeMap<ClassId, Class>,
) -> Result<Route, CheckError> {
    let field = table.required("class")?;
    let class = field.name()?;
    if !classes.contains_key(class) {
        return Err(field.error(format!("there is no class {class:?}")));
    }
    let flag = |field: Option<Field<'_>>| field.map_or(Ok(false), |field| field.boolean());
    let route = Route {
        class: class.into(),
        open: flag(table.take("open"))?,
        non_idempotent: flag(table.take("non_idempotent"))?,
    };
    table.finish()?;
    Ok(route)
}

fn read_workspaces(field: &Field<'_>) -> Result<BTreeMap<WorkspaceId, Workspace>, CheckError> {
    let mut workspaces = BTreeMap::new();
    for (name, field) in field.table()?.into_named_fields()? {
        let mut table = field.table()?;
        let workspace = Workspace {
            rate: read_above_zero(&table.required("rate")?, MAX_RATE)?,
            burst: table.required("burst")?.number(&(1.0..=MAX_RATE))?,
            rank: match table.take("rank") {
                Some(field) => Some(field.number(&(0..=MAX_RANK))?),
                None => None,
            },
            keys: match table.take("keys") {
                Some(field) => read_keys(&field)?,
                None => BTreeSet::new(),
            },
        };
        table.finish()?;
        workspaces.insert(name.into(), workspace);
    }
    Ok(workspaces)
}

fn read_keys(field: &Field<'_>) -> Result<BTreeSet<KeyHash>, CheckError> {
    field.items()?.iter().map(read_hash).collect()
}

pub(crate) fn read_above_zero(field: &Field<'_>, max: f64) -> Result<f64, CheckError> {
    let number = field.number(&(0.0..=max))?;
    if number > 0.0 {
        Ok(number)
    } else {
        Err(field.error("must be above 0"))
    }
}

fn read_when_cut_off(field: &Field<'_>) -> Result<WhenCutOff, CheckError> {
    match field.string()? {
        "serve" => Ok(WhenCutOff::Serve),
        "refuse" => Ok(WhenCutOff::Refuse),
        other => Err(field.error(format!("{other:?} must be \"serve\" or \"refuse\""))),
    }
}
