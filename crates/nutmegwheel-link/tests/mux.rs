//! Tests the state machine of a link with a virtual clock.

mod common;

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use bytes::{BufMut, Bytes, BytesMut};
use common::{ECHO, request};
use nutmegwheel_link::{
    Limits, Refusal, Reply, Step,
    mux::{CallKey, Event, Failure, Mux, Rejection, Side, StreamId, Violation},
    wire::{Credit, Data, End, FrameDecoder, Kind, Start},
};
use proptest::prelude::*;
use tokio_util::codec::Decoder;

const MS: Duration = Duration::from_millis(1);
const LARGE: usize = 4 * 1024 * 1024;
const LARGE_LENGTH: u32 = 4 * 1024 * 1024;

/// Both sides of a link: the dialler `a` and the acceptor `b`, and the virtual time.
struct Pair {
    a: Mux,
    b: Mux,
    now: Instant,
}

impl Pair {
    fn new(limits: &Limits) -> Self {
        let now = Instant::now();
        let a = Mux::new(Side::Dialler, limits, now, now);
        let b = Mux::new(Side::Acceptor, limits, now, now);
        Self { a, b, now }
    }

    fn call(&mut self, body: impl Into<Bytes>) -> CallKey {
        self.a
            .open(request(ECHO, "head", body), None, self.now)
            .unwrap()
    }

    /// Exchanges frames until nothing is left to send.
    fn exchange(&mut self) {
        while self.deliver_to_b() + self.deliver_to_a() > 0 {}
    }

    fn deliver_to_b(&mut self) -> usize {
        deliver(&mut self.a, &mut self.b, self.now)
    }

    fn deliver_to_a(&mut self) -> usize {
        deliver(&mut self.b, &mut self.a, self.now)
    }

    fn requested(&mut self) -> Vec<(StreamId, Bytes)> {
        let events = events(&mut self.b).into_iter();
        let requested = |event| match event {
            Event::Requested { stream, req, .. } => Some((stream, req.body)),
            _ => None,
        };
        events.filter_map(requested).collect()
    }

    fn answer(&mut self, stream: StreamId, body: impl Into<Bytes>) {
        let (head, body) = (Bytes::new(), body.into());
        self.b.answer(stream, Reply { head, body }, self.now);
    }
}

/// Returns all frames that a side would send now.
fn frames(from: &mut Mux, now: Instant) -> Vec<Kind> {
    let mut out = BytesMut::new();
    from.fill(&mut out, usize::MAX, now);
    from.record_written(out.len());
    let mut decoder = FrameDecoder::default();
    std::iter::from_fn(|| decoder.decode(&mut out).unwrap()).collect()
}

fn deliver(from: &mut Mux, to: &mut Mux, now: Instant) -> usize {
    let frames = frames(from, now);
    let count = frames.len();
    for frame in frames {
        to.receive(frame, now).unwrap();
    }
    count
}

fn events(mux: &mut Mux) -> Vec<Event> {
    std::iter::from_fn(|| mux.next_event()).collect()
}

fn failed(call: CallKey, failure: Failure) -> Vec<Event> {
    vec![Event::Failed { call, failure }]
}

fn data(stream: StreamId, length: u32, body: &'static [u8]) -> Data {
    Data {
        stream,
        start: Some(Start {
            topic: 1,
            body_length: length,
            ..Start::default()
        }),
        body: Bytes::from_static(body),
        ..Data::default()
    }
}

// Guards against GONE: the time of a request that was held up on the way counted anew from its
// arrival.
#[test]
fn refuses_requests_whose_deadline_passed_on_the_way() {
    let mut pair = Pair::new(&Limits::default());
    let deadline = Some(pair.now + 100 * MS);
    let late = pair
        .a
        .open(request(ECHO, "", "late"), deadline, pair.now)
        .unwrap();
    let in_time = pair
        .a
        .open(
            request(ECHO, "", "in time"),
            Some(pair.now + 300 * MS),
            pair.now,
        )
        .unwrap();
    let held = frames(&mut pair.a, pair.now);
    pair.now += 200 * MS;
    for frame in held {
        pair.b.receive(frame, pair.now).unwrap();
    }
    let requested = events(&mut pair.b);
    let [
        Event::Requested {
            req,
            deadline: Some(at),
            stream,
        },
    ] = &requested[..]
    else {
        panic!("{requested:?}");
    };
    assert_eq!(req.body, "in time");
    assert_eq!(*at, pair.now + 100 * MS);
    let stream = *stream;
    pair.answer(stream, "");
    pair.exchange();
    let refused = Failure::Refused(Refusal::Expired);
    let outcomes = events(&mut pair.a);
    assert!(outcomes.contains(&Event::Failed {
        call: late,
        failure: refused
    }));
    assert!(matches!(&outcomes[..], [.., Event::Replied { call, .. }] if *call == in_time));
}

// Guards against requests on a new link that are refused although they are in time, because the
// dialler noticed the end of the handshake late.
#[test]
fn deadline_on_new_link_is_not_too_early() {
    let limits = Limits::default();
    let start = Instant::now();
    let late = start + 200 * MS;
    let mut a = Mux::new(Side::Dialler, &limits, late, start);
    let mut b = Mux::new(Side::Acceptor, &limits, start, start);
    a.open(request(ECHO, "", ""), Some(late + 50 * MS), late)
        .unwrap();
    deliver(&mut a, &mut b, late + 10 * MS);
    let requested = events(&mut b);
    let [
        Event::Requested {
            deadline: Some(at), ..
        },
    ] = &requested[..]
    else {
        panic!("{requested:?}");
    };
    assert!(*at >= late + 50 * MS);
}

// Guards against requests that are refused although they are in time, because a VM was suspended
// and its clock stood still.
#[test]
fn clocks_agree_again_after_suspension_of_either_side() {
    for (lag_of_a, lag_of_b) in [(5000, 0), (0, 5000)] {
        let mut pair = Pair::new(&Limits::default());
        let (mut a, mut b) = (pair.now, pair.now + lag_of_a * MS);
        a += lag_of_b * MS;
        // Two intervals, so that both sides have pinged and answered since.
        for _ in 0..2 {
            a += 300 * MS;
            b += 300 * MS;
            pair.a.tick(a).unwrap();
            for frame in frames(&mut pair.a, a) {
                pair.b.receive(frame, b).unwrap();
            }
            for frame in frames(&mut pair.b, b) {
                pair.a.receive(frame, a).unwrap();
            }
        }
        let deadline = Some(a + 100 * MS);
        pair.a.open(request(ECHO, "", ""), deadline, a).unwrap();
        for frame in frames(&mut pair.a, a) {
            pair.b.receive(frame, b).unwrap();
        }
        let requested = events(&mut pair.b);
        let [
            Event::Requested {
                deadline: Some(at), ..
            },
        ] = &requested[..]
        else {
            panic!("{requested:?}");
        };
        assert_eq!(
            *at,
            b + 100 * MS,
            "a lags {lag_of_a} ms, b lags {lag_of_b} ms"
        );
    }
}

#[test]
fn matches_replies_to_calls_in_any_order() {
    let mut pair = Pair::new(&Limits::default());
    let calls: HashMap<CallKey, Bytes> = (0..50u8)
        .map(|i| Bytes::from(vec![i; 1 + 3000 * usize::from(i)]))
        .map(|body| (pair.call(body.clone()), body))
        .collect();
    pair.exchange();
    for (stream, body) in pair.requested().into_iter().rev() {
        pair.answer(stream, body);
    }
    pair.exchange();
    let replies = events(&mut pair.a);
    assert_eq!(replies.len(), calls.len());
    for event in replies {
        let Event::Replied { call, reply } = event else {
            panic!("{event:?}");
        };
        assert_eq!(reply.body, calls[&call]);
    }
    assert_eq!(pair.a.open_streams() + pair.b.open_streams(), 0);
    assert_eq!(pair.a.buffered_bytes() + pair.b.buffered_bytes(), 0);
}

#[test]
fn ignores_late_reply_to_cancelled_call() {
    let mut pair = Pair::new(&Limits::default());
    let call = pair.call("x");
    pair.deliver_to_b();
    let (stream, body) = pair.requested().remove(0);
    pair.answer(stream, body);
    assert_eq!(pair.a.cancel(call), Some(true));
    assert_eq!(pair.a.cancel(call), None);
    pair.exchange();
    assert_eq!(events(&mut pair.a), []);
}

#[test]
fn reports_cancelled_request_to_service() {
    let mut pair = Pair::new(&Limits::default());
    let call = pair.call("x");
    pair.exchange();
    let (stream, _) = pair.requested().remove(0);
    pair.a.cancel(call);
    pair.exchange();
    assert_eq!(events(&mut pair.b), [Event::Cancelled { stream }]);
    pair.answer(stream, "too late");
    pair.exchange();
    assert_eq!(events(&mut pair.a), []);
}

#[test]
fn cancelling_unsent_call_sends_nothing() {
    let mut pair = Pair::new(&Limits::default());
    let call = pair.call("x");
    assert_eq!(pair.a.cancel(call), Some(false));
    assert_eq!(pair.deliver_to_b(), 0);
}

/// Advances the virtual time until a side times out its peer, and returns how long that took.
fn time_to_timeout(mux: &mut Mux, start: Instant) -> Duration {
    let mut now = start;
    while mux.tick(now).is_ok() {
        frames(mux, now);
        now = mux.next_tick(now).max(now + MS);
    }
    now - start
}

#[test]
fn times_out_silent_peer_within_a_second() {
    let mut pair = Pair::new(&Limits::default());
    let call = pair.call("x");
    pair.exchange();
    pair.requested();
    let bound = Duration::from_secs(1) + MS;
    assert!(time_to_timeout(&mut pair.a, pair.now) <= bound);
    assert!(time_to_timeout(&mut pair.b, pair.now) <= bound);
    pair.a.close();
    assert_eq!(events(&mut pair.a), failed(call, Failure::Lost(Step::Wait)));
}

#[test]
fn own_stall_does_not_count_as_silence() {
    let mut pair = Pair::new(&Limits::default());
    pair.call("x");
    pair.exchange();
    pair.now += 300 * MS;
    pair.a.tick(pair.now).unwrap();
    let late = pair.now + Duration::from_secs(30);
    pair.a.tick(late).unwrap();
    assert!(time_to_timeout(&mut pair.a, late) <= Duration::from_secs(1) + MS);
}

#[test]
fn never_times_out_answering_peer() {
    let mut pair = Pair::new(&Limits::default());
    pair.call("x");
    for _ in 0..10_000 {
        pair.a.tick(pair.now).unwrap();
        pair.b.tick(pair.now).unwrap();
        pair.exchange();
        pair.now += 10 * MS;
    }
}

#[test]
fn pings_quiet_link_before_sending_request() {
    let mut pair = Pair::new(&Limits::default());
    pair.now += Duration::from_secs(2);
    let call = pair.call("x");
    pair.a.tick(pair.now).unwrap();
    let sent_frames = frames(&mut pair.a, pair.now);
    assert!(
        matches!(sent_frames[..], [Kind::Ping(_)]),
        "{sent_frames:?}"
    );
    let mut silent = Pair::new(&Limits::default());
    silent.now = pair.now;
    pair.b.receive(sent_frames[0].clone(), pair.now).unwrap();
    pair.exchange();
    assert_eq!(pair.requested().len(), 1);

    let lost = silent.call("x");
    assert!(time_to_timeout(&mut silent.a, silent.now) <= Duration::from_secs(1) + MS);
    silent.a.close();
    let not_sent = failed(lost, Failure::NotSent(Step::Queue));
    assert_eq!(events(&mut silent.a), not_sent);
    assert_eq!(pair.a.cancel(call), Some(true));
}

#[test]
fn finishes_idle_link_after_idle_timeout() {
    let limits = Limits::default();
    let mut pair = Pair::new(&limits);
    assert!(!pair.a.is_finished(pair.now + (limits.idle_timeout / 2)));
    assert!(pair.a.is_finished(pair.now + limits.idle_timeout));
    pair.call("x");
    assert!(!pair.a.is_finished(pair.now + limits.idle_timeout));
}

#[test]
fn reports_lost_only_when_last_byte_was_written() {
    for (unwritten, failure) in [
        (0, Failure::Lost(Step::Wait)),
        (1, Failure::NotSent(Step::Send)),
    ] {
        let mut pair = Pair::new(&Limits::default());
        let call = pair.call("x");
        let mut out = BytesMut::new();
        pair.a.fill(&mut out, usize::MAX, pair.now);
        pair.a.record_written(out.len() - unwritten);
        pair.a.close();
        assert_eq!(events(&mut pair.a), failed(call, failure));
    }
}

#[test]
fn sends_request_only_up_to_its_credit() {
    let mut pair = Pair::new(&Limits::default());
    let call = pair.call(vec![1; LARGE]);
    let sent = frames(&mut pair.a, pair.now).len();
    assert!(sent <= 3, "{sent} frames");
    pair.a.close();
    assert_eq!(
        events(&mut pair.a),
        failed(call, Failure::NotSent(Step::Send))
    );
}

#[test]
fn interleaves_small_body_with_large_one() {
    let mut pair = Pair::new(&Limits::default());
    pair.call(vec![1; LARGE]);
    pair.deliver_to_b();
    pair.deliver_to_a();
    pair.call("small");
    let mut out = BytesMut::new();
    pair.a.fill(&mut out, 40 * 1024, pair.now);
    let mut decoder = FrameDecoder::default();
    while let Some(frame) = decoder.decode(&mut out).unwrap() {
        pair.b.receive(frame, pair.now).unwrap();
    }
    assert_eq!(pair.requested()[0].1, "small");
}

#[test]
fn drains_link_when_stream_ids_run_out() {
    let limits = Limits {
        max_stream_id: 2,
        ..Limits::default()
    };
    let mut pair = Pair::new(&limits);
    for _ in 0..2 {
        assert!(!pair.a.is_draining());
        pair.call("x");
        pair.exchange();
        let (stream, body) = pair.requested().remove(0);
        pair.answer(stream, body);
        pair.exchange();
    }
    let rejected = pair.a.open(request(ECHO, "", ""), None, pair.now);
    assert_eq!(rejected, Err(Rejection::Draining));
    assert!(pair.a.is_finished(pair.now));
}

#[test]
fn go_away_refuses_only_new_requests() {
    let mut pair = Pair::new(&Limits::default());
    let accepted = pair.call("accepted");
    pair.exchange();
    pair.b.go_away();
    let crossing = pair.call("crossing");
    pair.exchange();
    let refused = Failure::Refused(Refusal::GoingAway);
    assert_eq!(events(&mut pair.a), failed(crossing, refused));
    assert!(!pair.b.is_drained());
    let (stream, _) = pair.requested().remove(0);
    pair.answer(stream, "reply");
    pair.exchange();
    let replied = events(&mut pair.a);
    assert!(matches!(replied[..], [Event::Replied { call, .. }] if call == accepted));
    assert!(pair.b.is_drained() && pair.a.is_finished(pair.now));
    assert!(pair.a.open(request(ECHO, "", ""), None, pair.now).is_err());
}

#[test]
fn refuses_requests_beyond_count_and_size_limits() {
    let limits = Limits {
        max_streams: 2,
        ..Limits::default()
    };
    let mut pair = Pair::new(&limits);
    pair.a = Mux::new(Side::Dialler, &Limits::default(), pair.now, pair.now);
    let calls = [pair.call("1"), pair.call("2"), pair.call("3")];
    pair.exchange();
    assert_eq!(
        events(&mut pair.a),
        failed(calls[2], Failure::Refused(Refusal::Busy))
    );
    let body = vec![0; limits.max_body + 1];
    let rejected = pair.a.open(request(ECHO, "", body), None, pair.now);
    assert_eq!(rejected, Err(Rejection::TooLarge));
}

#[test]
fn bounds_memory_of_unread_replies() {
    let limits = Limits::default();
    let mut pair = Pair::new(&limits);
    let calls = 40;
    for _ in 0..calls {
        pair.call("x");
    }
    pair.deliver_to_b();
    for (stream, _) in pair.requested() {
        pair.answer(stream, vec![0; LARGE]);
        assert!(pair.b.buffered_bytes() <= 2 * limits.max_buffered);
    }
    pair.call("one more");
    pair.exchange();
    let ended = events(&mut pair.a);
    let count = |wanted| {
        ended
            .iter()
            .filter(|event| is_failure(event, wanted))
            .count()
    };
    let replied = ended
        .iter()
        .filter(|event| matches!(event, Event::Replied { .. }))
        .count();
    assert_eq!(count(Failure::Refused(Refusal::Busy)), 1);
    assert_eq!(replied, limits.max_buffered / LARGE);
    assert_eq!(count(Failure::Lost(Step::Wait)), calls - replied);
}

fn is_failure(event: &Event, wanted: Failure) -> bool {
    matches!(event, Event::Failed { failure, .. } if *failure == wanted)
}

#[test]
fn reports_damaged_message_and_delivers_nothing() {
    let bad_end = Some(End { checksum: 1 });
    let mut pair = Pair::new(&Limits::default());
    for (stream, length) in [(1, 3), (2, 9), (3, 2)] {
        let mut request = data(stream, length, b"abc");
        request.end = bad_end;
        pair.b.receive(Kind::Request(request), pair.now).unwrap();
        assert_eq!(events(&mut pair.b), []);
    }
    let refusals = frames(&mut pair.b, pair.now);
    assert_eq!(refusals.len(), 3);
    assert!(refusals.iter().all(|kind| matches!(kind, Kind::Refuse(_))));

    let call = pair.call("x");
    frames(&mut pair.a, pair.now);
    let mut reply = data(1, 3, b"abc");
    reply.end = bad_end;
    pair.a.receive(Kind::Reply(reply), pair.now).unwrap();
    assert_eq!(
        events(&mut pair.a),
        failed(call, Failure::Lost(Step::Receive))
    );
}

#[test]
fn rejects_protocol_violations() {
    let start = || Kind::Request(data(1, LARGE_LENGTH, b"abc"));
    let chunk = |stream, body: Vec<u8>| {
        Kind::Request(Data {
            stream,
            body: body.into(),
            ..Data::default()
        })
    };
    let credit = |stream| Kind::Credit(Credit { stream, bytes: 1 });
    let cases = [
        (vec![start(), start()], Violation::ReusedStream(1)),
        (vec![chunk(1, vec![])], Violation::UnknownStream(1)),
        (vec![credit(1)], Violation::UnknownStream(1)),
        (vec![Kind::Reply(data(1, 0, b""))], Violation::WrongSide),
        (
            vec![start(), chunk(1, vec![0; LARGE])],
            Violation::Overrun(1),
        ),
    ];
    for (frames, violation) in cases {
        let mut pair = Pair::new(&Limits::default());
        let mut last = Ok(());
        for frame in frames {
            assert_eq!(last, Ok(()));
            last = pair.b.receive(frame, pair.now);
        }
        assert_eq!(last, Err(violation));
    }
}

fn any_data() -> impl Strategy<Value = Data> {
    let start = (
        0..3u32,
        0..100_000u32,
        0..20_000_000u32,
        any::<bool>(),
        any::<u64>(),
    );
    let end = prop::option::of(any::<u32>().prop_map(|checksum| End { checksum }));
    let chunk = || prop::collection::vec(any::<u8>(), 0..40).prop_map(Bytes::from);
    (0..40u32, prop::option::of(start), chunk(), chunk(), end).prop_map(
        |(stream, start, head, body, end)| Data {
            stream,
            start: start.map(
                |(topic, head_length, body_length, one_way, deadline_us)| Start {
                    topic,
                    head_length,
                    body_length,
                    one_way,
                    deadline_us,
                },
            ),
            head,
            body,
            end,
        },
    )
}

fn any_frame() -> impl Strategy<Value = Kind> {
    use nutmegwheel_link::wire::{Cancel, GoAway, Ping, Pong, Refuse};
    prop_oneof![
        4 => any_data().prop_map(Kind::Request),
        4 => any_data().prop_map(Kind::Reply),
        2 => (0..40u32, any::<u32>())
            .prop_map(|(stream, bytes)| Kind::Credit(Credit { stream, bytes })),
        1 => (0..40u32).prop_map(|stream| Kind::Cancel(Cancel { stream })),
        1 => (0..40u32, -1..5i32).prop_map(|(stream, reason)| Kind::Refuse(Refuse { stream, reason })),
        1 => any::<u64>().prop_map(|number| Kind::Ping(Ping { number })),
        1 => any::<(u64, u64)>().prop_map(|(number, clock_us)| Kind::Pong(Pong { number, clock_us })),
        1 => (0..40u32).prop_map(|last_stream| Kind::GoAway(GoAway { last_stream })),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000,
        failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    #[test]
    fn bounds_memory_for_arbitrary_frames(frames in prop::collection::vec(any_frame(), 0..60)) {
        let limits = Limits { max_streams: 16, ..Limits::default() };
        let mut pair = Pair::new(&limits);
        for i in 0..8usize {
            pair.call(vec![0; i * 10_000]);
        }
        self::frames(&mut pair.a, pair.now);
        let (mut a_open, mut b_open) = (true, true);
        for frame in frames {
            a_open = a_open && pair.a.receive(frame.clone(), pair.now).is_ok();
            b_open = b_open && pair.b.receive(frame, pair.now).is_ok();
            for (stream, body) in pair.requested() {
                pair.answer(stream, body);
            }
            self::frames(&mut pair.a, pair.now);
            for mux in [&pair.a, &pair.b] {
                prop_assert!(mux.open_streams() <= limits.max_streams);
                prop_assert!(mux.buffered_bytes() <= 2 * limits.max_buffered);
            }
        }
        pair.a.close();
        prop_assert_eq!(pair.a.open_streams(), 0);
        prop_assert_eq!(pair.a.buffered_bytes(), 0);
    }

    #[test]
    fn bounds_memory_for_arbitrary_bytes(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut decoder = FrameDecoder::default();
        let mut input = BytesMut::from(&bytes[..]);
        while let Ok(Some(_)) = decoder.decode(&mut input) {}
        prop_assert!(input.capacity() <= 64 * 1024);
        let mut framed = BytesMut::new();
        framed.put_u32(u32::try_from(bytes.len() + 4).unwrap());
        framed.put_slice(&bytes);
        framed.put_u32(crc32c::crc32c(&bytes));
        let _ = FrameDecoder::default().decode(&mut framed);
    }
}
