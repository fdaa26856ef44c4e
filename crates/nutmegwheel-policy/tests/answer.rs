//! What answers prove, for each combination of what their heads say.

use nutmegwheel_policy::answer::{Conclusion, Denial, Doubt, Identity, Marks, Status, conclude};

const DENIALS: [Option<Denial>; 3] = [None, Some(Denial::Shed), Some(Denial::OtherServer)];
const STATUSES: [Status; 5] = [
    Status::Interim,
    Status::Success { is_proved: false },
    Status::Success { is_proved: true },
    Status::NotRun,
    Status::Other,
];

fn marks(identity: Identity, status: Status, denial: Option<Denial>) -> Marks {
    Marks {
        identity,
        status,
        denial,
    }
}

/// All combinations of a status and a denial.
fn heads() -> impl Iterator<Item = (Status, Option<Denial>)> {
    let heads = STATUSES.into_iter();
    heads.flat_map(|status| DENIALS.into_iter().map(move |denial| (status, denial)))
}

// Guards against TWICE: the status of an answer to another request decides about this one.
#[test]
fn answer_to_another_request_proves_nothing() {
    let doubts = [
        (Identity::Other, Doubt::OtherRequest),
        (Identity::Missing, Doubt::NoId),
    ];
    for (identity, doubt) in doubts {
        for (status, denial) in heads() {
            for was_denied in [false, true] {
                let marks = marks(identity, status, denial);
                let conclusion = conclude(marks, was_denied);
                assert_eq!(conclusion, Conclusion::Unknown(doubt), "{marks:?}");
            }
        }
    }
}

// Guards against MIXED and REFUSED: a success without proof, or a status that promises "not run"
// without the backend server's word, reaches a caller.
#[test]
fn own_answer_proves_what_it_says_without_contradiction() {
    let unknown = Conclusion::Unknown;
    for identity in [Identity::Own, Identity::Unmarked] {
        for (status, denial) in heads() {
            let expected = match (status, denial) {
                (Status::Interim, _) => unknown(Doubt::NotFinal),
                (Status::Success { .. }, Some(_)) => unknown(Doubt::Contradiction),
                (Status::Success { is_proved: false }, None) => unknown(Doubt::NoProof),
                (Status::Success { is_proved: true } | Status::Other, None) => Conclusion::Answered,
                (Status::NotRun, None) => unknown(Doubt::NoDenial),
                (Status::NotRun | Status::Other, Some(denial)) => Conclusion::NotRun(denial),
            };
            let marks = marks(identity, status, denial);
            assert_eq!(conclude(marks, false), expected, "{marks:?}");
        }
    }
}

// Guards against REFUSED and TWICE: a second copy of the denial of an earlier try is taken for the
// answer to the next try of the same request.
#[test]
fn second_denial_on_connection_proves_nothing() {
    for status in [Status::NotRun, Status::Other] {
        for denial in [Denial::Shed, Denial::OtherServer] {
            let marks = marks(Identity::Own, status, Some(denial));
            let expected = Conclusion::Unknown(Doubt::RepeatedDenial);
            assert_eq!(conclude(marks, true), expected);
        }
    }
    for status in [Status::Success { is_proved: true }, Status::Other] {
        let marks = marks(Identity::Own, status, None);
        assert_eq!(conclude(marks, true), Conclusion::Answered);
    }
}
