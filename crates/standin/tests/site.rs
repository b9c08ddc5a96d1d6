//! The parts of the site: what it concludes from what callers and upstreams saw, and how it handles processes.

use std::{collections::BTreeMap, path::PathBuf, time::Duration};

use camphorwinch_standin::{
    caller::{
        ask::Kind as Ask,
        outcome::{Doubt, Flaw, Outcome},
        tally::{Attempt, Incident, What},
    },
    site::{
        balance,
        block::Block,
        faults::{Kind, Kinds, Placed, blame},
        fleet::{Fleet, Member, Role},
        journal, metrics,
        outcome::Summary,
        process::Launch,
    },
    upstream::{Entry, Event, Record},
};

fn attempt(key: &str, token: &str, outcome: Outcome) -> Attempt {
    Attempt { key: key.into(), token: token.into(), service: "ledger".into(), outcome }
}

fn start(key: &str, echo: &str, upstream: &str) -> Entry {
    Entry {
        at_ms: 1,
        event: Event::Start,
        upstream: upstream.into(),
        service: "ledger".into(),
        request: "r".into(),
        key: key.into(),
        echo: echo.into(),
        method: "POST".into(),
        path: "/transfer".into(),
    }
}

#[test]
fn a_key_that_ran_at_two_upstreams_ran_twice() {
    let entries = [start("k", "a", "ledger-1"), start("k", "b", "ledger-2"), start("l", "c", "x")];
    let verdict = journal::judge(&[], &entries);
    assert_eq!((verdict.twice.len(), verdict.runs), (1, 3));
    assert!(verdict.twice[0].contains("key k ran 2 times"), "{:?}", verdict.twice);
}

#[test]
fn requests_without_a_key_are_told_apart_by_token() {
    let once = [start("", "a", "ledger-1"), start("", "b", "ledger-1")];
    assert!(journal::judge(&[], &once).twice.is_empty());
    let twice = [start("", "a", "ledger-1"), start("", "a", "ledger-2")];
    assert_eq!(journal::judge(&[], &twice).twice.len(), 1);
}

#[test]
fn only_starts_of_requests_that_are_not_idempotent_count() {
    let mut finish = start("k", "a", "ledger-1");
    finish.event = Event::Finish;
    let mut upload = start("k", "a", "ledger-1");
    upload.method = "PUT".into();
    let verdict = journal::judge(&[], &[start("k", "a", "ledger-1"), finish, upload]);
    assert_eq!((verdict.twice.len(), verdict.runs), (0, 1));
}

#[test]
fn not_run_is_untrue_for_the_attempt_that_ran() {
    let entries = [start("k", "a", "ledger-1"), start("l", "d", "ledger-1")];
    let attempts = [
        attempt("k", "a", Outcome::NotRun),
        attempt("k", "b", Outcome::NotRun),
        attempt("l", "c", Outcome::NotRun),
        attempt("l", "d", Outcome::Unknown(Doubt::FlowLost)),
    ];
    let verdict = journal::judge(&attempts, &entries);
    assert_eq!(verdict.untrue.len(), 1);
    assert!(verdict.untrue[0].contains("token a"), "{:?}", verdict.untrue);
}

fn record(pool: &str, busy_ms: f64, uptime_ms: u64) -> Record {
    let mut record = Record { pool: pool.into(), uptime_ms, ..Record::default() };
    record.busy.sum_ms = busy_ms;
    record
}

#[test]
fn imbalance_is_that_of_the_worst_pool() {
    let before = BTreeMap::from([("a".to_owned(), record("p", 500.0, 1_000))]);
    let after = BTreeMap::from([
        ("a".to_owned(), record("p", 2_500.0, 2_000)),
        ("b".to_owned(), record("p", 2_000.0, 1_000)),
        ("c".to_owned(), record("q", 3_000.0, 1_000)),
        ("d".to_owned(), record("q", 1_000.0, 1_000)),
    ]);
    let loads = balance::loads(&before, &after);
    assert_eq!(loads["a"], 2.0);
    assert_eq!(balance::imbalance(&loads, &after), 1.5);
    assert_eq!(balance::imbalance(&BTreeMap::new(), &after), 1.0);
}

#[test]
fn metrics_are_summed_over_labels() {
    let text = "# HELP m x\nm{direction=\"in\"} 3\nm{direction=\"out\"} 4\nm_other 9\nn 5\n";
    assert_eq!(metrics::sum(text, "m"), Some(7.0));
    assert_eq!(metrics::sum(text, "n"), Some(5.0));
    assert_eq!(metrics::sum(text, "absent"), None);
}

#[test]
fn growth_is_a_mean_over_processes_and_survives_a_restart() {
    let sample = |name: &str, value: u32| metrics::Sample {
        name: name.to_owned(),
        text: format!("m{{direction=\"in\"}} {value}\n"),
    };
    let before = [sample("a", 10), sample("b", 50)];
    let after = [sample("a", 30), sample("b", 4), sample("new", 1_000)];
    assert_eq!(metrics::growth(&before, &after, "m"), 12.0);
}

fn incident(what: What, agent: Option<&str>, since: u64, at: u64) -> Incident {
    Incident {
        at: Duration::from_secs(at),
        since: Duration::from_secs(since),
        what,
        service: "ledger".into(),
        flow: 1,
        agent: agent.map(str::to_owned),
        upstream: agent.map(str::to_owned),
        text: String::new(),
    }
}

fn kill(agent: &str, at: u64) -> Placed {
    Placed {
        kind: Kind::Kill,
        at: Duration::from_secs(at),
        until: Some(Duration::from_secs(at + 1)),
        text: String::new(),
        killed: vec![agent.into()],
        cut: vec![agent.into()],
    }
}

#[test]
fn only_flows_on_a_dead_vm_are_lost() {
    let placed = [kill("ledger-1", 10)];
    let incidents = [
        incident(What::BrokenFlow, Some("ledger-1"), 5, 11),
        incident(What::BrokenFlow, None, 5, 11),
        incident(What::BrokenFlow, Some("ledger-2"), 5, 11),
        incident(What::BrokenFlow, Some("ledger-1"), 5, 9),
        incident(What::BrokenFlow, Some("ledger-1"), 12, 13),
    ];
    let found = blame(&incidents, &placed);
    assert_eq!((found.lost_flows, found.unexplained.len()), (2, 3));
}

#[test]
fn only_cut_answers_are_explained_by_an_upstream_that_cuts() {
    let placed = [kill("ledger-1", 10)];
    let cut = What::Failed(Ask::Feed, Flaw::Cut("reset".into()));
    let crossed = What::Failed(Ask::Feed, Flaw::Crossed("token".into()));
    let incidents = [
        incident(cut.clone(), Some("ledger-1"), 9, 11),
        incident(cut.clone(), Some("ledger-2"), 9, 11),
        incident(cut, Some("ledger-1"), 12, 13),
        incident(crossed, Some("ledger-1"), 9, 11),
    ];
    let found = blame(&incidents, &placed);
    assert_eq!((found.cut_answers, found.unexplained.len()), (1, 3));
}

#[test]
fn every_broken_promise_is_named() {
    assert!(Summary { unknown: 3, refused_not_run: 2, ..Summary::default() }.broken().is_empty());
    let summary = Summary {
        broken_flows: 1,
        ran_twice: 1,
        false_not_run: 1,
        wrong_service: 1,
        crossed_answers: 1,
        invariant_failures: 1,
        failed: 1,
        ..Summary::default()
    };
    assert_eq!(summary.broken().len(), 7);
}

#[test]
fn kinds_of_faults_are_read() {
    assert_eq!("all".parse::<Kinds>().unwrap().0.len(), Kind::ALL.len());
    assert_eq!("kill,lie".parse::<Kinds>().unwrap().0, [Kind::Kill, Kind::Lie]);
    assert!("kill,flood".parse::<Kinds>().unwrap_err().contains("flood"));
}

fn fleet() -> (Fleet, Block, PathBuf) {
    let folder = std::env::temp_dir().join(format!("site-test-{:x}", rand::random::<u64>()));
    std::fs::create_dir(&folder).unwrap();
    (Fleet::new(folder.clone()), Block::new().unwrap(), folder)
}

fn member(block: &mut Block, name: &str, program: &str) -> Member {
    let host = block.host().unwrap();
    let admin = std::net::SocketAddr::new(host, block.port(0));
    Member {
        role: Role::Platform,
        vm: name.into(),
        zone: "a".into(),
        host,
        service: None,
        admin,
        launch: Launch {
            name: name.into(),
            program: program.into(),
            args: vec!["platform".into(), "--listen".into(), admin.to_string()],
            env: Vec::new(),
        },
        process: None,
    }
}

#[tokio::test]
async fn processes_start_pause_stop_and_die() {
    let program = env!("CARGO_BIN_EXE_camphorwinch-standin");
    let (mut fleet, mut block, folder) = fleet();
    for name in ["a", "b"] {
        fleet.add(member(&mut block, name, program));
    }
    fleet.start_all(Role::Platform).unwrap();
    for name in ["a", "b"] {
        while tokio::net::TcpStream::connect(fleet.get(name).unwrap().admin).await.is_err() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
    assert!(fleet.start("a").is_err(), "it runs already");
    fleet.process("a").unwrap().freeze().unwrap();
    fleet.process("a").unwrap().thaw().unwrap();
    fleet.take("a").unwrap().stop().await.unwrap();
    assert!(fleet.take("a").is_err());
    assert!(fleet.is_alive("b") && fleet.fallen().is_empty());
    fleet.take("b").unwrap().kill().await.unwrap();
    assert!(!fleet.is_alive("b"));
    std::fs::remove_dir_all(folder).unwrap();
}

#[tokio::test]
async fn a_process_that_ends_by_itself_is_found() {
    let (mut fleet, mut block, folder) = fleet();
    fleet.add(member(&mut block, "a", "/bin/false"));
    fleet.start("a").unwrap();
    while fleet.is_alive("a") {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(fleet.fallen(), ["a"]);
    assert!(fleet.take("a").unwrap().stop().await.is_err());
    std::fs::remove_dir_all(folder).unwrap();
}
