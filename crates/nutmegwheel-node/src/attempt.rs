//! One attempt of a call at one backend server, either local or over a link.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use nutmegwheel_link::{CallError, Refusal as LinkRefusal};
use nutmegwheel_policy::{
    deadline::{self, Deadline},
    routing::{BackendKey, LoadReport, Outcome as RouteOutcome},
    work::WorkReport,
};
use nutmegwheel_seeds::AttemptId;
use nutmegwheel_types::EndpointId;
use nutmegwheel_wire::{ReplyHead, topic};
use prost::Message as _;

use crate::{
    at_most_once::{self, BeginOutcome},
    call::{Answer, Call},
    refusal::{Outcome, Reason, Refusal},
    routes::Target,
    running::DownstreamServer,
    serve,
    served::Served,
    shared::Shared,
};

/// The assumed round-trip time within a data centre.
pub(crate) const LOCAL_ROUND_TRIP: Duration = Duration::from_millis(1);
/// The assumed round-trip time between data centres.
const REMOTE_ROUND_TRIP: Duration = Duration::from_millis(4);

/// Counts a request as outstanding at a backend server until it ends or its caller disconnects.
struct Outstanding<'a> {
    shared: &'a Shared,
    service: &'a str,
    endpoint: &'a EndpointId,
    key: BackendKey,
    route_outcome: RouteOutcome,
    report: Option<LoadReport>,
    work: Option<WorkReport>,
}

impl Drop for Outstanding<'_> {
    fn drop(&mut self) {
        let now = Instant::now();
        let routes = &self.shared.routes;
        routes.finish(now, self.service, self.key, self.route_outcome, self.report);
        if self.report.is_some() {
            routes.observe_work(
                self.shared,
                self.service,
                self.key,
                self.endpoint,
                self.work,
            );
        }
    }
}

/// Sends the call to one backend server and records the result in the routing state.
pub(crate) async fn attempt(
    shared: &Arc<Shared>,
    call: &mut Call,
    target: &Target,
    replaces: &mut Option<AttemptId>,
) -> Served {
    let service = call.service.clone();
    let endpoint = call.endpoint.clone();
    let mut outstanding = Outstanding {
        shared,
        service: &service,
        endpoint: &endpoint,
        key: target.key,
        route_outcome: RouteOutcome::Cancelled,
        report: None,
        work: None,
    };
    let guard = match at_most_once::begin(shared, call, target, replaces).await {
        BeginOutcome::Send(guard) => guard,
        BeginOutcome::Done(result) => return Served::not_sent(result, call.context.retry_tokens),
    };
    let served = if target.node == shared.settings.name {
        serve::serve(shared, call.clone()).await
    } else {
        send(shared, call, target).await
    };
    let served = at_most_once::finish(shared, guard, target, replaces, served).await;
    outstanding.report = served.report;
    outstanding.work = served.work;
    outstanding.route_outcome = route_outcome(&served);
    if let Some(report) = served.report {
        shared.observe_shed_level(&call.service, &target.node, report.shed_level);
    }
    for downstream in &served.downstream {
        shared.observe_shed_level(&downstream.service, &downstream.node, downstream.level);
    }
    if served.result.is_ok() {
        let called = served
            .downstream
            .iter()
            .map(|downstream| downstream.service.clone());
        shared.record_dependencies(&call.service, &call.endpoint, called);
    }
    served
}

fn route_outcome(served: &Served) -> RouteOutcome {
    match &served.result {
        Ok(_) => RouteOutcome::Answered,
        Err(refusal) => match refusal.reason {
            Reason::Overloaded
            | Reason::BackendShed
            | Reason::NoBackendServer
            | Reason::Leaving => RouteOutcome::Refused,
            Reason::LinkLost if refusal.outcome == Outcome::NotRun => RouteOutcome::Unreachable,
            Reason::BackendLost | Reason::LinkLost | Reason::BadAnswer | Reason::AnswerTooLarge => {
                RouteOutcome::Failed
            }
            Reason::Deadline if refusal.outcome == Outcome::MayHaveRun => RouteOutcome::Failed,
            _ => RouteOutcome::Cancelled,
        },
    }
}

async fn send(shared: &Shared, call: &Call, target: &Target) -> Served {
    match exchange(shared, call, target).await {
        Ok((head, body)) => read_reply(head, body),
        Err(refusal) => Served::lost(refusal),
    }
}

async fn exchange(
    shared: &Shared,
    call: &Call,
    target: &Target,
) -> Result<(ReplyHead, Bytes), Refusal> {
    let endpoint = shared.endpoint();
    let endpoint =
        endpoint.ok_or_else(|| Refusal::not_run(Reason::NotReady, "the links are not up"))?;
    let now = Instant::now();
    let round_trip = if target.data_centre == shared.settings.data_centre {
        LOCAL_ROUND_TRIP
    } else {
        REMOTE_ROUND_TRIP
    };
    let deadline = Deadline::open(now, call.deadline.saturating_duration_since(now));
    let time = deadline
        .for_next_hop(now, round_trip, &deadline::Options::default())
        .map_err(|e| Refusal::not_run(Reason::Deadline, e.to_string()))?;
    let mut head = call.to_wire(time, target.incarnation);
    head.stamp = Some(shared.timestamp());
    let req = nutmegwheel_link::Request {
        topic: topic::CALL,
        head: head.encode_to_vec().into(),
        body: call.body.clone(),
    };
    let reply = endpoint.call(target.link, req, call.deadline).await;
    let reply = reply.map_err(|e| link_refusal(&e))?;
    let head = ReplyHead::decode(reply.head).map_err(|e| malformed(&e))?;
    if let Some(stamp) = head.stamp {
        shared.observe_timestamp(stamp);
    }
    Ok((head, reply.body))
}

fn read_reply(mut head: ReplyHead, body: Bytes) -> Served {
    let load = head.load.take();
    let work = load.as_ref();
    let work = work.and_then(|load| WorkReport::from_micros(load.work_us, load.service_us));
    let report = load.as_ref().map(serve::report_from_wire);
    let downstream = std::mem::take(&mut head.below);
    Served {
        unspent: Some(head.retry_tokens),
        report,
        work,
        downstream: downstream.into_iter().map(downstream_from_wire).collect(),
        has_failed_alone: head.failed_alone,
        result: read_result(head, body),
    }
}

fn read_result(head: ReplyHead, body: Bytes) -> Result<Answer, Refusal> {
    if let Some(refusal) = head.refusal {
        return Err(Refusal::from_wire(refusal));
    }
    Answer::from_wire(head.status, head.fields, body).map_err(|e| malformed(&e))
}

fn downstream_from_wire(wire: nutmegwheel_wire::Below) -> DownstreamServer {
    DownstreamServer {
        service: wire.service.into(),
        node: wire.node.into(),
        level: wire.shed.as_ref().and_then(|level| level.try_into().ok()),
    }
}

fn link_refusal(e: &CallError) -> Refusal {
    let reason = match e {
        CallError::Expired { .. }
        | CallError::Refused {
            reason: LinkRefusal::Expired,
            ..
        } => Reason::Deadline,
        CallError::Refused {
            reason: LinkRefusal::Busy,
            ..
        } => Reason::Overloaded,
        _ => Reason::LinkLost,
    };
    if e.proves_not_run() {
        Refusal::not_run(reason, e.to_string())
    } else {
        Refusal::may_have_run(reason, e.to_string())
    }
}

fn malformed(e: &dyn std::fmt::Display) -> Refusal {
    Refusal::may_have_run(Reason::LinkLost, format!("the reply is malformed: {e}"))
}
