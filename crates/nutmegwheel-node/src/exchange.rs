//! One exchange of a request and its answer with the local backend server.

use std::{net::SocketAddr, time::Instant};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, Uri, header, uri::PathAndQuery};
use http_body_util::Full;
use hyper::body::Body as _;
use nutmegwheel_policy::answer::{self, Conclusion, Denial, Identity, Marks, Status};

use crate::{
    answer_body,
    backend::{Announcement, LocalBackend},
    call::{Answer, Call},
    connections::SendError,
    dialect::{Notice, TargetFields},
    headers,
    refusal::{Reason, Refusal},
    running::Token,
};

/// The maximum size of a backend server's answer, in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

impl LocalBackend {
    /// Sends a request to the backend server and returns the complete answer. `notice` is set as
    /// soon as the head of the answer arrives.
    pub(crate) async fn run(
        &self,
        server: &Announcement,
        call: &Call,
        token: Token,
        notice: &mut Option<Notice>,
    ) -> Result<Answer, Refusal> {
        let mut req = request(server.address, call)?;
        match &self.dialect {
            Some(dialect) => dialect.set_target_fields(req.headers_mut(), &target(server, call)),
            None => set_own_fields(req.headers_mut(), call, token)?,
        }
        let exchange = self.exchange(server.address, call, token, req, notice);
        let timeout = tokio::time::timeout_at(call.deadline.into(), exchange);
        timeout.await.unwrap_or_else(|_| {
            let detail = "the deadline passed while the backend server worked";
            Err(Refusal::may_have_run(Reason::Deadline, detail))
        })
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        call: &Call,
        token: Token,
        req: Request<Full<Bytes>>,
        notice: &mut Option<Notice>,
    ) -> Result<Answer, Refusal> {
        let context = context_text(token);
        let dialect = self.dialect.as_ref();
        let id = dialect.and_then(|dialect| dialect.request_id(&call.fields));
        let id = id.map_or(context.as_bytes(), HeaderValue::as_bytes);
        // A late second copy of a denial would be taken for the answer to the repeat.
        let avoids_denial = call.context.is_repeat && !call.context.non_idempotent;
        let sent = self.connections.send(address, id, avoids_denial, req).await;
        let (res, connection) = sent.map_err(|e| send_error(&e))?;
        let (parts, body) = res.into_parts();
        let marks = self.read_marks(call, &context, &parts);
        let conclusion = answer::conclude(marks, connection.was_denied());
        match conclusion {
            Conclusion::Answered | Conclusion::NotRun(Denial::Shed) => {
                let dialect = self.dialect.as_ref();
                *notice = dialect.map(|dialect| dialect.read_notice(&parts));
            }
            Conclusion::NotRun(Denial::OtherServer) => {}
            Conclusion::Unknown(doubt) => {
                let detail = format!(
                    "the answer with status {} is dropped: {doubt}",
                    parts.status
                );
                return Err(Refusal::may_have_run(Reason::BadAnswer, detail));
            }
        }
        if body.size_hint().lower() > MAX_ANSWER_BYTES as u64 {
            let detail = format!("the answer is larger than {MAX_ANSWER_BYTES} bytes");
            return Err(Refusal::may_have_run(Reason::AnswerTooLarge, detail));
        }
        let body = answer_body::read(body, MAX_ANSWER_BYTES, &self.account).await;
        let body = body.map_err(|e| read_error(&*e))?;
        connection.finish(marks.identity, conclusion);
        if let Conclusion::NotRun(denial) = conclusion {
            return Err(denied(denial));
        }
        Ok(Answer {
            status: parts.status,
            fields: headers::forwarded_fields(&parts.headers),
            body,
        })
    }
}

impl LocalBackend {
    fn read_marks(&self, call: &Call, context: &str, parts: &http::response::Parts) -> Marks {
        match &self.dialect {
            Some(dialect) => dialect.read_answer(&call.fields, parts),
            None => Marks {
                identity: own_identity(context, &parts.headers),
                status: own_status(parts.status),
                denial: is_shed(parts).then_some(Denial::Shed),
            },
        }
    }
}

/// The meaning of a status in the native dialect, where callers are told in a field whether their
/// request has run.
fn own_status(status: StatusCode) -> Status {
    if status.is_informational() {
        Status::Interim
    } else if status.is_success() {
        Status::Success { is_proved: true }
    } else {
        Status::Other
    }
}

/// Whether an answer in the native dialect shows to which request it belongs.
fn own_identity(context: &str, headers: &HeaderMap) -> Identity {
    let mut echoed = headers.get_all(&headers::CONTEXT).iter();
    match (echoed.next(), echoed.next()) {
        (None, _) => Identity::Unmarked,
        (Some(echoed), None) if echoed == context => Identity::Own,
        _ => Identity::Other,
    }
}

fn denied(denial: Denial) -> Refusal {
    match denial {
        Denial::Shed => Refusal::not_run(Reason::BackendShed, "the backend server sheds load"),
        Denial::OtherServer => {
            let detail = "another backend server has the address";
            Refusal::not_run(Reason::NoBackendServer, detail)
        }
    }
}

fn target<'a>(server: &'a Announcement, call: &Call) -> TargetFields<'a> {
    TargetFields {
        remaining: call.deadline.saturating_duration_since(Instant::now()),
        instance: server.backend.instance.as_deref(),
    }
}

fn is_shed(parts: &http::response::Parts) -> bool {
    let outcome = parts.headers.get(&headers::OUTCOME);
    parts.status == StatusCode::SERVICE_UNAVAILABLE
        && outcome.is_some_and(|value| value == "not-run")
}

fn send_error(e: &SendError) -> Refusal {
    let detail = format!("the backend server broke off: {e}");
    match e {
        SendError::NotSent(_) => Refusal::not_run(Reason::BackendLost, detail),
        SendError::BrokeOff(_) => Refusal::may_have_run(Reason::BackendLost, detail),
    }
}

fn read_error(e: &(dyn std::error::Error + 'static)) -> Refusal {
    if e.is::<http_body_util::LengthLimitError>() {
        let detail = format!("the answer does not end within {MAX_ANSWER_BYTES} bytes");
        Refusal::may_have_run(Reason::BadAnswer, detail)
    } else {
        let detail = format!("the answer broke off: {e}");
        Refusal::may_have_run(Reason::BackendLost, detail)
    }
}

fn request(address: SocketAddr, call: &Call) -> Result<Request<Full<Bytes>>, Refusal> {
    if call.method == Method::CONNECT {
        // A success of CONNECT has no body (RFC 9110, section 9.3.6).
        return Err(bad_request("CONNECT cannot be passed on".to_owned()));
    }
    let path: PathAndQuery = call
        .path
        .parse()
        .map_err(|e| bad_request(format!("the path cannot be passed on: {e}")))?;
    let mut req = Request::new(Full::new(call.body.clone()));
    *req.method_mut() = call.method.clone();
    *req.uri_mut() = Uri::from(path);
    let fields = req.headers_mut();
    for (name, value) in &call.fields {
        fields.append(name.clone(), value.clone());
    }
    if !fields.contains_key(header::HOST) {
        let host = HeaderValue::try_from(address.to_string());
        fields.insert(header::HOST, host.map_err(|e| bad_request(e.to_string()))?);
    }
    Ok(req)
}

/// Sets the fields that carry the request's context to a backend server; see docs/INTERFACES.md.
fn set_own_fields(fields: &mut HeaderMap, call: &Call, token: Token) -> Result<(), Refusal> {
    let mut set = |name, text: String| -> Result<(), Refusal> {
        let value = HeaderValue::try_from(text).map_err(|e| bad_request(e.to_string()))?;
        fields.insert(name, value);
        Ok(())
    };
    set(headers::CONTEXT, context_text(token))?;
    set(headers::REQUEST, format!("{:032x}", call.context.root))?;
    let remaining = call.deadline.saturating_duration_since(Instant::now());
    set(headers::DEADLINE, remaining.as_millis().to_string())?;
    if let Some(workspace) = &call.context.workspace {
        set(headers::WORKSPACE, workspace.to_string())?;
    }
    Ok(())
}

fn context_text(token: Token) -> String {
    format!("{token:032x}")
}

fn bad_request(detail: String) -> Refusal {
    Refusal::not_run(Reason::BadRequest, detail)
}
