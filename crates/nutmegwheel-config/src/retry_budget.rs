//! The retries that a deployment allows; see docs/design/RETRY-ORDER.md.

use std::time::Duration;

use nutmegwheel_types::plain;

use crate::{CheckError, reader::Table};

/// The maximum of `retry_budget.slack`.
const MAX_RETRY_SLACK: f64 = 1e6;
/// The range of `retry_budget.window_s`, in seconds.
const RETRY_WINDOW_S: std::ops::RangeInclusive<f64> = 1.0..=600.0;

plain! {
    /// The retries that each service may get, summed over all nodes.
    pub struct RetryBudget {
        /// The retries in a window, in thousandths of the requests for the service.
        pub ratio_permille: u32,
        /// The retries in a window that are allowed in addition.
        pub slack: u32,
        /// The length of the sliding window.
        pub window: Duration,
    }
}

pub(crate) fn read(mut table: Table<'_>) -> Result<RetryBudget, CheckError> {
    let window = table.required("window_s")?.number(&RETRY_WINDOW_S)?;
    let ratio: f64 = table.required("ratio")?.number(&(0.0..=1.0))?;
    let budget = RetryBudget {
        ratio_permille: whole(ratio * 1000.0),
        slack: whole(table.required("slack")?.number(&(0.0..=MAX_RETRY_SLACK))?),
        window: Duration::from_secs_f64(window),
    };
    table.finish()?;
    Ok(budget)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the settings bound it"
)]
fn whole(number: f64) -> u32 {
    number as u32
}
