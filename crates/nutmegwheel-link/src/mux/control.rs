use std::{collections::VecDeque, time::Duration};

use super::StreamId;
use crate::wire::{Cancel, Credit, GoAway, Kind, Ping, Pong, Refuse, RefuseReason};

/// The number of queued control frames at which reading from the peer stops.
const MAX_QUEUED_FRAMES: usize = 4096;

/// Queues the frames that carry no message, which are sent before those that do.
#[derive(Debug, Default)]
pub(crate) struct ControlQueue {
    ping: bool,
    last_ping: u64,
    /// Only the newest pong is kept, so that a flood of pings does not grow the queue.
    pong: Option<u64>,
    queue: VecDeque<Kind>,
}

impl ControlQueue {
    pub(crate) fn ping(&mut self) {
        self.ping = true;
    }

    pub(crate) fn pong(&mut self, number: u64) {
        self.pong = Some(number);
    }

    pub(crate) fn credit(&mut self, stream: StreamId, bytes: usize) {
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        self.queue.push_back(Kind::Credit(Credit { stream, bytes }));
    }

    pub(crate) fn cancel(&mut self, stream: StreamId) {
        self.queue.push_back(Kind::Cancel(Cancel { stream }));
    }

    pub(crate) fn refuse(&mut self, stream: StreamId, reason: RefuseReason) {
        let reason = reason.into();
        self.queue
            .push_back(Kind::Refuse(Refuse { stream, reason }));
    }

    pub(crate) fn go_away(&mut self, last_stream: StreamId) {
        self.queue.push_back(Kind::GoAway(GoAway { last_stream }));
    }

    /// Whether reading must pause, so that a peer that does not read cannot grow the queue.
    pub(crate) fn is_full(&self) -> bool {
        self.queue.len() >= MAX_QUEUED_FRAMES
    }

    pub(crate) fn is_empty(&self) -> bool {
        !self.ping && self.pong.is_none() && self.queue.is_empty()
    }

    /// The number of the newest ping.
    pub(crate) fn last_ping(&self) -> u64 {
        self.last_ping
    }

    /// Returns the next frame to send; `clock` is the time on this side's clock.
    pub(crate) fn next(&mut self, clock: Duration) -> Option<Kind> {
        if let Some(number) = self.pong.take() {
            let clock_us = u64::try_from(clock.as_micros()).unwrap_or(u64::MAX);
            return Some(Kind::Pong(Pong { number, clock_us }));
        }
        if std::mem::take(&mut self.ping) {
            self.last_ping += 1;
            let number = self.last_ping;
            return Some(Kind::Ping(Ping { number }));
        }
        self.queue.pop_front()
    }
}
