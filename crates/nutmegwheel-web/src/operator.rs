use bytes::Bytes;
use http::{HeaderValue, StatusCode, header, request::Parts};
use nutmegwheel_events::Journal;
use serde::Serialize;
use subtle::ConstantTimeEq as _;

use crate::{Problem, Response};

/// Checks that a request carries the operators' secret.
///
/// # Errors
///
/// Refuses with 401 when the secret is missing or wrong, and always when the settings name none.
pub fn authorize(head: &Parts, secret: Option<&str>) -> Result<(), Problem> {
    let refused = || {
        let detail = "the operators' secret is missing or wrong";
        Problem::new(StatusCode::UNAUTHORIZED, "no-secret", detail)
    };
    let secret = secret.ok_or_else(refused)?;
    let shown = bearer(head).ok_or_else(refused)?;
    if bool::from(shown.as_bytes().ct_eq(secret.as_bytes())) {
        Ok(())
    } else {
        Err(refused())
    }
}

/// The token of an `Authorization: Bearer` header field.
#[must_use]
pub fn bearer(head: &Parts) -> Option<&str> {
    let value = head.headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}

/// An answer in JSON.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response {
    let body = serde_json::to_vec(value).unwrap_or_default();
    with_content_type(status, "application/json", body)
}

/// An answer of the given content type.
pub fn with_content_type(
    status: StatusCode,
    kind: &'static str,
    body: impl Into<Bytes>,
) -> Response {
    let mut res = Response::new(body.into());
    *res.status_mut() = status;
    let kind = HeaderValue::from_static(kind);
    res.headers_mut().insert(header::CONTENT_TYPE, kind);
    res
}

/// The kept events after the one that `?after=` names, as JSON lines.
pub fn events(journal: &Journal, head: &Parts) -> Response {
    let query = head.uri.query().unwrap_or_default();
    let after = query.strip_prefix("after=").and_then(|n| n.parse().ok());
    let mut body = Vec::new();
    for record in journal.after(after.unwrap_or(0)) {
        body.extend(serde_json::to_vec(&record).unwrap_or_default());
        body.push(b'\n');
    }
    with_content_type(StatusCode::OK, "application/jsonl", body)
}
