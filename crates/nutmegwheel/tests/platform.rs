//! Liveness, readiness and metrics of both roles, and the operators' secret.

mod common;

use common::{KEY, Setup};

#[tokio::test]
async fn metrics_count_answers_and_refusals_by_reason() {
    let setup = Setup::start(&[("riga1", 2)], 1).await;
    setup.backend("riga1-1", "tally-portal", |_| {}).await;
    setup.serving(&["tally-portal"]).await;
    let path = "/tally-portal/count";
    for _ in 0..3 {
        let answer = setup
            .call("riga1-0", path, &[("authorization", KEY)], "")
            .await;
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    setup.call("riga1-0", path, &[], "").await;
    let at = setup.fleet.nodes[0].vm.platform;
    let answer = setup
        .fleet
        .caller
        .call("GET", at, "/metrics", &[], "")
        .await;
    let answer = answer.expect("the platform listener answers");
    assert!(answer.fields["content-type"].starts_with("application/openmetrics-text"));
    let text = answer.text();
    for line in [
        "nutmegwheel_requests_answered_total 3",
        "nutmegwheel_requests_refused_total{reason=\"no-key\",outcome=\"not-run\"} 1",
        "nutmegwheel_configuration_version 2",
        "nutmegwheel_members 3",
        "# EOF",
    ] {
        assert!(text.contains(line), "no {line:?} in:\n{text}");
    }
    let at = setup.fleet.control[0].vm.platform;
    let answer = setup
        .fleet
        .caller
        .call("GET", at, "/metrics", &[], "")
        .await;
    let text = answer.expect("the platform listener answers").text();
    assert!(text.contains("nutmegwheel_leads 1"), "{text}");
}

#[tokio::test]
async fn operators_need_their_secret_and_probes_do_not() {
    let setup = Setup::start(&[("riga1", 1)], 1).await;
    for vm in [&setup.fleet.nodes[0].vm, &setup.fleet.control[0].vm] {
        for (path, fields, status) in [
            ("/livez", &[][..], 200),
            ("/readyz", &[], 200),
            ("/v1/status", &[], 401),
            (
                "/v1/status",
                &[("authorization", "Bearer of-somebody-else")],
                401,
            ),
            ("/v1/events", &[], 401),
            ("/nowhere", &[], 404),
        ] {
            let answer = setup
                .fleet
                .caller
                .call("GET", vm.platform, path, fields, "")
                .await;
            let answer = answer.expect("the platform listener answers");
            assert_eq!(answer.status, status, "{} {path}", vm.name);
        }
    }
}
