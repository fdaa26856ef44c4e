//! The listener for the local backend server: announcements and downstream calls.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use http::{Method, StatusCode};
use nutmegwheel_config::{is_name, name_rule};
use nutmegwheel_events::Event;
use nutmegwheel_types::{Context, RootId, ServiceId};
use nutmegwheel_web::{Handler, HandlerFuture, Problem, Request, Response, json};
use serde::Deserialize;

use crate::{
    backend::{Announcement, Backend, BackendState},
    call::{Answer, Call},
    cold_start, forward, headers,
    ingress::{self, RoutePath},
    refusal::{Reason, Refusal},
    running::Parent,
    shared::Shared,
};

/// The maximum depth of a call chain. A deeper chain is treated as a loop.
const MAX_DEPTH: u8 = 32;
/// The maximum lease of an announcement, in ms.
const MAX_LEASE_MS: u64 = 60_000;
/// The minimum lease of an announcement, in ms.
const MIN_LEASE_MS: u64 = 500;
/// The number of characters of an invalid name that an error shows.
const MAX_SHOWN_CHARS: usize = 80;

/// Handles the requests of the local backend server in the native dialect.
pub(crate) struct BackendHandler {
    pub(crate) shared: Arc<Shared>,
}

impl Handler for BackendHandler {
    fn handle(&self, req: Request) -> HandlerFuture {
        let shared = self.shared.clone();
        Box::pin(async move {
            if req.head.method == Method::PUT && req.head.uri.path() == "/v1/announcement" {
                return announce(&shared, &req.body).unwrap_or_else(Problem::into_response);
            }
            let _in_flight = shared.count_in_flight();
            match find_parent(&shared, &req) {
                Ok(parent) => {
                    let root = parent.context.root;
                    let result = handle_downstream_call(&shared, req, &parent).await;
                    ingress::respond(&shared, result, root)
                }
                Err(refusal) => ingress::respond(&shared, Err(refusal), RootId::default()),
            }
        })
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Document {
    service: String,
    address: SocketAddr,
    slots: u16,
    state: BackendState,
    lease_ms: u64,
}

fn announce(shared: &Arc<Shared>, body: &[u8]) -> Result<Response, Problem> {
    let bad = |detail: String| Problem::new(StatusCode::BAD_REQUEST, "bad-announcement", detail);
    let document: Document = serde_json::from_slice(body).map_err(|e| bad(e.to_string()))?;
    check_names(&document.service, document.address).map_err(bad)?;
    if document.slots == 0 {
        return Err(bad("slots must be 1 to 65535".into()));
    }
    if !(MIN_LEASE_MS..=MAX_LEASE_MS).contains(&document.lease_ms) {
        return Err(bad(format!(
            "lease_ms must be {MIN_LEASE_MS} to {MAX_LEASE_MS}"
        )));
    }
    let before = shared.local_backend.announced();
    let is_new = before
        .as_ref()
        .is_none_or(|before| before.address != document.address);
    apply_announcement(
        shared,
        BackendReport {
            service: document.service.into(),
            slots: document.slots,
            state: document.state,
            instance: None,
            address: document.address,
            cold_remaining: None,
            valid_for: Duration::from_millis(document.lease_ms),
        },
        is_new,
    );
    let renew = document.lease_ms / 3;
    let answer = serde_json::json!({"renew_within_ms": renew});
    Ok(json(StatusCode::OK, &answer))
}

/// Checks what travels to other processes, and the address to which requests are sent.
pub(crate) fn check_names(service: &str, address: SocketAddr) -> Result<(), String> {
    if !is_name(service) {
        let shown: String = service.chars().take(MAX_SHOWN_CHARS).collect();
        return Err(format!("service {}", name_rule(&shown)));
    }
    if address.port() == 0 || address.ip().is_unspecified() {
        return Err(format!("{address} is no address to send requests to"));
    }
    Ok(())
}

/// The state that a backend server reported, in any dialect.
pub(crate) struct BackendReport {
    pub(crate) service: ServiceId,
    pub(crate) slots: u16,
    pub(crate) state: BackendState,
    pub(crate) instance: Option<Arc<str>>,
    pub(crate) address: SocketAddr,
    /// How much longer the backend server is cold, if its dialect says so.
    pub(crate) cold_remaining: Option<Duration>,
    /// The time after which the report expires unless it is renewed.
    pub(crate) valid_for: Duration,
}

/// Applies a report of the backend server, and announces any change to the fleet. `is_new` says
/// whether the report comes from a new instance of the backend server.
pub(crate) fn apply_announcement(shared: &Arc<Shared>, report: BackendReport, is_new: bool) {
    let before = shared.local_backend.announced();
    let incarnation = match &before {
        Some(before) if !is_new => before.backend.incarnation,
        _ => shared.next_backend_incarnation(),
    };
    let backend = Backend {
        service: report.service,
        slots: report.slots,
        state: report.state,
        incarnation,
        instance: report.instance,
    };
    let now = Instant::now();
    cold_start::record_report(shared, now, report.cold_remaining, is_new, before.is_some());
    shared.local_backend.announce(Announcement {
        backend: backend.clone(),
        address: report.address,
        expires_at: now + report.valid_for,
    });
    if before.is_none_or(|before| before.backend != backend) {
        if is_new {
            shared.failure_rate().reset();
            shared.server_limit().reset(shared.dialect.is_some());
        }
        let slots = shared.server_limit().concurrency(backend.slots);
        let slots = cold_start::slots(shared, now, &backend.service, slots);
        shared.admission.set_announced_slots(now, slots, is_new);
        journal_announcement(shared, &backend);
        shared.backend_changed();
    }
    cold_start::refresh(shared, now);
}

/// Records the announced state in the journal.
fn journal_announcement(shared: &Shared, backend: &Backend) {
    shared.journal.emit(
        Event::BackendAnnounced,
        &[
            ("service", &backend.service),
            ("state", &format!("{:?}", backend.state)),
            ("slots", &backend.slots),
        ],
    );
}

fn find_parent(shared: &Shared, req: &Request) -> Result<Arc<Parent>, Refusal> {
    let bad = |detail: &str| Refusal::not_run(Reason::BadRequest, detail);
    let token = headers::single_value(&req.head.headers, &headers::CONTEXT)?
        .ok_or_else(|| bad("a downstream call needs Nutmegwheel-Context"))?;
    let token = u128::from_str_radix(token, 16).ok();
    token
        .and_then(|token| shared.running.parent(token))
        .ok_or_else(|| bad("Nutmegwheel-Context names no request that runs"))
}

async fn handle_downstream_call(
    shared: &Arc<Shared>,
    req: Request,
    parent: &Parent,
) -> Result<Answer, Refusal> {
    let name = headers::single_value(&req.head.headers, &headers::CALL)?.map(str::to_owned);
    let given = headers::idempotency_key(&req.head.headers)?.map(str::to_owned);
    let mut call = child_call(shared, req, parent)?;
    call.claim = ingress::claim_for_request(shared, &call, given.as_deref())?;
    let id = forward::call_id(&call, name.as_deref());
    forward::forward(shared, parent, call, id).await
}

/// Increments the depth of a call chain, or refuses a chain that is too deep.
pub(crate) fn increment_depth(context: &mut Context) -> Result<(), Refusal> {
    if context.depth >= MAX_DEPTH {
        let detail = format!("the chain is more than {MAX_DEPTH} calls deep");
        return Err(Refusal::not_run(Reason::BadRequest, detail));
    }
    context.depth += 1;
    Ok(())
}

fn child_call(shared: &Shared, req: Request, parent: &Parent) -> Result<Call, Refusal> {
    let path = RoutePath::read(&req.head.uri)?;
    let view = shared.views.current();
    let route = ingress::find_route(&view, path.service, path.endpoint)?;
    let mut context = parent.context.clone();
    increment_depth(&mut context)?;
    let marked = headers::non_idempotent(&req.head.headers)?;
    context.non_idempotent = marked || route.non_idempotent;
    Ok(Call {
        service: path.service.into(),
        endpoint: path.endpoint.into(),
        method: req.head.method.clone(),
        path: path.path_and_query.to_owned(),
        fields: headers::forwarded_fields(&req.head.headers),
        body: req.body,
        deadline: parent.deadline,
        context,
        key: parent.key,
        claim: None,
        attempt: None,
        max_servers: None,
    })
}
