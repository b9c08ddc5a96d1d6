//! Commands that read objects, and key rotation.

use std::{
    io::{BufRead as _, BufReader, Read},
    process::Stdio,
    sync::mpsc::{Receiver, channel},
    thread,
    time::Duration,
};

use crate::fake_platform::{FakePlatform, service};
use serde_json::{Value, json};

const RECV_TIMEOUT: Duration = Duration::from_secs(20);

fn spawn_line_reader<R>(from: R) -> Receiver<String>
where
    R: Read + Send + 'static,
{
    let (tx, rx) = channel();
    thread::spawn(move || {
        for line in BufReader::new(from).lines().map_while(Result::ok) {
            if tx.send(line).is_err() {
                return;
            }
        }
    });
    rx
}

fn lease(zone: &str, at_ms: u64, in_force: u64, upstreams: Value) -> Value {
    json!({"holder": "bal-1", "control": "127.0.0.1:7000", "taken_at_ms": 1, "report": {
        "zone": zone, "at_ms": at_ms, "in_force": in_force, "known": 9, "processes": 3,
        "behind": [{"name": "slow-1", "in_force": in_force}],
        "changes": [{"revision": 1, "seen_ms": 100, "in_force_ms": 100 + at_ms}],
        "upstreams": upstreams, "balancers": []}})
}

fn upstream(name: &str, state: &str, flows: u32, epochs: Value) -> Value {
    json!({"name": name, "pool": "ledger", "vm": "vm-1", "zone": "rvk-a", "state": state,
        "flows": flows, "busy": 1, "slots": 7, "since_ms": 5, "epochs": epochs})
}

#[test]
fn help_and_completion_exit_with_success() {
    let fake = FakePlatform::new();
    let help = fake.run(&["--help"]);
    assert!(help.code == 0 && help.out.contains("Exit codes"), "{help:?}");
    for shell in ["bash", "zsh", "fish", "elvish"] {
        let script = fake.run(&[&format!("--bpaf-complete-style-{shell}")]);
        assert!(script.code == 0 && script.out.contains("camphorwinch"), "{script:?}");
    }
    let completions = fake.run(&["--bpaf-complete-rev=8", "un"]);
    assert!(completions.out.contains("undrain"), "{completions:?}");
}

#[test]
fn status_shows_revisions_in_force_and_drain_progress() {
    let fake = FakePlatform::new();
    fake.put("service", "ledger", service("127.0.9.1:4433", "ledger"));
    let drain = json!({"action": "drain", "target": {"upstream": "ledger-1"}});
    fake.put("change", "drain-upstream-ledger-1", drain);
    let upstreams = json!([
        upstream("ledger-1", "draining", 3, json!([])),
        upstream("ledger-2", "ready", 4, json!([]))
    ]);
    fake.put("lease", "seed-rvk-a-0", lease("rvk-a", 20, 2, upstreams));
    fake.put("lease", "seed-rvk-a-1", lease("rvk-a", 10, 0, json!([])));
    fake.put("lease", "seed-rvk-b-0", lease("rvk-b", 30, 1, json!([])));

    let status = fake.run(&["--output", "json", "status"]).json();
    assert_eq!(status["in_force"], 1);
    assert_eq!(status["services"][0]["flows"], 7);
    let service =
        status["objects"].as_array().unwrap().iter().find(|it| it["object"] == "service/ledger");
    let service = service.unwrap();
    assert_eq!((&service["everywhere"], &service["since_ms"]), (&json!(true), &json!(130)));
    assert_eq!(service["took_ms"], 30);
    assert_eq!(status["drains"][0]["progress"], "waiting");

    fake.put("lease", "seed-rvk-b-0", lease("rvk-b", 40, 2, json!([])));
    let status = fake.run(&["status", "--output", "json"]).json();
    assert_eq!(status["drains"][0]["progress"], "draining");
    assert_eq!(status["drains"][0]["flows"], 3);

    fake.put(
        "report",
        "rvk-b",
        lease("rvk-b", 1, 0, json!([upstream("ledger-9", "ready", 5, json!([]))]))["report"]
            .clone(),
    );
    let status = fake.run(&["status", "--output", "json"]).json();
    assert_eq!(status["in_force"], 2);
    assert_eq!(status["services"][0]["flows"], 12);

    let table = fake.run(&["status", "--service", "ledger"]);
    assert!(table.out.contains("IN FORCE") && table.out.contains("ledger-2"), "{table:?}");
    assert_eq!(fake.run(&["status", "--service", "none"]).code, 4);
}

#[test]
fn apply_wait_names_the_lagging_zone_and_process() {
    let fake = FakePlatform::new();
    fake.put("lease", "seed-rvk-a-0", lease("rvk-a", 1, 0, json!([])));
    let input = crate::fake_platform::ledger("a").to_string();
    let args = ["apply", "-f", "-", "--wait", "--timeout", "0.5"];
    let run = fake.run_with(&args, &input);
    assert_eq!(run.code, 1, "{run:?}");
    assert!(run.err.contains("rvk-a") && run.err.contains("slow-1"), "{run:?}");
    fake.put("lease", "seed-rvk-a-0", lease("rvk-a", 2, 9, json!([])));
    assert_eq!(fake.run_with(&args, &input).code, 0);
}

#[test]
fn timeline_merges_zones_and_filters_events() {
    let fake = FakePlatform::new();
    let event = |ms: u64, process: &str, flow: &str| {
        json!({"ms": ms, "counter": 0, "process": process, "seq": ms, "id": 104, "name": "drain-started",
            "service": "ledger", "flow": flow, "text": "x"})
    };
    let shared = event(2, "bal-1", "0abc");
    fake.put(
        "timeline",
        "events-a",
        json!({"events": [event(3, "bal-1", "0def"), shared.clone()]}),
    );
    fake.put("timeline", "events-b", json!({"events": [event(1, "ledger-1", "0abc"), shared]}));
    let all = fake.run(&["timeline", "--output", "json"]).json();
    let order: Vec<u64> =
        all.as_array().unwrap().iter().map(|it| it["ms"].as_u64().unwrap()).collect();
    assert_eq!(order, [1, 2, 3]);
    let filtered =
        fake.run(&["timeline", "--flow", "0AB", "--service", "ledger", "--output", "json"]).json();
    assert_eq!(filtered.as_array().unwrap().len(), 2);
    assert!(fake.run(&["timeline", "--upstream", "none"]).out.lines().count() == 1);
}

#[test]
fn watch_continues_after_an_outage_and_a_history_gap() {
    let fake = FakePlatform::new();
    fake.put("service", "first", service("127.0.9.1:1", "a"));
    let mut child = fake
        .command(&["watch", "service", "--output", "json"])
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let events = spawn_line_reader(child.stdout.take().unwrap());
    let next = || -> (String, String) {
        let event: Value =
            serde_json::from_str(&events.recv_timeout(RECV_TIMEOUT).unwrap()).unwrap();
        let text = |it: &Value| it.as_str().unwrap().to_owned();
        (text(&event["type"]), text(&event["object"]["name"]))
    };
    assert_eq!(next(), ("put".into(), "first".into()));

    fake.store.lock().unwrap().outage = true;
    let errors = spawn_line_reader(child.stderr.take().unwrap());
    assert!(errors.recv_timeout(RECV_TIMEOUT).unwrap().contains("outage"));
    {
        let mut store = fake.store.lock().unwrap();
        store.objects.clear();
        store.put("service", "second", "other", &service("127.0.9.1:2", "a"));
        store.drop_history();
        store.outage = false;
    }
    let mut seen = [next(), next()];
    seen.sort();
    assert_eq!(seen, [("delete".into(), "first".into()), ("put".into(), "second".into())]);
    child.kill().unwrap();
    child.wait().unwrap();
}

#[test]
fn keys_rotate_resumes_and_prune_keeps_keys_in_use() {
    let fake = FakePlatform::new();
    assert_eq!(fake.run(&["keys", "init"]).code, 0);
    let second_init = fake.run(&["keys", "init"]);
    assert_eq!(second_init.code, 3);
    let keys = fake.get("keys", "fleet").unwrap();
    let secret = keys["spec"]["keys"][0]["secret"].as_str().unwrap();
    assert!(
        second_init.err.contains("(hidden)") && !second_init.err.contains(secret),
        "{second_init:?}"
    );
    assert!(!fake.run(&["get", "keys", "fleet"]).out.contains(secret));
    assert!(fake.run(&["get", "keys", "fleet", "--secrets"]).out.contains(secret));

    let key_uses = || -> Vec<Value> {
        let keys = fake.get("keys", "fleet").unwrap();
        keys["spec"]["keys"].as_array().unwrap().iter().map(|it| it["use"].clone()).collect()
    };
    let timed_out = fake.run(&["keys", "rotate", "--timeout", "0.3"]);
    assert_eq!(timed_out.code, 1, "{timed_out:?}");
    assert_eq!(key_uses(), ["seal", "open"]);

    fake.put("lease", "seed-rvk-a-0", lease("rvk-a", 1, 99, json!([])));
    assert_eq!(fake.run(&["keys", "rotate"]).code, 0);
    assert_eq!(key_uses(), ["open", "seal"]);

    let no_reports = fake.run(&["keys", "prune", "--timeout", "0.3"]);
    assert_eq!(no_reports.code, 1, "{no_reports:?}");
    let put_full_report = |zone: &str, state: &str, flows: u32, epochs: Value| {
        let upstreams = json!([upstream("ledger-1", state, flows, epochs)]);
        fake.put("report", zone, lease(zone, 2, 99, upstreams)["report"].clone());
    };
    for (state, flows) in [("ready", 1), ("down", 0)] {
        put_full_report("rvk-a", state, flows, json!([]));
        let refused = fake.run(&["keys", "prune"]);
        assert_eq!(refused.code, 1);
        assert!(refused.err.contains("ledger-1"), "{refused:?}");
    }
    let old_lease = lease("rvk-a", 2, 1, json!([upstream("ledger-1", "ready", 1, json!([2]))]));
    fake.put("report", "rvk-a", old_lease["report"].clone());
    let stale_report = fake.run(&["keys", "prune", "--timeout", "0.3"]);
    assert_eq!(
        stale_report.code, 1,
        "the full report is older than the rotation: {stale_report:?}"
    );
    put_full_report("rvk-a", "ready", 1, json!([1, 2]));
    assert_eq!(fake.run(&["keys", "prune"]).code, 0);
    assert_eq!(key_uses(), ["open", "seal"]);
    put_full_report("rvk-a", "ready", 1, json!([2]));
    fake.put("lease", "seed-rvk-b-0", lease("rvk-b", 1, 99, json!([])));
    let missing_report = fake.run(&["keys", "prune"]);
    assert!(missing_report.code == 1 && missing_report.err.contains("rvk-b"), "{missing_report:?}");
    put_full_report("rvk-b", "ready", 0, json!([]));
    assert_eq!(fake.run(&["keys", "prune"]).code, 0);
    assert_eq!(key_uses(), ["seal"]);
}
