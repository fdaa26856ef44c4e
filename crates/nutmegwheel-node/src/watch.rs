//! Events about states that change without a call: fenced or not, steward or not, shedding or not.

use std::sync::{Mutex, PoisonError};

use nutmegwheel_events::Event;
use nutmegwheel_spread::Decision;
use nutmegwheel_types::Priority;

use crate::shared::Shared;

/// What the node was when it was looked at last.
#[derive(Default)]
pub(crate) struct Watch {
    seen: Mutex<Seen>,
}

#[derive(Default)]
struct Seen {
    served: bool,
    was_steward: bool,
    shed: Option<Priority>,
}

impl Watch {
    /// Looks at the node and emits what changed; to be called about once a second.
    pub(crate) fn look(&self, shared: &Shared) {
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        seen.look_at_fence(shared);
        seen.look_at_steward(shared);
        seen.look_at_shedding(shared);
    }
}

impl Seen {
    fn look_at_fence(&mut self, shared: &Shared) {
        let decision = shared.gossip.decide();
        let serves = decision == Decision::Serve;
        if serves == self.served {
            return;
        }
        self.served = serves;
        match decision {
            Decision::Serve => shared.journal.emit(Event::NodeUnfenced, &[]),
            Decision::Fenced(why) => {
                let why = format!("{why:?}");
                shared.journal.emit(Event::NodeFenced, &[("why", &why)]);
            }
        }
    }

    fn look_at_steward(&mut self, shared: &Shared) {
        let is_steward = shared
            .seed_service
            .as_ref()
            .is_some_and(|service| service.is_token_server());
        if is_steward == self.was_steward {
            return;
        }
        self.was_steward = is_steward;
        let event = if is_steward {
            Event::StewardElected
        } else {
            Event::StewardStoodDown
        };
        shared.journal.emit(event, &[]);
    }

    fn look_at_shedding(&mut self, shared: &Shared) {
        let shed = shared.gate.report().shed_level;
        if shed == self.shed {
            return;
        }
        self.shed = shed;
        let level = shed.map_or("none".to_owned(), |level| {
            format!("rank {} and below", level.rank)
        });
        shared
            .journal
            .emit(Event::ShedLevelChanged, &[("level", &level)]);
    }
}
