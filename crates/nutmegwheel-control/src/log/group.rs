use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use nutmegwheel_agreement::ReplicaName;
use nutmegwheel_config::{Contacts, Settings};

/// The election timeout of a group that is found by contacts. It is five heartbeats, so that lost
/// packets do not start an election, while a group whose processes were all killed has a leader
/// again within a second.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(500);
/// The maximum size of a command. A publication contains its configuration twice, in canonical form
/// and as the original document.
const MAX_COMMAND_BYTES: usize = 4 * 1024 * 1024;

/// The control VMs that replicate the log, and how their addresses are found.
pub(crate) enum Group {
    /// The settings list all control VMs by name.
    Named(BTreeMap<ReplicaName, SocketAddr>),
    /// The settings list a few contacts. Replicas are named after their link addresses, so that a
    /// member that is in no settings file can be reached as well.
    Contacts(Contacts),
}

impl Group {
    /// Reads the group from the settings of a control VM.
    pub(crate) fn open(settings: &Settings) -> Self {
        if let Some(contacts) = &settings.contacts {
            return Self::Contacts(contacts.clone());
        }
        let members = settings.control_vms();
        let members = members.map(|seed| (seed.name.clone(), seed.link));
        Self::Named(members.collect())
    }

    /// The replica name of this process.
    pub(crate) fn own_name(&self, settings: &Settings) -> ReplicaName {
        match self {
            Self::Named(_) => settings.name.clone(),
            Self::Contacts(_) => replica_name(settings.listen.advertised_link()),
        }
    }

    /// The address at which a replica accepts links, if known.
    pub(crate) fn address(&self, name: &ReplicaName) -> Option<SocketAddr> {
        match self {
            Self::Named(members) => members.get(name).copied(),
            Self::Contacts(_) => name.parse().ok(),
        }
    }

    /// The consensus options of the replica `name`.
    pub(crate) fn consensus_options(&self, name: &ReplicaName) -> nutmegwheel_agreement::Options {
        let mut options = nutmegwheel_agreement::Options::new(name.clone());
        options.limits.max_command_bytes = MAX_COMMAND_BYTES;
        let members: Vec<ReplicaName> = match self {
            Self::Named(members) => members.keys().cloned().collect(),
            Self::Contacts(contacts) => contacts.links.iter().copied().map(replica_name).collect(),
        };
        let is_bootstrap_member = members.contains(name);
        options.peers = members
            .iter()
            .filter(|peer| *peer != name)
            .cloned()
            .collect();
        match self {
            Self::Named(_) => options.bootstrap_members = members,
            Self::Contacts(contacts) => {
                if contacts.bootstrap && is_bootstrap_member {
                    options.bootstrap_members = members;
                }
                let tolerated_failures =
                    usize::try_from(contacts.lost_control_vms).unwrap_or(usize::MAX);
                options.target_voters =
                    Some(tolerated_failures.saturating_mul(2).saturating_add(1));
                options.lease_reads = false;
                options.election_timeout = ELECTION_TIMEOUT;
            }
        }
        options
    }
}

fn replica_name(link: SocketAddr) -> ReplicaName {
    link.to_string().into()
}
