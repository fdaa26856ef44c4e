use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Method, StatusCode};
use nutmegwheel_seeds::{AttemptId, attempt_from_wire, attempt_to_wire};
use nutmegwheel_types::{Context, EndpointId, KeyHash, ServiceId, plain};
use nutmegwheel_web::Response;
use nutmegwheel_wire as wire;
use nutmegwheel_wire::Malformed;

use crate::at_most_once::RequestClaim;

plain! {
    /// A request on its way to a backend server.
    pub(crate) struct Call {
        pub(crate) service: ServiceId,
        pub(crate) endpoint: EndpointId,
        pub(crate) method: Method,
        /// The path and query as the caller wrote them.
        pub(crate) path: String,
        pub(crate) fields: Vec<(HeaderName, HeaderValue)>,
        pub(crate) body: Bytes,
        /// The context. Its remaining time is that at the start of the hop; see `deadline`.
        pub(crate) context: Context,
        /// The hash of the key that came with the root request.
        pub(crate) key: Option<KeyHash>,
        pub(crate) deadline: Instant,
        /// The claim, if the call may run at most once and its caller gave an idempotency key.
        pub(crate) claim: Option<RequestClaim>,
        /// The id of the attempt, if the call may run at most once.
        pub(crate) attempt: Option<AttemptId>,
        /// The maximum number of backend servers that the call may reach, if its route limits it.
        pub(crate) max_servers: Option<u32>,
    }

    /// The complete answer of a backend server.
    pub(crate) struct Answer {
        pub(crate) status: StatusCode,
        pub(crate) fields: Vec<(HeaderName, HeaderValue)>,
        pub(crate) body: Bytes,
    }
}

impl Answer {
    /// Reads an answer as it is sent over links and stored by seeds.
    pub(crate) fn from_wire(
        status: u32,
        fields: Vec<wire::Field>,
        body: Bytes,
    ) -> Result<Self, Malformed> {
        let status = u16::try_from(status).ok();
        let status = status.and_then(|status| StatusCode::from_u16(status).ok());
        Ok(Self {
            status: status.ok_or(Malformed { field: "status" })?,
            fields: fields_from_wire(fields)?,
            body,
        })
    }

    /// Converts the answer into the response to the caller.
    pub(crate) fn into_response(self) -> Response {
        let mut res = Response::new(self.body);
        *res.status_mut() = self.status;
        for (name, value) in self.fields {
            res.headers_mut().append(name, value);
        }
        res
    }

    /// Whether the backend server failed the request, so that another one may serve it.
    pub(crate) fn is_failure(&self) -> bool {
        matches!(
            self.status,
            StatusCode::INTERNAL_SERVER_ERROR
                | StatusCode::BAD_GATEWAY
                | StatusCode::SERVICE_UNAVAILABLE
        )
    }

    /// Whether callers treat this answer as a failure and resend the call.
    pub(crate) fn prompts_resend(&self) -> bool {
        let asks = [
            StatusCode::REQUEST_TIMEOUT,
            StatusCode::TOO_EARLY,
            StatusCode::TOO_MANY_REQUESTS,
        ];
        self.status.is_server_error() || asks.contains(&self.status)
    }
}

impl Call {
    /// Writes the head of the message that sends the call to an incarnation of a node with `time`
    /// left.
    pub(crate) fn to_wire(&self, time: Duration, target_incarnation: u64) -> wire::CallHead {
        let mut context = self.context.clone();
        context.remaining = time;
        wire::CallHead {
            stamp: None,
            context: Some(wire::context_to_wire(&context, self.key.as_ref())),
            service: self.service.to_string(),
            endpoint: self.endpoint.to_string(),
            method: self.method.to_string(),
            path_and_query: self.path.clone(),
            fields: fields_to_wire(&self.fields),
            attempt: self.attempt.as_ref().map(attempt_to_wire),
            target_incarnation,
            claim: self.claim.as_ref().map(|claim| wire::Claim {
                id: Bytes::copy_from_slice(&claim.id),
                home: claim.home.to_string(),
            }),
        }
    }

    /// Reads a call at its target; `now` is the time at which it arrived.
    pub(crate) fn from_wire(
        head: wire::CallHead,
        body: Bytes,
        now: Instant,
    ) -> Result<Self, Malformed> {
        let context = head.context.ok_or(Malformed { field: "context" })?;
        let (context, key) = wire::context_from_wire(&context)?;
        let method = head.method.parse();
        Ok(Self {
            service: head.service.into(),
            endpoint: head.endpoint.into(),
            method: method.map_err(|_| Malformed { field: "method" })?,
            path: head.path_and_query,
            fields: fields_from_wire(head.fields)?,
            body,
            deadline: now + context.remaining,
            context,
            key,
            claim: head.claim.map(claim_from_wire).transpose()?,
            attempt: head.attempt.map(attempt_from_wire),
            max_servers: None,
        })
    }
}

fn claim_from_wire(claim: wire::Claim) -> Result<RequestClaim, Malformed> {
    let id = claim.id.as_ref().try_into();
    Ok(RequestClaim {
        id: id.map_err(|_| Malformed { field: "claim" })?,
        home: claim.home.into(),
    })
}

pub(crate) fn fields_to_wire(fields: &[(HeaderName, HeaderValue)]) -> Vec<wire::Field> {
    let fields = fields.iter();
    fields
        .map(|(name, value)| wire::Field {
            name: name.to_string(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

pub(crate) fn fields_from_wire(
    fields: Vec<wire::Field>,
) -> Result<Vec<(HeaderName, HeaderValue)>, Malformed> {
    let malformed = Malformed { field: "fields" };
    fields
        .into_iter()
        .map(|field| {
            let name = field.name.parse().map_err(|_| malformed.clone())?;
            let value = HeaderValue::from_maybe_shared(field.value);
            Ok((name, value.map_err(|_| malformed.clone())?))
        })
        .collect()
}
