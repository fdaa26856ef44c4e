use std::{sync::Arc, time::Instant};

use bytes::Bytes;
use nutmegwheel_link::{Peer, Reply, Request, ServeFuture, Service, Topic};
use nutmegwheel_seeds::SeedService;
use nutmegwheel_wire::{FirstStart, topic};
use prost::Message as _;

use crate::{
    allotments::Allotments,
    departures::Departures,
    log::{Log as _, ReplicatedLog},
    members::Members,
    shares::Shares,
    state::{Command, CommandOutcome},
};

/// Handles the requests and one-way messages that other processes of the fleet send over links.
pub(crate) struct ControlService {
    pub(crate) members: Arc<Members>,
    pub(crate) log: Arc<ReplicatedLog>,
    pub(crate) seed_service: Option<Arc<SeedService>>,
    pub(crate) shares: Arc<Shares>,
    pub(crate) allotments: Arc<Allotments>,
    pub(crate) departures: Arc<Departures>,
}

impl Service for ControlService {
    fn serve(&self, _peer: Peer, req: Request, _deadline: Option<Instant>) -> ServeFuture {
        let (log, seed_service) = (self.log.clone(), self.seed_service.clone());
        let (shares, allotments) = (self.shares.clone(), self.allotments.clone());
        let departures = self.departures.clone();
        Box::pin(async move {
            match req.topic {
                topic::COMMIT | topic::READ_INDEX => log.serve(req.topic, req.body).await,
                topic::FIRST_START => reply(first_start(&log, req.head).await),
                topic::ALLOTMENT => reply(allotments.report(req.head)),
                topic::BORROW => reply(allotments.borrow(req.head)),
                topic::DEPARTURES => reply(departures.serve(req.head).await),
                topic::RENEWAL => reply(shares.renew(req.head).await),
                topic => reply(seed_service.map(|service| service.serve(topic, req.head))),
            }
        })
    }

    fn notify(&self, peer: Peer, topic: Topic, body: Bytes) {
        match topic {
            topic::GOSSIP => self.members.receive(&peer, &body),
            topic::AGREEMENT => self.log.receive(&body),
            _ => {}
        }
    }
}

/// Answers whether a seed starts for the first time, or returns `None` if the log gives no outcome.
async fn first_start(log: &ReplicatedLog, head: Bytes) -> Option<Bytes> {
    let req = FirstStart::decode(head).ok()?;
    let command = Command::FirstStart {
        seed: req.seed,
        incarnation: req.incarnation,
    };
    match log.commit(command).await {
        Ok(CommandOutcome::FirstStart { granted }) => Some(vec![u8::from(granted)].into()),
        _ => None,
    }
}

fn reply(body: Option<Bytes>) -> Reply {
    Reply {
        head: Bytes::new(),
        body: body.unwrap_or_default(),
    }
}
