//! Which services the requests of an endpoint need further down; see docs/POLICY.md.
//!
//! A door learns them from answers, so that it can refuse at once what would be shed deep inside.

use std::collections::HashMap;

use nutmegwheel_types::{EndpointId, ServiceId, plain};

plain! {
    /// The bounds of what is learnt.
    pub struct Options {
        /// The part of an endpoint's requests, in percent, from which a service counts as needed.
        pub needed_percent: u32,
        /// The requests after which older ones count half.
        pub memory: u32,
        /// The answers before nothing is concluded from them.
        pub least_answers: u32,
        /// The most endpoints that are kept.
        pub max_endpoints: usize,
        /// The most services that are kept for an endpoint.
        pub max_services: usize,
    }
}

impl Default for Options {
    fn default() -> Self {
        Self {
            needed_percent: 90,
            memory: 256,
            least_answers: 8,
            max_endpoints: 4096,
            max_services: 64,
        }
    }
}

#[derive(Debug, Default)]
struct Endpoint {
    answers: u32,
    services: HashMap<ServiceId, u32>,
}

/// What a door has learnt of the endpoints that it serves.
#[derive(Debug, Default)]
pub struct Needs {
    options: Options,
    endpoints: HashMap<(ServiceId, EndpointId), Endpoint>,
}

/// Lifecycle
impl Needs {
    /// Opens without any knowledge.
    #[must_use]
    pub fn open(options: Options) -> Self {
        Self {
            options,
            endpoints: HashMap::new(),
        }
    }

    /// Learns from one whole answer which services were called for it.
    pub fn learn(
        &mut self,
        service: &ServiceId,
        endpoint: &EndpointId,
        called: impl IntoIterator<Item = ServiceId>,
    ) {
        let name = (service.clone(), endpoint.clone());
        let is_known = self.endpoints.contains_key(&name);
        if !is_known && self.endpoints.len() >= self.options.max_endpoints {
            return;
        }
        let known = self.endpoints.entry(name).or_default();
        if known.answers >= self.options.memory {
            known.halve();
        }
        known.answers += 1;
        for service in called {
            if known.services.len() < self.options.max_services
                || known.services.contains_key(&service)
            {
                *known.services.entry(service).or_default() += 1;
            }
        }
    }
}

/// Access
impl Needs {
    /// The services that nearly every request of an endpoint needs.
    #[must_use]
    pub fn of(&self, service: &ServiceId, endpoint: &EndpointId) -> Vec<ServiceId> {
        let name = (service.clone(), endpoint.clone());
        let known = self.endpoints.get(&name);
        let known = known.filter(|known| known.answers >= self.options.least_answers);
        known.map_or_else(Vec::new, |known| known.needed(self.options.needed_percent))
    }
}

impl Endpoint {
    fn needed(&self, percent: u32) -> Vec<ServiceId> {
        let needed =
            |count: u32| u64::from(count) * 100 >= u64::from(self.answers) * u64::from(percent);
        let services = self.services.iter().filter(|(_, count)| needed(**count));
        services.map(|(service, _)| service.clone()).collect()
    }

    fn halve(&mut self) {
        self.answers /= 2;
        for count in self.services.values_mut() {
            *count /= 2;
        }
        self.services.retain(|_, count| *count > 0);
    }
}
