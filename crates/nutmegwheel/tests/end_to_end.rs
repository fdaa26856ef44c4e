//! A request passes through separate processes: the ingress node, another node and its backend
//! server, a nested call to another data centre, and back.

mod common;

use common::{KEY, KEY_TEXT, Setup};

#[tokio::test]
async fn serves_request_with_nested_call_across_data_centres() {
    let setup = Setup::start(&[("riga1", 2), ("riga2", 2), ("riga3", 2)], 1).await;
    setup
        .start_backend("riga1-1", "tally-portal", |behaviour| {
            let calls = vec!["/dispatch/crew".to_owned()];
            behaviour.calls.insert("/tally-portal/count".into(), calls);
        })
        .await;
    setup.start_backend("riga2-1", "dispatch", |_| {}).await;
    setup.wait_for_services(&["tally-portal", "dispatch"]).await;

    let answer = setup
        .call(
            "riga1-0",
            "/tally-portal/count",
            &[("authorization", KEY)],
            "42",
        )
        .await;

    assert_eq!(answer.status, 200, "{}", answer.text());
    assert_eq!(answer.json()["echo"], "42");
    assert_eq!(answer.json()["below"]["service"], "dispatch");
    let runs = setup.ledger.runs();
    let paths: Vec<&str> = runs.iter().map(|run| run.path.as_str()).collect();
    assert_eq!(paths, ["/tally-portal/count", "/dispatch/crew"]);
    for run in &runs {
        assert_eq!(run.root, answer.fields["nutmegwheel-request"]);
        assert_eq!(run.workspace.as_deref(), Some("vidzeme"));
        let leaked = run.fields.values().any(|value| value.contains(KEY_TEXT));
        assert!(!leaked, "a backend server saw the key: {:?}", run.fields);
    }
}
