//! The language of callers, backend servers and the platform, as a port that an adapter fills.

use std::{net::SocketAddr, time::Duration};

use http::{HeaderMap, HeaderName, HeaderValue, request, response};
use nutmegwheel_policy::registration::Instance;
use nutmegwheel_types::{KeyHash, ServiceId, WorkspaceId, plain, plain_copy};
use nutmegwheel_web::{Request, Response};

use crate::refusal::{Outcome, Reason};

plain! {
    /// What a caller's request says of itself.
    pub struct RequestInfo {
        /// The host, as the request spells it.
        pub host: String,
        /// The caller's id of this attempt.
        pub id: HeaderValue,
        /// The id of the request that this one is a call of, where it may be one.
        pub parent: Option<String>,
        /// The time that the caller waits.
        pub deadline: Option<Duration>,
        /// The hash of the key that it shows.
        pub key: Option<KeyHash>,
    }

    /// What the door of a request writes on it for the backend server.
    pub struct IngressFields<'a> {
        /// The caller's id of this attempt.
        pub id: &'a HeaderValue,
        /// For whom it runs.
        pub workspace: Option<&'a WorkspaceId>,
        /// The service beside whose backend server the request began.
        pub origin: Option<&'a ServiceId>,
    }

    /// What the last hop writes on a request.
    pub struct TargetFields<'a> {
        /// The time left.
        pub remaining: Duration,
        /// The life of the backend server that is meant.
        pub instance: Option<&'a str>,
    }

    /// A refusal, to be written as an answer to the caller.
    pub struct Refused<'a> {
        /// Why it was refused.
        pub reason: Reason,
        /// Whether the request ran.
        pub outcome: Outcome,
        /// What a person needs to know.
        pub detail: &'a str,
        /// When it is worth asking again.
        pub retry_after: Option<Duration>,
        /// The caller's id of the attempt, where it could be read.
        pub id: Option<&'a HeaderValue>,
    }

    /// What a backend server, or somebody in its name, says of it.
    pub enum Heartbeat {
        /// It is there.
        Alive(Alive),
        /// Its life has ended or ends now.
        Gone {
            /// Its id.
            id: String,
            /// When that life started, in ms of its VM's wall clock.
            started_at_ms: Option<u64>,
        },
    }

    /// A backend server that is there.
    pub struct Alive {
        /// Its present life.
        pub instance: Instance,
        /// The number of this heartbeat in that life.
        pub sequence: u64,
        /// Its service.
        pub service: ServiceId,
        /// Where it takes requests of its node.
        pub address: SocketAddr,
        /// The requests that it works on at a time.
        pub slots: u16,
        /// Whether it takes new requests.
        pub is_ready: bool,
    }
}

plain_copy! {
    /// What a backend server's answer says of the request.
    pub enum AnswerKind {
        /// It is the answer to it.
        Answered,
        /// The backend server refused it for lack of capacity, without running it.
        Shed,
        /// The address belongs to another backend server, which did not run it.
        OtherServer,
        /// It is the answer to another request; what became of this one is not known.
        OtherRequest,
    }
}

/// Header fields as they are passed on.
pub type Fields = Vec<(HeaderName, HeaderValue)>;

/// Reads and writes the language of a platform; it decides nothing.
pub trait Dialect: Send + Sync + 'static {
    /// Whether the platform asks whether the node is ready.
    fn is_readiness_probe(&self, head: &request::Parts) -> bool;
    /// Tells the platform whether the node is ready.
    fn readiness(&self, is_ready: bool) -> Response;
    /// Reads a call of the backend server; `Err` says what is wrong with it, and `None` that it is
    /// no such call.
    fn read_heartbeat(&self, req: &Request) -> Option<Result<Heartbeat, String>>;
    /// Acknowledges a heartbeat, or refuses it with what is wrong.
    fn acknowledge(&self, result: Result<(), String>) -> Response;
    /// Reads a caller's request.
    ///
    /// # Errors
    ///
    /// Says what is wrong with it.
    fn read_request(&self, head: &request::Parts) -> Result<RequestInfo, String>;
    /// Replaces the fields that belong to the system by its own.
    fn set_ingress_fields(&self, fields: &mut Fields, ingress: &IngressFields<'_>);
    /// The caller's id among the fields of a request.
    fn request_id<'a>(&self, fields: &'a [(HeaderName, HeaderValue)]) -> Option<&'a HeaderValue>;
    /// Writes the fields of the last hop.
    fn set_target_fields(&self, fields: &mut HeaderMap, target: &TargetFields<'_>);
    /// Says what an answer means to the request with these fields.
    fn classify_answer(
        &self,
        fields: &[(HeaderName, HeaderValue)],
        head: &response::Parts,
    ) -> AnswerKind;
    /// Writes a refusal.
    fn refuse(&self, refused: &Refused<'_>) -> Response;
}
