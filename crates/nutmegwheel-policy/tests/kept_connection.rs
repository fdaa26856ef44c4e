//! What a kept connection remembers, and after which answers it is closed.

use nutmegwheel_policy::{
    answer::{Conclusion, Denial, Doubt, Identity},
    kept_connection::History,
};

const DENIALS: [Denial; 2] = [Denial::Shed, Denial::OtherServer];

#[test]
fn connection_remembers_denied_requests() {
    for denial in DENIALS {
        let mut history = History::default();
        assert!(!history.has_denied(1));
        assert!(history.record(1, Identity::Own, Conclusion::NotRun(denial)));
        assert!(history.record(2, Identity::Own, Conclusion::Answered));
        assert!(history.has_denied(1), "others in between change nothing");
        assert!(!history.has_denied(2));
    }
}

#[test]
fn connection_is_closed_when_its_answers_are_in_doubt() {
    for doubt in [Doubt::OtherRequest, Doubt::NoId, Doubt::RepeatedDenial] {
        let mut history = History::default();
        assert!(!history.record(1, Identity::Other, Conclusion::Unknown(doubt)));
    }
}

// Where answers bear no id, a late copy of a denial would count for any request that follows.
#[test]
fn connection_without_ids_is_closed_after_denial() {
    let mut history = History::default();
    assert!(history.record(1, Identity::Unmarked, Conclusion::Answered));
    for denial in DENIALS {
        assert!(!history.record(1, Identity::Unmarked, Conclusion::NotRun(denial)));
    }
}

#[test]
fn memory_of_connection_is_bounded() {
    let mut history = History::default();
    let denied = Conclusion::NotRun(Denial::Shed);
    let kept = (0..1000).take_while(|request| history.record(*request, Identity::Own, denied));
    assert_eq!(kept.count(), 256);
}
