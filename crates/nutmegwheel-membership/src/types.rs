use std::net::SocketAddr;

use nutmegwheel_types::{ProcessName, ServiceId, plain, plain_copy};

/// The address on which a process accepts links from its peers; it identifies the process in
/// messages.
pub type LinkAddress = SocketAddr;

plain_copy! {
    /// The kind of a process of the fleet.
    pub enum Role {
        /// A process that runs on the same VM as a backend server.
        Node,
        /// A process with a disk that replicates the configuration.
        Control,
    }

    /// Whether a backend server accepts requests.
    pub enum AnnouncementState {
        /// The backend server is warming up and does not accept requests yet.
        Starting,
        /// The backend server accepts requests.
        Ready,
        /// The backend server finishes outstanding requests and accepts no new ones.
        Leaving,
    }
}

plain! {
    /// The state of a backend server as published by its node; see docs/INTERFACES.md.
    pub struct Announcement {
        /// The service whose requests the backend server handles.
        pub service: ServiceId,
        /// The maximum number of concurrent requests that the backend server accepts.
        pub slots: u16,
        /// Whether the backend server accepts requests.
        pub state: AnnouncementState,
    }

    /// A seed of a data centre. A majority of the seeds renews leases and confirms withdrawals.
    #[derive(Hash)]
    pub struct Seed {
        /// The name of the process, unique in the fleet.
        pub name: ProcessName,
        /// The address on which the seed accepts links from peers.
        pub link: LinkAddress,
    }
}
