use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt as _, Full};
use hyper_util::{
    client::legacy::{Client as HttpClient, connect::HttpConnector},
    rt::TokioExecutor,
};

use crate::Error;

/// Addresses, secret and timeout of a [`Client`].
#[derive(Clone)]
pub struct Options {
    /// The platform listeners of the processes, in the order in which they are tried.
    pub addresses: Vec<SocketAddr>,
    /// The operators' secret, sent as the bearer token.
    pub secret: String,
    /// The timeout for a request to one process.
    pub timeout: Duration,
}

/// An HTTP client of the operators' interface of a fleet's processes.
pub struct Client {
    opts: Options,
    http: HttpClient<HttpConnector, Full<Bytes>>,
}

/// An HTTP response, with the address of the process that sent it.
pub(crate) struct Answer {
    pub(crate) peer: SocketAddr,
    pub(crate) status: StatusCode,
    pub(crate) body: Bytes,
}

impl Client {
    /// Opens a client without connecting to any process.
    #[must_use]
    pub fn open(opts: Options) -> Self {
        let http = HttpClient::builder(TokioExecutor::new()).build_http();
        Self { opts, http }
    }
}

impl Client {
    /// The addresses of the processes, in the order in which they are tried.
    #[must_use]
    pub fn peers(&self) -> &[SocketAddr] {
        &self.opts.addresses
    }
}

impl Client {
    /// Sends the request to one process after the other, until one gives a definite answer. A
    /// server error, an unknown route or a failed exchange is not definite.
    pub(crate) async fn request(
        &self,
        method: &Method,
        path: &str,
        body: &Bytes,
    ) -> Result<Answer, Error> {
        let mut attempts = Vec::new();
        for peer in &self.opts.addresses {
            match self.request_from(*peer, method, path, body).await {
                // A node does not serve the routes of control VMs, so its 404 does not mean that
                // the request was refused.
                Ok(answer) if answer.status.is_server_error() || answer.is_unknown_route() => {
                    let text = String::from_utf8_lossy(&answer.body).into_owned();
                    attempts.push(format!("{peer}: {}: {text}", answer.status));
                }
                Ok(answer) => return check_status(answer),
                Err(e) => attempts.push(e),
            }
        }
        Err(Error::NotCertain { attempts })
    }

    /// Sends the request to one process, within the timeout of the options.
    pub(crate) async fn request_from(
        &self,
        peer: SocketAddr,
        method: &Method,
        path: &str,
        body: &Bytes,
    ) -> Result<Answer, String> {
        let exchange = tokio::time::timeout(self.opts.timeout, async {
            let req = Request::builder()
                .method(method.clone())
                .uri(format!("http://{peer}{path}"))
                .header(
                    header::AUTHORIZATION,
                    format!("Bearer {}", self.opts.secret),
                )
                .body(Full::new(body.clone()))
                .map_err(|e| format!("{peer}: request: {e}"))?;
            let res = self.http.request(req).await;
            let res = res.map_err(|e| format!("{peer}: send: {e}"))?;
            let status = res.status();
            let body = res.into_body().collect().await;
            let body = body.map_err(|e| format!("{peer}: receive: {e}"))?;
            let body = body.to_bytes();
            Ok(Answer { peer, status, body })
        });
        let timed_out = |_| format!("{peer}: no answer in {:?}", self.opts.timeout);
        exchange.await.map_err(timed_out)?
    }
}

fn check_status(answer: Answer) -> Result<Answer, Error> {
    if answer.status.is_success() {
        return Ok(answer);
    }
    Err(Error::Refused {
        peer: answer.peer,
        status: answer.status.as_u16(),
        document: String::from_utf8_lossy(&answer.body).into_owned(),
    })
}

impl Answer {
    fn is_unknown_route(&self) -> bool {
        let document: Option<serde_json::Value> = serde_json::from_slice(&self.body).ok();
        let reason = document.map(|document| document["reason"] == "unknown-route");
        self.status == StatusCode::NOT_FOUND && reason == Some(true)
    }

    pub(crate) fn read<T: serde::de::DeserializeOwned>(
        &self,
        step: &'static str,
    ) -> Result<T, Error> {
        serde_json::from_slice(&self.body).map_err(|e| Error::Malformed {
            peer: self.peer,
            step,
            detail: e.to_string(),
        })
    }
}
