//! Unit tests of the site: checks of what callers and upstreams observed, and process handling.

use std::{collections::BTreeMap, path::PathBuf, time::Duration};

use camphorwinch_standin::{
    caller::{
        outcome::{FailureReason, Outcome, UnknownReason},
        request::RequestKind,
        stats::{Attempt, Incident, IncidentKind},
    },
    site::{
        balance,
        block::AddressBlock,
        faults::{FaultKind, FaultKinds, InjectedFault, attribute_incidents},
        fleet::{Fleet, Instance, Role},
        journal, metrics,
        outcome::Summary,
        process::LaunchSpec,
    },
    upstream::{JournalEntry, JournalEvent, Record},
};

fn attempt(key: &str, token: &str, outcome: Outcome) -> Attempt {
    Attempt { key: key.into(), token: token.into(), service: "ledger".into(), outcome }
}

fn start(key: &str, echo: &str, upstream: &str) -> JournalEntry {
    JournalEntry {
        at_ms: 1,
        event: JournalEvent::Start,
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
fn a_key_run_by_two_upstreams_counts_as_run_twice() {
    let entries = [start("k", "a", "ledger-1"), start("k", "b", "ledger-2"), start("l", "c", "x")];
    let result = journal::check(&[], &entries);
    assert_eq!((result.ran_twice.len(), result.runs), (1, 3));
    assert!(result.ran_twice[0].contains("key k ran 2 times"), "{:?}", result.ran_twice);
}

#[test]
fn requests_without_a_key_are_identified_by_token() {
    let once = [start("", "a", "ledger-1"), start("", "b", "ledger-1")];
    assert!(journal::check(&[], &once).ran_twice.is_empty());
    let twice = [start("", "a", "ledger-1"), start("", "a", "ledger-2")];
    assert_eq!(journal::check(&[], &twice).ran_twice.len(), 1);
}

#[test]
fn only_starts_of_requests_that_are_not_idempotent_count() {
    let mut finish = start("k", "a", "ledger-1");
    finish.event = JournalEvent::Finish;
    let mut upload = start("k", "a", "ledger-1");
    upload.method = "PUT".into();
    let result = journal::check(&[], &[start("k", "a", "ledger-1"), finish, upload]);
    assert_eq!((result.ran_twice.len(), result.runs), (0, 1));
}

#[test]
fn not_run_is_false_only_for_the_attempt_that_ran() {
    let entries = [start("k", "a", "ledger-1"), start("l", "d", "ledger-1")];
    let attempts = [
        attempt("k", "a", Outcome::NotRun),
        attempt("k", "b", Outcome::NotRun),
        attempt("l", "c", Outcome::NotRun),
        attempt("l", "d", Outcome::Unknown(UnknownReason::FlowLost)),
    ];
    let result = journal::check(&attempts, &entries);
    assert_eq!(result.false_not_run.len(), 1);
    assert!(result.false_not_run[0].contains("token a"), "{:?}", result.false_not_run);
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
fn mean_increase_covers_processes_in_both_readings_and_restarts() {
    let sample = |name: &str, value: u32| metrics::ProcessMetrics {
        name: name.to_owned(),
        text: format!("m{{direction=\"in\"}} {value}\n"),
    };
    let before = [sample("a", 10), sample("b", 50)];
    let after = [sample("a", 30), sample("b", 4), sample("new", 1_000)];
    assert_eq!(metrics::mean_increase(&before, &after, "m"), 12.0);
}

fn incident(kind: IncidentKind, agent: Option<&str>, started_at: u64, at: u64) -> Incident {
    Incident {
        at: Duration::from_secs(at),
        started_at: Duration::from_secs(started_at),
        kind,
        service: "ledger".into(),
        flow: 1,
        agent: agent.map(str::to_owned),
        upstream: agent.map(str::to_owned),
        text: String::new(),
    }
}

fn kill(agent: &str, at: u64) -> InjectedFault {
    InjectedFault {
        kind: FaultKind::Kill,
        at: Duration::from_secs(at),
        until: Some(Duration::from_secs(at + 1)),
        text: String::new(),
        killed: vec![agent.into()],
        truncating: vec![agent.into()],
    }
}

#[test]
fn only_flows_of_a_killed_agent_are_lost() {
    let injected = [kill("ledger-1", 10)];
    let incidents = [
        incident(IncidentKind::BrokenFlow, Some("ledger-1"), 5, 11),
        incident(IncidentKind::BrokenFlow, None, 5, 11),
        incident(IncidentKind::BrokenFlow, Some("ledger-2"), 5, 11),
        incident(IncidentKind::BrokenFlow, Some("ledger-1"), 5, 9),
        incident(IncidentKind::BrokenFlow, Some("ledger-1"), 12, 13),
    ];
    let found = attribute_incidents(&incidents, &injected);
    assert_eq!((found.lost_flows, found.unexplained.len()), (2, 3));
}

#[test]
fn only_truncated_responses_are_explained_by_a_killed_upstream() {
    let injected = [kill("ledger-1", 10)];
    let truncated =
        IncidentKind::Failed(RequestKind::Feed, FailureReason::Truncated("reset".into()));
    let wrong_request =
        IncidentKind::Failed(RequestKind::Feed, FailureReason::WrongRequest("token".into()));
    let incidents = [
        incident(truncated.clone(), Some("ledger-1"), 9, 11),
        incident(truncated.clone(), Some("ledger-2"), 9, 11),
        incident(truncated, Some("ledger-1"), 12, 13),
        incident(wrong_request, Some("ledger-1"), 9, 11),
    ];
    let found = attribute_incidents(&incidents, &injected);
    assert_eq!((found.truncated_responses, found.unexplained.len()), (1, 3));
}

#[test]
fn every_violated_guarantee_is_named() {
    assert!(
        Summary { unknown: 3, refused_not_run: 2, ..Summary::default() }.violations().is_empty()
    );
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
    assert_eq!(summary.violations().len(), 7);
}

#[test]
fn fault_kinds_are_parsed() {
    assert_eq!("all".parse::<FaultKinds>().unwrap().0.len(), FaultKind::ALL.len());
    assert_eq!(
        "kill,lie".parse::<FaultKinds>().unwrap().0,
        [FaultKind::Kill, FaultKind::WrongLoad]
    );
    assert!("kill,flood".parse::<FaultKinds>().unwrap_err().contains("flood"));
}

fn fleet() -> (Fleet, AddressBlock, PathBuf) {
    let folder = std::env::temp_dir().join(format!("site-test-{:x}", rand::random::<u64>()));
    std::fs::create_dir(&folder).unwrap();
    (Fleet::new(folder.clone()), AddressBlock::new().unwrap(), folder)
}

fn instance(block: &mut AddressBlock, name: &str, program: &str) -> Instance {
    let host = block.host().unwrap();
    let admin = std::net::SocketAddr::new(host, block.port(0));
    Instance {
        role: Role::Platform,
        vm: name.into(),
        zone: "a".into(),
        host,
        service: None,
        admin,
        launch: LaunchSpec {
            name: name.into(),
            program: program.into(),
            args: vec!["platform".into(), "--listen".into(), admin.to_string()],
            env: Vec::new(),
        },
        process: None,
    }
}

#[tokio::test]
async fn processes_start_pause_stop_and_are_killed() {
    let program = env!("CARGO_BIN_EXE_camphorwinch-standin");
    let (mut fleet, mut block, folder) = fleet();
    for name in ["a", "b"] {
        fleet.add(instance(&mut block, name, program));
    }
    fleet.start_all(Role::Platform).unwrap();
    for name in ["a", "b"] {
        while tokio::net::TcpStream::connect(fleet.get(name).unwrap().admin).await.is_err() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
    assert!(fleet.start("a").is_err(), "already running");
    fleet.process("a").unwrap().pause().unwrap();
    fleet.process("a").unwrap().resume().unwrap();
    fleet.take_process("a").unwrap().stop().await.unwrap();
    assert!(fleet.take_process("a").is_err());
    assert!(fleet.is_running("b") && fleet.exited().is_empty());
    fleet.take_process("b").unwrap().kill().await.unwrap();
    assert!(!fleet.is_running("b"));
    std::fs::remove_dir_all(folder).unwrap();
}

#[tokio::test]
async fn a_process_that_exits_unexpectedly_is_reported() {
    let (mut fleet, mut block, folder) = fleet();
    fleet.add(instance(&mut block, "a", "/bin/false"));
    fleet.start("a").unwrap();
    while fleet.is_running("a") {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(fleet.exited(), ["a"]);
    assert!(fleet.take_process("a").unwrap().stop().await.is_err());
    std::fs::remove_dir_all(folder).unwrap();
}
