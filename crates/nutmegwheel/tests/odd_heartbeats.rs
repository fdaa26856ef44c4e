//! Entries of another writer among the heartbeats of a backend server.

#[path = "../../../platform/tests/stand_in/mod.rs"]
mod stand_in;

use std::time::{Duration, Instant};

use serde_json::{Value, json};
use stand_in::{Fleet, KEY, Server};

const PROGRAM: &str = env!("CARGO_BIN_EXE_nutmegwheel");
const SERVERS: &[(&str, &str)] = &[("riga1", "portal"), ("riga2", "portal"), ("riga3", "desk")];
/// The time after which a heartbeat that was not renewed expires.
const LIFETIME: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_millis(50);
const DEPTH: usize = 100_000;

/// A heartbeat that only differs from a sound one where `change` says so.
fn heartbeat(server: &Server, change: impl FnOnce(&mut Value)) -> Vec<u8> {
    let mut heartbeat: Value = serde_json::from_str(&server.next_heartbeat()).expect("JSON");
    change(&mut heartbeat);
    heartbeat.to_string().into_bytes()
}

/// Replaces the text of a value, which may then be no JSON that [`Value`] holds.
fn with_text(server: &Server, pointer: &str, text: &str) -> Vec<u8> {
    let mark = "\"the value\"";
    let body = heartbeat(server, |heartbeat| {
        *heartbeat.pointer_mut(pointer).expect("a value") = json!("the value");
    });
    let body = String::from_utf8(body).expect("text");
    body.replace(mark, text).into_bytes()
}

/// A body, and what is odd about it.
type Odd = (String, Vec<u8>);

/// Bodies that name no backend server to use.
fn odd_bodies(server: &Server) -> Vec<Odd> {
    let mut bodies = odd_numbers(server);
    bodies.extend(odd_values(server));
    bodies.extend(odd_addresses(server));
    bodies.extend(missing_fields(server));
    bodies.extend(odd_bytes(server));
    bodies
}

fn odd_numbers(server: &Server) -> Vec<Odd> {
    let mut bodies = Vec::new();
    let huge = "1".repeat(400);
    let texts = ["null", "-1", "1e400", "\"4\"", "true", "[]", "{}", &huge];
    let numbers = [
        "/info/slots",
        "/status/sequence",
        "/status/cold_remaining_ms",
        "/born",
    ];
    let whole = &numbers.map(|pointer| (pointer, "18446744073709551616"));
    let fractions = &numbers.map(|pointer| (pointer, "0.5"));
    let all = numbers
        .iter()
        .flat_map(|pointer| texts.map(|text| (*pointer, text)));
    // The time for which a backend server is slow may be any number.
    let is_time = |pointer: &str| pointer == "/status/cold_remaining_ms";
    let whole = whole
        .iter()
        .chain(fractions)
        .filter(|(pointer, _)| !is_time(pointer));
    let out_of_range = [
        ("/info/slots", "0"),
        ("/info/slots", "65536"),
        ("/born", "18446744073709551615"),
        ("/status/sequence", "18446744073709551615"),
    ];
    for (pointer, text) in all.chain(whole.copied()).chain(out_of_range) {
        let body = with_text(server, pointer, text);
        bodies.push((format!("{pointer} is {text}"), body));
    }
    bodies
}

fn odd_values(server: &Server) -> Vec<Odd> {
    let values = [
        ("/info/service", "\"another\""),
        ("/info/service", "7"),
        ("/info/version", "7"),
        ("/info/zone", "{}"),
        ("/status/state", "\"gone\""),
        ("/status/state", "7"),
        ("/status", "[]"),
        ("/info", "null"),
    ];
    let values = values.into_iter();
    values
        .map(|(pointer, text)| {
            (
                format!("{pointer} is {text}"),
                with_text(server, pointer, text),
            )
        })
        .collect()
}

fn odd_addresses(server: &Server) -> Vec<Odd> {
    let port_0 = format!("{}:0", server.node.app().ip());
    let addresses = [
        "",
        "here",
        "10.1.0.9",
        "10.1.0.9:",
        ":8080",
        "10.1.0.9:0",
        "10.1.0.9:65536",
        "10.1.0.9:-1",
        "10.1.0.9:99999999999999999999",
        "[::1]:8080",
        "0.0.0.0:8080",
        "10.1.0.9:8080",
        &port_0,
    ];
    let body = |address: &str| {
        let body = heartbeat(server, |heartbeat| heartbeat["address"] = address.into());
        (format!("the address is {address:?}"), body)
    };
    addresses.into_iter().map(body).collect()
}

fn missing_fields(server: &Server) -> Vec<Odd> {
    let fields = [
        ("", "born"),
        ("", "address"),
        ("", "info"),
        ("", "status"),
        ("/info", "service"),
        ("/info", "slots"),
        ("/info", "version"),
        ("/info", "zone"),
        ("/status", "state"),
        ("/status", "sequence"),
        ("/status", "cold_remaining_ms"),
    ];
    let body = |(part, field): (&str, &str)| {
        let body = heartbeat(server, |heartbeat| {
            let part = heartbeat.pointer_mut(part).expect("a part");
            part.as_object_mut().expect("an object").remove(field);
        });
        (format!("{field} is missing"), body)
    };
    fields.into_iter().map(body).collect()
}

fn odd_bytes(server: &Server) -> Vec<Odd> {
    let nested = "[".repeat(DEPTH) + &"]".repeat(DEPTH);
    let objects = "{\"a\":".repeat(DEPTH) + "1" + &"}".repeat(DEPTH);
    let long = format!("\"{}\"", "a".repeat(1 << 20));
    let whole = heartbeat(server, |_| {});
    let bodies = [
        (
            "a nested version",
            with_text(server, "/info/version", &nested),
        ),
        ("a nested status", with_text(server, "/status", &objects)),
        ("a nested address", with_text(server, "/address", &objects)),
        ("a long service", with_text(server, "/info/service", &long)),
        ("only brackets", nested.into_bytes()),
        ("open brackets", "[".repeat(DEPTH).into_bytes()),
        ("no body", Vec::new()),
        ("no text", vec![0xff, 0xfe, 0, 1]),
        ("cut short", whole[..whole.len() / 2].to_vec()),
        ("twice", [whole.clone(), whole].concat()),
    ];
    bodies.map(|(what, body)| (what.to_owned(), body)).to_vec()
}

async fn serves(fleet: &Fleet, path: &str) -> u16 {
    let (node, key) = (&fleet.nodes[2], [("authorization", KEY)]);
    let answer = fleet.call_at(node, "GET", "portal.example", path, &key);
    answer.await.status
}

/// Asserts that the first backend server of the portal goes on being used.
async fn assert_used(fleet: &Fleet, path: &str) {
    let end = Instant::now() + LIFETIME;
    let is_used = || {
        let runs = fleet.runs_of(path);
        runs.iter().any(|run| run.server == fleet.servers[0].id)
    };
    while !is_used() {
        assert!(Instant::now() < end, "{path}: {}", fleet.log("node-0"));
        serves(fleet, path).await;
    }
}

// Guards against processes that end, or no longer follow the heartbeats, after an odd one (fault of
// other operators: nesting, numbers too large, ports out of range).
#[tokio::test(flavor = "multi_thread")]
async fn odd_heartbeats_are_refused_and_change_nothing() {
    let mut fleet = Fleet::serving(PROGRAM, SERVERS).await;
    let server = &fleet.servers[0];
    for (what, body) in odd_bodies(server) {
        let status = server.write("PUT", &server.id, body).await;
        assert_eq!(status, Some(400), "{what}");
    }
    assert_used(&fleet, "/safe/own-id").await;
    let server = &fleet.servers[0];
    let ids = [
        "another".to_owned(),
        "a".repeat(300),
        "%FF%00".to_owned(),
        "..".to_owned(),
    ];
    for id in &ids {
        for (what, body) in odd_bodies(server) {
            let status = server.write("PUT", id, body).await;
            assert_eq!(status, Some(400), "{id}: {what}");
        }
    }
    tokio::time::sleep(LIFETIME).await;
    assert_used(&fleet, "/safe/other-ids").await;
    let log = fleet.log("node-0");
    assert!(log.contains("heartbeat-refused"), "{log}");
    assert!(!log.contains("heartbeat-ignored"), "{log}");
    let exit = fleet.wait_for_exit("node-0", PAUSE).await;
    assert_eq!(exit, None, "the node runs on");
}

// Guards against a departure that is taken from bytes that cannot be read.
#[tokio::test(flavor = "multi_thread")]
async fn odd_deregistrations_are_refused_and_change_nothing() {
    let fleet = Fleet::serving(PROGRAM, SERVERS).await;
    let server = &fleet.servers[0];
    let nested = "[".repeat(DEPTH) + &"]".repeat(DEPTH);
    let odd = [
        r#"{"born":"1700000000000"}"#.to_owned(),
        r#"{"born":-1}"#.to_owned(),
        r#"{"born":1e400}"#.to_owned(),
        r#"{"born":18446744073709551616}"#.to_owned(),
        r#"{"born":"#.to_owned(),
        format!(r#"{{"born":{nested}}}"#),
        nested,
        "not JSON".to_owned(),
    ];
    for body in odd {
        let what: String = body.chars().take(40).collect();
        let status = server.write("DELETE", &server.id, body).await;
        assert_eq!(status, Some(400), "{what}");
    }
    tokio::time::sleep(PAUSE).await;
    assert_used(&fleet, "/safe/after").await;
    assert!(!fleet.log("node-0").contains("backend-gone"));
}

// Guards against a backend server that is no longer followed since numbers in range, but absurd, were
// once taken for its newest ones.
#[tokio::test(flavor = "multi_thread")]
async fn absurd_numbers_do_not_outlast_their_sender() {
    let fleet = Fleet::serving(PROGRAM, SERVERS).await;
    let server = &fleet.servers[0];
    for (pointer, text) in [
        ("/status/sequence", "9007199254740991"),
        ("/info/slots", "65535"),
    ] {
        let body = with_text(server, pointer, text);
        let status = server.write("PUT", &server.id, body).await;
        assert_eq!(status, Some(200), "{pointer}");
    }
    tokio::time::sleep(LIFETIME + PAUSE).await;
    assert_used(&fleet, "/safe/after").await;
}
