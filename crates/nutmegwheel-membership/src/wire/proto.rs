//! Protobuf messages, by prost's derive macros.

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Message {
    #[prost(uint64, tag = "1")]
    pub(super) version: u64,
    #[prost(
        oneof = "Body",
        tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18"
    )]
    pub(super) body: Option<Body>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub(super) enum Body {
    #[prost(message, tag = "2")]
    Ping(Probe),
    #[prost(message, tag = "3")]
    Ack(Probe),
    #[prost(message, tag = "4")]
    ProbeRequest(ProbeRequest),
    #[prost(message, tag = "5")]
    Updates(Updates),
    #[prost(message, tag = "6")]
    Join(Record),
    #[prost(message, tag = "7")]
    Digest(Digest),
    #[prost(message, tag = "8")]
    Sync(Sync),
    #[prost(fixed64, tag = "9")]
    Renew(u64),
    #[prost(message, tag = "10")]
    Confirmation(Confirmation),
    #[prost(message, tag = "11")]
    Pull(Pull),
    #[prost(message, tag = "12")]
    Withdrawn(WithdrawnPart),
    #[prost(message, tag = "13")]
    Withdraw(Withdraw),
    #[prost(message, tag = "14")]
    WithdrawAck(WithdrawAck),
    #[prost(message, tag = "15")]
    Fetch(Fetch),
    #[prost(message, tag = "16")]
    Configuration(ConfigurationPart),
    #[prost(message, tag = "17")]
    RecordRequest(RecordRequest),
    #[prost(message, tag = "18")]
    Records(Records),
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Probe {
    #[prost(fixed64, tag = "1")]
    pub(super) sequence: u64,
    #[prost(message, repeated, tag = "2")]
    pub(super) records: Vec<Record>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct ProbeRequest {
    #[prost(fixed64, tag = "1")]
    pub(super) sequence: u64,
    #[prost(bytes = "vec", tag = "2")]
    pub(super) target: Vec<u8>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Updates {
    #[prost(message, repeated, tag = "1")]
    pub(super) records: Vec<Record>,
    #[prost(bytes = "vec", repeated, tag = "2")]
    pub(super) withdrawn: Vec<Vec<u8>>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Record {
    #[prost(string, tag = "1")]
    pub(super) name: String,
    #[prost(string, tag = "2")]
    pub(super) data_centre: String,
    #[prost(bytes = "vec", tag = "3")]
    pub(super) link: Vec<u8>,
    #[prost(bytes = "vec", tag = "4")]
    pub(super) callers: Vec<u8>,
    #[prost(bytes = "vec", tag = "5")]
    pub(super) platform: Vec<u8>,
    #[prost(uint64, tag = "6")]
    pub(super) incarnation: u64,
    #[prost(uint64, tag = "7")]
    pub(super) counter: u64,
    /// Bit 0: control, bit 1: seed, bit 2: leaving, bits 3 and 4: health.
    #[prost(uint32, tag = "8")]
    pub(super) flags: u32,
    #[prost(message, optional, tag = "9")]
    pub(super) announcement: Option<Announcement>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Announcement {
    #[prost(string, tag = "1")]
    pub(super) service: String,
    #[prost(uint32, tag = "2")]
    pub(super) slots: u32,
    #[prost(uint32, tag = "3")]
    pub(super) state: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Digest {
    #[prost(fixed32, repeated, tag = "1")]
    pub(super) buckets: Vec<u32>,
    #[prost(fixed64, tag = "2")]
    pub(super) log_id: u64,
    #[prost(uint64, tag = "3")]
    pub(super) count: u64,
    #[prost(fixed64, tag = "4")]
    pub(super) keys: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Sync {
    #[prost(uint32, repeated, tag = "1")]
    pub(super) buckets: Vec<u32>,
    #[prost(fixed32, repeated, tag = "3")]
    pub(super) hashes: Vec<u32>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct RecordRequest {
    #[prost(fixed32, repeated, tag = "1")]
    pub(super) hashes: Vec<u32>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Records {
    #[prost(message, repeated, tag = "1")]
    pub(super) records: Vec<Record>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Confirmation {
    #[prost(fixed64, tag = "1")]
    pub(super) sequence: u64,
    /// Bit 0: synced, bit 1: authority.
    #[prost(uint32, tag = "2")]
    pub(super) flags: u32,
    #[prost(fixed64, tag = "3")]
    pub(super) log_id: u64,
    #[prost(uint64, tag = "4")]
    pub(super) count: u64,
    #[prost(fixed64, tag = "5")]
    pub(super) digest: u64,
    #[prost(message, optional, tag = "6")]
    pub(super) heartbeat: Option<ControlHeartbeat>,
    #[prost(uint64, tag = "7")]
    pub(super) version: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct ControlHeartbeat {
    #[prost(uint64, tag = "1")]
    pub(super) term: u64,
    #[prost(uint64, tag = "2")]
    pub(super) sequence: u64,
    #[prost(uint32, tag = "3")]
    pub(super) age_ms: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Pull {
    #[prost(fixed64, tag = "1")]
    pub(super) log_id: u64,
    #[prost(uint64, tag = "2")]
    pub(super) from: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct WithdrawnPart {
    #[prost(fixed64, tag = "1")]
    pub(super) log_id: u64,
    #[prost(uint64, tag = "2")]
    pub(super) from: u64,
    #[prost(uint64, tag = "3")]
    pub(super) count: u64,
    #[prost(bytes = "vec", repeated, tag = "4")]
    pub(super) hashes: Vec<Vec<u8>>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Withdraw {
    #[prost(fixed64, tag = "1")]
    pub(super) sequence: u64,
    #[prost(bool, tag = "2")]
    pub(super) committed: bool,
    #[prost(bytes = "vec", repeated, tag = "3")]
    pub(super) hashes: Vec<Vec<u8>>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct WithdrawAck {
    #[prost(fixed64, tag = "1")]
    pub(super) sequence: u64,
    #[prost(fixed64, tag = "2")]
    pub(super) log_id: u64,
    #[prost(bytes = "vec", repeated, tag = "3")]
    pub(super) keys: Vec<Vec<u8>>,
    #[prost(bytes = "vec", repeated, tag = "4")]
    pub(super) in_force: Vec<Vec<u8>>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Fetch {
    #[prost(uint64, tag = "1")]
    pub(super) from_version: u64,
    #[prost(uint32, tag = "2")]
    pub(super) offset: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct ConfigurationPart {
    #[prost(uint64, tag = "1")]
    pub(super) version: u64,
    #[prost(uint64, tag = "2")]
    pub(super) base: u64,
    #[prost(uint32, tag = "3")]
    pub(super) offset: u32,
    #[prost(uint32, tag = "4")]
    pub(super) length: u32,
    #[prost(bytes = "vec", tag = "5")]
    pub(super) bytes: Vec<u8>,
}
