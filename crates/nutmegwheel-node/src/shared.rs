use std::sync::{
    Arc, OnceLock,
    atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
};

use nutmegwheel_config::Settings;
use nutmegwheel_events::Journal;
use nutmegwheel_link::Endpoint;
use nutmegwheel_types::Incarnation;

use crate::{
    backend::Local,
    directory::{Directory, Member},
    running::Running,
    views::Views,
};

/// What the listeners and tasks of a node share.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) incarnation: Incarnation,
    pub(crate) journal: Arc<Journal>,
    pub(crate) views: Views,
    pub(crate) directory: Directory,
    pub(crate) local: Local,
    pub(crate) running: Running,
    pub(crate) in_flight: AtomicUsize,
    endpoint: OnceLock<Endpoint>,
    leaving: AtomicBool,
    beat: AtomicU64,
}

/// Lifecycle.
impl Shared {
    pub(crate) fn open(
        settings: Settings,
        incarnation: Incarnation,
        journal: Arc<Journal>,
    ) -> Self {
        Self {
            settings,
            incarnation,
            views: Views::open(journal.clone()),
            journal,
            directory: Directory::default(),
            local: Local::open(),
            running: Running::default(),
            in_flight: AtomicUsize::new(0),
            endpoint: OnceLock::new(),
            leaving: AtomicBool::new(false),
            beat: AtomicU64::new(0),
        }
    }

    /// Sets the endpoint, which is opened after what it serves.
    pub(crate) fn connect(&self, endpoint: Endpoint) {
        let _ = self.endpoint.set(endpoint);
    }

    pub(crate) fn leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }
}

/// Access.
impl Shared {
    pub(crate) fn endpoint(&self) -> Option<&Endpoint> {
        self.endpoint.get()
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// What this node tells the fleet of itself.
    pub(crate) fn own_member(&self) -> Member {
        let backend = self.local.announced().map(|a| a.backend);
        Member {
            name: self.settings.name.clone(),
            data_centre: self.settings.data_centre.clone(),
            link: self.settings.listen.link,
            incarnation: self.incarnation,
            beat: self.beat.fetch_add(1, Ordering::SeqCst) + 1,
            backend: backend.filter(|_| !self.is_leaving()),
        }
    }

    /// Counts a request as in flight until the guard is dropped.
    pub(crate) fn enter(&self) -> InFlight<'_> {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlight(&self.in_flight)
    }
}

/// A request in flight.
pub(crate) struct InFlight<'a>(&'a AtomicUsize);

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}
