use std::net::SocketAddr;

use bytes::Bytes;
use http::Method;
use serde_json::Value;

use crate::{Client, Error};

/// Fetches the committed configuration from the first process that gives a definite answer.
///
/// # Errors
///
/// Returns [`Error::Refused`] if the request was refused, [`Error::NotCertain`] if no process gave
/// a definite answer, and [`Error::Malformed`] if the answer cannot be parsed.
pub async fn configuration(client: &Client) -> Result<Value, Error> {
    let answer = client
        .request(&Method::GET, "/v1/configuration", &Bytes::new())
        .await?;
    answer.read("read the configuration")
}

/// Fetches the status of every process of the client, or the error in its place.
pub async fn status(client: &Client) -> Vec<(SocketAddr, Result<Value, String>)> {
    let mut all = Vec::new();
    for peer in client.peers() {
        let answer = client
            .request_from(*peer, &Method::GET, "/v1/status", &Bytes::new())
            .await;
        let status = answer.and_then(|answer| {
            serde_json::from_slice(&answer.body).map_err(|e| format!("{peer}: read: {e}"))
        });
        all.push((*peer, status));
    }
    all
}
