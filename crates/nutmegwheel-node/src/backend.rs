use std::{
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderValue, Request, Uri};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use nutmegwheel_spread::AnnouncementState;
use nutmegwheel_types::{Incarnation, ServiceId, plain, plain_copy};
use serde::Deserialize;

use crate::{
    call::{Answer, Call},
    headers,
    refusal::{Reason, Refusal},
    running::Token,
};

/// The largest answer of a backend server, in bytes.
const ANSWER_LIMIT: usize = 4 * 1024 * 1024;
/// The time for which an unused connection to the backend server is kept.
const IDLE_CONNECTION: Duration = Duration::from_secs(30);

plain_copy! {
    /// What a backend server says of itself.
    #[derive(Deserialize)]
    #[serde(rename_all = "snake_case")]
    pub(crate) enum BackendState {
        Starting,
        Ready,
        Leaving,
    }
}

impl From<BackendState> for AnnouncementState {
    fn from(state: BackendState) -> Self {
        match state {
            BackendState::Starting => Self::Starting,
            BackendState::Ready => Self::Ready,
            BackendState::Leaving => Self::Leaving,
        }
    }
}

plain! {
    /// The backend server of a node.
    pub(crate) struct Backend {
        pub(crate) service: ServiceId,
        pub(crate) slots: u16,
        pub(crate) state: BackendState,
        /// The number of its life, greater after every restart of it.
        pub(crate) life: Incarnation,
    }

    /// What the backend server announced last.
    pub(crate) struct Announcement {
        pub(crate) backend: Backend,
        pub(crate) address: SocketAddr,
        /// Without a renewal the announcement lapses here.
        pub(crate) until: Instant,
    }
}

/// The backend server beside this node.
pub(crate) struct Local {
    announced: Mutex<Option<Announcement>>,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// Lifecycle.
impl Local {
    pub(crate) fn open() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_CONNECTION)
            .build(connector);
        Self {
            announced: Mutex::default(),
            client,
        }
    }

    /// Takes in an announcement and returns the one before.
    pub(crate) fn announce(&self, announcement: Announcement) -> Option<Announcement> {
        self.lock().replace(announcement)
    }

    /// Forgets the announcement of a backend server that was found dead, and returns it.
    pub(crate) fn bury(&self, address: SocketAddr) -> Option<Announcement> {
        self.lock()
            .take_if(|announced| announced.address == address)
    }

    /// Forgets an announcement that was not renewed in time, and returns it.
    pub(crate) fn lapse(&self, now: Instant) -> Option<Announcement> {
        self.lock().take_if(|announced| announced.until <= now)
    }
}

/// Access.
impl Local {
    pub(crate) fn announced(&self) -> Option<Announcement> {
        self.lock().clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<Announcement>> {
        self.announced
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Running requests.
impl Local {
    /// The address of the backend server when it takes new requests of a service.
    pub(crate) fn ready(&self, service: &str) -> Result<SocketAddr, Refusal> {
        let refuse = |detail| Err(Refusal::not_run(Reason::NoBackendServer, detail));
        match self.announced() {
            None => refuse("this node has no backend server"),
            Some(a) if &*a.backend.service != service => {
                refuse("this node's backend server is of another service")
            }
            Some(a) if a.backend.state != BackendState::Ready => {
                refuse("this node's backend server takes nothing new")
            }
            Some(a) => Ok(a.address),
        }
    }

    /// Runs a request and returns the whole answer.
    pub(crate) async fn run(
        &self,
        address: SocketAddr,
        call: &Call,
        token: Token,
    ) -> Result<Answer, Refusal> {
        let req = request(address, call, token)?;
        let timeout = tokio::time::timeout_at(call.deadline.into(), self.exchange(req));
        timeout.await.unwrap_or_else(|_| {
            let detail = "the deadline passed while the backend server worked";
            Err(Refusal::may_have_run(Reason::Deadline, detail))
        })
    }

    async fn exchange(&self, req: Request<Full<Bytes>>) -> Result<Answer, Refusal> {
        let res = self.client.request(req).await.map_err(|e| {
            let detail = format!("the backend server broke off: {e}");
            if e.is_connect() {
                Refusal::not_run(Reason::BackendLost, detail)
            } else {
                Refusal::may_have_run(Reason::BackendLost, detail)
            }
        })?;
        let (parts, body) = res.into_parts();
        let body = Limited::new(body, ANSWER_LIMIT).collect().await;
        let body = body.map_err(|e| broken_answer(&*e))?.to_bytes();
        if refused_unrun(&parts) {
            let detail = "the backend server sheds load";
            return Err(Refusal::not_run(Reason::Overloaded, detail));
        }
        Ok(Answer {
            status: parts.status,
            fields: headers::passed_on(&parts.headers),
            body,
        })
    }
}

fn refused_unrun(parts: &http::response::Parts) -> bool {
    let outcome = parts.headers.get(&headers::OUTCOME);
    parts.status == http::StatusCode::SERVICE_UNAVAILABLE
        && outcome.is_some_and(|word| word == "not-run")
}

fn broken_answer(e: &(dyn std::error::Error + 'static)) -> Refusal {
    if e.is::<http_body_util::LengthLimitError>() {
        let detail = format!("the answer is larger than {ANSWER_LIMIT} bytes");
        Refusal::may_have_run(Reason::AnswerTooLarge, detail)
    } else {
        let detail = format!("the answer broke off: {e}");
        Refusal::may_have_run(Reason::BackendLost, detail)
    }
}

fn request(
    address: SocketAddr,
    call: &Call,
    token: Token,
) -> Result<Request<Full<Bytes>>, Refusal> {
    let bad = |detail: String| Refusal::not_run(Reason::BadRequest, detail);
    let uri: Uri = format!("http://{address}{}", call.path)
        .parse()
        .map_err(|e| bad(format!("the path cannot be passed on: {e}")))?;
    let mut req = Request::new(Full::new(call.body.clone()));
    *req.method_mut() = call.method.clone();
    *req.uri_mut() = uri;
    let fields = req.headers_mut();
    for (name, value) in &call.fields {
        fields.append(name.clone(), value.clone());
    }
    let mut set = |name, text: String| -> Result<(), Refusal> {
        let value = HeaderValue::try_from(text).map_err(|e| bad(e.to_string()))?;
        fields.insert(name, value);
        Ok(())
    };
    set(headers::CONTEXT, format!("{token:032x}"))?;
    set(headers::REQUEST, format!("{:032x}", call.context.root))?;
    let remaining = call.deadline.saturating_duration_since(Instant::now());
    set(headers::DEADLINE, remaining.as_millis().to_string())?;
    if let Some(workspace) = &call.context.workspace {
        set(headers::WORKSPACE, workspace.to_string())?;
    }
    Ok(req)
}
