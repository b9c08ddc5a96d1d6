//! Request tracking of an agent: detects requests on flows and buffers them until the upstream has a free slot.

use super::{
    super::{
        FlowKey, PacketHeader, PacketKind,
        admission::{AnsweredRequest, Turn},
        effect::{Decision, DropReason, Effect, ReleaseReason, note, note_drop},
        flow::seq_after,
    },
    Agent,
    flows::{Flow, Side},
};

/// Time after the opening packet within which a flow's first request counts as issued at the start of the opening
/// attempt. Allows for a round trip to the caller and one lost packet; requests on preconnected flows come later.
const FIRST_REQUEST_WINDOW_MS: u64 = 300;
/// Time after which an unanswered request no longer occupies a slot, if the service's timeout is not known: the timeout
/// of callers with large requests.
const DEFAULT_TIMEOUT_MS: u64 = 5_000;

/// State of a flow's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Request {
    /// No request is in progress.
    None,
    /// The request waits at the agent.
    Waiting { since_ms: u64 },
    /// The request was delivered to the upstream.
    Running { since_ms: u64, turn: Turn },
    /// The request is in progress but not counted against the slots: it is incomplete, timed out, or from before the
    /// agent's start.
    Uncounted,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
    /// The upstream began to answer, with a packet of this length.
    Answered { bytes: u32 },
    /// The flow or the upstream ended first.
    Cancelled,
}

impl Agent {
    /// Delivers a caller's packet of a known or probed flow, or buffers it while its request waits.
    pub(super) fn deliver(
        &mut self,
        head: &PacketHeader,
        bytes: &[u8],
        now_ms: u64,
        out: &mut Vec<Effect>,
    ) {
        let Some(flow) = self.flows.get_mut(&head.key) else {
            return out.push(Effect::Deliver);
        };
        flow.caller_ack = head.ack;
        let new =
            head.len > 0 && flow.caller_next_seq.is_none_or(|it| seq_after(head.end_seq(), it));
        if new {
            flow.caller_next_seq = Some(head.end_seq());
        }
        match flow.request {
            Request::None if new && flow.counted => self.begin_request(head, bytes, now_ms, out),
            Request::Waiting { .. } => self.deliver_to_waiting(head, bytes, new, out),
            Request::Running { .. } if new => {
                // The agent can't see when a request of several packets is complete and starts to occupy a slot.
                flow.request = Request::Uncounted;
                self.admission.end();
                out.push(Effect::Deliver);
            }
            _ => out.push(Effect::Deliver),
        }
        self.track_close(head, Side::Caller, now_ms);
    }

    fn begin_request(
        &mut self,
        head: &PacketHeader,
        bytes: &[u8],
        now_ms: u64,
        out: &mut Vec<Effect>,
    ) {
        let Some(flow) = self.flows.get_mut(&head.key) else {
            return;
        };
        flow.requests += 1;
        let issued_ms = flow.issued_ms(now_ms);
        self.load.begin_request(now_ms);
        if flow.opening_seq.is_none() && flow.requests == 1 {
            // A flow from before the agent's start: this may be a retransmission that the upstream has answered.
            flow.request = Request::Uncounted;
            return out.push(Effect::Deliver);
        }
        let service = head.key.service;
        let beyond_share = self.admission.is_beyond_share(service, now_ms) && self.route_shares;
        let slots = self.upstream_tracker.slots();
        let offered =
            self.admission.reservations.begin(&head.key, now_ms) && self.admission.has_room(slots);
        if !offered && !self.admission.admits(slots, now_ms) {
            let until_ms = self.admission.wait(head.key, issued_ms, beyond_share, now_ms);
            if self.buffer.push(head.key, bytes, until_ms) {
                flow.request = Request::Waiting { since_ms: now_ms };
                if beyond_share && let Some(report) = self.admission.share_report(service, now_ms) {
                    note(head.key, Decision::BeyondShare { service, report }, out);
                }
                return self.release_excess(now_ms, out);
            }
            self.admission.remove(head.key);
        }
        let turn = self.admission.start(slots);
        flow.request = Request::Running { since_ms: now_ms, turn };
        out.push(Effect::Deliver);
    }

    /// Processes a packet of a flow whose request waits: buffers it if it belongs to the request.
    fn deliver_to_waiting(
        &mut self,
        head: &PacketHeader,
        bytes: &[u8],
        new: bool,
        out: &mut Vec<Effect>,
    ) {
        if head.kind == PacketKind::Reset {
            // The caller has reset the flow and will not read the answer.
            self.buffer.take(&head.key);
            self.admission.remove(head.key);
            return out.push(Effect::Deliver);
        }
        if !new && head.len == 0 && head.kind == PacketKind::Data {
            return out.push(Effect::Deliver);
        }
        let belongs_to_request = new || head.kind == PacketKind::Finish;
        if belongs_to_request && !self.buffer.push(head.key, bytes, u64::MAX) {
            note_drop(head.key, DropReason::BufferFull, out);
        }
    }

    /// Ends the flow's request, if one is in progress.
    pub(super) fn end_request(&mut self, key: FlowKey, how: End, now_ms: u64) {
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        let request = std::mem::replace(&mut flow.request, Request::None);
        match request {
            Request::None => return,
            Request::Running { since_ms, turn } => match how {
                End::Answered { bytes } => {
                    let cold = self.upstream_tracker.capacity(since_ms).1;
                    let request = AnsweredRequest { since_ms, turn, cold, bytes };
                    self.admission.answered(request, self.upstream_tracker.slots(), now_ms);
                }
                End::Cancelled => self.admission.end(),
            },
            Request::Waiting { .. } => self.remove_waiting(key),
            Request::Uncounted => {}
        }
        self.load.end_request(now_ms);
    }

    fn remove_waiting(&mut self, key: FlowKey) {
        self.admission.remove(key);
        self.buffer.take(&key);
    }

    /// Gives the upstream's free slots to waiting requests and to reservations, in the order of their ranks, and
    /// releases the requests whose wait has expired.
    pub(super) fn admit(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        if self.admission.waiting() == 0 && self.admission.reservations.is_empty() {
            return;
        }
        for key in self.buffer.expired(now_ms) {
            self.release(key, ReleaseReason::Overdue, now_ms, out);
        }
        self.admission.reservations.expire(now_ms);
        let may_offer = self.may_offer(now_ms);
        let slots = self.upstream_tracker.slots();
        loop {
            let waiting = self.admission.next(slots, now_ms);
            let reserved = self.admission.next_reservation(slots, now_ms).filter(|_| may_offer);
            match (waiting, reserved) {
                (Some((rank, key)), reserved) if reserved.is_none_or(|it| rank <= it.0) => {
                    self.release(key, ReleaseReason::Slot, now_ms, out);
                }
                (_, Some((_, key))) => self.offer(key, now_ms, out),
                _ => return,
            }
        }
    }

    fn release_excess(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        if let Some(key) = self.admission.excess(self.upstream_tracker.slots(), now_ms) {
            self.release(key, ReleaseReason::Backlog, now_ms, out);
        }
    }

    /// Releases all waiting requests to the upstream.
    pub(super) fn admit_all(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        for key in self.buffer.keys() {
            self.release(key, ReleaseReason::Stop, now_ms, out);
        }
    }

    fn release(&mut self, key: FlowKey, reason: ReleaseReason, now_ms: u64, out: &mut Vec<Effect>) {
        self.admission.remove(key);
        let packets = self.buffer.take(&key);
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        let Request::Waiting { since_ms } = flow.request else {
            return;
        };
        if packets.len() > 1 {
            flow.request = Request::Uncounted;
        } else {
            let turn = self.admission.start(self.upstream_tracker.slots());
            flow.request = Request::Running { since_ms: now_ms, turn };
        }
        out.extend(packets.into_iter().map(|packet| Effect::Release { packet }));
        let (waited_ms, waiting) = (now_ms.saturating_sub(since_ms), self.admission.waiting());
        note(key, Decision::Admitted { waited_ms, reason, waiting }, out);
    }

    /// Cancels the requests on flows opened at `until_ms` or before: the upstream that held them has ended.
    pub(super) fn cancel_requests(&mut self, until_ms: u64, now_ms: u64) {
        let due = self.flows.iter().filter(|(_, it)| it.since_ms <= until_ms);
        let due: Vec<_> = due.map(|(&key, _)| key).collect();
        for key in due {
            self.end_request(key, End::Cancelled, now_ms);
        }
    }

    /// Frees the slots of requests that were not answered within their timeout.
    pub(super) fn expire_requests(&mut self, now_ms: u64) {
        for (key, flow) in &mut self.flows {
            let Request::Running { since_ms, .. } = flow.request else {
                continue;
            };
            let timeout_ms = self.admission.timeout_ms(key.service).unwrap_or(DEFAULT_TIMEOUT_MS);
            if now_ms.saturating_sub(since_ms) <= timeout_ms {
                continue;
            }
            flow.request = Request::Uncounted;
            self.admission.end();
        }
    }
}

impl Flow {
    /// Time at which the caller issued the request that begins now: the start of its opening attempt, if recent.
    fn issued_ms(&self, now_ms: u64) -> u64 {
        let opening =
            self.requests <= 1 && now_ms.saturating_sub(self.since_ms) < FIRST_REQUEST_WINDOW_MS;
        if opening { self.since_ms.saturating_sub(self.opening_age_ms) } else { now_ms }
    }
}
