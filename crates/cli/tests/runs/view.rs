//! What the commands that only read show, and the fleet's keys.

use std::{
    io::{BufRead as _, BufReader, Read},
    process::Stdio,
    sync::mpsc::{Receiver, channel},
    thread,
    time::Duration,
};

use crate::fake::{Fake, service};
use serde_json::{Value, json};

const PATIENCE: Duration = Duration::from_secs(20);

fn lines<R>(from: R) -> Receiver<String>
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
fn help_and_completion_are_no_errors() {
    let fake = Fake::new();
    let help = fake.run(&["--help"]);
    assert!(help.code == 0 && help.out.contains("Exit codes"), "{help:?}");
    for shell in ["bash", "zsh", "fish", "elvish"] {
        let script = fake.run(&[&format!("--bpaf-complete-style-{shell}")]);
        assert!(script.code == 0 && script.out.contains("camphorwinch"), "{script:?}");
    }
    let words = fake.run(&["--bpaf-complete-rev=8", "un"]);
    assert!(words.out.contains("undrain"), "{words:?}");
}

#[test]
fn status_shows_what_is_in_force_and_drain_progress() {
    let fake = Fake::new();
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
fn apply_waits_until_in_force_and_names_who_lags() {
    let fake = Fake::new();
    fake.put("lease", "seed-rvk-a-0", lease("rvk-a", 1, 0, json!([])));
    let input = crate::fake::ledger("a").to_string();
    let args = ["apply", "-f", "-", "--wait", "--timeout", "0.5"];
    let run = fake.run_with(&args, &input);
    assert_eq!(run.code, 1, "{run:?}");
    assert!(run.err.contains("rvk-a") && run.err.contains("slow-1"), "{run:?}");
    fake.put("lease", "seed-rvk-a-0", lease("rvk-a", 2, 9, json!([])));
    assert_eq!(fake.run_with(&args, &input).code, 0);
}

#[test]
fn timeline_merges_zones_and_filters() {
    let fake = Fake::new();
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
    let some =
        fake.run(&["timeline", "--flow", "0AB", "--service", "ledger", "--output", "json"]).json();
    assert_eq!(some.as_array().unwrap().len(), 2);
    assert!(fake.run(&["timeline", "--upstream", "none"]).out.lines().count() == 1);
}

#[test]
fn watch_goes_on_through_an_outage_and_lost_history() {
    let fake = Fake::new();
    fake.put("service", "first", service("127.0.9.1:1", "a"));
    let mut child = fake
        .command(&["watch", "service", "--output", "json"])
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let lines = lines(child.stdout.take().unwrap());
    let next = || -> (String, String) {
        let event: Value = serde_json::from_str(&lines.recv_timeout(PATIENCE).unwrap()).unwrap();
        let text = |it: &Value| it.as_str().unwrap().to_owned();
        (text(&event["type"]), text(&event["object"]["name"]))
    };
    assert_eq!(next(), ("put".into(), "first".into()));

    fake.store.lock().unwrap().outage = true;
    let errors = self::lines(child.stderr.take().unwrap());
    assert!(errors.recv_timeout(PATIENCE).unwrap().contains("outage"));
    {
        let mut store = fake.store.lock().unwrap();
        store.objects.clear();
        store.put("service", "second", "other", &service("127.0.9.1:2", "a"));
        store.forget();
        store.outage = false;
    }
    let mut seen = [next(), next()];
    seen.sort();
    assert_eq!(seen, [("delete".into(), "first".into()), ("put".into(), "second".into())]);
    child.kill().unwrap();
    child.wait().unwrap();
}

#[test]
fn keys_rotate_in_steps_and_prune_only_what_no_flow_needs() {
    let fake = Fake::new();
    assert_eq!(fake.run(&["keys", "init"]).code, 0);
    let again = fake.run(&["keys", "init"]);
    assert_eq!(again.code, 3);
    let keys = fake.get("keys", "fleet").unwrap();
    let secret = keys["spec"]["keys"][0]["secret"].as_str().unwrap();
    assert!(again.err.contains("(hidden)") && !again.err.contains(secret), "{again:?}");
    assert!(!fake.run(&["get", "keys", "fleet"]).out.contains(secret));
    assert!(fake.run(&["get", "keys", "fleet", "--secrets"]).out.contains(secret));

    let uses = || -> Vec<Value> {
        let keys = fake.get("keys", "fleet").unwrap();
        keys["spec"]["keys"].as_array().unwrap().iter().map(|it| it["use"].clone()).collect()
    };
    let stopped = fake.run(&["keys", "rotate", "--timeout", "0.3"]);
    assert_eq!(stopped.code, 1, "{stopped:?}");
    assert_eq!(uses(), ["seal", "open"]);

    fake.put("lease", "seed-rvk-a-0", lease("rvk-a", 1, 99, json!([])));
    assert_eq!(fake.run(&["keys", "rotate"]).code, 0);
    assert_eq!(uses(), ["open", "seal"]);

    let unseen = fake.run(&["keys", "prune", "--timeout", "0.3"]);
    assert_eq!(unseen.code, 1, "{unseen:?}");
    let whole = |zone: &str, state: &str, flows: u32, epochs: Value| {
        let upstreams = json!([upstream("ledger-1", state, flows, epochs)]);
        fake.put("report", zone, lease(zone, 2, 99, upstreams)["report"].clone());
    };
    for (state, flows) in [("ready", 1), ("down", 0)] {
        whole("rvk-a", state, flows, json!([]));
        let silent = fake.run(&["keys", "prune"]);
        assert_eq!(silent.code, 1);
        assert!(silent.err.contains("ledger-1"), "{silent:?}");
    }
    let old = lease("rvk-a", 2, 1, json!([upstream("ledger-1", "ready", 1, json!([2]))]));
    fake.put("report", "rvk-a", old["report"].clone());
    let early = fake.run(&["keys", "prune", "--timeout", "0.3"]);
    assert_eq!(early.code, 1, "the whole report is older than the rotation: {early:?}");
    whole("rvk-a", "ready", 1, json!([1, 2]));
    assert_eq!(fake.run(&["keys", "prune"]).code, 0);
    assert_eq!(uses(), ["open", "seal"]);
    whole("rvk-a", "ready", 1, json!([2]));
    fake.put("lease", "seed-rvk-b-0", lease("rvk-b", 1, 99, json!([])));
    let missing = fake.run(&["keys", "prune"]);
    assert!(missing.code == 1 && missing.err.contains("rvk-b"), "{missing:?}");
    whole("rvk-b", "ready", 0, json!([]));
    assert_eq!(fake.run(&["keys", "prune"]).code, 0);
    assert_eq!(uses(), ["seal"]);
}
