//! Tests that each fault of the relay affects only the intended connections.

use std::{net::SocketAddr, time::Duration};

use nutmegwheel_support::relay::{Direction, Relay};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{Instant, timeout},
};

const SHORT: Duration = Duration::from_millis(150);
const LONG: Duration = Duration::from_secs(20);

async fn echo_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut from, mut to) = stream.split();
                let _ = tokio::io::copy(&mut from, &mut to).await;
            });
        }
    });
    address
}

async fn open() -> (Relay, TcpStream) {
    let relay = Relay::bind(echo_server().await).await.unwrap();
    let mut stream = TcpStream::connect(relay.local_addr()).await.unwrap();
    assert_eq!(echo(&mut stream, b"hello").await, b"hello");
    (relay, stream)
}

/// Returns the echoed bytes: fewer than were sent if the connection ends.
async fn echo(stream: &mut TcpStream, sent: &[u8]) -> Vec<u8> {
    stream.write_all(sent).await.unwrap();
    let mut got = Vec::new();
    let mut bytes = stream.take(sent.len() as u64);
    let _ = timeout(LONG, bytes.read_to_end(&mut got)).await.unwrap();
    got
}

async fn is_silent(stream: &mut TcpStream) -> bool {
    stream.write_all(b"anyone?").await.unwrap();
    timeout(SHORT, stream.read_u8()).await.is_err()
}

#[tokio::test]
async fn close_existing_closes_only_existing_connections() {
    let (relay, mut old) = open().await;
    relay.close_existing();
    assert!(timeout(LONG, old.read_u8()).await.unwrap().is_err());
    let mut new = TcpStream::connect(relay.local_addr()).await.unwrap();
    assert_eq!(echo(&mut new, b"again").await, b"again");
    assert_eq!(relay.accepted_connections(), 2);
}

#[tokio::test]
async fn refuse_closes_new_connections_until_faults_are_cleared() {
    let (relay, _old) = open().await;
    relay.refuse();
    let mut new = TcpStream::connect(relay.local_addr()).await.unwrap();
    assert!(timeout(LONG, new.read_u8()).await.unwrap().is_err());
    relay.clear_faults();
    let mut new = TcpStream::connect(relay.local_addr()).await.unwrap();
    assert_eq!(echo(&mut new, b"again").await, b"again");
}

#[tokio::test]
async fn silenced_connections_stay_open_and_new_ones_work() {
    let (relay, mut old) = open().await;
    relay.silence_existing();
    assert!(is_silent(&mut old).await);
    let mut new = TcpStream::connect(relay.local_addr()).await.unwrap();
    assert_eq!(echo(&mut new, b"again").await, b"again");
    relay.clear_faults();
    assert!(is_silent(&mut old).await);
    assert_eq!(relay.open_connections(), 2);
}

#[tokio::test]
async fn silence_all_includes_new_connections() {
    let (relay, mut old) = open().await;
    relay.silence_all();
    let mut new = TcpStream::connect(relay.local_addr()).await.unwrap();
    assert!(is_silent(&mut old).await);
    assert!(is_silent(&mut new).await);
}

#[tokio::test]
async fn delayed_bytes_arrive_later_and_in_order() {
    let (relay, mut stream) = open().await;
    relay.delay(SHORT);
    let begin = Instant::now();
    assert_eq!(echo(&mut stream, b"late").await, b"late");
    assert!(begin.elapsed() >= 2 * SHORT);
}

#[tokio::test]
async fn held_bytes_arrive_after_release() {
    let (relay, mut stream) = open().await;
    relay.hold();
    assert!(is_silent(&mut stream).await);
    relay.release();
    let mut got = [0; 7];
    timeout(LONG, stream.read_exact(&mut got))
        .await
        .unwrap()
        .unwrap();
    assert_eq!(&got, b"anyone?");
}

#[tokio::test]
async fn truncates_response_at_byte_offset() {
    let (relay, mut stream) = open().await;
    relay.truncate_after(Direction::FromTarget, 4);
    assert_eq!(echo(&mut stream, b"truncated").await, b"trun");
    assert_eq!(relay.open_connections(), 0);
}

#[tokio::test]
async fn corrupts_one_byte_of_response() {
    let (relay, mut stream) = open().await;
    relay.corrupt_after(Direction::FromTarget, 4);
    assert_eq!(echo(&mut stream, b"AAAAAAAA").await, b"AAAA\xbeAAA");
    assert_eq!(echo(&mut stream, b"AAAAAAAA").await, b"AAAAAAAA");
}

#[tokio::test]
async fn new_connections_go_to_new_target() {
    let relay = Relay::bind(SocketAddr::from(([127, 0, 0, 1], 1)))
        .await
        .unwrap();
    let mut stream = TcpStream::connect(relay.local_addr()).await.unwrap();
    assert!(timeout(LONG, stream.read_u8()).await.unwrap().is_err());
    relay.set_target(echo_server().await);
    let mut stream = TcpStream::connect(relay.local_addr()).await.unwrap();
    assert_eq!(echo(&mut stream, b"hello").await, b"hello");
}
