//! Calls over connections that go silent, break or corrupt data: each call either gets its reply or
//! an error that says whether it may have run.

mod common;

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use common::{
    CountingService, ECHO, LATER, LONG, NEVER, PANIC, endpoint, endpoint_with, eventually, options,
    request, within,
};
use nutmegwheel_link::{CallError, Endpoint, Limits, Step};
use nutmegwheel_support::relay::{Direction, Relay};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

const LARGE: usize = 4 * 1024 * 1024;

/// Two endpoints that are connected through a relay and have completed one call.
struct RelayedPair {
    a: Endpoint,
    b: Endpoint,
    service: Arc<CountingService>,
    relay: Relay,
}

impl RelayedPair {
    async fn new() -> Self {
        Self::with_limits(Limits::default()).await
    }

    /// Uses one link and a long ping interval, so that the next bytes on the connection are those
    /// of the next call.
    async fn with_one_link() -> Self {
        let limits = Limits {
            links_per_peer: 1,
            ping_interval: Duration::from_millis(900),
            ..Limits::default()
        };
        Self::with_limits(limits).await
    }

    async fn with_limits(limits: Limits) -> Self {
        let links = limits.links_per_peer;
        let mut opts = options("a");
        opts.limits = limits.clone();
        let (a, _) = endpoint_with(opts).await;
        let mut opts = options("b");
        opts.limits = limits;
        let (b, service) = endpoint_with(opts).await;
        let relay = Relay::bind(b.local_addr()).await.unwrap();
        let pair = Self {
            a,
            b,
            service,
            relay,
        };
        pair.echo().await.unwrap();
        eventually("all links", || pair.a.stats().dialled_links == links).await;
        pair
    }

    fn to(&self) -> SocketAddr {
        self.relay.local_addr()
    }

    fn open(&self) -> usize {
        self.service.open.load(Ordering::SeqCst)
    }

    fn started(&self) -> usize {
        self.service.started.load(Ordering::SeqCst)
    }

    async fn echo(&self) -> Result<(), CallError> {
        let sent = request(ECHO, "head", "body");
        let reply = self.a.call(self.to(), sent, within(LONG)).await?;
        assert_eq!(
            (&reply.head[..], &reply.body[..]),
            (&b"head"[..], &b"body"[..])
        );
        Ok(())
    }

    /// Calls until one succeeds. Each call that fails before must prove that it did not run.
    async fn echo_until_success(&self) {
        while let Err(failed) = self.echo().await {
            assert!(failed.proves_not_run(), "{failed:?}");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Starts a call that the peer does not answer, and waits until the peer has started it.
    async fn unanswered_call(&self) -> tokio::task::JoinHandle<Result<(), CallError>> {
        let before = self.open();
        let (a, to) = (self.a.clone(), self.to());
        let call = async move {
            a.call(to, request(NEVER, "", ""), within(LONG))
                .await
                .map(|_| ())
        };
        let call = tokio::spawn(call);
        eventually("the start", || self.open() > before).await;
        call
    }
}

fn assert_lost(result: &Result<(), CallError>) {
    let Err(failed @ CallError::Lost { incarnation: 7, .. }) = result else {
        panic!("{result:?}");
    };
    assert!(!failed.proves_not_run());
    assert_eq!(failed.incarnation(), Some(7));
}

#[tokio::test]
async fn replaces_silent_links_after_timeout() {
    let pair = RelayedPair::new().await;
    let unanswered = pair.unanswered_call().await;
    pair.relay.silence_existing();
    assert_lost(&unanswered.await.unwrap());
    pair.echo_until_success().await;
    eventually("the cancellation", || pair.open() == 0).await;
    assert!(pair.relay.accepted_connections() > 2);
}

#[tokio::test]
async fn calls_continue_on_other_link_when_one_is_silent() {
    let pair = RelayedPair::new().await;
    pair.relay.silence_first(1);
    // Two concurrent calls use different links. The unanswered one counts as load on its link, so
    // that later calls choose the other one.
    let echoes = async || {
        pair.echo().await?;
        for _ in 0..100 {
            pair.echo().await.unwrap();
        }
        Ok(())
    };
    let (one, other) = tokio::join!(echoes(), echoes());
    assert!(one.is_ok() != other.is_ok(), "{one:?}, {other:?}");
    assert_lost(&one.and(other));
    pair.echo_until_success().await;
}

#[tokio::test]
async fn fails_calls_to_silent_peer() {
    let pair = RelayedPair::new().await;
    pair.relay.silence_all();
    let started = pair.started();
    let failed = pair.echo().await.unwrap_err();
    assert_eq!(pair.started(), started);
    let later = pair.echo().await.unwrap_err();
    assert!(later.proves_not_run(), "{failed:?}, {later:?}");
    pair.relay.clear_faults();
    pair.echo_until_success().await;
}

/// Makes calls that expire while their bytes are held up, and delivers the bytes after that.
async fn deliver_after_expiry(pair: &RelayedPair) {
    const CALLS: usize = 100;
    const BODY: usize = 8 * 1024;
    const DEADLINE: Duration = Duration::from_millis(200);
    pair.relay.hold();
    let calls = (0..CALLS).map(|_| {
        let (a, to) = (pair.a.clone(), pair.to());
        tokio::spawn(async move {
            let sent = request(NEVER, "head", vec![1; BODY]);
            a.call(to, sent, within(DEADLINE)).await.map(|_| ())
        })
    });
    for call in calls.collect::<Vec<_>>() {
        call.await.unwrap().unwrap_err();
    }
    pair.relay.release();
}

// Guards against GONE: requests whose bytes were held up until their callers had left ran when the
// bytes arrived, although the cancellations were among them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn does_not_start_requests_that_arrive_with_their_cancellations() {
    let pair = RelayedPair::with_one_link().await;
    let before = pair.started();
    deliver_after_expiry(&pair).await;
    pair.echo_until_success().await;
    assert_eq!(pair.started(), before + 1);
}

#[tokio::test]
async fn reports_lost_when_connection_breaks() {
    let pair = RelayedPair::new().await;
    let unanswered = pair.unanswered_call().await;
    pair.relay.close_existing();
    assert_lost(&unanswered.await.unwrap());
    eventually("the cancellation", || pair.open() == 0).await;
    pair.echo_until_success().await;
}

#[tokio::test]
async fn proves_not_run_when_connection_closes_during_request() {
    let pair = RelayedPair::new().await;
    let started = pair.started();
    pair.relay.hold();
    let body = request(ECHO, "", vec![1; LARGE]);
    let call = pair.a.call(pair.to(), body, within(LONG));
    let (failed, ()) = tokio::join!(call, async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        pair.relay.refuse();
    });
    let failed = failed.unwrap_err();
    assert!(matches!(failed, CallError::NotSent { .. }), "{failed:?}");
    assert_eq!(pair.started(), started);
}

#[tokio::test]
async fn reports_lost_for_truncated_reply() {
    let pair = RelayedPair::with_one_link().await;
    pair.relay.truncate_after(Direction::FromTarget, 100);
    let sent = request(ECHO, "", vec![1; 50_000]);
    let result = pair.a.call(pair.to(), sent, within(LONG)).await;
    assert_lost(&result.map(|_| ()));
    pair.relay.clear_faults();
    pair.echo_until_success().await;
}

#[tokio::test]
async fn reports_lost_for_corrupt_reply() {
    for offset in [0, 3, 4, 20, 500, 5000] {
        let pair = RelayedPair::with_one_link().await;
        pair.relay.corrupt_after(Direction::FromTarget, offset);
        let sent = request(ECHO, "", vec![1; 10_000]);
        let result = pair.a.call(pair.to(), sent, within(LONG)).await;
        assert_lost(&result.map(|_| ()));
        pair.relay.clear_faults();
        pair.echo_until_success().await;
    }
}

#[tokio::test]
async fn does_not_run_corrupt_request() {
    for offset in [0, 3, 4, 20, 500, 5000] {
        let pair = RelayedPair::with_one_link().await;
        let started = pair.started();
        pair.relay.corrupt_after(Direction::ToTarget, offset);
        let sent = request(ECHO, "", vec![1; 10_000]);
        pair.a
            .call(pair.to(), sent, within(LONG))
            .await
            .unwrap_err();
        assert_eq!(pair.started(), started);
        pair.relay.clear_faults();
        pair.echo_until_success().await;
    }
}

#[tokio::test]
async fn late_replies_do_not_reach_other_calls() {
    let pair = RelayedPair::new().await;
    pair.relay.hold();
    let sent = request(ECHO, "late", "late");
    let expired = pair
        .a
        .call(pair.to(), sent, within(Duration::from_millis(50)))
        .await;
    assert!(
        matches!(expired, Err(CallError::Expired { sent: true, .. })),
        "{expired:?}"
    );
    pair.relay.release();
    for _ in 0..20 {
        pair.echo().await.unwrap();
    }
}

#[tokio::test]
async fn reports_lost_or_proves_not_run_after_peer_stops() {
    let pair = RelayedPair::new().await;
    let unanswered = pair.unanswered_call().await;
    drop(pair.b);
    assert_lost(&unanswered.await.unwrap());
    let sent = request(ECHO, "", "");
    let failed = pair
        .a
        .call(pair.relay.local_addr(), sent, within(LONG))
        .await
        .unwrap_err();
    assert!(failed.proves_not_run(), "{failed:?}");
}

#[tokio::test]
async fn refuses_peer_with_different_secret() {
    let mut opts = options("stranger");
    opts.fleet_secret = b"a secret that is not the fleet's".to_vec();
    let (outsider, _) = endpoint_with(opts).await;
    let (b, service) = endpoint("b").await;
    let sent = request(ECHO, "", "");
    let failed = outsider
        .call(b.local_addr(), sent, within(LONG))
        .await
        .unwrap_err();
    let is_handshake_failure = matches!(
        failed,
        CallError::NotSent {
            step: Step::Handshake,
            ..
        }
    );
    assert!(is_handshake_failure, "{failed:?}");
    assert_eq!(service.started.load(Ordering::SeqCst), 0);
}

#[tokio::test]
async fn bounds_and_closes_unauthenticated_connections() {
    let mut opts = options("b");
    opts.limits.max_half_open = 4;
    opts.limits.handshake_timeout = Duration::from_millis(300);
    let (b, _) = endpoint_with(opts).await;
    let mut silent = Vec::new();
    for _ in 0..12 {
        silent.push(TcpStream::connect(b.local_addr()).await.unwrap());
    }
    eventually("the bound", || b.stats().half_open == 4).await;
    for stream in &mut silent {
        // The connection is closed or reset; the test accepts both.
        let _ = tokio::time::timeout(LONG, stream.read_u8()).await.unwrap();
    }
    assert_eq!(b.stats().half_open, 0);
    let mut garbage = TcpStream::connect(b.local_addr()).await.unwrap();
    garbage.write_all(&[0xff; 4000]).await.unwrap();
    let _ = tokio::time::timeout(LONG, garbage.read_u8()).await.unwrap();
    let (a, _) = endpoint("a").await;
    a.call(b.local_addr(), request(ECHO, "", ""), within(LONG))
        .await
        .unwrap();
}

#[tokio::test]
async fn backs_off_when_peer_refuses_connections() {
    let pair = RelayedPair::new().await;
    pair.relay.refuse();
    let before = pair.relay.accepted_connections();
    for _ in 0..1000 {
        pair.echo().await.unwrap_err();
    }
    let dials = pair.relay.accepted_connections() - before;
    assert!(dials < 50, "{dials} dials");
}

#[tokio::test]
async fn shutdown_refuses_only_new_requests() {
    let pair = RelayedPair::new().await;
    let before = pair.started();
    let sent = request(LATER, vec![200], "complete");
    let (reply, refused) = tokio::join!(pair.a.call(pair.to(), sent, within(LONG)), async {
        eventually("the start", || pair.started() > before).await;
        let (refused, ()) = tokio::join!(
            async {
                tokio::time::sleep(Duration::from_millis(50)).await;
                pair.echo().await
            },
            pair.b.shutdown()
        );
        refused
    });
    assert_eq!(reply.unwrap().body, "complete");
    assert!(refused.unwrap_err().proves_not_run());
    assert_eq!(pair.b.stats().accepted_links, 0);
    let to = pair.a.local_addr();
    let closed = pair.b.call(to, request(ECHO, "", ""), within(LONG)).await;
    assert_eq!(closed, Err(CallError::ShutDown { peer: to }));
}

#[tokio::test]
async fn shutdown_delivers_queued_notifications() {
    let pair = RelayedPair::new().await;
    pair.a.send(pair.to(), ECHO, Bytes::from(vec![1; 100_000]));
    pair.a.shutdown().await;
    eventually("the notification", || {
        !pair.service.notified.lock().unwrap().is_empty()
    })
    .await;
}

#[tokio::test]
async fn closes_idle_links() {
    let mut opts = options("a");
    opts.limits.idle_timeout = Duration::from_millis(100);
    let (a, _) = endpoint_with(opts).await;
    let (b, _) = endpoint("b").await;
    a.call(b.local_addr(), request(ECHO, "", ""), within(LONG))
        .await
        .unwrap();
    eventually("closing", || {
        a.stats().dialled_links == 0 && b.stats().accepted_links == 0
    })
    .await;
    a.call(b.local_addr(), request(ECHO, "", ""), within(LONG))
        .await
        .unwrap();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn matches_replies_under_concurrent_calls() {
    // A busy machine can stall a whole process for a second, and this test is not about silence.
    let limits = Limits {
        silence_timeout: LONG,
        ..Limits::default()
    };
    let pair = RelayedPair::with_limits(limits).await;
    let calls: Vec<_> = (0..4000u32)
        .map(|i| {
            let (a, to) = (pair.a.clone(), pair.to());
            tokio::spawn(async move {
                let head = vec![u8::try_from(i % 50).unwrap()];
                let body = i.to_be_bytes().repeat(1 + (i as usize % 7) * 200);
                let sent = request(LATER, head, body.clone());
                let reply = a.call(to, sent, within(LONG)).await.unwrap();
                assert_eq!(reply.body, body);
            })
        })
        .collect();
    for call in calls {
        call.await.unwrap();
    }
    assert_eq!(pair.open(), 0);
}

#[tokio::test]
async fn replaces_links_whose_stream_ids_run_out() {
    let limits = Limits {
        max_stream_id: 5,
        ..Limits::default()
    };
    let pair = RelayedPair::with_limits(limits).await;
    for _ in 0..100 {
        pair.echo().await.unwrap();
    }
    assert!(pair.relay.accepted_connections() >= 20);
}

#[tokio::test]
async fn panic_in_service_loses_only_its_call() {
    let pair = RelayedPair::new().await;
    let unanswered = pair.unanswered_call().await;
    let sent = request(PANIC, "", "");
    let result = pair.a.call(pair.to(), sent, within(LONG)).await;
    assert_lost(&result.map(|_| ()));
    pair.echo().await.unwrap();
    assert!(!unanswered.is_finished());
    assert_eq!(pair.relay.accepted_connections(), 2);
}

/// A listener whose queue of new connections is full, so that further ones get no answer.
struct FullListener {
    socket: socket2::Socket,
    _queued: Vec<socket2::Socket>,
}

impl FullListener {
    fn bind() -> Self {
        let new = || socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
        let socket = new().unwrap();
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        socket.bind(&any.into()).unwrap();
        socket.listen(1).unwrap();
        let address = socket.local_addr().unwrap();
        let connect = |_| {
            let stream = new().unwrap();
            stream.set_nonblocking(true).unwrap();
            let _ = stream.connect(&address);
            stream
        };
        let queued = (0..4).map(connect).collect();
        Self {
            socket,
            _queued: queued,
        }
    }

    fn address(&self) -> SocketAddr {
        self.socket.local_addr().unwrap().as_socket().unwrap()
    }

    /// Accepts connections and forwards their bytes to `to`.
    fn forward(self, to: SocketAddr) {
        self.socket.set_nonblocking(true).unwrap();
        let listener = tokio::net::TcpListener::from_std(self.socket.into()).unwrap();
        tokio::spawn(async move {
            while let Ok((mut from, _)) = listener.accept().await {
                tokio::spawn(async move {
                    let mut to = TcpStream::connect(to).await.unwrap();
                    let _ = tokio::io::copy_bidirectional(&mut from, &mut to).await;
                });
            }
        });
    }
}

// Guards against CONFIG and requests that are refused after a loss of power: a process dialled a VM
// that was about to start, and waited a second for the answer to its first packet.
#[tokio::test]
async fn reaches_peer_that_starts_while_it_is_dialled() {
    let (a, _) = endpoint("a").await;
    let (b, _) = endpoint("b").await;
    let full = FullListener::bind();
    let to = full.address();
    let started_at = std::time::Instant::now();
    let call = a.call(to, request(ECHO, "head", "body"), within(LONG));
    let start = async {
        tokio::time::sleep(Duration::from_millis(150)).await;
        full.forward(b.local_addr());
    };
    let (reply, ()) = tokio::join!(call, start);
    assert_eq!(reply.unwrap().body, "body");
    let took = started_at.elapsed();
    assert!(took < Duration::from_millis(800), "{took:?}");
}
