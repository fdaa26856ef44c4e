use std::time::Instant;

use super::{Gossip, Outgoing};
use crate::probe::RelayTarget;
use crate::{Body, LinkAddress, Message};

/// Dispatch of received messages.
impl Gossip {
    /// Handles a message from a peer and returns the messages to send.
    ///
    /// `from` is the address on which the peer accepts links, as given in the handshake of the
    /// link.
    pub fn receive(&mut self, now: Instant, from: LinkAddress, message: Message) -> Vec<Outgoing> {
        if self.is_stopped {
            return Vec::new();
        }
        self.budget.refill(now);
        self.handle(now, from, message);
        self.flush(now)
    }

    pub(super) fn handle(&mut self, now: Instant, from: LinkAddress, message: Message) {
        self.observe_version(now, from, message.version);
        match message.body {
            Body::Ping { sequence, records } => {
                self.apply_updates(now, from, &records);
                let records = self.piggyback();
                self.send(from, Body::Ack { sequence, records });
            }
            Body::Ack { sequence, records } => {
                self.apply_updates(now, from, &records);
                self.receive_ack(sequence);
            }
            Body::ProbeRequest { sequence, target } => {
                let requester = RelayTarget { to: from, sequence };
                let sequence = self.prober.relay(now, requester);
                let records = Vec::new();
                self.send(target, Body::Ping { sequence, records });
            }
            Body::Updates { records, withdrawn } => {
                self.timers.is_joined |= records.iter().any(|r| r.link == from);
                self.apply_updates(now, from, &records);
                self.add_withdrawn(&withdrawn, Some(from));
            }
            Body::Join(record) => self.receive_join(now, from, &record),
            Body::Digest(digest) => self.receive_digest(from, &digest),
            Body::Sync { buckets, hashes } => self.receive_sync(from, &buckets, &hashes),
            Body::RecordRequest(hashes) => self.answer_record_request(from, &hashes),
            Body::Records(records) => self.receive_records(now, from, &records),
            body => self.handle_state_message(now, from, body),
        }
    }

    /// Handles the messages about configuration, withdrawn keys and leases.
    fn handle_state_message(&mut self, now: Instant, from: LinkAddress, body: Body) {
        match body {
            Body::Renew(renew) => self.answer_renew(now, from, renew),
            Body::Confirmation(confirmation) => self.receive_confirmation(now, from, &confirmation),
            Body::Pull(pull) => self.answer_pull(from, pull),
            Body::Withdrawn(part) => self.receive_withdrawn(from, &part),
            Body::Withdraw(request) => self.receive_withdraw(now, from, &request),
            Body::WithdrawAck(ack) => self.receive_withdraw_ack(now, from, &ack),
            Body::Fetch {
                from_version,
                offset,
            } => self.answer_fetch(from, from_version, offset),
            Body::Configuration(part) => self.receive_part(now, from, &part),
            _ => {}
        }
    }

    fn receive_ack(&mut self, sequence: u64) {
        if let Some(requester) = self.prober.acknowledge(sequence) {
            let sequence = requester.sequence;
            let records = Vec::new();
            self.send(requester.to, Body::Ack { sequence, records });
        }
    }
}
