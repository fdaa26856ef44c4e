//! What a target reports of an attempt.

use nutmegwheel_policy::{routing::LoadReport, work::WorkReport};

use crate::{call::Answer, refusal::Refusal, running::DownstreamServer};

/// The result of an attempt, as its target reports it.
pub(crate) struct Served {
    pub(crate) result: Result<Answer, Refusal>,
    /// The retry tokens that the attempt did not spend, or `None` if they were lost with the
    /// answer.
    pub(crate) unspent: Option<u32>,
    /// The load of the target's backend server.
    pub(crate) report: Option<LoadReport>,
    /// The work of the target's backend server, if its node reports it.
    pub(crate) work: Option<WorkReport>,
    /// The shed levels of the backend servers further down the chain.
    pub(crate) downstream: Vec<DownstreamServer>,
    /// Whether the answer is a failure of the backend server itself: no call that it made for the
    /// request has failed.
    pub(crate) has_failed_alone: bool,
}

impl Served {
    /// The result of a call that ended before it was sent, with all its retry tokens unspent.
    pub(crate) fn not_sent(result: Result<Answer, Refusal>, tokens: u32) -> Self {
        Self {
            result,
            unspent: Some(tokens),
            report: None,
            work: None,
            downstream: Vec::new(),
            has_failed_alone: false,
        }
    }

    /// The result of a call whose answer was not received.
    pub(crate) fn lost(refusal: Refusal) -> Self {
        Self {
            result: Err(refusal),
            unspent: None,
            report: None,
            work: None,
            downstream: Vec::new(),
            has_failed_alone: false,
        }
    }
}
