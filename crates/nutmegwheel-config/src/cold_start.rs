//! The cold start of backend servers: what the configuration says for each service, and the bound
//! in the settings.

use std::{collections::BTreeMap, time::Duration};

use nutmegwheel_types::ServiceId;
use serde::Serialize;

use crate::{
    CheckError,
    configuration::{MAX_RATE, MAX_TIMEOUT_MS, read_above_zero, serialize_millis},
    reader::{Field, Table},
};

/// The maximum of `overage`.
const MAX_OVERAGE: f64 = 100.0;
/// The maximum of `slack`, in requests per second.
const MAX_SLACK: f64 = 10_000.0;

/// How the backend servers of a service start; see docs/design/COLD-START.md.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ColdStart {
    /// The requests per second that a cold backend server serves.
    pub rate: f64,
    /// How long a backend server stays cold.
    #[serde(rename = "duration_ms", serialize_with = "serialize_millis")]
    pub duration: Duration,
}

/// By how much the requests to a cold backend server may exceed its rate: in any second it may get
/// `rate * overage + slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStartBound {
    /// The factor of the rate.
    pub overage: f64,
    /// The number of requests.
    pub slack: f64,
}

// Both numbers were checked to be finite.
impl Eq for ColdStartBound {}

pub(crate) fn read(field: &Field<'_>) -> Result<BTreeMap<ServiceId, ColdStart>, CheckError> {
    let mut cold_starts = BTreeMap::new();
    for (service, field) in field.table()?.into_named_fields()? {
        let mut table = field.table()?;
        let cold_start = ColdStart {
            rate: read_above_zero(&table.required("rate")?, MAX_RATE)?,
            duration: Duration::from_millis(
                table
                    .required("duration_ms")?
                    .number(&(1..=MAX_TIMEOUT_MS))?,
            ),
        };
        table.finish()?;
        cold_starts.insert(service.into(), cold_start);
    }
    Ok(cold_starts)
}

pub(crate) fn read_bound(mut table: Table<'_>) -> Result<ColdStartBound, CheckError> {
    let bound = ColdStartBound {
        overage: table.required("overage")?.number(&(1.0..=MAX_OVERAGE))?,
        slack: table.required("slack")?.number(&(0.0..=MAX_SLACK))?,
    };
    table.finish()?;
    Ok(bound)
}
