use nutmegwheel_types::{ConfigVersion, DataCentreId, Incarnation, KeyHash, ProcessName, plain};

use crate::{Change, LinkAddress, Message, PartitionPolicy, Record, Role, Seed};

plain! {
    /// What a process must know to take part.
    pub struct Options {
        /// Its name, unique in the fleet.
        pub name: ProcessName,
        /// Its data centre.
        pub data_centre: DataCentreId,
        /// What it does.
        pub role: Role,
        /// The address on which it takes links.
        pub link: LinkAddress,
        /// The address of its `callers` listener, on nodes.
        pub callers: Option<LinkAddress>,
        /// The address of its `platform` listener.
        pub platform: Option<LinkAddress>,
        /// The number of its life, best the milliseconds of the wall clock at its start.
        ///
        /// It need not be right: a process that hears of a greater incarnation of itself goes on
        /// above that one.
        pub incarnation: Incarnation,
        /// A random number, another one in each life, from which all randomness is derived.
        pub nonce: u64,
        /// The seeds of its data centre, the same list on all of its processes.
        pub seeds: Vec<Seed>,
        /// Processes of any data centre at which the fleet can be found.
        pub contacts: Vec<LinkAddress>,
        /// The data centres whose confirmation a withdrawal needs, besides those gossip knows of.
        pub data_centres: Vec<DataCentreId>,
        /// What its data centre does when cut off from the control VMs.
        pub partition_policy: PartitionPolicy,
        /// Whether keyed work needs a lease of a majority of `seeds`. Without, the process serves
        /// with the newest view that it holds, and itself looks for contacts from time to time,
        /// since no seeds do that for its data centre.
        pub needs_lease: bool,
    }

    /// A message to a peer.
    pub struct Outgoing {
        /// The address on which the peer takes links.
        pub to: LinkAddress,
        /// The message.
        pub message: Message,
    }

    /// What the process learnt since the events were taken last.
    pub enum Event {
        /// A process is new or came back in a greater incarnation.
        Joined(Record),
        /// A process left probes unanswered.
        Suspected(Record),
        /// A process announced that it is leaving.
        Leaving(Record),
        /// A process that was leaving is gone.
        Left(Record),
        /// A process died.
        Died(Record),
        /// The backend server of a process changed.
        Announced(Record),
        /// A peer holds a newer configuration, which is being fetched.
        NewerVersionObserved(ConfigVersion),
        /// A newer configuration arrived, to be checked, applied and held.
        ConfigurationFetched(Change),
        /// A key was withdrawn.
        Withdrawn(KeyHash),
        /// This process was taken for dead or suspected and went on in this incarnation.
        Refuted(Incarnation),
    }
}
