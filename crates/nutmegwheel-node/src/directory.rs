use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use nutmegwheel_types::{DataCentreId, Incarnation, ProcessName, ServiceId, plain, plain_copy};
use serde::{Deserialize, Serialize};

/// A node of which nothing was heard for this long gets nothing new.
const SILENT_AFTER: Duration = Duration::from_secs(3);

plain_copy! {
    /// What a backend server says of itself.
    #[derive(Serialize, Deserialize)]
    #[serde(rename_all = "snake_case")]
    pub(crate) enum BackendState {
        Starting,
        Ready,
        Leaving,
    }
}

plain! {
    /// What a node tells the fleet of itself.
    #[derive(Serialize, Deserialize)]
    pub(crate) struct Member {
        pub(crate) name: ProcessName,
        pub(crate) data_centre: DataCentreId,
        pub(crate) link: SocketAddr,
        pub(crate) incarnation: Incarnation,
        /// Grows with every change and every sign of life.
        pub(crate) beat: u64,
        pub(crate) backend: Option<Backend>,
    }

    /// The backend server of a node.
    #[derive(Serialize, Deserialize)]
    pub(crate) struct Backend {
        pub(crate) service: ServiceId,
        pub(crate) slots: u16,
        pub(crate) state: BackendState,
        /// The number of the backend server's life, greater after every restart of it.
        pub(crate) life: Incarnation,
    }
}

/// What this node knows of the others.
#[derive(Default)]
pub(crate) struct Directory {
    members: Mutex<HashMap<ProcessName, (Member, Instant)>>,
}

impl Directory {
    /// Takes in what a message tells of a member, the newest word winning, and whether it was new.
    pub(crate) fn learn(&self, member: Member, now: Instant) -> bool {
        let mut members = self.lock();
        let newer = members.get(&member.name).is_none_or(|(known, _)| {
            (known.incarnation, known.beat) < (member.incarnation, member.beat)
        });
        if newer {
            members.insert(member.name.clone(), (member, now));
        }
        newer
    }

    pub(crate) fn members(&self) -> Vec<Member> {
        let members = self.lock();
        members.values().map(|(member, _)| member.clone()).collect()
    }

    /// Forgets the members of which nothing was heard for long, and names them.
    pub(crate) fn forget_silent(&self, now: Instant) -> Vec<ProcessName> {
        let mut members = self.lock();
        let silent: Vec<ProcessName> = members
            .values()
            .filter(|(_, at)| now.duration_since(*at) >= SILENT_AFTER)
            .map(|(member, _)| member.name.clone())
            .collect();
        members.retain(|name, _| !silent.contains(name));
        silent
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<ProcessName, (Member, Instant)>> {
        self.members.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
