//! The requests on an agent's flows: which are in progress, which wait, when they go to the upstream.

use super::{
    super::{
        FlowKey, Head, Kind,
        effect::{Cause, Decision, Drop, Effect, drop, note},
        flow::after,
    },
    Agent,
    flows::{Flow, Side},
};

/// Time between a caller's first opening packet and the copies that follow it.
const COPY_AGES_MS: [u64; 3] = [0, 200, 600];
/// Time from an opening packet to the first request within which they belong together: a round trip to the caller, and
/// one packet lost on the way. A caller that opens a flow ahead of its use sends its request later.
const FIRST_REQUEST_MS: u64 = 300;
/// Time after which a request that its upstream has not answered no longer counts as taking a slot, if its timeout is not
/// known: the patience of callers of large requests.
const LOST_MS: u64 = 5_000;

/// The request of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Request {
    /// None is in progress.
    None,
    /// It waits at the agent since then.
    Waiting { since_ms: u64 },
    /// The upstream runs it since then.
    Running { since_ms: u64, at_once: bool },
    /// It is in progress, but takes no slot that could be counted on: it is still coming in, or got no answer for long.
    Uncounted,
}

/// How a request ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
    /// Its upstream began to answer.
    Answered,
    /// Its flow ended.
    BrokenOff,
}

/// Age of the caller's request when this copy of its opening packet arrives.
pub(super) fn age_ms(copies: u32) -> u64 {
    let last = COPY_AGES_MS.len() - 1;
    COPY_AGES_MS[(copies as usize).min(last)]
}

impl Agent {
    /// Takes a caller's packet of a flow that is or may be here.
    pub(super) fn deliver(
        &mut self,
        head: &Head,
        bytes: &[u8],
        now_ms: u64,
        out: &mut Vec<Effect>,
    ) {
        let Some(flow) = self.flows.get_mut(&head.key) else {
            return out.push(Effect::Deliver);
        };
        flow.ack = head.ack;
        let new = head.len > 0 && flow.caller_end.is_none_or(|it| after(head.end(), it));
        if new {
            flow.caller_end = Some(head.end());
        }
        match flow.request {
            Request::None if new && flow.counted => self.begin(head, bytes, now_ms, out),
            Request::Waiting { .. } => self.follow_waiting(head, bytes, new, out),
            Request::Running { .. } if new => {
                // More than one packet: the upstream begins once all have come, which can't be seen from outside.
                flow.request = Request::Uncounted;
                self.admission.end();
                out.push(Effect::Deliver);
            }
            _ => out.push(Effect::Deliver),
        }
        self.follow_end(head, Side::Caller, now_ms);
    }

    fn begin(&mut self, head: &Head, bytes: &[u8], now_ms: u64, out: &mut Vec<Effect>) {
        let Some(flow) = self.flows.get_mut(&head.key) else {
            return;
        };
        flow.requests += 1;
        let asked_ms = flow.asked_ms(now_ms);
        self.load.begin(now_ms);
        if flow.opened_seq.is_none() && flow.requests == 1 {
            // From before this agent started: the upstream may have answered already, and sees a copy.
            flow.request = Request::Uncounted;
            return out.push(Effect::Deliver);
        }
        if !self.admission.admits(self.presence.slots(), now_ms) {
            let until_ms = self.admission.wait(head.key, asked_ms, now_ms);
            if self.hold.push(head.key, bytes, until_ms) {
                flow.request = Request::Waiting { since_ms: now_ms };
                return self.shed_excess(now_ms, out);
            }
            self.admission.remove(head.key);
        }
        let at_once = self.admission.start(self.presence.slots());
        flow.request = Request::Running { since_ms: now_ms, at_once };
        out.push(Effect::Deliver);
    }

    /// Takes a packet of a flow whose request waits: what belongs to the request waits with it.
    fn follow_waiting(&mut self, head: &Head, bytes: &[u8], new: bool, out: &mut Vec<Effect>) {
        if head.kind == Kind::Reset {
            // The caller has given up: nobody would take the answer.
            self.hold.take(&head.key);
            self.admission.remove(head.key);
            return out.push(Effect::Deliver);
        }
        if !new && head.len == 0 && head.kind == Kind::Data {
            return out.push(Effect::Deliver);
        }
        let keeps = new || head.kind == Kind::Finish;
        if keeps && !self.hold.push(head.key, bytes, u64::MAX) {
            drop(head.key, Drop::HoldFull, out);
        }
    }

    /// The flow's request ends, if one is in progress.
    pub(super) fn end_request(&mut self, key: FlowKey, how: End, now_ms: u64) {
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        let request = std::mem::replace(&mut flow.request, Request::None);
        match request {
            Request::None => return,
            Request::Running { since_ms, at_once } if how == End::Answered => {
                let took_ms = at_once.then(|| now_ms.saturating_sub(since_ms));
                self.admission.answered(took_ms, self.presence.slots(), now_ms);
            }
            Request::Running { .. } => self.admission.end(),
            Request::Waiting { .. } => self.forget_waiting(key),
            Request::Uncounted => {}
        }
        self.load.end(now_ms);
    }

    fn forget_waiting(&mut self, key: FlowKey) {
        self.admission.remove(key);
        self.hold.take(&key);
    }

    /// Gives the upstream the requests that it has room for, and those that have waited for long enough.
    pub(super) fn admit(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        if self.admission.waiting() == 0 {
            return;
        }
        for key in self.hold.expired(now_ms) {
            self.release(key, Cause::Overdue, now_ms, out);
        }
        while let Some(key) = self.admission.next(self.presence.slots(), now_ms) {
            self.release(key, Cause::Slot, now_ms, out);
        }
    }

    fn shed_excess(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        if let Some(key) = self.admission.excess(self.presence.slots(), now_ms) {
            self.release(key, Cause::Backlog, now_ms, out);
        }
    }

    /// Gives the upstream all requests that wait.
    pub(super) fn admit_all(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        for key in self.hold.keys() {
            self.release(key, Cause::Stop, now_ms, out);
        }
    }

    fn release(&mut self, key: FlowKey, cause: Cause, now_ms: u64, out: &mut Vec<Effect>) {
        self.admission.remove(key);
        let packets = self.hold.take(&key);
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        let Request::Waiting { since_ms } = flow.request else {
            return;
        };
        if packets.len() > 1 {
            flow.request = Request::Uncounted;
        } else {
            let at_once = self.admission.start(self.presence.slots());
            flow.request = Request::Running { since_ms: now_ms, at_once };
        }
        out.extend(packets.into_iter().map(|packet| Effect::Release { packet }));
        let (waited_ms, waiting) = (now_ms.saturating_sub(since_ms), self.admission.waiting());
        note(key, Decision::Admitted { waited_ms, cause, waiting }, out);
    }

    /// Ends the requests on flows that began at `until_ms` or before, as nobody works on them any longer.
    pub(super) fn break_off_requests(&mut self, until_ms: u64, now_ms: u64) {
        let due = self.flows.iter().filter(|(_, it)| it.since_ms <= until_ms);
        let due: Vec<_> = due.map(|(&key, _)| key).collect();
        for key in due {
            self.end_request(key, End::BrokenOff, now_ms);
        }
    }

    /// Requests without an answer for longer than anybody waits for one no longer count as taking a slot.
    pub(super) fn give_up_lost(&mut self, now_ms: u64) {
        for (key, flow) in &mut self.flows {
            let Request::Running { since_ms, .. } = flow.request else {
                continue;
            };
            let patience_ms = self.admission.timeout_ms(key.service).unwrap_or(LOST_MS);
            if now_ms.saturating_sub(since_ms) <= patience_ms {
                continue;
            }
            flow.request = Request::Uncounted;
            self.admission.end();
        }
    }
}

impl Flow {
    /// When the caller first sent the request that begins now: with its opening packet, if that came just before.
    fn asked_ms(&self, now_ms: u64) -> u64 {
        let opening = self.requests <= 1 && now_ms.saturating_sub(self.since_ms) < FIRST_REQUEST_MS;
        if opening { self.since_ms.saturating_sub(self.age_ms) } else { now_ms }
    }
}
