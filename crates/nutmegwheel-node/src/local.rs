//! The listener for the node's own backend server: announcements and downstream calls.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use http::{Method, StatusCode};
use nutmegwheel_events::Event;
use nutmegwheel_types::{Context, RootId, ServiceId};
use nutmegwheel_web::{Handler, HandlerFuture, Problem, Request, Response, json};
use serde::Deserialize;

use crate::{
    backend::{Announcement, Backend, BackendState},
    call::{Answer, Call},
    door::{self, Path},
    forward, headers,
    refusal::{Reason, Refusal},
    running::Parent,
    shared::Shared,
};

/// The most calls above a call; deeper ones are taken for a loop.
const DEPTH_MAX: u8 = 32;
/// The longest lease of an announcement, in ms.
const LEASE_MAX_MS: u64 = 60_000;
/// The shortest lease of an announcement, in ms.
const LEASE_MIN_MS: u64 = 500;

/// Answers the node's backend server.
pub(crate) struct LocalDoor {
    pub(crate) shared: Arc<Shared>,
}

impl Handler for LocalDoor {
    fn handle(&self, req: Request) -> HandlerFuture {
        let shared = self.shared.clone();
        Box::pin(async move {
            if req.head.method == Method::PUT && req.head.uri.path() == "/v1/announcement" {
                return announce(&shared, &req.body).unwrap_or_else(Problem::into_response);
            }
            let _in_flight = shared.enter();
            match parent(&shared, &req) {
                Ok(parent) => {
                    let root = parent.context.root;
                    let result = downstream(&shared, req, &parent).await;
                    door::respond(&shared, result, root)
                }
                Err(refusal) => door::respond(&shared, Err(refusal), RootId::default()),
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
    if document.slots == 0 {
        return Err(bad("slots must be 1 to 65535".into()));
    }
    if !(LEASE_MIN_MS..=LEASE_MAX_MS).contains(&document.lease_ms) {
        return Err(bad(format!(
            "lease_ms must be {LEASE_MIN_MS} to {LEASE_MAX_MS}"
        )));
    }
    let before = shared.local.announced();
    let is_new = before
        .as_ref()
        .is_none_or(|before| before.address != document.address);
    announced(
        shared,
        Said {
            service: document.service.into(),
            slots: document.slots,
            state: document.state,
            instance: None,
            address: document.address,
            holds: Duration::from_millis(document.lease_ms),
        },
        is_new,
    );
    let renew = document.lease_ms / 3;
    let answer = serde_json::json!({"renew_within_ms": renew});
    Ok(json(StatusCode::OK, &answer))
}

/// What a backend server said of itself, in whatever language.
pub(crate) struct Said {
    pub(crate) service: ServiceId,
    pub(crate) slots: u16,
    pub(crate) state: BackendState,
    pub(crate) instance: Option<Arc<str>>,
    pub(crate) address: SocketAddr,
    /// How long it holds without a renewal.
    pub(crate) holds: Duration,
}

/// Takes over what the backend server said, and tells the fleet of what changed by it.
pub(crate) fn announced(shared: &Arc<Shared>, said: Said, is_new: bool) {
    let before = shared.local.announced();
    let life = match &before {
        Some(before) if !is_new => before.backend.life,
        _ => shared.next_life(),
    };
    let backend = Backend {
        service: said.service,
        slots: said.slots,
        state: said.state,
        life,
        instance: said.instance,
    };
    let now = Instant::now();
    shared.local.announce(Announcement {
        backend: backend.clone(),
        address: said.address,
        until: now + said.holds,
    });
    if before.is_none_or(|before| before.backend != backend) {
        shared.gate.announced(now, backend.slots, is_new);
        if is_new {
            shared.soundness().reset();
        }
        record(shared, &backend);
        shared.backend_changed();
    }
}

/// Records what a backend server announced.
fn record(shared: &Shared, backend: &Backend) {
    shared.journal.emit(
        Event::BackendAnnounced,
        &[
            ("service", &backend.service),
            ("state", &format!("{:?}", backend.state)),
            ("slots", &backend.slots),
        ],
    );
}

fn parent(shared: &Shared, req: &Request) -> Result<Arc<Parent>, Refusal> {
    let bad = |detail: &str| Refusal::not_run(Reason::BadRequest, detail);
    let token = headers::single(&req.head.headers, &headers::CONTEXT)?
        .ok_or_else(|| bad("a downstream call needs Nutmegwheel-Context"))?;
    let token = u128::from_str_radix(token, 16).ok();
    token
        .and_then(|token| shared.running.parent(token))
        .ok_or_else(|| bad("Nutmegwheel-Context names no request that runs"))
}

async fn downstream(
    shared: &Arc<Shared>,
    req: Request,
    parent: &Parent,
) -> Result<Answer, Refusal> {
    let name = headers::single(&req.head.headers, &headers::CALL)?.map(str::to_owned);
    let given = headers::idempotency_key(&req.head.headers)?.map(str::to_owned);
    let mut call = child(shared, req, parent)?;
    call.name = door::name(shared, &call, given.as_deref())?;
    let id = forward::call_id(&call, name.as_deref());
    forward::forward(shared, parent, call, id).await
}

/// Goes one call deeper in a chain.
pub(crate) fn descend(context: &mut Context) -> Result<(), Refusal> {
    if context.depth >= DEPTH_MAX {
        let detail = format!("the chain is more than {DEPTH_MAX} calls deep");
        return Err(Refusal::not_run(Reason::BadRequest, detail));
    }
    context.depth += 1;
    Ok(())
}

fn child(shared: &Shared, req: Request, parent: &Parent) -> Result<Call, Refusal> {
    let path = Path::read(&req.head.uri)?;
    let view = shared.views.current();
    let route = door::find_route(&view, path.service, path.endpoint)?;
    let mut context = parent.context.clone();
    descend(&mut context)?;
    let marked = headers::non_idempotent(&req.head.headers)?;
    context.non_idempotent = marked || route.non_idempotent;
    Ok(Call {
        service: path.service.into(),
        endpoint: path.endpoint.into(),
        method: req.head.method.clone(),
        path: path.whole.to_owned(),
        fields: headers::passed_on(&req.head.headers),
        body: req.body,
        deadline: parent.deadline,
        context,
        key: parent.key,
        name: None,
        attempt: None,
        max_servers: None,
    })
}
