//! The in-memory log: the entries after the last snapshot.

use nutmegwheel_types::plain;

use crate::types::{Entry, LogIndex, Payload, Position, Term};

plain! {
    /// Log entries with consecutive indexes that follow a base position.
    #[derive(Default, Hash)]
    pub struct Log {
        base: Position,
        entries: Vec<Entry>,
        bytes: usize,
    }
}

impl Log {
    /// Returns the position before the first entry: that of the snapshot, or zero without one.
    #[must_use]
    pub fn base(&self) -> Position {
        self.base
    }

    /// Returns the position of the last entry, or the base when there is none.
    #[must_use]
    pub fn last(&self) -> Position {
        self.entries.last().map_or(self.base, |e| e.position)
    }

    /// Returns all entries after the base.
    #[must_use]
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Returns the total [`Entry::size`] of the entries in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the term of the entry at `index`, or `None` outside the log.
    #[must_use]
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|e| e.position.term)
    }

    /// Returns whether `position` is the base or the position of an entry in this log.
    #[must_use]
    pub fn contains(&self, position: Position) -> bool {
        self.term_at(position.index) == Some(position.term)
    }

    /// Returns the entry at `index`.
    #[must_use]
    pub fn get(&self, index: LogIndex) -> Option<&Entry> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns the entries from index `from` on, up to `max_bytes` in total. Returns at least one
    /// if there is any, so that an entry larger than the limit can still be sent.
    pub(crate) fn batch(&self, from: LogIndex, max_bytes: usize) -> Vec<Entry> {
        let mut bytes = 0;
        self.entries_after(from.saturating_sub(1))
            .iter()
            .take_while(|e| {
                let first = bytes == 0;
                bytes += e.size();
                first || bytes <= max_bytes
            })
            .cloned()
            .collect()
    }

    /// Returns the entries after `index`.
    pub(crate) fn entries_after(&self, index: LogIndex) -> &[Entry] {
        let skip = index.saturating_sub(self.base.index);
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        &self.entries[skip.min(self.entries.len())..]
    }

    /// Returns the last membership entry at or before `index`.
    pub(crate) fn membership_entry(&self, index: LogIndex) -> Option<&Entry> {
        self.entries
            .iter()
            .rev()
            .skip_while(|e| e.position.index > index)
            .find(|e| matches!(e.payload, Payload::Membership(_)))
    }
}

impl Log {
    /// Appends consecutive `entries`, replacing any entries from the index of the first one on.
    pub(crate) fn append(&mut self, entries: &[Entry]) {
        let Some(first) = entries.first() else {
            return;
        };
        self.truncate(first.position.index);
        self.bytes += entries.iter().map(Entry::size).sum::<usize>();
        self.entries.extend_from_slice(entries);
    }

    /// Drops the entries that a snapshot at `position` includes, or all entries if the log does not
    /// contain `position`.
    pub(crate) fn compact(&mut self, position: Position) {
        if self.contains(position) {
            let kept = self.entries_after(position.index).to_vec();
            self.entries = kept;
        } else {
            self.entries.clear();
        }
        self.base = position;
        self.bytes = self.entries.iter().map(Entry::size).sum();
    }

    fn truncate(&mut self, from: LogIndex) {
        let keep = from.saturating_sub(self.base.index + 1);
        let keep = usize::try_from(keep).unwrap_or(usize::MAX);
        let cut = self.entries.len().saturating_sub(keep);
        for _ in 0..cut {
            let Some(entry) = self.entries.pop() else {
                return;
            };
            self.bytes -= entry.size();
        }
    }
}
