//! Accepting links from other processes.

use std::{io, sync::Arc, time::Duration};

use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore},
};

use crate::{
    Step,
    connect::{self, ConnectError, Connected},
    core::{Core, CountGuard},
    link::{Driver, Link},
    mux::Side,
    pool::Pools,
};

/// The pause after a failed accept, so that the loop does not spin while the process is out of file
/// descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts connections until the endpoint drains or stops.
pub(crate) async fn run(listener: TcpListener, core: Arc<Core>, pools: Arc<Pools>) {
    tokio::select! {
        () = accept_all(listener, &core, &pools) => {}
        () = core.stop.cancelled() => {}
        () = core.drain_accepted.cancelled() => {}
    }
}

async fn accept_all(listener: TcpListener, core: &Arc<Core>, pools: &Arc<Pools>) {
    let half_open = Arc::new(Semaphore::new(core.limits.max_half_open));
    loop {
        let accepted = listener.accept().await;
        // Without a permit the connection is dropped, which bounds unauthenticated connections.
        match (accepted, half_open.clone().try_acquire_owned()) {
            (Ok((stream, _)), Ok(permit)) => {
                let task = serve(stream, permit, core.clone(), pools.clone());
                core.accepted.spawn(task);
            }
            (Ok(_), Err(_)) => {}
            (Err(e), _) => pause(&e).await,
        }
    }
}

async fn pause(error: &io::Error) {
    log::warn!("failed to accept a link: {error}");
    tokio::time::sleep(ACCEPT_PAUSE).await;
}

async fn serve(
    stream: TcpStream,
    permit: OwnedSemaphorePermit,
    core: Arc<Core>,
    pools: Arc<Pools>,
) {
    let result = {
        let _half_open = CountGuard::new(&core.counts.half_open);
        tokio::select! {
            result = handshake(stream, &core) => result,
            () = core.stop.cancelled() => return,
            () = core.drain_accepted.cancelled() => return,
        }
    };
    drop(permit);
    match result {
        Ok(connected) => {
            pools.end_backoff(connected.peer.address);
            run_link(connected, &core).await;
        }
        Err(e) => log::debug!("incoming link refused: {}: {e}", e.step()),
    }
}

async fn handshake(stream: TcpStream, core: &Core) -> Result<Connected, ConnectError> {
    let challenge = connect::accept_handshake(stream, &core.credentials);
    match tokio::time::timeout(core.limits.handshake_timeout, challenge).await {
        Ok(done) => done,
        Err(_) => Err(ConnectError::Timeout(Step::Handshake)),
    }
}

async fn run_link(connected: Connected, core: &Core) {
    let _counted = CountGuard::new(&core.counts.accepted);
    let link = Link::new(
        Side::Acceptor,
        connected.peer,
        core,
        connected.peer_opened_after,
    );
    let service = core.service.clone();
    let driver = Driver::new(link.clone(), connected.stream, connected.input, service);
    let reason = driver
        .run(core.stop.clone(), core.drain_accepted.clone())
        .await;
    log::debug!("link from {} ended: {reason}", link.peer().name);
}
