//! Messages survive encoding and decoding, and no input makes the decoder panic.

use std::net::SocketAddr;
use std::sync::Arc;

use nutmegwheel_membership::wire::{self, Error, MAX_MESSAGE_BYTES};
use nutmegwheel_membership::{
    AgedHeartbeat, Announcement, AnnouncementState, Body, ConfigurationPart, Confirmation,
    ControlHeartbeat, Digest, Health, MemberStatus, Message, Pull, Record, Renew, Role, Withdraw,
    WithdrawAck, WithdrawnPart,
};
use proptest::collection::vec;
use proptest::prelude::*;

fn peer() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 7000))
}

fn address() -> impl Strategy<Value = SocketAddr> {
    let v4 = any::<([u8; 4], u16)>().prop_map(SocketAddr::from);
    let v6 = any::<([u8; 16], u16)>().prop_map(SocketAddr::from);
    prop_oneof![v4, v6]
}

fn name() -> impl Strategy<Value = Arc<str>> {
    "[a-z0-9-]{1,64}".prop_map(Arc::from)
}

fn announcement() -> impl Strategy<Value = Announcement> {
    let state = prop_oneof![
        Just(AnnouncementState::Starting),
        Just(AnnouncementState::Ready),
        Just(AnnouncementState::Leaving)
    ];
    (name(), any::<u16>(), state).prop_map(|(service, slots, state)| Announcement {
        service,
        slots,
        state,
    })
}

fn record() -> impl Strategy<Value = Record> {
    let role = prop_oneof![Just(Role::Node), Just(Role::Control)];
    let status = prop_oneof![Just(MemberStatus::Active), Just(MemberStatus::Leaving)];
    let health = prop_oneof![
        Just(Health::Alive),
        Just(Health::Suspect),
        Just(Health::Dead)
    ];
    let names = (name(), name(), proptest::option::of(announcement()));
    let addresses = (
        address(),
        proptest::option::of(address()),
        proptest::option::of(address()),
    );
    let numbers = (0..=u64::MAX / 2, any::<u64>(), any::<bool>());
    (names, addresses, numbers, (role, status, health)).prop_map(
        |(names, addresses, numbers, states)| Record {
            name: names.0,
            data_centre: names.1,
            role: states.0,
            seed: numbers.2,
            link: addresses.0,
            callers: addresses.1,
            platform: addresses.2,
            incarnation: numbers.0,
            counter: numbers.1,
            status: states.1,
            announcement: names.2,
            health: states.2,
        },
    )
}

fn confirmation() -> impl Strategy<Value = Confirmation> {
    let heartbeat = any::<(u64, u64, u32)>().prop_map(|(term, sequence, age_ms)| AgedHeartbeat {
        heartbeat: ControlHeartbeat { term, sequence },
        age_ms,
    });
    let numbers = any::<(u64, u64, u64, u64, u64)>();
    (
        numbers,
        any::<(bool, bool)>(),
        proptest::option::of(heartbeat),
    )
        .prop_map(|(numbers, (synced, authority), heartbeat)| Confirmation {
            sequence: numbers.0,
            synced,
            authority,
            version: numbers.1,
            log_id: numbers.2,
            count: numbers.3,
            digest: numbers.4,
            heartbeat,
        })
}

fn keys() -> impl Strategy<Value = Vec<[u8; 32]>> {
    vec(any::<[u8; 32]>(), 0..5)
}

fn membership() -> impl Strategy<Value = Body> {
    let records = || vec(record(), 0..4);
    prop_oneof![
        (any::<u64>(), records()).prop_map(|(sequence, records)| Body::Ping { sequence, records }),
        (any::<u64>(), records()).prop_map(|(sequence, records)| Body::Ack { sequence, records }),
        (any::<u64>(), address())
            .prop_map(|(sequence, target)| Body::ProbeRequest { sequence, target }),
        (records(), keys()).prop_map(|(records, withdrawn)| Body::Updates { records, withdrawn }),
        record().prop_map(Body::Join),
        (vec(any::<u32>(), 0..70), any::<(u64, u64, u64)>()).prop_map(|(buckets, numbers)| {
            Body::Digest(Digest {
                buckets,
                log_id: numbers.0,
                count: numbers.1,
                digest: numbers.2,
            })
        }),
        (vec(any::<u32>(), 0..5), vec(any::<u32>(), 0..300))
            .prop_map(|(buckets, hashes)| Body::Sync { buckets, hashes }),
        vec(any::<u32>(), 0..300).prop_map(Body::RecordRequest),
        records().prop_map(Body::Records),
    ]
}

fn state_body() -> impl Strategy<Value = Body> {
    prop_oneof![
        any::<u64>().prop_map(|sequence| Body::Renew(Renew { sequence })),
        confirmation().prop_map(Body::Confirmation),
        any::<(u64, u64)>().prop_map(|(log_id, from)| Body::Pull(Pull { log_id, from })),
        (any::<u64>(), 0..1000_u64, 0..1000_u64, keys()).prop_map(
            |(log_id, from, more, hashes)| {
                let count = from + hashes.len() as u64 + more;
                Body::Withdrawn(WithdrawnPart {
                    log_id,
                    from,
                    count,
                    hashes,
                })
            }
        ),
        (any::<u64>(), any::<bool>(), keys()).prop_map(|(sequence, committed, hashes)| {
            Body::Withdraw(Withdraw {
                sequence,
                committed,
                hashes,
            })
        }),
        (any::<(u64, u64)>(), keys(), keys()).prop_map(|((sequence, log_id), held, in_force)| {
            Body::WithdrawAck(WithdrawAck {
                sequence,
                log_id,
                held,
                in_force,
            })
        }),
        any::<(u64, u32)>().prop_map(|(from_version, offset)| Body::Fetch {
            from_version,
            offset
        }),
        (1..u64::MAX, 0..1000_u32, vec(any::<u8>(), 0..100)).prop_map(
            |(version, offset, bytes)| {
                Body::Configuration(ConfigurationPart {
                    version,
                    base: version - 1,
                    offset,
                    length: offset + u32::try_from(bytes.len()).unwrap(),
                    bytes,
                })
            }
        ),
    ]
}

fn message() -> impl Strategy<Value = Message> {
    let body = prop_oneof![membership(), state_body()];
    (any::<u64>(), body).prop_map(|(version, body)| Message { version, body })
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(0x6e75),
        ..ProptestConfig::default()
    })]

    #[test]
    fn messages_round_trip(message in message()) {
        let bytes = wire::encode(&message);
        prop_assert_eq!(wire::encoded_len(&message), bytes.len());
        prop_assert_eq!(wire::decode(peer(), &bytes), Ok(message));
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in vec(any::<u8>(), 0..400)) {
        let _ = wire::decode(peer(), &bytes);
    }

    #[test]
    fn corrupted_messages_do_not_panic(
        message in message(),
        position in any::<prop::sample::Index>(),
        value in any::<u8>(),
        cut in any::<prop::sample::Index>(),
    ) {
        let mut bytes = wire::encode(&message);
        let position = position.index(bytes.len().max(1));
        if let Some(byte) = bytes.get_mut(position) {
            *byte = value;
        }
        let _ = wire::decode(peer(), &bytes);
        bytes.truncate(cut.index(bytes.len() + 1));
        let _ = wire::decode(peer(), &bytes);
    }
}

#[test]
fn refuses_oversized_message_and_names_peer() {
    let bytes = vec![0; MAX_MESSAGE_BYTES + 1];
    let length = bytes.len();
    let from = peer();
    assert_eq!(
        wire::decode(from, &bytes),
        Err(Error::TooLong { from, length })
    );
}

#[test]
fn refuses_invalid_field_and_names_it() {
    // A message without a body, a key of one byte and a probe request without an address.
    let table: [(&[u8], &str); 3] = [
        (&[0x08, 1], "body"),
        (&[0x2a, 3, 0x12, 1, 7], "key"),
        (&[0x22, 0], "target"),
    ];
    for (bytes, expected) in table {
        match wire::decode(peer(), bytes) {
            Err(Error::Field { field, .. }) => assert_eq!(field, expected),
            other => panic!("{bytes:?} gave {other:?}"),
        }
    }
}
