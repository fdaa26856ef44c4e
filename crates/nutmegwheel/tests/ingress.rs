//! Tests the status, reason and outcome of requests that an ingress node refuses, and that they do
//! not run.

mod common;

use common::{KEY, Setup};
use nutmegwheel_support::raw;

/// Header fields, path, and the expected status and reason.
type Case = (
    &'static [(&'static str, &'static str)],
    &'static str,
    u16,
    &'static str,
);

const PATH: &str = "/tally-portal/count";
const UNKNOWN: &str = "Bearer key-of-nobody-0000001";

const REFUSED: &[Case] = &[
    (&[], PATH, 401, "no-key"),
    (&[("authorization", UNKNOWN)], PATH, 401, "unknown-key"),
    (
        &[("authorization", "Bearer short")],
        PATH,
        400,
        "bad-request",
    ),
    (&[("authorization", "Basic abc")], PATH, 400, "bad-request"),
    (
        &[("authorization", KEY), ("authorization", KEY)],
        PATH,
        400,
        "bad-request",
    ),
    (
        &[("authorization", KEY)],
        "/nowhere/x",
        404,
        "unknown-service",
    ),
    (
        &[("authorization", KEY)],
        "/tally-portal",
        400,
        "bad-request",
    ),
    (&[("authorization", KEY)], "/", 400, "bad-request"),
    (&[("authorization", KEY)], "//", 400, "bad-request"),
    (
        &[("authorization", KEY), ("nutmegwheel-deadline-ms", "0")],
        PATH,
        504,
        "deadline",
    ),
    (
        &[("authorization", KEY), ("nutmegwheel-deadline-ms", "-1")],
        PATH,
        400,
        "bad-request",
    ),
    (
        &[("authorization", KEY), ("nutmegwheel-deadline-ms", "1e3")],
        PATH,
        400,
        "bad-request",
    ),
    (
        &[
            ("authorization", KEY),
            ("nutmegwheel-deadline-ms", "600001"),
        ],
        PATH,
        400,
        "bad-request",
    ),
    (
        &[
            ("authorization", KEY),
            ("nutmegwheel-deadline-ms", "99999999999999999999"),
        ],
        PATH,
        400,
        "bad-request",
    ),
    (
        &[
            ("authorization", KEY),
            ("nutmegwheel-deadline-ms", "1"),
            ("nutmegwheel-deadline-ms", "1"),
        ],
        PATH,
        400,
        "bad-request",
    ),
    (
        &[
            ("authorization", KEY),
            ("nutmegwheel-non-idempotent", "yes"),
        ],
        PATH,
        400,
        "bad-request",
    ),
    (
        &[("authorization", KEY), ("idempotency-key", "")],
        PATH,
        400,
        "bad-request",
    ),
    (
        &[("authorization", KEY)],
        "/shiftbook/read",
        503,
        "no-backend-server",
    ),
];

#[tokio::test]
async fn refuses_invalid_requests_without_running_them() {
    let setup = Setup::start(&[("riga1", 2)], 1).await;
    setup.start_backend("riga1-1", "tally-portal", |_| {}).await;
    setup.wait_for_services(&["tally-portal"]).await;
    for (fields, path, status, reason) in REFUSED {
        let answer = setup.call("riga1-0", path, fields, "x").await;
        let seen = (answer.status, answer.reason());
        assert_eq!(seen, (*status, (*reason).to_owned()), "{fields:?} {path}");
        assert_eq!(answer.outcome(), Some("not-run"), "{fields:?} {path}");
        assert_eq!(answer.fields["content-type"], "application/problem+json");
    }
    assert!(setup.ledger.runs().is_empty(), "{:?}", setup.ledger.runs());
}

#[tokio::test]
async fn refuses_malformed_http_and_keeps_serving() {
    let setup = Setup::start(&[("riga1", 1)], 1).await;
    setup.start_backend("riga1-0", "tally-portal", |_| {}).await;
    setup.wait_for_services(&["tally-portal"]).await;
    let at = setup.fleet.nodes[0].vm.callers;
    let huge_head = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "x".repeat(64 * 1024));
    let many_fields = format!("GET / HTTP/1.1\r\n{}\r\n", "x: y\r\n".repeat(200));
    let bytes: [&[u8]; 6] = [
        b"\0\xff\xfe garbage\r\n\r\n",
        b"GET / HTTP/9.9\r\n\r\n",
        b"POST /a/b HTTP/1.1\r\ncontent-length: x\r\n\r\n",
        b"POST /a/b HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nx",
        huge_head.as_bytes(),
        many_fields.as_bytes(),
    ];
    for bytes in bytes {
        let answer = raw(at, bytes).await.unwrap_or_default();
        let answer = String::from_utf8_lossy(&answer);
        let refused = answer.is_empty() || answer.starts_with("HTTP/1.1 4");
        assert!(refused, "{answer}");
    }
    let big = "x".repeat(1024 * 1024 + 1);
    let answer = setup
        .call("riga1-0", PATH, &[("authorization", KEY)], &big)
        .await;
    assert_eq!(
        (answer.status, answer.reason().as_str()),
        (413, "body-too-large")
    );
    let limit = &big[1..];
    let answer = setup
        .call("riga1-0", PATH, &[("authorization", KEY)], limit)
        .await;
    assert_eq!(answer.status, 200);
    assert_eq!(setup.ledger.runs().len(), 1);
}

#[tokio::test]
async fn open_routes_need_no_key_and_never_forward_one() {
    let setup = Setup::start(&[("riga1", 2)], 1).await;
    setup.start_backend("riga1-1", "tally-portal", |_| {}).await;
    setup.wait_for_services(&["tally-portal"]).await;
    let answer = setup.call("riga1-0", "/tally-portal/health", &[], "").await;
    assert_eq!(answer.status, 200);
    let answer = setup
        .call(
            "riga1-0",
            "/tally-portal/health",
            &[("authorization", UNKNOWN)],
            "",
        )
        .await;
    assert_eq!(answer.status, 200);
    let runs = setup.ledger.runs();
    assert!(runs.iter().all(|run| run.workspace.is_none()));
    assert!(
        runs.iter()
            .all(|run| !run.fields.contains_key("authorization"))
    );
}
