//! No workspace gets more than its rate and burst, counted over all doors together, and a surge of
//! one costs the others nothing.

mod common;

use std::time::{Duration, Instant};

use common::{KEY, Setup};

/// The key of the workspace `zemgale`, which has 10 requests a second and a burst of 5.
const SMALL_KEY: &str = "key-of-zemgale-000001";
const SMALL: &str = "Bearer key-of-zemgale-000001";
const RATE: f64 = 10.0;
const BURST: f64 = 5.0;
const PATH: &str = "/tally-portal/count";
const DATA_CENTRES: &[(&str, usize)] = &[("riga1", 3), ("riga2", 3), ("riga3", 3)];

async fn setup() -> Setup {
    let setup = Setup::start(DATA_CENTRES, 3).await;
    setup.give_key(3, "zemgale", SMALL_KEY).await;
    setup.version_everywhere(3).await;
    for node in ["riga1-1", "riga2-1", "riga3-1"] {
        setup.backend(node, "tally-portal", |_| {}).await;
    }
    setup.serving(&["tally-portal"]).await;
    setup
}

fn runs(setup: &Setup, workspace: &str) -> u32 {
    let runs = setup.ledger.runs();
    let of = |run: &&nutmegwheel_support::Run| run.workspace.as_deref() == Some(workspace);
    u32::try_from(runs.iter().filter(of).count()).expect("few runs")
}

/// Sends as much as it can through every door for a time.
async fn surge(setup: &Setup, key: &str, time: Duration) {
    let end = Instant::now() + time;
    let doors = setup.fleet.nodes.iter().map(|node| async {
        while Instant::now() < end {
            let answer = setup
                .call(&node.vm.name, PATH, &[("authorization", key)], "")
                .await;
            assert!(
                matches!(answer.status, 200 | 429 | 503),
                "{}",
                answer.text()
            );
            if answer.status != 200 {
                assert_eq!(answer.outcome(), Some("not-run"), "{}", answer.text());
                assert!(answer.fields.contains_key("retry-after"));
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    });
    futures_join(doors).await;
}

async fn futures_join(all: impl IntoIterator<Item = impl Future<Output = ()>>) {
    let mut all: Vec<_> = all.into_iter().map(Box::pin).collect();
    std::future::poll_fn(|cx| {
        all.retain_mut(|one| one.as_mut().poll(cx).is_pending());
        if all.is_empty() {
            std::task::Poll::Ready(())
        } else {
            std::task::Poll::Pending
        }
    })
    .await;
}

#[tokio::test]
async fn a_surge_through_all_doors_gets_no_more_than_rate_and_burst() {
    let setup = setup().await;
    let began = Instant::now();
    surge(&setup, SMALL, Duration::from_secs(6)).await;
    let allowed = BURST + RATE * began.elapsed().as_secs_f64();
    let ran = runs(&setup, "zemgale");
    assert!(
        f64::from(ran) <= allowed,
        "{ran} ran, {allowed} were allowed"
    );
    // What is due must also get through: the target for a workspace inside its share is 95 %, and
    // the steward's own start may take a few seconds of the six.
    assert!(ran >= 10, "only {ran} ran");
}

#[tokio::test]
async fn a_surge_of_one_workspace_costs_another_nothing() {
    let setup = setup().await;
    let others = async {
        let mut refused = 0;
        for _ in 0..200 {
            let answer = setup
                .call("riga1-0", PATH, &[("authorization", KEY)], "")
                .await;
            refused += usize::from(answer.status != 200);
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        refused
    };
    let (refused, ()) = tokio::join!(others, surge(&setup, SMALL, Duration::from_secs(3)));
    assert_eq!(refused, 0, "requests inside their rate were refused");
}

#[tokio::test]
async fn a_killed_steward_hands_out_nothing_twice() {
    let mut setup = setup().await;
    let began = Instant::now();
    surge(&setup, SMALL, Duration::from_secs(1)).await;
    // Every node of a data centre but the one with the backend server, so its steward too.
    for name in ["riga1-0", "riga1-2"] {
        setup.fleet.process(name).kill();
        setup.fleet.restart(name).await.expect("it starts again");
    }
    surge(&setup, SMALL, Duration::from_secs(5)).await;
    let allowed = BURST + RATE * began.elapsed().as_secs_f64();
    let ran = runs(&setup, "zemgale");
    assert!(
        f64::from(ran) <= allowed,
        "{ran} ran, {allowed} were allowed"
    );
}
