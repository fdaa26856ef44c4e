//! Orders to evacuate data centres in the replicated state, and in the views that follow it by
//! deltas.

use std::{collections::BTreeSet, sync::Arc};

use nutmegwheel_config::{Delta, View};
use nutmegwheel_control::state::{Command, CommandOutcome, State};
use nutmegwheel_types::DataCentreId;

fn evacuate(data_centre: &str) -> Command {
    Command::Evacuate {
        data_centre: data_centre.into(),
    }
}

fn readmit(data_centre: &str) -> Command {
    Command::Readmit {
        data_centre: data_centre.into(),
    }
}

fn publish(version: u64, base: u64) -> Command {
    Command::Publish {
        version,
        base,
        content: r#"{"classes": {}, "services": {}, "workspaces": {}}"#.to_owned(),
        document: format!("document {version}"),
    }
}

fn published() -> State {
    let mut state = State::default();
    state.apply(&publish(1, 0));
    assert_eq!(state.view().version, 1);
    state
}

fn evacuated(view: &View) -> Vec<&str> {
    view.evacuated.iter().map(|name| &**name).collect()
}

#[test]
fn repeated_orders_commit_nothing_new() {
    let steps = [
        (readmit("riga1"), 1, false),
        (evacuate("riga1"), 2, true),
        (evacuate("riga1"), 2, false),
        (evacuate("riga2"), 3, true),
        (readmit("riga1"), 4, true),
        (readmit("riga1"), 4, false),
        (evacuate("riga1"), 5, true),
    ];
    let mut state = published();
    for (number, (command, version, first)) in steps.into_iter().enumerate() {
        let outcome = state.apply(&command);
        let expected = CommandOutcome::Committed { version, first };
        assert_eq!(outcome, expected, "step {number}");
    }
    assert_eq!(evacuated(state.view()), ["riga1", "riga2"]);
}

#[test]
fn orders_survive_snapshots_and_publications() {
    let mut state = published();
    state.apply(&evacuate("riga2"));
    let mut restored = State::decode(&state.encode()).expect("its own snapshot");
    assert_eq!(restored, state);
    restored.apply(&publish(2, 1));
    assert_eq!(evacuated(restored.view()), ["riga2"]);
    restored.apply(&readmit("riga2"));
    assert!(restored.view().evacuated.is_empty());
}

#[test]
fn state_without_orders_is_written_as_by_earlier_versions() {
    let state = published();
    let bytes = state.encode();
    let text = String::from_utf8(bytes.clone()).expect("JSON");
    assert!(!text.contains("evacuated"), "{text}");
    assert_eq!(State::decode(&bytes).expect("an earlier snapshot"), state);
}

#[test]
fn order_before_first_configuration_takes_effect_with_it() {
    let mut state = State::default();
    let outcome = state.apply(&evacuate("riga3"));
    let expected = CommandOutcome::Committed {
        version: 0,
        first: true,
    };
    assert_eq!(outcome, expected, "version 0 stands for no configuration");
    let mut restored = State::decode(&state.encode()).expect("its own snapshot");
    restored.apply(&publish(1, 0));
    assert_eq!(restored.view().version, 1);
    assert_eq!(evacuated(restored.view()), ["riga3"]);
}

/// A process that gets each delta holds the same view as one that fetches the whole.
#[test]
fn views_that_follow_by_deltas_equal_committed_view() {
    let commands = [
        evacuate("riga1"),
        publish(2, 1),
        evacuate("riga2"),
        evacuate("riga2"),
        readmit("riga1"),
        publish(3, 2),
        readmit("riga2"),
        evacuate("riga3"),
    ];
    let mut state = published();
    let mut follower = View::decode(&state.view().encode()).expect("the whole view");
    for command in &commands {
        let before = state.view().version;
        state.apply(command);
        if state.view().version > before {
            let delta = command.delta().expect("a delta").encode();
            let delta = Delta::decode(&delta).expect("its own encoding");
            follower = follower.advanced(before, delta).expect("the same base");
        }
        assert_eq!(&follower, state.view(), "{command:?}");
        let whole = View::decode(&state.view().encode()).expect("the whole view");
        assert_eq!(&whole, state.view(), "{command:?}");
    }
    let expected: BTreeSet<DataCentreId> = [Arc::from("riga3")].into();
    assert_eq!(follower.evacuated, expected);
}
