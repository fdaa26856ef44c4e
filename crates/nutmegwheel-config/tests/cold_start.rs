//! Cold starts in the configuration and their bound in the settings.

use std::time::Duration;

use nutmegwheel_config::{ColdStartBound, Configuration, Settings};

fn configuration(cold_starts: &str) -> String {
    format!(
        r#"{{"classes": {{}}, "services": {{}}, "workspaces": {{}}, "cold_starts": {cold_starts}}}"#
    )
}

fn settings(cold_start: &str) -> String {
    format!(
        r#"{{"name": "n", "data_centre": "riga1", "role": "node",
  "listen": {{"callers": "10.0.0.1:7000", "backend": "127.0.0.1:7001",
    "platform": "10.0.0.1:7002", "link": "10.0.0.1:7003"}},
  "seeds": [{{"name": "c", "data_centre": "riga1", "link": "10.0.0.9:7003", "control": true}}],
  "fleet_secret": "0123456789abcdef", "operator_secret": "fedcba9876543210"{cold_start}}}"#
    )
}

#[test]
fn canonical_form_keeps_cold_starts() {
    let text = configuration(r#"{"portal": {"rate": 7.2, "duration_ms": 3000}}"#);
    let parsed = Configuration::parse(&text).expect("a configuration");
    assert_eq!(
        parsed.cold_starts["portal"].duration,
        Duration::from_secs(3)
    );
    let canonical = parsed.to_json();
    assert_eq!(Configuration::parse(&canonical).expect("canonical"), parsed);
}

#[test]
fn reports_invalid_cold_starts_with_field() {
    for (text, field) in [
        (
            r#"{"portal": {"rate": 7.2}}"#,
            "cold_starts.portal.duration_ms",
        ),
        (
            r#"{"portal": {"rate": 0, "duration_ms": 1}}"#,
            "cold_starts.portal.rate",
        ),
        (
            r#"{"portal": {"rate": 1, "duration_ms": 0}}"#,
            "cold_starts.portal.duration_ms",
        ),
        ("[]", "cold_starts"),
    ] {
        let error = Configuration::parse(&configuration(text)).expect_err(text);
        assert_eq!(error.field, field, "{text}");
    }
}

#[test]
fn settings_may_bound_cold_starts() {
    let parse = |text: &str| Settings::parse(&settings(text)).map(|s| s.cold_start);
    assert_eq!(parse(""), Ok(None));
    let bound = ColdStartBound {
        overage: 1.5,
        slack: 8.0,
    };
    let text = r#", "cold_start": {"overage": 1.5, "slack": 8}"#;
    assert_eq!(parse(text), Ok(Some(bound)));
    for (text, field) in [
        (r#", "cold_start": {"overage": 1.5}"#, "cold_start.slack"),
        (
            r#", "cold_start": {"overage": 0.5, "slack": 8}"#,
            "cold_start.overage",
        ),
        (
            r#", "cold_start": {"overage": 1, "slack": -1}"#,
            "cold_start.slack",
        ),
    ] {
        assert_eq!(parse(text).expect_err(text).field, field);
    }
}
