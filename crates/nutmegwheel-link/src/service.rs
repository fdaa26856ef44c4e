use std::{net::SocketAddr, pin::Pin};

use bytes::Bytes;
use nutmegwheel_types::{DataCentreId, Incarnation, ProcessName, plain, plain_copy};

plain_copy! {
    /// What a message is about; the numbers belong to the processes that speak, not to this crate.
    pub struct Topic(pub u16);
}

plain! {
    /// A whole request, to be answered by one [`Reply`].
    pub struct Request {
        /// What the request is about.
        pub topic: Topic,
        /// What the receiver needs to decide on the request.
        pub head: Bytes,
        /// The payload.
        pub body: Bytes,
    }

    /// The whole answer to a [`Request`].
    pub struct Reply {
        /// What the caller needs to decide on the answer.
        pub head: Bytes,
        /// The payload.
        pub body: Bytes,
    }

    /// The process at the far end of a link, as it proved itself in the handshake.
    pub struct Peer {
        /// Its name, unique in the fleet.
        pub name: ProcessName,
        /// Its data centre.
        pub data_centre: DataCentreId,
        /// The number of its life.
        pub incarnation: Incarnation,
        /// The address on which it listens for links.
        pub address: SocketAddr,
    }
}

/// The future of an answer, which is dropped when the answer is no longer wanted.
pub type ServeFuture = Pin<Box<dyn Future<Output = Reply> + Send>>;

/// What a process does with the messages that reach it.
pub trait Service: Send + Sync + 'static {
    /// Answers a request. The future is dropped when the caller cancels or the link dies, so work
    /// that must go on has to be spawned by the service.
    fn serve(&self, peer: Peer, req: Request) -> ServeFuture;

    /// Takes a one-way message, which its sender does not hear about again. It must not block,
    /// since it holds up the link that it came on.
    fn notify(&self, peer: Peer, topic: Topic, body: Bytes);
}
