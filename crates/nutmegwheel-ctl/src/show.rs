use std::net::SocketAddr;

use bytes::Bytes;
use http::Method;
use serde_json::Value;

use crate::{Client, Error};

/// The committed configuration, from the first process that answers.
///
/// # Errors
///
/// Tells a refusal from processes that are out of reach.
pub async fn configuration(client: &Client) -> Result<Value, Error> {
    let answer = client
        .request(&Method::GET, "/v1/configuration", &Bytes::new())
        .await?;
    answer.read("read the configuration")
}

/// The status of every process that was named, or why there is none.
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
