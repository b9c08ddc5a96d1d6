//! Property tests of the parsers, the output and key rotation.

use std::collections::BTreeSet;

use camphorwinch_cli::{
    config::{Flags, PLATFORM_VAR, Settings, TIMEOUT_VAR},
    error::Error,
    keys, manifest,
    output::{Table, age, utc},
    rollout,
    timeline::Merger,
};
use camphorwinch_core::{
    object::{KeyUse, Object, Spec},
    report::Lease,
    timeline::{Event, EventKey, Timeline},
};
use quickcheck::{TestResult, quickcheck};
use serde::Deserialize as _;
use serde_json::{Value, json};

fn arbitrary_json(seed: &[u8], depth: u8) -> Value {
    let Some((first, rest)) = seed.split_first() else { return Value::Null };
    let words = ["kind", "items", "name", "spec", "version", "service", "report", "events", "ms"];
    let word = words[usize::from(*first) % words.len()];
    match first % 7 {
        _ if depth == 0 => json!(word),
        0 => json!([arbitrary_json(rest, depth - 1), word]),
        1 => json!(first),
        2 => json!(-1.5),
        3 => Value::Null,
        4 => json!(word),
        _ => json!({word: arbitrary_json(rest, depth - 1), "kind": "service", "name": word}),
    }
}

quickcheck! {
    fn manifest_rejects_arbitrary_text(text: String) -> bool {
        // Generated text is never a valid manifest, whether it is JSON or not.
        manifest::parse(&text).is_err()
    }

    fn manifest_handles_arbitrary_json(seed: Vec<u8>) -> bool {
        let text = arbitrary_json(&seed, 6).to_string();
        match manifest::parse(&text) {
            Ok(objects) => !objects.is_empty() && objects.iter().all(|it| Spec::parse(it).is_err()),
            Err(reason) => !reason.is_empty(),
        }
    }

    fn list_and_items_parse_to_the_same_objects(names: Vec<u16>) -> TestResult {
        let names: BTreeSet<u16> = names.into_iter().collect();
        if names.is_empty() {
            return TestResult::discard();
        }
        let object = |n: &u16| json!({"kind": "change", "name": format!("n{n}"), "spec": {}});
        let list: Vec<Value> = names.iter().map(object).collect();
        let plain = manifest::parse(&json!(list).to_string());
        let items = manifest::parse(&json!({"items": list}).to_string());
        let read = plain.as_ref().is_ok_and(|it| it.len() == names.len());
        TestResult::from_bool(read && plain == items)
    }

    fn reports_and_timelines_handle_arbitrary_json(seed: Vec<u8>) -> bool {
        let spec = arbitrary_json(&seed, 6);
        let object = Object { kind: "timeline".into(), name: "x".into(), version: 1, writer: String::new(), spec };
        let zones = rollout::latest_reports(std::slice::from_ref(&object));
        let readable = Lease::deserialize(&object.spec).is_ok_and(|it| it.report.is_some());
        let keys: BTreeSet<EventKey> = Timeline::deserialize(&object.spec)
            .map_or_else(|_| BTreeSet::new(), |it| it.events.iter().map(Event::key).collect());
        let events = Merger::new().merge_new([object]);
        events.len() == keys.len() && zones.len() == usize::from(readable)
    }

    fn settings_handle_arbitrary_text(platform: String, timeout: String, output: String) -> bool {
        let flags = Flags { platform: Some(platform), timeout: Some(timeout), output: Some(output) };
        match Settings::new(&[&flags], |_| None) {
            Ok(it) => it.platform.port_u16().is_some(),
            Err(Error::InvalidSettings(invalid)) => !invalid.is_empty(),
            Err(_) => false,
        }
    }

    fn table_prints_one_line_per_row(cells: Vec<(String, String)>) -> bool {
        let mut table = Table::new(&["A", "B"]);
        for (a, b) in &cells {
            table.push([a.clone(), b.clone()]);
        }
        let text = table.to_string();
        text.lines().count() == cells.len() + 1 && !text.contains('\u{1b}')
    }

    fn times_format_any_number(now: u64, ms: u64) -> bool {
        !utc(ms).is_empty() && !age(now, ms).is_empty()
    }

    fn keys_stay_valid_after_any_sequence_of_changes(steps: Vec<u8>, in_use: BTreeSet<u8>) -> bool {
        let mut keys = keys::generate();
        for step in steps {
            let before = keys.clone();
            keys = match step % 3 {
                0 => keys::add(&keys).unwrap_or(keys),
                1 => keys::seal_next(&keys).unwrap(),
                _ => keys::prune(&keys, usize::from(step / 64), &in_use).unwrap(),
            };
            let object = Object { kind: "keys".into(), name: "fleet".into(), version: 1, writer: String::new(),
                spec: json!(keys) };
            let kept = before.keys.iter().all(|it| {
                keys.keys.iter().any(|key| key.epoch == it.epoch)
                    || (it.usage == KeyUse::Open && !in_use.contains(&it.epoch))
            });
            if Spec::parse(&object).is_err() || !kept || keys.reset != before.reset {
                return false;
            }
        }
        true
    }
}

#[test]
fn all_invalid_settings_are_listed() {
    let flags = Flags { output: Some("xml".into()), ..Flags::default() };
    let var = |name: &str| match name {
        PLATFORM_VAR => Some("https://127.0.0.1:80".to_owned()),
        TIMEOUT_VAR => Some("-1".to_owned()),
        _ => None,
    };
    let Err(Error::InvalidSettings(invalid)) = Settings::new(&[&flags], var) else {
        panic!("no faults")
    };
    let values: Vec<&str> = invalid.iter().map(|it| it.value.as_str()).collect();
    assert_eq!(values, ["https://127.0.0.1:80", "-1", "xml"]);
}

#[test]
fn first_flag_wins_over_later_flags_and_the_variable() {
    let flags = |it: &str| Flags { platform: Some(it.to_owned()), ..Flags::default() };
    let (inner, outer) = (flags("http://127.0.0.1:1"), flags("http://127.0.0.1:2"));
    let var = |name: &str| (name == PLATFORM_VAR).then(|| "http://127.0.0.1:3".to_owned());
    let port = |flags: &[&Flags]| Settings::new(flags, var).unwrap().platform.port_u16();
    assert_eq!(port(&[&inner, &outer]), Some(1));
    assert_eq!(port(&[&Flags::default(), &outer]), Some(2));
    assert_eq!(port(&[&Flags::default()]), Some(3));
}

#[test]
fn error_names_the_invalid_entry() {
    let entry = json!({"kind": "change", "name": "a", "spec": {}});
    let duplicate = manifest::parse(&json!([entry, entry]).to_string());
    assert_eq!(duplicate.unwrap_err(), "[1]: change/a stands twice");
    let unknown_field =
        manifest::parse(r#"{"items":[{"kind":"change","name":"a","spec":{},"colour":1}]}"#);
    assert!(unknown_field.unwrap_err().starts_with("items[0]: unknown field `colour`"));
}
