//! Claims on idempotency keys. This module claims keys for the requests of its flows, `client` sends the messages to
//! other agents, `server` handles theirs, and `transfer` moves claims to other agents on a graceful stop.

mod client;
mod server;
mod transfer;

use std::{hash::Hasher, sync::Arc, time::Duration};

use camphorwinch_core::{
    claims::{Claim, ClaimKey, MAX_KEY_BYTES, RecordedResponse, RequestId, RequestState},
    object::ServiceId,
};
use camphorwinch_wire::handover::{ClaimCall, ClaimPurpose, ClaimRecord, ClaimVerdict};
use futures::future;
use http::{HeaderName, Method};
use siphasher::sip::SipHasher13;
use tokio::time;

use self::client::{
    CLAIM_TIMEOUT, is_connection_refused, request_claim, send_call, send_until_accepted,
};
pub(crate) use self::{server::handle_call, transfer::transfer_claims};
use super::{
    node::Node,
    request::{RequestContext, RequestHead},
};
use crate::clock;

const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Delays before the attempts to claim a key that another request holds.
const CLAIM_DELAYS_MS: [u64; 8] = [0, 10, 20, 40, 80, 150, 300, 400];

/// Result of claiming an idempotency key for a request. Only `Run` allows the request to run.
pub(crate) enum ClaimOutcome {
    /// The claim is granted; its holders must receive the result.
    Run(HeldClaim),
    /// An earlier request with the key had this response.
    Replay(Arc<RecordedResponse>),
    /// An earlier request with the key may be running.
    InProgress,
    /// An earlier request with the key may have run, and its response is lost.
    Unknown,
    /// The key was used for a different request.
    Mismatch,
    /// The key is invalid.
    BadKey,
    /// An agent that must record the claim is not reachable.
    Unavailable,
}

/// A claim with the agents that have, or may have, recorded it.
pub(crate) struct HeldClaim {
    key: ClaimKey,
    request: RequestId,
    holders: Vec<String>,
    active: ActiveRequest,
}

/// Invalid idempotency key: empty, longer than [`MAX_KEY_BYTES`] bytes, or not visible ASCII.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BadKey;

/// The idempotency key of a request. Idempotent methods and CONNECT don't use one.
pub(crate) fn idempotency_key(
    head: &RequestHead,
    service: ServiceId,
) -> Result<Option<ClaimKey>, BadKey> {
    let uses_key = !head.is_idempotent() && head.method != Method::CONNECT;
    let Some(value) = head.headers.get(IDEMPOTENCY_KEY).filter(|_| uses_key) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| BadKey)?;
    if !(1..=MAX_KEY_BYTES).contains(&text.len()) {
        return Err(BadKey);
    }
    Ok(Some(ClaimKey { service, key: text.to_owned() }))
}

/// Reply of one agent to a claim.
enum ClaimVote {
    Granted,
    Conflict(Claim),
    Mismatch,
    /// An earlier claim may have been lost.
    Uncertain,
    /// The membership is changing: all members must be queried.
    MembershipChanging,
    /// Not reachable, or out of capacity.
    Unavailable,
}

/// Claims `key` for a request. While another request holds the key, retries a few times to get its result.
pub(crate) async fn claim(context: &RequestContext, key: ClaimKey) -> ClaimOutcome {
    let mut outcome = ClaimOutcome::InProgress;
    for delay_ms in CLAIM_DELAYS_MS {
        time::sleep(Duration::from_millis(delay_ms)).await;
        outcome = try_claim(context, key.clone()).await;
        let late = context.head.deadline.is_some_and(|it| clock::now_ms() >= it);
        if late || !matches!(outcome, ClaimOutcome::InProgress) {
            break;
        }
    }
    outcome
}

async fn try_claim(context: &RequestContext, key: ClaimKey) -> ClaimOutcome {
    let node = &context.node;
    let window_s = context.service.read_spec(&node.snapshot(), |it| it.key_window_s);
    let claim = Claim {
        request: context.head.id,
        digest: digest(&context.head),
        agent: node.settings.name.clone(),
        state: RequestState::Running,
        window_ms: u64::from(window_s) * 1_000,
    };
    let stable = node.rosters.lock().is_stable(&key, clock::now_ms());
    if stable {
        let (held, refusal) = claim_from_holders(node, &key, &claim, false).await;
        match refusal {
            Some(ClaimVote::MembershipChanging) => held.resolve(node, None),
            other => return finish_claim(node, held, other).await,
        }
    }
    let (held, refusal) = claim_from_holders(node, &key, &claim, true).await;
    finish_claim(node, held, refusal).await
}

/// Requests a claim from the agents that must record it, or from all members. Returns the decisive refusal, if any.
async fn claim_from_holders(
    node: &Arc<Node>,
    key: &ClaimKey,
    claim: &Claim,
    all: bool,
) -> (HeldClaim, Option<ClaimVote>) {
    let (names, members) = {
        let rosters = node.rosters.lock();
        (rosters.claim_holders(key, all), all.then(|| rosters.digest(key)))
    };
    let active = ActiveRequest::new(node, claim.request);
    let mut held =
        HeldClaim { key: key.clone(), request: claim.request, holders: Vec::new(), active };
    let mut refusal = names.is_empty().then_some(ClaimVote::Unavailable);
    // The arbiter decides between concurrent requests; the others are queried only after it has granted the claim.
    let mut votes = Vec::new();
    if let Some((arbiter, rest)) = names.split_first() {
        let first = request_claim(node, arbiter, key, claim, members).await;
        let granted = matches!(first, ClaimVote::Granted);
        votes.push((arbiter.clone(), first));
        if granted {
            let calls = rest.iter().map(|it| request_claim(node, it, key, claim, members));
            votes.extend(rest.iter().cloned().zip(future::join_all(calls).await));
        }
    }
    for (name, vote) in votes {
        // An agent whose reply was lost may have recorded the claim.
        if matches!(vote, ClaimVote::Granted | ClaimVote::Unavailable) {
            held.holders.push(name);
        }
        if vote.rank() > refusal.as_ref().map_or(0, ClaimVote::rank) {
            refusal = Some(vote);
        }
    }
    (held, refusal)
}

async fn finish_claim(
    node: &Arc<Node>,
    held: HeldClaim,
    refusal: Option<ClaimVote>,
) -> ClaimOutcome {
    let outcome = match refusal {
        None | Some(ClaimVote::Granted) => return ClaimOutcome::Run(held),
        Some(ClaimVote::Conflict(claim)) => conflict_outcome(node, claim).await,
        Some(ClaimVote::Mismatch) => ClaimOutcome::Mismatch,
        Some(ClaimVote::Uncertain) => ClaimOutcome::Unknown,
        Some(ClaimVote::MembershipChanging | ClaimVote::Unavailable) => ClaimOutcome::Unavailable,
    };
    held.resolve(node, None);
    outcome
}

impl ClaimVote {
    /// The vote of the highest rank decides: it has the most information on an earlier request.
    fn rank(&self) -> u8 {
        match self {
            ClaimVote::Granted => 0,
            ClaimVote::Unavailable => 1,
            ClaimVote::MembershipChanging => 2,
            ClaimVote::Uncertain => 3,
            ClaimVote::Mismatch => 4,
            ClaimVote::Conflict(_) => 5,
        }
    }
}

async fn conflict_outcome(node: &Arc<Node>, claim: Claim) -> ClaimOutcome {
    match &claim.state {
        RequestState::Done(answer) => ClaimOutcome::Replay(Arc::clone(answer)),
        RequestState::Unknown => ClaimOutcome::Unknown,
        RequestState::Running if is_in_progress(node, &claim).await => ClaimOutcome::InProgress,
        RequestState::Running => ClaimOutcome::Unknown,
    }
}

/// Whether the agent that made the claim is still processing the request, which ends with its process.
async fn is_in_progress(node: &Arc<Node>, claim: &Claim) -> bool {
    if claim.agent == node.settings.name {
        return node.keyed_requests.lock().contains(&claim.request);
    }
    let is_alive = node.snapshot().agents.get(&claim.agent).is_some_and(|it| it.state.is_alive());
    if !is_alive {
        return false;
    }
    let key = ClaimKey { service: ServiceId(0), key: "-".to_owned() };
    let record = ClaimRecord::new(&key, claim);
    let call = ClaimCall::new(ClaimPurpose::Probe, record);
    match time::timeout(CLAIM_TIMEOUT, send_call(node, &claim.agent, call)).await {
        Ok(Ok(reply)) => reply.verdict == ClaimVerdict::Granted as i32,
        Ok(Err(e)) => !is_connection_refused(&e),
        Err(_) => true,
    }
}

/// Registers a request with a key as in progress, until its result was sent to the holders of the claim.
struct ActiveRequest {
    node: Arc<Node>,
    request: RequestId,
}

impl ActiveRequest {
    fn new(node: &Arc<Node>, request: RequestId) -> ActiveRequest {
        node.keyed_requests.lock().insert(request);
        ActiveRequest { node: Arc::clone(node), request }
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.node.keyed_requests.lock().remove(&self.request);
    }
}

impl HeldClaim {
    /// Sends the request's result to the holders of the claim. Without a state, the request has not run and
    /// the claim is released.
    pub(crate) fn resolve(self, node: &Arc<Node>, state: Option<RequestState>) {
        let node = Arc::clone(node);
        let tasks = node.tasks.clone();
        tasks.spawn(async move {
            let HeldClaim { key, request, holders, active } = self;
            let claim = Claim {
                request,
                digest: 0,
                agent: node.settings.name.clone(),
                state: state.clone().unwrap_or(RequestState::Running),
                window_ms: 0,
            };
            let record = ClaimRecord::new(&key, &claim);
            let record = if state.is_none() { record.into_released() } else { record };
            let sends = holders
                .iter()
                .map(|it| send_until_accepted(&node, it, ClaimPurpose::Resolve, &record));
            future::join_all(sends).await;
            drop(active);
        });
    }
}

/// Digest of the method and path. The query is left out, since it may differ between attempts.
fn digest(head: &RequestHead) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(head.method.as_str().as_bytes());
    hasher.write_u8(0);
    hasher.write(head.path.split('?').next().unwrap_or_default().as_bytes());
    hasher.finish()
}
