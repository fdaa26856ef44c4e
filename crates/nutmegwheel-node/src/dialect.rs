//! The protocol that callers, backend servers and the platform speak, as a trait that an adapter
//! implements.

use std::{net::SocketAddr, time::Duration};

use http::{HeaderMap, HeaderName, HeaderValue, request, response};
use nutmegwheel_policy::{answer::Marks, registration::Instance};
use nutmegwheel_types::{KeyHash, ServiceId, WorkspaceId, plain};
use nutmegwheel_web::{Request, Response};

use crate::refusal::{Outcome, Reason};

plain! {
    /// The metadata of a caller's request, as a dialect reads it from the header fields.
    pub struct RequestInfo {
        /// The host, as spelled in the request.
        pub host: String,
        /// The caller's id of this attempt.
        pub id: HeaderValue,
        /// The id of the request for which a backend server makes this call, if it may be such a
        /// call.
        pub parent: Option<String>,
        /// How long the caller waits for the answer, or `None` if the request sets no limit.
        pub deadline: Option<Duration>,
        /// The hash of the workspace key, or `None` if the request has none.
        pub key: Option<KeyHash>,
    }

    /// The values of the fields that the ingress node adds to a request for the backend server.
    pub struct IngressFields<'a> {
        /// The caller's id of this attempt.
        pub id: &'a HeaderValue,
        /// The workspace of the key in the request, or `None` if the request needs no key.
        pub workspace: Option<&'a WorkspaceId>,
        /// The service of the backend server local to the ingress node, if the settings name one.
        pub origin: Option<&'a ServiceId>,
    }

    /// The values of the fields that the backend server's node adds to a request.
    pub struct TargetFields<'a> {
        /// The time left until the deadline.
        pub remaining: Duration,
        /// The id of the backend server instance for which the request is meant.
        pub instance: Option<&'a str>,
    }

    /// A refusal to be written as a response to the caller.
    pub struct Refused<'a> {
        /// The reason of the refusal.
        pub reason: Reason,
        /// Whether the request may have run, and whether it may be resent.
        pub outcome: Outcome,
        /// A human-readable explanation of the refusal.
        pub detail: &'a str,
        /// The delay after which a retry may succeed, or `None` if no retry is worthwhile.
        pub retry_after: Option<Duration>,
        /// The caller's id of the attempt, if it could be read.
        pub id: Option<&'a HeaderValue>,
    }

    /// The state of a backend server, as it or another process reports it.
    pub enum Heartbeat {
        /// The backend server is running.
        Alive(Alive),
        /// The instance has ended or is about to end.
        Gone {
            /// The id of the backend server.
            id: String,
            /// When the instance started, in ms of the wall clock of its VM; `None` means the
            /// current one.
            started_at_ms: Option<u64>,
        },
    }

    /// A heartbeat of a running backend server.
    pub struct Alive {
        /// The instance that the heartbeat is about.
        pub instance: Instance,
        /// The number of this heartbeat within the instance.
        pub sequence: u64,
        /// The service that the backend server provides.
        pub service: ServiceId,
        /// The address at which the backend server accepts requests from its node.
        pub address: SocketAddr,
        /// The number of requests that it runs concurrently.
        pub slots: u16,
        /// Whether the backend server accepts new requests.
        pub is_ready: bool,
        /// How much longer the backend server is cold, which is zero if it is warm.
        pub cold_remaining: Duration,
    }
}

/// What a backend server says about itself in an answer. A field that cannot be read is an error
/// with its text.
#[derive(Clone, Debug, PartialEq)]
pub struct Notice {
    /// The limit that it names, in requests per second of all nodes, or `None` if it names none, so
    /// that an earlier one has ended. It is finite and not negative.
    pub rate: Result<Option<f64>, String>,
    /// Whether it says that it leaves, after which it must get no new requests.
    pub is_leaving: Result<bool, String>,
}

/// Header fields in the order in which they are forwarded.
pub type Fields = Vec<(HeaderName, HeaderValue)>;

/// Reads and writes the messages of a platform's protocol. All decisions are made by the caller.
pub trait Dialect: Send + Sync + 'static {
    /// Whether the request is a readiness probe of the platform.
    fn is_readiness_probe(&self, head: &request::Parts) -> bool;
    /// Writes the response to a readiness probe.
    fn readiness(&self, is_ready: bool) -> Response;
    /// Reads a heartbeat. Returns `None` if the request is not a heartbeat, and `Err` with a
    /// description of the fault if the heartbeat is malformed.
    fn read_heartbeat(&self, req: &Request) -> Option<Result<Heartbeat, String>>;
    /// Acknowledges a heartbeat, or refuses it with the given fault.
    fn acknowledge(&self, result: Result<(), String>) -> Response;
    /// The host that a caller's request names, which selects its route together with the path.
    fn host<'a>(&self, head: &'a request::Parts) -> Option<&'a str>;
    /// Reads a caller's request.
    ///
    /// # Errors
    ///
    /// Describes what is malformed.
    fn read_request(&self, head: &request::Parts) -> Result<RequestInfo, String>;
    /// Removes all fields that are reserved for the system and writes those of the ingress node.
    fn set_ingress_fields(&self, fields: &mut Fields, ingress: &IngressFields<'_>);
    /// Finds the caller's id among the fields of a request.
    fn request_id<'a>(&self, fields: &'a [(HeaderName, HeaderValue)]) -> Option<&'a HeaderValue>;
    /// Writes the fields of the backend server's node.
    fn set_target_fields(&self, fields: &mut HeaderMap, target: &TargetFields<'_>);
    /// Reads the head of an answer that arrived where the answer to the request with these fields
    /// is due.
    fn read_answer(&self, fields: &[(HeaderName, HeaderValue)], head: &response::Parts) -> Marks;
    /// Reads what a backend server says about itself in an answer.
    fn read_notice(&self, head: &response::Parts) -> Notice;
    /// Writes a refusal as a response.
    fn refuse(&self, refused: &Refused<'_>) -> Response;
}
