//! What this node learns from the gossip, and what it says of itself.

use std::{collections::VecDeque, sync::Arc, time::Instant};

use nutmegwheel_events::Event as Logged;
use nutmegwheel_spread::{
    Announcement, AnnouncementState, Change, Event, Health, MemberStatus, Record,
};
use serde_json::{Value, json};

use crate::shared::Shared;

/// Acts upon what was learnt, and upon what follows from that.
pub(crate) fn handle(shared: &Arc<Shared>, events: Vec<Event>) {
    let mut events = VecDeque::from(events);
    while let Some(event) = events.pop_front() {
        events.extend(handle_one(shared, event));
    }
}

fn handle_one(shared: &Shared, event: Event) -> Vec<Event> {
    match event {
        Event::Joined(record) => follow(shared, Some(Logged::MemberJoined), &record),
        Event::Suspected(record) => follow(shared, Some(Logged::MemberSuspected), &record),
        Event::Leaving(record) | Event::Left(record) => {
            follow(shared, Some(Logged::MemberLeft), &record);
        }
        Event::Died(record) => follow(shared, Some(Logged::MemberDied), &record),
        Event::Announced(record) => follow(shared, None, &record),
        Event::ConfigurationFetched(change) => return take(shared, &change),
        Event::Withdrawn(key) => {
            let key = nutmegwheel_types::hex::encode(&key[..4]);
            shared.journal.emit(Logged::KeyWithdrawn, &[("key", &key)]);
        }
        Event::Refuted(incarnation) => shared.refuted(incarnation),
        Event::NewerVersionObserved(_) => {}
    }
    Vec::new()
}

/// Lets the routes follow what is known of a node.
fn follow(shared: &Shared, event: Option<Logged>, record: &Record) {
    if let Some(event) = event {
        shared.journal.emit(event, &[("member", &record.name)]);
    }
    shared.routes.learn(Instant::now(), record);
}

/// Takes over a newer view that a peer sent.
fn take(shared: &Shared, change: &Change) -> Vec<Event> {
    match shared.views.take(change) {
        Ok(view) => {
            let delta = (change.base != 0).then_some(change.bytes.as_slice());
            shared.gossip.set_configuration(&view, delta)
        }
        Err(e) => {
            shared.journal.emit(Logged::ViewRefused, &[("error", &e)]);
            shared.gossip.reject_configuration();
            Vec::new()
        }
    }
}

/// Announces the node's backend server as it is now.
pub(crate) fn announce(shared: &Arc<Shared>) {
    let announced = shared.local.announced();
    let announcement = announced.map(|announced| Announcement {
        service: announced.backend.service,
        slots: shared.soundness().announced_slots(announced.backend.slots),
        state: announced.backend.state.into(),
    });
    handle(shared, shared.gossip.announce(announcement));
    // The gossip tells of others only, and the door beside a backend server uses it too.
    if let Some(own) = shared.gossip.member(&shared.settings.name) {
        shared.routes.learn(Instant::now(), &own);
    }
}

/// What operators see of the members.
pub(crate) fn shown(shared: &Shared) -> Vec<Value> {
    let members = shared.gossip.members();
    members.iter().map(shown_one).collect()
}

fn shown_one(record: &Record) -> Value {
    let health = match (record.health, record.status) {
        (Health::Dead, _) => "dead",
        (Health::Suspect, _) => "suspect",
        (Health::Alive, MemberStatus::Leaving) => "leaving",
        (Health::Alive, MemberStatus::Active) => "alive",
    };
    let mut shown = json!({
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
        shown["backend"] = json!({
            "service": announcement.service,
            "slots": announcement.slots,
            "state": state,
        });
    }
    shown
}
