//! The state machine that multiplexes the streams of one link, without I/O and clocks.
//!
//! Received frames are passed to [`Mux::receive`], bytes to send are taken from [`Mux::fill`], and
//! [`Mux::next_event`] returns what happened. The time is a parameter, so that tests can use a
//! virtual clock in a single thread.

mod calls;
mod clock;
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
    Limits, Metering, Reply, Request, Topic,
    wire::{self, Kind, RefuseReason},
};
use calls::Calls;
use clock::Clocks;
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
    clocks: Clocks,
    events: VecDeque<Event>,
    /// The total bytes encoded, and the total bytes handed to the socket. The difference tells
    /// which requests cannot have reached the peer.
    encoded: u64,
    written: u64,
}

impl Mux {
    /// Creates one side of a link whose handshake has completed. The peer's side was created after
    /// `peer_opened_after`.
    #[must_use]
    pub fn new(side: Side, limits: &Limits, now: Instant, peer_opened_after: Instant) -> Self {
        Self {
            side,
            limits: limits.clone(),
            calls: Calls::new(limits),
            incoming: IncomingRequests::new(limits),
            control: ControlQueue::default(),
            liveness: Liveness::new(limits, now),
            clocks: Clocks::new(now, peer_opened_after),
            events: VecDeque::new(),
            encoded: 0,
            written: 0,
        }
    }

    /// Lets messages take from an account; see [`Metering`].
    #[must_use]
    pub fn with_metering(mut self, metering: Option<Metering>) -> Self {
        self.calls.set_metering(metering.clone());
        self.incoming.set_metering(metering);
        self
    }

    /// Stops accepting calls on a dialler, or requests on an acceptor; those that were accepted
    /// continue. An acceptor notifies its peer.
    pub fn go_away(&mut self) {
        match self.side {
            Side::Dialler => self.calls.start_draining(),
            Side::Acceptor => self.incoming.go_away(&mut self.control),
        }
    }

    /// Fails every call because the connection is closed; an event for each call says whether the
    /// peer may have started it.
    pub fn close(&mut self) {
        self.calls.close(self.written, &mut self.events);
    }
}

impl Mux {
    /// The number of streams that are open in either direction.
    #[must_use]
    pub fn open_streams(&self) -> usize {
        self.calls.len() + self.incoming.len()
    }

    /// The bytes of messages that this side buffers, plus the credit that it has granted to the
    /// peer beyond the initial window of each stream.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        self.calls.buffered_bytes() + self.incoming.buffered_bytes()
    }

    /// Whether this link accepts no more calls.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.calls.is_draining()
    }

    /// Whether the peer has not answered a ping for a whole ping interval.
    #[must_use]
    pub fn is_suspect(&self, now: Instant) -> bool {
        self.liveness.is_suspect(now)
    }

    /// Whether this side is the dialler and can close the link: no stream is open, and the link is
    /// draining or has been idle for the idle timeout.
    #[must_use]
    pub fn is_finished(&self, now: Instant) -> bool {
        let idle = now >= self.liveness.last_used() + self.limits.idle_timeout;
        self.side == Side::Dialler
            && self.open_streams() == 0
            && self.control.is_empty()
            && (idle || self.is_draining())
    }

    /// Whether an acceptor that is going away has answered all requests that it accepted.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        self.incoming.is_going_away() && self.incoming.len() == 0 && self.control.is_empty()
    }

    /// How long a drained acceptor waits for its dialler to close the connection. If the acceptor
    /// closed it first, replies that the dialler has not read yet could be lost.
    #[must_use]
    pub fn linger_timeout(&self) -> Duration {
        self.limits.silence_timeout
    }

    /// Whether to read from the peer; false while it leaves too many control frames unread.
    #[must_use]
    pub fn wants_read(&self) -> bool {
        !self.control.is_full()
    }

    /// Removes and returns the oldest event.
    pub fn next_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }
}

impl Mux {
    /// Queues a request. The peer does not start it after the deadline, if there is one, even if
    /// it arrives later.
    ///
    /// # Errors
    ///
    /// Fails when the link is full or draining, or when the request exceeds the limits.
    pub fn open(
        &mut self,
        req: Request,
        deadline: Option<Instant>,
        now: Instant,
    ) -> Result<CallKey, Rejection> {
        self.liveness.record_use(now);
        let deadline = deadline.map(|at| self.clocks.peer(at));
        self.calls.open(req, deadline, false)
    }

    /// Queues a one-way message.
    ///
    /// # Errors
    ///
    /// Fails when the link is full or draining, or when the message exceeds the limits.
    pub fn notify(&mut self, topic: Topic, body: Bytes, now: Instant) -> Result<(), Rejection> {
        self.liveness.record_use(now);
        let head = Bytes::new();
        self.calls
            .open(Request { topic, head, body }, None, true)
            .map(|_| ())
    }

    /// Cancels a call whose reply is no longer wanted. Returns whether the peer may run it, or
    /// `None` if the call had already ended.
    pub fn cancel(&mut self, call: CallKey) -> Option<bool> {
        self.calls.cancel(call, &mut self.control)
    }

    /// Queues the reply to a request; ignored if the request was cancelled.
    pub fn answer(&mut self, stream: StreamId, reply: Reply, now: Instant) {
        self.liveness.record_use(now);
        self.incoming.answer(stream, reply, &mut self.control);
    }

    /// Notifies the peer that a request gets no reply although it may have run.
    pub fn fail_request(&mut self, stream: StreamId) {
        self.incoming
            .refuse(stream, RefuseReason::Failed, &mut self.control);
    }
}

impl Mux {
    /// Processes a frame that was received from the peer.
    ///
    /// # Errors
    ///
    /// Fails when the peer violates the protocol; the connection must then be closed.
    pub fn receive(&mut self, frame: Kind, now: Instant) -> Result<(), Violation> {
        self.liveness.record_receipt(now);
        let (control, events) = (&mut self.control, &mut self.events);
        match (self.side, frame) {
            (_, Kind::Ping(ping)) => control.pong(ping.number),
            (_, Kind::Pong(pong)) => {
                if pong.number == control.last_ping() {
                    let reported = Duration::from_micros(pong.clock_us);
                    let asked_at = self.liveness.last_ping();
                    self.clocks.observe(now, asked_at, reported);
                }
            }
            (Side::Acceptor, Kind::Request(data)) => {
                self.liveness.record_use(now);
                self.incoming
                    .request(&data, &self.clocks, now, control, events)?;
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

    /// Queues a ping when one is due.
    ///
    /// # Errors
    ///
    /// Fails when the peer has been silent for too long; the connection must then be closed.
    pub fn tick(&mut self, now: Instant) -> Result<(), PeerTimeout> {
        // The account may have room that it had not when the reply began.
        self.calls.grant(&mut self.control);
        if self.liveness.tick(now, self.open_streams() > 0)? {
            self.control.ping();
        }
        Ok(())
    }

    /// When [`Mux::tick`] and [`Mux::is_finished`] have to be called next, unless an event occurs
    /// earlier.
    #[must_use]
    pub fn next_tick(&self, now: Instant) -> Instant {
        let ping = self.liveness.next_tick(now, self.open_streams() > 0);
        let idle = self.liveness.last_used() + self.limits.idle_timeout;
        if idle > now { ping.min(idle) } else { ping }
    }

    /// Appends frames to `out` until it holds at least `target_len` bytes or nothing may be sent.
    pub fn fill(&mut self, out: &mut BytesMut, target_len: usize, now: Instant) {
        let may_start = !self.liveness.needs_probe(now);
        while out.len() < target_len {
            let start = out.len();
            if let Some(kind) = self.control.next(self.clocks.own(now)) {
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

    /// Records that bytes from [`Mux::fill`] were handed to the socket.
    pub fn record_written(&mut self, bytes: usize) {
        self.written += bytes as u64;
    }
}
