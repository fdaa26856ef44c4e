use std::sync::Arc;

use http::{Method, StatusCode};
use nutmegwheel_web::{
    Handler, HandlerFuture, Problem, Request, Response, authorize, events, json,
};
use serde_json::json as value;

use crate::shared::Shared;

/// Answers the platform and operators on a node.
pub(crate) struct Platform {
    pub(crate) shared: Arc<Shared>,
}

impl Handler for Platform {
    fn handle(&self, req: Request) -> HandlerFuture {
        let shared = self.shared.clone();
        Box::pin(async move { answer(&shared, &req).unwrap_or_else(Problem::into_response) })
    }
}

fn answer(shared: &Shared, req: &Request) -> Result<Response, Problem> {
    match (&req.head.method, req.head.uri.path()) {
        (&Method::GET, "/livez") => Ok(json(StatusCode::OK, &value!({"ok": true}))),
        (&Method::GET, "/readyz") => readiness(shared),
        (&Method::GET, path) if path.starts_with("/v1/") => {
            authorize(&req.head, &shared.settings.operator_secret)?;
            view(shared, req, path)
        }
        _ => Err(unknown_route()),
    }
}

fn readiness(shared: &Shared) -> Result<Response, Problem> {
    let why = if shared.is_leaving() {
        "the node is leaving"
    } else if shared.views.version() == 0 {
        "the node has no configuration yet"
    } else {
        return Ok(json(StatusCode::OK, &value!({"ok": true})));
    };
    Err(Problem::new(
        StatusCode::SERVICE_UNAVAILABLE,
        "not-ready",
        why,
    ))
}

fn view(shared: &Shared, req: &Request, path: &str) -> Result<Response, Problem> {
    match path {
        "/v1/status" => Ok(status(shared)),
        "/v1/events" => Ok(events(&shared.journal, &req.head)),
        _ => Err(unknown_route()),
    }
}

fn status(shared: &Shared) -> Response {
    let shown = value!({
        "name": shared.settings.name,
        "data_centre": shared.settings.data_centre,
        "incarnation": shared.incarnation,
        "version": shared.views.version(),
        "members": shared.directory.members(),
        "running": shared.running.count(),
    });
    json(StatusCode::OK, &shown)
}

fn unknown_route() -> Problem {
    Problem::new(
        StatusCode::NOT_FOUND,
        "unknown-route",
        "see docs/INTERFACES.md",
    )
}
