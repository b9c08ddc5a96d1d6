//! Writes under conflict, lost answers and outages.

use crate::fake::{Fake, Fault, Step, ledger, service};
use serde_json::json;

#[test]
fn apply_creates_updates_and_leaves_alone() {
    let fake = Fake::new();
    let created = fake.apply(&ledger("a"));
    assert_eq!(created.code, 0, "{created:?}");
    let applied = json!([{"object": "service/ledger", "outcome": "created", "version": 1}]);
    assert_eq!(created.json(), applied);
    assert_eq!(fake.apply(&ledger("a")).json()[0]["outcome"], "unchanged");
    assert_eq!(fake.apply(&json!({"items": [ledger("b")]})).json()[0]["outcome"], "updated");
    assert_eq!(fake.get("service", "ledger").unwrap()["spec"]["pool"], "b");
    assert_eq!(fake.store.lock().unwrap().puts, 2);
}

#[test]
fn apply_writes_nothing_when_one_object_is_not_valid() {
    let fake = Fake::new();
    let bad = json!({"kind": "service", "name": "mail", "spec": service("127.0.9.2:0", "a")});
    let run = fake.apply(&json!([ledger("a"), bad]));
    assert_eq!(run.code, 2);
    assert!(run.err.contains("service/mail.spec.address: the port"), "{run:?}");
    assert_eq!(fake.store.lock().unwrap().puts, 0);
}

#[test]
fn apply_refuses_an_address_that_a_stored_service_has() {
    let fake = Fake::new();
    fake.put("service", "mail", service("127.0.9.1:4433", "a"));
    let run = fake.apply(&ledger("a"));
    assert_eq!(run.code, 2);
    assert!(run.err.contains("is also the address of"), "{run:?}");
    assert_eq!(fake.store.lock().unwrap().puts, 0);
}

#[test]
fn two_services_written_at_once_with_one_address_are_a_conflict() {
    let other = Step::Put("service", "mail", service("127.0.9.1:4433", "a"));
    let fake = Fake::with_faults([Fault::Race(vec![other])]);
    let run = fake.apply(&ledger("a"));
    assert_eq!(run.code, 3, "{run:?}");
    assert!(run.err.contains("is also the address of"), "{run:?}");
}

#[test]
fn another_version_than_the_one_asked_for_is_a_conflict_with_both_values() {
    let fake = Fake::new();
    let version = fake.put("service", "ledger", service("127.0.9.1:4433", "theirs"));
    let mut object = ledger("mine");
    object["version"] = json!(version + 1);
    let run = fake.apply(&object);
    assert_eq!(run.code, 3, "{run:?}");
    assert!(run.err.contains("mine") && run.err.contains("theirs"), "{run:?}");
    object["version"] = json!(version);
    assert_eq!(fake.apply(&object).code, 0);
}

#[test]
fn loser_of_a_race_gets_a_conflict_with_both_values() {
    let theirs = Step::Put("service", "ledger", service("127.0.9.1:4433", "theirs"));
    let fake = Fake::with_faults([Fault::Race(vec![theirs])]);
    fake.put("service", "ledger", service("127.0.9.1:4433", "old"));
    let run = fake.apply(&ledger("mine"));
    assert_eq!(run.code, 3, "{run:?}");
    assert!(run.err.contains("mine") && run.err.contains("theirs"), "{run:?}");
    assert_eq!(fake.get("service", "ledger").unwrap()["spec"]["pool"], "theirs");
}

#[test]
fn answer_lost_after_the_write_is_found_by_its_mark() {
    let fake = Fake::with_faults([Fault::LoseAfter(vec![Step::Forget])]);
    let run = fake.apply(&ledger("a"));
    assert_eq!((run.code, run.json()[0]["version"].as_u64()), (0, Some(1)), "{run:?}");
    let store = fake.store.lock().unwrap();
    assert_eq!((store.puts, store.revision), (1, 1));
}

#[test]
fn answer_lost_before_the_write_is_sent_again() {
    let fake = Fake::with_faults([Fault::LoseBefore, Fault::Refuse(503), Fault::Refuse(429)]);
    let run = fake.apply(&ledger("a"));
    assert_eq!(run.code, 0, "{run:?}");
    let store = fake.store.lock().unwrap();
    assert_eq!((store.puts, store.revision), (4, 1));
}

#[test]
fn lost_write_that_takes_effect_late_is_found() {
    let fake = Fake::with_faults([Fault::LoseBefore, Fault::Race(vec![Step::Late])]);
    let run = fake.apply(&ledger("mine"));
    assert_eq!((run.code, run.json()[0]["version"].as_u64()), (0, Some(1)), "{run:?}");

    let theirs = Step::Put("service", "ledger", service("127.0.9.1:4433", "theirs"));
    let fake = Fake::with_faults([Fault::LoseBefore, Fault::Race(vec![Step::Late, theirs])]);
    let run = fake.apply(&ledger("mine"));
    assert_eq!((run.code, run.json()[0]["version"].as_u64()), (0, Some(1)), "{run:?}");
}

#[test]
fn lost_write_that_was_replaced_since_is_found_in_the_history() {
    let theirs = Step::Put("service", "ledger", service("127.0.9.1:4433", "theirs"));
    for fault in [Fault::LoseAfter(vec![theirs.clone()]), Fault::FailAfter(vec![theirs])] {
        let fake = Fake::with_faults([fault]);
        let run = fake.apply(&ledger("mine"));
        assert_eq!((run.code, run.json()[0]["version"].as_u64()), (0, Some(1)), "{run:?}");
    }
}

#[test]
fn lost_write_that_was_deleted_since_is_not_written_again() {
    let fake = Fake::with_faults([Fault::LoseAfter(vec![Step::Delete("service", "ledger")])]);
    let run = fake.apply(&ledger("mine"));
    assert_eq!(run.code, 0, "{run:?}");
    assert_eq!(fake.get("service", "ledger"), None);
}

#[test]
fn lost_write_without_a_trace_is_unknown() {
    let theirs = Step::Put("service", "ledger", service("127.0.9.1:4433", "theirs"));
    let fake = Fake::with_faults([Fault::LoseAfter(vec![theirs, Step::Forget])]);
    let run = fake.apply(&ledger("mine"));
    assert_eq!(run.code, 5, "{run:?}");
    assert!(run.err.contains("outcome unknown"), "{run:?}");
    assert!(run.err.contains("mine") && run.err.contains("theirs"), "{run:?}");
}

#[test]
fn write_that_hangs_is_unknown_after_the_timeout() {
    let fake = Fake::with_faults([Fault::Hang, Fault::Hang, Fault::Hang]);
    let input = ledger("a").to_string();
    let run = fake.run_with(&["apply", "-f", "-", "--timeout", "1"], &input);
    assert_eq!(run.code, 5, "{run:?}");
    assert!(run.err.contains("outcome unknown"), "{run:?}");
}

#[test]
fn outage_is_told_apart_from_a_lost_write() {
    let fake = Fake::new();
    fake.store.lock().unwrap().outage = true;
    let run = fake.run(&["get", "service", "--timeout", "0.3"]);
    assert_eq!(run.code, 5);
    assert!(run.err.contains("not available") && run.err.contains("outage"), "{run:?}");

    let limited = Fake::with_faults([Fault::Refuse(429), Fault::Refuse(429)]);
    let input = ledger("a").to_string();
    let run = limited.run_with(&["apply", "-f", "-", "--timeout", "0.5"], &input);
    assert_eq!(run.code, 5);
    assert!(run.err.contains("nothing was written"), "{run:?}");
}

#[test]
fn delete_is_conditional_and_settles_lost_answers() {
    let fake = Fake::with_faults([Fault::LoseAfter(vec![])]);
    fake.put("service", "ledger", service("127.0.9.1:4433", "a"));
    assert_eq!(fake.run(&["delete", "service", "ledger"]).code, 0);
    assert_eq!(fake.get("service", "ledger"), None);
    assert_eq!(fake.run(&["delete", "service", "ledger"]).code, 4);

    let version = fake.put("service", "ledger", service("127.0.9.1:4433", "b"));
    let old = (version - 1).to_string();
    let run = fake.run(&["delete", "service", "ledger", "--version", &old]);
    assert_eq!(run.code, 3, "{run:?}");

    let theirs = Step::Put("service", "ledger", service("127.0.9.1:4433", "theirs"));
    fake.store.lock().unwrap().faults.push_back(Fault::Race(vec![theirs]));
    let run = fake.run(&["delete", "service", "ledger"]);
    assert_eq!(run.code, 3, "{run:?}");
    assert!(run.err.contains("theirs"), "{run:?}");
}

#[test]
fn drain_and_undrain_write_one_change() {
    let fake = Fake::new();
    assert_eq!(fake.run(&["drain", "--zone", "rvk-a"]).code, 0);
    assert_eq!(fake.run(&["drain", "--zone", "rvk-a"]).code, 0);
    let change = fake.get("change", "drain-zone-rvk-a").unwrap();
    assert_eq!(change["spec"], json!({"action": "drain", "target": {"zone": "rvk-a"}}));
    assert_eq!(fake.run(&["undrain", "--zone", "rvk-a"]).code, 0);
    assert_eq!(fake.run(&["undrain", "--zone", "rvk-a"]).code, 4);
    assert_eq!(fake.run(&["drain", "--zone", "a", "--vm", "b"]).code, 2);
}

// A write replaced another operator's object unnoticed: between the read on which it was based and the write the platform had come
// back from an older copy, and the object there had the same number.
#[test]
fn a_write_over_a_reset_of_the_platform_is_reported() {
    let fake = Fake::new();
    fake.put("service", "ledger", service("127.0.9.1:4433", "theirs"));
    fake.store.lock().unwrap().faults.push_back(Fault::Race(vec![Step::Reset]));
    let run = fake.apply(&ledger("mine"));
    assert_ne!(run.code, 0, "{run:?}");
    assert!(run.err.contains("came back from an older copy"), "{run:?}");
}

#[test]
fn versions_go_on_growing_over_a_reset_of_the_platform() {
    let fake = Fake::new();
    let before = fake.apply(&ledger("a")).json()[0]["version"].as_u64().unwrap();
    fake.store.lock().unwrap().era = 1;
    let after = fake.apply(&ledger("b")).json()[0]["version"].as_u64().unwrap();
    assert!(after > before, "{after}");
    let mut object = ledger("c");
    object["version"] = json!(before);
    assert_eq!(fake.apply(&object).code, 3, "a version of before is a conflict");
    object["version"] = json!(after);
    assert_eq!(fake.apply(&object).code, 0);
}
