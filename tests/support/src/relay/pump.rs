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

use super::plan::{Direction, Fault, Kind, Plan};

/// The bytes that are read at a time.
const CHUNK_BYTES: usize = 16 * 1024;
/// The chunks that wait for delivery in one direction.
const MAX_WAITING: usize = 256;

struct Chunk {
    due: Instant,
    bytes: Vec<u8>,
    /// Whether the connection is closed after this.
    is_last: bool,
}

type Opening = Arc<OnceLock<Vec<u8>>>;

/// One direction of one connection.
struct Pump {
    connection: u64,
    direction: Direction,
    plan: watch::Receiver<Plan>,
    /// The first bytes from the process that connected.
    opening: Opening,
    /// The fault that is being counted towards, and the bytes that came since it was set.
    fault: u64,
    passed: usize,
}

/// Moves bytes both ways until the connection ends or is cut.
pub(super) async fn both(
    accepted: TcpStream,
    target: TcpStream,
    connection: u64,
    plan: &watch::Sender<Plan>,
) {
    // The relay must not add delays of its own.
    let _ = accepted.set_nodelay(true);
    let _ = target.set_nodelay(true);
    let (from_accepted, to_accepted) = accepted.into_split();
    let (from_target, to_target) = target.into_split();
    let opening = Opening::default();
    let there = Pump::new(connection, Direction::ToTarget, plan, &opening);
    let back = Pump::new(connection, Direction::FromTarget, plan, &opening);
    let mut cut = plan.subscribe();
    // An error of one direction ends both, and so does a cut.
    tokio::select! {
        _ = async {
            tokio::try_join!(there.run(from_accepted, to_target), back.run(from_target, to_accepted))
        } => {}
        _ = cut.wait_for(|plan| plan.is_cut(connection)) => {}
    }
}

impl Pump {
    fn new(
        connection: u64,
        direction: Direction,
        plan: &watch::Sender<Plan>,
        opening: &Opening,
    ) -> Self {
        Self {
            connection,
            direction,
            plan: plan.subscribe(),
            opening: opening.clone(),
            fault: 0,
            passed: 0,
        }
    }

    async fn run(self, from: OwnedReadHalf, to: OwnedWriteHalf) -> io::Result<()> {
        let (tx, rx) = mpsc::channel(MAX_WAITING);
        let (plan, connection) = (self.plan.clone(), self.connection);
        let opening = self.opening.clone();
        tokio::try_join!(
            self.read(from, tx),
            deliver(to, rx, plan, connection, &opening)
        )?;
        Ok(())
    }

    async fn read(mut self, mut from: OwnedReadHalf, tx: mpsc::Sender<Chunk>) -> io::Result<()> {
        let mut buf = vec![0; CHUNK_BYTES];
        loop {
            flowing(&mut self.plan, self.connection, &self.opening).await?;
            let n = from.read(&mut buf).await?;
            if n == 0 {
                return Ok(());
            }
            let mut bytes = buf[..n].to_vec();
            if self.direction == Direction::ToTarget {
                self.opening.get_or_init(|| bytes.clone());
            }
            let is_last = self.damage(&mut bytes);
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

    /// Applies the fault that is set; tells whether nothing may follow.
    fn damage(&mut self, bytes: &mut Vec<u8>) -> bool {
        let fault = self.plan.borrow().fault.clone();
        let Some(fault) = fault.filter(|fault| fault.direction == self.direction) else {
            return false;
        };
        let place = self.place(&fault, bytes.len());
        let Some(place) = place.filter(|_| fault.strike()) else {
            return false;
        };
        match fault.kind {
            Kind::Truncate => {
                bytes.truncate(place);
                true
            }
            Kind::Corrupt => {
                bytes[place] ^= 0xff;
                false
            }
        }
    }

    /// Where in the next `len` bytes the fault lies, if it does.
    fn place(&mut self, fault: &Fault, len: usize) -> Option<usize> {
        if self.fault != fault.number {
            self.fault = fault.number;
            self.passed = 0;
        }
        let place = fault.after.checked_sub(self.passed);
        self.passed += len;
        place.filter(|&place| place < len)
    }
}

async fn deliver(
    mut to: OwnedWriteHalf,
    mut rx: mpsc::Receiver<Chunk>,
    mut plan: watch::Receiver<Plan>,
    connection: u64,
    opening: &Opening,
) -> io::Result<()> {
    while let Some(chunk) = rx.recv().await {
        tokio::time::sleep_until(chunk.due).await;
        flowing(&mut plan, connection, opening).await?;
        to.write_all(&chunk.bytes).await?;
        if chunk.is_last {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
    }
    flowing(&mut plan, connection, opening).await?;
    to.shutdown().await
}

async fn flowing(
    plan: &mut watch::Receiver<Plan>,
    connection: u64,
    opening: &Opening,
) -> io::Result<()> {
    let opening = || opening.get().map_or(&[][..], Vec::as_slice);
    plan.wait_for(|plan| plan.is_flowing(connection, opening()))
        .await
        .map(|_| ())
        .map_err(io::Error::other)
}
