use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Bound,
    time::{Duration, Instant},
};

use nutmegwheel_types::{RequestId, plain};

use super::{Bounds, MAX_ATTEMPTS, RELEASED_RETENTION};
use crate::{
    AttemptId, Phase,
    messages::{ClaimCopy, ClaimRequest, Vote},
};

plain! {
    /// The records of requests by request id, limited in number, size and age.
    #[derive(Hash)]
    pub(super) struct ClaimTable {
        bounds: Bounds,
        requests: BTreeMap<RequestId, Record>,
        expiries: BTreeSet<(Instant, RequestId)>,
        answer_bytes: usize,
    }

    #[derive(Hash)]
    struct Record {
        attempts: BTreeMap<AttemptId, Phase>,
        updated_at: Instant,
        expires_at: Instant,
    }
}

impl ClaimTable {
    pub(super) fn open(bounds: Bounds) -> Self {
        let (requests, expiries) = (BTreeMap::new(), BTreeSet::new());
        ClaimTable {
            bounds,
            requests,
            expiries,
            answer_bytes: 0,
        }
    }

    pub(super) fn expire(&mut self, now: Instant) {
        while let Some((_, id)) = self.expiries.first().copied().filter(|(at, _)| *at <= now) {
            self.expiries.pop_first();
            if let Some(record) = self.requests.remove(&id) {
                self.answer_bytes -= record.attempts.values().map(answer_len).sum::<usize>();
            }
        }
    }
}

impl ClaimTable {
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(super) fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Returns up to `size` claims with ids after `after`, without their answers.
    pub(super) fn page(
        &self,
        after: Option<RequestId>,
        size: usize,
        now: Instant,
    ) -> Vec<ClaimCopy> {
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        let records = self.requests.range((from, Bound::Unbounded)).take(size);
        records.map(|(id, record)| record.copy(*id, now)).collect()
    }
}

impl ClaimTable {
    pub(super) fn claim(&mut self, req: &ClaimRequest, now: Instant) -> Vote {
        if let Some(replaced) = &req.replaces {
            self.merge(req.id, replaced.clone(), Phase::Released, now);
        }
        let vote = self.vote(req);
        if vote == Vote::Granted {
            let phase = Phase::Claimed(req.target.clone());
            self.merge(req.id, req.attempt.clone(), phase, now);
        }
        vote
    }

    /// Merges an update of an attempt; the phase of higher rank wins.
    ///
    /// If the table is full, an update of an unknown request is dropped. That is safe, because the
    /// claim of that request depends only on the seeds that granted it.
    pub(super) fn merge(&mut self, id: RequestId, attempt: AttemptId, phase: Phase, now: Instant) {
        if !self.has_room_for(&id) {
            return;
        }
        let phase = self.limit_answer(phase);
        let record = self.requests.entry(id).or_insert_with(|| Record::open(now));
        let known = record.attempts.get(&attempt).map(Phase::rank);
        if known.is_none_or(|rank| rank < phase.rank()) {
            self.answer_bytes += answer_len(&phase);
            record.attempts.insert(attempt, phase);
            record.evict_released();
        }
        self.renew_expiry(id, now);
    }

    fn vote(&self, req: &ClaimRequest) -> Vote {
        let attempts = self.requests.get(&req.id).map(|r| &r.attempts);
        let phases = || attempts.into_iter().flatten();
        let done = phases().filter(|(_, p)| matches!(p, Phase::Done(_)));
        if let Some((_, Phase::Done(answer))) = done.max_by_key(|(_, p)| p.rank()) {
            return Vote::Done(answer.clone());
        }
        let others = phases().filter(|(attempt, _)| **attempt != req.attempt);
        for (attempt, phase) in others {
            if let Phase::Claimed(target) | Phase::Running(target) = phase {
                return Vote::Busy(attempt.clone(), target.clone());
            }
        }
        match attempts.and_then(|a| a.get(&req.attempt)) {
            Some(Phase::Released) => Vote::AlreadyReleased,
            None if !self.has_room_for(&req.id) => Vote::Full,
            _ => Vote::Granted,
        }
    }

    fn renew_expiry(&mut self, id: RequestId, now: Instant) {
        let Some(record) = self.requests.get_mut(&id) else {
            return;
        };
        self.expiries.remove(&(record.expires_at, id));
        record.updated_at = record.updated_at.max(now);
        record.expires_at = record.updated_at + record.retention(self.bounds.retention);
        self.expiries.insert((record.expires_at, id));
    }

    fn has_room_for(&self, id: &RequestId) -> bool {
        self.requests.contains_key(id) || self.requests.len() < self.bounds.max_requests
    }

    fn limit_answer(&self, phase: Phase) -> Phase {
        let len = answer_len(&phase);
        let fits = len <= crate::MAX_STORED_ANSWER_BYTES
            && self.answer_bytes + len <= self.bounds.max_answer_bytes;
        if fits { phase } else { Phase::Done(None) }
    }
}

impl Record {
    fn open(now: Instant) -> Self {
        Record {
            attempts: BTreeMap::new(),
            updated_at: now,
            expires_at: now,
        }
    }

    /// Drops released attempts above [`MAX_ATTEMPTS`], to limit the memory of a request that is
    /// resent many times. This is safe, because released attempts never run, with or without a
    /// record.
    fn evict_released(&mut self) {
        let mut excess = self.attempts.len().saturating_sub(MAX_ATTEMPTS);
        self.attempts.retain(|_, phase| {
            let is_dropped = excess > 0 && *phase == Phase::Released;
            excess -= usize::from(is_dropped);
            !is_dropped
        });
    }

    fn retention(&self, retention: Duration) -> Duration {
        let is_released = self.attempts.values().all(|p| *p == Phase::Released);
        if is_released {
            RELEASED_RETENTION.min(retention)
        } else {
            retention
        }
    }

    fn copy(&self, id: RequestId, now: Instant) -> ClaimCopy {
        let without_answer = |phase: &Phase| match phase {
            Phase::Done(_) => Phase::Done(None),
            other => other.clone(),
        };
        let attempts = self
            .attempts
            .iter()
            .map(|(a, p)| (a.clone(), without_answer(p)))
            .collect();
        ClaimCopy {
            id,
            attempts,
            age: now.saturating_duration_since(self.updated_at),
        }
    }
}

fn answer_len(phase: &Phase) -> usize {
    match phase {
        Phase::Done(Some(answer)) => answer.len(),
        _ => 0,
    }
}
