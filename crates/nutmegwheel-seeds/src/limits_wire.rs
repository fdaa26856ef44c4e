//! Conversions between the messages about rate limits and their wire messages.

use std::time::Duration;

use nutmegwheel_limits::{
    Limit,
    lease::{Candidate, LeaseRelease, LeaseReply, LeaseRequest, Vote},
    messages::{BatchReport, Grant, GrantItem, IngressId, TokenRequest, TokenRequestItem},
    share::{Renewal, RenewalRequest, Share},
};
use nutmegwheel_wire::{self as wire, Malformed, lease_vote};

fn required<T>(value: Option<T>, field: &'static str) -> Result<T, Malformed> {
    value.ok_or(Malformed { field })
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

fn ingress_to_wire(ingress: &IngressId) -> wire::Life {
    wire::Life {
        name: ingress.name.to_string(),
        incarnation: ingress.incarnation,
    }
}

fn candidate_to_wire(candidate: &Candidate) -> wire::Life {
    wire::Life {
        name: candidate.name.to_string(),
        incarnation: candidate.incarnation,
    }
}

fn candidate_from_wire(candidate: Option<wire::Life>) -> Result<Candidate, Malformed> {
    let candidate = required(candidate, "candidate")?;
    Ok(Candidate::new(candidate.name, candidate.incarnation))
}

pub(crate) fn token_request_to_wire(req: &TokenRequest) -> wire::Ask {
    wire::Ask {
        door: Some(ingress_to_wire(&req.ingress)),
        seq: req.seq,
        items: req.items.iter().map(token_request_item_to_wire).collect(),
    }
}

fn token_request_item_to_wire(item: &TokenRequestItem) -> wire::AskItem {
    let reports = item.reports.iter().map(|report| wire::BatchReport {
        batch: report.batch,
        spent: report.spent,
        closed: report.closed,
    });
    wire::AskItem {
        workspace: item.workspace.to_string(),
        waiting: item.waiting,
        stock: item.prefetch,
        refused: item.refused,
        reports: reports.collect(),
    }
}

pub(crate) fn token_request_from_wire(req: wire::Ask) -> Result<TokenRequest, Malformed> {
    let ingress = required(req.door, "door")?;
    Ok(TokenRequest {
        ingress: IngressId {
            name: ingress.name.into(),
            incarnation: ingress.incarnation,
        },
        seq: req.seq,
        items: req
            .items
            .into_iter()
            .map(token_request_item_from_wire)
            .collect(),
    })
}

fn token_request_item_from_wire(item: wire::AskItem) -> TokenRequestItem {
    let reports = item.reports.into_iter().map(|report| BatchReport {
        batch: report.batch,
        spent: report.spent,
        closed: report.closed,
    });
    TokenRequestItem {
        workspace: item.workspace.into(),
        waiting: item.waiting,
        prefetch: item.stock,
        refused: item.refused,
        reports: reports.collect(),
    }
}

pub(crate) fn grant_to_wire(grant: &Grant) -> wire::Grant {
    let items = grant.items.iter().map(|item| wire::GrantItem {
        workspace: item.workspace.to_string(),
        tokens: item.tokens,
        term_us: micros(item.term),
        tight: item.report_immediately,
        empty_for_us: micros(item.empty_for),
        retry_after_us: micros(item.retry_after),
    });
    wire::Grant {
        is_steward: true,
        seq: grant.seq,
        items: items.collect(),
    }
}

pub(crate) fn grant_from_wire(grant: wire::Grant) -> Option<Grant> {
    let items = grant.items.into_iter().map(|item| GrantItem {
        workspace: item.workspace.into(),
        tokens: item.tokens,
        term: Duration::from_micros(item.term_us),
        report_immediately: item.tight,
        empty_for: Duration::from_micros(item.empty_for_us),
        retry_after: Duration::from_micros(item.retry_after_us),
    });
    grant.is_steward.then(|| Grant {
        seq: grant.seq,
        items: items.collect(),
    })
}

pub(crate) fn lease_request_to_wire(req: &LeaseRequest) -> wire::LeaseRequest {
    wire::LeaseRequest {
        candidate: Some(candidate_to_wire(&req.candidate)),
        round: req.round,
        shares: req.shares,
    }
}

pub(crate) fn lease_request_from_wire(req: wire::LeaseRequest) -> Result<LeaseRequest, Malformed> {
    Ok(LeaseRequest {
        candidate: candidate_from_wire(req.candidate)?,
        round: req.round,
        shares: req.shares,
    })
}

pub(crate) fn lease_reply_to_wire(reply: &LeaseReply) -> wire::LeaseReply {
    let kind = match reply.vote {
        Vote::Granted => lease_vote::Kind::Granted(true),
        Vote::Held(time) => lease_vote::Kind::HeldUs(micros(time)),
        Vote::StaleShares(version) => lease_vote::Kind::StaleShares(version),
        Vote::Recovering(time) => lease_vote::Kind::RecoveringUs(micros(time)),
    };
    wire::LeaseReply {
        round: reply.round,
        vote: Some(wire::LeaseVote { kind: Some(kind) }),
    }
}

pub(crate) fn lease_reply_from_wire(reply: wire::LeaseReply) -> Result<LeaseReply, Malformed> {
    let kind = reply.vote.and_then(|vote| vote.kind);
    let vote = match required(kind, "vote")? {
        lease_vote::Kind::Granted(_) => Vote::Granted,
        lease_vote::Kind::HeldUs(time) => Vote::Held(Duration::from_micros(time)),
        lease_vote::Kind::StaleShares(version) => Vote::StaleShares(version),
        lease_vote::Kind::RecoveringUs(time) => Vote::Recovering(Duration::from_micros(time)),
    };
    Ok(LeaseReply {
        round: reply.round,
        vote,
    })
}

pub(crate) fn lease_release_to_wire(release: &LeaseRelease) -> wire::LeaseRelease {
    wire::LeaseRelease {
        candidate: Some(candidate_to_wire(&release.candidate)),
        round: release.round,
    }
}

pub(crate) fn lease_release_from_wire(
    release: wire::LeaseRelease,
) -> Result<LeaseRelease, Malformed> {
    Ok(LeaseRelease {
        candidate: candidate_from_wire(release.candidate)?,
        round: release.round,
    })
}

pub(crate) fn renewal_request_to_wire(req: &RenewalRequest) -> wire::RenewalRequest {
    let demand = req.demand.iter();
    wire::RenewalRequest {
        data_centre: req.data_centre.to_string(),
        number: req.number,
        confirmed: req.confirmed,
        demand: demand
            .map(|(name, rate)| (name.to_string(), *rate))
            .collect(),
    }
}

/// Converts a renewal request of a token server from its wire message.
#[must_use]
pub fn renewal_request_from_wire(req: wire::RenewalRequest) -> RenewalRequest {
    let demand = req.demand.into_iter();
    RenewalRequest {
        data_centre: req.data_centre.into(),
        number: req.number,
        confirmed: req.confirmed,
        demand: demand.map(|(name, rate)| (name.into(), rate)).collect(),
    }
}

/// Converts the control leader's reply to a renewal request to its wire message.
#[must_use]
pub fn renewal_to_wire(renewal: &Renewal) -> wire::Renewal {
    let shares = renewal.shares.iter();
    wire::Renewal {
        number: renewal.number,
        version: renewal.version,
        shares: shares
            .map(|(name, share)| (name.to_string(), share_to_wire(share)))
            .collect(),
    }
}

pub(crate) fn renewal_from_wire(renewal: wire::Renewal) -> Result<Renewal, Malformed> {
    let mut shares = std::collections::BTreeMap::new();
    for (name, share) in renewal.shares {
        shares.insert(name.into(), share_from_wire(&share)?);
    }
    Ok(Renewal {
        number: renewal.number,
        version: renewal.version,
        shares,
    })
}

fn share_to_wire(share: &Share) -> wire::Share {
    let limit = |limit: Limit| wire::Limit {
        rate: limit.rate,
        burst: limit.burst,
    };
    wire::Share {
        whole: Some(limit(share.whole)),
        floor: Some(limit(share.floor)),
    }
}

fn share_from_wire(share: &wire::Share) -> Result<Share, Malformed> {
    let limit = |limit: Option<wire::Limit>| {
        required(limit, "share").map(|limit| Limit {
            rate: limit.rate,
            burst: limit.burst,
        })
    };
    Ok(Share {
        whole: limit(share.whole)?,
        floor: limit(share.floor)?,
    })
}
