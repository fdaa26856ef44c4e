//! Opens and accepts the TCP connections of links, and runs the handshake over them.

use std::{
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt, stream::FuturesUnordered};
use thiserror::Error;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::{
    Peer, Step,
    handshake::{Acceptor, Dialler, HandshakeError, Identity, MAX_HANDSHAKE_MESSAGE_BYTES},
};

/// The size of the kernel's send buffer. A larger one would delay small messages behind the data
/// that it holds.
const SEND_BUFFER_BYTES: u32 = 256 * 1024;
/// The number of connections that the kernel queues until they are accepted.
const BACKLOG: u32 = 1024;

/// The time after which another connection is begun beside one that gets no answer. It is longer
/// than a round trip to any peer.
const CONNECT_INTERVAL: Duration = Duration::from_millis(250);

/// Why a link could not be established; no part of any message was sent.
#[derive(Debug, Error)]
pub(crate) enum ConnectError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Handshake(#[from] HandshakeError),
    #[error("timeout")]
    Timeout(Step),
}

impl ConnectError {
    pub(crate) fn step(&self) -> Step {
        match self {
            Self::Io(_) => Step::Connect,
            Self::Handshake(_) => Step::Handshake,
            Self::Timeout(step) => *step,
        }
    }
}

/// A connection whose handshake has completed.
pub(crate) struct Connected {
    pub(crate) stream: TcpStream,
    pub(crate) peer: Peer,
    /// A time before the peer could complete its side of the handshake.
    pub(crate) peer_opened_after: Instant,
    /// The bytes that were read after the end of the handshake.
    pub(crate) input: BytesMut,
}

/// The identity that a process presents in a handshake, and the secret that it proves to hold.
pub(crate) struct Credentials {
    pub(crate) identity: Identity,
    pub(crate) secret: Vec<u8>,
}

pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = new_socket(address)?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Connects to a peer. The operating system repeats the first packet of a connection only after a
/// second, so further connections are begun beside one that gets no answer: the packet may have been
/// lost, or the peer's VM may have started meanwhile.
pub(crate) async fn connect_repeatedly(address: SocketAddr) -> io::Result<TcpStream> {
    let mut attempts = FuturesUnordered::new();
    loop {
        attempts.push(connect(address));
        tokio::select! {
            Some(connected) = attempts.next() => return connected,
            () = tokio::time::sleep(CONNECT_INTERVAL) => {}
        }
    }
}

async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = new_socket(address)?.connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

fn new_socket(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    Ok(socket)
}

/// Runs the dialler's side of the handshake.
pub(crate) async fn dial_handshake(
    stream: TcpStream,
    credentials: &Credentials,
) -> Result<Connected, ConnectError> {
    let mut framed = framed(stream);
    let (dialler, hello) = Dialler::start(&credentials.identity, rand::random());
    framed.send(hello).await?;
    let challenge = receive(&mut framed).await?;
    let (identity, proof) = dialler.prove(&credentials.secret, challenge)?;
    let peer_opened_after = Instant::now();
    framed.send(proof).await?;
    receive(&mut framed).await?;
    finish(framed, identity, peer_opened_after)
}

/// Runs the acceptor's side of the handshake.
pub(crate) async fn accept_handshake(
    stream: TcpStream,
    credentials: &Credentials,
) -> Result<Connected, ConnectError> {
    stream.set_nodelay(true)?;
    let mut framed = framed(stream);
    let hello = receive(&mut framed).await?;
    let (acceptor, challenge) = Acceptor::challenge(
        &credentials.secret,
        &credentials.identity,
        rand::random(),
        &hello,
    )?;
    framed.send(challenge).await?;
    let identity = acceptor.finish(receive(&mut framed).await?)?;
    let peer_opened_after = Instant::now();
    framed.send(Bytes::new()).await?;
    finish(framed, identity, peer_opened_after)
}

type HandshakeStream = Framed<TcpStream, LengthDelimitedCodec>;

fn framed(stream: TcpStream) -> HandshakeStream {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_HANDSHAKE_MESSAGE_BYTES)
        .new_codec();
    Framed::with_capacity(stream, codec, MAX_HANDSHAKE_MESSAGE_BYTES)
}

async fn receive(framed: &mut HandshakeStream) -> Result<Bytes, ConnectError> {
    match framed.next().await {
        Some(message) => Ok(message?.freeze()),
        None => Err(io::Error::from(io::ErrorKind::UnexpectedEof).into()),
    }
}

fn finish(
    framed: HandshakeStream,
    identity: Identity,
    peer_opened_after: Instant,
) -> Result<Connected, ConnectError> {
    let parts = framed.into_parts();
    let remote = parts.io.peer_addr()?;
    Ok(Connected {
        peer: peer(identity, remote),
        peer_opened_after,
        stream: parts.io,
        input: parts.read_buf,
    })
}

/// Describes the peer. If it listens on all addresses of its VM, its IP address is taken from the
/// connection.
fn peer(identity: Identity, remote: SocketAddr) -> Peer {
    let mut address = identity.address;
    if address.ip().is_unspecified() {
        address.set_ip(remote.ip());
    }
    Peer {
        name: identity.name,
        data_centre: identity.data_centre,
        incarnation: identity.incarnation,
        address,
    }
}
