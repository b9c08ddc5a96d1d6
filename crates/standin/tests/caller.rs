//! Tests callers against a server with configurable responses.

mod server;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use camphorwinch_standin::{
    caller::{
        Target,
        flow::{Flow, FlowEnd, FlowState, RequestResult},
        load::{Load, Mix, ServiceLoad},
        outcome::{FailureReason, Outcome, UnknownReason},
        request::CallerRequest,
        stats::LoadStats,
        verify,
    },
    response::{self, ResponseHead},
};
use http::HeaderMap;
use rand::{SeedableRng, rngs::StdRng};
use server::{Behaviour, Server};
use tokio_util::sync::CancellationToken;

const TIMEOUT: Duration = Duration::from_secs(10);

async fn open(server: &Server) -> Flow {
    Flow::open(1, &server.endpoint, &server.config, &server.target).await.unwrap()
}

async fn run(behaviour: Behaviour, request: &CallerRequest) -> (RequestResult, FlowState) {
    let server = Server::start(behaviour);
    let flow = open(&server).await;
    let result = flow.send(request, TIMEOUT).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    (result, flow.state())
}

fn requests() -> [CallerRequest; 4] {
    let rng = &mut StdRng::seed_from_u64(7);
    [
        CallerRequest::screen(rng, Duration::ZERO),
        CallerRequest::feed(rng, Duration::from_millis(10), Duration::from_millis(10)),
        CallerRequest::upload(rng, Duration::ZERO),
        CallerRequest::transfer(rng, Duration::from_millis(1)),
    ]
}

#[tokio::test]
async fn complete_responses_of_every_kind_pass() {
    for request in requests() {
        let (result, state) = run(Behaviour::Complete, &request).await;
        assert_eq!(
            (result.outcome, state),
            (Outcome::Complete, FlowState::Open),
            "{:?}",
            request.kind
        );
    }
}

#[tokio::test]
async fn rejections_and_unknown_outcomes_are_classified() {
    let cases = [
        (Behaviour::NotRun, Outcome::NotRun),
        (Behaviour::Rejected, Outcome::NotRun),
        (Behaviour::Unknown, Outcome::Unknown(UnknownReason::Reported)),
        (Behaviour::Plain503, Outcome::Failed(FailureReason::Status(503))),
    ];
    for request in requests() {
        for (behaviour, outcome) in &cases {
            let (result, state) = run(*behaviour, &request).await;
            assert_eq!(result.outcome, *outcome, "{behaviour:?} {:?}", request.kind);
            assert_eq!(state, FlowState::Open, "{behaviour:?} {:?}", request.kind);
        }
    }
}

#[tokio::test]
async fn retry_after_is_read() {
    let (result, _) = run(Behaviour::NotRun, &requests()[0]).await;
    assert_eq!(result.retry_after, Some(Duration::from_secs(1)));
}

#[tokio::test]
async fn wrong_and_truncated_responses_fail() {
    for request in requests() {
        for behaviour in [Behaviour::Truncated, Behaviour::Short] {
            let (result, _) = run(behaviour, &request).await;
            assert!(
                matches!(result.outcome, Outcome::Failed(FailureReason::Truncated(_))),
                "{result:?}"
            );
        }
        let (result, _) = run(Behaviour::WrongRequest, &request).await;
        assert!(
            matches!(result.outcome, Outcome::Failed(FailureReason::WrongRequest(_))),
            "{result:?}"
        );
        let (result, _) = run(Behaviour::WrongService, &request).await;
        assert!(
            matches!(result.outcome, Outcome::Failed(FailureReason::WrongService(_))),
            "{result:?}"
        );
        let (result, _) = run(Behaviour::WrongBody, &request).await;
        assert!(matches!(result.outcome, Outcome::Failed(FailureReason::Corrupt(_))), "{result:?}");
    }
}

#[tokio::test]
async fn flows_closed_with_a_request_in_progress_are_broken() {
    for behaviour in [Behaviour::CloseImmediately, Behaviour::CloseMidway] {
        let (result, state) = run(behaviour, &requests()[0]).await;
        assert_eq!(result.outcome, Outcome::Unknown(UnknownReason::FlowLost));
        assert!(matches!(state, FlowState::Ended(FlowEnd::Broken(_))), "{behaviour:?} {state:?}");
    }
}

#[tokio::test]
async fn after_goaway_requests_finish_and_no_new_ones_start() {
    let server = Server::start(Behaviour::Goaway);
    let flow = open(&server).await;
    let result = flow.send(&requests()[0], TIMEOUT).await;
    assert_eq!(result.outcome, Outcome::Complete);
    let mut state = flow.subscribe();
    let changed = state.wait_for(|it| *it != FlowState::Open);
    tokio::time::timeout(TIMEOUT, changed).await.unwrap().unwrap();
    let result = flow.send(&requests()[1], TIMEOUT).await;
    assert_eq!(result.outcome, Outcome::NotSent);
    flow.close();
    let ended = state.wait_for(|it| matches!(it, FlowState::Ended(_)));
    let end = tokio::time::timeout(TIMEOUT, ended).await.unwrap().unwrap().clone();
    assert!(matches!(end, FlowState::Ended(FlowEnd::Caller | FlowEnd::Graceful)), "{end:?}");
}

async fn load(behaviour: Behaviour) -> Arc<LoadStats> {
    let server = Server::start(behaviour);
    let share = ServiceLoad {
        target: server.target.clone(),
        held_flows: 10,
        requests_per_s: 50.0,
        new_flows_per_s: 20.0,
        max_feeds: 2,
        mix: Mix::new([0.4, 0.1, 0.2, 0.3]),
    };
    let load = Load {
        services: vec![share],
        endpoints: vec![server.endpoint.clone()],
        config: server.config.clone(),
        seed: 3,
        duration: Duration::from_secs(2),
    };
    let stats = Arc::new(LoadStats::new());
    load.run(stats.clone(), CancellationToken::new()).await.unwrap();
    stats
}

#[tokio::test]
async fn load_counts_every_request_once() {
    let stats = load(Behaviour::Complete).await;
    let total = stats.total();
    assert!(total.requests > 50, "{total:?}");
    assert_eq!(total.requests, total.whole, "{:?}", stats.incidents());
    assert!(stats.flows().flows > 20);
    assert!(stats.attempts().iter().all(|it| it.outcome == Outcome::Complete));
    assert!(stats.overall_latency().p99_ms > 0.0);
}

#[tokio::test]
async fn rejected_requests_are_retried_with_the_same_key() {
    let stats = load(Behaviour::NotRun).await;
    let total = stats.total();
    assert_eq!(total.requests, total.refused);
    let attempts = stats.attempts();
    let mut tokens = BTreeSet::new();
    let mut keys = BTreeMap::new();
    for attempt in &attempts {
        assert!(tokens.insert(&attempt.token), "a token is used twice");
        *keys.entry(&attempt.key).or_insert(0) += 1;
    }
    assert!(keys.values().any(|&it| it > 1), "{attempts:?}");
}

#[tokio::test]
async fn load_counts_broken_flows() {
    let stats = load(Behaviour::CloseImmediately).await;
    let total = stats.total();
    assert_eq!(total.requests, total.unknown + total.failed);
    assert!(stats.flows().broken > 0);
    assert!(!stats.incidents().is_empty());
}

#[test]
fn a_retry_accepts_the_response_of_an_earlier_attempt_with_its_key() {
    let rng = &mut StdRng::seed_from_u64(9);
    let target = Target {
        name: "ledger".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        pool: "ledger".into(),
    };
    let first = CallerRequest::transfer(rng, Duration::ZERO);
    let head = ResponseHead {
        pool: "ledger".into(),
        service: "ledger".into(),
        echo: first.token.clone(),
        key: first.key.clone().unwrap(),
        size: first.size() as u64,
        digest: response::to_hex(&first.digest()),
        ..ResponseHead::default()
    };
    let body = response::write(&head, 0);
    let headers = HeaderMap::new();
    let check =
        |request: &CallerRequest| verify::check(request, &target, &headers, body.as_bytes());
    assert_eq!(check(&first), Ok(()));
    assert_eq!(check(&first.retry(rng)), Ok(()));
    let stranger = CallerRequest { token_group: "g".into(), token: "g-1".into(), ..first.clone() };
    assert!(matches!(check(&stranger), Err(FailureReason::WrongRequest(_))));
    let keyless = CallerRequest { key: None, ..first }.retry(rng);
    assert!(matches!(check(&keyless), Err(FailureReason::WrongRequest(_))));
}
