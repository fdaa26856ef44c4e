//! The door for callers whose requests are routed by host and path, in a platform's language.

use std::{
    sync::{Arc, PoisonError},
    time::{Duration, Instant},
};

use http::{HeaderValue, header};
use nutmegwheel_config::{HostRoute, View};
use nutmegwheel_events::Event;
use nutmegwheel_types::{ClassRank, Context, Priority, RootId, ServiceId, WorkspaceId};
use nutmegwheel_web::{Handler, HandlerFuture, Request, Response};

use crate::{
    call::{Answer, Call},
    dialect::{Asked, Dialect, Marks, Refused},
    forward, headers, local,
    quotas::Quotas,
    refusal::{Reason, Refusal},
    running::Parent,
    shared::Shared,
    views::{self, InForce},
};

/// The ranks of routes inside one rank of a workspace.
const ROUTE_RANKS: ClassRank = 16;
/// When to ask a node again that holds no configuration yet.
const NO_VIEW_PAUSE: Duration = Duration::from_millis(300);

/// Answers callers.
pub(crate) struct HostDoor {
    pub(crate) shared: Arc<Shared>,
    pub(crate) dialect: Arc<dyn Dialect>,
}

impl Handler for HostDoor {
    fn handle(&self, req: Request) -> HandlerFuture {
        let (shared, dialect) = (self.shared.clone(), self.dialect.clone());
        Box::pin(async move {
            let _in_flight = shared.enter();
            let began = Instant::now();
            let asked = dialect.asked(&req.head);
            let id = asked.as_ref().ok().map(|asked| asked.id.clone());
            let result = match asked {
                Ok(asked) => take(&shared, &*dialect, req, asked, began).await,
                Err(detail) => Err(Refusal::not_run(Reason::BadRequest, detail)),
            };
            shared.metrics.count(&result, began.elapsed());
            if let (Err(refusal), Some(id)) = (&result, &id) {
                record(&shared, refusal, id, began);
            }
            respond(&shared, &*dialect, result, id.as_ref())
        })
    }
}

fn record(shared: &Shared, refusal: &Refusal, id: &HeaderValue, began: Instant) {
    shared.journal.decide(
        Event::RequestFailed,
        &[
            ("id", &id.to_str().unwrap_or_default()),
            ("reason", &refusal.reason.word()),
            ("outcome", &refusal.outcome.word()),
            ("detail", &refusal.detail),
            ("version", &shared.views.version()),
            ("after_ms", &began.elapsed().as_millis()),
        ],
    );
}

async fn take(
    shared: &Arc<Shared>,
    dialect: &dyn Dialect,
    req: Request,
    asked: Asked,
    now: Instant,
) -> Result<Answer, Refusal> {
    if shared.is_closed() {
        let detail = "this node stops; ask another one";
        return Err(Refusal::not_run(Reason::Leaving, detail));
    }
    let parent = asked.parent.as_deref();
    let parent = parent.and_then(|parent| shared.running.parent_of(parent));
    // One view decides on all of the request.
    let in_force = shared.views.in_force();
    let call = admit(
        shared,
        dialect,
        &in_force,
        req,
        &asked,
        parent.as_deref(),
        now,
    )?;
    let id = forward::call_id(&call, None);
    if let Some(parent) = parent {
        return forward::forward(shared, &parent, call, id).await;
    }
    // What is shed anyway must not use up the workspace's rate.
    forward::shed_at_once(shared, &call, now)?;
    if let Some(workspace) = &call.context.workspace {
        Quotas::spend(shared, &in_force.view, workspace).await?;
    }
    let root = Parent::open(call.context.clone(), call.key, call.deadline);
    forward::forward(shared, &root, call, id).await
}

/// Makes the call of a caller's request, or tells why there is none.
fn admit(
    shared: &Shared,
    dialect: &dyn Dialect,
    in_force: &InForce,
    req: Request,
    asked: &Asked,
    parent: Option<&Parent>,
    now: Instant,
) -> Result<Call, Refusal> {
    let view = &in_force.view;
    if view.version == 0 {
        let refusal = Refusal::not_run(Reason::NotReady, "this node has no configuration yet");
        return Err(refusal.after(NO_VIEW_PAUSE));
    }
    let path = req.head.uri.path();
    let Some(route) = in_force.hosts.find(&asked.host, path) else {
        let detail = format!("no route for {}{path}", asked.host);
        return Err(Refusal::not_run(Reason::UnknownRoute, detail));
    };
    let workspace = workspace(view, route, asked)?;
    let service = choose_service(shared, route)?;
    let whole = req.head.uri.path_and_query().map_or("/", |p| p.as_str());
    let mut fields = headers::passed_on(&req.head.headers);
    let origin = shared.settings.backend_server.as_ref();
    dialect.mark(
        &mut fields,
        &Marks {
            id: &asked.id,
            workspace: workspace.as_ref(),
            origin: origin.map(|server| &server.service),
        },
    );
    let time = asked.deadline.unwrap_or(route.timeout).min(route.timeout);
    let context = match parent {
        Some(parent) => child_context(parent, route, time)?,
        None => context(view, route, workspace, time),
    };
    Ok(Call {
        service,
        endpoint: route.name.clone(),
        method: req.head.method.clone(),
        path: whole.to_owned(),
        fields,
        body: req.body,
        deadline: parent.map_or(now + time, |parent| parent.deadline.min(now + time)),
        context,
        key: None,
        name: None,
        attempt: None,
        max_servers: Some(route.attempts),
    })
}

/// For whom a request runs; nobody on open routes, and where the configuration has no workspaces.
fn workspace(
    view: &View,
    route: &HostRoute,
    asked: &Asked,
) -> Result<Option<WorkspaceId>, Refusal> {
    if route.open || view.configuration.workspaces.is_empty() {
        return Ok(None);
    }
    views::workspace_of(view, asked.key.as_ref()).map(Some)
}

fn choose_service(shared: &Shared, route: &HostRoute) -> Result<ServiceId, Refusal> {
    let share = match &route.split[..] {
        // Most routes lead to one service, and need no wheel that all requests share.
        [only] => Some(only).filter(|only| only.weight > 0),
        parts => {
            let weights: Vec<u32> = parts.iter().map(|share| share.weight).collect();
            let mut splits = shared.splits.lock().unwrap_or_else(PoisonError::into_inner);
            let part = splits.choose(&route.name, &weights, &mut rand::rng());
            part.and_then(|part| parts.get(part))
        }
    };
    share.map(|share| share.service.clone()).ok_or_else(|| {
        let detail = format!("{} leads to no service", route.name);
        Refusal::not_run(Reason::NoBackendServer, detail)
    })
}

fn context(
    view: &View,
    route: &HostRoute,
    workspace: Option<WorkspaceId>,
    remaining: Duration,
) -> Context {
    let root: RootId = rand::random();
    let configured = workspace
        .as_ref()
        .and_then(|workspace| view.configuration.workspaces.get(workspace));
    let rank_of_workspace = configured.and_then(|configured| configured.rank);
    Context {
        root,
        class: route.name.clone(),
        priority: Priority {
            rank: rank_of_workspace.unwrap_or(0).min(ROUTE_RANKS - 1) * ROUTE_RANKS
                + route.rank.min(ROUTE_RANKS - 1),
            over_share: 0,
            root_hash: u16::try_from(root >> 112).unwrap_or_default(),
        },
        remaining,
        depth: 0,
        workspace,
        retry_tokens: view.configuration.retries_per_request,
        non_idempotent: route.non_idempotent,
    }
}

/// The context of a call that the backend server here makes for a request that it works on.
fn child_context(
    parent: &Parent,
    route: &HostRoute,
    remaining: Duration,
) -> Result<Context, Refusal> {
    let mut context = parent.context.clone();
    local::descend(&mut context)?;
    context.remaining = remaining;
    context.non_idempotent = route.non_idempotent;
    Ok(context)
}

/// Turns the result into the answer to the caller.
fn respond(
    shared: &Shared,
    dialect: &dyn Dialect,
    result: Result<Answer, Refusal>,
    id: Option<&HeaderValue>,
) -> Response {
    let mut res = match result {
        Ok(answer) => answer.into_response(),
        Err(refusal) => dialect.refuse(&Refused {
            reason: refusal.reason,
            outcome: refusal.outcome,
            detail: &refusal.detail,
            retry_after: refusal.retry_after(),
            id,
        }),
    };
    if shared.is_leaving() {
        let close = HeaderValue::from_static("close");
        res.headers_mut().insert(header::CONNECTION, close);
    }
    res
}
