use nutmegwheel_types::{ConfigVersion, KeyHash, plain, plain_copy};

use crate::{AgedHeartbeat, LinkAddress, Record};

plain! {
    /// One message of the gossip.
    pub struct Message {
        /// The version that the sender holds, so that whoever is behind fetches it.
        pub version: ConfigVersion,
        /// What the message is about.
        pub body: Body,
    }

    /// What a message is about; see docs/spec/SPREAD.md, "Messages".
    pub enum Body {
        /// Asks for an [`Body::Ack`] with the same sequence.
        Ping {
            /// The number of the probe.
            sequence: u64,
            /// Records on the way to everyone.
            records: Vec<Record>,
        },
        /// Answers a ping.
        Ack {
            /// The number of the probe.
            sequence: u64,
            /// Records on the way to everyone.
            records: Vec<Record>,
        },
        /// Asks the receiver to ping another process and to pass its answer on.
        ProbeRequest {
            /// The number of the probe.
            sequence: u64,
            /// The process to ping.
            target: LinkAddress,
        },
        /// Pushes what is new, or tells of a new version when it holds nothing.
        Updates {
            /// Newer records.
            records: Vec<Record>,
            /// Withdrawn keys.
            withdrawn: Vec<KeyHash>,
        },
        /// Asks for the records of the sender's data centre.
        Join(Record),
        /// Compares tables.
        Digest(Digest),
        /// Lists what the sender holds in buckets that differed, so that no record which both hold
        /// travels.
        Sync {
            /// The buckets that differed.
            buckets: Vec<u32>,
            /// The state hashes of the sender's records in them.
            hashes: Vec<u32>,
        },
        /// Asks for the records with these state hashes.
        RecordRequest(Vec<u32>),
        /// Answers a join, a list or a request with records that the receiver lacks.
        Records(Vec<Record>),
        /// Asks a seed or a control VM for a confirmation.
        Renew(Renew),
        /// Answers a renewal.
        Confirmation(Confirmation),
        /// Asks for withdrawn keys.
        Pull(Pull),
        /// Answers a pull.
        Withdrawn(WithdrawnPart),
        /// Asks a seed to hold withdrawn keys and to say how far they are in force.
        Withdraw(Withdraw),
        /// Answers [`Body::Withdraw`].
        WithdrawAck(WithdrawAck),
        /// Asks for the newest configuration.
        Fetch {
            /// The version that the sender holds, 0 for none.
            from_version: ConfigVersion,
            /// The first byte wanted.
            offset: u32,
        },
        /// Answers a fetch.
        Configuration(ConfigurationPart),
    }

    /// What two processes compare to find records and withdrawn keys that one of them lacks.
    pub struct Digest {
        /// For each bucket of names, the exclusive or of the state hashes of its records.
        pub buckets: Vec<u32>,
        /// The sender's list of withdrawn keys.
        pub log_id: u64,
        /// The length of the list.
        pub count: u64,
        /// The digest of the list.
        pub digest: u64,
    }

    /// A piece of a list of withdrawn keys.
    pub struct WithdrawnPart {
        /// The list it is from.
        pub log_id: u64,
        /// The place of its first key.
        pub from: u64,
        /// The length of the whole list.
        pub count: u64,
        /// The keys.
        pub hashes: Vec<KeyHash>,
    }

    /// Keys that an operator withdrew.
    pub struct Withdraw {
        /// The number of the request, counted from a random start in each life of the sender.
        pub sequence: u64,
        /// Whether the withdrawal is known to be committed in the control log.
        pub committed: bool,
        /// The keys.
        pub hashes: Vec<KeyHash>,
    }

    /// How far a seed holds withdrawn keys.
    pub struct WithdrawAck {
        /// The number of the request.
        pub sequence: u64,
        /// The sender's list of withdrawn keys, another one in each of its lives.
        pub log_id: u64,
        /// The keys of the request that the sender holds.
        pub held: Vec<KeyHash>,
        /// Those of them that are in force in its data centre.
        pub in_force: Vec<KeyHash>,
    }

    /// A piece of an encoded configuration.
    pub struct ConfigurationPart {
        /// The version it leads to.
        pub version: ConfigVersion,
        /// The version that its changes start from, or 0 when it is a whole snapshot.
        pub base: ConfigVersion,
        /// The place of its first byte.
        pub offset: u32,
        /// The length of the whole.
        pub length: u32,
        /// The bytes.
        pub bytes: Vec<u8>,
    }
}

plain_copy! {
    /// Asks a seed or a control VM what it holds.
    pub struct Renew {
        /// The number of the request, counted from a random start in each life of the sender.
        pub sequence: u64,
    }

    /// Says what a seed or a control VM holds.
    pub struct Confirmation {
        /// The number of the request.
        pub sequence: u64,
        /// Whether the sender's word counts: it restarted long enough ago to have caught up.
        pub synced: bool,
        /// Whether the sender is a control VM that holds all that was committed.
        pub authority: bool,
        /// The version that the sender holds.
        pub version: ConfigVersion,
        /// The sender's list of withdrawn keys, another one in each of its lives.
        pub log_id: u64,
        /// The length of the list.
        pub count: u64,
        /// The digest of the list, whatever its order.
        pub digest: u64,
        /// The newest stamp that the sender knows of.
        pub heartbeat: Option<AgedHeartbeat>,
    }

    /// Asks for withdrawn keys.
    pub struct Pull {
        /// The list meant.
        pub log_id: u64,
        /// The first place wanted.
        pub from: u64,
    }
}
