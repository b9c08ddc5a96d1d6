//! Platform emulator: conditional writes, watches and faults.

mod client;

use std::time::Duration;

use camphorwinch_standin::platform::{Counts, Faults, Outage, Platform};
use client::Client;
use serde_json::{Value, json};

async fn start(history: usize, faults: Faults) -> (Platform, Client) {
    let listen = "127.0.0.1:0".parse().unwrap();
    let platform = Platform::start(listen, history, 7, faults).await.unwrap();
    let client = Client::new(platform.addr());
    (platform, client)
}

fn put_body(version: u64, spec: u64) -> Value {
    json!({ "version": version, "writer": format!("{spec:032x}"), "spec": spec })
}

async fn set_faults(client: &Client, faults: &Faults) {
    let response = client.put("/admin/faults", &json!(faults)).await.unwrap();
    assert_eq!(response.status, 200, "{response:?}");
}

async fn counts(client: &Client) -> Counts {
    serde_json::from_value(client.get("/admin/counts").await.unwrap().json()).unwrap()
}

#[tokio::test]
async fn writes_are_conditional() {
    let (_platform, client) = start(16, Faults::default()).await;
    let created = client.put("/v1/objects/service/ledger", &put_body(0, 1)).await.unwrap();
    assert_eq!((created.status, &created.json()["version"]), (200, &json!(1)));
    let again = client.put("/v1/objects/service/ledger", &put_body(0, 2)).await.unwrap();
    assert_eq!((again.status, &again.json()["current"]["spec"]), (409, &json!(1)));
    let next = client.put("/v1/objects/service/ledger", &put_body(1, 3)).await.unwrap();
    assert_eq!((next.status, &next.json()["version"]), (200, &json!(2)));
    let none = client.put("/v1/objects/service/intake", &put_body(5, 1)).await.unwrap();
    assert_eq!((none.status, &none.json()["current"]), (409, &Value::Null));
    let list = client.get("/v1/objects/service").await.unwrap().json();
    assert_eq!((&list["revision"], list["items"].as_array().unwrap().len()), (&json!(2), 1));

    assert_eq!(client.delete("/v1/objects/service/ledger?version=1").await.unwrap().status, 409);
    let gone = client.delete("/v1/objects/service/ledger?version=2").await.unwrap();
    assert_eq!(gone.json(), json!({ "revision": 3 }));
    assert_eq!(client.get("/v1/objects/service/ledger").await.unwrap().status, 404);
    assert_eq!(client.delete("/v1/objects/service/ledger?version=2").await.unwrap().status, 404);
    let counts = counts(&client).await;
    assert_eq!((counts.conflicts, counts.calls["put"]["service"]), (3, 4));
}

#[tokio::test]
async fn exactly_one_concurrent_writer_succeeds() {
    let (_platform, client) = start(16, Faults::default()).await;
    let writes =
        (0..20).map(|i| {
            let client = client.clone();
            async move {
                client.put("/v1/objects/lease/seed-a-0", &put_body(0, i)).await.unwrap().status
            }
        });
    let statuses = futures::future::join_all(writes).await;
    assert_eq!(statuses.iter().filter(|&&status| status == 200).count(), 1);
    assert_eq!(statuses.iter().filter(|&&status| status == 409).count(), 19);
}

#[tokio::test]
async fn invalid_calls_are_rejected() {
    let (_platform, client) = start(16, Faults::default()).await;
    for path in ["/v1/objects/service/A", "/v1/objects/service/a-", "/v1/objects/service/.a"] {
        assert_eq!(client.put(path, &put_body(0, 1)).await.unwrap().status, 400, "{path}");
    }
    let path = "/v1/objects/service/a";
    let extra = json!({ "version": 0, "writer": "x", "spec": 1, "more": 1 });
    assert_eq!(client.put(path, &extra).await.unwrap().status, 400);
    let large = json!({ "version": 0, "writer": "x", "spec": "x".repeat(1 << 20 | 4096) });
    assert_eq!(client.put(path, &large).await.unwrap().status, 413);
    assert_eq!(client.get("/v1/watch?since=0&wait=31").await.unwrap().status, 400);
    assert_eq!(client.get("/v1/watch?wait=3").await.unwrap().status, 400);
    assert_eq!(client.get("/v2").await.unwrap().status, 404);
    let out_of_range = client.put("/admin/faults", &json!({ "lost": 2.0 })).await.unwrap();
    assert_eq!(out_of_range.status, 400);
}

#[tokio::test]
async fn a_watch_waits_for_events_of_its_kinds() {
    let (_platform, client) = start(16, Faults::default()).await;
    let waiting = tokio::spawn({
        let client = client.clone();
        async move { client.get("/v1/watch?since=0&wait=20&kind=service").await.unwrap().json() }
    });
    while counts(&client).await.waiting == 0 {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    client.put("/v1/objects/lease/l", &put_body(0, 1)).await.unwrap();
    client.put("/v1/objects/service/s", &put_body(0, 2)).await.unwrap();
    let seen = waiting.await.unwrap();
    let events = seen["events"].as_array().unwrap();
    assert_eq!((events.len(), &events[0]["object"]["name"]), (1, &json!("s")));
    assert_eq!((&events[0]["type"], &seen["revision"]), (&json!("put"), &json!(2)));

    client.delete("/v1/objects/service/s?version=2").await.unwrap();
    let seen = client.get("/v1/watch?since=2&wait=20").await.unwrap().json();
    assert_eq!(seen["events"][0]["type"], "delete");
    assert_eq!(seen["events"][0]["object"]["version"], 3);
    let empty = client.get("/v1/watch?since=3&wait=0").await.unwrap().json();
    assert_eq!(empty, json!({ "revision": 3, "events": [] }));
    assert_eq!(counts(&client).await.waiting, 0);
}

#[tokio::test]
async fn a_watch_from_outside_the_history_gets_410() {
    let (_platform, client) = start(4, Faults::default()).await;
    for version in 0..10 {
        client.put("/v1/objects/service/s", &put_body(version, version)).await.unwrap();
    }
    assert_eq!(client.get("/v1/watch?since=5&wait=0").await.unwrap().status, 410);
    let kept = client.get("/v1/watch?since=6&wait=0").await.unwrap().json();
    assert_eq!(kept["events"].as_array().unwrap().len(), 4);
    assert_eq!(client.get("/v1/watch?since=11&wait=0").await.unwrap().status, 410);
}

#[tokio::test]
async fn a_write_with_a_lost_response_takes_effect() {
    let (_platform, client) = start(16, Faults { lose_next: 1, ..Faults::default() }).await;
    assert!(client.put("/v1/objects/service/s", &put_body(0, 5)).await.is_err());
    let stored = client.get("/v1/objects/service/s").await.unwrap().json();
    assert_eq!((&stored["spec"], &stored["version"]), (&json!(5), &json!(1)));
    assert_eq!(client.put("/v1/objects/service/s", &put_body(1, 6)).await.unwrap().status, 200);
    set_faults(&client, &Faults { lost: 1.0, ..Faults::default() }).await;
    assert!(client.delete("/v1/objects/service/s?version=2").await.is_err());
    assert_eq!(client.get("/v1/objects/service/s").await.unwrap().status, 404);
    assert_eq!(counts(&client).await.lost, 2);
}

#[tokio::test]
async fn outages_interrupt_waiting_watches() {
    let (_platform, client) = start(16, Faults::default()).await;
    for (outage, status) in [(Outage::Error, Some(503)), (Outage::Refuse, None)] {
        let waiting = tokio::spawn({
            let client = client.clone();
            async move { client.get("/v1/watch?since=0&wait=20").await }
        });
        while counts(&client).await.waiting == 0 {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        set_faults(&client, &Faults { outage: Some(outage), ..Faults::default() }).await;
        assert_eq!(waiting.await.unwrap().ok().map(|it| it.status), status);
        let read = client.get("/v1/objects").await;
        assert_eq!(read.ok().map(|it| it.status), status);
        set_faults(&client, &Faults::default()).await;
    }
    set_faults(&client, &Faults { outage: Some(Outage::Hang), ..Faults::default() }).await;
    let hung = client.get("/v1/objects");
    assert!(tokio::time::timeout(Duration::from_millis(100), hung).await.is_err());
    client.put("/admin/faults", &json!({})).await.unwrap();
    assert_eq!(client.get("/v1/objects").await.unwrap().status, 200);
}

#[tokio::test]
async fn reads_and_writes_have_separate_rate_limits() {
    let faults = Faults { writes_per_s: Some(0.001), ..Faults::default() };
    let (_platform, client) = start(16, faults).await;
    let mut limited = 0;
    for version in 0..10 {
        let response =
            client.put("/v1/objects/service/s", &put_body(version, version)).await.unwrap();
        if response.status == 429 {
            assert_eq!(response.header("retry-after"), Some("1"));
            limited += 1;
        }
        assert_eq!(client.get("/v1/objects").await.unwrap().status, 200);
    }
    assert_eq!(limited, 9);
    assert_eq!(counts(&client).await.limited, limited);
}

#[tokio::test]
async fn watch_faults_skip_repeat_and_close() {
    let (_platform, client) = start(64, Faults::default()).await;
    for version in 0..20 {
        client.put("/v1/objects/service/s", &put_body(version, version)).await.unwrap();
    }
    set_faults(&client, &Faults { watch_skip: 1.0, ..Faults::default() }).await;
    let skipped = client.get("/v1/watch?since=0&wait=0").await.unwrap().json();
    assert_eq!(skipped, json!({ "revision": 20, "events": [] }));
    set_faults(&client, &Faults { watch_repeat: 1.0, ..Faults::default() }).await;
    let repeated = client.get("/v1/watch?since=18&wait=0").await.unwrap().json();
    let versions: Vec<_> = repeated["events"]
        .as_array()
        .unwrap()
        .iter()
        .map(|it| it["object"]["version"].clone())
        .collect();
    assert_eq!(versions, [18, 19, 20]);
    set_faults(&client, &Faults { watch_close: 1.0, ..Faults::default() }).await;
    assert!(client.get("/v1/watch?since=20&wait=1").await.is_err());
    let counts = counts(&client).await;
    assert_eq!((counts.skipped, counts.repeated, counts.closed), (20, 1, 1));
}

#[tokio::test]
async fn restoring_the_backup_increments_the_era() {
    let (_platform, client) = start(16, Faults::default()).await;
    let put = async |version, spec| {
        client.put("/v1/objects/service/s", &put_body(version, spec)).await.unwrap()
    };
    assert_eq!(put(0, 1).await.header("store-era"), Some("0"));
    client.put("/admin/copy", &json!(null)).await.unwrap();
    for version in 1..4 {
        put(version, 7).await;
    }
    let waiting = tokio::spawn({
        let client = client.clone();
        async move { client.get("/v1/watch?since=4&wait=20").await }
    });
    tokio::time::sleep(Duration::from_millis(100)).await;
    client.put("/admin/reset", &json!(null)).await.unwrap();
    assert!(waiting.await.unwrap().is_err(), "a restore closes waiting calls");
    let list = client.get("/v1/objects/service").await.unwrap();
    assert_eq!(list.header("store-era"), Some("1"));
    assert_eq!(
        (&list.json()["revision"], &list.json()["items"][0]["spec"]),
        (&json!(1), &json!(1))
    );
    assert_eq!(client.get("/v1/watch?since=4&wait=0").await.unwrap().status, 410);
    assert_eq!(put(4, 2).await.status, 409);
    let again = put(1, 2).await;
    assert_eq!((again.status, &again.json()["version"]), (200, &json!(2)));
}
