//! Backend servers that send bytes without end in place of an answer.

#[path = "../../../platform/tests/stand_in/mod.rs"]
mod stand_in;

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use stand_in::{Fault, Fleet, KEY};

const PROGRAM: &str = env!("CARGO_BIN_EXE_nutmegwheel");
const SERVERS: &[(&str, &str)] = &[("riga1", "portal"), ("riga2", "portal"), ("riga3", "desk")];
const REQUESTS: usize = 64;
/// The time limit of the route.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(2);
/// The memory of a node's VM on the platform.
const MAX_MEMORY_KB: u64 = 260 * 1000;

async fn call(fleet: &Fleet, node: usize, path: &str) -> u16 {
    let (node, key) = (&fleet.nodes[node], [("authorization", KEY)]);
    let answer = fleet.call_at(node, "GET", "portal.example", path, &key);
    answer.await.status
}

async fn start() -> Fleet {
    Fleet::serving(PROGRAM, SERVERS).await
}

// Guards against nodes that read on until they are out of memory, or keep the connection, while a
// backend server sends bytes that are no answer.
#[tokio::test(flavor = "multi_thread")]
async fn endless_bytes_are_cut_off_and_requests_run_elsewhere() {
    for fault in [Fault::EndlessHead, Fault::EndlessBody] {
        let fleet = start().await;
        let server = &fleet.servers[0];
        server.set_fault(fault);
        let began = Instant::now();
        let calls = (0..REQUESTS).map(|n| call(&fleet, n % 3, "/safe/load"));
        let statuses = join_all(calls).await;
        assert!(
            began.elapsed() < ROUTE_TIMEOUT,
            "{fault:?}: {:?}",
            began.elapsed()
        );
        let answered = statuses.iter().filter(|status| **status == 200).count();
        assert!(answered * 10 >= REQUESTS * 9, "{fault:?}: {statuses:?}");
        let end = Instant::now() + ROUTE_TIMEOUT;
        while server.endless_connections() > 0 {
            assert!(Instant::now() < end, "{fault:?}: connections are kept");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let memory = fleet.peak_memory_kb("node-0");
        assert!(memory < MAX_MEMORY_KB, "{fault:?}: {memory} kB");
        server.set_fault(Fault::None);
        assert_eq!(call(&fleet, 0, "/safe/after").await, 200);
    }
}
