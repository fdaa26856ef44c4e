use bytes::Bytes;
use http::Method;
use nutmegwheel_types::{ConfigVersion, plain};
use serde::{Deserialize, Serialize};

use crate::{Client, Error};

plain! {
    /// A change to commit, under a number that the operator chooses.
    pub struct Options {
        /// The number of the change. A resend after a lost answer must carry the same number, so
        /// that the change takes effect at most once.
        pub number: u64,
        /// The request body, in JSON; docs/INTERFACES.md, "Changes".
        pub body: String,
    }

    /// The outcome of a committed change.
    #[derive(Serialize, Deserialize)]
    pub struct Outcome {
        /// The number of the change.
        pub number: u64,
        /// The version of the configuration that the change produced.
        pub version: ConfigVersion,
        /// Whether this request committed the change; `false` if an earlier one with the same
        /// number and content did.
        pub first: bool,
    }
}

/// Wraps a whole configuration into the body of a change. The text is not parsed, so comments in it
/// are kept.
#[must_use]
pub fn configure(configuration: &str) -> String {
    format!("{{\"configure\":{configuration}\n}}")
}

/// Returns the body of a change that assigns a key to a workspace. Only the hash of the key is
/// sent.
#[must_use]
pub fn give_key(workspace: &str, key: &str) -> String {
    let hash = nutmegwheel_types::hex::encode(&nutmegwheel_config::hash_key(key.as_bytes()));
    serde_json::json!({"give_key": {"workspace": workspace, "hash": hash}}).to_string()
}

/// Commits a change.
///
/// # Errors
///
/// Returns [`Error::Refused`] if the change was refused, [`Error::NotCertain`] if no process
/// gave a definite answer, and [`Error::Malformed`] if the answer cannot be parsed.
pub async fn commit(client: &Client, opts: Options) -> Result<Outcome, Error> {
    let path = format!("/v1/changes/{}", opts.number);
    let answer = client
        .request(&Method::PUT, &path, &Bytes::from(opts.body))
        .await?;
    answer.read("read the committed change")
}
