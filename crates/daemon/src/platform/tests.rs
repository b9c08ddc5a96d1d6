use super::{fake::FakePlatform, *};

async fn start() -> (FakePlatform, Platform) {
    let (fake, address) = FakePlatform::start().await;
    (fake, Platform::new(address))
}

fn expect_written(put: PutOutcome) -> Object {
    match put {
        PutOutcome::Done(object) => object,
        PutOutcome::Conflict(current) => panic!("conflict with {current:?}"),
    }
}

#[tokio::test]
async fn a_write_whose_response_was_lost_is_resolved() {
    let (fake, platform) = start().await;
    fake.lose_next_response();
    let object =
        expect_written(platform.put(Kind::Lease, "l", 0, &json!({ "n": 1 })).await.unwrap());
    assert_eq!(fake.read("lease", "l"), Some(object.clone()), "written once");
    let next = platform.put(Kind::Lease, "l", object.version, &json!({ "n": 2 })).await;
    assert!(expect_written(next.unwrap()).version > object.version);
}

#[tokio::test]
async fn a_write_on_an_old_version_returns_the_current_object() {
    let (fake, platform) = start().await;
    let version = fake.write("lease", "l", json!({ "n": 1 }));
    fake.write("lease", "l", json!({ "n": 2 }));
    match platform.put(Kind::Lease, "l", version, &json!({ "n": 3 })).await.unwrap() {
        PutOutcome::Conflict(Some(current)) => assert_eq!(current.spec["n"], 2),
        other => panic!("{other:?}"),
    }
    assert_eq!(fake.read("lease", "l").unwrap().spec["n"], 2);
}

#[tokio::test]
async fn an_outage_error_names_the_operation_and_the_peer() {
    let (fake, platform) = start().await;
    fake.set_unavailable(true);
    let error = platform.get(Kind::Lease, "l").await.unwrap_err().to_string();
    assert!(error.starts_with("get lease/l at the platform 127.0.0.1:"), "{error}");
    let put = platform.put(Kind::Lease, "l", 0, &json!({})).await;
    assert!(matches!(put, Err(PlatformError::Unavailable { .. })));
}

#[tokio::test]
async fn versions_are_ordered_across_a_restore_of_the_platform() {
    let (fake, platform) = start().await;
    fake.write("service", "a", json!({ "n": 1 }));
    fake.take_backup();
    fake.write("service", "a", json!({ "n": 2 }));
    let before = platform.list(Kind::Service).await.unwrap();
    fake.restore_backup();
    let after = platform.list(Kind::Service).await.unwrap();
    assert!(after.revision > before.revision && after.items[0].version > before.items[0].version);
    assert_eq!(platform.era(), Some(1));
    fake.write("service", "a", json!({ "n": 3 }));
    let response = platform.watch(after.revision, Duration::ZERO).await.unwrap();
    assert_eq!(response.events[0].object.version, response.revision);
    assert!(response.revision > after.revision);
}

// A watch that continues across a reset would miss objects written at lower revision numbers.
#[tokio::test]
async fn a_watch_from_a_revision_of_an_earlier_era_is_too_old() {
    let (fake, platform) = start().await;
    fake.take_backup();
    let version = fake.write("service", "a", json!({ "n": 1 }));
    assert_eq!(platform.list(Kind::Service).await.unwrap().revision, version);
    fake.restore_backup();
    fake.write("service", "b", json!({ "n": 1 }));
    fake.write("service", "c", json!({ "n": 1 }));
    let response = platform.watch(version, Duration::ZERO).await;
    assert!(matches!(response, Err(PlatformError::TooOld { .. })), "{response:?}");
}

// After a reset, another writer's object can have the same version. Two processes then held one lease.
#[tokio::test]
async fn a_write_based_on_an_earlier_era_is_a_conflict() {
    let (fake, platform) = start().await;
    fake.take_backup();
    let own =
        expect_written(platform.put(Kind::Lease, "l", 0, &json!({ "holder": 1 })).await.unwrap());
    fake.restore_backup();
    assert_eq!(fake.write("lease", "l", json!({ "holder": 2 })), own.version);
    let current_object = platform.get(Kind::Lease, "l").await.unwrap().unwrap();
    let conflict = platform.put(Kind::Lease, "l", own.version, &json!({ "holder": 1 })).await;
    match conflict.unwrap() {
        PutOutcome::Conflict(current) => assert_eq!(current, Some(current_object)),
        other => panic!("{other:?}"),
    }
    assert_eq!(fake.read("lease", "l").unwrap().spec["holder"], 2);
}
