//! Measures what callers cost that do not read their answers: the peak memory of the nodes, and the
//! throughput of callers beside them that read.

use std::time::{Duration, Instant};

use nutmegwheel_support::{Caller, Fleet, Process};
use tokio::{
    io::AsyncWriteExt as _,
    net::{TcpSocket, TcpStream},
    task::JoinSet,
};

use crate::{
    backend_pool::BackendPool,
    deployment::{self, Deployment},
    flags::Readers,
    operator,
    system::{self, NodeAddresses, System as _},
    usage,
};

/// The number of connections whose callers do not read.
const SLOW_CONNECTIONS: usize = 30;
/// The number of requests that each of them carries.
const PIPELINED: usize = 16;
/// The size of an answer, in bytes.
const ANSWER_BYTES: usize = 800_000;
/// The number of callers that read, each with one request at a time.
const READERS: usize = 4;
/// The time for which these send requests, once alone and once beside the others.
const LOAD_TIME: Duration = Duration::from_secs(4);
/// The size of the receive buffer of a caller that does not read, in bytes.
const SMALL_BUFFER_BYTES: u32 = 4096;

/// Runs the measurement and prints it.
pub(crate) async fn run(flags: &Readers) -> anyhow::Result<()> {
    let deployment = deployment::one_service();
    let mut fleet = system::start_fleet(&deployment, false).await?;
    if let Some(memory) = flags.memory {
        limit_memory(&mut fleet, memory).await?;
    }
    let ids: Vec<u32> = fleet.nodes.iter().filter_map(Process::id).collect();
    // Only the second node has a local backend server, so a call to the first goes through both.
    let nodes = fleet.node_addresses();
    let backends = BackendPool::start(&deployment, &nodes[1..]).await?;
    operator::wait_announced(&fleet, backends.servers.len()).await?;
    for server in &backends.servers {
        let set = |behaviour: &mut nutmegwheel_support::Behaviour| {
            behaviour.padding = ANSWER_BYTES;
        };
        server.backend.set_behaviour(set);
    }
    let limit = flags
        .memory
        .map_or("none".to_owned(), |mb| format!("{mb} MB"));
    println!("answers of {ANSWER_BYTES} bytes through two nodes, max_memory_mb: {limit}");
    let alone = throughput(&deployment, &nodes[0]).await?;
    report("readers alone", alone, &ids)?;
    let mut slow = Vec::new();
    for _ in 0..SLOW_CONNECTIONS {
        slow.push(pipeline(&deployment, &nodes[0]).await?);
    }
    let beside = throughput(&deployment, &nodes[0]).await?;
    report("beside 30 connections that do not read", beside, &ids)?;
    drop(slow);
    Ok(())
}

/// Restarts the nodes with a limit of their memory, in MB.
async fn limit_memory(fleet: &mut Fleet, memory: usize) -> anyhow::Result<()> {
    let names: Vec<String> = fleet
        .nodes
        .iter()
        .map(|node| node.vm.name.clone())
        .collect();
    for name in names {
        let path = fleet.folder().join(format!("{name}.jsonc"));
        let settings = std::fs::read_to_string(&path)?;
        let limited = format!("{{\"max_memory_mb\": {memory},");
        std::fs::write(&path, settings.replacen('{', &limited, 1))?;
        fleet.process(&name).kill();
        fleet.restart(&name).await?;
    }
    fleet.wait_until_ready().await
}

fn path(deployment: &Deployment) -> String {
    let endpoint = deployment.classes[0].name;
    format!("/{}/{endpoint}", deployment.front().name)
}

/// Sends requests on a connection whose answers are not read.
async fn pipeline(deployment: &Deployment, node: &NodeAddresses) -> anyhow::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(SMALL_BUFFER_BYTES)?;
    let mut stream = socket.connect(node.callers).await?;
    let (path, key) = (path(deployment), deployment.key(0));
    let head = format!("GET {path} HTTP/1.1\r\nhost: node\r\nauthorization: Bearer {key}\r\n\r\n");
    stream.write_all(head.repeat(PIPELINED).as_bytes()).await?;
    Ok(stream)
}

/// Returns the answers a second that callers read, and the number of failed requests.
async fn throughput(deployment: &Deployment, node: &NodeAddresses) -> anyhow::Result<(f64, u32)> {
    let end = Instant::now() + LOAD_TIME;
    let mut callers = JoinSet::new();
    for _ in 0..READERS {
        let (path, at) = (path(deployment), node.callers);
        let key = format!("Bearer {}", deployment.key(0));
        callers.spawn(async move {
            let (http, fields) = (Caller::open(), [("authorization", key.as_str())]);
            let (mut read, mut failed) = (0_u32, 0_u32);
            while Instant::now() < end {
                let answer = http.call("GET", at, &path, &fields, "").await;
                let is_whole = answer
                    .is_ok_and(|answer| answer.status == 200 && answer.body.len() > ANSWER_BYTES);
                read += u32::from(is_whole);
                failed += u32::from(!is_whole);
            }
            (read, failed)
        });
    }
    let sums = callers.join_all().await.into_iter();
    let (read, failed) = sums.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
    Ok((f64::from(read) / LOAD_TIME.as_secs_f64(), failed))
}

fn report(what: &str, (rate, failed): (f64, u32), ids: &[u32]) -> anyhow::Result<()> {
    let peaks: anyhow::Result<Vec<f64>> = ids.iter().map(|id| usage::peak_mb(*id)).collect();
    let [ingress, target] = peaks?[..] else {
        anyhow::bail!("{} nodes run, not 2", ids.len());
    };
    println!(
        "{what}: {rate:.0} answers/s, {failed} failed; peak memory {ingress:.1} MB at the ingress \
         node, {target:.1} MB at the target"
    );
    Ok(())
}
