//! Parsing and validation of settings files.

use std::{fmt::Write as _, time::Duration};

use nutmegwheel_config::{Role, Routing, Settings};

const NODE: &str = r#"{
  // A node in Riga.
  "name": "riga1-0", "data_centre": "riga1", "role": "node",
  "listen": {
    "callers": "10.0.0.1:7000", "backend": "127.0.0.1:7001",
    "platform": "10.0.0.1:7002", "link": "10.0.0.1:7003"
  },
  "seeds": [
    {"name": "control-0", "data_centre": "riga1", "link": "10.0.0.9:7003", "control": true}
  ],
  "fleet_secret": "0123456789abcdef", "operator_secret": "fedcba9876543210",
}"#;

#[test]
fn parses_valid_settings() {
    let settings = Settings::parse(NODE).expect("good settings");
    assert_eq!(&*settings.name, "riga1-0");
    assert_eq!(settings.role, Role::Node);
    assert_eq!(settings.control_vms().count(), 1);
}

#[test]
fn advertised_address_overrides_listen_address() {
    let settings = Settings::parse(NODE).expect("good settings");
    let link = "10.0.0.1:7003".parse().expect("an address");
    assert_eq!(settings.listen.advertised_link(), link);
    let good = "\"10.0.0.1:7003\", \"link_advertised\": \"192.0.2.1:9\"";
    let settings = Settings::parse(&NODE.replacen("\"10.0.0.1:7003\"", good, 1));
    let settings = settings.expect("good settings");
    assert_eq!(settings.listen.link, link);
    let advertised = "192.0.2.1:9".parse().expect("an address");
    assert_eq!(settings.listen.advertised_link(), advertised);
}

#[test]
fn reports_errors_with_line_and_field() {
    let faults = [
        ("\"role\": \"node\"", "\"role\": \"nod\""),
        ("\"name\": \"riga1-0\"", "\"name\": \"Riga 1\""),
        ("\"name\": \"riga1-0\", ", ""),
        ("\"10.0.0.1:7000\"", "\"10.0.0.1\""),
        ("\"10.0.0.1:7000\"", "7000"),
        ("\"10.0.0.1:7000\"", "\"10.0.0.1:7003\""),
        ("\"127.0.0.1:7001\"", "\"10.0.0.1:7001\""),
        (
            "\"10.0.0.1:7003\"",
            "\"10.0.0.1:7003\", \"link_advertised\": \"x\"",
        ),
        (
            "\"10.0.0.1:7003\"",
            "\"10.0.0.1:7003\", \"link_advertised\": \"0.0.0.0:7003\"",
        ),
        ("\"control\": true", "\"control\": false"),
        ("\"control\": true", "\"control\": 1"),
        ("\"control\": true", "\"controll\": true"),
        ("\"0123456789abcdef\"", "\"short\""),
        ("\"0123456789abcdef\"", "\"fedcba9876543210\""),
        ("\"seeds\": [", "\"data_folder\": \"/d\", \"seeds\": ["),
        ("\"seeds\": [", "\"weights\": {}, \"seeds\": ["),
        ("\"seeds\": [", "\"name\": \"again\", \"seeds\": ["),
        ("\"seeds\": [", "\"seeds\": [,"),
        ("\"role\": \"node\"", "\"role\": \"control\""),
    ];
    let mut shown = String::new();
    for (good, bad) in faults {
        assert!(NODE.contains(good), "not in the document: {good}");
        let e = Settings::parse(&NODE.replacen(good, bad, 1)).expect_err(bad);
        let _ = writeln!(shown, "{bad:40} {e}");
    }
    insta::assert_snapshot!(shown);
}

const WITH_CONTACTS: &str = r#"{
  "name": "n1", "data_centre": "riga1", "role": "node", "dialect": "platform",
  "listen": {
    "callers": "10.1.0.11:8548", "backend": "10.1.0.11:8540",
    "platform": "10.1.0.11:8546", "link": "10.1.0.11:7000"
  },
  "contacts": {
    "control": ["10.1.0.32:8540", "10.2.0.28:8540"], "link_port": 7000,
    "founding": true, "lost_control_vms": 1, "data_centres": ["riga1", "riga2"]
  },
  "backend_server": {
    "service": "intake", "address": "10.1.0.11:8547", "concurrency": "announced"
  },
  "stop_within_ms": 6000, "max_descriptors": 4100, "max_memory_mb": 160,
  "retry_budget": {"ratio": 0.2, "slack": 49.5, "window_s": 10},
  "fleet_secret": "secret-of-the-fleet-01"
}"#;

#[test]
fn accepts_contacts_in_place_of_seeds() {
    let settings = Settings::parse(WITH_CONTACTS).expect("good");
    assert!(settings.seeds.is_empty());
    let links: Vec<String> = settings
        .contact_links()
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(links, ["10.1.0.32:7000", "10.2.0.28:7000"]);
    assert_eq!(settings.data_centres().len(), 2);
    assert_eq!(settings.max_descriptors, Some(4100));
    assert_eq!(settings.max_memory, Some(160_000_000));
    let budget = settings.retry_budget.expect("stated");
    assert_eq!((budget.ratio_permille, budget.slack), (200, 49));
    assert_eq!(budget.window, Duration::from_secs(10));
    assert_eq!(
        settings.operator_secret, None,
        "the native interface is closed"
    );
}

#[test]
fn reports_errors_in_contacts_with_field() {
    let cases = [
        ("\"10.2.0.28:8540\"", "\"10.2.0.28\"", "contacts.control[1]"),
        (
            "\"link_port\": 7000",
            "\"link_port\": 0",
            "contacts.link_port",
        ),
        ("\"founding\": true", "\"founding\": 1", "contacts.founding"),
        (
            "\"lost_control_vms\": 1",
            "\"lost_control_vms\": 9",
            "contacts.lost_control_vms",
        ),
        ("\"announced\"", "\"many\"", "backend_server.concurrency"),
        ("6000", "5", "stop_within_ms"),
        ("4100", "3", "max_descriptors"),
        ("160", "16", "max_memory_mb"),
        ("\"ratio\": 0.2", "\"ratio\": 1.2", "retry_budget.ratio"),
        ("\"slack\": 49.5", "\"slack\": -1", "retry_budget.slack"),
        (
            "\"window_s\": 10",
            "\"window_s\": 0",
            "retry_budget.window_s",
        ),
        ("\"platform\",", "\"other\",", "dialect"),
    ];
    for (old, new, field) in cases {
        let error = Settings::parse(&WITH_CONTACTS.replacen(old, new, 1)).expect_err(old);
        assert_eq!(error.field, field, "{old} -> {new}");
    }
}

#[test]
fn reads_contracts() {
    let read = |field: &str| Settings::parse(&NODE.replacen('{', &format!("{{{field}"), 1));
    assert!(read("").expect("good").contracts.is_empty());
    let settings = read("\"contracts\": [\"base\", \"pool\"],").expect("good");
    assert_eq!(settings.contracts, ["base", "pool"]);
    let error = read("\"contracts\": [1],").expect_err("no name");
    assert_eq!(error.field, "contracts[0]");
}

#[test]
fn reads_routing() {
    for (field, want) in [
        ("", Some(None)),
        ("\"routing\": \"count\",", Some(Some(Routing::Count))),
        (
            "\"routing\": \"expected_time\",",
            Some(Some(Routing::ExpectedTime)),
        ),
        ("\"routing\": \"fastest\",", None),
    ] {
        let read = Settings::parse(&NODE.replacen('{', &format!("{{{field}"), 1));
        if let Err(e) = &read {
            assert_eq!(e.field, "routing");
        }
        assert_eq!(read.ok().map(|settings| settings.routing), want, "{field}");
    }
}

#[test]
fn native_dialect_requires_operator_secret() {
    let text = WITH_CONTACTS
        .replace("\"dialect\": \"platform\",", "")
        .replace("10.1.0.11:8540", "127.0.0.1:8540");
    let error = Settings::parse(&text).expect_err("no secret");
    assert_eq!(error.field, "operator_secret");
}

// Guards against a process that ends while it reads newer settings.
#[test]
fn reports_deep_nesting_and_huge_numbers() {
    let nested = "[".repeat(100_000) + &"]".repeat(100_000);
    let objects = "{\"a\":".repeat(100_000) + "1" + &"}".repeat(100_000);
    let huge = "9".repeat(10_000);
    for value in [&nested, &objects, &huge, "-1", "1e400"] {
        for field in [
            "name",
            "listen",
            "seeds",
            "max_descriptors",
            "max_memory_mb",
            "stop_within_ms",
            "unknown",
        ] {
            let text = NODE.replacen('{', &format!("{{\"{field}\": {value},"), 1);
            assert!(Settings::parse(&text).is_err(), "{field}");
        }
        assert!(Settings::parse(value).is_err());
    }
}
