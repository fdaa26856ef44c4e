use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, StatusCode, header};
use nutmegwheel_http1::Malformed;
use nutmegwheel_types::plain;
use serde::Serialize;

use crate::Response;

/// The retry delay for callers whose request was evicted: another node probably has room at once.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(100);

plain! {
    /// A refusal as a problem document (RFC 9457); see docs/INTERFACES.md, "Refusals".
    pub struct Problem {
        /// The HTTP status code of the response.
        pub status: StatusCode,
        /// The stable identifier of the reason, for programs to match on.
        pub reason: &'static str,
        /// A human-readable explanation.
        pub detail: Box<str>,
        /// The invalid field, if a document was refused.
        pub field: Option<Box<str>>,
        /// The root id of the refused request, if it has one.
        pub request: Option<Box<str>>,
        /// Whether the request ran: the value of the `Nutmegwheel-Outcome` header field.
        pub outcome: Option<&'static str>,
        /// The time after which a retry is useful.
        pub retry_after: Option<Duration>,
        /// Whether the connection is closed after the response.
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

impl Problem {
    /// Builds a refusal from a status, a reason and an explanation.
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

    /// Builds a refusal with status 400 for a malformed request.
    pub fn bad_request(detail: impl Into<Box<str>>) -> Self {
        Self::new(StatusCode::BAD_REQUEST, "bad-request", detail).not_run()
    }

    /// Builds a refusal with status 413 for a body of more than `limit` bytes.
    ///
    /// The rest of the body is not read, so the connection is closed.
    #[must_use]
    pub fn body_too_large(limit: usize) -> Self {
        let detail = format!("the body is larger than {limit} bytes");
        Self::new(StatusCode::PAYLOAD_TOO_LARGE, "body-too-large", detail)
            .not_run()
            .with_close()
    }

    /// Builds a refusal with status 503 for a request that was evicted for others before it had arrived
    /// completely.
    #[must_use]
    pub fn out_of_memory() -> Self {
        let detail = "the memory for incomplete requests is used up";
        let mut problem = Self::new(StatusCode::SERVICE_UNAVAILABLE, "out-of-memory", detail);
        problem.retry_after = Some(MEMORY_RETRY_AFTER);
        problem.not_run().with_close()
    }

    /// Builds a refusal with status 408 for a request whose bytes arrive too slowly.
    #[must_use]
    pub fn too_slow() -> Self {
        let detail = "the body does not arrive fast enough";
        Self::new(StatusCode::REQUEST_TIMEOUT, "body-too-slow", detail)
            .not_run()
            .with_close()
    }

    /// Builds a refusal with status 431 for a request head that exceeds a limit.
    pub fn head_too_large(detail: impl Into<Box<str>>) -> Self {
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        Self::new(status, "head-too-large", detail).not_run()
    }

    /// States that the request has certainly not run.
    #[must_use]
    pub fn not_run(mut self) -> Self {
        self.outcome = Some("not-run");
        self
    }

    /// States that the connection is closed after the response.
    #[must_use]
    pub fn with_close(mut self) -> Self {
        self.close = true;
        self
    }
}

impl From<Malformed> for Problem {
    fn from(e: Malformed) -> Self {
        match e {
            Malformed::HeadTooLarge => Self::head_too_large(e.to_string()),
            Malformed::BodyTooLarge(limit) => Self::body_too_large(limit),
            Malformed::Head | Malformed::Length | Malformed::Body => {
                Self::bad_request(e.to_string())
            }
        }
    }
}

impl Problem {
    /// Converts the refusal into an HTTP response.
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
