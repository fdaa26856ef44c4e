use bytes::Bytes;
use http::Method;
use nutmegwheel_types::{ConfigVersion, plain};
use serde::{Deserialize, Serialize};

use crate::{Client, Error};

plain! {
    /// What is committed, and under which number.
    pub struct Options {
        /// The number; a resend after a lost answer must carry the same one.
        pub number: u64,
        /// The body of docs/INTERFACES.md, "Changes".
        pub body: String,
    }

    /// The committed change.
    #[derive(Serialize, Deserialize)]
    pub struct Outcome {
        /// The number.
        pub number: u64,
        /// The version that it made.
        pub version: ConfigVersion,
        /// Whether this very request committed it, and not an earlier one.
        pub first: bool,
    }
}

/// Wraps a whole configuration into the body of a change; comments in it are kept.
#[must_use]
pub fn configure(configuration: &str) -> String {
    format!("{{\"configure\":{configuration}\n}}")
}

/// The body that gives a key to a workspace.
#[must_use]
pub fn give_key(workspace: &str, key: &str) -> String {
    let hash = nutmegwheel_types::hex::encode(&nutmegwheel_config::hash_key(key.as_bytes()));
    serde_json::json!({"give_key": {"workspace": workspace, "hash": hash}}).to_string()
}

/// Commits a change.
///
/// # Errors
///
/// Tells a refusal from an outcome that nobody is certain of.
pub async fn commit(client: &Client, opts: Options) -> Result<Outcome, Error> {
    let path = format!("/v1/changes/{}", opts.number);
    let answer = client
        .request(&Method::PUT, &path, &Bytes::from(opts.body))
        .await?;
    answer.read("read the committed change")
}
