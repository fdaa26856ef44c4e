use std::{collections::HashMap, net::SocketAddr, time::Duration};

use anyhow::Context as _;
use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::Request;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};

const TIMEOUT: Duration = Duration::from_mins(1);

/// An HTTP client that calls the ingress nodes of a fleet.
#[derive(Clone)]
pub struct Caller {
    http: Client<HttpConnector, Full<Bytes>>,
}

/// A complete HTTP response.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The HTTP status code of the response.
    pub status: u16,
    /// The header fields of the response, with names in lower case.
    pub fields: HashMap<String, String>,
    /// The complete body of the response.
    pub body: Bytes,
}

impl Answer {
    /// Returns the body as text, with invalid UTF-8 replaced.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the body as JSON, or null if it is not valid JSON.
    #[must_use]
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns the `reason` of a refusal, or an empty string if the body names none.
    #[must_use]
    pub fn reason(&self) -> String {
        self.json()["reason"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }

    /// Returns the value of the `Nutmegwheel-Outcome` header field, or `None` without that field.
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
    /// Creates a client. It shares its connection pool only with its clones.
    #[must_use]
    pub fn open() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            http: Client::builder(TokioExecutor::new()).build(connector),
        }
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    ///
    /// The context of the error names the step that failed: `send`, which includes connecting,
    /// `read`, or `no answer` after the timeout of one minute.
    pub async fn call(
        &self,
        method: &str,
        address: SocketAddr,
        path: &str,
        fields: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> anyhow::Result<Answer> {
        let mut req = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"));
        for (name, value) in fields {
            req = req.header(*name, *value);
        }
        let req = req.body(Full::new(body.into()))?;
        let answer = tokio::time::timeout(TIMEOUT, self.exchange(req));
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
