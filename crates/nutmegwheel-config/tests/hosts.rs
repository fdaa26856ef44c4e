//! Routes by host and path prefix, and keys in the configuration.

use nutmegwheel_config::{Change, Configuration, Delta, HostRoutes, View, hash_key};

fn route(name: &str, host: &str, prefix: &str) -> String {
    format!(
        r#"{{"name": "{name}", "host": "{host}", "prefix": "{prefix}",
            "split": [{{"service": "intake", "weight": 1}}], "open": false,
            "non_idempotent": true, "rank": 2, "timeout_ms": 800, "within_ms": 1500,
            "attempts": 2}}"#
    )
}

fn document(routes: &[String], workspaces: &str) -> String {
    let routes = routes.join(",");
    format!(
        r#"{{"classes": {{}}, "services": {{}}, "hosts": [{routes}], "workspaces": {workspaces}}}"#
    )
}

fn parse(routes: &[String]) -> Configuration {
    Configuration::parse(&document(routes, "{}")).expect("a good configuration")
}

#[test]
fn longest_prefix_wins() {
    let configuration = parse(&[
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("other", "b.example", "/"),
    ]);
    let hosts = HostRoutes::open(&configuration);
    let find = |host, path| hosts.find(host, path).map(|route| &*route.name);
    assert_eq!(find("a.example", "/x/y/1"), Some("long"));
    assert_eq!(find("a.example", "/x/z"), Some("short"));
    assert_eq!(find("A.Example:80", "/x/z"), Some("short"), "case and port");
    assert_eq!(
        find("a.example", "/x"),
        None,
        "the prefix includes its slash"
    );
    assert_eq!(find("b.example", "/any"), Some("other"));
    assert_eq!(find("c.example", "/x/"), None);
}

#[test]
fn canonical_form_round_trips() {
    let key = "00".repeat(32);
    let workspaces =
        format!(r#"{{"vidzeme": {{"rate": 5.5, "burst": 4, "rank": 1, "keys": ["{key}"]}}}}"#);
    let text = document(&[route("r", "a.example", "/x/")], &workspaces);
    let configuration = Configuration::parse(&text).expect("good");
    let again = Configuration::parse(&configuration.to_json()).expect("the canonical form");
    assert_eq!(again, configuration);
}

#[test]
fn reports_errors_with_field() {
    let good = route("r", "a.example", "/x/");
    let cases = [
        ("\"weight\": 1", "\"weight\": 0", "hosts[0].split"),
        (
            "\"timeout_ms\": 800",
            "\"timeout_ms\": 0",
            "hosts[0].timeout_ms",
        ),
        ("\"attempts\": 2", "\"attempts\": 0", "hosts[0].attempts"),
        ("a.example", "", "hosts[0].host"),
        ("a.example", "A.example", "hosts[0].host"),
        ("\"/x/\"", "\"x/\"", "hosts[0].prefix"),
        ("\"rank\": 2", "\"rank\": 99", "hosts[0].rank"),
        ("\"open\": false,", "", "hosts[0].open"),
    ];
    for (old, new, field) in cases {
        let text = document(&[good.replace(old, new)], "{}");
        let error = Configuration::parse(&text).expect_err(old);
        assert_eq!(error.field, field, "{old} -> {new}");
    }
}

fn view_after(view: &View, keys: &[&str]) -> View {
    let keys: Vec<String> = keys
        .iter()
        .map(|key| {
            format!(
                "\"{}\"",
                nutmegwheel_types::hex::encode(&hash_key(key.as_bytes()))
            )
        })
        .collect();
    let keys = keys.join(",");
    let workspaces = format!(r#"{{"vidzeme": {{"rate": 5, "burst": 4, "keys": [{keys}]}}}}"#);
    let configuration = Configuration::parse(&document(&[], &workspaces)).expect("good");
    let delta = Delta::Change(Change::Configure(configuration));
    view.advanced(view.version, delta)
        .expect("the next version")
}

#[test]
fn only_keys_of_newest_configuration_are_valid() {
    let first = view_after(&View::default(), &["one", "two"]);
    assert_eq!(first.keys.len(), 2);
    let second = view_after(&first, &["two"]);
    assert!(!second.keys.contains_key(&hash_key(b"one")), "removed");
    let third = view_after(&second, &["one"]);
    assert!(third.keys.contains_key(&hash_key(b"one")), "added again");
    let none = view_after(&third, &[]);
    assert!(none.keys.is_empty(), "the last key was removed");
}
