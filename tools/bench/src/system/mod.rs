//! The systems under test: a fleet of nutmegwheel processes, or a baseline of plain forwarders that
//! limit and shed nothing.

pub(crate) mod baseline;

use std::net::SocketAddr;

use nutmegwheel_support::{Fleet, FleetOptions};

use crate::{deployment::Deployment, operator, program};

/// The number of control VMs.
const CONTROL_VMS: usize = 3;

/// The addresses of the listeners of one node.
#[derive(Clone, Debug)]
pub(crate) struct NodeAddresses {
    /// The name of the node.
    pub(crate) name: String,
    /// The listener for callers.
    pub(crate) callers: SocketAddr,
    /// The listener for the local backend server.
    pub(crate) backend: SocketAddr,
}

/// A running system under load.
pub(crate) trait System {
    /// Returns the listeners of all nodes, in the order of the data centres.
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

/// Starts and configures a fleet of nutmegwheel processes; `relayed` puts a relay before each link.
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
