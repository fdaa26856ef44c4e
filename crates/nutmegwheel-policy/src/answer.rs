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

    /// What the status of an answer says.
    pub enum Status {
        /// Another answer to the request follows.
        Interim,
        /// The request succeeded. `is_proved` says whether the answer bears what the protocol
        /// requires of a success.
        Success {
            /// Whether the answer bears it, or the protocol requires nothing.
            is_proved: bool,
        },
        /// By this status alone, callers conclude that the request was not run.
        NotRun,
        /// Anything else.
        Other,
    }

    /// The properties of an answer's head on which its meaning depends.
    pub struct Marks {
        /// Whether the answer shows to which request it belongs.
        pub identity: Identity,
        /// What its status says.
        pub status: Status,
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
        /// The answer is not the final one, and no other one can be read.
        #[error("it is not final")]
        NotFinal,
        /// The answer is no proved success.
        #[error("it bears no proof of its success")]
        NoProof,
        /// The answer says both that the request succeeded and that it was not run.
        #[error("it is a success and denies that the request ran")]
        Contradiction,
        /// Callers would conclude that the request was not run, which the answer does not say.
        #[error("it does not say that the request was not run")]
        NoDenial,
    }
}

/// Decides what an answer proves. Its status and fields count only if the answer belongs to the
/// request: connections are kept, and an additional answer arrives where the next one is due; see
/// docs/DESIGN.md, "Connections to backend servers". `was_denied` says whether the connection has
/// carried a denial of the same request before.
#[must_use]
pub fn conclude(marks: Marks, was_denied: bool) -> Conclusion {
    match marks.identity {
        Identity::Other => return Conclusion::Unknown(Doubt::OtherRequest),
        Identity::Missing => return Conclusion::Unknown(Doubt::NoId),
        Identity::Own | Identity::Unmarked => {}
    }
    match (marks.status, marks.denial) {
        (Status::Interim, _) => Conclusion::Unknown(Doubt::NotFinal),
        (Status::Success { .. }, Some(_)) => Conclusion::Unknown(Doubt::Contradiction),
        (Status::Success { is_proved: false }, None) => Conclusion::Unknown(Doubt::NoProof),
        (Status::NotRun, None) => Conclusion::Unknown(Doubt::NoDenial),
        (_, Some(_)) if was_denied => Conclusion::Unknown(Doubt::RepeatedDenial),
        (_, Some(denial)) => Conclusion::NotRun(denial),
        (Status::Success { is_proved: true } | Status::Other, None) => Conclusion::Answered,
    }
}
