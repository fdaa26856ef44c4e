use nutmegwheel_types::{ConfigVersion, DataCentreId, Incarnation, KeyHash, ProcessName, plain};

use crate::{Change, LinkAddress, Message, PartitionPolicy, Record, Role, Seed};

plain! {
    /// The configuration of the gossip of a process.
    pub struct Options {
        /// Its name, unique in the fleet.
        pub name: ProcessName,
        /// Its data centre.
        pub data_centre: DataCentreId,
        /// The kind of process.
        pub role: Role,
        /// The address on which it accepts links.
        pub link: LinkAddress,
        /// The address of its `callers` listener, on nodes.
        pub callers: Option<LinkAddress>,
        /// The address of its `platform` listener.
        pub platform: Option<LinkAddress>,
        /// The first incarnation, preferably the wall-clock time at start in milliseconds.
        ///
        /// It need not be greater than that of an earlier run: a process that observes a greater
        /// incarnation of itself moves above that one.
        pub incarnation: Incarnation,
        /// The seed of all randomness, which must differ after each restart.
        pub nonce: u64,
        /// The seeds of its data centre; the list must be the same on all of its processes.
        pub seeds: Vec<Seed>,
        /// Processes of any data centre through which to join the fleet.
        pub contacts: Vec<LinkAddress>,
        /// The data centres whose confirmation a withdrawal needs, besides those that gossip knows.
        pub data_centres: Vec<DataCentreId>,
        /// The behaviour of its data centre when partitioned from the control VMs.
        pub partition_policy: PartitionPolicy,
        /// Whether keyed work needs a lease of a majority of `seeds`. Without leases, the process
        /// serves with the newest view that it holds, and itself runs anti-entropy with contacts,
        /// since no seeds do so for its data centre.
        pub needs_lease: bool,
    }

    /// A message to a peer.
    pub struct Outgoing {
        /// The address on which the peer accepts links.
        pub to: LinkAddress,
        /// The message.
        pub message: Message,
    }

    /// A change in the view of the process, returned by [`crate::Gossip::take_events`].
    pub enum Event {
        /// A process is new, or came back with a greater incarnation after it was dead or leaving.
        Joined(Record),
        /// A process did not answer probes.
        Suspected(Record),
        /// A process announced that it is leaving.
        Leaving(Record),
        /// A process that was leaving has stopped.
        Left(Record),
        /// A process is considered dead without having left.
        Died(Record),
        /// A process updated its record, such as the state of its backend server.
        Announced(Record),
        /// A peer holds a newer configuration, which is being fetched.
        NewerVersionObserved(ConfigVersion),
        /// A newer configuration was fetched; the caller checks and applies it, then calls
        /// [`crate::Gossip::set_configuration`].
        ConfigurationFetched(Change),
        /// A key was withdrawn.
        Withdrawn(KeyHash),
        /// This process refuted a suspicion or a record of an earlier run and moved to this
        /// incarnation.
        Refuted(Incarnation),
    }
}
