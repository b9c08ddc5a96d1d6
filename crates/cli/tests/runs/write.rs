//! Writes with conflicts, lost responses and outages.

use crate::fake_platform::{Action, FakePlatform, Fault, ledger, service};
use serde_json::json;

#[test]
fn apply_creates_updates_and_skips_unchanged_objects() {
    let fake = FakePlatform::new();
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
fn apply_writes_nothing_if_one_object_is_invalid() {
    let fake = FakePlatform::new();
    let bad = json!({"kind": "service", "name": "mail", "spec": service("127.0.9.2:0", "a")});
    let run = fake.apply(&json!([ledger("a"), bad]));
    assert_eq!(run.code, 2);
    assert!(run.err.contains("service/mail.spec.address: the port"), "{run:?}");
    assert_eq!(fake.store.lock().unwrap().puts, 0);
}

#[test]
fn apply_rejects_the_address_of_a_stored_service() {
    let fake = FakePlatform::new();
    fake.put("service", "mail", service("127.0.9.1:4433", "a"));
    let run = fake.apply(&ledger("a"));
    assert_eq!(run.code, 2);
    assert!(run.err.contains("is also the address of"), "{run:?}");
    assert_eq!(fake.store.lock().unwrap().puts, 0);
}

#[test]
fn concurrent_services_with_one_address_are_a_conflict() {
    let other = Action::Put("service", "mail", service("127.0.9.1:4433", "a"));
    let fake = FakePlatform::with_faults([Fault::ConcurrentWrites(vec![other])]);
    let run = fake.apply(&ledger("a"));
    assert_eq!(run.code, 3, "{run:?}");
    assert!(run.err.contains("is also the address of"), "{run:?}");
}

#[test]
fn version_mismatch_is_a_conflict_that_shows_both_values() {
    let fake = FakePlatform::new();
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
fn concurrent_write_is_a_conflict_that_shows_both_values() {
    let theirs = Action::Put("service", "ledger", service("127.0.9.1:4433", "theirs"));
    let fake = FakePlatform::with_faults([Fault::ConcurrentWrites(vec![theirs])]);
    fake.put("service", "ledger", service("127.0.9.1:4433", "old"));
    let run = fake.apply(&ledger("mine"));
    assert_eq!(run.code, 3, "{run:?}");
    assert!(run.err.contains("mine") && run.err.contains("theirs"), "{run:?}");
    assert_eq!(fake.get("service", "ledger").unwrap()["spec"]["pool"], "theirs");
}

#[test]
fn write_with_a_lost_response_is_found_by_its_writer_id() {
    let fake = FakePlatform::with_faults([Fault::LoseResponse(vec![Action::DropHistory])]);
    let run = fake.apply(&ledger("a"));
    assert_eq!((run.code, run.json()[0]["version"].as_u64()), (0, Some(1)), "{run:?}");
    let store = fake.store.lock().unwrap();
    assert_eq!((store.puts, store.revision), (1, 1));
}

#[test]
fn write_that_did_not_take_effect_is_sent_again() {
    let fake =
        FakePlatform::with_faults([Fault::LoseRequest, Fault::Reject(503), Fault::Reject(429)]);
    let run = fake.apply(&ledger("a"));
    assert_eq!(run.code, 0, "{run:?}");
    let store = fake.store.lock().unwrap();
    assert_eq!((store.puts, store.revision), (4, 1));
}

#[test]
fn write_that_takes_effect_late_is_found() {
    let fake = FakePlatform::with_faults([
        Fault::LoseRequest,
        Fault::ConcurrentWrites(vec![Action::ApplyLostWrite]),
    ]);
    let run = fake.apply(&ledger("mine"));
    assert_eq!((run.code, run.json()[0]["version"].as_u64()), (0, Some(1)), "{run:?}");

    let theirs = Action::Put("service", "ledger", service("127.0.9.1:4433", "theirs"));
    let fake = FakePlatform::with_faults([
        Fault::LoseRequest,
        Fault::ConcurrentWrites(vec![Action::ApplyLostWrite, theirs]),
    ]);
    let run = fake.apply(&ledger("mine"));
    assert_eq!((run.code, run.json()[0]["version"].as_u64()), (0, Some(1)), "{run:?}");
}

#[test]
fn write_that_was_replaced_is_found_in_the_event_history() {
    let theirs = Action::Put("service", "ledger", service("127.0.9.1:4433", "theirs"));
    for fault in [Fault::LoseResponse(vec![theirs.clone()]), Fault::FailResponse(vec![theirs])] {
        let fake = FakePlatform::with_faults([fault]);
        let run = fake.apply(&ledger("mine"));
        assert_eq!((run.code, run.json()[0]["version"].as_u64()), (0, Some(1)), "{run:?}");
    }
}

#[test]
fn write_that_was_deleted_is_not_sent_again() {
    let fake =
        FakePlatform::with_faults([Fault::LoseResponse(vec![Action::Delete("service", "ledger")])]);
    let run = fake.apply(&ledger("mine"));
    assert_eq!(run.code, 0, "{run:?}");
    assert_eq!(fake.get("service", "ledger"), None);
}

#[test]
fn write_missing_from_the_event_history_has_an_unknown_outcome() {
    let theirs = Action::Put("service", "ledger", service("127.0.9.1:4433", "theirs"));
    let fake = FakePlatform::with_faults([Fault::LoseResponse(vec![theirs, Action::DropHistory])]);
    let run = fake.apply(&ledger("mine"));
    assert_eq!(run.code, 5, "{run:?}");
    assert!(run.err.contains("outcome unknown"), "{run:?}");
    assert!(run.err.contains("mine") && run.err.contains("theirs"), "{run:?}");
}

#[test]
fn write_that_hangs_has_an_unknown_outcome_after_the_timeout() {
    let fake = FakePlatform::with_faults([Fault::Hang, Fault::Hang, Fault::Hang]);
    let input = ledger("a").to_string();
    let run = fake.run_with(&["apply", "-f", "-", "--timeout", "1"], &input);
    assert_eq!(run.code, 5, "{run:?}");
    assert!(run.err.contains("outcome unknown"), "{run:?}");
}

#[test]
fn outage_without_a_write_is_not_an_unknown_outcome() {
    let fake = FakePlatform::new();
    fake.store.lock().unwrap().outage = true;
    let run = fake.run(&["get", "service", "--timeout", "0.3"]);
    assert_eq!(run.code, 5);
    assert!(run.err.contains("not available") && run.err.contains("outage"), "{run:?}");

    let limited = FakePlatform::with_faults([Fault::Reject(429), Fault::Reject(429)]);
    let input = ledger("a").to_string();
    let run = limited.run_with(&["apply", "-f", "-", "--timeout", "0.5"], &input);
    assert_eq!(run.code, 5);
    assert!(run.err.contains("nothing was written"), "{run:?}");
}

#[test]
fn delete_is_conditional_and_resolves_lost_responses() {
    let fake = FakePlatform::with_faults([Fault::LoseResponse(vec![])]);
    fake.put("service", "ledger", service("127.0.9.1:4433", "a"));
    assert_eq!(fake.run(&["delete", "service", "ledger"]).code, 0);
    assert_eq!(fake.get("service", "ledger"), None);
    assert_eq!(fake.run(&["delete", "service", "ledger"]).code, 4);

    let version = fake.put("service", "ledger", service("127.0.9.1:4433", "b"));
    let old = (version - 1).to_string();
    let run = fake.run(&["delete", "service", "ledger", "--version", &old]);
    assert_eq!(run.code, 3, "{run:?}");

    let theirs = Action::Put("service", "ledger", service("127.0.9.1:4433", "theirs"));
    fake.store.lock().unwrap().faults.push_back(Fault::ConcurrentWrites(vec![theirs]));
    let run = fake.run(&["delete", "service", "ledger"]);
    assert_eq!(run.code, 3, "{run:?}");
    assert!(run.err.contains("theirs"), "{run:?}");
}

#[test]
fn drain_and_undrain_write_one_change() {
    let fake = FakePlatform::new();
    assert_eq!(fake.run(&["drain", "--zone", "rvk-a"]).code, 0);
    assert_eq!(fake.run(&["drain", "--zone", "rvk-a"]).code, 0);
    let change = fake.get("change", "drain-zone-rvk-a").unwrap();
    assert_eq!(change["spec"], json!({"action": "drain", "target": {"zone": "rvk-a"}}));
    assert_eq!(fake.run(&["undrain", "--zone", "rvk-a"]).code, 0);
    assert_eq!(fake.run(&["undrain", "--zone", "rvk-a"]).code, 4);
    assert_eq!(fake.run(&["drain", "--zone", "a", "--vm", "b"]).code, 2);
}

// Guards against a write that silently replaces another writer's object with the same version number after the platform
// is reset to an older copy.
#[test]
fn write_across_a_restore_of_the_platform_is_reported() {
    let fake = FakePlatform::new();
    fake.put("service", "ledger", service("127.0.9.1:4433", "theirs"));
    fake.store
        .lock()
        .unwrap()
        .faults
        .push_back(Fault::ConcurrentWrites(vec![Action::RestoreFromCopy]));
    let run = fake.apply(&ledger("mine"));
    assert_ne!(run.code, 0, "{run:?}");
    assert!(run.err.contains("came back from an older copy"), "{run:?}");
}

#[test]
fn versions_keep_growing_across_a_restore_of_the_platform() {
    let fake = FakePlatform::new();
    let before = fake.apply(&ledger("a")).json()[0]["version"].as_u64().unwrap();
    fake.store.lock().unwrap().era = 1;
    let after = fake.apply(&ledger("b")).json()[0]["version"].as_u64().unwrap();
    assert!(after > before, "{after}");
    let mut object = ledger("c");
    object["version"] = json!(before);
    assert_eq!(fake.apply(&object).code, 3, "a version from before the restore is a conflict");
    object["version"] = json!(after);
    assert_eq!(fake.apply(&object).code, 0);
}
