//! Which heartbeats of a backend server count, when late ones of earlier lives still arrive.

use std::{collections::VecDeque, sync::Arc};

use nutmegwheel_types::plain;

/// The lives that are remembered to have ended.
const ENDED_KEPT: usize = 32;

plain! {
    /// One life of a backend server, as its heartbeats name it.
    pub struct Life {
        /// Its id, which an earlier life may have had too.
        pub id: Arc<str>,
        /// When it started, in ms of its VM's wall clock.
        pub born: u64,
    }

    /// What a heartbeat is to its receiver.
    #[derive(Copy)]
    pub enum Verdict {
        /// It is the first of a newer life than all before.
        NewLife,
        /// It is newer than what was said by the same life before.
        Renewed,
        /// It was overtaken: a newer heartbeat, a newer life or the end of its life is known.
        Outdated,
    }

    /// The lives of the one backend server beside a node.
    #[derive(Default)]
    pub struct Registration {
        current: Option<Current>,
        newest_born: u64,
        /// Whether nothing is known to live since the newest life was heard of.
        is_lapsed: bool,
        ended: VecDeque<Life>,
    }

    struct Current {
        life: Life,
        sequence: u64,
    }
}

impl Registration {
    /// Takes in a heartbeat.
    pub fn heartbeat(&mut self, life: &Life, sequence: u64) -> Verdict {
        let is_older = life.born < self.newest_born && !self.is_lapsed;
        if self.ended.contains(life) || is_older {
            return Verdict::Outdated;
        }
        match &mut self.current {
            Some(current) if current.life == *life && sequence <= current.sequence => {
                Verdict::Outdated
            }
            Some(current) if current.life == *life => {
                current.sequence = sequence;
                self.is_lapsed = false;
                Verdict::Renewed
            }
            _ => {
                self.newest_born = life.born;
                self.is_lapsed = false;
                let life = life.clone();
                if let Some(before) = self.current.replace(Current { life, sequence }) {
                    self.bury(before.life);
                }
                Verdict::NewLife
            }
        }
    }

    /// Takes in that a life has ended, and says whether it was the current one.
    ///
    /// An end without a time of birth is that of the current life of this id.
    pub fn gone(&mut self, id: &str, born: Option<u64>) -> bool {
        let is_current = self.current.as_ref().is_some_and(|current| {
            &*current.life.id == id && born.is_none_or(|born| born == current.life.born)
        });
        if is_current && let Some(current) = self.current.take() {
            self.bury(current.life);
        } else if let Some(born) = born {
            self.bury(Life {
                id: id.into(),
                born,
            });
        }
        is_current
    }

    /// Takes in that the current life was found dead or fell silent. It may speak again, or a later
    /// one that seems to be born before it because the wall clock of their VM was set back.
    pub fn lapse(&mut self) {
        self.is_lapsed = true;
    }

    fn bury(&mut self, life: Life) {
        self.ended.push_back(life);
        if self.ended.len() > ENDED_KEPT {
            self.ended.pop_front();
        }
    }
}
