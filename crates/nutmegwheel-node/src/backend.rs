//! The backend server on the same VM: what it announced, and the connections to it.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Instant,
};

use nutmegwheel_memory::Account;
use nutmegwheel_spread::AnnouncementState;
use nutmegwheel_types::{Incarnation, ServiceId, plain, plain_copy};
use serde::Deserialize;

use crate::{
    call::Call,
    connections::Connections,
    dialect::Dialect,
    refusal::{Reason, Refusal},
};

plain_copy! {
    /// The state that a backend server announces.
    #[derive(Deserialize)]
    #[serde(rename_all = "snake_case")]
    pub(crate) enum BackendState {
        Starting,
        Ready,
        Leaving,
    }
}

impl From<BackendState> for AnnouncementState {
    fn from(state: BackendState) -> Self {
        match state {
            BackendState::Starting => Self::Starting,
            BackendState::Ready => Self::Ready,
            BackendState::Leaving => Self::Leaving,
        }
    }
}

plain! {
    /// The local backend server, as announced to the fleet.
    pub(crate) struct Backend {
        pub(crate) service: ServiceId,
        pub(crate) slots: u16,
        pub(crate) state: BackendState,
        /// Increases with every restart of the backend server.
        pub(crate) incarnation: Incarnation,
        /// The backend server's own id of the instance, if its dialect has one.
        pub(crate) instance: Option<Arc<str>>,
    }

    /// The last announcement of the backend server.
    pub(crate) struct Announcement {
        pub(crate) backend: Backend,
        pub(crate) address: SocketAddr,
        /// When the announcement expires unless it is renewed.
        pub(crate) expires_at: Instant,
    }
}

/// The backend server on the same VM as this node.
pub(crate) struct LocalBackend {
    pub(crate) dialect: Option<Arc<dyn Dialect>>,
    announced: Mutex<Option<Announcement>>,
    /// Whether the data centre is evacuated, so that the backend server gets no new requests.
    is_evacuated: AtomicBool,
    pub(crate) connections: Connections,
    /// The account that answers take from.
    pub(crate) account: Account,
}

impl LocalBackend {
    pub(crate) fn open(dialect: Option<Arc<dyn Dialect>>, account: Account) -> Self {
        Self {
            dialect,
            announced: Mutex::default(),
            is_evacuated: AtomicBool::new(false),
            connections: Connections::open(account.is_limited()),
            account,
        }
    }

    /// Sets whether the data centre is evacuated.
    pub(crate) fn set_evacuated(&self, is_evacuated: bool) {
        self.is_evacuated.store(is_evacuated, Ordering::SeqCst);
    }

    /// Replaces the announcement and returns the previous one.
    pub(crate) fn announce(&self, announcement: Announcement) -> Option<Announcement> {
        self.lock().replace(announcement)
    }

    /// Marks the backend server as leaving, if it is still this incarnation.
    pub(crate) fn set_leaving(&self, incarnation: Incarnation) {
        let mut announced = self.lock();
        let current = announced.as_mut();
        if let Some(current) = current.filter(|a| a.backend.incarnation == incarnation) {
            current.backend.state = BackendState::Leaving;
        }
    }

    /// Removes and returns the announcement of a backend server that was found to have crashed.
    pub(crate) fn remove_crashed(&self, address: SocketAddr) -> Option<Announcement> {
        self.lock()
            .take_if(|announced| announced.address == address)
    }

    /// Removes and returns the announcement of an instance that has left.
    pub(crate) fn remove(&self, instance: &str) -> Option<Announcement> {
        self.lock()
            .take_if(|announced| announced.backend.instance.as_deref() == Some(instance))
    }

    /// Removes and returns an announcement that was not renewed in time.
    pub(crate) fn remove_expired(&self, now: Instant) -> Option<Announcement> {
        self.lock().take_if(|announced| announced.expires_at <= now)
    }

    /// Closes the connections that have been idle for too long.
    pub(crate) fn expire_connections(&self, now: Instant) {
        self.connections.expire(now);
    }
}

impl LocalBackend {
    pub(crate) fn announced(&self) -> Option<Announcement> {
        self.lock().clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<Announcement>> {
        self.announced
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl LocalBackend {
    /// The backend server, if it accepts new requests of the service.
    pub(crate) fn ready_for(&self, service: &str) -> Result<Announcement, Refusal> {
        let refuse = |detail| Err(Refusal::not_run(Reason::NoBackendServer, detail));
        if self.is_evacuated.load(Ordering::SeqCst) {
            return refuse("this node's data centre is evacuated");
        }
        match self.announced() {
            None => refuse("this node has no backend server"),
            Some(a) if &*a.backend.service != service => {
                refuse("this node's backend server is of another service")
            }
            Some(a) if a.backend.state != BackendState::Ready => {
                refuse("this node's backend server takes nothing new")
            }
            Some(a) => Ok(a),
        }
    }

    /// Whether the announced backend server is still the instance of this announcement.
    pub(crate) fn is_current(&self, server: &Announcement) -> bool {
        let announced = self.lock();
        let current = announced.as_ref().map(|a| a.backend.incarnation);
        current == Some(server.backend.incarnation)
    }
}

impl LocalBackend {
    /// The id that the caller gave the call, if the dialect has request ids.
    pub(crate) fn request_id<'a>(&self, call: &'a Call) -> Option<&'a str> {
        let id = self.dialect.as_ref()?.request_id(&call.fields)?;
        id.to_str().ok()
    }
}
