//! The limits of workspaces at this door, where no data centre has a steward.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use nutmegwheel_config::{View, Workspace};
use nutmegwheel_events::Event;
use nutmegwheel_limits::{
    Limit,
    allotment::{Answer, BorrowOutcome, Ingress, REPORT_INTERVAL, Report, Spend},
};
use nutmegwheel_link::{Request, Topic};
use nutmegwheel_types::WorkspaceId;
use nutmegwheel_wire::{self as wire, topic};
use prost::Message;

use crate::{refusal::Refusal, shared::Shared};

/// The time that the hub gets to answer; a request that borrows waits no longer, so that a refusal
/// comes well inside an eighth of the shortest target.
const ANSWER_LIMIT: Duration = Duration::from_millis(100);
/// How often a question is passed on to the hub that an answer names.
const MAX_REDIRECTS: usize = 2;
/// When to come back where the hub does not answer.
const NO_HUB_PAUSE: Duration = Duration::from_millis(300);

/// What this door holds of the workspaces' limits.
pub(crate) struct Quotas {
    door: Mutex<Ingress>,
    /// The hub that answered last.
    hub: Mutex<Option<SocketAddr>>,
}

/// Lifecycle.
impl Quotas {
    pub(crate) fn open(now: Instant) -> Self {
        Self {
            door: Mutex::new(Ingress::open(now)),
            hub: Mutex::default(),
        }
    }

    /// Reports to the hub; runs as long as the node.
    pub(crate) async fn keep(shared: &Arc<Shared>) {
        loop {
            let sent = Instant::now();
            let message = report_to_wire(shared.quotas.report(shared, sent));
            let answer: Option<wire::AllotmentAnswer> =
                ask(shared, topic::ALLOTMENT, &message).await;
            if let Some(answer) = answer {
                let parts = answer.parts.into_iter();
                let parts = parts.map(|(workspace, part)| (workspace.into(), part));
                let answer = Answer {
                    fractions: parts.collect(),
                };
                let now = Instant::now();
                shared.quotas.door().apply_answer(now, sent, &answer);
            }
            tokio::time::sleep(REPORT_INTERVAL).await;
        }
    }
}

/// Spending.
impl Quotas {
    fn report(&self, shared: &Shared, now: Instant) -> Report {
        let view = shared.views.current();
        let workspaces = view.configuration.workspaces.iter();
        let limited = workspaces.filter(|(_, configured)| !configured.is_unlimited());
        let limited = limited.map(|(workspace, configured)| (workspace, limit(configured)));
        let name = shared.settings.name.clone();
        self.door().report(now, name, limited)
    }

    /// Spends a token of the workspace, or refuses with the time to come back.
    pub(crate) async fn spend(
        shared: &Arc<Shared>,
        view: &View,
        workspace: &WorkspaceId,
    ) -> Result<(), Refusal> {
        let configured = view.configuration.workspaces.get(workspace);
        let Some(configured) = configured.filter(|w| !w.is_unlimited()) else {
            return Ok(());
        };
        let limit = limit(configured);
        let doors = shared.gossip.ingress_nodes();
        let quotas = &shared.quotas;
        let now = Instant::now();
        let mut spend = quotas.door().spend(now, workspace, limit, doors);
        if spend == Spend::Borrow {
            spend = match quotas.borrow(shared, workspace).await {
                Some(BorrowOutcome::Granted) => Spend::Spent,
                Some(BorrowOutcome::Denied { retry_after }) => Spend::Refused { retry_after },
                None => quotas.spend_alone(workspace, limit, doors),
            };
        }
        let retry_after = match spend {
            Spend::Spent => return Ok(()),
            Spend::Refused { retry_after } => retry_after,
            Spend::Borrow => NO_HUB_PAUSE,
        };
        Err(Refusal::over_rate(workspace).after_about(retry_after))
    }

    /// Spends without the hub, which did not answer.
    fn spend_alone(&self, workspace: &WorkspaceId, limit: Limit, doors: usize) -> Spend {
        let now = Instant::now();
        let mut door = self.door();
        door.record_borrow_timeout(now);
        door.spend(now, workspace, limit, doors)
    }

    /// Asks the hub for a token; `None` where it does not answer.
    async fn borrow(&self, shared: &Shared, workspace: &WorkspaceId) -> Option<BorrowOutcome> {
        let message = wire::Borrow {
            workspace: workspace.to_string(),
        };
        let answer: Option<wire::BorrowAnswer> = ask(shared, topic::BORROW, &message).await;
        let borrowed = match answer {
            Some(answer) if answer.granted => BorrowOutcome::Granted,
            Some(answer) => BorrowOutcome::Denied {
                retry_after: Duration::from_micros(answer.retry_after_us),
            },
            None => {
                let event = Event::HubSilent;
                shared.journal.decide(event, &[("workspace", workspace)]);
                return None;
            }
        };
        self.door()
            .apply_borrow(Instant::now(), workspace, borrowed);
        Some(borrowed)
    }

    fn door(&self) -> MutexGuard<'_, Ingress> {
        self.door.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn hub(&self) -> MutexGuard<'_, Option<SocketAddr>> {
        self.hub.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An answer that is the hub's, or tells where the hub is.
trait HubAnswer: Message + Default {
    fn is_hub(&self) -> bool;
    fn hub(&self) -> &str;
}

macro_rules! hub_answer {
    ($($name:ident)*) => {$(
        impl HubAnswer for wire::$name {
            fn is_hub(&self) -> bool {
                self.is_hub
            }

            fn hub(&self) -> &str {
                &self.hub
            }
        }
    )*};
}

hub_answer! { AllotmentAnswer BorrowAnswer }

/// Asks the hub, or any control VM for it while it is not known.
async fn ask<T: HubAnswer>(shared: &Shared, topic: Topic, message: &impl Message) -> Option<T> {
    let endpoint = shared.endpoint()?;
    let deadline = Instant::now() + ANSWER_LIMIT;
    let head = Bytes::from(message.encode_to_vec());
    let mut to = match *shared.quotas.hub() {
        Some(hub) => hub,
        None => any_of(&shared.gossip.control_links())?,
    };
    for _ in 0..=MAX_REDIRECTS {
        let req = Request {
            topic,
            head: head.clone(),
            body: Bytes::new(),
        };
        let reply = endpoint.call(to, req, deadline).await;
        let answer = reply.ok().and_then(|reply| T::decode(reply.body).ok());
        *shared.quotas.hub() = None;
        let answer = answer?;
        if answer.is_hub() {
            *shared.quotas.hub() = Some(to);
            return Some(answer);
        }
        to = answer.hub().parse().ok()?;
    }
    None
}

fn any_of(links: &[SocketAddr]) -> Option<SocketAddr> {
    let count = links.len();
    (count > 0).then(|| links[rand::random_range(0..count)])
}

fn limit(configured: &Workspace) -> Limit {
    Limit::from_config(configured.rate, configured.burst)
}

fn report_to_wire(report: Report) -> wire::AllotmentReport {
    let items = report.items.into_iter().map(|item| wire::AllotmentItem {
        workspace: item.workspace.to_string(),
        demand: item.demand,
        part: item.fraction,
    });
    wire::AllotmentReport {
        door: report.ingress.to_string(),
        items: items.collect(),
    }
}
