//! The port for the operators' interface of a platform, which an adapter implements.

use nutmegwheel_config::Configuration;
use nutmegwheel_types::plain;
use nutmegwheel_web::{Request, Response};

use crate::{
    evacuations::Order,
    state::{Published, PublishedVersion},
};

/// A whole configuration that an operator publishes to replace an earlier one.
#[derive(Clone, Debug, PartialEq)]
pub struct Publication {
    /// The version that the operator chose.
    pub version: PublishedVersion,
    /// The published version that it replaces; 0 for the first publication.
    pub base: PublishedVersion,
    /// The parsed and validated configuration.
    pub configuration: Configuration,
    /// The document as the operator wrote it, which [`Operation::Show`] returns.
    pub document: String,
}

/// An operation that an operator requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Operation {
    /// Publishes a configuration.
    Publish(Publication),
    /// Reports a configuration that failed validation. Nothing is committed, and the refusal is
    /// recorded as an event.
    InvalidPublication {
        /// The invalid field and a description of the fault.
        detail: String,
    },
    /// Evacuates a data centre, or withdraws such an order.
    Order(Order),
    /// Shows the published configuration.
    Show,
}

plain! {
    /// The outcome of an operation.
    pub enum Outcome {
        /// The configuration is committed, by this request or an earlier one with the same
        /// document.
        Published {
            /// The version of the configuration.
            version: PublishedVersion,
        },
        /// The published version is not the base of the publication.
        OtherBase {
            /// The version that is published.
            current: PublishedVersion,
        },
        /// The order is committed, by this request or an earlier one.
        Ordered(Order),
        /// The configuration or order is invalid, and no part of it takes effect.
        Invalid {
            /// A description of the fault, with the invalid field of a configuration.
            detail: String,
        },
        /// The published configuration, or `None` if none was published yet.
        Shown(Option<Published>),
        /// It is not known which configuration is published, or whether this one or the order is
        /// committed.
        NotCertain {
            /// Why the outcome is not known.
            detail: String,
        },
    }
}

/// Translates a platform's operator requests into operations, and outcomes into responses. It makes
/// no decisions.
pub trait Dialect: Send + Sync + 'static {
    /// Parses a request, or returns `None` if it is not an operator request of the platform.
    fn read_operation(&self, req: &Request) -> Option<Operation>;
    /// Builds the response for the outcome of an operation.
    fn answer(&self, outcome: Outcome) -> Response;
}
