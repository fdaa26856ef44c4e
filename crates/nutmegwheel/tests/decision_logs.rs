//! What the logs tell of decisions, so that the cause of a failed request is found in them.

mod common;

use std::collections::HashMap;

use common::Setup;
use serde_json::Value;

const CONTROL_VMS: [&str; 3] = ["control-0", "control-1", "control-2"];

/// The fields of the logged events of this kind, in the order of the log.
fn events(setup: &Setup, process: &str, event: &str) -> Vec<HashMap<String, String>> {
    let log = setup.fleet.log(process);
    let lines = log.lines().filter_map(|line| {
        let line: Value = serde_json::from_str(line).ok()?;
        (line["event"] == event).then(|| line["fields"].clone())
    });
    lines
        .map(|fields| serde_json::from_value(fields).expect("fields"))
        .collect()
}

fn token_server(setup: &Setup) -> Option<&'static str> {
    let elected = |name: &&str| !events(setup, name, "steward-elected").is_empty();
    CONTROL_VMS.into_iter().find(elected)
}

// Guards against refusals by the own interface that leave no line in the log.
#[tokio::test]
async fn refused_request_is_logged_with_its_id_and_cause() {
    let setup = Setup::start(&[("riga1", 1)], 1).await;
    let answer = setup.call_with_key("riga1-0", "/dispatch/crew", "").await;
    assert_eq!(answer.status, 503, "no backend server runs");
    let id = answer.json()["request"].as_str().map(str::to_owned);
    let logged = events(&setup, "riga1-0", "request-failed");
    let line = logged.iter().find(|fields| fields.get("id") == id.as_ref());
    let line = line.expect("a line with the id of the answer");
    assert_eq!(line["reason"], "no-backend-server");
    assert_eq!(line["outcome"], "not-run");
    assert_eq!(line["version"], "2");
    assert!(line.contains_key("detail") && line.contains_key("after_ms"));
}

// Guards against a replaced token server of which no log tells.
#[tokio::test]
async fn replacement_of_token_server_is_logged() {
    let setup = Setup::start(&[("riga1", 1)], 3).await;
    setup
        .wait_until("a token server is elected", async || {
            token_server(&setup).is_some()
        })
        .await;
    let first = token_server(&setup).expect("elected");
    setup.signal(first, "TERM");
    setup
        .wait_until("its replacement is logged", async || {
            let others = CONTROL_VMS.into_iter().filter(|name| *name != first);
            let mut elected = others.map(|name| events(&setup, name, "steward-elected"));
            let stood_down = events(&setup, first, "steward-stood-down");
            !stood_down.is_empty() && elected.any(|events| !events.is_empty())
        })
        .await;
}
