//! Parsing, validation and encoding of configurations, changes, views and deltas.

use std::fmt::Write as _;

use nutmegwheel_config::{Change, Configuration, Delta, NoRoute, View, hash_key};

const GOOD: &str = r#"{
  "classes": {"crews": {"rank": 0, "finish": 0.999, "within_ms": 800}},
  "services": {
    "dispatch": {"crew": {"class": "crews", "non_idempotent": true}, "*": {"class": "crews"}},
    "intake": {"count": {"class": "crews", "open": true}}
  },
  "workspaces": {"vidzeme": {"rate": 0.5, "burst": 1}}
}"#;

#[test]
fn finds_routes_by_name_and_wildcard() {
    let configuration = Configuration::parse(GOOD).expect("good");
    let route = |service, endpoint| configuration.route(service, endpoint);
    assert!(route("dispatch", "crew").is_ok_and(|route| route.non_idempotent));
    assert!(route("dispatch", "other").is_ok_and(|route| !route.non_idempotent));
    assert_eq!(route("intake", "other"), Err(NoRoute::Endpoint));
    assert_eq!(route("billing", "x"), Err(NoRoute::Service));
    assert_eq!(configuration.retries_per_request, 3);
}

#[test]
fn reports_errors_with_line_and_field() {
    let faults = [
        ("\"rank\": 0", "\"rank\": 16"),
        ("\"rank\": 0", "\"rank\": -1"),
        ("\"rank\": 0", "\"rank\": 0.5"),
        ("\"finish\": 0.999", "\"finish\": 0"),
        ("\"finish\": 0.999", "\"finish\": 1.01"),
        ("\"finish\": 0.999", "\"finish\": 1e999"),
        ("\"within_ms\": 800", "\"within_ms\": 0"),
        ("\"within_ms\": 800", "\"within_ms\": 600001"),
        (
            "\"class\": \"crews\", \"non",
            "\"class\": \"nobody\", \"non",
        ),
        ("\"open\": true", "\"open\": \"yes\""),
        ("\"open\": true", "\"address\": \"10.0.0.1\""),
        ("\"rate\": 0.5", "\"rate\": 0"),
        ("\"burst\": 1", "\"burst\": 0.5"),
        ("\"vidzeme\"", "\"Vidzeme\""),
        ("\"workspaces\"", "\"weights\": 1, \"workspaces\""),
        (
            "\"workspaces\"",
            "\"retries_per_request\": 17, \"workspaces\"",
        ),
        (
            "\"workspaces\"",
            "\"when_cut_off\": \"stop\", \"workspaces\"",
        ),
        ("\"intake\"", "\"dispatch\""),
    ];
    let mut shown = String::new();
    for (good, bad) in faults {
        assert!(GOOD.contains(good), "not in the document: {good}");
        let e = Configuration::parse(&GOOD.replacen(good, bad, 1)).expect_err(bad);
        let _ = writeln!(shown, "{bad:40} {e}");
    }
    insta::assert_snapshot!(shown);
}

#[test]
fn canonical_form_round_trips() {
    let configuration = Configuration::parse(GOOD).expect("good");
    let again = Configuration::parse(&configuration.to_json()).expect("canonical");
    assert_eq!(again, configuration);
    let spaced = GOOD.replace(':', " : // a comment\n");
    let spaced = Configuration::parse(&spaced).expect("with comments");
    assert_eq!(spaced.to_json(), configuration.to_json());
}

#[test]
fn change_round_trips() {
    let hash = nutmegwheel_types::hex::encode(&hash_key(b"a key of vidzeme"));
    let give = format!(r#"{{"give_key": {{"workspace": "vidzeme", "hash": "{hash}"}}}}"#);
    for text in [format!("{{\"configure\": {GOOD}}}"), give] {
        let change = Change::parse(&text).expect("good");
        assert_eq!(Change::parse(&change.to_json()), Ok(change));
    }
    for bad in [
        "{}",
        "[]",
        "",
        "{\"give_key\": {\"workspace\": \"v\", \"hash\": \"12\"}}",
    ] {
        assert!(Change::parse(bad).is_err(), "{bad}");
    }
}

#[test]
fn view_round_trips_and_refuses_truncated_bytes() {
    let mut view = View {
        version: 7,
        configuration: Configuration::parse(GOOD).expect("good"),
        ..View::default()
    };
    view.keys.insert(hash_key(b"one"), "vidzeme".into());
    view.withdrawn.insert(hash_key(b"two"));
    let bytes = view.encode();
    assert_eq!(View::decode(&bytes).expect("an encoded view"), view);
    for end in 0..bytes.len() {
        assert!(View::decode(&bytes[..end]).is_err(), "cut at {end}");
    }
}

#[test]
fn delta_applies_only_to_its_base() {
    let mut view = View {
        version: 7,
        ..View::default()
    };
    let delta = Delta::Withdraw(hash_key(b"one"));
    let next = view
        .advanced(7, delta.clone())
        .expect("the base is current");
    assert_eq!((next.version, next.withdrawn.len()), (8, 1));
    for base in [0, 6, 8] {
        assert!(view.advanced(base, delta.clone()).is_err(), "base {base}");
    }
    view.advance(delta);
    assert_eq!(view, next);
}

#[test]
fn request_limits_are_optional() {
    let parse = |limits: &str| {
        let text = format!(r#"{{"classes":{{}},"services":{{}},"workspaces":{{}}{limits}}}"#);
        Configuration::parse(&text)
    };
    let without = parse("").expect("valid").to_json();
    assert!(!without.contains("request_limits"), "{without}");
    let limited = parse(r#","request_limits":{"max_body":67108864}"#).expect("valid");
    let max_body = limited.request_limits.map(|limits| limits.max_body);
    assert_eq!(max_body, Some(64 * 1024 * 1024));
    assert_eq!(Configuration::parse(&limited.to_json()), Ok(limited));
    for limits in ["{}", "5", r#"{"max_body":0}"#, r#"{"max_body":1073741825}"#] {
        let error = parse(&format!(r#","request_limits":{limits}"#)).unwrap_err();
        assert!(error.field.starts_with("request_limits"), "{error:?}");
    }
}
