//! Outcomes of commands in the replicated state: resends, competing changes, stale numbers, keys,
//! and publications.

use nutmegwheel_config::hash_key;
use nutmegwheel_control::state::{Command, CommandOutcome, State};
use nutmegwheel_types::hex;

const CONFIGURATION: &str = r#"{"configure": {"classes": {}, "services": {},
  "workspaces": {"vidzeme": {"rate": 1, "burst": 1}, "zemgale": {"rate": 1, "burst": 1}}}}"#;

fn change(number: u64, content: &str) -> Command {
    let content = nutmegwheel_config::Change::parse(content).expect("good change");
    Command::Change {
        number,
        content: content.to_json(),
    }
}

fn give_key(number: u64, workspace: &str, key: &str) -> Command {
    let hash = hex::encode(&hash_key(key.as_bytes()));
    let content = format!(r#"{{"give_key": {{"workspace": "{workspace}", "hash": "{hash}"}}}}"#);
    change(number, &content)
}

fn withdraw(key: &str) -> Command {
    let hash = hex::encode(&hash_key(key.as_bytes()));
    Command::Withdraw { hash }
}

fn state() -> State {
    let mut state = State::default();
    let outcome = state.apply(&change(1, CONFIGURATION));
    let expected = CommandOutcome::Committed {
        version: 1,
        first: true,
    };
    assert_eq!(outcome, expected);
    state
}

#[test]
fn answers_resend_with_first_outcome_after_later_changes() {
    let mut state = state();
    state.apply(&give_key(5, "vidzeme", "a"));
    let outcome = state.apply(&change(1, CONFIGURATION));
    let expected = CommandOutcome::Committed {
        version: 1,
        first: false,
    };
    assert_eq!(outcome, expected);
    assert_eq!(state.view().version, 2);
}

#[test]
fn refuses_second_change_with_same_number_and_returns_first() {
    let mut state = state();
    state.apply(&give_key(2, "vidzeme", "a"));
    let CommandOutcome::NumberTaken { winner } = state.apply(&give_key(2, "zemgale", "b")) else {
        panic!("two changes were committed under one number");
    };
    assert_eq!((winner.version, winner.kind.as_str()), (2, "give_key"));
    assert!(!state.view().keys.contains_key(&hash_key(b"b")));
}

#[test]
fn refuses_number_below_last_committed() {
    let mut state = state();
    state.apply(&give_key(9, "vidzeme", "a"));
    let outcome = state.apply(&give_key(4, "vidzeme", "b"));
    assert_eq!(outcome, CommandOutcome::NumberTooLow { last_change: 9 });
    assert_eq!(state.view().version, 2);
}

#[test]
fn refuses_withdrawn_key_permanently() {
    let mut state = state();
    state.apply(&give_key(2, "vidzeme", "a"));
    state.apply(&withdraw("a"));
    let before = state.view().version;
    assert!(!state.view().keys.contains_key(&hash_key(b"a")));
    assert_eq!(
        state.apply(&give_key(3, "vidzeme", "a")),
        CommandOutcome::KeyWithdrawn
    );
    state.apply(&withdraw("a"));
    assert_eq!(
        state.view().version,
        before,
        "a second withdrawal changes nothing"
    );
}

#[test]
fn refuses_key_of_another_or_unknown_workspace() {
    let mut state = state();
    state.apply(&give_key(2, "vidzeme", "a"));
    assert_eq!(
        state.apply(&give_key(3, "zemgale", "a")),
        CommandOutcome::KeyTaken
    );
    let unknown = state.apply(&give_key(3, "kurzeme", "b"));
    assert!(matches!(unknown, CommandOutcome::Refused { .. }));
    assert_eq!(
        state.last_change(),
        2,
        "a refused change leaves its number free"
    );
}

#[test]
fn restores_snapshot_and_bounds_retained_changes() {
    let mut state = state();
    for number in 2..6000 {
        state.apply(&give_key(number, "vidzeme", &number.to_string()));
    }
    let restored = State::decode(&state.encode()).expect("its own snapshot");
    assert_eq!(restored, state);
    assert!(state.committed_change(1).is_none() && state.committed_change(5999).is_some());
    assert_eq!(
        state.apply(&change(1, CONFIGURATION)),
        CommandOutcome::NumberTooLow { last_change: 5999 }
    );
}

fn publish(version: u64, base: u64, timeout_ms: u64) -> Command {
    let content = format!(
        r#"{{"classes": {{}}, "services": {{}}, "workspaces": {{}}, "hosts": [{{
            "name": "r", "host": "a.example", "prefix": "/", "open": true,
            "split": [{{"service": "intake", "weight": 1}}], "non_idempotent": false,
            "rank": 0, "timeout_ms": {timeout_ms}, "within_ms": 10, "attempts": 1}}]}}"#
    );
    Command::Publish {
        version,
        base,
        document: format!("as written: {content}"),
        content,
    }
}

#[test]
fn refuses_publication_not_based_on_published_version() {
    let mut state = State::default();
    let first = CommandOutcome::Committed {
        version: 1,
        first: true,
    };
    assert_eq!(state.apply(&publish(4, 0, 100)), first);
    let other_base = CommandOutcome::OtherBase { current: 4 };
    assert_eq!(state.apply(&publish(9, 3, 100)), other_base, "another base");
    assert_eq!(state.apply(&publish(9, 0, 100)), other_base, "none");
    let low = CommandOutcome::VersionTooLow { current: 4 };
    assert_eq!(state.apply(&publish(4, 4, 200)), low, "the same version");
    assert!(matches!(
        state.apply(&publish(9, 4, 200)),
        CommandOutcome::Committed { first: true, .. }
    ));
    assert_eq!(state.published().map(|p| p.version), Some(9));
}

#[test]
fn refuses_second_publication_on_same_base() {
    let mut state = State::default();
    state.apply(&publish(1, 0, 100));
    state.apply(&publish(5, 1, 200));
    let other = state.apply(&publish(5, 1, 300));
    assert_eq!(
        other,
        CommandOutcome::OtherBase { current: 5 },
        "equal numbers"
    );
    let other = state.apply(&publish(6, 1, 300));
    assert_eq!(
        other,
        CommandOutcome::OtherBase { current: 5 },
        "other numbers"
    );
}

#[test]
fn acknowledges_resent_publications_after_restore() {
    let mut state = State::default();
    state.apply(&publish(1, 0, 100));
    state.apply(&publish(5, 1, 200));
    state.apply(&publish(7, 5, 300));
    let mut restored = State::decode(&state.encode()).expect("its own snapshot");
    assert_eq!(restored, state);
    for resend in [publish(1, 0, 100), publish(5, 1, 200), publish(7, 5, 300)] {
        let outcome = restored.apply(&resend);
        assert!(
            matches!(outcome, CommandOutcome::Committed { first: false, .. }),
            "{outcome:?}"
        );
    }
    assert_eq!(restored.published().map(|p| p.version), Some(7));
}

#[test]
fn leaves_state_unchanged_after_invalid_publication() {
    let mut state = State::default();
    state.apply(&publish(1, 0, 100));
    let before = state.clone();
    let refused = state.apply(&publish(2, 1, 0));
    assert!(
        matches!(refused, CommandOutcome::Refused { .. }),
        "{refused:?}"
    );
    assert_eq!(state, before);
}
