//! The state machine of a link, driven by a virtual clock.

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

/// Both sides of a link and the virtual time.
struct Pair {
    a: Mux,
    b: Mux,
    now: Instant,
}

impl Pair {
    fn new(limits: &Limits) -> Self {
        let now = Instant::now();
        let a = Mux::new(Side::Dialler, limits, now);
        let b = Mux::new(Side::Acceptor, limits, now);
        Self { a, b, now }
    }

    fn call(&mut self, body: impl Into<Bytes>) -> CallKey {
        self.a.open(request(ECHO, "head", body), self.now).unwrap()
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
            Event::Requested { stream, req } => Some((stream, req.body)),
            _ => None,
        };
        events.filter_map(requested).collect()
    }

    fn answer(&mut self, stream: StreamId, body: impl Into<Bytes>) {
        let (head, body) = (Bytes::new(), body.into());
        self.b.answer(stream, Reply { head, body }, self.now);
    }
}

/// Everything that a side would write now.
fn frames(from: &mut Mux, now: Instant) -> Vec<Kind> {
    let mut out = BytesMut::new();
    from.fill(&mut out, usize::MAX, now);
    from.wrote(out.len());
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

#[test]
fn replies_in_any_order_reach_their_own_calls() {
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
fn a_late_reply_to_a_cancelled_call_is_ignored() {
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
fn a_cancelled_request_is_told_to_the_service() {
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
fn a_call_that_was_not_begun_is_cancelled_without_a_trace() {
    let mut pair = Pair::new(&Limits::default());
    let call = pair.call("x");
    assert_eq!(pair.a.cancel(call), Some(false));
    assert_eq!(pair.deliver_to_b(), 0);
}

/// Lets virtual time pass until a side gives the other up, and tells how long that took.
fn time_to_abandon(mux: &mut Mux, begin: Instant) -> Duration {
    let mut now = begin;
    while mux.tick(now).is_ok() {
        frames(mux, now);
        now = mux.next_tick(now).max(now + MS);
    }
    now - begin
}

#[test]
fn a_silent_far_side_is_abandoned_within_a_second() {
    let mut pair = Pair::new(&Limits::default());
    let call = pair.call("x");
    pair.exchange();
    pair.requested();
    let bound = Duration::from_secs(1) + MS;
    assert!(time_to_abandon(&mut pair.a, pair.now) <= bound);
    assert!(time_to_abandon(&mut pair.b, pair.now) <= bound);
    pair.a.close();
    assert_eq!(events(&mut pair.a), failed(call, Failure::Lost(Step::Wait)));
}

#[test]
fn time_in_which_this_process_stood_still_is_not_silence() {
    let mut pair = Pair::new(&Limits::default());
    pair.call("x");
    pair.exchange();
    pair.now += 300 * MS;
    pair.a.tick(pair.now).unwrap();
    let late = pair.now + Duration::from_secs(30);
    pair.a.tick(late).unwrap();
    assert!(time_to_abandon(&mut pair.a, late) <= Duration::from_secs(1) + MS);
}

#[test]
fn an_answering_far_side_is_never_abandoned() {
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
fn a_quiet_link_must_prove_itself_before_it_gets_a_request() {
    let mut pair = Pair::new(&Limits::default());
    pair.now += Duration::from_secs(2);
    let call = pair.call("x");
    pair.a.tick(pair.now).unwrap();
    let held = frames(&mut pair.a, pair.now);
    assert!(matches!(held[..], [Kind::Ping(_)]), "{held:?}");
    let mut silent = Pair::new(&Limits::default());
    silent.now = pair.now;
    pair.b.receive(held[0].clone(), pair.now).unwrap();
    pair.exchange();
    assert_eq!(pair.requested().len(), 1);

    let lost = silent.call("x");
    assert!(time_to_abandon(&mut silent.a, silent.now) <= Duration::from_secs(1) + MS);
    silent.a.close();
    let unsent = failed(lost, Failure::NotSent(Step::Queue));
    assert_eq!(events(&mut silent.a), unsent);
    assert_eq!(pair.a.cancel(call), Some(true));
}

#[test]
fn an_idle_link_is_finished_after_the_idle_timeout() {
    let limits = Limits::default();
    let mut pair = Pair::new(&limits);
    assert!(!pair.a.is_finished(pair.now + (limits.idle_timeout / 2)));
    assert!(pair.a.is_finished(pair.now + limits.idle_timeout));
    pair.call("x");
    assert!(!pair.a.is_finished(pair.now + limits.idle_timeout));
}

#[test]
fn only_a_request_whose_last_byte_was_written_is_lost() {
    for (unwritten, failure) in [
        (0, Failure::Lost(Step::Wait)),
        (1, Failure::NotSent(Step::Send)),
    ] {
        let mut pair = Pair::new(&Limits::default());
        let call = pair.call("x");
        let mut out = BytesMut::new();
        pair.a.fill(&mut out, usize::MAX, pair.now);
        pair.a.wrote(out.len() - unwritten);
        pair.a.close();
        assert_eq!(events(&mut pair.a), failed(call, failure));
    }
}

#[test]
fn a_request_without_credit_is_not_sent_whole() {
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
fn a_large_body_does_not_hold_up_a_small_one() {
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
fn ids_are_not_used_again_but_end_the_link() {
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
    let rejected = pair.a.open(request(ECHO, "", ""), pair.now);
    assert_eq!(rejected, Err(Rejection::Draining));
    assert!(pair.a.is_finished(pair.now));
}

#[test]
fn going_away_refuses_what_was_not_taken_and_answers_the_rest() {
    let mut pair = Pair::new(&Limits::default());
    let taken = pair.call("taken");
    pair.exchange();
    pair.b.go_away();
    let crossing = pair.call("crossing");
    pair.exchange();
    let refused = Failure::Refused(Refusal::GoingAway);
    assert_eq!(events(&mut pair.a), failed(crossing, refused));
    assert!(!pair.b.is_drained());
    let (stream, _) = pair.requested().remove(0);
    pair.answer(stream, "whole");
    pair.exchange();
    let replied = events(&mut pair.a);
    assert!(matches!(replied[..], [Event::Replied { call, .. }] if call == taken));
    assert!(pair.b.is_drained() && pair.a.is_finished(pair.now));
    assert!(pair.a.open(request(ECHO, "", ""), pair.now).is_err());
}

#[test]
fn too_many_and_too_large_requests_are_refused() {
    let limits = Limits {
        max_streams: 2,
        ..Limits::default()
    };
    let mut pair = Pair::new(&limits);
    pair.a = Mux::new(Side::Dialler, &Limits::default(), pair.now);
    let calls = [pair.call("1"), pair.call("2"), pair.call("3")];
    pair.exchange();
    assert_eq!(
        events(&mut pair.a),
        failed(calls[2], Failure::Refused(Refusal::Busy))
    );
    let body = vec![0; limits.max_body + 1];
    let rejected = pair.a.open(request(ECHO, "", body), pair.now);
    assert_eq!(rejected, Err(Rejection::TooLarge));
}

#[test]
fn replies_that_nobody_reads_do_not_pile_up() {
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
    let whole = ended
        .iter()
        .filter(|event| matches!(event, Event::Replied { .. }))
        .count();
    assert_eq!(count(Failure::Refused(Refusal::Busy)), 1);
    assert_eq!(whole, limits.max_buffered / LARGE);
    assert_eq!(count(Failure::Lost(Step::Wait)), calls - whole);
}

fn is_failure(event: &Event, wanted: Failure) -> bool {
    matches!(event, Event::Failed { failure, .. } if *failure == wanted)
}

#[test]
fn a_damaged_message_is_an_error_and_never_a_part() {
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
fn breaches_of_the_protocol_end_the_link() {
    let begun = || Kind::Request(data(1, LARGE_LENGTH, b"abc"));
    let piece = |stream, body: Vec<u8>| {
        Kind::Request(Data {
            stream,
            body: body.into(),
            ..Data::default()
        })
    };
    let credit = |stream| Kind::Credit(Credit { stream, bytes: 1 });
    let cases = [
        (vec![begun(), begun()], Violation::ReusedStream(1)),
        (vec![piece(1, vec![])], Violation::UnknownStream(1)),
        (vec![credit(1)], Violation::UnknownStream(1)),
        (vec![Kind::Reply(data(1, 0, b""))], Violation::WrongSide),
        (
            vec![begun(), piece(1, vec![0; LARGE])],
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
    let start = (0..3u32, 0..100_000u32, 0..20_000_000u32, any::<bool>());
    let end = prop::option::of(any::<u32>().prop_map(|checksum| End { checksum }));
    let piece = || prop::collection::vec(any::<u8>(), 0..40).prop_map(Bytes::from);
    (0..40u32, prop::option::of(start), piece(), piece(), end).prop_map(
        |(stream, start, head, body, end)| Data {
            stream,
            start: start.map(|(topic, head_length, body_length, one_way)| Start {
                topic,
                head_length,
                body_length,
                one_way,
            }),
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
        1 => any::<u64>().prop_map(|number| Kind::Pong(Pong { number })),
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
    fn any_frames_leave_memory_bounded(frames in prop::collection::vec(any_frame(), 0..60)) {
        let limits = Limits { max_streams: 16, ..Limits::default() };
        let mut pair = Pair::new(&limits);
        for i in 0..8usize {
            pair.call(vec![0; i * 10_000]);
        }
        self::frames(&mut pair.a, pair.now);
        let (mut a_lives, mut b_lives) = (true, true);
        for frame in frames {
            a_lives = a_lives && pair.a.receive(frame.clone(), pair.now).is_ok();
            b_lives = b_lives && pair.b.receive(frame, pair.now).is_ok();
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
    fn any_bytes_are_frames_or_an_error(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
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
