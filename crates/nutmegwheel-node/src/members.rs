//! Handles gossip events and announces the local backend server to the fleet.

use std::{collections::VecDeque, sync::Arc, time::Instant};

use nutmegwheel_events::Event as JournalEvent;
use nutmegwheel_spread::{
    Announcement, AnnouncementState, Change, Event, Health, MemberStatus, Record,
};
use serde_json::{Value, json};

use crate::{cold_start, evacuation, shared::Shared};

/// Handles events, and the further events that result from them.
pub(crate) fn handle(shared: &Arc<Shared>, events: Vec<Event>) {
    let mut events = VecDeque::from(events);
    while let Some(event) = events.pop_front() {
        events.extend(handle_one(shared, event));
    }
}

fn handle_one(shared: &Shared, event: Event) -> Vec<Event> {
    match event {
        Event::Joined(record) => on_member(shared, Some(JournalEvent::MemberJoined), &record),
        Event::Suspected(record) => on_member(shared, Some(JournalEvent::MemberSuspected), &record),
        Event::Leaving(record) | Event::Left(record) => {
            on_member(shared, Some(JournalEvent::MemberLeft), &record);
        }
        Event::Died(record) => on_member(shared, Some(JournalEvent::MemberDied), &record),
        Event::Announced(record) => on_member(shared, None, &record),
        Event::ConfigurationFetched(change) => return apply_configuration(shared, &change),
        Event::Withdrawn(key) => {
            let key = nutmegwheel_types::hex::encode(&key[..4]);
            shared
                .journal
                .emit(JournalEvent::KeyWithdrawn, &[("key", &key)]);
        }
        Event::Refuted(incarnation) => shared.record_gossip_incarnation(incarnation),
        Event::NewerVersionObserved(_) => {}
    }
    Vec::new()
}

/// Writes a member's event to the journal and updates the routes to the member's backend server.
fn on_member(shared: &Shared, event: Option<JournalEvent>, record: &Record) {
    if let Some(event) = event {
        shared.journal.emit(event, &[("member", &record.name)]);
    }
    shared.routes.update(Instant::now(), record);
}

/// Applies a newer view that a peer sent.
fn apply_configuration(shared: &Shared, change: &Change) -> Vec<Event> {
    match shared.views.apply(change) {
        Ok(view) => {
            evacuation::apply(shared);
            let delta = (change.base != 0).then_some(change.bytes.as_slice());
            shared.gossip.set_configuration(&view, delta)
        }
        Err(e) => {
            shared
                .journal
                .emit(JournalEvent::ViewRefused, &[("error", &e)]);
            shared.gossip.reject_configuration();
            Vec::new()
        }
    }
}

/// Announces the current state of the local backend server to the fleet.
pub(crate) fn announce(shared: &Arc<Shared>) {
    let announced = shared.local_backend.announced();
    let announcement = announced.map(|announced| {
        let service = &announced.backend.service;
        let slots = shared.server_limit().slots(announced.backend.slots);
        let slots = cold_start::slots(shared, Instant::now(), service, slots);
        Announcement {
            service: announced.backend.service,
            slots: shared.failure_rate().announced_slots(slots),
            state: announced.backend.state.into(),
        }
    });
    handle(shared, shared.gossip.announce(announcement));
    // The gossip reports other members only, and the ingress node routes to its local backend
    // server too.
    if let Some(own) = shared.gossip.member(&shared.settings.name) {
        shared.routes.update(Instant::now(), &own);
    }
}

/// The members as shown to operators.
pub(crate) fn to_json(shared: &Shared) -> Vec<Value> {
    let members = shared.gossip.members();
    members.iter().map(member_to_json).collect()
}

fn member_to_json(record: &Record) -> Value {
    let health = match (record.health, record.status) {
        (Health::Dead, _) => "dead",
        (Health::Suspect, _) => "suspect",
        (Health::Alive, MemberStatus::Leaving) => "leaving",
        (Health::Alive, MemberStatus::Active) => "alive",
    };
    let mut document = json!({
        "name": record.name,
        "data_centre": record.data_centre,
        "health": health,
        "seed": record.seed,
        "incarnation": record.incarnation,
    });
    if let Some(announcement) = &record.announcement {
        let state = match announcement.state {
            AnnouncementState::Starting => "starting",
            AnnouncementState::Ready => "ready",
            AnnouncementState::Leaving => "leaving",
        };
        document["backend"] = json!({
            "service": announcement.service,
            "slots": announcement.slots,
            "state": state,
        });
    }
    document
}
