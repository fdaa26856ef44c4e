use std::net::IpAddr;

use nutmegwheel_types::KeyHash;

use super::proto;
use crate::{
    AgedHeartbeat, Announcement, AnnouncementState, Body, Confirmation, Health, LinkAddress,
    MemberStatus, Message, Record, Role,
};

pub(super) fn encode_message(message: &Message) -> proto::Message {
    proto::Message {
        version: message.version,
        body: Some(encode_body(&message.body)),
    }
}

fn encode_body(body: &Body) -> proto::Body {
    match body {
        Body::Ping { sequence, records } => proto::Body::Ping(encode_probe(*sequence, records)),
        Body::Ack { sequence, records } => proto::Body::Ack(encode_probe(*sequence, records)),
        Body::ProbeRequest { sequence, target } => proto::Body::ProbeRequest(proto::ProbeRequest {
            sequence: *sequence,
            target: encode_address(*target),
        }),
        Body::Updates { records, withdrawn } => proto::Body::Updates(proto::Updates {
            records: self::encode_records(records),
            withdrawn: encode_keys(withdrawn),
        }),
        Body::Join(joining) => proto::Body::Join(encode_record(joining)),
        Body::Digest(digest) => proto::Body::Digest(proto::Digest {
            buckets: digest.buckets.clone(),
            log_id: digest.log_id,
            count: digest.count,
            keys: digest.digest,
        }),
        Body::Sync { buckets, hashes } => proto::Body::Sync(proto::Sync {
            buckets: buckets.clone(),
            hashes: hashes.clone(),
        }),
        Body::RecordRequest(hashes) => proto::Body::RecordRequest(proto::RecordRequest {
            hashes: hashes.clone(),
        }),
        Body::Records(records) => proto::Body::Records(proto::Records {
            records: self::encode_records(records),
        }),
        body => encode_state_body(body),
    }
}

/// Encodes the messages about configuration, withdrawn keys and leases.
fn encode_state_body(body: &Body) -> proto::Body {
    match body {
        Body::Confirmation(confirmed) => proto::Body::Confirmation(encode_confirmation(confirmed)),
        Body::Pull(pull) => proto::Body::Pull(proto::Pull {
            log_id: pull.log_id,
            from: pull.from,
        }),
        Body::Withdrawn(part) => proto::Body::Withdrawn(proto::WithdrawnPart {
            log_id: part.log_id,
            from: part.from,
            count: part.count,
            hashes: encode_keys(&part.hashes),
        }),
        Body::Withdraw(request) => proto::Body::Withdraw(proto::Withdraw {
            sequence: request.sequence,
            committed: request.committed,
            hashes: encode_keys(&request.hashes),
        }),
        Body::WithdrawAck(answer) => proto::Body::WithdrawAck(proto::WithdrawAck {
            sequence: answer.sequence,
            log_id: answer.log_id,
            keys: encode_keys(&answer.held),
            in_force: encode_keys(&answer.in_force),
        }),
        Body::Fetch {
            from_version,
            offset,
        } => proto::Body::Fetch(proto::Fetch {
            from_version: *from_version,
            offset: *offset,
        }),
        Body::Configuration(part) => proto::Body::Configuration(proto::ConfigurationPart {
            version: part.version,
            base: part.base,
            offset: part.offset,
            length: part.length,
            bytes: part.bytes.clone(),
        }),
        Body::Renew(renew) => proto::Body::Renew(renew.sequence),
        _ => unreachable!("the caller encoded the other bodies"),
    }
}

fn encode_probe(sequence: u64, records: &[Record]) -> proto::Probe {
    proto::Probe {
        sequence,
        records: self::encode_records(records),
    }
}

fn encode_records(records: &[Record]) -> Vec<proto::Record> {
    records.iter().map(encode_record).collect()
}

fn encode_record(record: &Record) -> proto::Record {
    let control = u32::from(record.role == Role::Control);
    let seed = u32::from(record.seed) << 1;
    let leaving = u32::from(record.status == MemberStatus::Leaving) << 2;
    let health = match record.health {
        Health::Alive => 0,
        Health::Suspect => 1 << 3,
        Health::Dead => 2 << 3,
    };
    proto::Record {
        name: record.name.to_string(),
        data_centre: record.data_centre.to_string(),
        link: encode_address(record.link),
        callers: record.callers.map(encode_address).unwrap_or_default(),
        platform: record.platform.map(encode_address).unwrap_or_default(),
        incarnation: record.incarnation,
        counter: record.counter,
        flags: control | seed | leaving | health,
        announcement: record.announcement.as_ref().map(encode_announcement),
    }
}

fn encode_announcement(announcement: &Announcement) -> proto::Announcement {
    proto::Announcement {
        service: announcement.service.to_string(),
        slots: u32::from(announcement.slots),
        state: match announcement.state {
            AnnouncementState::Starting => 0,
            AnnouncementState::Ready => 1,
            AnnouncementState::Leaving => 2,
        },
    }
}

fn encode_confirmation(confirmation: &Confirmation) -> proto::Confirmation {
    let synced = u32::from(confirmation.synced);
    let authority = u32::from(confirmation.authority) << 1;
    proto::Confirmation {
        sequence: confirmation.sequence,
        flags: synced | authority,
        log_id: confirmation.log_id,
        count: confirmation.count,
        digest: confirmation.digest,
        heartbeat: confirmation.heartbeat.map(encode_heartbeat),
        version: confirmation.version,
    }
}

fn encode_heartbeat(aged: AgedHeartbeat) -> proto::ControlHeartbeat {
    proto::ControlHeartbeat {
        term: aged.heartbeat.term,
        sequence: aged.heartbeat.sequence,
        age_ms: aged.age_ms,
    }
}

fn encode_keys(keys: &[KeyHash]) -> Vec<Vec<u8>> {
    keys.iter().map(|key| key.to_vec()).collect()
}

/// Encodes the octets of the IP address, then the port in network byte order.
fn encode_address(address: LinkAddress) -> Vec<u8> {
    let mut bytes = match address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    bytes.extend(address.port().to_be_bytes());
    bytes
}
