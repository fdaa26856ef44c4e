use std::{sync::Arc, time::Instant};

use bytes::Bytes;
use nutmegwheel_events::Event;
use nutmegwheel_link::{Peer, Reply, Request, ServeFuture, Service, Topic};
use nutmegwheel_policy::{
    admission::{self, Completion},
    routing::LoadReport,
    work::WorkReport,
};
use nutmegwheel_spread::{Decision, FenceReason};
use nutmegwheel_types::{KeyHash, Priority};
use nutmegwheel_wire::{self as wire, CallHead, ReplyHead, topic};
use prost::Message as _;

use crate::{
    at_most_once,
    call::{self, Answer, Call},
    cold_start, failure_rate, members, notice, quarantine,
    refusal::{Outcome, Reason, Refusal},
    running::{DownstreamServer, Parent},
    served::Served,
    server_limit,
    shared::Shared,
};

/// Runs a call on the local backend server.
///
/// A call with a claim continues when its caller disconnects, so that a resend gets its answer.
pub(crate) async fn serve(shared: &Arc<Shared>, call: Call) -> Served {
    if call.claim.is_none() {
        return serve_locally(shared, &call).await;
    }
    let shared = shared.clone();
    let running = tokio::spawn(async move {
        let served = serve_locally(&shared, &call).await;
        if let Ok(answer) = &served.result {
            at_most_once::report_done(&shared, &call, answer);
        }
        served
    });
    running.await.unwrap_or_else(|e| {
        let detail = format!("the run broke off: {e}");
        Served::lost(Refusal::may_have_run(Reason::BackendLost, detail))
    })
}

async fn serve_locally(shared: &Arc<Shared>, call: &Call) -> Served {
    let _in_flight = shared.count_in_flight();
    let parent = Parent::open(call.context.clone(), call.key, call.deadline);
    let parent = Arc::new(parent);
    let started_at = Instant::now();
    let result = run(shared, call, &parent).await;
    if let Err(refusal) = &result {
        journal_refusal(shared, call, refusal, started_at);
    }
    let has_failed = result.as_ref().is_ok_and(Answer::is_failure);
    Served {
        result,
        unspent: Some(parent.with_chain(|chain| chain.available())),
        report: Some(shared.admission.report()),
        work: shared.work.report(&call.endpoint),
        downstream: parent.downstream(),
        has_failed_alone: has_failed && !parent.with_chain(|chain| chain.depends_on_calls()),
    }
}

fn journal_refusal(shared: &Shared, call: &Call, refusal: &Refusal, started_at: Instant) {
    let load = shared.admission.report();
    let level = load
        .shed_level
        .map(|level| (level.rank, level.root_hash >> 12));
    shared.journal.emit_rate_limited(
        Event::CallFailed,
        &[
            (
                "id",
                &shared.local_backend.request_id(call).unwrap_or_default(),
            ),
            ("root", &format_args!("{:032x}", call.context.root)),
            ("service", &call.service),
            ("endpoint", &call.endpoint),
            ("reason", &refusal.reason.word()),
            ("outcome", &refusal.outcome.word()),
            ("detail", &refusal.detail),
            ("rank", &call.context.priority.rank),
            ("depth", &call.context.depth),
            ("after_ms", &started_at.elapsed().as_millis()),
            (
                "left_ms",
                &call
                    .deadline
                    .saturating_duration_since(started_at)
                    .as_millis(),
            ),
            ("running", &load.running),
            ("waiting", &load.waiting),
            ("limit", &load.limit),
            ("shed_level", &format_args!("{level:?}")),
        ],
    );
}

async fn run(shared: &Arc<Shared>, call: &Call, parent: &Arc<Parent>) -> Result<Answer, Refusal> {
    check_start(shared, call)?;
    shared.local_backend.ready_for(&call.service)?;
    let endpoint = call.endpoint.clone();
    let req = admission::Request::from_context(&call.context, endpoint, call.deadline);
    let open_request = shared.work.enter(&call.endpoint);
    let permit = shared.admission.admit(req).await?;
    server_limit::wait_for_start(shared, call).await?;
    cold_start::wait_for_start(shared, call).await?;
    // The conditions may have changed while the request waited.
    check_start(shared, call)?;
    let server = shared.local_backend.ready_for(&call.service)?;
    let fingerprint = quarantine::fingerprint(call);
    let tracked = shared.quarantine.begin(Instant::now(), fingerprint)?;
    at_most_once::try_start(shared, call)?;
    let entry = shared
        .running
        .enter(parent.clone(), shared.local_backend.request_id(call));
    let started_at = Instant::now();
    open_request.start(started_at);
    let mut notice = None;
    let local_backend = &shared.local_backend;
    let result = local_backend
        .run(&server, call, entry.token, &mut notice)
        .await;
    if let Some(notice) = notice {
        notice::apply(shared, &server, notice, started_at.elapsed());
    }
    permit.complete(completion(&result));
    if result.as_ref().is_ok_and(|answer| !answer.is_failure()) {
        open_request.answered(shared, parent.time_waited(Instant::now()));
    }
    failure_rate::record(shared, call, parent, &result, started_at.elapsed());
    match &result {
        Ok(_) => quarantine::notify_nodes(shared, &tracked.record_completion()),
        // The request may still be running, and crash the backend server later.
        Err(refusal) if refusal.reason == Reason::BadAnswer => tracked.record_abort(),
        Err(refusal) if refusal.reason == Reason::BackendLost => {
            if refusal.outcome == Outcome::MayHaveRun {
                tracked.record_abort();
            }
            // A crash must be reported to the other nodes before the request is retried on one of
            // them, also if the caller disconnects meanwhile.
            let _ = tokio::spawn(quarantine::detect_crash(shared.clone(), server.address)).await;
        }
        Err(_) => {}
    }
    result
}

fn completion(result: &Result<Answer, Refusal>) -> Completion {
    match result {
        Ok(_) => Completion::Answered,
        Err(refusal) => match refusal.reason {
            Reason::Deadline => Completion::TimedOut,
            Reason::BackendShed => Completion::Refused,
            _ => Completion::Uninformative,
        },
    }
}

/// Checks that the deadline has not passed, and the key of the request as [`check_key`] does.
fn check_start(shared: &Shared, call: &Call) -> Result<(), Refusal> {
    if call.deadline <= Instant::now() {
        let detail = "the deadline passed before the request was begun";
        return Err(Refusal::not_run(Reason::Deadline, detail));
    }
    call.key.map_or(Ok(()), |key| check_key(shared, &key))
}

/// Checks that the key is not withdrawn and that the node is not fenced.
pub(crate) fn check_key(shared: &Shared, key: &KeyHash) -> Result<(), Refusal> {
    if shared.gossip.is_withdrawn(key) {
        let detail = "the key is withdrawn";
        return Err(Refusal::not_run(Reason::KeyWithdrawn, detail));
    }
    match shared.gossip.decide() {
        Decision::Serve => Ok(()),
        Decision::Fenced(why) => {
            let detail = match why {
                FenceReason::NoConfiguration => "this node has no configuration yet",
                FenceReason::NoMajority => {
                    "no majority of the data centre's seeds confirms this node"
                }
                FenceReason::CutOff => "the data centre is cut off from the control VMs",
            };
            Err(Refusal::not_run(Reason::NotReady, detail))
        }
    }
}

/// Handles the requests and messages that other processes of the fleet send over links.
pub(crate) struct NodeService {
    pub(crate) shared: Arc<Shared>,
}

impl Service for NodeService {
    fn serve(&self, _peer: Peer, req: Request, deadline: Option<Instant>) -> ServeFuture {
        let shared = self.shared.clone();
        Box::pin(async move {
            match req.topic {
                topic::CALL => answer_call(&shared, req, deadline).await,
                topic::DEPARTURES => reply(remember_departures(&shared, req.head)),
                topic::FENCE => reply(at_most_once::answer_fence(&shared, req.head)),
                topic => match &shared.seed_service {
                    Some(seed_service) => reply(seed_service.serve(topic, req.head)),
                    None => reply(Bytes::new()),
                },
            }
        })
    }

    fn notify(&self, peer: Peer, topic: Topic, body: Bytes) {
        match topic {
            topic::GOSSIP => {
                let events = self.shared.gossip.receive(&peer, &body);
                members::handle(&self.shared, events);
            }
            topic::SUSPICIONS => quarantine::receive(&self.shared, body),
            _ => {}
        }
    }
}

fn remember_departures(shared: &Shared, head: Bytes) -> Bytes {
    let reply = shared.departure_service.exchange(head);
    reply.map_or_else(Bytes::new, |reply| reply.answer.encode_to_vec().into())
}

async fn answer_call(shared: &Arc<Shared>, req: Request, deadline: Option<Instant>) -> Reply {
    let served = match read_call(shared, req, Instant::now()) {
        Ok(mut call) => {
            call.deadline = deadline.map_or(call.deadline, |at| at.min(call.deadline));
            serve(shared, call).await
        }
        Err(refusal) => Served::lost(refusal),
    };
    let mut head = ReplyHead {
        stamp: Some(shared.timestamp()),
        retry_tokens: served.unspent.unwrap_or(0),
        load: served
            .report
            .as_ref()
            .map(|report| report_to_wire(report, served.work)),
        below: served.downstream.iter().map(downstream_to_wire).collect(),
        failed_alone: served.has_failed_alone,
        ..ReplyHead::default()
    };
    let body = match served.result {
        Ok(answer) => {
            head.status = answer.status.as_u16().into();
            head.fields = call::fields_to_wire(&answer.fields);
            answer.body
        }
        Err(refusal) => {
            head.refusal = Some(refusal.to_wire());
            Bytes::new()
        }
    };
    Reply {
        head: head.encode_to_vec().into(),
        body,
    }
}

fn read_call(shared: &Shared, req: Request, now: Instant) -> Result<Call, Refusal> {
    let malformed = |e: &dyn std::fmt::Display| {
        Refusal::not_run(Reason::BadRequest, format!("the call is malformed: {e}"))
    };
    let head = CallHead::decode(req.head).map_err(|e| malformed(&e))?;
    if let Some(stamp) = head.stamp {
        shared.observe_timestamp(stamp);
    }
    if !shared.is_current_incarnation(head.target_incarnation) {
        let detail = "the call was meant for an earlier life of this node";
        return Err(Refusal::not_run(Reason::LinkLost, detail));
    }
    Call::from_wire(head, req.body, now).map_err(|e| malformed(&e))
}

fn report_to_wire(report: &LoadReport, work: Option<WorkReport>) -> wire::Load {
    let (work_us, service_us) = work.map_or((0, 0), WorkReport::to_micros);
    wire::Load {
        work_us,
        service_us,
        running: report.running,
        waiting: report.waiting,
        limit: report.limit,
        shed: report.shed_level.map(Into::into),
    }
}

/// Reads the load that a node reports. A malformed shed level counts as none.
pub(crate) fn report_from_wire(wire: &wire::Load) -> LoadReport {
    let shed_level = wire.shed.as_ref();
    LoadReport {
        running: wire.running,
        waiting: wire.waiting,
        limit: wire.limit,
        shed_level: shed_level.and_then(|level| Priority::try_from(level).ok()),
    }
}

fn downstream_to_wire(downstream: &DownstreamServer) -> wire::Below {
    wire::Below {
        service: downstream.service.to_string(),
        node: downstream.node.to_string(),
        shed: downstream.level.map(Into::into),
    }
}

fn reply(body: Bytes) -> Reply {
    Reply {
        head: Bytes::new(),
        body,
    }
}
