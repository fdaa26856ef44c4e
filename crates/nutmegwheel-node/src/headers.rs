//! Header fields of the native dialect; see docs/INTERFACES.md.

use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue, header};
use nutmegwheel_types::KeyHash;

use crate::refusal::{Reason, Refusal};

pub(crate) const CALL: HeaderName = HeaderName::from_static("nutmegwheel-call");
pub(crate) const CONTEXT: HeaderName = HeaderName::from_static("nutmegwheel-context");
pub(crate) const DEADLINE: HeaderName = HeaderName::from_static("nutmegwheel-deadline-ms");
pub(crate) const NON_IDEMPOTENT: HeaderName = HeaderName::from_static("nutmegwheel-non-idempotent");
pub(crate) const OUTCOME: HeaderName = HeaderName::from_static("nutmegwheel-outcome");
pub(crate) const REPLAYED: HeaderName = HeaderName::from_static("nutmegwheel-replayed");
pub(crate) const REQUEST: HeaderName = HeaderName::from_static("nutmegwheel-request");
pub(crate) const WORKSPACE: HeaderName = HeaderName::from_static("nutmegwheel-workspace");
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// The prefix of fields that belong to the system. A caller's own fields with this prefix are
/// dropped.
const PREFIX: &str = "nutmegwheel-";
/// Fields of a single connection (RFC 9110, section 7.6.1), or fields that the next hop writes
/// itself.
const PER_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::CONTENT_LENGTH,
    header::EXPECT,
];
/// The maximum deadline, in ms.
const MAX_DEADLINE_MS: u64 = 600_000;
/// The minimum length of a workspace key, in bytes.
const MIN_KEY_BYTES: usize = 16;
/// The maximum length of a workspace key, in bytes.
const MAX_KEY_BYTES: usize = 256;
/// The maximum length of an idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 128;

/// The value of a field that may occur at most once, or `None` if the field is missing.
pub(crate) fn single_value<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
) -> Result<Option<&'a str>, Refusal> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(invalid(format!("{name} appears twice")));
    }
    let text = value.to_str().ok();
    text.filter(|text| text.bytes().all(|b| (0x20..0x7f).contains(&b)))
        .map(Some)
        .ok_or_else(|| invalid(format!("{name} is not visible ASCII")))
}

/// The hash of the workspace key in `Authorization`, or `None` without that field.
pub(crate) fn key(headers: &HeaderMap) -> Result<Option<KeyHash>, Refusal> {
    let Some(value) = single_value(headers, &header::AUTHORIZATION)? else {
        return Ok(None);
    };
    let token = value
        .split_once(' ')
        .filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer"))
        .map(|(_, token)| token.trim())
        .filter(|token| (MIN_KEY_BYTES..=MAX_KEY_BYTES).contains(&token.len()))
        .ok_or_else(|| invalid("Authorization is not Bearer with a key of 16 to 256 characters"))?;
    Ok(Some(nutmegwheel_config::hash_key(token.as_bytes())))
}

/// The time limit that the caller sets for the request, counted from its arrival.
pub(crate) fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, Refusal> {
    let Some(value) = single_value(headers, &DEADLINE)? else {
        return Ok(None);
    };
    let digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
    let millis = digits.then(|| value.parse().ok()).flatten();
    millis
        .filter(|n| *n <= MAX_DEADLINE_MS)
        .map(|n| Some(Duration::from_millis(n)))
        .ok_or_else(|| {
            invalid(format!(
                "{DEADLINE} is not a number from 0 to {MAX_DEADLINE_MS}"
            ))
        })
}

/// Whether the caller marks the request as non-idempotent, so that it runs at most once.
pub(crate) fn non_idempotent(headers: &HeaderMap) -> Result<bool, Refusal> {
    match single_value(headers, &NON_IDEMPOTENT)? {
        None | Some("false") => Ok(false),
        Some("true") => Ok(true),
        Some(_) => Err(invalid(format!("{NON_IDEMPOTENT} is not true or false"))),
    }
}

/// The idempotency key, which identifies the request over all its resends.
pub(crate) fn idempotency_key(headers: &HeaderMap) -> Result<Option<&str>, Refusal> {
    match single_value(headers, &IDEMPOTENCY_KEY)? {
        Some(id) if id.is_empty() || id.len() > MAX_IDEMPOTENCY_KEY_BYTES => Err(invalid(format!(
            "{IDEMPOTENCY_KEY} is not 1 to {MAX_IDEMPOTENCY_KEY_BYTES} characters"
        ))),
        id => Ok(id),
    }
}

/// The end-to-end fields, which are forwarded to the next hop.
pub(crate) fn forwarded_fields(headers: &HeaderMap) -> Vec<(HeaderName, HeaderValue)> {
    let connection_named: Vec<HeaderName> = connection_options(headers);
    let is_dropped = |name: &HeaderName| {
        name.as_str().starts_with(PREFIX)
            || *name == header::AUTHORIZATION
            || name.as_str() == "keep-alive"
            || name.as_str() == "proxy-connection"
            || PER_HOP.contains(name)
            || connection_named.contains(name)
    };
    let fields = headers.iter().filter(|(name, _)| !is_dropped(name));
    fields
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

fn connection_options(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(header::CONNECTION).iter();
    values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect()
}

fn invalid(detail: impl Into<String>) -> Refusal {
    Refusal::not_run(Reason::BadRequest, detail)
}
