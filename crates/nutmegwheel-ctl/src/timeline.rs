use bytes::Bytes;
use http::Method;
use nutmegwheel_events::{Record, merge};

use crate::Client;

/// The merged events, and which processes could not be asked.
pub struct Outcome {
    /// All events in one order.
    pub records: Vec<Record>,
    /// Why a process's events are missing.
    pub missing: Vec<String>,
}

/// Fetches the events of all processes that were named and merges them.
pub async fn fetch(client: &Client) -> Outcome {
    let mut journals = Vec::new();
    let mut missing = Vec::new();
    for peer in client.peers() {
        let answer = client
            .request_from(*peer, &Method::GET, "/v1/events", &Bytes::new())
            .await;
        match answer.and_then(|answer| read(&answer.body).map_err(|e| format!("{peer}: {e}"))) {
            Ok(records) => journals.push(records),
            Err(e) => missing.push(e),
        }
    }
    Outcome {
        records: merge(journals),
        missing,
    }
}

fn read(body: &[u8]) -> Result<Vec<Record>, serde_json::Error> {
    body.split(|byte| *byte == b'\n')
        .filter(|line| !line.is_empty())
        .map(serde_json::from_slice)
        .collect()
}
