use std::{io, net::SocketAddr, sync::Arc, time::Instant};

use bytes::{Buf, BufMut, Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::{
    codec::{Framed, LengthDelimitedCodec},
    sync::CancellationToken,
    task::TaskTracker,
};

use crate::{BindError, CallError, Options, Peer, Reply, Request, Service, Step, Topic};

type Conn = Framed<TcpStream, LengthDelimitedCodec>;

/// A running handle: it accepts links from other processes and calls them.
///
/// Clones share the endpoint; its tasks end when the last clone is dropped.
#[derive(Clone)]
pub struct Endpoint {
    shared: Arc<Shared>,
}

struct Shared {
    opts: Options,
    address: SocketAddr,
    tracker: TaskTracker,
    closing: CancellationToken,
    stop: CancellationToken,
}

impl Drop for Shared {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// Lifecycle
impl Endpoint {
    /// Opens the listening socket and starts to serve in the runtime that it is called in.
    ///
    /// # Errors
    ///
    /// The address may be taken or not local.
    pub async fn bind(opts: Options, service: Arc<dyn Service>) -> Result<Self, BindError> {
        let listen = opts.listen;
        let failed = |source| BindError::Listen {
            address: listen,
            source,
        };
        let listener = TcpListener::bind(listen).await.map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        let shared = Arc::new(Shared {
            opts,
            address,
            tracker: TaskTracker::new(),
            closing: CancellationToken::new(),
            stop: CancellationToken::new(),
        });
        let (tracker, closing, stop) = (
            shared.tracker.clone(),
            shared.closing.clone(),
            shared.stop.clone(),
        );
        tokio::spawn(async move {
            let accept = accept_loop(listener, service, tracker, stop.clone());
            tokio::select! {
                () = accept => {}
                () = stop.cancelled() => {}
                () = closing.cancelled() => {}
            }
        });
        Ok(Self { shared })
    }

    /// Takes nothing new and waits until what is in flight has been answered.
    pub async fn shutdown(&self) {
        self.shared.closing.cancel();
        self.shared.tracker.close();
        self.shared.tracker.wait().await;
    }
}

/// Access
impl Endpoint {
    /// The address on which links are accepted.
    #[must_use]
    pub fn local_addr(&self) -> SocketAddr {
        self.shared.address
    }

    /// Sends a request and waits for its whole reply. Dropping the returned future cancels the
    /// call on the far side.
    ///
    /// # Errors
    ///
    /// The error tells whether the far side may have begun the request.
    pub async fn call(
        &self,
        to: SocketAddr,
        req: Request,
        deadline: Instant,
    ) -> Result<Reply, CallError> {
        if self.shared.closing.is_cancelled() {
            return Err(CallError::ShutDown { peer: to });
        }
        let Some(left) = deadline.checked_duration_since(Instant::now()) else {
            return Err(expired(to, false));
        };
        let connected = tokio::time::timeout(left, self.connect(to)).await;
        let mut conn = match connected {
            Err(_) => return Err(expired(to, false)),
            Ok(Err(e)) => {
                return Err(CallError::NotSent {
                    peer: to,
                    step: Step::Connect,
                    reason: e.to_string(),
                });
            }
            Ok(Ok(conn)) => conn,
        };
        let left = deadline.saturating_duration_since(Instant::now());
        match tokio::time::timeout(left, exchange(&mut conn, req)).await {
            Err(_) => Err(expired(to, true)),
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(e)) => Err(CallError::Lost {
                peer: to,
                step: Step::Wait,
                incarnation: 0,
                reason: e.to_string(),
            }),
        }
    }

    /// Sends a one-way message, best effort: it may be dropped without a word.
    pub fn send(&self, to: SocketAddr, topic: Topic, body: Bytes) {
        let this = self.clone();
        self.shared.tracker.spawn(async move {
            if let Ok(mut conn) = this.connect(to).await {
                let _ = conn.send(encode(1, topic, &Bytes::new(), &body)).await;
            }
        });
    }

    async fn connect(&self, to: SocketAddr) -> io::Result<Conn> {
        let limit = self.shared.opts.limits.handshake_timeout;
        let stream = tokio::time::timeout(limit, TcpStream::connect(to)).await??;
        stream.set_nodelay(true)?;
        let mut conn = framed(stream);
        let opts = &self.shared.opts;
        let hello = format!(
            "{}\n{}\n{}\n{}",
            opts.name, opts.data_centre, opts.incarnation, self.shared.address
        );
        conn.send(Bytes::from(hello)).await?;
        Ok(conn)
    }
}

fn expired(peer: SocketAddr, sent: bool) -> CallError {
    CallError::Expired {
        peer,
        sent,
        incarnation: None,
    }
}

fn framed(stream: TcpStream) -> Conn {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(8 << 20)
        .new_codec();
    Framed::new(stream, codec)
}

fn encode(kind: u8, topic: Topic, head: &Bytes, body: &Bytes) -> Bytes {
    let mut buf = BytesMut::with_capacity(7 + head.len() + body.len());
    buf.put_u8(kind);
    buf.put_u16(topic.0);
    buf.put_u32(u32::try_from(head.len()).unwrap_or(u32::MAX));
    buf.put_slice(head);
    buf.put_slice(body);
    buf.freeze()
}

fn decode(mut buf: Bytes) -> io::Result<(u8, Request)> {
    let short = || io::Error::from(io::ErrorKind::InvalidData);
    if buf.len() < 7 {
        return Err(short());
    }
    let (kind, topic, head) = (buf.get_u8(), buf.get_u16(), buf.get_u32() as usize);
    if buf.len() < head {
        return Err(short());
    }
    let head = buf.split_to(head);
    let topic = Topic(topic);
    let body = buf;
    Ok((kind, Request { topic, head, body }))
}

async fn next(conn: &mut Conn) -> io::Result<Bytes> {
    match conn.next().await {
        Some(frame) => frame.map(BytesMut::freeze),
        None => Err(io::ErrorKind::UnexpectedEof.into()),
    }
}

async fn exchange(conn: &mut Conn, req: Request) -> io::Result<Reply> {
    conn.send(encode(0, req.topic, &req.head, &req.body))
        .await?;
    let (_, Request { head, body, .. }) = decode(next(conn).await?)?;
    Ok(Reply { head, body })
}

async fn accept_loop(
    listener: TcpListener,
    service: Arc<dyn Service>,
    tracker: TaskTracker,
    stop: CancellationToken,
) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            let serve = serve(stream, service.clone());
            let stop = stop.clone();
            tracker.spawn(async move {
                tokio::select! {
                    _ = serve => {}
                    () = stop.cancelled() => {}
                }
            });
        }
    }
}

async fn serve(stream: TcpStream, service: Arc<dyn Service>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut conn = framed(stream);
    let hello = next(&mut conn).await?;
    let peer = parse_hello(&hello).ok_or(io::ErrorKind::InvalidData)?;
    let (kind, req) = decode(next(&mut conn).await?)?;
    if kind == 1 {
        service.notice(peer, req.topic, req.body);
        return Ok(());
    }
    let topic = req.topic;
    let reply = tokio::select! {
        reply = service.serve(peer, req) => reply,
        _ = conn.next() => return Ok(()),
    };
    conn.send(encode(2, topic, &reply.head, &reply.body)).await
}

fn parse_hello(hello: &[u8]) -> Option<Peer> {
    let text = std::str::from_utf8(hello).ok()?;
    let mut parts = text.split('\n');
    Some(Peer {
        name: parts.next()?.into(),
        data_centre: parts.next()?.into(),
        incarnation: parts.next()?.parse().ok()?,
        address: parts.next()?.parse().ok()?,
    })
}
