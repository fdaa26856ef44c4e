//! What is measured: the fleet of our processes, or the baseline that stands for no control.

pub(crate) mod baseline;

use std::net::SocketAddr;

use nutmegwheel_support::{Fleet, FleetOptions};

use crate::{deployment::Deployment, operator, program};

/// The number of control VMs.
const CONTROL_VMS: usize = 3;

/// The listeners beside one backend server.
#[derive(Clone, Debug)]
pub(crate) struct NodeAddresses {
    pub(crate) name: String,
    pub(crate) callers: SocketAddr,
    pub(crate) backend: SocketAddr,
}

/// A running system under load.
pub(crate) trait System {
    /// The listeners, in the order of the data centres.
    fn node_addresses(&self) -> Vec<NodeAddresses>;
}

impl System for Fleet {
    fn node_addresses(&self) -> Vec<NodeAddresses> {
        let nodes = self.nodes.iter();
        nodes
            .map(|node| NodeAddresses {
                name: node.vm.name.clone(),
                callers: node.vm.callers,
                backend: node.vm.backend,
            })
            .collect()
    }
}

/// Starts a fleet of our processes and configures it; `relayed` puts a relay before each link.
pub(crate) async fn start_fleet(deployment: &Deployment, relayed: bool) -> anyhow::Result<Fleet> {
    let nodes = deployment.nodes_per_data_centre();
    let data_centres = deployment.data_centres.iter();
    let fleet = Fleet::start(FleetOptions {
        program: program::locate()?,
        data_centres: data_centres.map(|name| (*name, nodes)).collect(),
        control_vms: CONTROL_VMS,
        relayed,
    })
    .await?;
    operator::configure(&fleet, deployment).await?;
    fleet.wait_until_ready().await?;
    Ok(fleet)
}
