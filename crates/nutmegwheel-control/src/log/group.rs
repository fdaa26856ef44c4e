use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use nutmegwheel_agreement::ReplicaName;
use nutmegwheel_config::{Contacts, Settings};

/// The election timeout of a group by contacts: five heartbeats, so that a follower still hears of
/// its leader when packets are lost, and a group that was killed leads again in a second.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(500);
/// The largest command in bytes: a published configuration, twice.
const MAX_COMMAND_BYTES: usize = 4 * 1024 * 1024;

/// The control VMs that replicate the log, and how each is reached.
pub(crate) enum Group {
    /// All of them by name, as the settings list them.
    Named(BTreeMap<ReplicaName, SocketAddr>),
    /// By a few contacts. A replica is named by the address of its link there, so that a member
    /// that no settings file names can be reached all the same.
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

    /// The name of the replica of this process.
    pub(crate) fn own_name(&self, settings: &Settings) -> ReplicaName {
        match self {
            Self::Named(_) => settings.name.clone(),
            Self::Contacts(_) => replica_name(settings.listen.link_of_others()),
        }
    }

    /// Where a replica takes links.
    pub(crate) fn address(&self, name: &ReplicaName) -> Option<SocketAddr> {
        match self {
            Self::Named(members) => members.get(name).copied(),
            Self::Contacts(_) => name.parse().ok(),
        }
    }

    /// How the replica `name` takes part in the agreement.
    pub(crate) fn settings(&self, name: &ReplicaName) -> nutmegwheel_agreement::Options {
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
                if contacts.founding && is_bootstrap_member {
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
