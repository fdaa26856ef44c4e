//! Serves the requests of one connection; see docs/INTERFACES.md, "Pipelined requests".

use std::{io, net::SocketAddr, pin::pin, sync::Arc, time::Duration};

use bytes::BytesMut;
use futures_util::stream::{FuturesUnordered, StreamExt as _};
use nutmegwheel_events::{Event, Journal};
use nutmegwheel_http1::{Bounds, Decoder, Encoder, Framing, Pipeline, Sequence, Stage};
use nutmegwheel_memory::Hold;
use tokio::time::{Instant, sleep_until};
use tokio_util::sync::CancellationToken;

mod closing;
mod memory;
mod slow_reader;

use crate::{
    BodyLimit, Handler, Problem, Request,
    connections::{Connections, Entry, Socket},
    in_progress::{Answer, InProgress},
    output::Output,
    timing::Timing,
};

/// What may be in progress on one connection.
const BOUNDS: Bounds = Bounds {
    requests: 16,
    bytes: 256 * 1024,
};
/// The number of received bytes from which on no more are read until a request is taken from them.
const READ_AHEAD_BYTES: usize = nutmegwheel_http1::MAX_HEAD_BYTES;
/// The number of bytes for which a read makes room.
const READ_BYTES: usize = 4 * 1024;

/// What the connections of a listener have in common.
pub(crate) struct Service {
    pub(crate) handler: Box<dyn Handler>,
    pub(crate) journal: Arc<Journal>,
    pub(crate) body_limit: BodyLimit,
    /// The time limit for receiving a head, and again for receiving a body.
    pub(crate) read_timeout: Duration,
}

/// The peer has closed or reset the connection, or takes no more bytes.
struct Departed;

/// Serves a connection until it is closed. The handlers of its requests are dropped when the caller
/// leaves.
pub(crate) async fn serve(service: &Service, entry: &Entry, stopping: &CancellationToken) {
    let (socket, connections) = (&*entry.socket, &entry.connections);
    let Ok(peer) = socket.stream.peer_addr() else {
        // The peer has reset the connection before any request of it was read.
        return;
    };
    let mut connection = Connection {
        service,
        socket,
        connections,
        peer,
        decoder: Decoder::open(service.body_limit.get(), connections.account.clone()),
        encoder: Encoder::default(),
        received: BytesMut::new(),
        waiting: None,
        pipeline: Pipeline::open(BOUNDS),
        running: FuturesUnordered::new(),
        output: Output::default(),
        timing: Timing::open(Instant::now(), service.read_timeout),
        unread: connections.account.hold(),
    };
    match connection.run(stopping).await {
        Ok(()) => connection.linger().await,
        Err(Departed) => connection.report_abandoned(),
    }
}

struct Connection<'a> {
    service: &'a Service,
    socket: &'a Socket,
    connections: &'a Connections,
    peer: SocketAddr,
    decoder: Decoder,
    encoder: Encoder,
    /// The bytes that no request was taken from.
    received: BytesMut,
    /// A complete request that must not be begun yet.
    waiting: Option<nutmegwheel_http1::Request>,
    pipeline: Pipeline<Answer>,
    running: FuturesUnordered<InProgress>,
    output: Output,
    timing: Timing,
    /// The memory for the bytes of an incomplete body that wait in the kernel.
    unread: Hold,
}

impl Connection<'_> {
    /// Serves requests until the connection is to be closed from this side.
    async fn run(&mut self, stopping: &CancellationToken) -> Result<(), Departed> {
        let stream = &self.socket.stream;
        let mut is_stopping = false;
        let mut stopped = pin!(stopping.cancelled());
        let mut timer = pin!(sleep_until(self.deadline()));
        loop {
            self.advance()?;
            if self.pipeline.is_closing() && self.pipeline.is_empty() && self.output.is_empty() {
                return Ok(());
            }
            let deadline = self.deadline();
            if deadline < timer.deadline() {
                timer.as_mut().reset(deadline);
            }
            tokio::select! {
                biased;
                () = &mut stopped, if !is_stopping => {
                    is_stopping = true;
                    self.stop().await?;
                }
                Some((sequence, answer)) = self.running.next(), if !self.running.is_empty() => {
                    self.complete(sequence, answer);
                }
                () = self.socket.evicted() => self.evict()?,
                ready = stream.readable(), if self.may_read() => {
                    ready.map_err(|_| Departed)?;
                    self.read()?;
                }
                ready = stream.writable(), if !self.output.is_empty() => {
                    ready.map_err(|_| Departed)?;
                }
                () = &mut timer => {
                    self.expire(Instant::now())?;
                    timer.as_mut().reset(self.deadline());
                }
            }
        }
    }

    /// Begins the requests that may be begun and sends the responses whose turn has come.
    fn advance(&mut self) -> Result<(), Departed> {
        loop {
            self.begin_requests();
            if !self.write()? {
                break;
            }
        }
        self.update_times(Instant::now());
        Ok(())
    }

    fn begin_requests(&mut self) {
        while self.pipeline.has_room() {
            if self.waiting.is_none() {
                if self.decoder.stage() == Stage::Head {
                    self.decoder.set_body_limit(self.service.body_limit.get());
                }
                match self.decoder.decode(&mut self.received) {
                    Ok(Some(req)) => self.waiting = Some(req),
                    Ok(None) => break,
                    Err(e) => {
                        self.refuse(e.into());
                        break;
                    }
                }
            }
            let Some(req) = self.waiting.take() else {
                break;
            };
            let may_overlap = self.service.handler.may_overlap(&req.head);
            if !self.pipeline.admits(may_overlap) {
                self.waiting = Some(req);
                break;
            }
            self.begin(req, may_overlap);
        }
        if self.pipeline.is_empty() && self.decoder.take_expects_interim() {
            self.output.push(Encoder::interim());
        }
    }

    fn begin(&mut self, req: nutmegwheel_http1::Request, may_overlap: bool) {
        let sequence = self.pipeline.begin(may_overlap, req.body.len());
        if req.is_last {
            self.pipeline.close();
        }
        let framing = Framing::of_request(&req.head);
        let future = self.service.handler.handle(Request {
            head: req.head,
            body: req.body,
            peer: self.peer,
        });
        self.running.push(InProgress {
            sequence,
            framing,
            future,
            _hold: req.hold,
        });
    }

    /// Refuses what cannot be read as a request, behind the responses to the requests before it.
    fn refuse(&mut self, problem: Problem) {
        self.service.journal.emit_rate_limited(
            Event::RequestMalformed,
            &[("caller", &self.peer), ("detail", &problem.detail)],
        );
        self.end_with(problem);
    }

    /// Drops what has arrived of the next request and answers it with a refusal, the last response
    /// of the connection.
    fn end_with(&mut self, problem: Problem) {
        self.service.handler.count_refusal(problem.reason);
        let framing = Framing {
            is_head: false,
            is_http10: false,
        };
        let res = problem.into_response();
        let sequence = self.pipeline.begin(false, 0);
        self.complete(sequence, Answer { res, framing });
        self.pipeline.close();
        self.decoder.discard();
        self.received = BytesMut::new();
    }

    fn complete(&mut self, sequence: Sequence, answer: Answer) {
        if answer.asks_for_close() {
            self.pipeline.close();
        }
        let bytes = answer.res.body().len();
        self.pipeline.complete(sequence, answer, bytes);
    }

    /// Sends responses as far as the caller takes them, and returns whether it has taken all of at
    /// least one.
    fn write(&mut self) -> Result<bool, Departed> {
        let mut has_taken_any = false;
        loop {
            while !self.output.is_full()
                && let Some(next) = self.pipeline.take_next()
            {
                let Answer { res, framing } = next.answer;
                let (encoder, output) = (&mut self.encoder, &mut self.output);
                output.push_with(|buf| encoder.encode(res, framing, next.is_last, buf));
                self.timing.record_write(Instant::now());
            }
            if self.output.is_empty() {
                return Ok(has_taken_any);
            }
            match self.output.write_to(&self.socket.stream) {
                Ok(()) => {
                    self.timing.record_write(Instant::now());
                    has_taken_any |= self.output.is_empty();
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(has_taken_any),
                Err(_) => return Err(Departed),
            }
        }
    }

    fn may_read(&self) -> bool {
        let has_room = self.received.len() < READ_AHEAD_BYTES && !self.decoder.lacks_memory();
        self.pipeline.is_closing() || has_room
    }

    /// Reads what has arrived. Once the connection is closing, this only finds out whether the
    /// caller has left.
    fn read(&mut self) -> Result<(), Departed> {
        while self.may_read() {
            self.received.reserve(READ_BYTES);
            match self.socket.stream.try_read_buf(&mut self.received) {
                Ok(0) => return Err(Departed),
                Ok(bytes) => self.record_received(bytes),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(_) => return Err(Departed),
            }
            if self.pipeline.is_closing() {
                self.received.clear();
            }
        }
        Ok(())
    }

    fn update_times(&mut self, now: Instant) {
        let stage = self.decoder.stage();
        let is_receiving = self.waiting.is_none()
            && self.pipeline.has_room()
            && (stage == Stage::Body || !self.received.is_empty());
        let is_busy = !self.pipeline.is_empty() || !self.output.is_empty();
        let idle_since = self
            .timing
            .update(now, is_receiving.then_some(stage), is_busy);
        self.socket
            .set_idle_since(idle_since.map(Instant::into_std));
        if self.connections.account.is_limited() {
            self.update_reception(now, is_receiving);
            self.update_reading(now);
        }
    }
}
