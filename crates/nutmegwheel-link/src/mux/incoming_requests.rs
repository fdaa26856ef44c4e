mod room;

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use bytes::Bytes;

use super::{
    Event, StreamId, Violation,
    clock::Clocks,
    control::ControlQueue,
    inbound::{Inbound, Progress, message_length},
    outbound::Outbound,
};
use crate::{
    Limits, Metering, Reply, Request, Topic,
    wire::{Data, RefuseReason, Start},
};

/// The open requests that this side of a link has accepted from its peer.
#[derive(Debug)]
pub(crate) struct IncomingRequests {
    limits: Limits,
    table: HashMap<StreamId, IncomingRequest>,
    /// Streams whose replies have a chunk to send and the credit for it.
    ready: VecDeque<StreamId>,
    last_seen: StreamId,
    /// The last stream that this side accepted, once it is going away.
    last_accepted: Option<StreamId>,
    /// The announced length of all open requests, from their first frame to the end of their
    /// stream, in bytes.
    reserved_bytes: usize,
    /// Bytes of replies that have not been sent yet.
    queued_bytes: usize,
    metering: Option<Metering>,
}

#[derive(Debug)]
struct IncomingRequest {
    topic: Topic,
    one_way: bool,
    size: usize,
    /// When the caller stops waiting, on this side's clock.
    deadline: Option<Duration>,
    state: State,
}

#[derive(Debug)]
enum State {
    Receiving(Inbound),
    Running,
    Replying(Outbound),
}

impl IncomingRequests {
    pub(crate) fn new(limits: &Limits) -> Self {
        Self {
            limits: limits.clone(),
            table: HashMap::new(),
            ready: VecDeque::new(),
            last_seen: 0,
            last_accepted: None,
            reserved_bytes: 0,
            queued_bytes: 0,
            metering: None,
        }
    }

    pub(crate) fn set_metering(&mut self, metering: Option<Metering>) {
        self.metering = metering;
    }

    pub(crate) fn len(&self) -> usize {
        self.table.len()
    }

    pub(crate) fn buffered_bytes(&self) -> usize {
        self.reserved_bytes + self.queued_bytes
    }

    pub(crate) fn is_going_away(&self) -> bool {
        self.last_accepted.is_some()
    }
}

impl IncomingRequests {
    pub(crate) fn request(
        &mut self,
        data: &Data,
        clocks: &Clocks,
        now: Instant,
        control: &mut ControlQueue,
        events: &mut VecDeque<Event>,
    ) -> Result<(), Violation> {
        if let Some(start) = &data.start {
            self.begin(data.stream, start, control)?;
        } else if data.stream > self.last_seen {
            return Err(Violation::UnknownStream(data.stream));
        }
        let Some(request) = self.table.get_mut(&data.stream) else {
            return Ok(());
        };
        let State::Receiving(inbound) = &mut request.state else {
            return Err(Violation::Overrun(data.stream));
        };
        match inbound.push(data) {
            Progress::Partial => {}
            Progress::Complete(head, body) => {
                let deadline = request.deadline.map(|at| clocks.instant(at));
                if deadline.flatten().is_some_and(|at| at <= now) {
                    self.refuse(data.stream, RefuseReason::Expired, control);
                } else {
                    self.complete(data.stream, head, body, deadline.flatten(), events);
                }
            }
            Progress::Damaged => self.refuse(data.stream, RefuseReason::Incomplete, control),
            Progress::Overrun => return Err(Violation::Overrun(data.stream)),
        }
        Ok(())
    }

    fn begin(
        &mut self,
        stream: StreamId,
        start: &Start,
        control: &mut ControlQueue,
    ) -> Result<(), Violation> {
        if stream <= self.last_seen {
            return Err(Violation::ReusedStream(stream));
        }
        self.last_seen = stream;
        if self.last_accepted.is_some() {
            return Ok(());
        }
        if let Some(reason) = self.refuse_reason(start) {
            control.refuse(stream, reason);
            return Ok(());
        }
        let Ok(hold) = self.hold(start) else {
            control.refuse(stream, RefuseReason::Busy);
            return Ok(());
        };
        let mut inbound = Inbound::begin(start);
        inbound.set_hold(hold);
        let beyond_window = Inbound::beyond_window(start);
        if beyond_window > 0 {
            inbound.grant(beyond_window);
            control.credit(stream, beyond_window);
        }
        let size = message_length(start);
        self.reserved_bytes += size;
        let request = IncomingRequest {
            topic: room::topic(start),
            one_way: start.one_way,
            size,
            deadline: (start.deadline_us > 0).then(|| Duration::from_micros(start.deadline_us)),
            state: State::Receiving(inbound),
        };
        self.table.insert(stream, request);
        Ok(())
    }

    fn complete(
        &mut self,
        stream: StreamId,
        head: Bytes,
        body: Bytes,
        deadline: Option<Instant>,
        events: &mut VecDeque<Event>,
    ) {
        let Some(request) = self.table.get_mut(&stream) else {
            return;
        };
        let topic = request.topic;
        if request.one_way {
            self.remove(stream);
            events.push_back(Event::Notification { topic, body });
            return;
        }
        request.state = State::Running;
        let req = Request { topic, head, body };
        events.push_back(Event::Requested {
            stream,
            req,
            deadline,
        });
    }

    pub(crate) fn cancel(
        &mut self,
        stream: StreamId,
        events: &mut VecDeque<Event>,
    ) -> Result<(), Violation> {
        if stream == 0 || stream > self.last_seen {
            return Err(Violation::UnknownStream(stream));
        }
        if let Some(request) = self.remove(stream)
            && matches!(request.state, State::Running)
        {
            events.push_back(Event::Cancelled { stream });
        }
        Ok(())
    }

    pub(crate) fn credit(&mut self, stream: StreamId, bytes: usize) -> Result<(), Violation> {
        if stream == 0 || stream > self.last_seen {
            return Err(Violation::UnknownStream(stream));
        }
        if let Some(request) = self.table.get_mut(&stream)
            && let State::Replying(outbound) = &mut request.state
            && outbound.credit(bytes)
        {
            self.ready.push_back(stream);
        }
        Ok(())
    }
}

impl IncomingRequests {
    /// Queues the reply to a request, or drops it if the request was cancelled.
    pub(crate) fn answer(&mut self, stream: StreamId, reply: Reply, control: &mut ControlQueue) {
        let size = reply.head.len() + reply.body.len();
        let too_large =
            reply.head.len() > self.limits.max_head || reply.body.len() > self.limits.max_body;
        let Some(topic) = self.table.get(&stream).map(|request| request.topic) else {
            return;
        };
        // The account bounds what waits on metered topics; the request has run.
        let is_full = !self.limits.has_room(self.queued_bytes, size) && !self.is_metered(topic);
        if too_large || is_full {
            self.refuse(stream, RefuseReason::Failed, control);
            return;
        }
        let Some(request) = self.table.get_mut(&stream) else {
            return;
        };
        if !matches!(request.state, State::Running) {
            return;
        }
        request.state = State::Replying(Outbound::new(0, false, None, reply.head, reply.body));
        self.queued_bytes += size;
        self.ready.push_back(stream);
    }

    /// Ends a stream without a reply, and notifies the peer unless the message was one-way.
    pub(crate) fn refuse(
        &mut self,
        stream: StreamId,
        reason: RefuseReason,
        control: &mut ControlQueue,
    ) {
        if let Some(request) = self.remove(stream)
            && !request.one_way
        {
            control.refuse(stream, reason);
        }
    }

    pub(crate) fn next(&mut self) -> Option<Data> {
        while let Some(stream) = self.ready.pop_front() {
            if let Some(data) = self.take_chunk(stream) {
                return Some(data);
            }
        }
        None
    }

    fn take_chunk(&mut self, stream: StreamId) -> Option<Data> {
        let State::Replying(outbound) = &mut self.table.get_mut(&stream)?.state else {
            return None;
        };
        let data = outbound.next(stream);
        self.queued_bytes -= data.head.len() + data.body.len();
        if outbound.is_ready() {
            self.ready.push_back(stream);
        } else if outbound.is_ended() {
            self.remove(stream);
        }
        Some(data)
    }

    /// Stops accepting requests, and sends the peer the id of the last accepted one.
    pub(crate) fn go_away(&mut self, control: &mut ControlQueue) {
        if self.last_accepted.is_none() {
            self.last_accepted = Some(self.last_seen);
            control.go_away(self.last_seen);
        }
    }

    fn remove(&mut self, stream: StreamId) -> Option<IncomingRequest> {
        let request = self.table.remove(&stream)?;
        self.reserved_bytes -= request.size;
        if let State::Replying(outbound) = &request.state {
            self.queued_bytes -= outbound.remaining();
        }
        Some(request)
    }
}
