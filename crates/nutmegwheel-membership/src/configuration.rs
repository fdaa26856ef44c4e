use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use nutmegwheel_types::{ConfigVersion, plain};

use crate::{ConfigurationPart, LinkAddress};

plain! {
    /// A configuration that the process accepted; only the caller knows its encoding.
    pub struct Configuration {
        /// Its version.
        pub version: ConfigVersion,
        /// The whole encoded configuration.
        pub snapshot: Arc<[u8]>,
        /// The change from the previous version to this one, if it is known and small.
        pub change: Option<Arc<[u8]>>,
    }

    /// A change or snapshot fetched from a peer. The caller checks and applies it, and passes the
    /// result to `Gossip::set_configuration`.
    pub struct Change {
        /// The version of the configuration after this change or snapshot is applied.
        pub version: ConfigVersion,
        /// The version that the change applies to, or 0 if `bytes` is a snapshot.
        pub base: ConfigVersion,
        /// The encoded change or snapshot.
        pub bytes: Vec<u8>,
    }

    /// The stored configuration, and the state of fetching a newer one.
    pub(crate) struct ConfigurationStore {
        version: ConfigVersion,
        highest_observed: ConfigVersion,
        snapshot: Arc<[u8]>,
        changes: VecDeque<(ConfigVersion, Arc<[u8]>)>,
        fetching: Option<Fetching>,
        newer_peers: VecDeque<(LinkAddress, ConfigVersion)>,
        needs_snapshot: bool,
        paused_until: Option<Instant>,
    }

    struct Fetching {
        from: LinkAddress,
        last_activity: Instant,
        version: ConfigVersion,
        base: ConfigVersion,
        bytes: Vec<u8>,
    }

    /// A fetch to send to the peer at `to`.
    pub(crate) struct Request {
        pub(crate) to: LinkAddress,
        pub(crate) from_version: ConfigVersion,
        pub(crate) offset: u32,
    }

    /// The result of receiving a part of a configuration.
    pub(crate) enum Received {
        Ignored,
        Incomplete(Request),
        Complete(Change),
    }
}

/// The maximum number of configuration bytes in one message.
pub(crate) const MAX_PART_BYTES: usize = 16 * 1024;
const MAX_CONFIGURATION_BYTES: u32 = 8 * 1024 * 1024;
/// The number of recent changes kept for peers that are a few versions behind.
const MAX_CHANGES: usize = 16;
/// The time after which an unanswered fetch is sent to another peer.
const FETCH_TIMEOUT: Duration = Duration::from_millis(400);
/// The time for which nothing is fetched after the caller rejected a configuration.
const PAUSE_AFTER_REJECTION: Duration = Duration::from_secs(1);
/// The time after which a fetched configuration that the caller has not stored is fetched again.
const APPLY_TIMEOUT: Duration = Duration::from_secs(2);
/// The number of peers with a newer version that are remembered.
const MAX_NEWER_PEERS: usize = 4;

impl ConfigurationStore {
    pub(crate) fn open() -> Self {
        Self {
            version: 0,
            highest_observed: 0,
            snapshot: Arc::from([]),
            changes: VecDeque::new(),
            fetching: None,
            newer_peers: VecDeque::new(),
            needs_snapshot: false,
            paused_until: None,
        }
    }

    /// Stores a configuration if it is newer, so that the version never decreases, and returns
    /// whether it was stored.
    pub(crate) fn set(&mut self, configuration: Configuration) -> bool {
        if configuration.version <= self.version {
            return false;
        }
        match configuration.change {
            Some(change) if configuration.version == self.version + 1 => {
                self.changes.push_back((configuration.version, change));
            }
            _ => self.changes.clear(),
        }
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
        self.version = configuration.version;
        self.snapshot = configuration.snapshot;
        self.fetching = None;
        self.needs_snapshot = false;
        self.paused_until = None;
        true
    }

    /// Records that the caller could not apply the fetched change, so that a snapshot is fetched
    /// after a pause.
    pub(crate) fn reject(&mut self, now: Instant) {
        self.needs_snapshot = true;
        self.fetching = None;
        self.paused_until = now.checked_add(PAUSE_AFTER_REJECTION);
    }

    /// Records the version that a peer holds, and returns whether it is the highest observed so
    /// far.
    pub(crate) fn observe_version(&mut self, from: LinkAddress, version: ConfigVersion) -> bool {
        if version <= self.version {
            return false;
        }
        let is_new_highest = version > self.highest_observed;
        self.highest_observed = self.highest_observed.max(version);
        self.newer_peers.retain(|(peer, _)| *peer != from);
        self.newer_peers.push_back((from, version));
        if self.newer_peers.len() > MAX_NEWER_PEERS {
            self.newer_peers.pop_front();
        }
        is_new_highest
    }

    /// Returns the request that is due, to the peer with the newest version.
    pub(crate) fn request(&mut self, now: Instant) -> Option<Request> {
        if self.paused_until.is_some_and(|until| now < until) {
            return None;
        }
        if let Some(fetching) = &self.fetching {
            if now.saturating_duration_since(fetching.last_activity) < FETCH_TIMEOUT {
                return None;
            }
            let unresponsive = fetching.from;
            self.newer_peers.retain(|(peer, _)| *peer != unresponsive);
            self.fetching = None;
        }
        let held = self.version;
        self.newer_peers.retain(|(_, version)| *version > held);
        let (to, _) = *self
            .newer_peers
            .iter()
            .max_by_key(|(_, version)| *version)?;
        self.fetching = Some(Fetching {
            from: to,
            last_activity: now,
            version: 0,
            base: 0,
            bytes: Vec::new(),
        });
        let from_version = if self.needs_snapshot { 0 } else { held };
        Some(Request {
            to,
            from_version,
            offset: 0,
        })
    }

    /// Handles a part of a configuration; ignores it unless it answers the open request.
    pub(crate) fn receive(
        &mut self,
        now: Instant,
        from: LinkAddress,
        part: &ConfigurationPart,
    ) -> Received {
        let held = self.version;
        let Some(fetching) = self.fetching.as_mut().filter(|f| f.from == from) else {
            return Received::Ignored;
        };
        if part.version <= held || part.length > MAX_CONFIGURATION_BYTES {
            return Received::Ignored;
        }
        let is_continuation = fetching.is_continued_by(part);
        if !is_continuation {
            fetching.restart(part);
            if part.offset != 0 {
                return Received::Ignored;
            }
        }
        fetching.last_activity = now;
        fetching.bytes.extend_from_slice(&part.bytes);
        let read = u32::try_from(fetching.bytes.len()).unwrap_or(u32::MAX);
        if read < part.length && !part.bytes.is_empty() {
            let from_version = if part.base == 0 { 0 } else { held };
            return Received::Incomplete(Request {
                to: from,
                from_version,
                offset: read,
            });
        }
        let bytes = std::mem::take(&mut fetching.bytes);
        self.fetching = None;
        if read != part.length {
            return Received::Ignored;
        }
        self.paused_until = now.checked_add(APPLY_TIMEOUT);
        Received::Complete(Change {
            version: part.version,
            base: part.base,
            bytes,
        })
    }
}

impl ConfigurationStore {
    pub(crate) fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Answers a fetch with the next change if it is still kept, otherwise with the snapshot.
    pub(crate) fn answer(&self, from: ConfigVersion, offset: u32) -> Option<ConfigurationPart> {
        if from >= self.version {
            return None;
        }
        let next = self
            .changes
            .iter()
            .find(|(version, _)| *version == from + 1);
        let (version, base, content) = match next {
            Some((version, change)) if from > 0 => (*version, from, change),
            _ => (self.version, 0, &self.snapshot),
        };
        let start = usize::try_from(offset).ok()?.min(content.len());
        let end = content.len().min(start + MAX_PART_BYTES);
        Some(ConfigurationPart {
            version,
            base,
            offset,
            length: u32::try_from(content.len()).ok()?,
            bytes: content[start..end].to_vec(),
        })
    }
}

impl Fetching {
    /// Whether the part starts at the end of the previous one.
    fn is_continued_by(&self, part: &ConfigurationPart) -> bool {
        let read = u32::try_from(self.bytes.len()).unwrap_or(u32::MAX);
        part.offset == read && part.version == self.version && part.base == self.base
    }

    fn restart(&mut self, part: &ConfigurationPart) {
        self.version = part.version;
        self.base = part.base;
        self.bytes.clear();
    }
}
