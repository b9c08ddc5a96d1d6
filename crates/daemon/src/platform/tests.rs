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
