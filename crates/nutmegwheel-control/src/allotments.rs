//! The coordinator of limits, which runs on the leading control VM if data centres have no token
//! servers.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use bytes::Bytes;
use nutmegwheel_limits::{
    Limit,
    allotment::{BorrowOutcome, Coordinator, Item, Report},
};
use nutmegwheel_spread::GossipService;
use nutmegwheel_types::WorkspaceId;
use nutmegwheel_wire as wire;
use prost::Message as _;

use crate::log::ReplicatedLog;

/// Divides the limits of workspaces among ingress nodes while this control VM leads.
pub(crate) struct Allotments {
    log: Arc<ReplicatedLog>,
    gossip: Arc<GossipService>,
    /// The coordinator, and the term in which it was opened.
    coordinator: Mutex<Option<(u64, Coordinator)>>,
}

impl Allotments {
    pub(crate) fn open(log: Arc<ReplicatedLog>, gossip: Arc<GossipService>) -> Self {
        Self {
            log,
            gossip,
            coordinator: Mutex::default(),
        }
    }
}

impl Allotments {
    /// Answers an ingress node's report with its fractions of the limits, or with the address of
    /// the leader if another control VM leads.
    pub(crate) fn report(&self, head: Bytes) -> Option<Bytes> {
        let report = report_from_wire(wire::AllotmentReport::decode(head).ok()?);
        let ingress_nodes = self.gossip.ingress_nodes();
        let answer = self.with_coordinator(|coordinator| {
            coordinator.on_report(Instant::now(), &report, ingress_nodes, |workspace| {
                self.limit(workspace)
            })
        });
        let answer = match answer {
            Some(answer) => wire::AllotmentAnswer {
                parts: answer
                    .fractions
                    .into_iter()
                    .map(|(workspace, part)| (workspace.to_string(), part))
                    .collect(),
                is_hub: true,
                hub: String::new(),
            },
            None => wire::AllotmentAnswer {
                hub: self.leader_address(),
                ..Default::default()
            },
        };
        Some(answer.encode_to_vec().into())
    }

    /// Lends a token, or answers with the address of the leader if another control VM leads.
    pub(crate) fn borrow(&self, head: Bytes) -> Option<Bytes> {
        let workspace: WorkspaceId = wire::Borrow::decode(head).ok()?.workspace.into();
        let nodes = self.gossip.ingress_nodes();
        let limit = self.limit(&workspace).unwrap_or(Limit::ZERO);
        let outcome = self.with_coordinator(|c| c.borrow(Instant::now(), &workspace, limit, nodes));
        let answer = match outcome {
            Some(BorrowOutcome::Granted) => wire::BorrowAnswer {
                granted: true,
                is_hub: true,
                ..Default::default()
            },
            Some(BorrowOutcome::Denied { retry_after }) => wire::BorrowAnswer {
                retry_after_us: u64::try_from(retry_after.as_micros()).unwrap_or(u64::MAX),
                is_hub: true,
                ..Default::default()
            },
            None => wire::BorrowAnswer {
                hub: self.leader_address(),
                ..Default::default()
            },
        };
        Some(answer.encode_to_vec().into())
    }

    /// Runs `work` on the coordinator of the current term, or returns `None` while another control
    /// VM leads. A new term starts with a new coordinator.
    fn with_coordinator<T>(&self, work: impl FnOnce(&mut Coordinator) -> T) -> Option<T> {
        let term = self.log.leading_term();
        let mut coordinator = self.coordinator();
        let Some(term) = term else {
            *coordinator = None;
            return None;
        };
        if coordinator
            .as_ref()
            .is_none_or(|(opened_in, _)| *opened_in != term)
        {
            *coordinator = Some((term, Coordinator::open(Instant::now())));
        }
        coordinator
            .as_mut()
            .map(|(_, coordinator)| work(coordinator))
    }

    fn limit(&self, workspace: &WorkspaceId) -> Option<Limit> {
        self.log.with_view(|view| {
            let configured = view.configuration.workspaces.get(workspace)?;
            Some(Limit::from_config(configured.rate, configured.burst))
        })
    }

    /// The leader's link address as text, or an empty text if it is not known.
    fn leader_address(&self) -> String {
        let leader = self.log.leader_address();
        leader
            .map(|address| address.to_string())
            .unwrap_or_default()
    }

    fn coordinator(&self) -> MutexGuard<'_, Option<(u64, Coordinator)>> {
        self.coordinator
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn report_from_wire(wire: wire::AllotmentReport) -> Report {
    let items = wire.items.into_iter().map(|item| Item {
        workspace: item.workspace.into(),
        demand: item.demand,
        fraction: item.part,
    });
    Report {
        ingress: wire.door.into(),
        items: items.collect(),
    }
}
