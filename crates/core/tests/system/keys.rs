//! Claims on idempotency keys: who is asked, what is told, what is forgotten. Follows the order in which the daemon's
//! agents ask, over the decisions of `claims` and `roster`.

use std::{collections::BTreeSet, sync::Arc};

use camphorwinch_core::{
    claims::{Answer, Claim, ClaimKey, Claimed, Claims, State},
    dispatch::Outcome,
    member::AgentState,
    object::ServiceId,
    roster::{Part, Roster, Seen},
    snapshot::Snapshot,
};

use super::{
    work::{Back, Job, Told},
    world::{BALANCERS, Event, Mutant, SERVICE, World, name},
};

/// For how long a key is remembered.
pub(crate) const WINDOW_MS: u64 = 40_000;
const CALL_MS: u64 = 500;
const TELL_WAITS_MS: [u64; 8] = [0, 100, 500, 2_000, 5_000, 10_000, 20_000, 20_000];

/// What an agent remembers of keys.
#[derive(Debug, Default)]
pub(crate) struct Keys {
    claims: Claims,
    roster: Option<Roster>,
    /// Requests in hand.
    open: BTreeSet<u128>,
}

/// A claim that is being made.
#[derive(Clone, Debug, Default)]
pub(crate) struct Claiming {
    all: bool,
    digest: Option<u64>,
    names: Vec<usize>,
    waiting: Vec<usize>,
    held: Vec<usize>,
    refusal: Option<Claimed>,
}

/// What is told about a claim.
#[derive(Clone, Debug)]
pub(crate) enum Record {
    Settle(u128, State),
    Release(u128),
}

/// A call between agents about a key.
#[derive(Clone, Debug)]
pub(crate) enum Call {
    Ask { at: usize, back: Back, key: ClaimKey, claim: Claim, digest: Option<u64> },
    Word { back: Back, from: usize, claimed: Option<Claimed> },
    Tell { from: usize, incarnation: u64, to: usize, key: ClaimKey, record: Record, tries: usize },
    Told { at: usize, key: ClaimKey, record: Record },
}

impl Call {
    /// The process that is needed for it.
    pub(crate) fn at(&self) -> usize {
        match self {
            Call::Ask { at, .. } | Call::Told { at, .. } => *at,
            Call::Word { back, .. } => back.agent,
            Call::Tell { from, .. } => *from,
        }
    }
}

fn answer(ran: u128) -> State {
    let body = ran.to_be_bytes().to_vec();
    State::Done(Arc::new(Answer { status: 200, headers: Vec::new(), body }))
}

fn index_of(name: &str) -> usize {
    name[1..].parse().expect("names end in the index")
}

fn seen(snapshot: &Snapshot) -> Vec<Seen<'_>> {
    let mut seen = Vec::new();
    for agent in snapshot.agents.values().filter(|it| it.state.answers()) {
        let incarnation = snapshot.incarnations.get(&agent.name).copied().unwrap_or_default();
        let part = if agent.state == AgentState::Leaving { Part::Leaving } else { Part::Member };
        seen.push(Seen { name: &agent.name, incarnation, zone: &agent.place.zone, part });
    }
    seen
}

/// Which of two words counts: the one that says most of what became of an earlier request.
fn weight(it: &Claimed) -> u8 {
    match it {
        Claimed::Granted => 0,
        Claimed::Full => 1,
        Claimed::Unsettled => 2,
        Claimed::Doubtful => 3,
        Claimed::Mismatch => 4,
        Claimed::Taken(_) => 5,
    }
}

impl World {
    pub(crate) fn claim_key(key: &str) -> ClaimKey {
        ClaimKey { service: ServiceId::new(SERVICE), key: key.to_owned() }
    }

    /// Takes in the members that the agent sees now.
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

    pub(crate) fn claim(&mut self, at: Back) {
        let now = self.now;
        let keys = &self.processes[at.agent].work.keys;
        let settled = keys.roster.as_ref().is_some_and(|it| it.is_settled(now, WINDOW_MS));
        let request = self.course(at).ask.request;
        self.processes[at.agent].work.keys.open.insert(request);
        self.claim_at(at, !settled);
    }

    /// Asks the arbiter; the others follow once it has granted.
    fn claim_at(&mut self, at: Back, all: bool) {
        let key = Self::claim_key(self.course(at).ask.key.as_deref().unwrap_or_default());
        let me = name(at.agent);
        let alone = self.mutant(Mutant::AsksNobody);
        let Some(roster) = &self.processes[at.agent].work.keys.roster else {
            return self.refuse(at, Told::NotRun);
        };
        let names = if all { roster.all_holders(&key) } else { roster.holders(&key, &me) };
        let mut names: Vec<usize> = names.into_iter().map(index_of).collect();
        let digest = all.then(|| roster.digest());
        if alone {
            names = vec![at.agent];
        }
        let first: Vec<usize> = names.iter().copied().take(1).collect();
        let claiming = Claiming { all, digest, names, ..Claiming::default() };
        self.course(at).claiming = claiming;
        if first.is_empty() {
            return self.refuse(at, Told::NotRun);
        }
        self.ask_for(at, &first);
    }

    fn ask_for(&mut self, at: Back, whom: &[usize]) {
        let course = self.course(at);
        course.claiming.waiting = whom.to_vec();
        let digest = course.claiming.digest;
        let request = course.ask.request;
        let key = Self::claim_key(course.ask.key.as_deref().unwrap_or_default());
        let by = name(at.agent);
        let claim = Claim { request, digest: 1, by, state: State::Running, window: WINDOW_MS };
        for &to in whom {
            let call =
                || Call::Ask { at: to, back: at, key: key.clone(), claim: claim.clone(), digest };
            self.job_after(Job::Call(call()));
            // A kept link that broke: the call is sent again over another.
            if self.chance(0.05) {
                self.job_after(Job::Call(call()));
            }
            let late = Call::Word { back: at, from: to, claimed: Some(Claimed::Full) };
            self.after(CALL_MS, Event::Job(Job::Call(late)));
        }
    }

    pub(crate) fn call(&mut self, call: Call) {
        match call {
            Call::Ask { at, back, key, claim, digest } => self.asked(at, back, &key, claim, digest),
            Call::Word { back, from, claimed } => self.word(back, from, claimed),
            Call::Tell { from, incarnation, to, key, record, tries } => {
                self.tell(from, incarnation, to, key, record, tries);
            }
            Call::Told { at, key, record } => self.told(at, &key, record),
        }
    }

    fn asked(&mut self, at: usize, back: Back, key: &ClaimKey, claim: Claim, digest: Option<u64>) {
        let (now, request) = (self.now, claim.request);
        let trusts = self.mutant(Mutant::TrustsForgetters);
        let it = &mut self.processes[at];
        let mut claimed = None;
        if it.up {
            let keys = &mut it.work.keys;
            let roster = keys.roster.as_ref();
            let doubtful = roster.is_some_and(|it| it.is_doubtful(key, now, WINDOW_MS));
            let admitted = roster.is_some_and(|it| it.admits(digest, now, WINDOW_MS));
            let said = match keys.claims.claim(key, claim, now) {
                Claimed::Granted if doubtful && !trusts => Claimed::Doubtful,
                Claimed::Granted if !admitted && !trusts => Claimed::Unsettled,
                it => it,
            };
            if matches!(said, Claimed::Doubtful | Claimed::Unsettled) {
                keys.claims.release(key, request);
            }
            claimed = Some(said);
        }
        self.note(&key.key, format!("{request:x} asks {}: {claimed:?}", name(at)));
        if claimed.is_some() && self.chance(0.02) {
            return;
        }
        self.job_after(Job::Call(Call::Word { back, from: at, claimed }));
    }

    /// An agent's word; none if it refused the connection, and `Full` also if it can't be asked.
    fn word(&mut self, at: Back, from: usize, claimed: Option<Claimed>) {
        if !self.is_there(at) || !self.course(at).is_new() {
            return;
        }
        let claiming = &mut self.course(at).claiming;
        let Some(position) = claiming.waiting.iter().position(|it| *it == from) else {
            return;
        };
        claiming.waiting.remove(position);
        let word = claimed.unwrap_or(Claimed::Full);
        // One whose word is lost may have recorded the claim all the same.
        if matches!(word, Claimed::Granted | Claimed::Full) {
            claiming.held.push(from);
        }
        let granted = word == Claimed::Granted;
        if weight(&word) > claiming.refusal.as_ref().map_or(0, weight) {
            claiming.refusal = Some(word);
        }
        let arbiter = claiming.names.first() == Some(&from);
        if granted && arbiter && claiming.names.len() > 1 {
            let rest = claiming.names[1..].to_vec();
            return self.ask_for(at, &rest);
        }
        if claiming.waiting.is_empty() {
            self.conclude(at);
        }
    }

    fn conclude(&mut self, at: Back) {
        let claiming = self.course(at).claiming.clone();
        match claiming.refusal {
            None | Some(Claimed::Granted) => self.decide(at, None),
            Some(Claimed::Unsettled) if !claiming.all => {
                self.settle(at, None);
                self.claim_at(at, true);
            }
            Some(Claimed::Taken(claim)) => {
                let told = match &claim.state {
                    State::Done(answer) => {
                        let ran = answer.body.as_slice().try_into().expect("16 bytes");
                        Told::Whole(u128::from_be_bytes(ran))
                    }
                    // It may be running.
                    State::Running if self.mutant(Mutant::DeniesRuns) => Told::NotRun,
                    State::Running | State::Unknown => Told::Unknown,
                };
                self.refuse(at, told);
            }
            Some(Claimed::Doubtful) => self.refuse(at, Told::Unknown),
            Some(Claimed::Mismatch | Claimed::Unsettled | Claimed::Full) => {
                self.refuse(at, Told::NotRun);
            }
        }
    }

    fn refuse(&mut self, at: Back, told: Told) {
        self.settle(at, None);
        let ask = self.end(at).ask;
        self.job_after(Job::Reply { caller: ask.caller, request: ask.request, told });
    }

    /// Tells those that recorded the claim what came of the request.
    pub(crate) fn settle_as(&mut self, at: Back, outcome: Outcome, ran: u128) {
        let begun = self.course(at).dispatch.may_have_begun();
        let state = match outcome {
            Outcome::Relay => Some(answer(ran)),
            Outcome::Unknown { .. } => Some(State::Unknown),
            Outcome::Cancelled if begun => Some(State::Unknown),
            Outcome::NotRun { .. } | Outcome::Cancelled => None,
        };
        self.settle(at, state);
    }

    /// None as state: it was proven not to have run.
    fn settle(&mut self, at: Back, state: Option<State>) {
        let course = self.course(at).clone();
        let Some(key) = course.ask.key.as_deref().map(Self::claim_key) else {
            return;
        };
        let request = course.ask.request;
        let record = match state {
            Some(state) => Record::Settle(request, state),
            None => Record::Release(request),
        };
        self.processes[at.agent].work.keys.open.remove(&request);
        for to in course.claiming.held {
            self.tell(at.agent, at.incarnation, to, key.clone(), record.clone(), 0);
        }
    }

    fn tell(
        &mut self,
        from: usize,
        incarnation: u64,
        to: usize,
        key: ClaimKey,
        record: Record,
        tries: usize,
    ) {
        let it = &self.processes[from];
        let known = it.snapshot.agents.get(&name(to)).is_some_and(|it| it.state.answers());
        if !it.up || it.incarnation != incarnation || !known || !self.processes[to].up {
            return;
        }
        let told = Call::Told { at: to, key: key.clone(), record: record.clone() };
        self.job_after(Job::Call(told));
        // No word came back: it is told again, though it may have heard.
        let silent = self.processes[to].frozen_until > self.now + CALL_MS || self.chance(0.05);
        if let Some(wait) = TELL_WAITS_MS.get(tries + 1).filter(|_| silent) {
            let call = Call::Tell { from, incarnation, to, key, record, tries: tries + 1 };
            self.after(CALL_MS + wait, Event::Job(Job::Call(call)));
        }
    }

    fn told(&mut self, at: usize, key: &ClaimKey, record: Record) {
        let now = self.now;
        if !self.processes[at].up || at < BALANCERS {
            return;
        }
        self.note(&key.key, format!("{} is told {record:?}", name(at)));
        let claims = &mut self.processes[at].work.keys.claims;
        match record {
            Record::Settle(request, state) => claims.settle(key, request, state, now),
            Record::Release(request) => claims.release(key, request),
        }
    }
}
