use std::collections::VecDeque;

use super::StreamId;
use crate::wire::{Cancel, Credit, GoAway, Kind, Ping, Pong, Refuse, RefuseReason};

/// The number of waiting control frames above which nothing more is read from the far side.
const MAX_WAITING: usize = 4096;

/// Frames that carry no message and go out before those that do.
#[derive(Debug, Default)]
pub(crate) struct Control {
    ping: bool,
    pings: u64,
    /// Only the newest pong matters, so that a flood of pings costs no memory.
    pong: Option<u64>,
    waiting: VecDeque<Kind>,
}

impl Control {
    pub(crate) fn ping(&mut self) {
        self.ping = true;
    }

    pub(crate) fn pong(&mut self, number: u64) {
        self.pong = Some(number);
    }

    pub(crate) fn credit(&mut self, stream: StreamId, bytes: usize) {
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        self.waiting
            .push_back(Kind::Credit(Credit { stream, bytes }));
    }

    pub(crate) fn cancel(&mut self, stream: StreamId) {
        self.waiting.push_back(Kind::Cancel(Cancel { stream }));
    }

    pub(crate) fn refuse(&mut self, stream: StreamId, reason: RefuseReason) {
        let reason = reason.into();
        self.waiting
            .push_back(Kind::Refuse(Refuse { stream, reason }));
    }

    pub(crate) fn go_away(&mut self, last_stream: StreamId) {
        self.waiting.push_back(Kind::GoAway(GoAway { last_stream }));
    }

    /// Whether so many frames wait that a far side which reads nothing must not cause more.
    pub(crate) fn is_full(&self) -> bool {
        self.waiting.len() >= MAX_WAITING
    }

    pub(crate) fn is_empty(&self) -> bool {
        !self.ping && self.pong.is_none() && self.waiting.is_empty()
    }

    pub(crate) fn next(&mut self) -> Option<Kind> {
        if let Some(number) = self.pong.take() {
            return Some(Kind::Pong(Pong { number }));
        }
        if std::mem::take(&mut self.ping) {
            self.pings += 1;
            let number = self.pings;
            return Some(Kind::Ping(Ping { number }));
        }
        self.waiting.pop_front()
    }
}
