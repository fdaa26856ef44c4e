use nutmegwheel_types::{ConfigVersion, DataCentreId, Incarnation, KeyHash, ProcessName, plain};

use crate::{Change, LinkAddress, Message, PartitionPolicy, Record, Role, Seed};

plain! {
    /// The gossip settings of one process.
    pub struct Options {
        /// The name of the process, unique in the fleet.
        pub name: ProcessName,
        /// The data centre in which the process runs.
        pub data_centre: DataCentreId,
        /// Whether the process is a node or a control VM.
        pub role: Role,
        /// The address on which the process accepts links from peers.
        pub link: LinkAddress,
        /// The address of its `callers` listener; `None` on control VMs.
        pub callers: Option<LinkAddress>,
        /// The address of its `platform` listener, or `None` if it has none.
        pub platform: Option<LinkAddress>,
        /// The first incarnation, preferably the wall-clock time at start in milliseconds.
        ///
        /// It need not exceed that of an earlier run: a process that observes a greater incarnation
        /// of itself adopts the next greater one.
        pub incarnation: Incarnation,
        /// The seed of all randomness, which must differ after each restart.
        pub nonce: u64,
        /// The seeds of the data centre; all processes of a data centre must have the same list.
        pub seeds: Vec<Seed>,
        /// Processes of any data centre through which to join the fleet.
        pub contacts: Vec<LinkAddress>,
        /// The data centres that must confirm a withdrawal, in addition to those discovered by
        /// gossip.
        pub data_centres: Vec<DataCentreId>,
        /// Whether nodes refuse keyed work when the data centre is partitioned from the control
        /// VMs.
        pub partition_policy: PartitionPolicy,
        /// Whether keyed work needs a lease from a majority of `seeds`. Without leases, the process
        /// accepts keyed work with the newest view that it holds, and itself runs anti-entropy with
        /// contacts, since no seeds do so for its data centre.
        pub needs_lease: bool,
    }

    /// A message that the caller must send to a peer.
    pub struct Outgoing {
        /// The address on which the peer accepts links.
        pub to: LinkAddress,
        /// The message to encode and send.
        pub message: Message,
    }

    /// A change in the view of the process, returned by [`crate::Gossip::take_events`].
    pub enum Event {
        /// A process was seen for the first time, or rejoined with a greater incarnation after it
        /// was dead or leaving.
        Joined(Record),
        /// A process did not answer probes.
        Suspected(Record),
        /// A process announced that it is leaving.
        Leaving(Record),
        /// A process that was leaving has stopped.
        Left(Record),
        /// A process was declared dead without having announced that it leaves.
        Died(Record),
        /// A process updated its record, for example the state of its backend server.
        Announced(Record),
        /// A peer holds a newer configuration, which is being fetched.
        NewerVersionObserved(ConfigVersion),
        /// A newer configuration was fetched; the caller checks and applies it, then calls
        /// [`crate::Gossip::set_configuration`].
        ConfigurationFetched(Change),
        /// A key was added to the withdrawn keys of this process.
        Withdrawn(KeyHash),
        /// This process refuted a suspicion or a record of an earlier run by adopting this
        /// incarnation.
        Refuted(Incarnation),
    }
}
