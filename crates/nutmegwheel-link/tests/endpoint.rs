//! Calls between two endpoints over loopback.

mod common;

use std::{
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use bytes::Bytes;
use common::{
    ECHO, LONG, NEVER, endpoint, endpoint_with, eventually, options, request, unused_addr, within,
};
use nutmegwheel_link::{CallError, Step};

#[tokio::test]
async fn call_returns_complete_reply() {
    let (a, _) = endpoint("a").await;
    let (b, service) = endpoint("b").await;
    let body = Bytes::from(vec![7; 300_000]);
    let reply = a
        .call(
            b.local_addr(),
            request(ECHO, "head", body.clone()),
            within(LONG),
        )
        .await
        .unwrap();
    assert_eq!(reply.head, "head");
    assert_eq!(reply.body, body);
    assert_eq!(service.started.load(Ordering::SeqCst), 1);
}

#[tokio::test]
async fn notification_names_its_sender() {
    let (a, _) = endpoint("a").await;
    let (b, service) = endpoint("b").await;
    a.send(b.local_addr(), ECHO, Bytes::from_static(b"hello"));
    eventually("delivery", || !service.notified.lock().unwrap().is_empty()).await;
    let (peer, topic, body) = service.notified.lock().unwrap()[0].clone();
    assert_eq!(
        (&*peer.name, &*peer.data_centre, peer.incarnation),
        ("a", "riga1", 7)
    );
    assert_eq!(peer.address, a.local_addr());
    assert_eq!((topic, body), (ECHO, Bytes::from_static(b"hello")));
}

#[tokio::test]
async fn dropped_call_is_cancelled_at_peer() {
    let (a, _) = endpoint("a").await;
    let (b, service) = endpoint("b").await;
    let call = a.call(b.local_addr(), request(NEVER, "", ""), within(LONG));
    let task = tokio::spawn({
        let service = service.clone();
        async move { eventually("the start", || service.open.load(Ordering::SeqCst) == 1).await }
    });
    tokio::select! {
        _ = call => panic!("the call was answered"),
        _ = task => {}
    }
    eventually("the cancellation", || {
        service.open.load(Ordering::SeqCst) == 0
    })
    .await;
}

#[tokio::test]
async fn cancels_call_after_its_deadline() {
    let (a, _) = endpoint("a").await;
    let (b, service) = endpoint("b").await;
    let deadline = within(Duration::from_millis(200));
    let failed = a
        .call(b.local_addr(), request(NEVER, "", ""), deadline)
        .await;
    assert!(
        matches!(failed, Err(CallError::Expired { sent: true, .. })),
        "{failed:?}"
    );
    assert!(Instant::now() >= deadline);
    eventually("the cancellation", || {
        service.open.load(Ordering::SeqCst) == 0
    })
    .await;
}

#[tokio::test]
async fn proves_not_run_when_connection_is_refused() {
    let (a, _) = endpoint("a").await;
    let failed = a
        .call(unused_addr(), request(ECHO, "", ""), within(LONG))
        .await
        .unwrap_err();
    assert!(
        matches!(
            failed,
            CallError::NotSent {
                step: Step::Connect,
                ..
            }
        ),
        "{failed:?}"
    );
    assert!(failed.proves_not_run());
}

// Guards against calls that fail for the rest of a long backoff although the peer has started.
#[tokio::test]
async fn calls_succeed_as_soon_as_started_peer_has_connected() {
    let mut opts = options("a");
    opts.limits.min_backoff = LONG;
    opts.limits.max_backoff = LONG;
    let (a, _) = endpoint_with(opts).await;
    let mut opts = options("b");
    opts.listen = unused_addr();
    let call = || a.call(opts.listen, request(ECHO, "", ""), within(LONG));
    for _ in 0..2 {
        let failed = call().await;
        assert!(
            matches!(failed, Err(CallError::NotSent { .. })),
            "{failed:?}"
        );
    }
    let (b, _) = endpoint_with(opts.clone()).await;
    b.call(a.local_addr(), request(ECHO, "", ""), within(LONG))
        .await
        .unwrap();
    call().await.unwrap();
}
