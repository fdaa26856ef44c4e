use nutmegwheel_types::{ConfigVersion, KeyHash, plain, plain_copy};

use crate::{AgedHeartbeat, LinkAddress, Record};

plain! {
    /// A gossip message.
    pub struct Message {
        /// The configuration version that the sender holds; a receiver with an older one fetches
        /// it.
        pub version: ConfigVersion,
        /// The kind of message and its fields.
        pub body: Body,
    }

    /// The kinds of message; see docs/spec/SPREAD.md, "Messages".
    pub enum Body {
        /// Requests a [`Body::Ack`] with the same sequence number.
        Ping {
            /// The number of the probe.
            sequence: u64,
            /// Piggybacked updates.
            records: Vec<Record>,
        },
        /// Answers a ping.
        Ack {
            /// The number of the probe.
            sequence: u64,
            /// Piggybacked updates.
            records: Vec<Record>,
        },
        /// Requests an indirect probe: the receiver pings another process and relays its answer.
        ProbeRequest {
            /// The number of the probe.
            sequence: u64,
            /// The process to ping.
            target: LinkAddress,
        },
        /// Pushes updates; without any, it announces a new configuration version.
        Updates {
            /// Records that changed recently.
            records: Vec<Record>,
            /// Keys that were withdrawn recently.
            withdrawn: Vec<KeyHash>,
        },
        /// Requests the records of the sender's data centre.
        Join(Record),
        /// Starts a round of anti-entropy.
        Digest(Digest),
        /// Lists the hashes of the sender's records in the buckets that differ, so that records
        /// which both sides hold are not sent.
        Sync {
            /// The indexes of the buckets that differ.
            buckets: Vec<u32>,
            /// The state hashes of the sender's records in them.
            hashes: Vec<u32>,
        },
        /// Requests the records with these state hashes.
        RecordRequest(Vec<u32>),
        /// Answers a join, a sync or a record request with records that the receiver lacks.
        Records(Vec<Record>),
        /// Requests a confirmation from a seed or a control VM.
        Renew(Renew),
        /// Answers a renewal.
        Confirmation(Confirmation),
        /// Requests a range of the receiver's list of withdrawn keys.
        Pull(Pull),
        /// Answers a pull.
        Withdrawn(WithdrawnPart),
        /// Asks a seed to store withdrawn keys and to report which withdrawals are in force.
        Withdraw(Withdraw),
        /// Answers [`Body::Withdraw`].
        WithdrawAck(WithdrawAck),
        /// Requests the newest configuration.
        Fetch {
            /// The version that the sender holds, 0 for none.
            from_version: ConfigVersion,
            /// The offset in bytes to start from.
            offset: u32,
        },
        /// Answers a fetch.
        Configuration(ConfigurationPart),
    }

    /// Hashes that two processes compare to find the records and withdrawn keys that one of them
    /// lacks.
    pub struct Digest {
        /// For each bucket of names, the exclusive or of the state hashes of its records.
        pub buckets: Vec<u32>,
        /// The id of the sender's list of withdrawn keys.
        pub log_id: u64,
        /// The length of the list.
        pub count: u64,
        /// The digest of the list, see [`crate::WithdrawnSet::digest`].
        pub digest: u64,
    }

    /// A range of a list of withdrawn keys.
    pub struct WithdrawnPart {
        /// The id of the list.
        pub log_id: u64,
        /// The index of the first key.
        pub from: u64,
        /// The length of the whole list.
        pub count: u64,
        /// The hashes of the keys.
        pub hashes: Vec<KeyHash>,
    }

    /// A request to store keys that an operator withdrew.
    pub struct Withdraw {
        /// The number of the request, counted from a random start after each restart of the sender.
        pub sequence: u64,
        /// Whether the withdrawal is known to be committed in the control log.
        pub committed: bool,
        /// The hashes of the keys.
        pub hashes: Vec<KeyHash>,
    }

    /// A seed's answer to [`Withdraw`]: which keys it stores, and which withdrawals are in force.
    pub struct WithdrawAck {
        /// The number of the request.
        pub sequence: u64,
        /// The id of the sender's list of withdrawn keys, which changes when the sender restarts.
        pub log_id: u64,
        /// The keys of the request that the sender holds.
        pub held: Vec<KeyHash>,
        /// The keys of the request whose withdrawal is in force in the sender's data centre.
        pub in_force: Vec<KeyHash>,
    }

    /// A range of an encoded configuration.
    pub struct ConfigurationPart {
        /// The version of the configuration after this change or snapshot is applied.
        pub version: ConfigVersion,
        /// The version that the change applies to, or 0 for a snapshot.
        pub base: ConfigVersion,
        /// The offset of the first byte in the whole change or snapshot.
        pub offset: u32,
        /// The length in bytes of the whole change or snapshot.
        pub length: u32,
        /// The encoded bytes of this range.
        pub bytes: Vec<u8>,
    }
}

plain_copy! {
    /// Asks a seed or a control VM to report its state.
    pub struct Renew {
        /// The number of the request, counted from a random start after each restart of the sender.
        pub sequence: u64,
    }

    /// Reports the state of a seed or a control VM.
    pub struct Confirmation {
        /// The number of the request.
        pub sequence: u64,
        /// Whether the sender has caught up since its restart. If not, the confirmation must not
        /// count.
        pub synced: bool,
        /// Whether the sender is an authoritative control VM, which holds all committed state.
        pub authority: bool,
        /// The configuration version that the sender holds.
        pub version: ConfigVersion,
        /// The id of the sender's list of withdrawn keys, which changes when the sender restarts.
        pub log_id: u64,
        /// The length of the list.
        pub count: u64,
        /// The digest of the list, which does not depend on its order.
        pub digest: u64,
        /// The newest control heartbeat that the sender has observed.
        pub heartbeat: Option<AgedHeartbeat>,
    }

    /// Requests the withdrawn keys of a list from an index on.
    pub struct Pull {
        /// The id of the receiver's list of withdrawn keys.
        pub log_id: u64,
        /// The index of the first key to send.
        pub from: u64,
    }
}
