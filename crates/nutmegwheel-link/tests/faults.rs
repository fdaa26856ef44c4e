//! Endpoints over connections that fail.

mod common;

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use common::{
    ECHO, LATER, LONG, Ledger, NEVER, PANIC, endpoint, endpoint_with, eventually, options, request,
    within,
};
use nutmegwheel_link::{CallError, Endpoint, Limits, Step};
use nutmegwheel_support::relay::{Direction, Relay};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

const LARGE: usize = 4 * 1024 * 1024;

/// Two endpoints with a relay between them, over which one call has gone.
struct Fleet {
    a: Endpoint,
    b: Endpoint,
    ledger: Arc<Ledger>,
    relay: Relay,
}

impl Fleet {
    async fn new() -> Self {
        Self::with_limits(Limits::default()).await
    }

    /// One link and few pings, so that the bytes of a call are the next ones.
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
        let (b, ledger) = endpoint_with(opts).await;
        let relay = Relay::bind(b.local_addr()).await.unwrap();
        let fleet = Self {
            a,
            b,
            ledger,
            relay,
        };
        fleet.echo().await.unwrap();
        eventually("all links", || fleet.a.stats().dialled_links == links).await;
        fleet
    }

    fn to(&self) -> SocketAddr {
        self.relay.local_addr()
    }

    fn open(&self) -> usize {
        self.ledger.open.load(Ordering::SeqCst)
    }

    fn begun(&self) -> usize {
        self.ledger.begun.load(Ordering::SeqCst)
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

    /// Calls until one succeeds; everything that fails on the way must have proved not to have run.
    async fn echo_again(&self) {
        while let Err(failed) = self.echo().await {
            assert!(failed.proves_not_run(), "{failed:?}");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// A call that the far side has begun and does not answer.
    async fn stuck(&self) -> tokio::task::JoinHandle<Result<(), CallError>> {
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
async fn silent_links_are_abandoned_and_replaced() {
    let fleet = Fleet::new().await;
    let stuck = fleet.stuck().await;
    fleet.relay.silence_existing();
    assert_lost(&stuck.await.unwrap());
    fleet.echo_again().await;
    eventually("the cancellation", || fleet.open() == 0).await;
    assert!(fleet.relay.accepted_connections() > 2);
}

#[tokio::test]
async fn one_silent_link_does_not_stop_the_calls_of_the_other() {
    let fleet = Fleet::new().await;
    fleet.relay.silence_first(1);
    // Two calls at a time go over different links, and the stuck one keeps the next ones away.
    let echoes = async || {
        fleet.echo().await?;
        for _ in 0..100 {
            fleet.echo().await.unwrap();
        }
        Ok(())
    };
    let (one, other) = tokio::join!(echoes(), echoes());
    assert!(one.is_ok() != other.is_ok(), "{one:?}, {other:?}");
    assert_lost(&one.and(other));
    fleet.echo_again().await;
}

#[tokio::test]
async fn a_call_to_a_peer_that_is_silent_altogether_fails() {
    let fleet = Fleet::new().await;
    fleet.relay.silence_all();
    let begun = fleet.begun();
    let failed = fleet.echo().await.unwrap_err();
    assert_eq!(fleet.begun(), begun);
    let later = fleet.echo().await.unwrap_err();
    assert!(later.proves_not_run(), "{failed:?}, {later:?}");
    fleet.relay.pass();
    fleet.echo_again().await;
}

#[tokio::test]
async fn a_cut_loses_what_may_have_begun() {
    let fleet = Fleet::new().await;
    let stuck = fleet.stuck().await;
    fleet.relay.cut();
    assert_lost(&stuck.await.unwrap());
    eventually("the cancellation", || fleet.open() == 0).await;
    fleet.echo_again().await;
}

#[tokio::test]
async fn a_cut_of_a_request_that_is_not_whole_proves_that_it_did_not_run() {
    let fleet = Fleet::new().await;
    let begun = fleet.begun();
    fleet.relay.hold();
    let body = request(ECHO, "", vec![1; LARGE]);
    let call = fleet.a.call(fleet.to(), body, within(LONG));
    let (failed, ()) = tokio::join!(call, async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        fleet.relay.refuse();
    });
    let failed = failed.unwrap_err();
    assert!(matches!(failed, CallError::NotSent { .. }), "{failed:?}");
    assert_eq!(fleet.begun(), begun);
}

#[tokio::test]
async fn a_truncated_reply_is_an_error() {
    let fleet = Fleet::with_one_link().await;
    fleet.relay.truncate_after(Direction::FromTarget, 100);
    let sent = request(ECHO, "", vec![1; 50_000]);
    let result = fleet.a.call(fleet.to(), sent, within(LONG)).await;
    assert_lost(&result.map(|_| ()));
    fleet.relay.pass();
    fleet.echo_again().await;
}

#[tokio::test]
async fn a_corrupt_reply_is_an_error() {
    for place in [0, 3, 4, 20, 500, 5000] {
        let fleet = Fleet::with_one_link().await;
        fleet.relay.corrupt_after(Direction::FromTarget, place);
        let sent = request(ECHO, "", vec![1; 10_000]);
        let result = fleet.a.call(fleet.to(), sent, within(LONG)).await;
        assert_lost(&result.map(|_| ()));
        fleet.relay.pass();
        fleet.echo_again().await;
    }
}

#[tokio::test]
async fn a_corrupt_request_does_not_run() {
    for place in [0, 3, 4, 20, 500, 5000] {
        let fleet = Fleet::with_one_link().await;
        let begun = fleet.begun();
        fleet.relay.corrupt_after(Direction::ToTarget, place);
        let sent = request(ECHO, "", vec![1; 10_000]);
        fleet
            .a
            .call(fleet.to(), sent, within(LONG))
            .await
            .unwrap_err();
        assert_eq!(fleet.begun(), begun);
        fleet.relay.pass();
        fleet.echo_again().await;
    }
}

#[tokio::test]
async fn late_replies_do_not_reach_other_calls() {
    let fleet = Fleet::new().await;
    fleet.relay.hold();
    let sent = request(ECHO, "late", "late");
    let expired = fleet
        .a
        .call(fleet.to(), sent, within(Duration::from_millis(50)))
        .await;
    assert!(
        matches!(expired, Err(CallError::Expired { sent: true, .. })),
        "{expired:?}"
    );
    fleet.relay.release();
    for _ in 0..20 {
        fleet.echo().await.unwrap();
    }
}

#[tokio::test]
async fn a_process_that_is_gone_loses_what_runs_and_proves_the_rest() {
    let fleet = Fleet::new().await;
    let stuck = fleet.stuck().await;
    drop(fleet.b);
    assert_lost(&stuck.await.unwrap());
    let sent = request(ECHO, "", "");
    let failed = fleet
        .a
        .call(fleet.relay.local_addr(), sent, within(LONG))
        .await
        .unwrap_err();
    assert!(failed.proves_not_run(), "{failed:?}");
}

#[tokio::test]
async fn another_secret_makes_no_link() {
    let mut opts = options("stranger");
    opts.fleet_secret = b"a secret that is not the fleet's".to_vec();
    let (stranger, _) = endpoint_with(opts).await;
    let (b, ledger) = endpoint("b").await;
    let sent = request(ECHO, "", "");
    let failed = stranger
        .call(b.local_addr(), sent, within(LONG))
        .await
        .unwrap_err();
    let is_proof = matches!(
        failed,
        CallError::NotSent {
            step: Step::Handshake,
            ..
        }
    );
    assert!(is_proof, "{failed:?}");
    assert_eq!(ledger.begun.load(Ordering::SeqCst), 0);
}

#[tokio::test]
async fn strangers_are_bounded_and_closed() {
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
        // An end or a reset; either way the connection is closed.
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
async fn a_peer_that_refuses_is_not_dialled_in_a_hot_loop() {
    let fleet = Fleet::new().await;
    fleet.relay.refuse();
    let before = fleet.relay.accepted_connections();
    for _ in 0..1000 {
        fleet.echo().await.unwrap_err();
    }
    let dials = fleet.relay.accepted_connections() - before;
    assert!(dials < 50, "{dials} dials");
}

#[tokio::test]
async fn shutdown_answers_what_was_taken_and_refuses_the_rest() {
    let fleet = Fleet::new().await;
    let before = fleet.begun();
    let sent = request(LATER, vec![200], "whole");
    let (reply, refused) = tokio::join!(fleet.a.call(fleet.to(), sent, within(LONG)), async {
        eventually("the start", || fleet.begun() > before).await;
        let (refused, ()) = tokio::join!(
            async {
                tokio::time::sleep(Duration::from_millis(50)).await;
                fleet.echo().await
            },
            fleet.b.shutdown()
        );
        refused
    });
    assert_eq!(reply.unwrap().body, "whole");
    assert!(refused.unwrap_err().proves_not_run());
    assert_eq!(fleet.b.stats().accepted_links, 0);
    let to = fleet.a.local_addr();
    let closed = fleet.b.call(to, request(ECHO, "", ""), within(LONG)).await;
    assert_eq!(closed, Err(CallError::ShutDown { peer: to }));
}

#[tokio::test]
async fn shutdown_delivers_notices_that_were_sent() {
    let fleet = Fleet::new().await;
    fleet
        .a
        .send(fleet.to(), ECHO, Bytes::from(vec![1; 100_000]));
    fleet.a.shutdown().await;
    eventually("the notice", || {
        !fleet.ledger.notices.lock().unwrap().is_empty()
    })
    .await;
}

#[tokio::test]
async fn idle_links_are_closed() {
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
async fn thousands_of_calls_get_their_own_replies() {
    // Silence is not the matter here, and a busy machine may hold up a whole process for a second.
    let patient = Limits {
        silence_timeout: LONG,
        ..Limits::default()
    };
    let fleet = Fleet::with_limits(patient).await;
    let calls: Vec<_> = (0..4000u32)
        .map(|i| {
            let (a, to) = (fleet.a.clone(), fleet.to());
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
    assert_eq!(fleet.open(), 0);
}

#[tokio::test]
async fn links_whose_ids_are_used_up_are_replaced() {
    let limits = Limits {
        max_stream_id: 5,
        ..Limits::default()
    };
    let fleet = Fleet::with_limits(limits).await;
    for _ in 0..100 {
        fleet.echo().await.unwrap();
    }
    assert!(fleet.relay.accepted_connections() >= 20);
}

#[tokio::test]
async fn a_service_that_panics_loses_only_its_own_call() {
    let fleet = Fleet::new().await;
    let stuck = fleet.stuck().await;
    let sent = request(PANIC, "", "");
    let result = fleet.a.call(fleet.to(), sent, within(LONG)).await;
    assert_lost(&result.map(|_| ()));
    fleet.echo().await.unwrap();
    assert!(!stuck.is_finished());
    assert_eq!(fleet.relay.accepted_connections(), 2);
}
