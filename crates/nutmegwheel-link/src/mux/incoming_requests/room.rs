//! Whether a link and the account of the process have room for a request.

use nutmegwheel_memory::{Account, Hold, Share};

use super::IncomingRequests;
use crate::{
    Topic,
    mux::inbound::{INITIAL_WINDOW_BYTES, message_length},
    wire::{RefuseReason, Start},
};

/// The account has no room for a request.
pub(super) struct NoRoom;

impl IncomingRequests {
    /// Takes room in the account for a request that counts there, or fails if there is none.
    pub(super) fn hold(&self, start: &Start) -> Result<Option<Hold>, NoRoom> {
        let Some(account) = self.account(topic(start)) else {
            return Ok(None);
        };
        let size = message_length(start);
        let share = if size <= INITIAL_WINDOW_BYTES {
            Share::Small
        } else {
            Share::Requests
        };
        account.try_hold(size, share).map(Some).ok_or(NoRoom)
    }

    fn account(&self, topic: Topic) -> Option<&Account> {
        self.metering.as_ref()?.account(topic)
    }

    pub(super) fn is_metered(&self, topic: Topic) -> bool {
        self.account(topic).is_some()
    }

    pub(super) fn refuse_reason(&self, start: &Start) -> Option<RefuseReason> {
        let too_large = start.head_length as usize > self.limits.max_head
            || start.body_length as usize > self.limits.max_body
            || start.topic > u32::from(u16::MAX);
        if too_large {
            return Some(RefuseReason::TooLarge);
        }
        let busy = self.table.len() >= self.limits.max_streams
            || !self
                .limits
                .has_room(self.reserved_bytes, message_length(start))
            || self.queued_bytes > self.limits.max_buffered / 2 && !self.is_metered(topic(start));
        busy.then_some(RefuseReason::Busy)
    }
}

pub(super) fn topic(start: &Start) -> Topic {
    Topic(u16::try_from(start.topic).unwrap_or(u16::MAX))
}
