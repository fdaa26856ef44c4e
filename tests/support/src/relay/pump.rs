use std::{
    io,
    sync::{Arc, OnceLock},
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{mpsc, watch},
    time::Instant,
};

use super::plan::{Direction, Fault, FaultKind, Plan};

/// The size of the read buffer.
const CHUNK_BYTES: usize = 16 * 1024;
/// The maximum number of chunks that wait for delivery in one direction.
const MAX_QUEUED_CHUNKS: usize = 256;

struct Chunk {
    due: Instant,
    bytes: Vec<u8>,
    /// Whether the connection is closed after this chunk.
    is_last: bool,
}

type FirstBytes = Arc<OnceLock<Vec<u8>>>;

/// The state of one direction of a connection.
struct Pump {
    connection: u64,
    direction: Direction,
    plan: watch::Receiver<Plan>,
    /// The first bytes sent by the process that connected.
    first_bytes: FirstBytes,
    /// The number of the current fault; `bytes_passed` counts the bytes since it was first seen.
    fault_number: u64,
    bytes_passed: usize,
}

/// Copies bytes in both directions until the connection ends or is closed by a fault.
pub(super) async fn copy_both_ways(
    accepted: TcpStream,
    target: TcpStream,
    connection: u64,
    plan: &watch::Sender<Plan>,
) {
    // The relay must not add delays of its own through Nagle's algorithm.
    let _ = accepted.set_nodelay(true);
    let _ = target.set_nodelay(true);
    let (from_accepted, to_accepted) = accepted.into_split();
    let (from_target, to_target) = target.into_split();
    let first_bytes = FirstBytes::default();
    let forward = Pump::new(connection, Direction::ToTarget, plan, &first_bytes);
    let backward = Pump::new(connection, Direction::FromTarget, plan, &first_bytes);
    let mut closed = plan.subscribe();
    // An error in one direction ends both directions, and so does `Relay::close_existing`.
    tokio::select! {
        _ = async {
            tokio::try_join!(forward.run(from_accepted, to_target), backward.run(from_target, to_accepted))
        } => {}
        _ = closed.wait_for(|plan| plan.is_closed(connection)) => {}
    }
}

impl Pump {
    fn new(
        connection: u64,
        direction: Direction,
        plan: &watch::Sender<Plan>,
        first_bytes: &FirstBytes,
    ) -> Self {
        Self {
            connection,
            direction,
            plan: plan.subscribe(),
            first_bytes: first_bytes.clone(),
            fault_number: 0,
            bytes_passed: 0,
        }
    }

    async fn run(self, from: OwnedReadHalf, to: OwnedWriteHalf) -> io::Result<()> {
        let (tx, rx) = mpsc::channel(MAX_QUEUED_CHUNKS);
        let (plan, connection) = (self.plan.clone(), self.connection);
        let first_bytes = self.first_bytes.clone();
        tokio::try_join!(
            self.read(from, tx),
            deliver(to, rx, plan, connection, &first_bytes)
        )?;
        Ok(())
    }

    async fn read(mut self, mut from: OwnedReadHalf, tx: mpsc::Sender<Chunk>) -> io::Result<()> {
        let mut buf = vec![0; CHUNK_BYTES];
        loop {
            wait_until_flowing(&mut self.plan, self.connection, &self.first_bytes).await?;
            let n = from.read(&mut buf).await?;
            if n == 0 {
                return Ok(());
            }
            let mut bytes = buf[..n].to_vec();
            if self.direction == Direction::ToTarget {
                self.first_bytes.get_or_init(|| bytes.clone());
            }
            let is_last = self.apply_fault(&mut bytes);
            let due = Instant::now() + self.plan.borrow().delay;
            let chunk = Chunk {
                due,
                bytes,
                is_last,
            };
            tx.send(chunk).await.map_err(io::Error::other)?;
            if is_last {
                return Ok(());
            }
        }
    }

    /// Applies the current fault. Returns whether the connection must be closed after these bytes.
    fn apply_fault(&mut self, bytes: &mut Vec<u8>) -> bool {
        let fault = self.plan.borrow().fault.clone();
        let Some(fault) = fault.filter(|fault| fault.direction == self.direction) else {
            return false;
        };
        let offset = self.fault_offset(&fault, bytes.len());
        let Some(offset) = offset.filter(|_| fault.trigger()) else {
            return false;
        };
        match fault.kind {
            FaultKind::Truncate => {
                bytes.truncate(offset);
                true
            }
            FaultKind::Corrupt => {
                bytes[offset] ^= 0xff;
                false
            }
        }
    }

    /// Returns the offset of the fault within the next `len` bytes, or `None` if it lies outside.
    fn fault_offset(&mut self, fault: &Fault, len: usize) -> Option<usize> {
        if self.fault_number != fault.number {
            self.fault_number = fault.number;
            self.bytes_passed = 0;
        }
        let offset = fault.offset.checked_sub(self.bytes_passed);
        self.bytes_passed += len;
        offset.filter(|&offset| offset < len)
    }
}

async fn deliver(
    mut to: OwnedWriteHalf,
    mut rx: mpsc::Receiver<Chunk>,
    mut plan: watch::Receiver<Plan>,
    connection: u64,
    first_bytes: &FirstBytes,
) -> io::Result<()> {
    while let Some(chunk) = rx.recv().await {
        tokio::time::sleep_until(chunk.due).await;
        wait_until_flowing(&mut plan, connection, first_bytes).await?;
        to.write_all(&chunk.bytes).await?;
        if chunk.is_last {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
    }
    wait_until_flowing(&mut plan, connection, first_bytes).await?;
    to.shutdown().await
}

async fn wait_until_flowing(
    plan: &mut watch::Receiver<Plan>,
    connection: u64,
    first_bytes: &FirstBytes,
) -> io::Result<()> {
    let first_bytes = || first_bytes.get().map_or(&[][..], Vec::as_slice);
    plan.wait_for(|plan| plan.is_flowing(connection, first_bytes()))
        .await
        .map(|_| ())
        .map_err(io::Error::other)
}
