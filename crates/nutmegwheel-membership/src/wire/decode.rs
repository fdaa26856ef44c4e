use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use nutmegwheel_types::KeyHash;

use super::proto;
use crate::{
    AgedHeartbeat, Announcement, AnnouncementState, Body, ConfigurationPart, Confirmation,
    ControlHeartbeat, Digest, Health, LinkAddress, MemberStatus, Message, Pull, Record, Renew,
    Role, Withdraw, WithdrawAck, WithdrawnPart,
};

/// The name of the field that is missing or out of range.
type FieldName = &'static str;

/// The maximum length of the names of processes, data centres and services.
const MAX_NAME_BYTES: usize = 64;
const MAX_BUCKETS: usize = 1024;

pub(super) fn decode_message(msg: proto::Message) -> Result<Message, FieldName> {
    let version = msg.version;
    let body = decode_body(msg.body.ok_or("body")?)?;
    Ok(Message { version, body })
}

fn decode_body(msg: proto::Body) -> Result<Body, FieldName> {
    Ok(match msg {
        proto::Body::Ping(probe) => Body::Ping {
            sequence: probe.sequence,
            records: decode_records(&probe.records)?,
        },
        proto::Body::Ack(probe) => Body::Ack {
            sequence: probe.sequence,
            records: decode_records(&probe.records)?,
        },
        proto::Body::ProbeRequest(request) => Body::ProbeRequest {
            sequence: request.sequence,
            target: decode_address(&request.target, "target")?,
        },
        proto::Body::Updates(updates) => Body::Updates {
            records: decode_records(&updates.records)?,
            withdrawn: decode_keys(&updates.withdrawn)?,
        },
        proto::Body::Join(joining) => Body::Join(decode_record(&joining)?),
        proto::Body::Digest(msg) => Body::Digest(decode_digest(msg)?),
        proto::Body::Sync(sync) => Body::Sync {
            buckets: sync.buckets,
            hashes: sync.hashes,
        },
        proto::Body::RecordRequest(wanted) => Body::RecordRequest(wanted.hashes),
        proto::Body::Records(msg) => Body::Records(decode_records(&msg.records)?),
        msg => decode_state_body(msg)?,
    })
}

/// Decodes the messages about configuration, withdrawn keys and leases.
fn decode_state_body(msg: proto::Body) -> Result<Body, FieldName> {
    Ok(match msg {
        proto::Body::Renew(sequence) => Body::Renew(Renew { sequence }),
        proto::Body::Confirmation(msg) => Body::Confirmation(decode_confirmation(&msg)?),
        proto::Body::Pull(pull) => Body::Pull(Pull {
            log_id: pull.log_id,
            from: pull.from,
        }),
        proto::Body::Withdrawn(part) => Body::Withdrawn(decode_withdrawn(&part)?),
        proto::Body::Withdraw(request) => Body::Withdraw(Withdraw {
            sequence: request.sequence,
            committed: request.committed,
            hashes: decode_keys(&request.hashes)?,
        }),
        proto::Body::WithdrawAck(answer) => Body::WithdrawAck(WithdrawAck {
            sequence: answer.sequence,
            log_id: answer.log_id,
            held: decode_keys(&answer.keys)?,
            in_force: decode_keys(&answer.in_force)?,
        }),
        proto::Body::Fetch(fetch) => Body::Fetch {
            from_version: fetch.from_version,
            offset: fetch.offset,
        },
        proto::Body::Configuration(part) => Body::Configuration(decode_configuration(part)?),
        _ => return Err("body"),
    })
}

fn decode_digest(msg: proto::Digest) -> Result<Digest, FieldName> {
    if msg.buckets.len() > MAX_BUCKETS {
        return Err("digest.buckets");
    }
    Ok(Digest {
        buckets: msg.buckets,
        log_id: msg.log_id,
        count: msg.count,
        digest: msg.keys,
    })
}

fn decode_withdrawn(part: &proto::WithdrawnPart) -> Result<WithdrawnPart, FieldName> {
    let hashes = decode_keys(&part.hashes)?;
    let length = u64::try_from(hashes.len()).map_err(|_| "withdrawn.hashes")?;
    let end = part.from.checked_add(length).ok_or("withdrawn.from")?;
    if end > part.count {
        return Err("withdrawn.count");
    }
    Ok(WithdrawnPart {
        log_id: part.log_id,
        from: part.from,
        count: part.count,
        hashes,
    })
}

fn decode_configuration(part: proto::ConfigurationPart) -> Result<ConfigurationPart, FieldName> {
    let length = u32::try_from(part.bytes.len()).map_err(|_| "configuration.bytes")?;
    let end = part
        .offset
        .checked_add(length)
        .ok_or("configuration.offset")?;
    if end > part.length {
        return Err("configuration.length");
    }
    if part.base >= part.version {
        return Err("configuration.base");
    }
    Ok(ConfigurationPart {
        version: part.version,
        base: part.base,
        offset: part.offset,
        length: part.length,
        bytes: part.bytes,
    })
}

fn decode_confirmation(msg: &proto::Confirmation) -> Result<Confirmation, FieldName> {
    if msg.flags > 0b11 {
        return Err("confirmation.flags");
    }
    Ok(Confirmation {
        sequence: msg.sequence,
        synced: msg.flags & 0b01 != 0,
        authority: msg.flags & 0b10 != 0,
        version: msg.version,
        log_id: msg.log_id,
        count: msg.count,
        digest: msg.digest,
        heartbeat: msg.heartbeat.as_ref().map(decode_heartbeat),
    })
}

fn decode_heartbeat(msg: &proto::ControlHeartbeat) -> AgedHeartbeat {
    AgedHeartbeat {
        heartbeat: ControlHeartbeat {
            term: msg.term,
            sequence: msg.sequence,
        },
        age_ms: msg.age_ms,
    }
}

fn decode_records(msgs: &[proto::Record]) -> Result<Vec<Record>, FieldName> {
    msgs.iter().map(decode_record).collect()
}

fn decode_record(msg: &proto::Record) -> Result<Record, FieldName> {
    let flags = msg.flags;
    let health = match flags >> 3 {
        0 => Health::Alive,
        1 => Health::Suspect,
        2 => Health::Dead,
        _ => return Err("record.flags"),
    };
    let role = if flags & 0b001 == 0 {
        Role::Node
    } else {
        Role::Control
    };
    let status = if flags & 0b100 == 0 {
        MemberStatus::Active
    } else {
        MemberStatus::Leaving
    };
    Ok(Record {
        name: decode_name(&msg.name, "record.name")?,
        data_centre: decode_name(&msg.data_centre, "record.data_centre")?,
        role,
        seed: flags & 0b010 != 0,
        link: decode_address(&msg.link, "record.link")?,
        callers: decode_optional_address(&msg.callers, "record.callers")?,
        platform: decode_optional_address(&msg.platform, "record.platform")?,
        incarnation: decode_incarnation(msg.incarnation)?,
        counter: msg.counter,
        status,
        announcement: msg
            .announcement
            .as_ref()
            .map(decode_announcement)
            .transpose()?,
        health,
    })
}

/// Rejects incarnations so large that no greater one might be left for a process to refute with.
fn decode_incarnation(incarnation: u64) -> Result<u64, FieldName> {
    if incarnation > u64::MAX / 2 {
        return Err("record.incarnation");
    }
    Ok(incarnation)
}

fn decode_announcement(msg: &proto::Announcement) -> Result<Announcement, FieldName> {
    Ok(Announcement {
        service: decode_name(&msg.service, "announcement.service")?,
        slots: u16::try_from(msg.slots).map_err(|_| "announcement.slots")?,
        state: match msg.state {
            0 => AnnouncementState::Starting,
            1 => AnnouncementState::Ready,
            2 => AnnouncementState::Leaving,
            _ => return Err("announcement.state"),
        },
    })
}

fn decode_name(name: &str, field: FieldName) -> Result<Arc<str>, FieldName> {
    if name.is_empty() || name.len() > MAX_NAME_BYTES {
        return Err(field);
    }
    Ok(Arc::from(name))
}

fn decode_keys(keys: &[Vec<u8>]) -> Result<Vec<KeyHash>, FieldName> {
    keys.iter()
        .map(|key| KeyHash::try_from(key.as_slice()).map_err(|_| "key"))
        .collect()
}

fn decode_optional_address(
    bytes: &[u8],
    field: FieldName,
) -> Result<Option<LinkAddress>, FieldName> {
    if bytes.is_empty() {
        return Ok(None);
    }
    decode_address(bytes, field).map(Some)
}

fn decode_address(bytes: &[u8], field: FieldName) -> Result<LinkAddress, FieldName> {
    let (ip, port) = bytes.split_last_chunk::<2>().ok_or(field)?;
    let ip = match ip.len() {
        4 => <[u8; 4]>::try_from(ip).map(IpAddr::from).ok(),
        16 => <[u8; 16]>::try_from(ip).map(IpAddr::from).ok(),
        _ => None,
    };
    Ok(SocketAddr::new(ip.ok_or(field)?, u16::from_be_bytes(*port)))
}
