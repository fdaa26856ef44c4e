use std::{net::SocketAddr, pin::Pin, time::Instant};

use bytes::Bytes;
use nutmegwheel_types::{DataCentreId, Incarnation, ProcessName, plain, plain_copy};

plain_copy! {
    /// Selects the handler of a message. The processes define the numbers, not this crate.
    pub struct Topic(pub u16);
}

plain! {
    /// A complete request, to be answered with one [`Reply`].
    pub struct Request {
        /// Selects the handler of the request.
        pub topic: Topic,
        /// The metadata that the receiver needs to handle the request.
        pub head: Bytes,
        /// The payload of the request.
        pub body: Bytes,
    }

    /// The complete reply to a [`Request`].
    pub struct Reply {
        /// The metadata that the caller needs to handle the reply.
        pub head: Bytes,
        /// The payload of the reply.
        pub body: Bytes,
    }

    /// The process at the other end of a link, as it was authenticated in the handshake.
    pub struct Peer {
        /// The name of the process, which is unique in the fleet.
        pub name: ProcessName,
        /// The data centre that the process runs in.
        pub data_centre: DataCentreId,
        /// The incarnation of the process, which differs after every restart.
        pub incarnation: Incarnation,
        /// The address on which the process accepts links.
        pub address: SocketAddr,
    }
}

/// The future of a reply, which is dropped when the call is cancelled.
pub type ServeFuture = Pin<Box<dyn Future<Output = Reply> + Send>>;

/// Handles the messages that a process receives.
pub trait Service: Send + Sync + 'static {
    /// Answers a request. The future is dropped when the caller cancels or the link is lost, so the
    /// service has to spawn work that must continue. `deadline` is when the caller stops waiting,
    /// if it named a time; what the request was held up on the way is taken off.
    fn serve(&self, peer: Peer, req: Request, deadline: Option<Instant>) -> ServeFuture;

    /// Handles a one-way message, which gets no reply. It must not block, since it delays the link
    /// that the message arrived on.
    fn notify(&self, peer: Peer, topic: Topic, body: Bytes);
}
