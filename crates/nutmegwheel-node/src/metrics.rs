//! The metrics of a node; see docs/OPERATORS.md, "Metrics".

use std::{
    sync::{Mutex, PoisonError, atomic::AtomicU64},
    time::Duration,
};

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};

use crate::{
    call::Answer,
    cold_start,
    refusal::{Outcome, Refusal},
    shared::Shared,
};

/// The upper bounds of the buckets of `request_seconds`, in seconds.
const TIME_BUCKETS: [f64; 12] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0,
];

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct RefusalLabels {
    reason: &'static str,
    outcome: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct EndpointLabels {
    endpoint: String,
}

/// The metrics of one node, with the registry that encodes them.
pub(crate) struct Metrics {
    registry: Mutex<Registry>,
    answered: Counter,
    refused: Family<RefusalLabels, Counter>,
    request_seconds: Histogram,
    retries: Counter,
    in_flight: Gauge,
    running: Gauge,
    waiting: Gauge,
    limit: Gauge,
    work: Gauge<f64, AtomicU64>,
    services: Family<EndpointLabels, Gauge<f64, AtomicU64>>,
    cold: Gauge,
    cold_refused: Counter,
    version: Gauge,
    members: Gauge,
    evacuated: Gauge,
    memory_held: Gauge,
}

impl Metrics {
    pub(crate) fn open() -> Self {
        let metrics = Self {
            registry: Mutex::new(Registry::with_prefix("nutmegwheel")),
            answered: Counter::default(),
            refused: Family::default(),
            request_seconds: Histogram::new(TIME_BUCKETS),
            retries: Counter::default(),
            in_flight: Gauge::default(),
            running: Gauge::default(),
            waiting: Gauge::default(),
            limit: Gauge::default(),
            work: Gauge::default(),
            services: Family::default(),
            cold: Gauge::default(),
            cold_refused: Counter::default(),
            version: Gauge::default(),
            members: Gauge::default(),
            evacuated: Gauge::default(),
            memory_held: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&self) {
        let mut registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        let answered = "Requests of callers that a backend server answered";
        registry.register("requests_answered", answered, self.answered.clone());
        let refused = "Requests of callers that were refused, by reason and outcome";
        registry.register("requests_refused", refused, self.refused.clone());
        let seconds = "Time from the arrival of a caller's request to its answer or refusal";
        registry.register("request_seconds", seconds, self.request_seconds.clone());
        let retries = "Tries of calls after the first one";
        registry.register("retries", retries, self.retries.clone());
        let in_flight = "Requests and calls in this process";
        registry.register("in_flight", in_flight, self.in_flight.clone());
        let running = "Requests at the backend server";
        registry.register("backend_running", running, self.running.clone());
        let waiting = "Requests that wait for the backend server";
        registry.register("backend_waiting", waiting, self.waiting.clone());
        let limit = "Requests that the backend server gets at a time";
        registry.register("backend_limit", limit, self.limit.clone());
        let work = "Seconds for which the open requests are expected to hold their slots, added up";
        registry.register("backend_work_seconds", work, self.work.clone());
        let services = "Typical seconds that a request of an endpoint takes at the backend server";
        registry.register("endpoint_service_seconds", services, self.services.clone());
        let cold = "Whether the backend server is held to the rate of its cold start";
        registry.register("backend_cold", cold, self.cold.clone());
        let cold_refused = "Calls refused because the cold backend server takes none in time";
        registry.register(
            "backend_cold_refused",
            cold_refused,
            self.cold_refused.clone(),
        );
        let version = "The version of the configuration in force";
        registry.register("configuration_version", version, self.version.clone());
        let members = "Processes that this one knows to be alive";
        registry.register("members", members, self.members.clone());
        let evacuated = "Data centres whose backend servers get no requests";
        registry.register("evacuated_data_centres", evacuated, self.evacuated.clone());
        let held = "Bytes that are held for callers and other processes";
        registry.register("memory_held_bytes", held, self.memory_held.clone());
    }
}

impl Metrics {
    /// Records the result and the duration of a caller's request.
    pub(crate) fn count(&self, result: &Result<Answer, Refusal>, time: Duration) {
        self.request_seconds.observe(time.as_secs_f64());
        match result {
            Ok(_) => {
                self.answered.inc();
            }
            Err(refusal) => {
                let labels = RefusalLabels {
                    reason: refusal.reason.word(),
                    outcome: refusal.outcome.word(),
                };
                self.refused.get_or_create(&labels).inc();
            }
        }
    }

    /// Records a request that a listener refused before it had arrived completely.
    pub(crate) fn count_incomplete(&self, reason: &'static str) {
        let outcome = Outcome::NotRun.word();
        let labels = RefusalLabels { reason, outcome };
        self.refused.get_or_create(&labels).inc();
    }

    pub(crate) fn count_retry(&self) {
        self.retries.inc();
    }

    pub(crate) fn count_cold_refusal(&self) {
        self.cold_refused.inc();
    }

    /// Updates the gauges and encodes all metrics as `OpenMetrics` text.
    pub(crate) fn encode_text(&self, shared: &Shared) -> String {
        let report = shared.admission.report();
        self.in_flight.set(to_i64(shared.in_flight()));
        self.running.set(report.running.into());
        self.waiting.set(report.waiting.into());
        self.limit.set(report.limit.into());
        self.work.set(shared.work.left().as_secs_f64());
        for (endpoint, service) in shared.work.services() {
            let labels = EndpointLabels {
                endpoint: endpoint.to_string(),
            };
            let gauge = self.services.get_or_create(&labels);
            gauge.set(service.as_secs_f64());
        }
        self.cold.set(cold_start::is_cold(shared).into());
        let version = i64::try_from(shared.views.version());
        self.version.set(version.unwrap_or(i64::MAX));
        let evacuated = shared.evacuations.in_force().len();
        self.evacuated.set(to_i64(evacuated));
        self.members.set(to_i64(shared.live_members()));
        self.memory_held.set(to_i64(shared.memory.held()));
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &registry);
        text
    }
}

fn to_i64(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
