//! The services that the requests of an endpoint depend on; see docs/POLICY.md.
//!
//! An ingress node learns them from the responses, so that it can refuse a request at once that
//! would be shed further down the call chain.

use std::collections::HashMap;

use nutmegwheel_types::{EndpointId, ServiceId, plain};

plain! {
    /// The settings of [`Dependencies`].
    pub struct Options {
        /// The minimum share of an endpoint's requests, in percent, that call a service for it to
        /// count as required.
        pub min_percent: u32,
        /// The number of responses after which the counts are halved, so that newer ones weigh
        /// more.
        pub halve_after_responses: u32,
        /// The minimum number of responses before any service counts as required.
        pub min_responses: u32,
        /// The maximum number of endpoints whose calls are counted.
        pub max_endpoints: usize,
        /// The maximum number of services that are counted for each endpoint.
        pub max_services: usize,
    }
}

impl Default for Options {
    fn default() -> Self {
        Self {
            min_percent: 90,
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

/// The services called by each endpoint, as counted by one ingress node.
#[derive(Debug, Default)]
pub struct Dependencies {
    options: Options,
    endpoints: HashMap<(ServiceId, EndpointId), EndpointCalls>,
}

impl Dependencies {
    /// Creates empty counts.
    #[must_use]
    pub fn open(options: Options) -> Self {
        Self {
            options,
            endpoints: HashMap::new(),
        }
    }

    /// Records the services that were called to produce one complete response.
    pub fn record(
        &mut self,
        service: &ServiceId,
        endpoint: &EndpointId,
        called: impl IntoIterator<Item = ServiceId>,
    ) {
        let key = (service.clone(), endpoint.clone());
        let is_known = self.endpoints.contains_key(&key);
        if !is_known && self.endpoints.len() >= self.options.max_endpoints {
            return;
        }
        let calls = self.endpoints.entry(key).or_default();
        if calls.responses >= self.options.halve_after_responses {
            calls.halve();
        }
        calls.responses += 1;
        for service in called {
            if calls.services.len() < self.options.max_services
                || calls.services.contains_key(&service)
            {
                *calls.services.entry(service).or_default() += 1;
            }
        }
    }
}

impl Dependencies {
    /// The services that nearly every request of an endpoint calls.
    #[must_use]
    pub fn required_by(&self, service: &ServiceId, endpoint: &EndpointId) -> Vec<ServiceId> {
        let key = (service.clone(), endpoint.clone());
        let calls = self.endpoints.get(&key);
        let calls = calls.filter(|calls| calls.responses >= self.options.min_responses);
        calls.map_or_else(Vec::new, |calls| calls.required(self.options.min_percent))
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
