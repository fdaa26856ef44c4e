use bytes::Bytes;
use http::Method;
use nutmegwheel_events::{Record, merge};

use crate::Client;

/// The merged events, and the errors of the processes whose events are missing.
pub struct Outcome {
    /// The events of all processes that answered, in one total order.
    pub records: Vec<Record>,
    /// One error text for each process whose events could not be fetched or parsed.
    pub missing: Vec<String>,
}

/// Fetches the events of every process of the client and merges them.
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
