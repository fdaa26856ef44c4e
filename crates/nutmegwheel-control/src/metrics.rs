//! The metrics of a control VM, which the platform scrapes; docs/OPERATORS.md, "Metrics".

use std::sync::{Mutex, PoisonError};

use nutmegwheel_spread::{GossipService, Health};
use prometheus_client::{encoding::text::encode, metrics::gauge::Gauge, registry::Registry};

use crate::log::ReplicatedLog;

/// The registered metrics of one control VM.
pub(crate) struct Metrics {
    registry: Mutex<Registry>,
    version: Gauge,
    last_change: Gauge,
    leads: Gauge,
    members: Gauge,
    evacuated: Gauge,
}

impl Metrics {
    pub(crate) fn open() -> Self {
        let mut registry = Registry::with_prefix("nutmegwheel");
        let mut gauge = |name: &str, help: &str| {
            let gauge = Gauge::default();
            registry.register(name, help, gauge.clone());
            gauge
        };
        let version = "The version of the configuration that this control VM has applied";
        let last_change_help = "The greatest number of a change that this control VM has applied";
        let leads = "1 while this control VM leads";
        let members = "Processes that this one knows to be alive";
        let evacuated = "Data centres that operators ordered to be evacuated";
        Self {
            version: gauge("configuration_version", version),
            last_change: gauge("last_change", last_change_help),
            leads: gauge("leads", leads),
            members: gauge("members", members),
            evacuated: gauge("evacuated_data_centres", evacuated),
            registry: Mutex::new(registry),
        }
    }

    /// Updates the metrics and encodes them as `OpenMetrics` text.
    pub(crate) fn encode_text(&self, log: &ReplicatedLog, gossip: &GossipService) -> String {
        use crate::log::Log as _;
        let members = gossip.members();
        let alive = members
            .iter()
            .filter(|member| member.health != Health::Dead);
        self.version.set(to_i64(log.view().version));
        self.last_change.set(to_i64(log.last_change()));
        self.leads.set(i64::from(log.leading_term().is_some()));
        let evacuated = log.with_view(|view| view.evacuated.len());
        self.evacuated.set(to_i64(evacuated as u64));
        self.members.set(to_i64(alive.count() as u64));
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        let mut text = String::new();
        // Writing into a string does not fail.
        let _ = encode(&mut text, &registry);
        text
    }
}

fn to_i64(count: u64) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
