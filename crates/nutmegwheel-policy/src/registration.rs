//! Which heartbeats of a backend server count, when late ones of earlier lives still arrive.

use std::{collections::VecDeque, sync::Arc};

use nutmegwheel_types::plain;

/// The lives that are remembered to have ended.
const MAX_ENDED: usize = 32;

plain! {
    /// One life of a backend server, as its heartbeats name it.
    pub struct Instance {
        /// Its id, which an earlier life may have had too.
        pub id: Arc<str>,
        /// When it started, in ms of its VM's wall clock.
        pub started_at_ms: u64,
    }

    /// What a heartbeat is to its receiver.
    #[derive(Copy)]
    pub enum HeartbeatStatus {
        /// It is the first of a newer life than all before.
        NewInstance,
        /// It is newer than what was said by the same life before.
        Renewed,
        /// It was overtaken: a newer heartbeat, a newer life or the end of its life is known.
        Stale,
    }

    /// The lives of the one backend server beside a node.
    #[derive(Default)]
    pub struct Registration {
        current: Option<Current>,
        newest_start_ms: u64,
        /// Whether nothing is known to live since the newest life was heard of.
        is_down: bool,
        ended: VecDeque<Instance>,
    }

    struct Current {
        instance: Instance,
        sequence: u64,
    }
}

impl Registration {
    /// Takes in a heartbeat.
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
                let instance = instance.clone();
                if let Some(previous) = self.current.replace(Current { instance, sequence }) {
                    self.record_ended(previous.instance);
                }
                HeartbeatStatus::NewInstance
            }
        }
    }

    /// Takes in that a life has ended, and says whether it was the current one.
    ///
    /// An end without a time of birth is that of the current life of this id.
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

    /// Takes in that the current life was found dead or fell silent. It may speak again, or a later
    /// one that seems to be born before it because the wall clock of their VM was set back.
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
