//! The listener for callers whose requests are routed by host and path, in a platform's dialect.

use std::{
    sync::{Arc, PoisonError},
    time::{Duration, Instant},
};

use http::{HeaderValue, header, request::Parts};
use nutmegwheel_config::{HostRoute, View};
use nutmegwheel_types::{ClassRank, Context, Priority, RootId, ServiceId, WorkspaceId};
use nutmegwheel_web::{Handler, HandlerFuture, Request, Response};

use crate::{
    allotment_limiter::AllotmentLimiter,
    backend_handler,
    call::{Answer, Call},
    dialect::{Dialect, IngressFields, Refused, RequestInfo},
    forward, headers, ingress,
    refusal::{Reason, Refusal},
    retries,
    running::Parent,
    shared::Shared,
    views::{self, ActiveView},
};

/// The number of route ranks within each workspace rank. A request's priority is ordered by the
/// rank of its workspace first.
const ROUTE_RANKS: ClassRank = 16;
/// The retry delay for callers of a node that has no configuration yet.
const NO_VIEW_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Handles the requests of callers in a platform's dialect.
pub(crate) struct HostIngress {
    pub(crate) shared: Arc<Shared>,
    pub(crate) dialect: Arc<dyn Dialect>,
}

impl Handler for HostIngress {
    fn count_refusal(&self, reason: &'static str) {
        self.shared.metrics.count_incomplete(reason);
    }

    fn handle(&self, req: Request) -> HandlerFuture {
        let (shared, dialect) = (self.shared.clone(), self.dialect.clone());
        Box::pin(async move {
            let _in_flight = shared.count_in_flight();
            let started_at = Instant::now();
            let info = dialect.read_request(&req.head);
            let id = info.as_ref().ok().map(|info| info.id.clone());
            let result = match info {
                Ok(info) => handle_request(&shared, &*dialect, req, info, started_at).await,
                Err(detail) => Err(Refusal::not_run(Reason::BadRequest, detail)),
            };
            shared.metrics.count(&result, started_at.elapsed());
            if let (Err(refusal), Some(id)) = (&result, &id) {
                let id = id.to_str().unwrap_or_default();
                ingress::journal_refusal(&shared, refusal, id, started_at);
            }
            respond(&shared, &*dialect, result, id.as_ref())
        })
    }

    /// Whether a request is idempotent follows from its route, not from its method.
    fn may_overlap(&self, head: &Parts) -> bool {
        let active = self.shared.views.active();
        let host = self.dialect.host(head);
        let route = host.and_then(|host| active.hosts.find(host, head.uri.path()));
        route.is_some_and(|route| !route.non_idempotent)
    }
}

async fn handle_request(
    shared: &Arc<Shared>,
    dialect: &dyn Dialect,
    req: Request,
    info: RequestInfo,
    now: Instant,
) -> Result<Answer, Refusal> {
    if shared.is_closed() {
        let detail = "this node stops; ask another one";
        return Err(Refusal::not_run(Reason::Leaving, detail));
    }
    let parent = info.parent.as_deref();
    let parent = parent.and_then(|parent| shared.running.parent_by_id(parent));
    // All decisions on the request use the same version of the view.
    let active = shared.views.active();
    let call = build_call(shared, dialect, &active, req, &info, parent.as_deref(), now)?;
    let id = forward::call_id(&call, None);
    if let Some(parent) = parent {
        return forward::forward(shared, &parent, call, id).await;
    }
    // A request that is shed anyway must not use up the workspace's rate.
    forward::check_shed_levels(shared, &call, now)?;
    if let Some(workspace) = &call.context.workspace {
        AllotmentLimiter::spend(shared, &active.view, workspace).await?;
    }
    let root = Parent::open(call.context.clone(), call.key, call.deadline);
    forward::forward(shared, &root, call, id).await
}

/// Builds the call for a caller's request, or returns why it is refused.
fn build_call(
    shared: &Shared,
    dialect: &dyn Dialect,
    active: &ActiveView,
    req: Request,
    info: &RequestInfo,
    parent: Option<&Parent>,
    now: Instant,
) -> Result<Call, Refusal> {
    let view = &active.view;
    if view.version == 0 {
        let refusal = Refusal::not_run(Reason::NotReady, "this node has no configuration yet");
        return Err(refusal.with_retry_after(NO_VIEW_RETRY_AFTER));
    }
    let path = req.head.uri.path();
    let Some(route) = active.hosts.find(&info.host, path) else {
        let detail = format!("no route for {}{path}", info.host);
        return Err(Refusal::not_run(Reason::UnknownRoute, detail));
    };
    let workspace = workspace(view, route, info)?;
    let service = choose_service(shared, route)?;
    let path_and_query = req.head.uri.path_and_query().map_or("/", |p| p.as_str());
    let mut fields = headers::forwarded_fields(&req.head.headers);
    let origin = shared.settings.backend_server.as_ref();
    dialect.set_ingress_fields(
        &mut fields,
        &IngressFields {
            id: &info.id,
            workspace: workspace.as_ref(),
            origin: origin.map(|server| &server.service),
        },
    );
    let time = info.deadline.unwrap_or(route.timeout).min(route.timeout);
    let context = match parent {
        Some(parent) => child_context(parent, route, time)?,
        None => Context {
            retry_tokens: retries::chain_retries(&shared.settings, view),
            ..context(view, route, workspace, time)
        },
    };
    Ok(Call {
        service,
        endpoint: route.name.clone(),
        method: req.head.method.clone(),
        path: path_and_query.to_owned(),
        fields,
        body: req.body,
        deadline: parent.map_or(now + time, |parent| parent.deadline.min(now + time)),
        context,
        key: None,
        claim: None,
        attempt: None,
        max_servers: Some(route.attempts),
    })
}

/// The workspace of a request, or `None` on open routes and if the configuration has no
/// workspaces.
fn workspace(
    view: &View,
    route: &HostRoute,
    info: &RequestInfo,
) -> Result<Option<WorkspaceId>, Refusal> {
    if route.open || view.configuration.workspaces.is_empty() {
        return Ok(None);
    }
    views::workspace_of(view, info.key.as_ref()).map(Some)
}

fn choose_service(shared: &Shared, route: &HostRoute) -> Result<ServiceId, Refusal> {
    let share = match &route.split[..] {
        // Most routes have one service and need no round-robin state behind a shared lock.
        [only] => Some(only).filter(|only| only.weight > 0),
        split => {
            let weights: Vec<u32> = split.iter().map(|share| share.weight).collect();
            let mut splits = shared.splits.lock().unwrap_or_else(PoisonError::into_inner);
            let index = splits.choose(&route.name, &weights, &mut rand::rng());
            index.and_then(|index| split.get(index))
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
        is_repeat: false,
    }
}

/// The context of a downstream call that the local backend server makes for a running request.
fn child_context(
    parent: &Parent,
    route: &HostRoute,
    remaining: Duration,
) -> Result<Context, Refusal> {
    let mut context = parent.context.clone();
    backend_handler::increment_depth(&mut context)?;
    context.remaining = remaining;
    context.non_idempotent = route.non_idempotent;
    Ok(context)
}

/// Converts the result into the response to the caller.
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
