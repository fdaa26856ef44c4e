//! Messages of metered topics take from the account of the process; others are never refused.

mod common;

use std::time::{Duration, Instant};

use bytes::Bytes;
use common::{CountingService, ECHO, LATER, NEVER, options};
use nutmegwheel_link::{CallError, Endpoint, Metering, Refusal, Reply, Request, Topic};
use nutmegwheel_memory::{Account, Share};

const LARGE: usize = 300_000;
const TIMEOUT: Duration = Duration::from_secs(10);

async fn endpoint(name: &str, account: &Account) -> Endpoint {
    let mut opts = options(name);
    opts.metering = Some(Metering {
        account: account.clone(),
        topics: vec![ECHO, NEVER],
    });
    let service = std::sync::Arc::new(CountingService::default());
    Endpoint::bind(opts, service).await.expect("a free port")
}

async fn call(
    from: &Endpoint,
    to: &Endpoint,
    topic: Topic,
    size: usize,
) -> Result<Reply, CallError> {
    let req = Request {
        topic,
        head: Bytes::from_static(&[0]),
        body: vec![7; size].into(),
    };
    from.call(to.local_addr(), req, Instant::now() + TIMEOUT)
        .await
}

#[tokio::test]
async fn request_without_room_is_refused_before_it_is_taken() {
    let (own, account) = (Account::unlimited(), Account::open(LARGE));
    let (a, b) = (endpoint("a", &own).await, endpoint("b", &account).await);
    let refused = call(&a, &b, ECHO, LARGE).await;
    let is_busy = matches!(
        refused,
        Err(CallError::Refused {
            reason: Refusal::Busy,
            ..
        })
    );
    assert!(is_busy, "{refused:?}");
    assert!(call(&a, &b, ECHO, 1000).await.is_ok());
    assert!(call(&a, &b, LATER, LARGE).await.is_ok(), "another topic");
    assert_eq!(account.held(), 0);
}

#[tokio::test]
async fn request_holds_its_bytes_until_it_ends() {
    let (own, account) = (Account::unlimited(), Account::open(2 * LARGE));
    let (a, b) = (endpoint("a", &own).await, endpoint("b", &account).await);
    let running = call(&a, &b, NEVER, LARGE);
    let waiting = tokio::time::timeout(Duration::from_millis(300), running);
    let held = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        account.held()
    };
    let (ended, held) = tokio::join!(waiting, held);
    assert!(ended.is_err() && held >= LARGE, "{held}");
    while account.held() > 0 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test]
async fn reply_waits_for_room() {
    let (own, far) = (Account::open(2 * LARGE), Account::unlimited());
    let (a, b) = (endpoint("a", &own).await, endpoint("b", &far).await);
    let others = own.try_hold(2 * LARGE, Share::Small);
    let reply = call(&a, &b, ECHO, LARGE);
    let release = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert_eq!(far.held(), LARGE, "the reply is held by its sender");
        drop(others);
    };
    let (reply, ()) = tokio::join!(reply, release);
    let reply = reply.expect("a reply");
    assert!(own.held() >= LARGE && reply.body.len() == LARGE);
    drop(reply);
    assert_eq!(own.held(), 0);
}
