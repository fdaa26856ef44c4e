//! The operators' interface of a platform, as a port that an adapter fills.

use nutmegwheel_config::Configuration;
use nutmegwheel_types::plain;
use nutmegwheel_web::{Request, Response};

use crate::state::{Published, PublishedVersion};

/// A whole configuration that an operator publishes on top of another one.
#[derive(Clone, Debug, PartialEq)]
pub struct Publication {
    /// The version that the operator gives it.
    pub version: PublishedVersion,
    /// The version that it builds on; 0 for the first one.
    pub base: PublishedVersion,
    /// What it says, checked whole.
    pub configuration: Configuration,
    /// The document as the operator wrote it, to be shown again.
    pub document: String,
}

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Operation {
    /// To publish a configuration.
    Publish(Publication),
    /// To publish one that is invalid.
    InvalidPublication {
        /// The field and what is wrong with it.
        detail: String,
    },
    /// To be shown the newest configuration.
    Show,
}

plain! {
    /// What became of an operation.
    pub enum Outcome {
        /// The configuration is committed, by this call or an earlier one with the same content.
        Published {
            /// Its version.
            version: PublishedVersion,
        },
        /// Another version is published than the one that it builds on.
        OtherBase {
            /// The version that is published.
            current: PublishedVersion,
        },
        /// The configuration is invalid, and nothing of it is in force.
        Invalid {
            /// The field and what is wrong with it.
            detail: String,
        },
        /// The newest configuration, or `None` where none was published yet.
        Shown(Option<Published>),
        /// It is not known which configuration is the newest, or whether this one is committed.
        NotCertain {
            /// Why.
            detail: String,
        },
    }
}

/// Reads the calls of a platform's operators and writes the answers; it decides nothing.
pub trait Dialect: Send + Sync + 'static {
    /// Reads a call, or returns `None` where it is none of the operators' calls.
    fn read_operation(&self, req: &Request) -> Option<Operation>;
    /// Writes the answer.
    fn answer(&self, outcome: Outcome) -> Response;
}
