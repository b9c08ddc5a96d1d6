//! The caller's verdicts, against a server that answers as it is told.

mod server;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use camphorwinch_standin::{
    answer::{self, Head},
    caller::{
        Target,
        ask::Ask,
        flow::{End, Flow, Reply, State},
        load::{Load, Mix, Share},
        outcome::{Doubt, Flaw, Outcome},
        tally::Tally,
        verify,
    },
};
use http::HeaderMap;
use rand::{SeedableRng, rngs::StdRng};
use server::{Behaviour, Server};
use tokio_util::sync::CancellationToken;

const PATIENCE: Duration = Duration::from_secs(10);

async fn open(server: &Server) -> Flow {
    Flow::open(1, &server.endpoint, &server.config, &server.target).await.unwrap()
}

async fn run(behaviour: Behaviour, ask: &Ask) -> (Reply, State) {
    let server = Server::start(behaviour);
    let flow = open(&server).await;
    let reply = flow.run(ask, PATIENCE).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    (reply, flow.state())
}

fn asks() -> [Ask; 4] {
    let rng = &mut StdRng::seed_from_u64(7);
    [
        Ask::screen(rng, Duration::ZERO),
        Ask::feed(rng, Duration::from_millis(10), Duration::from_millis(10)),
        Ask::upload(rng, Duration::ZERO),
        Ask::transfer(rng, Duration::from_millis(1)),
    ]
}

#[tokio::test]
async fn whole_answers_of_every_kind() {
    for ask in asks() {
        let (reply, state) = run(Behaviour::Whole, &ask).await;
        assert_eq!((reply.outcome, state), (Outcome::Whole, State::Open), "{:?}", ask.kind);
    }
}

#[tokio::test]
async fn refusals_and_unknown_outcomes() {
    let cases = [
        (Behaviour::NotRun, Outcome::NotRun),
        (Behaviour::Rejected, Outcome::NotRun),
        (Behaviour::Unknown, Outcome::Unknown(Doubt::Told)),
        (Behaviour::Plain503, Outcome::Failed(Flaw::Status(503))),
    ];
    for ask in asks() {
        for (behaviour, outcome) in &cases {
            let (reply, state) = run(*behaviour, &ask).await;
            assert_eq!(reply.outcome, *outcome, "{behaviour:?} {:?}", ask.kind);
            assert_eq!(state, State::Open, "{behaviour:?} {:?}", ask.kind);
        }
    }
}

#[tokio::test]
async fn retry_after_is_read() {
    let (reply, _) = run(Behaviour::NotRun, &asks()[0]).await;
    assert_eq!(reply.wait, Some(Duration::from_secs(1)));
}

#[tokio::test]
async fn wrong_and_cut_answers_fail() {
    for ask in asks() {
        for behaviour in [Behaviour::Cut, Behaviour::Short] {
            let (reply, _) = run(behaviour, &ask).await;
            assert!(matches!(reply.outcome, Outcome::Failed(Flaw::Cut(_))), "{reply:?}");
        }
        let (reply, _) = run(Behaviour::Crossed, &ask).await;
        assert!(matches!(reply.outcome, Outcome::Failed(Flaw::Crossed(_))), "{reply:?}");
        let (reply, _) = run(Behaviour::WrongService, &ask).await;
        assert!(matches!(reply.outcome, Outcome::Failed(Flaw::WrongService(_))), "{reply:?}");
        let (reply, _) = run(Behaviour::WrongBody, &ask).await;
        assert!(matches!(reply.outcome, Outcome::Failed(Flaw::Corrupt(_))), "{reply:?}");
    }
}

#[tokio::test]
async fn flows_closed_with_a_request_in_progress_are_broken() {
    for behaviour in [Behaviour::CloseAtOnce, Behaviour::CloseMidway] {
        let (reply, state) = run(behaviour, &asks()[0]).await;
        assert_eq!(reply.outcome, Outcome::Unknown(Doubt::FlowLost));
        assert!(matches!(state, State::Ended(End::Broken(_))), "{behaviour:?} {state:?}");
    }
}

#[tokio::test]
async fn goaway_lets_requests_finish_and_starts_no_more() {
    let server = Server::start(Behaviour::Goaway);
    let flow = open(&server).await;
    let reply = flow.run(&asks()[0], PATIENCE).await;
    assert_eq!(reply.outcome, Outcome::Whole);
    let mut state = flow.watch();
    let left = state.wait_for(|it| *it != State::Open);
    tokio::time::timeout(PATIENCE, left).await.unwrap().unwrap();
    let reply = flow.run(&asks()[1], PATIENCE).await;
    assert_eq!(reply.outcome, Outcome::Unsent);
    flow.close();
    let ended = state.wait_for(|it| matches!(it, State::Ended(_)));
    let end = tokio::time::timeout(PATIENCE, ended).await.unwrap().unwrap().clone();
    assert!(matches!(end, State::Ended(End::Caller | End::Graceful)), "{end:?}");
}

async fn load(behaviour: Behaviour) -> Arc<Tally> {
    let server = Server::start(behaviour);
    let share = Share {
        target: server.target.clone(),
        held: 10,
        rate: 50.0,
        opens: 20.0,
        feeds: 2,
        mix: Mix::new([0.4, 0.1, 0.2, 0.3]),
    };
    let load = Load {
        shares: vec![share],
        endpoints: vec![server.endpoint.clone()],
        config: server.config.clone(),
        seed: 3,
        span: Duration::from_secs(2),
    };
    let tally = Arc::new(Tally::new());
    load.run(tally.clone(), CancellationToken::new()).await.unwrap();
    tally
}

#[tokio::test]
async fn a_load_counts_every_request_once() {
    let tally = load(Behaviour::Whole).await;
    let total = tally.total();
    assert!(total.requests > 50, "{total:?}");
    assert_eq!(total.requests, total.whole, "{:?}", tally.incidents());
    assert!(tally.flows().flows > 20);
    assert!(tally.attempts().iter().all(|it| it.outcome == Outcome::Whole));
    assert!(tally.latency_of_all().p99_ms > 0.0);
}

#[tokio::test]
async fn a_load_that_is_refused_asks_again_under_the_same_key() {
    let tally = load(Behaviour::NotRun).await;
    let total = tally.total();
    assert_eq!(total.requests, total.refused);
    let attempts = tally.attempts();
    let mut tokens = BTreeSet::new();
    let mut keys = BTreeMap::new();
    for attempt in &attempts {
        assert!(tokens.insert(&attempt.token), "a token is used twice");
        *keys.entry(&attempt.key).or_insert(0) += 1;
    }
    assert!(keys.values().any(|&it| it > 1), "{attempts:?}");
}

#[tokio::test]
async fn a_load_counts_broken_flows() {
    let tally = load(Behaviour::CloseAtOnce).await;
    let total = tally.total();
    assert_eq!(total.requests, total.unknown + total.failed);
    assert!(tally.flows().broken > 0);
    assert!(!tally.incidents().is_empty());
}

#[test]
fn a_repeat_may_get_the_answer_of_an_earlier_attempt_under_its_key() {
    let rng = &mut StdRng::seed_from_u64(9);
    let target = Target {
        name: "ledger".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        pool: "ledger".into(),
    };
    let first = Ask::transfer(rng, Duration::ZERO);
    let head = Head {
        pool: "ledger".into(),
        service: "ledger".into(),
        echo: first.token.clone(),
        key: first.key.clone().unwrap(),
        size: first.size() as u64,
        digest: answer::to_hex(&first.digest()),
        ..Head::default()
    };
    let body = answer::write(&head, 0);
    let headers = HeaderMap::new();
    let check = |ask: &Ask| verify::check(ask, &target, &headers, body.as_bytes());
    assert_eq!(check(&first), Ok(()));
    assert_eq!(check(&first.again(rng)), Ok(()));
    let stranger = Ask { group: "g".into(), token: "g-1".into(), ..first.clone() };
    assert!(matches!(check(&stranger), Err(Flaw::Crossed(_))));
    let keyless = Ask { key: None, ..first }.again(rng);
    assert!(matches!(check(&keyless), Err(Flaw::Crossed(_))));
}
