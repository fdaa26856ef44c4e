//! What a kept connection to a backend server remembers of the requests that it carried.

use nutmegwheel_types::plain;

use crate::answer::{Conclusion, Identity};

/// A hash of a request id.
pub type RequestHash = u64;

/// The maximum number of requests that a connection remembers. One that would have to remember
/// more is closed.
const MAX_DENIED: usize = 256;

plain! {
    /// The requests that were denied on a connection.
    ///
    /// Such a request may be sent again, under the same id. On the connection of the denial, a late
    /// second copy of that cannot be told from a denial of the repeat; see docs/DESIGN.md,
    /// "Connections to backend servers".
    #[derive(Default)]
    pub struct History {
        denied: Vec<RequestHash>,
    }
}

impl History {
    /// Whether the request was denied on the connection.
    #[must_use]
    pub fn has_denied(&self, request: RequestHash) -> bool {
        self.denied.contains(&request)
    }

    /// Records what an answer to a request proved, and returns whether the connection may be kept.
    #[must_use]
    pub fn record(
        &mut self,
        request: RequestHash,
        identity: Identity,
        conclusion: Conclusion,
    ) -> bool {
        match conclusion {
            Conclusion::Answered => true,
            Conclusion::Unknown(_) => false,
            // A second copy of the denial would count for any request.
            Conclusion::NotRun(_) if identity == Identity::Unmarked => false,
            Conclusion::NotRun(_) => {
                self.denied.push(request);
                self.denied.len() <= MAX_DENIED
            }
        }
    }
}
