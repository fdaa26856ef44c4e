use std::{collections::HashMap, net::SocketAddr, time::Duration};

use anyhow::Context as _;
use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::Request;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};

/// The time after which a caller gives up on an answer.
const PATIENCE: Duration = Duration::from_mins(1);

/// A program that calls the doors of a fleet.
#[derive(Clone)]
pub struct Caller {
    http: Client<HttpConnector, Full<Bytes>>,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The header fields, names in lower case.
    pub fields: HashMap<String, String>,
    /// The whole body.
    pub body: Bytes,
}

impl Answer {
    /// The body as text.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// The body as JSON; null when it is none.
    #[must_use]
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// The reason of a refusal.
    #[must_use]
    pub fn reason(&self) -> String {
        self.json()["reason"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }

    /// The word of `Nutmegwheel-Outcome`.
    #[must_use]
    pub fn outcome(&self) -> Option<&str> {
        self.fields.get("nutmegwheel-outcome").map(String::as_str)
    }
}

impl Default for Caller {
    fn default() -> Self {
        Self::open()
    }
}

impl Caller {
    /// Opens a caller that keeps its connections.
    #[must_use]
    pub fn open() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            http: Client::builder(TokioExecutor::new()).build(connector),
        }
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Tells the step that failed: connecting, sending, or reading.
    pub async fn call(
        &self,
        method: &str,
        at: SocketAddr,
        path: &str,
        fields: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> anyhow::Result<Answer> {
        let mut req = Request::builder()
            .method(method)
            .uri(format!("http://{at}{path}"));
        for (name, value) in fields {
            req = req.header(*name, *value);
        }
        let req = req.body(Full::new(body.into()))?;
        let answer = tokio::time::timeout(PATIENCE, self.exchange(req));
        answer.await.context("no answer")?
    }

    async fn exchange(&self, req: Request<Full<Bytes>>) -> anyhow::Result<Answer> {
        let res = self.http.request(req).await.context("send")?;
        let status = res.status().as_u16();
        let fields = res.headers().iter().map(|(name, value)| {
            let value = String::from_utf8_lossy(value.as_bytes());
            (name.to_string(), value.into_owned())
        });
        let fields = fields.collect();
        let body = res.into_body().collect().await.context("read")?.to_bytes();
        Ok(Answer {
            status,
            fields,
            body,
        })
    }
}
