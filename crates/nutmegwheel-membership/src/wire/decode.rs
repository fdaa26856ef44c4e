use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use nutmegwheel_types::KeyHash;

use super::shapes;
use crate::{
    AgedHeartbeat, Announcement, AnnouncementState, Body, ConfigurationPart, Confirmation,
    ControlHeartbeat, Digest, Health, LinkAddress, MemberStatus, Message, Pull, Record, Renew,
    Role, Withdraw, WithdrawAck, WithdrawnPart,
};

/// The name of the field that is missing or out of range.
type Wrong = &'static str;

/// The longest name of a process, data centre or service, in bytes.
const NAME_BYTES: usize = 64;
/// The most buckets of a digest.
const BUCKETS: usize = 1024;

pub(super) fn message(shape: shapes::Message) -> Result<Message, Wrong> {
    let version = shape.version;
    let body = body(shape.body.ok_or("body")?)?;
    Ok(Message { version, body })
}

fn body(shape: shapes::Body) -> Result<Body, Wrong> {
    Ok(match shape {
        shapes::Body::Ping(probe) => Body::Ping {
            sequence: probe.sequence,
            records: records(&probe.records)?,
        },
        shapes::Body::Ack(probe) => Body::Ack {
            sequence: probe.sequence,
            records: records(&probe.records)?,
        },
        shapes::Body::ProbeRequest(request) => Body::ProbeRequest {
            sequence: request.sequence,
            target: address(&request.target, "target")?,
        },
        shapes::Body::Updates(updates) => Body::Updates {
            records: records(&updates.records)?,
            withdrawn: keys(&updates.withdrawn)?,
        },
        shapes::Body::Join(joining) => Body::Join(record(&joining)?),
        shapes::Body::Digest(shape) => Body::Digest(digest(shape)?),
        shapes::Body::Sync(sync) => Body::Sync {
            buckets: sync.buckets,
            hashes: sync.hashes,
        },
        shapes::Body::RecordRequest(wanted) => Body::RecordRequest(wanted.hashes),
        shapes::Body::Records(shape) => Body::Records(records(&shape.records)?),
        shape => views(shape)?,
    })
}

/// The messages about configuration, withdrawn keys and leases.
fn views(shape: shapes::Body) -> Result<Body, Wrong> {
    Ok(match shape {
        shapes::Body::Renew(sequence) => Body::Renew(Renew { sequence }),
        shapes::Body::Confirmation(shape) => Body::Confirmation(confirmation(&shape)?),
        shapes::Body::Pull(pull) => Body::Pull(Pull {
            log_id: pull.log_id,
            from: pull.from,
        }),
        shapes::Body::Withdrawn(part) => Body::Withdrawn(withdrawn(&part)?),
        shapes::Body::Withdraw(asked) => Body::Withdraw(Withdraw {
            sequence: asked.sequence,
            committed: asked.committed,
            hashes: keys(&asked.hashes)?,
        }),
        shapes::Body::WithdrawAck(answer) => Body::WithdrawAck(WithdrawAck {
            sequence: answer.sequence,
            log_id: answer.log_id,
            held: keys(&answer.keys)?,
            in_force: keys(&answer.in_force)?,
        }),
        shapes::Body::Fetch(fetch) => Body::Fetch {
            from_version: fetch.from_version,
            offset: fetch.offset,
        },
        shapes::Body::Configuration(part) => Body::Configuration(configuration(part)?),
        _ => return Err("body"),
    })
}

fn digest(shape: shapes::Digest) -> Result<Digest, Wrong> {
    if shape.buckets.len() > BUCKETS {
        return Err("digest.buckets");
    }
    Ok(Digest {
        buckets: shape.buckets,
        log_id: shape.log_id,
        count: shape.count,
        digest: shape.keys,
    })
}

fn withdrawn(part: &shapes::WithdrawnPart) -> Result<WithdrawnPart, Wrong> {
    let hashes = keys(&part.hashes)?;
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

fn configuration(part: shapes::ConfigurationPart) -> Result<ConfigurationPart, Wrong> {
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

fn confirmation(shape: &shapes::Confirmation) -> Result<Confirmation, Wrong> {
    if shape.flags > 0b11 {
        return Err("confirmation.flags");
    }
    Ok(Confirmation {
        sequence: shape.sequence,
        synced: shape.flags & 0b01 != 0,
        authority: shape.flags & 0b10 != 0,
        version: shape.version,
        log_id: shape.log_id,
        count: shape.count,
        digest: shape.digest,
        heartbeat: shape.heartbeat.as_ref().map(heartbeat),
    })
}

fn heartbeat(shape: &shapes::ControlHeartbeat) -> AgedHeartbeat {
    AgedHeartbeat {
        heartbeat: ControlHeartbeat {
            term: shape.term,
            sequence: shape.sequence,
        },
        age_ms: shape.age_ms,
    }
}

fn records(shapes: &[shapes::Record]) -> Result<Vec<Record>, Wrong> {
    shapes.iter().map(record).collect()
}

fn record(shape: &shapes::Record) -> Result<Record, Wrong> {
    let flags = shape.flags;
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
        name: name(&shape.name, "record.name")?,
        data_centre: name(&shape.data_centre, "record.data_centre")?,
        role,
        seed: flags & 0b010 != 0,
        link: address(&shape.link, "record.link")?,
        callers: optional_address(&shape.callers, "record.callers")?,
        platform: optional_address(&shape.platform, "record.platform")?,
        incarnation: incarnation(shape.incarnation)?,
        counter: shape.counter,
        status,
        announcement: shape.announcement.as_ref().map(announcement).transpose()?,
        health,
    })
}

/// Refuses an incarnation above which a process could not go on.
fn incarnation(incarnation: u64) -> Result<u64, Wrong> {
    if incarnation > u64::MAX / 2 {
        return Err("record.incarnation");
    }
    Ok(incarnation)
}

fn announcement(shape: &shapes::Announcement) -> Result<Announcement, Wrong> {
    Ok(Announcement {
        service: name(&shape.service, "announcement.service")?,
        slots: u16::try_from(shape.slots).map_err(|_| "announcement.slots")?,
        state: match shape.state {
            0 => AnnouncementState::Starting,
            1 => AnnouncementState::Ready,
            2 => AnnouncementState::Leaving,
            _ => return Err("announcement.state"),
        },
    })
}

fn name(name: &str, field: Wrong) -> Result<Arc<str>, Wrong> {
    if name.is_empty() || name.len() > NAME_BYTES {
        return Err(field);
    }
    Ok(Arc::from(name))
}

fn keys(keys: &[Vec<u8>]) -> Result<Vec<KeyHash>, Wrong> {
    keys.iter()
        .map(|key| KeyHash::try_from(key.as_slice()).map_err(|_| "key"))
        .collect()
}

fn optional_address(bytes: &[u8], field: Wrong) -> Result<Option<LinkAddress>, Wrong> {
    if bytes.is_empty() {
        return Ok(None);
    }
    address(bytes, field).map(Some)
}

fn address(bytes: &[u8], field: Wrong) -> Result<LinkAddress, Wrong> {
    let (ip, port) = bytes.split_last_chunk::<2>().ok_or(field)?;
    let ip = match ip.len() {
        4 => <[u8; 4]>::try_from(ip).map(IpAddr::from).ok(),
        16 => <[u8; 16]>::try_from(ip).map(IpAddr::from).ok(),
        _ => None,
    };
    Ok(SocketAddr::new(ip.ok_or(field)?, u16::from_be_bytes(*port)))
}
