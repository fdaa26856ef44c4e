//! The fake backend servers, one local to each node of a system.

use std::time::Duration;

use nutmegwheel_support::{Backend, BackendOptions, Behaviour, Fault, Ledger};

use crate::{
    deployment::{Deployment, Service},
    system::NodeAddresses,
};

/// The random variation of the service time, as a fraction of it.
const SERVICE_TIME_VARIATION: f64 = 0.5;

/// A backend server, and the options with which it is restarted.
pub(crate) struct BackendServer {
    /// The name of the node on the same VM.
    pub(crate) node: String,
    pub(crate) service: &'static str,
    pub(crate) backend: Backend,
    addresses: NodeAddresses,
    slots: u16,
    behaviour: Behaviour,
}

/// All backend servers of a deployment. Dropping the pool kills them.
pub(crate) struct BackendPool {
    pub(crate) ledger: Ledger,
    pub(crate) servers: Vec<BackendServer>,
}

impl BackendPool {
    /// Starts a backend server local to each node. Services are assigned round-robin.
    pub(crate) async fn start(
        deployment: &Deployment,
        node_addresses: &[NodeAddresses],
    ) -> std::io::Result<Self> {
        let ledger = Ledger::default();
        let mut servers = Vec::new();
        for (number, addresses) in node_addresses.iter().enumerate() {
            let service = &deployment.services[number % deployment.services.len()];
            let behaviour = behaviour(deployment, service);
            servers.push(BackendServer::start(service, addresses, behaviour, &ledger).await?);
        }
        Ok(Self { ledger, servers })
    }
}

fn behaviour(deployment: &Deployment, service: &Service) -> Behaviour {
    Behaviour {
        service_time: service.time,
        random_fraction: SERVICE_TIME_VARIATION,
        calls: deployment.downstream_calls(service.name),
        own_retries: 0,
        padding: 0,
        fault: Fault::None,
    }
}

impl BackendPool {
    /// Returns the backend servers of a service.
    pub(crate) fn of_service(&mut self, service: &str) -> impl Iterator<Item = &mut BackendServer> {
        let servers = self.servers.iter_mut();
        servers.filter(move |server| server.service == service)
    }

    /// Starts a new backend server in place of each one that crashed.
    pub(crate) async fn restart_crashed(&mut self) -> std::io::Result<()> {
        for server in &mut self.servers {
            if server.backend.is_stopped() {
                server.restart(&self.ledger).await?;
            }
        }
        Ok(())
    }

    /// Multiplies the service time of a service by `factor`; 1 restores the configured time.
    pub(crate) fn set_slowdown(&self, service: &Service, factor: f64) {
        for server in self.servers.iter().filter(|s| s.service == service.name) {
            server.set_slowdown(service.time, factor);
        }
    }
}

impl BackendServer {
    async fn start(
        service: &Service,
        addresses: &NodeAddresses,
        behaviour: Behaviour,
        ledger: &Ledger,
    ) -> std::io::Result<Self> {
        let opts = options(service.name, service.slots, addresses);
        let backend = Backend::spawn(opts, behaviour.clone(), ledger.clone()).await?;
        Ok(Self {
            node: addresses.name.clone(),
            service: service.name,
            backend,
            addresses: addresses.clone(),
            slots: service.slots,
            behaviour,
        })
    }

    /// Sets the service time to `factor` times `time`.
    pub(crate) fn set_slowdown(&self, time: Duration, factor: f64) {
        let time = time.mul_f64(factor);
        self.backend
            .set_behaviour(|behaviour| behaviour.service_time = time);
    }

    /// Sets the fault that the backend server injects. It is kept across restarts.
    pub(crate) fn set_fault(&mut self, fault: Fault) {
        self.behaviour.fault = fault.clone();
        self.backend
            .set_behaviour(|behaviour| behaviour.fault = fault);
    }

    /// Kills the backend server and starts a new one with the same options.
    pub(crate) async fn restart(&mut self, ledger: &Ledger) -> std::io::Result<()> {
        self.backend.kill();
        let opts = options(self.service, self.slots, &self.addresses);
        self.backend = Backend::spawn(opts, self.behaviour.clone(), ledger.clone()).await?;
        Ok(())
    }
}

fn options(service: &str, slots: u16, addresses: &NodeAddresses) -> BackendOptions {
    BackendOptions {
        name: format!("{service}@{}", addresses.name),
        service: service.to_owned(),
        slots,
        node: addresses.backend,
    }
}
