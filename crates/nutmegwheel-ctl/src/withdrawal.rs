use bytes::Bytes;
use http::Method;
use nutmegwheel_types::{KeyHash, hex, plain};
use serde::{Deserialize, Serialize};

use crate::{Client, Error};

plain! {
    /// The state of the withdrawal of a key.
    #[derive(Serialize, Deserialize)]
    pub struct Outcome {
        /// `in-force` once every data centre rejects the key, `pending` until then.
        pub state: String,
        /// The data centres that have not confirmed the withdrawal yet.
        #[serde(default)]
        pub waiting_for: Vec<String>,
    }
}

impl Outcome {
    /// Whether every data centre has confirmed the withdrawal.
    #[must_use]
    pub fn is_in_force(&self) -> bool {
        self.state == "in-force"
    }
}

/// Withdraws a key permanently. The request goes to every process of the client, so that a data
/// centre that is partitioned from the others can be reached through one of its own processes.
///
/// # Errors
///
/// Returns [`Error::NotCertain`] if no process accepted the withdrawal, and [`Error::Malformed`] if
/// an answer cannot be parsed.
pub async fn withdraw(client: &Client, hash: &KeyHash) -> Result<Outcome, Error> {
    let path = path(hash);
    let mut attempts = Vec::new();
    let mut best: Option<Outcome> = None;
    for peer in client.peers() {
        match client
            .request_from(*peer, &Method::PUT, &path, &Bytes::new())
            .await
        {
            Ok(answer) if answer.status.is_success() => {
                let outcome: Outcome = answer.read("read the withdrawal")?;
                let better = best.as_ref().is_none_or(|best| !best.is_in_force());
                if better {
                    best = Some(outcome);
                }
            }
            Ok(answer) => {
                let text = String::from_utf8_lossy(&answer.body).into_owned();
                attempts.push(format!("{peer}: {}: {text}", answer.status));
            }
            Err(e) => attempts.push(e),
        }
    }
    best.ok_or(Error::NotCertain { attempts })
}

/// Fetches the state of a withdrawal.
///
/// # Errors
///
/// Returns [`Error::Refused`] if the request was refused, [`Error::NotCertain`] if no process gave
/// a definite answer, and [`Error::Malformed`] if the answer cannot be parsed.
pub async fn state(client: &Client, hash: &KeyHash) -> Result<Outcome, Error> {
    let answer = client
        .request(&Method::GET, &path(hash), &Bytes::new())
        .await?;
    answer.read("read the withdrawal")
}

fn path(hash: &KeyHash) -> String {
    format!("/v1/withdrawals/{}", hex::encode(hash))
}
