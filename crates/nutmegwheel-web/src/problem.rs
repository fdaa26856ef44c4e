use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, StatusCode, header};
use nutmegwheel_types::plain;
use serde::Serialize;

use crate::Response;

plain! {
    /// A refusal as problem+json (RFC 9457); see docs/INTERFACES.md, "Refusals".
    pub struct Problem {
        /// The HTTP status.
        pub status: StatusCode,
        /// The stable word that programs match on.
        pub reason: &'static str,
        /// What a person needs to know.
        pub detail: Box<str>,
        /// The field of a refused document, where there is one.
        pub field: Option<Box<str>>,
        /// The root id of the refused request, where it has one.
        pub request: Option<Box<str>>,
        /// Whether the request ran, as the word of the `Nutmegwheel-Outcome` header field.
        pub outcome: Option<&'static str>,
        /// When it is worth asking again.
        pub retry_after: Option<Duration>,
        /// Whether the connection cannot be used any further.
        pub close: bool,
    }
}

#[derive(Serialize)]
struct Document<'a> {
    r#type: &'static str,
    title: &'static str,
    status: u16,
    reason: &'a str,
    detail: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    field: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    request: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    outcome: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

/// Construction.
impl Problem {
    /// A refusal with a status, its word and a detail for people.
    pub fn new(status: StatusCode, reason: &'static str, detail: impl Into<Box<str>>) -> Self {
        Self {
            status,
            reason,
            detail: detail.into(),
            field: None,
            request: None,
            outcome: None,
            retry_after: None,
            close: false,
        }
    }

    /// 400 for a request that is malformed.
    pub fn bad_request(detail: impl Into<Box<str>>) -> Self {
        Self::new(StatusCode::BAD_REQUEST, "bad-request", detail).not_run()
    }

    /// 413 for a body over `limit` bytes; what follows of it is not read, so the connection closes.
    #[must_use]
    pub fn body_too_large(limit: usize) -> Self {
        let detail = format!("the body is larger than {limit} bytes");
        Self::new(StatusCode::PAYLOAD_TOO_LARGE, "body-too-large", detail)
            .not_run()
            .with_close()
    }

    /// Says that the request is proved not to have run.
    #[must_use]
    pub fn not_run(mut self) -> Self {
        self.outcome = Some("not-run");
        self
    }

    /// Says that the connection is closed behind the answer.
    #[must_use]
    pub fn with_close(mut self) -> Self {
        self.close = true;
        self
    }
}

/// Answering.
impl Problem {
    /// Turns the refusal into an HTTP answer.
    #[must_use]
    pub fn into_response(self) -> Response {
        let document = Document {
            r#type: "about:blank",
            title: self.status.canonical_reason().unwrap_or("Refused"),
            status: self.status.as_u16(),
            reason: self.reason,
            detail: &self.detail,
            field: self.field.as_deref(),
            request: self.request.as_deref(),
            outcome: self.outcome,
            retry_after_ms: self.retry_after.map(millis),
        };
        let body = serde_json::to_vec(&document).unwrap_or_default();
        let mut res = Response::new(Bytes::from(body));
        *res.status_mut() = self.status;
        self.set_headers(&mut res);
        res
    }

    fn set_headers(&self, res: &mut Response) {
        let headers = res.headers_mut();
        let json = HeaderValue::from_static("application/problem+json");
        headers.insert(header::CONTENT_TYPE, json);
        if let Some(outcome) = self.outcome {
            headers.insert("nutmegwheel-outcome", HeaderValue::from_static(outcome));
        }
        if let Some(after) = self.retry_after {
            let seconds = millis(after).div_ceil(1000);
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
            headers.insert(
                "nutmegwheel-retry-after-ms",
                HeaderValue::from(millis(after)),
            );
        }
        if self.close {
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
