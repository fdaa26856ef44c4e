//! The state machine of one link, without I/O and clocks.
//!
//! Frames go in by [`Mux::receive`], bytes come out by [`Mux::fill`], and what happened is told by
//! [`Mux::next_event`]. The time is passed in, so that one thread and a virtual clock can test it.

mod calls;
mod control;
mod inbound;
mod incoming_requests;
mod liveness;
mod outbound;
mod types;

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};

pub use types::{CallKey, Event, Failure, PeerTimeout, Rejection, Side, StreamId, Violation};

use crate::{
    Limits, Reply, Request, Topic,
    wire::{self, Kind, RefuseReason},
};
use calls::Calls;
use control::ControlQueue;
use incoming_requests::IncomingRequests;
use liveness::Liveness;

/// One side of a link.
#[derive(Debug)]
pub struct Mux {
    side: Side,
    limits: Limits,
    calls: Calls,
    incoming: IncomingRequests,
    control: ControlQueue,
    liveness: Liveness,
    events: VecDeque<Event>,
    /// The bytes that were encoded and those that were handed to the socket.
    encoded: u64,
    written: u64,
}

/// Lifecycle
impl Mux {
    /// Starts one side of a link whose handshake has just been done.
    #[must_use]
    pub fn new(side: Side, limits: &Limits, now: Instant) -> Self {
        Self {
            side,
            limits: limits.clone(),
            calls: Calls::new(limits),
            incoming: IncomingRequests::new(limits),
            control: ControlQueue::default(),
            liveness: Liveness::new(limits, now),
            events: VecDeque::new(),
            encoded: 0,
            written: 0,
        }
    }

    /// Takes no further requests or calls; those that were taken go on. An acceptor tells the far
    /// side so.
    pub fn go_away(&mut self) {
        match self.side {
            Side::Dialler => self.calls.start_draining(),
            Side::Acceptor => self.incoming.go_away(&mut self.control),
        }
    }

    /// Ends every call, since the connection is gone; the events tell what is known about them.
    pub fn close(&mut self) {
        self.calls.close(self.written, &mut self.events);
    }
}

/// Access
impl Mux {
    /// The number of streams that are open in either direction.
    #[must_use]
    pub fn open_streams(&self) -> usize {
        self.calls.len() + self.incoming.len()
    }

    /// The bytes of messages that this side holds, or has permitted the far side to send beyond
    /// the first window of each stream.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        self.calls.buffered_bytes() + self.incoming.buffered_bytes()
    }

    /// Whether this link takes no further calls.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.calls.is_draining()
    }

    /// Whether the far side has not answered a ping in the usual time.
    #[must_use]
    pub fn is_suspect(&self, now: Instant) -> bool {
        self.liveness.is_suspect(now)
    }

    /// Whether the link can be closed by its dialler: nothing is open, and it takes no further
    /// calls or has had none for the idle timeout.
    #[must_use]
    pub fn is_finished(&self, now: Instant) -> bool {
        let idle = now >= self.liveness.last_used() + self.limits.idle_timeout;
        self.side == Side::Dialler
            && self.open_streams() == 0
            && self.control.is_empty()
            && (idle || self.is_draining())
    }

    /// Whether an acceptor that takes no further requests has answered all that it took.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        self.incoming.is_going_away() && self.incoming.len() == 0 && self.control.is_empty()
    }

    /// The time that a drained acceptor leaves its dialler to close the connection; closing it
    /// first could destroy replies that the dialler has not read yet.
    #[must_use]
    pub fn linger_timeout(&self) -> Duration {
        self.limits.silence_timeout
    }

    /// Whether bytes may be read from the far side; not while it leaves too many answers unread.
    #[must_use]
    pub fn wants_read(&self) -> bool {
        !self.control.is_full()
    }

    /// Takes the next thing that happened.
    pub fn next_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }
}

/// Messages
impl Mux {
    /// Queues a request.
    ///
    /// # Errors
    ///
    /// The link may be full or draining, or the request larger than the limits.
    pub fn open(&mut self, req: Request, now: Instant) -> Result<CallKey, Rejection> {
        self.liveness.record_use(now);
        self.calls.open(req, false)
    }

    /// Queues a one-way message.
    ///
    /// # Errors
    ///
    /// The link may be full or draining, or the message larger than the limits.
    pub fn notify(&mut self, topic: Topic, body: Bytes, now: Instant) -> Result<(), Rejection> {
        self.liveness.record_use(now);
        let head = Bytes::new();
        self.calls
            .open(Request { topic, head, body }, true)
            .map(|_| ())
    }

    /// Ends a call whose reply is no longer wanted; tells whether the far side may begin it, or
    /// `None` if the call had ended before.
    pub fn cancel(&mut self, call: CallKey) -> Option<bool> {
        self.calls.cancel(call, &mut self.control)
    }

    /// Queues the reply to a request that came; ignored once the request was cancelled.
    pub fn answer(&mut self, stream: StreamId, reply: Reply, now: Instant) {
        self.liveness.record_use(now);
        self.incoming.answer(stream, reply, &mut self.control);
    }

    /// Tells the far side that a request will have no reply although it may have begun.
    pub fn fail_request(&mut self, stream: StreamId) {
        self.incoming
            .refuse(stream, RefuseReason::Failed, &mut self.control);
    }
}

/// The connection
impl Mux {
    /// Takes in a frame of the far side.
    ///
    /// # Errors
    ///
    /// A breach of the protocol, after which the connection has to be closed.
    pub fn receive(&mut self, frame: Kind, now: Instant) -> Result<(), Violation> {
        self.liveness.record_receipt(now);
        let (control, events) = (&mut self.control, &mut self.events);
        match (self.side, frame) {
            (_, Kind::Ping(ping)) => control.pong(ping.number),
            (_, Kind::Pong(_)) => {}
            (Side::Acceptor, Kind::Request(data)) => {
                self.liveness.record_use(now);
                self.incoming.request(&data, control, events)?;
            }
            (Side::Acceptor, Kind::Cancel(frame)) => self.incoming.cancel(frame.stream, events)?,
            (Side::Acceptor, Kind::Credit(credit)) => {
                self.incoming.credit(credit.stream, credit.bytes as usize)?;
            }
            (Side::Dialler, Kind::Reply(data)) => {
                self.liveness.record_use(now);
                self.calls.reply(&data, control, events)?;
            }
            (Side::Dialler, Kind::Credit(credit)) => {
                self.calls.credit(credit.stream, credit.bytes as usize)?;
            }
            (Side::Dialler, Kind::Refuse(refuse)) => {
                self.calls.refuse(refuse.stream, refuse.reason(), events)?;
            }
            (Side::Dialler, Kind::GoAway(last)) => self.calls.go_away(last.last_stream, events),
            _ => return Err(Violation::WrongSide),
        }
        Ok(())
    }

    /// Asks for a sign of life when it is time.
    ///
    /// # Errors
    ///
    /// The far side has been silent for too long, so the connection has to be abandoned.
    pub fn tick(&mut self, now: Instant) -> Result<(), PeerTimeout> {
        if self.liveness.tick(now, self.open_streams() > 0)? {
            self.control.ping();
        }
        Ok(())
    }

    /// When [`Mux::tick`] or [`Mux::is_finished`] has to be asked next, if nothing happens before.
    #[must_use]
    pub fn next_tick(&self, now: Instant) -> Instant {
        let ping = self.liveness.next_tick(now, self.open_streams() > 0);
        let idle = self.liveness.last_used() + self.limits.idle_timeout;
        if idle > now { ping.min(idle) } else { ping }
    }

    /// Appends frames to `out` until it holds `target_len` bytes or nothing may be sent.
    pub fn fill(&mut self, out: &mut BytesMut, target_len: usize, now: Instant) {
        let may_start = !self.liveness.needs_probe(now);
        while out.len() < target_len {
            let start = out.len();
            if let Some(kind) = self.control.next() {
                wire::encode(kind, out);
                self.encoded += (out.len() - start) as u64;
            } else if let Some((call, data)) = self.calls.next(may_start) {
                wire::encode(Kind::Request(data), out);
                self.encoded += (out.len() - start) as u64;
                self.calls.record_encoded(call, self.encoded);
            } else if let Some(data) = self.incoming.next() {
                wire::encode(Kind::Reply(data), out);
                self.encoded += (out.len() - start) as u64;
            } else {
                return;
            }
        }
    }

    /// Notes that bytes of [`Mux::fill`] were handed to the socket.
    pub fn record_written(&mut self, bytes: usize) {
        self.written += bytes as u64;
    }
}
