use bytes::Bytes;
use http::{HeaderValue, StatusCode, header, request::Parts};
use nutmegwheel_events::Journal;
use serde::Serialize;
use subtle::ConstantTimeEq as _;

use crate::{Problem, Response};

/// Checks that a request carries the operator secret.
///
/// # Errors
///
/// Returns a refusal with status 401 if the secret is missing or wrong, or if the settings have no
/// operator secret.
pub fn authorize(head: &Parts, secret: Option<&str>) -> Result<(), Problem> {
    let refused = || {
        let detail = "the operators' secret is missing or wrong";
        Problem::new(StatusCode::UNAUTHORIZED, "no-secret", detail)
    };
    let secret = secret.ok_or_else(refused)?;
    let token = bearer(head).ok_or_else(refused)?;
    if bool::from(token.as_bytes().ct_eq(secret.as_bytes())) {
        Ok(())
    } else {
        Err(refused())
    }
}

/// Returns the token of an `Authorization: Bearer` header field.
#[must_use]
pub fn bearer(head: &Parts) -> Option<&str> {
    let value = head.headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}

/// Builds a JSON response.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response {
    let body = serde_json::to_vec(value).unwrap_or_default();
    with_content_type(status, "application/json", body)
}

/// Builds a response with the given content type.
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

/// Builds a response with the journal entries after the number in the query `?after=`, as JSON
/// lines.
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
