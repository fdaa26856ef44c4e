use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use nutmegwheel_memory::Share;
use slotmap::SlotMap;

use super::{
    CallKey, Event, Failure, Rejection, StreamId, Violation,
    control::ControlQueue,
    inbound::{INITIAL_WINDOW_BYTES, Inbound, Progress},
    outbound::Outbound,
};
use crate::{
    Limits, Metering, Refusal, Reply, Request, Step, Topic,
    wire::{Data, RefuseReason, Start},
};

/// The open calls that this side of a link has made.
#[derive(Debug)]
pub(crate) struct Calls {
    limits: Limits,
    table: SlotMap<CallKey, Call>,
    by_id: HashMap<StreamId, CallKey>,
    /// Calls whose first frame has not been sent, oldest first. Cancelled ones are skipped later.
    pending: VecDeque<CallKey>,
    /// Calls whose request is partly sent and that have credit to send more.
    ready: VecDeque<CallKey>,
    /// Alternates which of `ready` and `pending` is tried first, so that neither starves.
    ready_turn: bool,
    last_id: StreamId,
    pending_count: usize,
    going_away: bool,
    /// Bytes of requests that have not been sent yet.
    queued_bytes: usize,
    /// Credit that was granted for replies that are not complete yet, in bytes.
    granted_bytes: usize,
    /// Calls whose replies need credit beyond the initial window, oldest first.
    awaiting_grant: VecDeque<CallKey>,
    metering: Option<Metering>,
}

#[derive(Debug)]
struct Call {
    id: Option<StreamId>,
    one_way: bool,
    topic: Topic,
    outbound: Outbound,
    /// The offset in the byte stream at which the encoded request ends.
    end_position: Option<u64>,
    inbound: Option<Inbound>,
    granted_bytes: usize,
    beyond_window: usize,
}

impl Calls {
    pub(crate) fn new(limits: &Limits) -> Self {
        Self {
            limits: limits.clone(),
            table: SlotMap::with_key(),
            by_id: HashMap::new(),
            pending: VecDeque::new(),
            ready: VecDeque::new(),
            ready_turn: false,
            last_id: 0,
            pending_count: 0,
            going_away: false,
            queued_bytes: 0,
            granted_bytes: 0,
            awaiting_grant: VecDeque::new(),
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
        self.queued_bytes + self.granted_bytes
    }

    /// Whether no more calls are accepted, because the peer is going away or the ids are used up.
    pub(crate) fn is_draining(&self) -> bool {
        let assigned = self.last_id as usize + self.pending_count;
        self.going_away || assigned >= self.limits.max_stream_id as usize
    }
}

impl Calls {
    /// Queues a request; `deadline` is a time on the peer's clock.
    pub(crate) fn open(
        &mut self,
        req: Request,
        deadline: Option<Duration>,
        one_way: bool,
    ) -> Result<CallKey, Rejection> {
        let size = req.head.len() + req.body.len();
        if req.head.len() > self.limits.max_head || req.body.len() > self.limits.max_body {
            return Err(Rejection::TooLarge);
        }
        if self.is_draining() {
            return Err(Rejection::Draining);
        }
        let full = self.table.len() >= self.limits.max_streams;
        if full || !self.limits.has_room(self.queued_bytes, size) {
            return Err(Rejection::Busy);
        }
        let key = self.table.insert(Call {
            id: None,
            one_way,
            topic: req.topic,
            outbound: Outbound::new(req.topic.0, one_way, deadline, req.head, req.body),
            end_position: None,
            inbound: None,
            granted_bytes: 0,
            beyond_window: 0,
        });
        self.queued_bytes += size;
        self.pending_count += 1;
        self.pending.push_back(key);
        Ok(key)
    }

    /// Cancels a call. Returns whether its last chunk was already taken for sending, so that the
    /// peer may run it, or `None` if the call had already ended.
    pub(crate) fn cancel(&mut self, key: CallKey, control: &mut ControlQueue) -> Option<bool> {
        let call = self.remove(key)?;
        if let Some(id) = call.id {
            control.cancel(id);
        }
        self.grant(control);
        Some(call.outbound.is_ended())
    }

    /// Returns the next chunk of a request to send. Calls that have not started are only
    /// considered if `may_start` is set.
    pub(crate) fn next(&mut self, may_start: bool) -> Option<(CallKey, Data)> {
        self.ready_turn = !self.ready_turn;
        if self.ready_turn {
            self.next_ready().or_else(|| self.next_pending(may_start))
        } else {
            self.next_pending(may_start).or_else(|| self.next_ready())
        }
    }

    fn next_ready(&mut self) -> Option<(CallKey, Data)> {
        while let Some(key) = self.ready.pop_front() {
            let id = self.table.get(key).and_then(|call| call.id);
            if let Some(id) = id {
                return self.take_chunk(key, id);
            }
        }
        None
    }

    fn next_pending(&mut self, may_start: bool) -> Option<(CallKey, Data)> {
        while may_start && let Some(key) = self.pending.pop_front() {
            if self.table.contains_key(key) {
                let id = self.assign_id(key);
                return self.take_chunk(key, id);
            }
        }
        None
    }

    /// Assigns ids in the order of the first frames, so that the peer can detect reused ones.
    fn assign_id(&mut self, key: CallKey) -> StreamId {
        self.last_id += 1;
        self.pending_count -= 1;
        self.by_id.insert(self.last_id, key);
        self.table[key].id = Some(self.last_id);
        self.last_id
    }

    fn take_chunk(&mut self, key: CallKey, id: StreamId) -> Option<(CallKey, Data)> {
        let call = self.table.get_mut(key)?;
        let data = call.outbound.next(id);
        self.queued_bytes -= data.head.len() + data.body.len();
        if call.outbound.is_ready() {
            self.ready.push_back(key);
        }
        Some((key, data))
    }

    /// Records the offset in the byte stream at which the last chunk of the call ends.
    pub(crate) fn record_encoded(&mut self, key: CallKey, position: u64) {
        let Some(call) = self.table.get_mut(key) else {
            return;
        };
        if !call.outbound.is_ended() {
            return;
        }
        call.end_position = Some(position);
        if call.one_way {
            self.remove(key);
        }
    }

    pub(crate) fn credit(&mut self, id: StreamId, bytes: usize) -> Result<(), Violation> {
        let Some(key) = self.find(id)? else {
            return Ok(());
        };
        if self.table[key].outbound.credit(bytes) {
            self.ready.push_back(key);
        }
        Ok(())
    }
}

impl Calls {
    /// Stops accepting calls; those that are open continue.
    pub(crate) fn start_draining(&mut self) {
        self.going_away = true;
    }
}

impl Calls {
    pub(crate) fn reply(
        &mut self,
        data: &Data,
        control: &mut ControlQueue,
        events: &mut VecDeque<Event>,
    ) -> Result<(), Violation> {
        let Some(call) = self.find(data.stream)? else {
            return Ok(());
        };
        if !self.table[call].outbound.is_ended() {
            return Err(Violation::EarlyReply(data.stream));
        }
        if let Some(start) = &data.start
            && !self.begin_reply(call, start)
        {
            self.fail(call, Failure::Lost(Step::Receive), events);
            control.cancel(data.stream);
            return Ok(());
        }
        self.push_reply(call, data, control, events)?;
        self.grant(control);
        Ok(())
    }

    fn begin_reply(&mut self, key: CallKey, start: &Start) -> bool {
        let call = &mut self.table[key];
        let fits = start.head_length as usize <= self.limits.max_head
            && start.body_length as usize <= self.limits.max_body;
        if !fits || call.inbound.is_some() {
            return false;
        }
        call.inbound = Some(Inbound::begin(start));
        call.beyond_window = Inbound::beyond_window(start);
        if call.beyond_window > 0 {
            self.awaiting_grant.push_back(key);
        }
        true
    }

    fn push_reply(
        &mut self,
        call: CallKey,
        data: &Data,
        control: &mut ControlQueue,
        events: &mut VecDeque<Event>,
    ) -> Result<(), Violation> {
        let progress = match &mut self.table[call].inbound {
            Some(inbound) => inbound.push(data),
            None => Progress::Damaged,
        };
        match progress {
            Progress::Partial => {}
            Progress::Complete(head, body) => {
                self.remove(call);
                let reply = Reply { head, body };
                events.push_back(Event::Replied { call, reply });
            }
            Progress::Damaged => {
                self.fail(call, Failure::Lost(Step::Receive), events);
                control.cancel(data.stream);
            }
            Progress::Overrun => return Err(Violation::Overrun(data.stream)),
        }
        Ok(())
    }

    pub(crate) fn refuse(
        &mut self,
        id: StreamId,
        reason: RefuseReason,
        events: &mut VecDeque<Event>,
    ) -> Result<(), Violation> {
        if let Some(key) = self.find(id)? {
            let failure = match reason {
                RefuseReason::Failed => Failure::Lost(Step::Wait),
                RefuseReason::Busy => Failure::Refused(Refusal::Busy),
                RefuseReason::Incomplete => Failure::Refused(Refusal::Incomplete),
                RefuseReason::TooLarge => Failure::Refused(Refusal::TooLarge),
                RefuseReason::Expired => Failure::Refused(Refusal::Expired),
            };
            self.fail(key, failure, events);
        }
        Ok(())
    }

    /// Fails every call above `last`, the last stream that the peer accepts.
    pub(crate) fn go_away(&mut self, last: StreamId, events: &mut VecDeque<Event>) {
        self.going_away = true;
        let is_refused = |call: &Call| call.id.is_none_or(|id| id > last);
        let refused: Vec<_> = self.matching(is_refused);
        for key in refused {
            self.fail(key, Failure::Refused(Refusal::GoingAway), events);
        }
    }

    /// Fails every call. `written` is the number of bytes that were handed to the socket; requests
    /// that end beyond it cannot have started.
    pub(crate) fn close(&mut self, written: u64, events: &mut VecDeque<Event>) {
        self.going_away = true;
        for key in self.matching(|_| true) {
            let failure = self.table[key].failure_at_close(written);
            self.fail(key, failure, events);
        }
    }

    fn matching(&self, predicate: impl Fn(&Call) -> bool) -> Vec<CallKey> {
        let found = self.table.iter().filter(|(_, call)| predicate(call));
        found.map(|(key, _)| key).collect()
    }

    fn fail(&mut self, call: CallKey, failure: Failure, events: &mut VecDeque<Event>) {
        let Some(removed) = self.remove(call) else {
            return;
        };
        if !removed.one_way {
            events.push_back(Event::Failed { call, failure });
        }
    }

    /// Grants credit to waiting replies, oldest first, within the limit on buffered bytes and the
    /// room of the account.
    pub(crate) fn grant(&mut self, control: &mut ControlQueue) {
        while let Some(&key) = self.awaiting_grant.front() {
            let Some(call) = self.table.get_mut(key) else {
                self.awaiting_grant.pop_front();
                continue;
            };
            let fits = self.limits.has_room(self.granted_bytes, call.beyond_window);
            if !fits && self.granted_bytes > 0 {
                return;
            }
            let (Some(id), Some(inbound)) = (call.id, &mut call.inbound) else {
                self.awaiting_grant.pop_front();
                continue;
            };
            let metering = self.metering.as_ref();
            if let Some(account) = metering.and_then(|metering| metering.account(call.topic)) {
                let length = call.beyond_window + INITIAL_WINDOW_BYTES;
                let Some(hold) = account.try_hold(length, Share::Answers) else {
                    return;
                };
                inbound.set_hold(Some(hold));
            }
            self.awaiting_grant.pop_front();
            inbound.grant(call.beyond_window);
            call.granted_bytes = call.beyond_window;
            self.granted_bytes += call.granted_bytes;
            control.credit(id, call.granted_bytes);
        }
    }

    /// Finds the call of a stream. Returns `None` if the call has ended, since the peer may still
    /// send frames for it legitimately.
    fn find(&self, id: StreamId) -> Result<Option<CallKey>, Violation> {
        if id == 0 || id > self.last_id {
            return Err(Violation::UnknownStream(id));
        }
        Ok(self.by_id.get(&id).copied())
    }

    fn remove(&mut self, key: CallKey) -> Option<Call> {
        let call = self.table.remove(key)?;
        self.queued_bytes -= call.outbound.remaining();
        self.granted_bytes -= call.granted_bytes;
        match call.id {
            Some(id) => {
                self.by_id.remove(&id);
            }
            None => self.pending_count -= 1,
        }
        Some(call)
    }
}

impl Call {
    fn failure_at_close(&self, written: u64) -> Failure {
        match self.end_position {
            Some(position) if position <= written => Failure::Lost(self.waiting_step()),
            Some(_) => Failure::NotSent(Step::Send),
            None if self.id.is_some() => Failure::NotSent(Step::Send),
            None => Failure::NotSent(Step::Queue),
        }
    }

    fn waiting_step(&self) -> Step {
        if self.inbound.is_some() {
            Step::Receive
        } else {
            Step::Wait
        }
    }
}
