use nutmegwheel_types::{DataCentreId, Incarnation, ProcessName, plain, plain_copy};

use crate::{Announcement, LinkAddress, Role};

plain_copy! {
    /// The state of a process as detected by its peers; within an incarnation the greater value
    /// wins.
    pub enum Health {
        /// The process answers probes, as far as is known.
        Alive,
        /// The process did not answer probes and is declared dead unless it refutes the suspicion.
        Suspect,
        /// The process is declared dead; only a greater incarnation makes it alive again.
        Dead,
    }

    /// The state that a process declares for itself; within an incarnation the greater value wins.
    pub enum MemberStatus {
        /// The process has not announced that it leaves.
        Active,
        /// The process accepts no new work and stops soon.
        Leaving,
    }

    /// Which parts of a record a merge changed.
    pub struct Merge {
        /// Whether the incarnation or the fields that the owner sets changed.
        pub owner: bool,
        /// Whether the health changed.
        pub health: bool,
    }
}

plain! {
    /// The replicated state of one process.
    ///
    /// Records form a join semilattice under [`Record::merge`], so that copies converge in whatever
    /// order they arrive; see docs/spec/SPREAD.md, "Records".
    pub struct Record {
        /// The name of the process, unique in the fleet.
        pub name: ProcessName,
        /// The data centre in which the process runs.
        pub data_centre: DataCentreId,
        /// Whether the process is a node or a control VM.
        pub role: Role,
        /// Whether the process is one of the seeds of its data centre.
        pub seed: bool,
        /// The address on which the process accepts links from peers.
        pub link: LinkAddress,
        /// The address of its `callers` listener; `None` on control VMs.
        pub callers: Option<LinkAddress>,
        /// The address of its `platform` listener, or `None` if it has none.
        pub platform: Option<LinkAddress>,
        /// The incarnation, which grows when the process restarts or refutes a suspicion.
        pub incarnation: Incarnation,
        /// The number of the owner's newest update; in an incarnation, the record with the greater
        /// number is newer.
        pub counter: u64,
        /// Whether the process is leaving, as declared by itself.
        pub status: MemberStatus,
        /// The state of its backend server, or `None` if it has none.
        pub announcement: Option<Announcement>,
        /// Its health in this incarnation, as detected by its peers.
        pub health: Health,
    }
}

impl Merge {
    /// Whether the merge changed the record.
    #[must_use]
    pub fn has_changes(self) -> bool {
        self.owner || self.health
    }
}

impl Record {
    /// Merges `other`, a record of the same process, into this one.
    pub fn merge(&mut self, other: &Self) -> Merge {
        if other.incarnation > self.incarnation {
            let health = other.health != self.health;
            *self = other.clone();
            return Merge {
                owner: true,
                health,
            };
        }
        if other.incarnation < self.incarnation {
            return Merge {
                owner: false,
                health: false,
            };
        }
        let health = self.health.max(other.health);
        let merge = Merge {
            owner: other.counter > self.counter,
            health: health != self.health,
        };
        if merge.owner {
            *self = other.clone();
        }
        self.health = health;
        merge
    }

    /// A hash of the name that is equal in every process.
    pub(crate) fn name_hash(&self) -> u64 {
        hash(self.name.as_bytes(), 0)
    }

    /// A hash of the state that anti-entropy compares. It is 0 for dead processes, since members
    /// drop their records at different times.
    pub(crate) fn state_hash(&self) -> u32 {
        if self.health == Health::Dead {
            return 0;
        }
        let mut state = hash(self.name.as_bytes(), self.incarnation);
        state = hash(&self.counter.to_le_bytes(), state);
        let folded = hash(&[self.health as u8], state);
        u32::try_from(folded >> 32).unwrap_or_default()
    }

    /// An upper estimate of the encoded size in bytes, for the send budget.
    pub(crate) fn size(&self) -> usize {
        const FIXED_BYTES: usize = 62;
        let service = self
            .announcement
            .as_ref()
            .map_or(0, |a| a.service.len() + 8);
        FIXED_BYTES + self.name.len() + self.data_centre.len() + service
    }
}

/// FNV-1a with a finalizer; unlike the standard library's hasher it is stable across builds and
/// processes.
pub(crate) fn hash(bytes: &[u8], seed: u64) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let start = OFFSET ^ crate::random::mix(seed);
    let folded = bytes.iter().fold(start, |state, byte| {
        (state ^ u64::from(*byte)).wrapping_mul(PRIME)
    });
    crate::random::mix(folded)
}
