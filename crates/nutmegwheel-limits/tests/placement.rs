//! The choice of the data centres that share a limit, by the size of its burst.

use std::collections::BTreeSet;

use nutmegwheel_limits::share::placement;
use nutmegwheel_types::DataCentreId;

fn data_centres() -> BTreeSet<DataCentreId> {
    (0..8).map(|n| format!("dc{n}").into()).collect()
}

#[test]
fn larger_burst_uses_more_data_centres() {
    for (burst, holders) in [(1, 1), (7, 1), (8, 1), (16, 2), (63, 7), (64, 8), (1000, 8)] {
        let chosen = placement(&"vidzeme".into(), burst, &data_centres());
        assert_eq!(chosen.len(), holders, "burst {burst}");
    }
}

#[test]
fn added_data_centre_moves_few_workspaces() {
    let all = data_centres();
    let mut more = all.clone();
    more.insert("dc8".into());
    let moved = (0..900)
        .filter(|n| {
            let workspace = format!("workspace-{n}").into();
            placement(&workspace, 1, &all) != placement(&workspace, 1, &more)
        })
        .count();
    assert!((50..=150).contains(&moved), "{moved} of 900 moved");
}
