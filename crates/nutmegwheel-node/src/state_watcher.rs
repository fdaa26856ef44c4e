//! Emits events for state changes that no call reports: fencing, the token server role and load
//! shedding.

use std::sync::{Mutex, PoisonError};

use nutmegwheel_events::Event;
use nutmegwheel_spread::Decision;
use nutmegwheel_types::Priority;

use crate::shared::Shared;

/// The state of the node at the last check.
#[derive(Default)]
pub(crate) struct StateWatcher {
    last: Mutex<LastState>,
}

#[derive(Default)]
struct LastState {
    was_serving: bool,
    shed_level: Option<Priority>,
}

impl StateWatcher {
    /// Compares the state with that at the last check and emits an event for each change. Call this
    /// about once per second.
    pub(crate) fn emit_changes(&self, shared: &Shared) {
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        last.check_fence(shared);
        LastState::check_token_server(shared);
        last.check_shed_level(shared);
    }
}

impl LastState {
    fn check_fence(&mut self, shared: &Shared) {
        let decision = shared.gossip.decide();
        let serves = decision == Decision::Serve;
        if serves == self.was_serving {
            return;
        }
        self.was_serving = serves;
        match decision {
            Decision::Serve => shared.journal.emit(Event::NodeUnfenced, &[]),
            Decision::Fenced(reason) => {
                let reason = format!("{reason:?}");
                shared.journal.emit(Event::NodeFenced, &[("why", &reason)]);
            }
        }
    }

    fn check_token_server(shared: &Shared) {
        if let Some(service) = &shared.seed_service {
            service.emit_role_change(&shared.journal);
        }
    }

    fn check_shed_level(&mut self, shared: &Shared) {
        let shed_level = shared.admission.report().shed_level;
        if shed_level == self.shed_level {
            return;
        }
        self.shed_level = shed_level;
        let level = shed_level.map_or("none".to_owned(), |level| {
            format!("rank {} and below", level.rank)
        });
        shared
            .journal
            .emit(Event::ShedLevelChanged, &[("level", &level)]);
    }
}
