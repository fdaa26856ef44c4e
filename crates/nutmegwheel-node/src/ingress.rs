use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use http::{HeaderValue, header, request::Parts};
use nutmegwheel_config::{NoRoute, Route, View};
use nutmegwheel_events::Event;
use nutmegwheel_types::{Context, Priority, RootId, WorkspaceId};
use nutmegwheel_web::{Handler, HandlerFuture, Request, Response};

use crate::{
    at_most_once,
    call::{Answer, Call},
    forward, headers,
    refusal::{Reason, Refusal},
    running::Parent,
    serve,
    shared::Shared,
    views,
};

/// Handles the requests of callers in the native dialect.
pub(crate) struct Ingress {
    pub(crate) shared: Arc<Shared>,
}

impl Handler for Ingress {
    fn count_refusal(&self, reason: &'static str) {
        self.shared.metrics.count_incomplete(reason);
    }

    fn handle(&self, req: Request) -> HandlerFuture {
        let shared = self.shared.clone();
        Box::pin(async move {
            let _in_flight = shared.count_in_flight();
            let root = rand::random();
            let started_at = Instant::now();
            let result = handle_request(&shared, req, root).await;
            shared.metrics.count(&result, started_at.elapsed());
            if let Err(refusal) = &result {
                let id = format!("{root:032x}");
                journal_refusal(&shared, refusal, &id, started_at);
            }
            respond(&shared, result, root)
        })
    }

    fn may_overlap(&self, head: &Parts) -> bool {
        let view = self.shared.views.current();
        let route = RoutePath::read(&head.uri)
            .and_then(|path| find_route(&view, path.service, path.endpoint));
        let marked = headers::non_idempotent(&head.headers);
        matches!((route, marked), (Ok(route), Ok(false)) if !route.non_idempotent)
    }
}

/// Writes why a request of a caller was refused or failed.
pub(crate) fn journal_refusal(shared: &Shared, refusal: &Refusal, id: &str, started_at: Instant) {
    shared.journal.emit_rate_limited(
        Event::RequestFailed,
        &[
            ("id", &id),
            ("reason", &refusal.reason.word()),
            ("outcome", &refusal.outcome.word()),
            ("detail", &refusal.detail),
            ("version", &shared.views.version()),
            ("after_ms", &started_at.elapsed().as_millis()),
        ],
    );
}

async fn handle_request(
    shared: &Arc<Shared>,
    req: Request,
    root: RootId,
) -> Result<Answer, Refusal> {
    let now = Instant::now();
    if shared.is_closed() {
        let detail = "this node stops; ask another one";
        return Err(Refusal::not_run(Reason::Leaving, detail));
    }
    let view = shared.views.current();
    let id = headers::idempotency_key(&req.head.headers)?.map(str::to_owned);
    let mut call = build_call(&view, req, root, now)?;
    call.claim = claim_for_request(shared, &call, id.as_deref())?;
    if let Some(key) = &call.key {
        serve::check_key(shared, key)?;
    }
    if call.deadline <= now {
        return Err(Refusal::not_run(Reason::Deadline, "no time was left"));
    }
    if let Some(workspace) = &call.context.workspace {
        // A request that is shed anyway must not use up the workspace's rate.
        forward::check_shed_levels(shared, &call, now)?;
        shared
            .token_limiter
            .spend(&view, workspace, call.deadline)
            .await?;
    }
    let parent = Parent::open(call.context.clone(), call.key, call.deadline);
    let id = forward::call_id(&call, None);
    forward::forward(shared, &parent, call, id).await
}

/// Builds the call for a caller's request, or returns why it is refused.
fn build_call(view: &View, req: Request, root: RootId, now: Instant) -> Result<Call, Refusal> {
    if view.version == 0 {
        let refusal = Refusal::not_run(Reason::NotReady, "this node has no configuration yet");
        return Err(refusal.with_retry_after(Duration::from_secs(1)));
    }
    let path = RoutePath::read(&req.head.uri)?;
    let route = find_route(view, path.service, path.endpoint)?;
    let key = headers::key(&req.head.headers)?;
    let (workspace, key) = if route.open {
        (None, None)
    } else {
        (Some(views::workspace_of(view, key.as_ref())?), key)
    };
    let headers = &req.head.headers;
    let non_idempotent = headers::non_idempotent(headers)? || route.non_idempotent;
    let context = context(view, route, workspace, root, non_idempotent)?;
    let time = headers::deadline(headers)?.unwrap_or(context.remaining);
    Ok(Call {
        service: path.service.into(),
        endpoint: path.endpoint.into(),
        method: req.head.method.clone(),
        path: path.path_and_query.to_owned(),
        fields: headers::forwarded_fields(headers),
        body: req.body,
        deadline: now + time,
        context,
        key,
        claim: None,
        attempt: None,
        max_servers: None,
    })
}

/// The claim of a request that may run at most once, if its sender gave an idempotency key.
pub(crate) fn claim_for_request(
    shared: &Shared,
    call: &Call,
    id: Option<&str>,
) -> Result<Option<at_most_once::RequestClaim>, Refusal> {
    let id = id.filter(|_| call.context.non_idempotent);
    id.map(|id| at_most_once::claim_for_key(shared, call, id))
        .transpose()
}

fn context(
    view: &View,
    route: &Route,
    workspace: Option<WorkspaceId>,
    root: RootId,
    non_idempotent: bool,
) -> Result<Context, Refusal> {
    let class = view.configuration.classes.get(&route.class);
    let class = class.ok_or_else(|| Refusal::not_run(Reason::NotReady, "the class is gone"))?;
    Ok(Context {
        root,
        workspace,
        class: route.class.clone(),
        priority: Priority {
            rank: class.rank,
            over_share: 0,
            root_hash: u16::try_from(root >> 112).unwrap_or_default(),
        },
        remaining: class.target_latency,
        depth: 0,
        retry_tokens: view.configuration.retries_per_request,
        non_idempotent,
        is_repeat: false,
    })
}

pub(crate) fn find_route<'a>(
    view: &'a View,
    service: &str,
    endpoint: &str,
) -> Result<&'a Route, Refusal> {
    let route = view.configuration.route(service, endpoint);
    route.map_err(|missing| match missing {
        NoRoute::Service => {
            Refusal::not_run(Reason::UnknownService, format!("no service {service:?}"))
        }
        NoRoute::Endpoint => {
            let detail = format!("{service} has no endpoint {endpoint:?}");
            Refusal::not_run(Reason::UnknownEndpoint, detail)
        }
    })
}

/// The path of a request, with the service and endpoint that it names.
pub(crate) struct RoutePath<'a> {
    pub(crate) service: &'a str,
    pub(crate) endpoint: &'a str,
    pub(crate) path_and_query: &'a str,
}

impl<'a> RoutePath<'a> {
    pub(crate) fn read(uri: &'a http::Uri) -> Result<Self, Refusal> {
        let bad = || {
            let detail = "the path is not /{service}/{endpoint}";
            Refusal::not_run(Reason::BadRequest, detail)
        };
        let path_and_query = uri.path_and_query().ok_or_else(bad)?.as_str();
        let mut names = uri.path().strip_prefix('/').ok_or_else(bad)?.split('/');
        match (names.next(), names.next()) {
            (Some(service), Some(endpoint)) if !service.is_empty() && !endpoint.is_empty() => {
                Ok(Self {
                    service,
                    endpoint,
                    path_and_query,
                })
            }
            _ => Err(bad()),
        }
    }
}

/// Converts the result into the response to a caller or to a downstream call.
pub(crate) fn respond(shared: &Shared, result: Result<Answer, Refusal>, root: RootId) -> Response {
    let mut res = match result {
        Ok(answer) => answer.into_response(),
        Err(refusal) => refusal.into_problem(Some(root)).into_response(),
    };
    if let Ok(root) = HeaderValue::try_from(format!("{root:032x}")) {
        res.headers_mut().insert(headers::REQUEST, root);
    }
    if shared.is_leaving() {
        let close = HeaderValue::from_static("close");
        res.headers_mut().insert(header::CONNECTION, close);
    }
    res
}
