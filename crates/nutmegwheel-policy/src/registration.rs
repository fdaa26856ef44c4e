//! Distinguishes current heartbeats of a backend server from delayed ones of earlier instances.

use std::{collections::VecDeque, sync::Arc};

use nutmegwheel_types::plain;

/// The maximum number of ended instances that are remembered; the oldest is forgotten first.
const MAX_ENDED: usize = 32;

plain! {
    /// One run of a backend server process, as its heartbeats identify it.
    pub struct Instance {
        /// The id of the backend server, which an earlier instance may have used too.
        pub id: Arc<str>,
        /// When the process started, in milliseconds of the wall clock of its VM.
        pub started_at_ms: u64,
    }

    /// The effect of a heartbeat on the registration of a backend server.
    #[derive(Copy)]
    pub enum HeartbeatStatus {
        /// The heartbeat is the first one of a new instance, which becomes the current one.
        NewInstance,
        /// The heartbeat is newer than the last one of the current instance.
        Renewed,
        /// The heartbeat is ignored, because a newer heartbeat, a newer instance or the end of its
        /// instance is known.
        Stale,
    }

    /// The current and the ended instances of a node's backend server.
    #[derive(Default)]
    pub struct Registration {
        current: Option<Current>,
        newest_start_ms: u64,
        /// Whether the newest known instance crashed or stopped sending heartbeats.
        is_down: bool,
        ended: VecDeque<Instance>,
    }

    struct Current {
        instance: Instance,
        sequence: u64,
        /// Whether the instance has said in an answer that it leaves. Heartbeats that were sent
        /// before may arrive later.
        is_leaving: bool,
    }
}

impl Registration {
    /// Records a heartbeat and returns its effect.
    pub fn heartbeat(&mut self, instance: &Instance, sequence: u64) -> HeartbeatStatus {
        let is_older_instance = instance.started_at_ms < self.newest_start_ms && !self.is_down;
        if self.ended.contains(instance) || is_older_instance {
            return HeartbeatStatus::Stale;
        }
        match &mut self.current {
            Some(current) if current.instance == *instance && sequence <= current.sequence => {
                HeartbeatStatus::Stale
            }
            Some(current) if current.instance == *instance => {
                current.sequence = sequence;
                self.is_down = false;
                HeartbeatStatus::Renewed
            }
            _ => {
                self.newest_start_ms = instance.started_at_ms;
                self.is_down = false;
                let current = Current {
                    instance: instance.clone(),
                    sequence,
                    is_leaving: false,
                };
                if let Some(previous) = self.current.replace(current) {
                    self.record_ended(previous.instance);
                }
                HeartbeatStatus::NewInstance
            }
        }
    }

    /// Records that the instance with this id says in an answer that it leaves, and returns whether
    /// it is the current one and has not said so before. It does not come back.
    pub fn record_leaving(&mut self, id: &str) -> bool {
        let current = self.current.as_mut();
        let staying = current.filter(|current| &*current.instance.id == id && !current.is_leaving);
        staying.is_some_and(|current| {
            current.is_leaving = true;
            true
        })
    }

    /// Whether the current instance has said in an answer that it leaves.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.current
            .as_ref()
            .is_some_and(|current| current.is_leaving)
    }

    /// Records that an instance has ended and returns whether it was the current one.
    ///
    /// Without `started_at_ms`, the current instance has ended if it has this id.
    pub fn deregister(&mut self, id: &str, started_at_ms: Option<u64>) -> bool {
        let is_current = self.current.as_ref().is_some_and(|current| {
            &*current.instance.id == id
                && started_at_ms
                    .is_none_or(|started_at_ms| started_at_ms == current.instance.started_at_ms)
        });
        if is_current && let Some(current) = self.current.take() {
            self.record_ended(current.instance);
        } else if let Some(started_at_ms) = started_at_ms {
            self.record_ended(Instance {
                id: id.into(),
                started_at_ms,
            });
        }
        is_current
    }

    /// Marks the current instance as down after it crashed or its heartbeats stopped.
    ///
    /// Heartbeats of the same instance are accepted again afterwards. So are those of an instance
    /// with an earlier start time, since the wall clock of the VM may have been set back in
    /// between.
    pub fn mark_down(&mut self) {
        self.is_down = true;
    }

    fn record_ended(&mut self, instance: Instance) {
        self.ended.push_back(instance);
        if self.ended.len() > MAX_ENDED {
            self.ended.pop_front();
        }
    }
}
