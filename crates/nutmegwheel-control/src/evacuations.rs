//! Orders of operators to evacuate a data centre and to readmit it; see docs/design/EVACUATION.md.

use std::collections::BTreeSet;

use http::{Method, StatusCode};
use nutmegwheel_events::Event;
use nutmegwheel_types::{DataCentreId, plain};
use nutmegwheel_web::{Problem, Response, json};
use serde_json::json as value;

use crate::{log::Log as _, operators::Operators, state::Command};

/// The number of characters of an unknown data centre's name that a refusal repeats.
const MAX_SHOWN_CHARS: usize = 80;

plain! {
    /// An order for the backend servers of a data centre.
    pub struct Order {
        /// The data centre.
        pub data_centre: DataCentreId,
        /// Whether the backend servers get no more requests; `false` withdraws such an order.
        pub evacuates: bool,
    }
}

/// Why an order is not confirmed.
pub(crate) enum OrderError {
    /// No process of the fleet is in such a data centre.
    UnknownDataCentre { detail: String },
    /// The order may be committed or not.
    NotCertain { detail: String },
}

impl Order {
    /// Checks that the data centre is known. Without this check, a misspelled order would be
    /// confirmed and have no effect.
    fn check(&self, known: &BTreeSet<DataCentreId>) -> Result<(), String> {
        if known.contains(&self.data_centre) {
            return Ok(());
        }
        let shown: String = self.data_centre.chars().take(MAX_SHOWN_CHARS).collect();
        let known: Vec<&str> = known.iter().map(|name| &**name).collect();
        let known = known.join(", ");
        Err(format!("there is no data centre {shown:?}, only {known}"))
    }

    fn command(&self) -> Command {
        let data_centre = self.data_centre.clone();
        if self.evacuates {
            Command::Evacuate { data_centre }
        } else {
            Command::Readmit { data_centre }
        }
    }
}

impl Operators {
    /// Commits an order unless it is in force already.
    pub(crate) async fn order(&self, order: &Order) -> Result<(), OrderError> {
        if let Err(detail) = order.check(&self.known_data_centres()) {
            self.journal
                .emit(Event::EvacuationRefused, &[("detail", &detail)]);
            return Err(OrderError::UnknownDataCentre { detail });
        }
        // The state that this replica has applied may lack orders that others have acknowledged.
        let caught_up = self.catch_up().await;
        caught_up.map_err(|problem| self.uncertain(order, problem.detail.into()))?;
        let is_evacuated = |view: &nutmegwheel_config::View| {
            view.evacuated.contains(&order.data_centre) == order.evacuates
        };
        if self.log.with_view(is_evacuated) {
            return Ok(());
        }
        let outcome = self.log.commit(order.command()).await;
        outcome.map_err(|e| self.uncertain(order, e.to_string()))?;
        let event = if order.evacuates {
            Event::EvacuationOrdered
        } else {
            Event::EvacuationWithdrawn
        };
        self.journal
            .emit(event, &[("data_centre", &order.data_centre)]);
        self.warn_if_none_left();
        Ok(())
    }

    fn uncertain(&self, order: &Order, detail: String) -> OrderError {
        self.journal.emit(
            Event::EvacuationOutcomeUnknown,
            &[
                ("data_centre", &order.data_centre),
                ("evacuates", &order.evacuates),
                ("error", &detail),
            ],
        );
        OrderError::NotCertain { detail }
    }

    fn warn_if_none_left(&self) {
        let known = self.known_data_centres();
        let evacuated = self.log.with_view(|view| view.evacuated.clone());
        if known.is_subset(&evacuated) {
            let evacuated = evacuated.len();
            self.journal
                .emit(Event::NoDataCentreLeft, &[("evacuated", &evacuated)]);
        }
    }

    /// The data centres of the settings and of the members, and those that are evacuated.
    fn known_data_centres(&self) -> BTreeSet<DataCentreId> {
        let members = self.members.gossip.members();
        let mut known: BTreeSet<DataCentreId> = self.log.with_view(|view| view.evacuated.clone());
        known.extend(self.data_centres.iter().cloned());
        known.extend(members.into_iter().map(|member| member.data_centre));
        known
    }
}

impl Operators {
    /// Answers the requests below `/v1/evacuations`; docs/INTERFACES.md, "Evacuations".
    pub(crate) async fn answer_evacuation(
        &self,
        method: &Method,
        data_centre: Option<&str>,
    ) -> Result<Response, Problem> {
        match (method, data_centre) {
            (&Method::GET, None) => self.catch_up().await?,
            (&Method::PUT | &Method::DELETE, Some(name)) => {
                let order = Order {
                    data_centre: name.into(),
                    evacuates: method == Method::PUT,
                };
                self.order(&order).await.map_err(problem)?;
            }
            _ => return Err(crate::operators::unknown_route()),
        }
        let evacuated = self.log.with_view(|view| view.evacuated.clone());
        let document = value!({
            "evacuated": evacuated,
            "data_centres": self.known_data_centres(),
        });
        Ok(json(StatusCode::OK, &document))
    }
}

fn problem(e: OrderError) -> Problem {
    match e {
        OrderError::UnknownDataCentre { detail } => {
            Problem::new(StatusCode::BAD_REQUEST, "unknown-data-centre", detail)
        }
        OrderError::NotCertain { detail } => {
            Problem::new(StatusCode::SERVICE_UNAVAILABLE, "not-certain", detail)
        }
    }
}
