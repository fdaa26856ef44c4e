//! Accepts connections and serves each one in a task of its own.

use std::{io, sync::Arc, time::Duration};

use nutmegwheel_events::{Event, Journal};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    connection::{self, Service},
    connections::Connections,
};

/// The delay before connections are accepted again after the process ran out of descriptors.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// The size of the kernel's receive buffer of a connection, in bytes, if memory is limited: the
/// window that TCP offers before it adapts.
pub(crate) const RECEIVE_BUFFER_BYTES: usize = 64 * 1024;

pub(crate) struct Listener {
    pub(crate) socket: TcpListener,
    pub(crate) connections: Connections,
    pub(crate) service: Arc<Service>,
    pub(crate) journal: Arc<Journal>,
    pub(crate) stopping: CancellationToken,
}

impl Listener {
    /// Accepts connections until the listener is stopped, and then waits until all are closed.
    pub(crate) async fn run(self) {
        let tasks = TaskTracker::new();
        loop {
            tokio::select! {
                biased;
                accepted = self.socket.accept() => match accepted {
                    Ok((stream, _)) => self.serve(stream, &tasks),
                    Err(e) => self.recover(&e).await,
                },
                () = self.stopping.cancelled() => break,
            }
        }
        self.accept_queued(&tasks);
        drop(self.socket);
        tasks.close();
        tasks.wait().await;
    }

    fn serve(&self, stream: TcpStream, tasks: &TaskTracker) {
        if self.connections.is_full() {
            self.make_room();
        }
        if self.connections.is_full() {
            self.report(
                Event::ConnectionRefused,
                ("error", &"all connections are in use"),
            );
            return;
        }
        if let Err(e) = stream.set_nodelay(true) {
            self.report(Event::ConnectionRefused, ("error", &e));
            return;
        }
        if self.connections.account.is_limited() {
            bound_receive_buffer(&stream);
        }
        let Some(entry) = self.connections.add(stream) else {
            self.make_room();
            let error = "the memory for connections is used up";
            self.report(Event::ConnectionRefused, ("error", &error));
            return;
        };
        let (service, stopping) = (self.service.clone(), self.stopping.clone());
        tasks.spawn(async move {
            connection::serve(&service, &entry, &stopping).await;
        });
    }

    /// Accepts the connections that the kernel has established already, whose callers may have sent
    /// requests. They would be reset with the listener.
    fn accept_queued(&self, tasks: &TaskTracker) {
        loop {
            let accepted = SockRef::from(&self.socket)
                .accept()
                .and_then(|(socket, _)| {
                    socket.set_nonblocking(true)?;
                    TcpStream::from_std(socket.into())
                });
            match accepted {
                Ok(stream) => self.serve(stream, tasks),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if affects_one_connection(&e) => {}
                Err(e) => {
                    self.report(Event::ConnectionRefused, ("error", &e));
                    return;
                }
            }
        }
    }

    async fn recover(&self, e: &io::Error) {
        self.report(Event::ConnectionRefused, ("error", e));
        if !affects_one_connection(e) {
            self.make_room();
            tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
        }
    }

    fn make_room(&self) {
        let closed = self.connections.make_room();
        if closed > 0 {
            self.report(Event::ConnectionsClosed, ("closed", &closed));
        }
    }

    fn report(&self, event: Event, detail: (&str, &dyn ToString)) {
        let listener = self.socket.local_addr();
        let listener = listener.map_or_else(|e| e.to_string(), |address| address.to_string());
        let open = self.connections.len();
        self.journal
            .emit_rate_limited(event, &[("listener", &listener), ("open", &open), detail]);
    }
}

/// Whether the error affects one connection only. All others, such as a lack of descriptors, are
/// likely to affect the next connection too.
fn affects_one_connection(e: &io::Error) -> bool {
    matches!(
        e.kind(),
        io::ErrorKind::ConnectionRefused
            | io::ErrorKind::ConnectionAborted
            | io::ErrorKind::ConnectionReset
            | io::ErrorKind::Interrupted
    )
}

/// Bounds the bytes that wait unread while the process has no memory for them.
fn bound_receive_buffer(stream: &TcpStream) {
    if let Err(e) = SockRef::from(stream).set_recv_buffer_size(RECEIVE_BUFFER_BYTES) {
        log::debug!("the receive buffer of a connection keeps its size: {e}");
    }
}
