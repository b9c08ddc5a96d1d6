//! Simulation of claims on idempotency keys, with the decisions of `claims` and `roster` and the daemon's message
//! order.

use std::{collections::BTreeSet, sync::Arc};

use camphorwinch_core::{
    claims::{Claim, ClaimKey, ClaimResult, Claims, RecordedResponse, RequestState},
    dispatch::Outcome,
    member::AgentState,
    object::ServiceId,
    roster::{ClaimRole, MemberInfo, Roster},
    snapshot::Snapshot,
};

use super::{
    work::{CallerResult, Job, TransactionRef},
    world::{BALANCERS, Event, Mutant, SERVICE, World, name},
};

/// Retention time of a key.
pub(crate) const WINDOW_MS: u64 = 40_000;
const CALL_TIMEOUT_MS: u64 = 500;
const UPDATE_RETRY_DELAYS_MS: [u64; 8] = [0, 100, 500, 2_000, 5_000, 10_000, 20_000, 20_000];

/// Claim state of an agent.
#[derive(Debug, Default)]
pub(crate) struct Keys {
    claims: Claims,
    roster: Option<Roster>,
    /// Requests in progress.
    open: BTreeSet<u128>,
}

/// A claim in progress.
#[derive(Clone, Debug, Default)]
pub(crate) struct Claiming {
    all: bool,
    digest: Option<u64>,
    names: Vec<usize>,
    waiting: Vec<usize>,
    held: Vec<usize>,
    refusal: Option<ClaimResult>,
}

/// Final state of a claim, sent to its holders.
#[derive(Clone, Debug)]
pub(crate) enum ClaimUpdate {
    Settle(u128, RequestState),
    Release(u128),
}

/// A message between agents about a key.
#[derive(Clone, Debug)]
pub(crate) enum Call {
    Claim {
        at: usize,
        back: TransactionRef,
        key: ClaimKey,
        claim: Claim,
        digest: Option<u64>,
    },
    Reply {
        back: TransactionRef,
        from: usize,
        claimed: Option<ClaimResult>,
    },
    SendUpdate {
        from: usize,
        incarnation: u64,
        to: usize,
        key: ClaimKey,
        record: ClaimUpdate,
        tries: usize,
    },
    Update {
        at: usize,
        key: ClaimKey,
        record: ClaimUpdate,
    },
}

impl Call {
    /// Index of the process that handles the message.
    pub(crate) fn at(&self) -> usize {
        match self {
            Call::Claim { at, .. } | Call::Update { at, .. } => *at,
            Call::Reply { back, .. } => back.agent,
            Call::SendUpdate { from, .. } => *from,
        }
    }
}

fn answer(ran: u128) -> RequestState {
    let body = ran.to_be_bytes().to_vec();
    RequestState::Done(Arc::new(RecordedResponse { status: 200, headers: Vec::new(), body }))
}

fn index_of(name: &str) -> usize {
    name[1..].parse().expect("names end in the index")
}

fn seen(snapshot: &Snapshot) -> Vec<MemberInfo<'_>> {
    let mut seen = Vec::new();
    for agent in snapshot.agents.values().filter(|it| it.state.is_alive()) {
        let incarnation = snapshot.incarnations.get(&agent.name).copied().unwrap_or_default();
        let role =
            if agent.state == AgentState::Leaving { ClaimRole::Leaving } else { ClaimRole::Member };
        seen.push(MemberInfo { name: &agent.name, incarnation, zone: &agent.place.zone, role });
    }
    seen
}

/// Precedence of a result: the one with the most information on an earlier request wins.
fn precedence(it: &ClaimResult) -> u8 {
    match it {
        ClaimResult::Granted => 0,
        ClaimResult::Full => 1,
        ClaimResult::MembershipChanging => 2,
        ClaimResult::Uncertain => 3,
        ClaimResult::Mismatch => 4,
        ClaimResult::Conflict(_) => 5,
    }
}

impl World {
    pub(crate) fn claim_key(key: &str) -> ClaimKey {
        ClaimKey { service: ServiceId::new(SERVICE), key: key.to_owned() }
    }

    /// Updates the roster with the members that the agent sees.
    pub(crate) fn update_roster(&mut self, index: usize) {
        let now = self.now;
        let ignores = self.mutant(Mutant::IgnoresRestarts);
        let it = &mut self.processes[index];
        let mut seen = seen(&it.snapshot);
        if ignores {
            seen.iter_mut().for_each(|it| it.incarnation = 0);
        }
        match &mut it.work.keys.roster {
            Some(roster) => roster.update(now, WINDOW_MS, &seen),
            None => it.work.keys.roster = Some(Roster::new(&it.name, now, &seen)),
        }
    }

    pub(crate) fn claim(&mut self, at: TransactionRef) {
        let now = self.now;
        let keys = &self.processes[at.agent].work.keys;
        let stable = keys.roster.as_ref().is_some_and(|it| it.is_stable(now, WINDOW_MS));
        let request = self.transaction(at).req.request;
        self.processes[at.agent].work.keys.open.insert(request);
        self.claim_at(at, !stable);
    }

    /// Sends the claim to the arbiter, and to the others after it has granted the claim.
    fn claim_at(&mut self, at: TransactionRef, all: bool) {
        let key = Self::claim_key(self.transaction(at).req.key.as_deref().unwrap_or_default());
        let me = name(at.agent);
        let local_only = self.mutant(Mutant::ClaimsLocallyOnly);
        let Some(roster) = &self.processes[at.agent].work.keys.roster else {
            return self.refuse(at, CallerResult::NotRun);
        };
        let names = if all { roster.all_holders(&key) } else { roster.holders(&key, &me) };
        let mut names: Vec<usize> = names.into_iter().map(index_of).collect();
        let digest = all.then(|| roster.digest());
        if local_only {
            names = vec![at.agent];
        }
        let first: Vec<usize> = names.iter().copied().take(1).collect();
        let claiming = Claiming { all, digest, names, ..Claiming::default() };
        self.transaction(at).claiming = claiming;
        if first.is_empty() {
            return self.refuse(at, CallerResult::NotRun);
        }
        self.send_claim(at, &first);
    }

    fn send_claim(&mut self, at: TransactionRef, targets: &[usize]) {
        let transaction = self.transaction(at);
        transaction.claiming.waiting = targets.to_vec();
        let digest = transaction.claiming.digest;
        let request = transaction.req.request;
        let key = Self::claim_key(transaction.req.key.as_deref().unwrap_or_default());
        let agent = name(at.agent);
        let claim =
            Claim { request, digest: 1, agent, state: RequestState::Running, window_ms: WINDOW_MS };
        for &to in targets {
            let call =
                || Call::Claim { at: to, back: at, key: key.clone(), claim: claim.clone(), digest };
            self.job_after(Job::Call(call()));
            // A pooled link broke, and the message is sent again over another.
            if self.chance(0.05) {
                self.job_after(Job::Call(call()));
            }
            let timeout = Call::Reply { back: at, from: to, claimed: Some(ClaimResult::Full) };
            self.after(CALL_TIMEOUT_MS, Event::Job(Job::Call(timeout)));
        }
    }

    pub(crate) fn call(&mut self, call: Call) {
        match call {
            Call::Claim { at, back, key, claim, digest } => {
                self.handle_claim(at, back, &key, claim, digest)
            }
            Call::Reply { back, from, claimed } => self.handle_reply(back, from, claimed),
            Call::SendUpdate { from, incarnation, to, key, record, tries } => {
                self.send_update(from, incarnation, to, key, record, tries);
            }
            Call::Update { at, key, record } => self.apply_update(at, &key, record),
        }
    }

    fn handle_claim(
        &mut self,
        at: usize,
        back: TransactionRef,
        key: &ClaimKey,
        claim: Claim,
        digest: Option<u64>,
    ) {
        let (now, request) = (self.now, claim.request);
        let trusts = self.mutant(Mutant::TrustsRestartedMembers);
        let it = &mut self.processes[at];
        let mut claimed = None;
        if it.up {
            let keys = &mut it.work.keys;
            let roster = keys.roster.as_ref();
            let uncertain = roster.is_some_and(|it| it.is_uncertain(key, now, WINDOW_MS));
            let admitted = roster.is_some_and(|it| it.accepts_claim(digest, now, WINDOW_MS));
            let result = match keys.claims.claim(key, claim, now) {
                ClaimResult::Granted if uncertain && !trusts => ClaimResult::Uncertain,
                ClaimResult::Granted if !admitted && !trusts => ClaimResult::MembershipChanging,
                it => it,
            };
            if matches!(result, ClaimResult::Uncertain | ClaimResult::MembershipChanging) {
                keys.claims.release(key, request);
            }
            claimed = Some(result);
        }
        self.record_trace(&key.key, format!("{request:x} claims at {}: {claimed:?}", name(at)));
        if claimed.is_some() && self.chance(0.02) {
            return;
        }
        self.job_after(Job::Call(Call::Reply { back, from: at, claimed }));
    }

    /// Handles the reply of an agent; `None` if it refused the connection, `Full` also after a timeout.
    fn handle_reply(&mut self, at: TransactionRef, from: usize, claimed: Option<ClaimResult>) {
        if !self.is_current(at) || !self.transaction(at).is_new() {
            return;
        }
        let claiming = &mut self.transaction(at).claiming;
        let Some(position) = claiming.waiting.iter().position(|it| *it == from) else {
            return;
        };
        claiming.waiting.remove(position);
        let reply = claimed.unwrap_or(ClaimResult::Full);
        // An agent whose reply is lost may have recorded the claim.
        if matches!(reply, ClaimResult::Granted | ClaimResult::Full) {
            claiming.held.push(from);
        }
        let granted = reply == ClaimResult::Granted;
        if precedence(&reply) > claiming.refusal.as_ref().map_or(0, precedence) {
            claiming.refusal = Some(reply);
        }
        let arbiter = claiming.names.first() == Some(&from);
        if granted && arbiter && claiming.names.len() > 1 {
            let rest = claiming.names[1..].to_vec();
            return self.send_claim(at, &rest);
        }
        if claiming.waiting.is_empty() {
            self.conclude(at);
        }
    }

    fn conclude(&mut self, at: TransactionRef) {
        let claiming = self.transaction(at).claiming.clone();
        match claiming.refusal {
            None | Some(ClaimResult::Granted) => self.decide(at, None),
            Some(ClaimResult::MembershipChanging) if !claiming.all => {
                self.settle(at, None);
                self.claim_at(at, true);
            }
            Some(ClaimResult::Conflict(claim)) => {
                let result = match &claim.state {
                    RequestState::Done(answer) => {
                        let ran = answer.body.as_slice().try_into().expect("16 bytes");
                        CallerResult::Complete(u128::from_be_bytes(ran))
                    }
                    // The request may be running.
                    RequestState::Running if self.mutant(Mutant::ReportsUnknownAsNotRun) => {
                        CallerResult::NotRun
                    }
                    RequestState::Running | RequestState::Unknown => CallerResult::Unknown,
                };
                self.refuse(at, result);
            }
            Some(ClaimResult::Uncertain) => self.refuse(at, CallerResult::Unknown),
            Some(ClaimResult::Mismatch | ClaimResult::MembershipChanging | ClaimResult::Full) => {
                self.refuse(at, CallerResult::NotRun);
            }
        }
    }

    fn refuse(&mut self, at: TransactionRef, result: CallerResult) {
        self.settle(at, None);
        let req = self.end(at).req;
        self.job_after(Job::Reply { caller: req.caller, request: req.request, result });
    }

    /// Sends the final state of the request to the holders of the claim.
    pub(crate) fn settle_as(&mut self, at: TransactionRef, outcome: Outcome, ran: u128) {
        let begun = self.transaction(at).dispatch.may_have_started();
        let state = match outcome {
            Outcome::Response => Some(answer(ran)),
            Outcome::Unknown { .. } => Some(RequestState::Unknown),
            Outcome::Cancelled if begun => Some(RequestState::Unknown),
            Outcome::NotRun { .. } | Outcome::Cancelled => None,
        };
        self.settle(at, state);
    }

    /// `None` means that the request has certainly not run.
    fn settle(&mut self, at: TransactionRef, state: Option<RequestState>) {
        let transaction = self.transaction(at).clone();
        let Some(key) = transaction.req.key.as_deref().map(Self::claim_key) else {
            return;
        };
        let request = transaction.req.request;
        let record = match state {
            Some(state) => ClaimUpdate::Settle(request, state),
            None => ClaimUpdate::Release(request),
        };
        self.processes[at.agent].work.keys.open.remove(&request);
        for to in transaction.claiming.held {
            self.send_update(at.agent, at.incarnation, to, key.clone(), record.clone(), 0);
        }
    }

    fn send_update(
        &mut self,
        from: usize,
        incarnation: u64,
        to: usize,
        key: ClaimKey,
        record: ClaimUpdate,
        tries: usize,
    ) {
        let it = &self.processes[from];
        let known = it.snapshot.agents.get(&name(to)).is_some_and(|it| it.state.is_alive());
        if !it.up || it.incarnation != incarnation || !known || !self.processes[to].up {
            return;
        }
        let update = Call::Update { at: to, key: key.clone(), record: record.clone() };
        self.job_after(Job::Call(update));
        // No reply arrived, so the update is sent again although it may have been received.
        let reply_lost =
            self.processes[to].paused_until > self.now + CALL_TIMEOUT_MS || self.chance(0.05);
        if let Some(wait) = UPDATE_RETRY_DELAYS_MS.get(tries + 1).filter(|_| reply_lost) {
            let call = Call::SendUpdate { from, incarnation, to, key, record, tries: tries + 1 };
            self.after(CALL_TIMEOUT_MS + wait, Event::Job(Job::Call(call)));
        }
    }

    fn apply_update(&mut self, at: usize, key: &ClaimKey, record: ClaimUpdate) {
        let now = self.now;
        if !self.processes[at].up || at < BALANCERS {
            return;
        }
        self.record_trace(&key.key, format!("{} receives {record:?}", name(at)));
        let claims = &mut self.processes[at].work.keys.claims;
        match record {
            ClaimUpdate::Settle(request, state) => claims.settle(key, request, state, now),
            ClaimUpdate::Release(request) => claims.release(key, request),
        }
    }
}
