use std::sync::Arc;

use http::{Method, StatusCode};
use nutmegwheel_spread::{Decision, FenceReason, WithdrawalState};
use nutmegwheel_types::KeyHash;
use nutmegwheel_web::{
    Handler, HandlerFuture, Problem, Request, Response, authorize, events, json, with_content_type,
};
use serde_json::json as value;

use crate::{members, shared::Shared};

/// The content type of `OpenMetrics` text.
const OPEN_METRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Handles the probes and scrapes of the platform and the requests of operators.
pub(crate) struct PlatformHandler {
    pub(crate) shared: Arc<Shared>,
}

impl Handler for PlatformHandler {
    fn handle(&self, req: Request) -> HandlerFuture {
        let shared = self.shared.clone();
        Box::pin(async move {
            if let Some(dialect) = &shared.dialect
                && dialect.is_readiness_probe(&req.head)
            {
                return dialect.readiness(readiness(&shared).is_ok());
            }
            answer(&shared, &req).unwrap_or_else(Problem::into_response)
        })
    }
}

fn answer(shared: &Arc<Shared>, req: &Request) -> Result<Response, Problem> {
    match (&req.head.method, req.head.uri.path()) {
        (&Method::GET, "/livez") => Ok(json(StatusCode::OK, &value!({"ok": true}))),
        (&Method::GET, "/readyz") => readiness(shared),
        (&Method::GET, "/metrics") => {
            let text = shared.metrics.encode_text(shared);
            Ok(with_content_type(StatusCode::OK, OPEN_METRICS, text))
        }
        (method, path) if path.starts_with("/v1/") => {
            authorize(&req.head, shared.settings.operator_secret.as_deref())?;
            operator(shared, req, method, path)
        }
        _ => Err(unknown_route()),
    }
}

fn readiness(shared: &Shared) -> Result<Response, Problem> {
    let detail = if shared.is_leaving() {
        "the node is leaving"
    } else {
        match shared.gossip.decide() {
            Decision::Serve
                if !shared.has_token_servers() || shared.token_limiter.has_token_server() =>
            {
                return Ok(json(StatusCode::OK, &value!({"ok": true})));
            }
            Decision::Serve => "the data centre's steward does not answer",
            Decision::Fenced(FenceReason::NoConfiguration) => "the node has no configuration yet",
            Decision::Fenced(FenceReason::NoMajority) => {
                "no majority of the seeds confirms the node"
            }
            Decision::Fenced(FenceReason::CutOff) => "the data centre is cut off",
        }
    };
    Err(Problem::new(
        StatusCode::SERVICE_UNAVAILABLE,
        "not-ready",
        detail,
    ))
}

fn operator(
    shared: &Arc<Shared>,
    req: &Request,
    method: &Method,
    path: &str,
) -> Result<Response, Problem> {
    match (method, path, path.strip_prefix("/v1/withdrawals/")) {
        (&Method::GET, "/v1/status", _) => Ok(status(shared)),
        (&Method::GET, "/v1/events", _) => Ok(events(&shared.journal, &req.head)),
        (&Method::PUT, _, Some(hash)) => {
            let hash = read_hash(hash)?;
            members::handle(shared, shared.gossip.withdraw(hash, false));
            withdrawal(shared, &hash)
        }
        (&Method::GET, _, Some(hash)) => withdrawal(shared, &read_hash(hash)?),
        _ => Err(unknown_route()),
    }
}

fn withdrawal(shared: &Shared, hash: &KeyHash) -> Result<Response, Problem> {
    let document = match shared.gossip.withdrawal(hash) {
        WithdrawalState::InForce => value!({"state": "in-force"}),
        WithdrawalState::Pending { waiting_for, .. } => {
            value!({"state": "pending", "waiting_for": waiting_for})
        }
        WithdrawalState::Unknown => {
            let detail = "this key was never withdrawn here";
            let status = StatusCode::NOT_FOUND;
            return Err(Problem::new(status, "not-withdrawn", detail));
        }
    };
    Ok(json(StatusCode::OK, &document))
}

fn read_hash(text: &str) -> Result<KeyHash, Problem> {
    let hash = nutmegwheel_types::hex::decode(text);
    hash.ok_or_else(|| Problem::bad_request(format!("{text:?} is not 64 hex digits")))
}

fn status(shared: &Shared) -> Response {
    let document = value!({
        "name": shared.settings.name,
        "data_centre": shared.settings.data_centre,
        "incarnation": shared.incarnation,
        "version": shared.views.version(),
        "evacuated": shared.evacuations.in_force(),
        "members": members::to_json(shared),
        "running": shared.running.count(),
        "waiting": shared.admission.report().waiting,
    });
    json(StatusCode::OK, &document)
}

fn unknown_route() -> Problem {
    Problem::new(
        StatusCode::NOT_FOUND,
        "unknown-route",
        "see docs/INTERFACES.md",
    )
}
