use std::{sync::Arc, time::Instant};

use bytes::Bytes;
use nutmegwheel_wire::topic;
use rand::seq::IndexedRandom as _;

use crate::{directory::Member, shared::Shared};

/// How many members hear of each round.
const FAN_OUT: usize = 3;

/// Tells a few members and all seeds what this node knows.
pub(crate) fn round(shared: &Arc<Shared>) {
    let now = Instant::now();
    shared.learn(&shared.own_member(), now);
    for silent in shared.directory.forget_silent(now) {
        shared.routes.forget(now, &silent);
    }
    let members = shared.directory.members();
    let Ok(body) = serde_json::to_vec(&members) else {
        return;
    };
    let body = Bytes::from(body);
    let nodes = shared.settings.seeds.iter().filter(|seed| !seed.control);
    for seed in nodes {
        send(shared, seed.link, &body);
    }
    for member in members.choose_multiple(&mut rand::rng(), FAN_OUT) {
        send(shared, member.link, &body);
    }
}

/// Takes in what another node knows.
pub(crate) fn hear(shared: &Shared, body: &[u8]) {
    let Ok(members) = serde_json::from_slice::<Vec<Member>>(body) else {
        return;
    };
    let now = Instant::now();
    for member in members {
        if member.name != shared.settings.name {
            shared.learn(&member, now);
        }
    }
}

fn send(shared: &Shared, to: std::net::SocketAddr, body: &Bytes) {
    if to != shared.settings.listen.link
        && let Some(endpoint) = shared.endpoint()
    {
        endpoint.send(to, topic::GOSSIP, body.clone());
    }
}
