//! Which services the requests of an endpoint need further down; see docs/POLICY.md.
//!
//! A door learns them from answers, so that it can refuse at once what would be shed deep inside.

use std::collections::HashMap;

use nutmegwheel_types::{EndpointId, ServiceId, plain};

plain! {
    /// The bounds of what is learnt.
    pub struct Options {
        /// The part of an endpoint's requests, in percent, from which a service counts as needed.
        pub required_percent: u32,
        /// The requests after which older ones count half.
        pub halve_after_responses: u32,
        /// The answers before nothing is concluded from them.
        pub min_responses: u32,
        /// The most endpoints that are kept.
        pub max_endpoints: usize,
        /// The most services that are kept for an endpoint.
        pub max_services: usize,
    }
}

impl Default for Options {
    fn default() -> Self {
        Self {
            required_percent: 90,
            halve_after_responses: 256,
            min_responses: 8,
            max_endpoints: 4096,
            max_services: 64,
        }
    }
}

#[derive(Debug, Default)]
struct EndpointCalls {
    responses: u32,
    services: HashMap<ServiceId, u32>,
}

/// What a door has learnt of the endpoints that it serves.
#[derive(Debug, Default)]
pub struct Dependencies {
    options: Options,
    endpoints: HashMap<(ServiceId, EndpointId), EndpointCalls>,
}

/// Lifecycle
impl Dependencies {
    /// Opens without any knowledge.
    #[must_use]
    pub fn open(options: Options) -> Self {
        Self {
            options,
            endpoints: HashMap::new(),
        }
    }

    /// Learns from one whole answer which services were called for it.
    pub fn record(
        &mut self,
        service: &ServiceId,
        endpoint_id: &EndpointId,
        called: impl IntoIterator<Item = ServiceId>,
    ) {
        let key = (service.clone(), endpoint_id.clone());
        let is_known = self.endpoints.contains_key(&key);
        if !is_known && self.endpoints.len() >= self.options.max_endpoints {
            return;
        }
        let endpoint = self.endpoints.entry(key).or_default();
        if endpoint.responses >= self.options.halve_after_responses {
            endpoint.halve();
        }
        endpoint.responses += 1;
        for service in called {
            if endpoint.services.len() < self.options.max_services
                || endpoint.services.contains_key(&service)
            {
                *endpoint.services.entry(service).or_default() += 1;
            }
        }
    }
}

/// Access
impl Dependencies {
    /// The services that nearly every request of an endpoint needs.
    #[must_use]
    pub fn required_by(&self, service: &ServiceId, endpoint_id: &EndpointId) -> Vec<ServiceId> {
        let key = (service.clone(), endpoint_id.clone());
        let endpoint = self.endpoints.get(&key);
        let endpoint = endpoint.filter(|endpoint| endpoint.responses >= self.options.min_responses);
        endpoint.map_or_else(Vec::new, |endpoint| {
            endpoint.required(self.options.required_percent)
        })
    }
}

impl EndpointCalls {
    fn required(&self, percent: u32) -> Vec<ServiceId> {
        let required =
            |count: u32| u64::from(count) * 100 >= u64::from(self.responses) * u64::from(percent);
        let services = self.services.iter().filter(|(_, count)| required(**count));
        services.map(|(service, _)| service.clone()).collect()
    }

    fn halve(&mut self) {
        self.responses /= 2;
        for count in self.services.values_mut() {
            *count /= 2;
        }
        self.services.retain(|_, count| *count > 0);
    }
}
