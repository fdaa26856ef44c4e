use nutmegwheel_types::{DataCentreId, Incarnation, ProcessName, plain, plain_copy};

use crate::{Announcement, LinkAddress, Role};

plain_copy! {
    /// What the peers of a process found out about it; the greater one wins in an incarnation.
    pub enum Health {
        /// It answers, as far as is known.
        Alive,
        /// It left probes unanswered and is declared dead unless it refutes that.
        Suspect,
        /// It is taken for dead; only a greater incarnation brings it back.
        Dead,
    }

    /// What a process says about its own stay; the greater one wins in an incarnation.
    pub enum MemberStatus {
        /// It takes part.
        Active,
        /// It takes nothing new and stops soon.
        Leaving,
    }

    /// What a merge changed.
    pub struct Merge {
        /// Whether the owner's part or the incarnation is newer than before.
        pub owner: bool,
        /// Whether the health is another one than before.
        pub health: bool,
    }
}

plain! {
    /// All that is known of one process.
    ///
    /// Records form a join semilattice under [`Record::merge`], so that copies converge whatever
    /// the order in which they arrive; see docs/spec/SPREAD.md, "Records".
    pub struct Record {
        /// The name of the process, unique in the fleet.
        pub name: ProcessName,
        /// The data centre it runs in.
        pub data_centre: DataCentreId,
        /// What it does.
        pub role: Role,
        /// Whether it is one of the seeds of its data centre.
        pub seed: bool,
        /// The address on which it takes links.
        pub link: LinkAddress,
        /// The address of its `callers` listener, on nodes.
        pub callers: Option<LinkAddress>,
        /// The address of its `platform` listener.
        pub platform: Option<LinkAddress>,
        /// The number of its life; it also grows when the process refutes a suspicion.
        pub incarnation: Incarnation,
        /// The number of the owner's newest statement in the incarnation.
        pub counter: u64,
        /// Whether it stays.
        pub status: MemberStatus,
        /// Its backend server, if there is one.
        pub announcement: Option<Announcement>,
        /// What its peers found out in this incarnation.
        pub health: Health,
    }
}

impl Merge {
    /// Says whether the merge changed anything.
    #[must_use]
    pub fn any(self) -> bool {
        self.owner || self.health
    }
}

impl Record {
    /// Takes over what is newer in `other`, a record of the same process.
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

    /// A hash of the name, the same in every process.
    pub(crate) fn name_hash(&self) -> u64 {
        hash(self.name.as_bytes(), 0)
    }

    /// A hash of what anti-entropy compares; 0 for the dead, whose records are dropped in time.
    pub(crate) fn state_hash(&self) -> u32 {
        if self.health == Health::Dead {
            return 0;
        }
        let mut state = hash(self.name.as_bytes(), self.incarnation);
        state = hash(&self.counter.to_le_bytes(), state);
        let folded = hash(&[self.health as u8], state);
        u32::try_from(folded >> 32).unwrap_or_default()
    }

    /// An upper estimate of the encoded size in bytes, for budgets.
    pub(crate) fn size(&self) -> usize {
        const FIXED: usize = 62;
        let service = self
            .announcement
            .as_ref()
            .map_or(0, |a| a.service.len() + 8);
        FIXED + self.name.len() + self.data_centre.len() + service
    }
}

/// FNV-1a with a finishing mix, which is stable over builds and processes.
pub(crate) fn hash(bytes: &[u8], seed: u64) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let start = OFFSET ^ crate::random::mix(seed);
    let folded = bytes.iter().fold(start, |state, byte| {
        (state ^ u64::from(*byte)).wrapping_mul(PRIME)
    });
    crate::random::mix(folded)
}
