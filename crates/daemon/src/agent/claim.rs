//! Claims on idempotency keys, as the agent of a flow makes them. The messages are in `call`, the side that is asked in
//! `answer`, the graceful stop in `leave`.

mod answer;
mod call;
mod leave;

use std::{hash::Hasher, sync::Arc, time::Duration};

use camphorwinch_core::{
    claims::{Answer, Claim, ClaimKey, MAX_KEY, RequestId, State},
    object::ServiceId,
};
use camphorwinch_wire::handover::{ClaimCall, ClaimPurpose, ClaimRecord, ClaimVerdict};
use futures::future;
use http::{HeaderName, Method};
use siphasher::sip::SipHasher13;
use tokio::time;

use self::call::{CLAIM_TIMEOUT, ask, call, is_refused, tell};
pub(crate) use self::{answer::answer, leave::hand_over};
use super::{
    node::Node,
    request::{Ask, Course},
};
use crate::clock;

const KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Waits between attempts to claim a key that another request has.
const REPEAT_WAITS_MS: [u64; 8] = [0, 10, 20, 40, 80, 150, 300, 400];

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
    let call = ClaimCall::new(ClaimPurpose::Probe, record);
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

/// Digest of what was asked for. The query is left out: it may differ between two attempts.
fn digest(ask: &Ask) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(ask.method.as_str().as_bytes());
    hasher.write_u8(0);
    hasher.write(ask.path.split('?').next().unwrap_or_default().as_bytes());
    hasher.finish()
}
