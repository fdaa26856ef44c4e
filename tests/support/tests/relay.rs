//! The relay does to its connections what it was told.

use std::{net::SocketAddr, time::Duration};

use nutmegwheel_support::relay::{Direction, Relay};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{Instant, timeout},
};

const SHORT: Duration = Duration::from_millis(150);
const LONG: Duration = Duration::from_secs(20);

/// A server that sends back what it gets.
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

/// What comes back, which is less than was sent when the connection ends.
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
async fn a_cut_closes_only_the_connections_of_then() {
    let (relay, mut old) = open().await;
    relay.cut();
    assert!(timeout(LONG, old.read_u8()).await.unwrap().is_err());
    let mut new = TcpStream::connect(relay.local_addr()).await.unwrap();
    assert_eq!(echo(&mut new, b"again").await, b"again");
    assert_eq!(relay.accepted_connections(), 2);
}

#[tokio::test]
async fn refusing_closes_new_connections_until_it_passes() {
    let (relay, _old) = open().await;
    relay.refuse();
    let mut new = TcpStream::connect(relay.local_addr()).await.unwrap();
    assert!(timeout(LONG, new.read_u8()).await.unwrap().is_err());
    relay.pass();
    let mut new = TcpStream::connect(relay.local_addr()).await.unwrap();
    assert_eq!(echo(&mut new, b"again").await, b"again");
}

#[tokio::test]
async fn silent_connections_stay_open_and_new_ones_work() {
    let (relay, mut old) = open().await;
    relay.silence_existing();
    assert!(is_silent(&mut old).await);
    let mut new = TcpStream::connect(relay.local_addr()).await.unwrap();
    assert_eq!(echo(&mut new, b"again").await, b"again");
    relay.pass();
    assert!(is_silent(&mut old).await);
    assert_eq!(relay.open_connections(), 2);
}

#[tokio::test]
async fn silence_for_all_takes_new_connections_in_too() {
    let (relay, mut old) = open().await;
    relay.silence_all();
    let mut new = TcpStream::connect(relay.local_addr()).await.unwrap();
    assert!(is_silent(&mut old).await);
    assert!(is_silent(&mut new).await);
}

#[tokio::test]
async fn delayed_bytes_come_later_and_in_order() {
    let (relay, mut stream) = open().await;
    relay.delay(SHORT);
    let begin = Instant::now();
    assert_eq!(echo(&mut stream, b"late").await, b"late");
    assert!(begin.elapsed() >= 2 * SHORT);
}

#[tokio::test]
async fn held_bytes_come_after_the_release() {
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
async fn a_truncated_answer_ends_at_the_byte() {
    let (relay, mut stream) = open().await;
    relay.truncate_after(Direction::FromTarget, 4);
    assert_eq!(echo(&mut stream, b"truncated").await, b"trun");
    assert_eq!(relay.open_connections(), 0);
}

#[tokio::test]
async fn a_corrupted_answer_differs_in_one_byte() {
    let (relay, mut stream) = open().await;
    relay.corrupt_after(Direction::FromTarget, 4);
    assert_eq!(echo(&mut stream, b"AAAAAAAA").await, b"AAAA\xbeAAA");
    assert_eq!(echo(&mut stream, b"AAAAAAAA").await, b"AAAAAAAA");
}

#[tokio::test]
async fn a_new_target_takes_the_new_connections() {
    let relay = Relay::bind(SocketAddr::from(([127, 0, 0, 1], 1)))
        .await
        .unwrap();
    let mut stream = TcpStream::connect(relay.local_addr()).await.unwrap();
    assert!(timeout(LONG, stream.read_u8()).await.unwrap().is_err());
    relay.set_target(echo_server().await);
    let mut stream = TcpStream::connect(relay.local_addr()).await.unwrap();
    assert_eq!(echo(&mut stream, b"hello").await, b"hello");
}
