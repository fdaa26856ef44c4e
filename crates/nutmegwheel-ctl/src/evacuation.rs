use bytes::Bytes;
use http::Method;
use nutmegwheel_types::{DataCentreId, plain};
use serde::{Deserialize, Serialize};

use crate::{Client, Error};

plain! {
    /// The committed orders to evacuate data centres.
    #[derive(Serialize, Deserialize)]
    pub struct Outcome {
        /// The evacuated data centres, whose backend servers get no requests.
        pub evacuated: Vec<DataCentreId>,
        /// All known data centres.
        pub data_centres: Vec<DataCentreId>,
    }
}

/// Orders that the backend servers of a data centre get no more requests. Repeating the order has
/// no further effect.
///
/// # Errors
///
/// Returns [`Error::Refused`] if the data centre is unknown, [`Error::NotCertain`] if no process
/// gave a definite answer, and [`Error::Malformed`] if the answer cannot be parsed.
pub async fn evacuate(client: &Client, data_centre: &str) -> Result<Outcome, Error> {
    send(client, &Method::PUT, &path(data_centre)).await
}

/// Withdraws the order to evacuate a data centre.
///
/// # Errors
///
/// As those of [`evacuate`].
pub async fn readmit(client: &Client, data_centre: &str) -> Result<Outcome, Error> {
    send(client, &Method::DELETE, &path(data_centre)).await
}

/// Fetches the committed orders.
///
/// # Errors
///
/// As those of [`evacuate`].
pub async fn show(client: &Client) -> Result<Outcome, Error> {
    send(client, &Method::GET, "/v1/evacuations").await
}

async fn send(client: &Client, method: &Method, path: &str) -> Result<Outcome, Error> {
    let answer = client.request(method, path, &Bytes::new()).await?;
    answer.read("read the evacuations")
}

fn path(data_centre: &str) -> String {
    format!("/v1/evacuations/{data_centre}")
}
