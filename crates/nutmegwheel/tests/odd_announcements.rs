//! Announcements of backend servers in the native dialect that must not be followed.

mod common;

use common::Setup;
use serde_json::{Value, json};

const NODE: &str = "riga1-0";
const OTHER: &str = "riga1-1";

async fn announce(setup: &Setup, document: &Value) -> u16 {
    let at = setup.vm(NODE).backend;
    let caller = &setup.fleet.caller;
    let sent = caller.call("PUT", at, "/v1/announcement", &[], document.to_string());
    sent.await.expect("an answer").status
}

// Guards against a node whose record no other process can read, so that they stop following it: a name
// without a bound travels in it.
#[tokio::test(flavor = "multi_thread")]
async fn odd_announcements_are_refused_and_change_nothing() {
    let setup = Setup::start(&[("riga1", 2)], 1).await;
    let address = setup.start_backend(NODE, "intake", |_| ()).await;
    setup.wait_for_services(&["intake"]).await;
    let sound = json!({"service": "intake", "address": address, "slots": 16, "state": "ready",
        "lease_ms": 60_000});
    let long = "a".repeat(65);
    let huge = "a".repeat(100_000);
    for (field, value) in [
        ("service", json!("")),
        ("service", json!(long)),
        ("service", json!(huge)),
        ("service", json!("In Take")),
        ("address", json!("127.0.0.1:0")),
        ("address", json!("0.0.0.0:8080")),
        ("address", json!("127.0.0.1:65536")),
        ("slots", json!(0)),
        ("slots", json!(65_536)),
        ("slots", json!(1e300)),
        ("lease_ms", json!(u64::MAX)),
        ("lease_ms", json!(0)),
        ("state", json!("gone")),
    ] {
        let mut odd = sound.clone();
        odd[field] = value;
        assert_eq!(announce(&setup, &odd).await, 400, "{field}: {}", odd[field]);
    }
    assert_eq!(announce(&setup, &sound).await, 200);
    // What the node announces now still reaches the others.
    let mut leaving = sound.clone();
    leaving["state"] = json!("leaving");
    setup.with_backend("intake@riga1-0", nutmegwheel_support::Backend::kill);
    assert_eq!(announce(&setup, &leaving).await, 200);
    setup
        .wait_until("the others follow the node", async || {
            let other = setup.vm(OTHER);
            setup.member_status(other, NODE).await["backend"]["state"] == "leaving"
        })
        .await;
}
