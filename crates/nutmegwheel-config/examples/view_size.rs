//! Prints the encoded sizes of views and deltas; see docs/CAPACITY.md, "Figures".
#![forbid(unsafe_code)]

use std::{fmt::Write as _, time::Instant};

use nutmegwheel_config::{Change, Configuration, Delta, View, hash_key};

/// The number of decodings that are averaged.
const ROUNDS: u32 = 50;
/// The number of endpoints of each service.
const ENDPOINTS: usize = 4;

fn main() {
    println!("services workspaces   keys withdrawn  view bytes  decode ms  configure delta bytes");
    for (services, workspaces, keys, withdrawn) in [
        (4, 8, 8, 0),
        (36, 8, 8, 0),
        (36, 100, 100, 0),
        (36, 100, 1_000, 0),
        (36, 100, 10_000, 0),
        (36, 100, 1_000, 10_000),
        (36, 1_000, 10_000, 10_000),
    ] {
        let view = view(services, workspaces, keys, withdrawn);
        let bytes = view.encode();
        let delta = Delta::Change(Change::Configure(view.configuration.clone())).encode();
        println!(
            "{services:8} {workspaces:10} {keys:6} {withdrawn:9}  {:10}  {:9.3}  {:21}",
            bytes.len(),
            decode_ms(&bytes),
            delta.len()
        );
    }
    let hash = hash_key(b"a key");
    let workspace = "workspace-0001".into();
    let give = Delta::Change(Change::GiveKey { workspace, hash }).encode();
    println!("a given key: {} bytes", give.len());
    println!(
        "a withdrawn key: {} bytes",
        Delta::Withdraw(hash).encode().len()
    );
}

fn view(services: usize, workspaces: usize, keys: usize, withdrawn: usize) -> View {
    let text = configuration(services, workspaces);
    let mut view = View {
        configuration: Configuration::parse(&text).expect("a good configuration"),
        ..View::default()
    };
    for number in 0..keys {
        let workspace = format!("workspace-{:04}", number % workspaces).into();
        let hash = hash_key(format!("key-{number}").as_bytes());
        view.advance(Delta::Change(Change::GiveKey { workspace, hash }));
    }
    for number in 0..withdrawn {
        view.advance(Delta::Withdraw(hash_key(
            format!("old-{number}").as_bytes(),
        )));
    }
    view
}

fn configuration(services: usize, workspaces: usize) -> String {
    let mut text = String::from(
        r#"{"classes": {"crews": {"rank": 0, "finish": 0.999, "within_ms": 800}, "reports": {"rank": 2, "finish": 0.9, "within_ms": 4000}}, "services": {"#,
    );
    let join = |count: usize, item: &dyn Fn(usize) -> String| {
        (0..count).map(item).collect::<Vec<_>>().join(", ")
    };
    let endpoint = |number: usize| {
        format!(r#""endpoint-{number}": {{"class": "crews", "non_idempotent": true}}"#)
    };
    let service = |number: usize| {
        format!(
            r#""service-{number:02}": {{{}}}"#,
            join(ENDPOINTS, &endpoint)
        )
    };
    let workspace =
        |number: usize| format!(r#""workspace-{number:04}": {{"rate": 570.0, "burst": 1140}}"#);
    let _ = write!(text, "{}}}, ", join(services, &service));
    let _ = write!(
        text,
        r#""workspaces": {{{}}}}}"#,
        join(workspaces, &workspace)
    );
    text
}

fn decode_ms(bytes: &[u8]) -> f64 {
    let start = Instant::now();
    for _ in 0..ROUNDS {
        View::decode(bytes).expect("a good view");
    }
    start.elapsed().as_secs_f64() * 1e3 / f64::from(ROUNDS)
}
