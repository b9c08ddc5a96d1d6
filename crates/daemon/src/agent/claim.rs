//! Claims on idempotency keys, as the agent of a flow makes them and as an owner keeps them.

use std::{hash::Hasher, io, net::SocketAddr, sync::Arc, time::Duration};

use camphorwinch_core::{
    claims::{Answer, Claim, ClaimKey, Claimed, MAX_KEY, RequestId, State},
    member::AgentState,
    object::ServiceId,
    snapshot::Snapshot,
};
use camphorwinch_wire::handover::{
    ClaimCall, ClaimPurpose, ClaimRecord, ClaimReply, ClaimVerdict, HandoverError, Kind, request_id,
};
use futures::future;
use http::{HeaderName, Method};
use siphasher::sip::SipHasher13;
use tokio::time;

use super::{
    node::Node,
    request::{Ask, Course},
};
use crate::clock;

const KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Longest wait for an owner's word on a claim.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(500);
/// Waits between attempts to claim a key that another request has.
const REPEAT_WAITS_MS: [u64; 8] = [0, 10, 20, 40, 80, 150, 300, 400];
/// Waits before what came of a claim is sent again to an owner that did not take it.
const SETTLE_WAITS_MS: [u64; 8] = [0, 100, 500, 2_000, 5_000, 10_000, 20_000, 20_000];

/// What a request under an idempotency key may do.
pub(crate) enum Verdict {
    /// Run, and tell the owners what came of it.
    Run(Held),
    /// Nothing: an earlier request under the key had this answer.
    Repeat(Arc<Answer>),
    /// Nothing: an earlier request under the key may be running.
    Running,
    /// Nothing: an earlier request under the key may have run, and its answer is lost.
    Unknown,
    /// Nothing: the key was used for something else.
    Mismatch,
    /// Nothing: an owner could not be asked.
    Unavailable,
}

/// A claim that all owners have recorded.
pub(crate) struct Held {
    key: ClaimKey,
    request: RequestId,
    owners: Vec<String>,
    open: Open,
}

/// The key under which a request must run once. Methods that are idempotent need none.
pub(crate) fn key(ask: &Ask, service: ServiceId) -> Option<ClaimKey> {
    let keyed = !ask.is_idempotent() && ask.method != Method::CONNECT;
    let text = ask.headers.get(KEY).filter(|_| keyed)?.to_str().ok()?;
    let fits = (1..=MAX_KEY).contains(&text.len());
    fits.then(|| ClaimKey { service, key: text.to_owned() })
}

/// Names of the agents that keep claims of a service.
pub(crate) fn members(snapshot: &Snapshot, service: ServiceId) -> Vec<String> {
    let Some(entry) = snapshot.services.get(&service) else {
        return Vec::new();
    };
    let keeps = |state: AgentState| state.answers() && state != AgentState::Leaving;
    let agents = snapshot.agents.values();
    let kept = agents.filter(|it| it.pool == entry.spec.pool && keeps(it.state));
    kept.map(|it| it.name.clone()).collect()
}

/// What an owner said.
enum Word {
    Granted,
    Taken(Claim),
    Mismatch,
    /// It holds nothing: it is dead.
    Dead,
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
    let members = members(&node.snapshot(), course.service.id);
    let owners: Vec<String> =
        key.owners(members.iter().map(String::as_str)).into_iter().map(str::to_owned).collect();
    let open = Open::new(node, claim.request);
    let mut held = Held { key, request: claim.request, owners: Vec::new(), open };
    // The first owner alone decides between two requests that come at once; the others then agree.
    let mut words = Vec::new();
    for (at, owner) in owners.iter().enumerate() {
        words = vec![(owner.clone(), call(node, owner, &held.key, &claim).await)];
        if matches!(words[0].1, Word::Dead) {
            continue;
        }
        if matches!(words[0].1, Word::Granted) {
            let rest = owners[at + 1..].iter().map(|it| call(node, it, &held.key, &claim));
            let rest = future::join_all(rest).await;
            words.extend(owners[at + 1..].iter().cloned().zip(rest));
        }
        break;
    }
    let mut refusal = None;
    let mut holder: Option<Claim> = None;
    for (owner, word) in words {
        match word {
            Word::Granted => held.owners.push(owner),
            Word::Dead => {}
            Word::Taken(claim) => holder = Some(claim),
            Word::Mismatch => refusal = Some(Verdict::Mismatch),
            Word::Unavailable => {
                // It may have recorded the claim although its word is lost.
                held.owners.push(owner);
                refusal = refusal.or(Some(Verdict::Unavailable));
            }
        }
    }
    if refusal.is_none() && held.owners.is_empty() {
        refusal = Some(Verdict::Unavailable);
    }
    if let Some(holder) = holder {
        refusal = Some(taken(node, holder).await);
    }
    match refusal {
        None => Verdict::Run(held),
        Some(verdict) => {
            held.settle(node, None);
            verdict
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
    match time::timeout(CLAIM_TIMEOUT, ask(node, &claim.by, ClaimPurpose::Probe, record)).await {
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
    /// Tells the owners what came of the request; none if it was proven not to have run.
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

async fn call(node: &Arc<Node>, owner: &str, key: &ClaimKey, claim: &Claim) -> Word {
    if owner == node.settings.name {
        return word(node.claims.lock().claim(key, claim.clone(), clock::now_ms()));
    }
    let record = ClaimRecord::new(key, claim);
    let asked = ask(node, owner, ClaimPurpose::Claim, record);
    match time::timeout(CLAIM_TIMEOUT, asked).await {
        Ok(Ok(reply)) => read(&reply).unwrap_or(Word::Unavailable),
        Ok(Err(e)) if is_refused(&e) => Word::Dead,
        Ok(Err(_)) | Err(_) => Word::Unavailable,
    }
}

/// A process that refuses connections is dead, and its memory with it; one that is silent may hold claims.
fn is_refused(e: &anyhow::Error) -> bool {
    let refused = |it: &io::Error| it.kind() == io::ErrorKind::ConnectionRefused;
    e.chain().any(|it| it.downcast_ref::<io::Error>().is_some_and(refused))
}

fn word(claimed: Claimed) -> Word {
    match claimed {
        Claimed::Granted => Word::Granted,
        Claimed::Taken(claim) => Word::Taken(claim),
        Claimed::Mismatch => Word::Mismatch,
        Claimed::Full => Word::Unavailable,
    }
}

fn read(reply: &ClaimReply) -> Result<Word, HandoverError> {
    match ClaimVerdict::try_from(reply.verdict) {
        Ok(ClaimVerdict::Granted) => Ok(Word::Granted),
        Ok(ClaimVerdict::Mismatch) => Ok(Word::Mismatch),
        Ok(ClaimVerdict::Full) | Err(_) => Ok(Word::Unavailable),
        Ok(ClaimVerdict::Taken) => {
            let holder = reply.holder.as_ref().ok_or(HandoverError("holder of a claim"))?;
            Ok(holder.claim()?.map_or(Word::Unavailable, Word::Taken))
        }
    }
}

/// Sends a record until the owner has taken it, or it is clear that it won't.
pub(crate) async fn tell(
    node: &Arc<Node>,
    owner: &str,
    purpose: ClaimPurpose,
    record: &ClaimRecord,
) {
    if owner == node.settings.name {
        let call = ClaimCall { record: Some(record.clone()), purpose: purpose as i32 };
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
        let asked = ask(node, owner, purpose, record.clone());
        match time::timeout(CLAIM_TIMEOUT, asked).await {
            Ok(Ok(_)) => return,
            Ok(Err(e)) if is_refused(&e) => return,
            Ok(Err(e)) => tracing::debug!("tell {owner} of a claim: {e:#}"),
            Err(_) => tracing::debug!("tell {owner} of a claim: no answer in time"),
        }
    }
}

async fn ask(
    node: &Node,
    owner: &str,
    purpose: ClaimPurpose,
    record: ClaimRecord,
) -> anyhow::Result<ClaimReply> {
    let call = ClaimCall { record: Some(record), purpose: purpose as i32 };
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

/// Answers a claim message as an owner.
pub(crate) fn answer(node: &Node, call: &ClaimCall) -> Result<ClaimReply, HandoverError> {
    let record = call.record.as_ref().ok_or(HandoverError("claim"))?;
    let purpose = ClaimPurpose::try_from(call.purpose).map_err(|_| HandoverError("purpose"))?;
    let key = record.claim_key();
    if !(1..=MAX_KEY).contains(&key.key.len()) {
        return Err(HandoverError("idempotency key"));
    }
    let now = clock::now_ms();
    let claim = record.claim()?;
    let mut claims = node.claims.lock();
    let claimed = match (purpose, claim) {
        (ClaimPurpose::Claim, Some(claim)) => claims.claim(&key, claim, now),
        (ClaimPurpose::Settle, Some(claim)) => {
            claims.settle(&key, claim.request, claim.state, now);
            Claimed::Granted
        }
        (ClaimPurpose::Settle, None) => {
            claims.release(&key, request_id(&record.request)?);
            Claimed::Granted
        }
        (ClaimPurpose::Adopt, Some(claim)) => {
            claims.adopt(&key, claim, now);
            Claimed::Granted
        }
        (ClaimPurpose::Probe, _) => {
            let open = node.open.lock().contains(&request_id(&record.request)?);
            if open { Claimed::Granted } else { Claimed::Mismatch }
        }
        (ClaimPurpose::Claim | ClaimPurpose::Adopt, None) => {
            return Err(HandoverError("state of a claim"));
        }
    };
    drop(claims);
    let (verdict, holder) = match claimed {
        Claimed::Granted => (ClaimVerdict::Granted, None),
        Claimed::Taken(claim) => (ClaimVerdict::Taken, Some(ClaimRecord::new(&key, &claim))),
        Claimed::Mismatch => (ClaimVerdict::Mismatch, None),
        Claimed::Full => (ClaimVerdict::Full, None),
    };
    Ok(ClaimReply { verdict: verdict as i32, holder })
}

/// Copies claims to the agents that become owners when the members of a service's pool change.
pub(crate) fn copy(node: &Arc<Node>, before: &Snapshot, after: &Snapshot) {
    for service in after.services.keys() {
        let (old, new) = (members(before, *service), members(after, *service));
        if old == new || old.is_empty() {
            continue;
        }
        let mut copies = Vec::new();
        for (to, key, claim) in node.claims.lock().moved(*service, &old, &new) {
            if to != node.settings.name {
                copies.push((to.to_owned(), ClaimRecord::new(key, claim)));
            }
        }
        if copies.is_empty() {
            continue;
        }
        let node = Arc::clone(node);
        tokio::spawn(async move {
            for (to, record) in copies {
                tell(&node, &to, ClaimPurpose::Adopt, &record).await;
            }
        });
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
