//! Tests that the committed wire types match the schemas.

use std::fs;

#[test]
fn committed_code_matches_schemas() {
    let root = xtask::repository_root();
    let all = xtask::generate(&root).unwrap();
    assert!(!all.is_empty());
    for generated in all {
        let committed = fs::read_to_string(root.join(&generated.path)).unwrap_or_default();
        assert!(
            committed == generated.content,
            "{} is stale: run `cargo run -p xtask`",
            generated.path.display()
        );
    }
}
