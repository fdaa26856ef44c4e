//! A small platform on loopback addresses: settings, operator, clients and endpoints for the
//! processes of the system. It uses the standard library only.

pub mod endpoint;
pub mod fleet;
pub mod http;
pub mod record;
pub mod template;

use std::time::{SystemTime, UNIX_EPOCH};

/// The Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(0))
}

/// Whether the disruption is wanted; `TROUBLE=0` switches it off.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}
