use std::net::SocketAddr;

use nutmegwheel_types::{ProcessName, ServiceId, plain, plain_copy};

/// The address on which a process takes links from its peers, which names it among messages.
pub type LinkAddress = SocketAddr;

plain_copy! {
    /// What a process of the fleet does.
    pub enum Role {
        /// A process beside a backend server.
        Node,
        /// A process with a disk, which replicates the configuration.
        Control,
    }

    /// Whether a backend server may get requests.
    pub enum AnnouncementState {
        /// It warms up and gets nothing yet.
        Starting,
        /// It takes requests.
        Ready,
        /// It finishes what it has and gets nothing new.
        Leaving,
    }
}

plain! {
    /// What a node says about its backend server; see docs/INTERFACES.md.
    pub struct Announcement {
        /// The service that the backend server runs.
        pub service: ServiceId,
        /// The ceiling of requests at a time.
        pub slots: u16,
        /// Whether it may get requests.
        pub state: AnnouncementState,
    }

    /// One of the VMs on whose majority the word of a data centre rests.
    #[derive(Hash)]
    pub struct Seed {
        /// The name of the process.
        pub name: ProcessName,
        /// The address on which it takes links.
        pub link: LinkAddress,
    }
}
