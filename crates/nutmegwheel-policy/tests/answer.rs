//! What answers prove, for each combination of what their heads say.

use nutmegwheel_policy::answer::{Conclusion, Denial, Doubt, Identity, Marks, conclude};

const DENIALS: [Option<Denial>; 3] = [None, Some(Denial::Shed), Some(Denial::OtherServer)];

// Guards against TWICE: the status of an answer to another request decides about this one.
#[test]
fn answer_to_another_request_proves_nothing() {
    let doubts = [
        (Identity::Other, Doubt::OtherRequest),
        (Identity::Missing, Doubt::NoId),
    ];
    for (identity, doubt) in doubts {
        for denial in DENIALS {
            let marks = Marks { identity, denial };
            for was_denied in [false, true] {
                let conclusion = conclude(marks, was_denied);
                assert_eq!(conclusion, Conclusion::Unknown(doubt), "{marks:?}");
            }
        }
    }
}

#[test]
fn own_answer_proves_what_it_says() {
    for identity in [Identity::Own, Identity::Unmarked] {
        for denial in DENIALS {
            let expected = denial.map_or(Conclusion::Answered, Conclusion::NotRun);
            assert_eq!(conclude(Marks { identity, denial }, false), expected);
        }
    }
}

// Guards against REFUSED and TWICE: a second copy of the denial of an earlier try is taken for the
// answer to the next try of the same request.
#[test]
fn second_denial_on_connection_proves_nothing() {
    for denial in DENIALS {
        let identity = Identity::Own;
        let expected = match denial {
            Some(_) => Conclusion::Unknown(Doubt::RepeatedDenial),
            None => Conclusion::Answered,
        };
        assert_eq!(conclude(Marks { identity, denial }, true), expected);
    }
}
