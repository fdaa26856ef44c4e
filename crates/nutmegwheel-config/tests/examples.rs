//! The files under examples/ are valid, and the settings agree with each other.

use std::path::PathBuf;

use nutmegwheel_config::{Configuration, Role, Settings};

fn read(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name);
    std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

fn settings(name: &str) -> Settings {
    Settings::parse(&read(name)).unwrap_or_else(|e| panic!("{name}: {e}"))
}

#[test]
fn settings_are_valid_and_agree() {
    let node = settings("node.jsonc");
    let control = settings("control.jsonc");
    assert_eq!(node.role, Role::Node);
    assert_eq!(control.role, Role::Control);
    assert_eq!(node.seeds, control.seeds);
    assert_eq!(node.fleet_secret, control.fleet_secret);
    assert_eq!(node.control_vms().count(), 3);
}

#[test]
fn configurations_are_valid_and_complete() {
    let deployments = [
        (
            "skaititajs.jsonc",
            ["tally-portal", "dispatch", "shiftbook", "intake"],
        ),
        (
            "kawayan.jsonc",
            [
                "sward-portal",
                "subsidy-desk",
                "fieldbook",
                "paddock-alerts",
            ],
        ),
    ];
    for (name, services) in deployments {
        let configuration = Configuration::parse(&read(name));
        let configuration = configuration.unwrap_or_else(|e| panic!("{name}: {e}"));
        assert_eq!(configuration.workspaces.len(), 8, "{name}");
        for service in services {
            let route = configuration.route(service, "an-endpoint");
            assert!(route.is_ok(), "{name}: {service}");
        }
    }
}
