//! Claims on idempotency keys, as the agent of a flow makes them and as the agents that are asked record them.

use std::{hash::Hasher, io, net::SocketAddr, sync::Arc, time::Duration};

use camphorwinch_core::{
    claims::{Answer, Claim, ClaimKey, Claimed, MAX_KEY, RequestId, State},
    object::ServiceId,
    roster::Lost,
};
use camphorwinch_wire::handover::{
    ClaimCall, ClaimPurpose, ClaimRecord, ClaimReply, ClaimVerdict, HandoverError, Kind, Loss,
    request_id,
};
use futures::{StreamExt, future, stream};
use http::{HeaderName, Method};
use siphasher::sip::SipHasher13;
use tokio::time;

use super::{
    node::Node,
    request::{Ask, Course},
};
use crate::clock;

const KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Longest wait for another agent's word on a claim.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(500);
/// Claims that are handed over at once when the agent leaves.
const HANDED_AT_ONCE: usize = 16;
/// Waits between attempts to claim a key that another request has.
const REPEAT_WAITS_MS: [u64; 8] = [0, 10, 20, 40, 80, 150, 300, 400];
/// Waits before what came of a claim is sent again to an agent that did not take it.
const SETTLE_WAITS_MS: [u64; 8] = [0, 100, 500, 2_000, 5_000, 10_000, 20_000, 20_000];

/// What a request under an idempotency key may do.
pub(crate) enum Verdict {
    /// Run, and tell those that recorded the claim what came of it.
    Run(Held),
    /// Nothing: an earlier request under the key had this answer.
    Repeat(Arc<Answer>),
    /// Nothing: an earlier request under the key may be running.
    Running,
    /// Nothing: an earlier request under the key may have run, and its answer is lost.
    Unknown,
    /// Nothing: the key was used for something else.
    Mismatch,
    /// Nothing: the key can't be remembered.
    BadKey,
    /// Nothing: an agent that must record the claim could not be asked.
    Unavailable,
}

/// A claim that is recorded by all who must.
pub(crate) struct Held {
    key: ClaimKey,
    request: RequestId,
    owners: Vec<String>,
    open: Open,
}

/// An idempotency key that can't be remembered: empty, longer than [`MAX_KEY`] or with other than visible ASCII.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BadKey;

/// The key under which a request must run once. Methods that are idempotent need none.
pub(crate) fn key(ask: &Ask, service: ServiceId) -> Result<Option<ClaimKey>, BadKey> {
    let keyed = !ask.is_idempotent() && ask.method != Method::CONNECT;
    let Some(value) = ask.headers.get(KEY).filter(|_| keyed) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| BadKey)?;
    if !(1..=MAX_KEY).contains(&text.len()) {
        return Err(BadKey);
    }
    Ok(Some(ClaimKey { service, key: text.to_owned() }))
}

/// What an agent that was asked said.
enum Word {
    Granted,
    Taken(Claim),
    Mismatch,
    /// An earlier claim may have been forgotten.
    Doubtful,
    /// All members must be asked.
    Unsettled,
    /// It can't be asked, or has no room.
    Unavailable,
}

/// Claims `key` for a request. While another request has the key, it waits for what comes of that one, but not for long.
pub(crate) async fn claim(course: &Course, key: ClaimKey) -> Verdict {
    let mut verdict = Verdict::Running;
    for wait in REPEAT_WAITS_MS {
        time::sleep(Duration::from_millis(wait)).await;
        verdict = claim_now(course, key.clone()).await;
        let late = course.ask.deadline.is_some_and(|it| clock::now_ms() >= it);
        if late || !matches!(verdict, Verdict::Running) {
            break;
        }
    }
    verdict
}

async fn claim_now(course: &Course, key: ClaimKey) -> Verdict {
    let node = &course.node;
    let claim = Claim {
        request: course.ask.id,
        digest: digest(&course.ask),
        by: node.settings.name.clone(),
        state: State::Running,
        window: u64::from(course.service.entry().spec.key_window_s) * 1_000,
    };
    let settled = node.rosters.lock().is_settled(&key, clock::now_ms());
    if settled {
        let (held, verdict) = claim_at(node, &key, &claim, false).await;
        match verdict {
            Some(Word::Unsettled) => held.settle(node, None),
            other => return conclude(node, held, other).await,
        }
    }
    let (held, verdict) = claim_at(node, &key, &claim, true).await;
    conclude(node, held, verdict).await
}

/// Asks those that must record a claim; returns what refused it, if something did.
async fn claim_at(
    node: &Arc<Node>,
    key: &ClaimKey,
    claim: &Claim,
    all: bool,
) -> (Held, Option<Word>) {
    let (names, members) = {
        let rosters = node.rosters.lock();
        (rosters.ask(key, all), all.then(|| rosters.digest(key)))
    };
    let open = Open::new(node, claim.request);
    let mut held = Held { key: key.clone(), request: claim.request, owners: Vec::new(), open };
    let mut refusal = names.is_empty().then_some(Word::Unavailable);
    // The arbiter alone decides between two requests that come at once; the others then agree.
    let mut words = Vec::new();
    if let Some((arbiter, rest)) = names.split_first() {
        let first = call(node, arbiter, key, claim, members).await;
        let granted = matches!(first, Word::Granted);
        words.push((arbiter.clone(), first));
        if granted {
            let said = rest.iter().map(|it| call(node, it, key, claim, members));
            words.extend(rest.iter().cloned().zip(future::join_all(said).await));
        }
    }
    for (name, word) in words {
        // One whose word is lost may have recorded the claim all the same.
        if matches!(word, Word::Granted | Word::Unavailable) {
            held.owners.push(name);
        }
        if word.weight() > refusal.as_ref().map_or(0, Word::weight) {
            refusal = Some(word);
        }
    }
    (held, refusal)
}

async fn conclude(node: &Arc<Node>, held: Held, refusal: Option<Word>) -> Verdict {
    let verdict = match refusal {
        None | Some(Word::Granted) => return Verdict::Run(held),
        Some(Word::Taken(claim)) => taken(node, claim).await,
        Some(Word::Mismatch) => Verdict::Mismatch,
        Some(Word::Doubtful) => Verdict::Unknown,
        Some(Word::Unsettled | Word::Unavailable) => Verdict::Unavailable,
    };
    held.settle(node, None);
    verdict
}

impl Word {
    /// Which of several words counts: the one that says most of what became of an earlier request.
    fn weight(&self) -> u8 {
        match self {
            Word::Granted => 0,
            Word::Unavailable => 1,
            Word::Unsettled => 2,
            Word::Doubtful => 3,
            Word::Mismatch => 4,
            Word::Taken(_) => 5,
        }
    }
}

async fn taken(node: &Arc<Node>, claim: Claim) -> Verdict {
    match &claim.state {
        State::Done(answer) => Verdict::Repeat(Arc::clone(answer)),
        State::Unknown => Verdict::Unknown,
        State::Running if is_open(node, &claim).await => Verdict::Running,
        State::Running => Verdict::Unknown,
    }
}

/// Whether the agent that claimed still has the request. One that died, or was started anew, has not.
async fn is_open(node: &Arc<Node>, claim: &Claim) -> bool {
    if claim.by == node.settings.name {
        return node.open.lock().contains(&claim.request);
    }
    let lives = node.snapshot().agents.get(&claim.by).is_some_and(|it| it.state.answers());
    if !lives {
        return false;
    }
    let key = ClaimKey { service: ServiceId(0), key: "-".to_owned() };
    let record = ClaimRecord::new(&key, claim);
    let purpose = ClaimPurpose::Probe as i32;
    let call = ClaimCall { record: Some(record), purpose, ..ClaimCall::default() };
    match time::timeout(CLAIM_TIMEOUT, ask(node, &claim.by, call)).await {
        Ok(Ok(reply)) => reply.verdict == ClaimVerdict::Granted as i32,
        Ok(Err(e)) => !is_refused(&e),
        Err(_) => true,
    }
}

/// A keyed request that this agent has in hand, until its owners were told what came of it.
struct Open {
    node: Arc<Node>,
    request: RequestId,
}

impl Open {
    fn new(node: &Arc<Node>, request: RequestId) -> Open {
        node.open.lock().insert(request);
        Open { node: Arc::clone(node), request }
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.node.open.lock().remove(&self.request);
    }
}

impl Held {
    /// Tells those that recorded the claim what came of the request; none if it was proven not to have run.
    pub(crate) fn settle(self, node: &Arc<Node>, state: Option<State>) {
        let node = Arc::clone(node);
        let tasks = node.tasks.clone();
        tasks.spawn(async move {
            let Held { key, request, owners, open } = self;
            let claim = Claim {
                request,
                digest: 0,
                by: node.settings.name.clone(),
                state: state.clone().unwrap_or(State::Running),
                window: 0,
            };
            let record = ClaimRecord::new(&key, &claim);
            let record = if state.is_none() { record.with_release() } else { record };
            let told = owners.iter().map(|it| tell(&node, it, ClaimPurpose::Settle, &record));
            future::join_all(told).await;
            drop(open);
        });
    }
}

async fn call(
    node: &Arc<Node>,
    owner: &str,
    key: &ClaimKey,
    claim: &Claim,
    members: Option<u64>,
) -> Word {
    if owner == node.settings.name {
        return word(record(node, key, claim.clone(), members));
    }
    let record = ClaimRecord::new(key, claim);
    let claim_call = ClaimCall {
        record: Some(record),
        purpose: ClaimPurpose::Claim as i32,
        members,
        losses: Vec::new(),
    };
    let asked = ask(node, owner, claim_call);
    match time::timeout(CLAIM_TIMEOUT, asked).await {
        Ok(Ok(reply)) => read(&reply).unwrap_or(Word::Unavailable),
        Ok(Err(_)) | Err(_) => Word::Unavailable,
    }
}

/// A process that refuses connections is dead, and its memory with it; one that is silent may hold claims.
fn is_refused(e: &anyhow::Error) -> bool {
    let refused = |it: &io::Error| it.kind() == io::ErrorKind::ConnectionRefused;
    e.chain().any(|it| it.downcast_ref::<io::Error>().is_some_and(refused))
}

/// Records a claim as one that is asked.
fn record(node: &Node, key: &ClaimKey, claim: Claim, members: Option<u64>) -> Claimed {
    let now = clock::now_ms();
    let (doubtful, admitted) = {
        let rosters = node.rosters.lock();
        (rosters.is_doubtful(key, now), rosters.admits(key, members, now))
    };
    let mut claims = node.claims.lock();
    match claims.claim(key, claim.clone(), now) {
        Claimed::Granted if doubtful => {
            claims.release(key, claim.request);
            Claimed::Doubtful
        }
        Claimed::Granted if !admitted => {
            claims.release(key, claim.request);
            Claimed::Unsettled
        }
        other => other,
    }
}

fn word(claimed: Claimed) -> Word {
    match claimed {
        Claimed::Granted => Word::Granted,
        Claimed::Doubtful => Word::Doubtful,
        Claimed::Unsettled => Word::Unsettled,
        Claimed::Taken(claim) => Word::Taken(claim),
        Claimed::Mismatch => Word::Mismatch,
        Claimed::Full => Word::Unavailable,
    }
}

fn read(reply: &ClaimReply) -> Result<Word, HandoverError> {
    match ClaimVerdict::try_from(reply.verdict) {
        Ok(ClaimVerdict::Granted) => Ok(Word::Granted),
        Ok(ClaimVerdict::Mismatch) => Ok(Word::Mismatch),
        Ok(ClaimVerdict::Doubtful) => Ok(Word::Doubtful),
        Ok(ClaimVerdict::Unsettled) => Ok(Word::Unsettled),
        Ok(ClaimVerdict::Full) | Err(_) => Ok(Word::Unavailable),
        Ok(ClaimVerdict::Taken) => {
            let holder = reply.holder.as_ref().ok_or(HandoverError("holder of a claim"))?;
            Ok(holder.claim()?.map_or(Word::Unavailable, Word::Taken))
        }
    }
}

/// Sends a record until the other agent has taken it, or it is clear that it won't.
pub(crate) async fn tell(
    node: &Arc<Node>,
    owner: &str,
    purpose: ClaimPurpose,
    record: &ClaimRecord,
) {
    if owner == node.settings.name {
        let call = ClaimCall {
            record: Some(record.clone()),
            purpose: purpose as i32,
            ..ClaimCall::default()
        };
        // A record of our own is well-formed.
        let _ = answer(node, &call);
        return;
    }
    for wait in SETTLE_WAITS_MS {
        time::sleep(Duration::from_millis(wait)).await;
        let lives = node.snapshot().agents.get(owner).is_some_and(|it| it.state.answers());
        if !lives {
            return;
        }
        let call = ClaimCall {
            record: Some(record.clone()),
            purpose: purpose as i32,
            ..ClaimCall::default()
        };
        let asked = ask(node, owner, call);
        match time::timeout(CLAIM_TIMEOUT, asked).await {
            Ok(Ok(_)) => return,
            Ok(Err(e)) if is_refused(&e) => return,
            Ok(Err(e)) => tracing::debug!("tell {owner} of a claim: {e:#}"),
            Err(_) => tracing::debug!("tell {owner} of a claim: no answer in time"),
        }
    }
}

async fn ask(node: &Node, owner: &str, call: ClaimCall) -> anyhow::Result<ClaimReply> {
    if let Some(mut link) = node.links.kept(owner) {
        if link.sink.send(Kind::Claim(call.clone())).await.is_ok() {
            if let Ok(Kind::Reply(reply)) = link.recv().await {
                node.links.keep(link);
                return Ok(reply);
            }
        }
    }
    let mut link = node.links.open(owner, address(node, owner)?).await?;
    link.sink.send(Kind::Claim(call)).await?;
    let Kind::Reply(reply) = link.recv().await? else {
        anyhow::bail!("{owner} answered a claim with something else");
    };
    node.links.keep(link);
    Ok(reply)
}

fn address(node: &Node, owner: &str) -> anyhow::Result<SocketAddr> {
    let snapshot = node.snapshot();
    let Some(agent) = snapshot.agents.get(owner) else {
        anyhow::bail!("it has gone");
    };
    Ok(agent.control)
}

/// Answers a claim message as the agent that is asked.
pub(crate) fn answer(node: &Node, call: &ClaimCall) -> Result<ClaimReply, HandoverError> {
    let purpose = ClaimPurpose::try_from(call.purpose).map_err(|_| HandoverError("purpose"))?;
    if purpose == ClaimPurpose::Losses {
        take_losses(node, &call.losses);
        return Ok(ClaimReply { verdict: ClaimVerdict::Granted as i32, holder: None });
    }
    let record = call.record.as_ref().ok_or(HandoverError("claim"))?;
    let key = record.claim_key();
    if !(1..=MAX_KEY).contains(&key.key.len()) {
        return Err(HandoverError("idempotency key"));
    }
    let now = clock::now_ms();
    let claimed = match (purpose, record.claim()?) {
        (ClaimPurpose::Claim, Some(claim)) => self::record(node, &key, claim, call.members),
        (ClaimPurpose::Settle, Some(claim)) => {
            node.claims.lock().settle(&key, claim.request, claim.state, now);
            Claimed::Granted
        }
        (ClaimPurpose::Settle, None) => {
            node.claims.lock().release(&key, request_id(&record.request)?);
            Claimed::Granted
        }
        (ClaimPurpose::Adopt, Some(claim)) => {
            node.claims.lock().adopt(&key, claim, now);
            Claimed::Granted
        }
        (ClaimPurpose::Probe, _) => {
            let open = node.open.lock().contains(&request_id(&record.request)?);
            if open { Claimed::Granted } else { Claimed::Mismatch }
        }
        (ClaimPurpose::Claim | ClaimPurpose::Adopt, None) | (ClaimPurpose::Losses, _) => {
            return Err(HandoverError("state of a claim"));
        }
    };
    let (verdict, holder) = match claimed {
        Claimed::Granted => (ClaimVerdict::Granted, None),
        Claimed::Taken(claim) => (ClaimVerdict::Taken, Some(ClaimRecord::new(&key, &claim))),
        Claimed::Mismatch => (ClaimVerdict::Mismatch, None),
        Claimed::Doubtful => (ClaimVerdict::Doubtful, None),
        Claimed::Unsettled => (ClaimVerdict::Unsettled, None),
        Claimed::Full => (ClaimVerdict::Full, None),
    };
    Ok(ClaimReply { verdict: verdict as i32, holder })
}

/// Gives the claims of an agent that leaves to those that would record them now, waiting at most `limit`.
pub(crate) async fn hand_over(node: &Arc<Node>, limit: Duration) {
    let mut told = Vec::new();
    for (key, claim) in node.claims.lock().close() {
        let heirs = node.rosters.lock().heirs(&key);
        told.push((heirs, ClaimRecord::new(&key, &claim)));
    }
    let count = told.len();
    let losses = node.rosters.lock().losses();
    let tell_all =
        stream::iter(told).for_each_concurrent(HANDED_AT_ONCE, |(names, record)| async move {
            let told = names.iter().map(|it| tell(node, it, ClaimPurpose::Adopt, &record));
            future::join_all(told).await;
        });
    let tell_losses = future::join_all(losses.into_iter().map(|it| tell_losses(node, it)));
    if time::timeout(limit, future::join(tell_all, tell_losses)).await.is_err() {
        tracing::warn!("not all of {count} claims were handed over within {limit:?}");
    }
}

/// Tells the members of a service's pool which others died lately.
async fn tell_losses(node: &Node, losses: (ServiceId, Vec<Lost>, Vec<String>)) {
    let (service, lost, names) = losses;
    let now = clock::now_ms();
    let mut parts = Vec::new();
    for it in lost {
        parts.push(Loss {
            service: service.0,
            name: it.name,
            incarnation: it.incarnation,
            zone: it.zone,
            age_ms: now.saturating_sub(it.at),
            old: it.old,
        });
    }
    let purpose = ClaimPurpose::Losses as i32;
    let call = ClaimCall { purpose, losses: parts, ..ClaimCall::default() };
    for name in names {
        if let Ok(Err(e)) = time::timeout(CLAIM_TIMEOUT, ask(node, &name, call.clone())).await {
            tracing::debug!("tell {name} of members that died: {e:#}");
        }
    }
}

fn take_losses(node: &Node, losses: &[Loss]) {
    let now = clock::now_ms();
    let mut rosters = node.rosters.lock();
    for it in losses {
        let lost = Lost {
            name: it.name.clone(),
            incarnation: it.incarnation,
            zone: it.zone.clone(),
            at: now.saturating_sub(it.age_ms),
            old: it.old,
        };
        rosters.add_losses(ServiceId(it.service), &[lost]);
    }
}

/// Digest of what was asked for. The query is left out: it may differ between two attempts.
fn digest(ask: &Ask) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(ask.method.as_str().as_bytes());
    hasher.write_u8(0);
    hasher.write(ask.path.split('?').next().unwrap_or_default().as_bytes());
    hasher.finish()
}
