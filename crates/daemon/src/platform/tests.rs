use super::{fake::Fake, *};

async fn start() -> (Fake, Platform) {
    let (fake, address) = Fake::start().await;
    (fake, Platform::new(address))
}

fn done(put: Put) -> Object {
    match put {
        Put::Done(object) => object,
        Put::Conflict(current) => panic!("conflict with {current:?}"),
    }
}

#[tokio::test]
async fn a_write_whose_answer_was_lost_is_settled() {
    let (fake, platform) = start().await;
    fake.lose_next();
    let object = done(platform.put(Kind::Lease, "l", 0, &json!({ "n": 1 })).await.unwrap());
    assert_eq!(fake.read("lease", "l"), Some(object.clone()), "it took effect once");
    let next = platform.put(Kind::Lease, "l", object.version, &json!({ "n": 2 })).await;
    assert!(done(next.unwrap()).version > object.version);
}

#[tokio::test]
async fn a_write_on_an_old_version_is_a_conflict_with_what_is_there() {
    let (fake, platform) = start().await;
    let version = fake.write("lease", "l", json!({ "n": 1 }));
    fake.write("lease", "l", json!({ "n": 2 }));
    match platform.put(Kind::Lease, "l", version, &json!({ "n": 3 })).await.unwrap() {
        Put::Conflict(Some(current)) => assert_eq!(current.spec["n"], 2),
        other => panic!("{other:?}"),
    }
    assert_eq!(fake.read("lease", "l").unwrap().spec["n"], 2);
}

#[tokio::test]
async fn an_outage_is_an_error_that_names_step_and_peer() {
    let (fake, platform) = start().await;
    fake.set_down(true);
    let error = platform.get(Kind::Lease, "l").await.unwrap_err().to_string();
    assert!(error.starts_with("get lease/l at the platform 127.0.0.1:"), "{error}");
    let put = platform.put(Kind::Lease, "l", 0, &json!({})).await;
    assert!(matches!(put, Err(PlatformError::Unavailable { .. })));
}

#[tokio::test]
async fn versions_are_ordered_over_a_reset_of_the_platform() {
    let (fake, platform) = start().await;
    fake.write("service", "a", json!({ "n": 1 }));
    fake.keep_copy();
    fake.write("service", "a", json!({ "n": 2 }));
    let before = platform.list(Kind::Service).await.unwrap();
    fake.reset();
    let after = platform.list(Kind::Service).await.unwrap();
    assert!(after.revision > before.revision && after.items[0].version > before.items[0].version);
    assert_eq!(platform.era(), Some(1));
    fake.write("service", "a", json!({ "n": 3 }));
    let watched = platform.watch(after.revision, Duration::ZERO).await.unwrap();
    assert_eq!(watched.events[0].object.version, watched.revision);
    assert!(watched.revision > after.revision);
}

// A watch that went on from the number of a former era would miss what was written below it.
#[tokio::test]
async fn a_watch_does_not_go_on_from_a_revision_of_a_former_era() {
    let (fake, platform) = start().await;
    fake.keep_copy();
    let version = fake.write("service", "a", json!({ "n": 1 }));
    assert_eq!(platform.list(Kind::Service).await.unwrap().revision, version);
    fake.reset();
    fake.write("service", "b", json!({ "n": 1 }));
    fake.write("service", "c", json!({ "n": 1 }));
    let watched = platform.watch(version, Duration::ZERO).await;
    assert!(matches!(watched, Err(PlatformError::TooOld { .. })), "{watched:?}");
}

// The platform gave the number on which a write was based to another writer's object: two processes held one lease.
#[tokio::test]
async fn a_write_based_on_a_former_era_is_a_conflict() {
    let (fake, platform) = start().await;
    fake.keep_copy();
    let own = done(platform.put(Kind::Lease, "l", 0, &json!({ "holder": 1 })).await.unwrap());
    fake.reset();
    assert_eq!(fake.write("lease", "l", json!({ "holder": 2 })), own.version);
    let seen = platform.get(Kind::Lease, "l").await.unwrap().unwrap();
    let conflict = platform.put(Kind::Lease, "l", own.version, &json!({ "holder": 1 })).await;
    match conflict.unwrap() {
        Put::Conflict(current) => assert_eq!(current, Some(seen)),
        other => panic!("{other:?}"),
    }
    assert_eq!(fake.read("lease", "l").unwrap().spec["holder"], 2);
}
