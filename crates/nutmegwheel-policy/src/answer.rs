//! What an answer on a connection to a backend server proves about the request that waits for it.

use nutmegwheel_types::plain_copy;
use thiserror::Error;

plain_copy! {
    /// Whether an answer shows to which request it belongs.
    pub enum Identity {
        /// It bears the id of the request.
        Own,
        /// It bears the id of another request, or several ids.
        Other,
        /// It bears no id, although answers of the protocol do.
        Missing,
        /// Answers of the protocol bear no ids.
        Unmarked,
    }

    /// Why a backend server says that it did not run a request.
    pub enum Denial {
        /// It has no capacity for the request.
        Shed,
        /// The request is meant for another backend server that had the address.
        OtherServer,
    }

    /// The properties of an answer's head on which its meaning depends.
    pub struct Marks {
        /// Whether the answer shows to which request it belongs.
        pub identity: Identity,
        /// Why the backend server did not run the request, if it says so.
        pub denial: Option<Denial>,
    }

    /// What an answer proves.
    pub enum Conclusion {
        /// The backend server ran the request, and this is its answer.
        Answered,
        /// The backend server did not run the request.
        NotRun(Denial),
        /// The request may have run, and nothing that follows on the connection can be attributed.
        Unknown(Doubt),
    }

    /// Why an answer proves nothing about the request.
    #[derive(Error)]
    pub enum Doubt {
        /// The answer belongs to another request.
        #[error("it bears the id of another request")]
        OtherRequest,
        /// The answer may belong to any request.
        #[error("it bears no request id")]
        NoId,
        /// The answer may be a second copy of an earlier denial.
        #[error("the connection has carried a denial of this request before")]
        RepeatedDenial,
    }
}

/// Decides what an answer proves. Its status and fields count only if the answer belongs to the
/// request: connections are kept, and an additional answer arrives where the next one is due; see
/// docs/DESIGN.md, "Connections to backend servers". `was_denied` says whether the connection has
/// carried a denial of the same request before.
#[must_use]
pub fn conclude(marks: Marks, was_denied: bool) -> Conclusion {
    match (marks.identity, marks.denial) {
        (Identity::Other, _) => Conclusion::Unknown(Doubt::OtherRequest),
        (Identity::Missing, _) => Conclusion::Unknown(Doubt::NoId),
        (_, Some(_)) if was_denied => Conclusion::Unknown(Doubt::RepeatedDenial),
        (Identity::Own | Identity::Unmarked, Some(denial)) => Conclusion::NotRun(denial),
        (Identity::Own | Identity::Unmarked, None) => Conclusion::Answered,
    }
}
