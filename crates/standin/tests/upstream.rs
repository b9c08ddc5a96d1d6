//! Upstream emulator: responses, slots, rejections, deadlines, cancellation, feeds, faults, record and journal.

mod client;

use std::{env, fs, process, time::Duration};

use camphorwinch_standin::{
    response::{self, FeedReader, ResponseHead},
    upstream::{
        Faults, JournalEntry, JournalEvent, Record, Runs, Settings, Upstream, read_journal,
    },
};
use client::{Client, Response};
use futures::future::join_all;
use http::Method;
use http_body_util::BodyExt;
use serde_json::json;
use tokio::time::{sleep, timeout};

const TEST_TIMEOUT: Duration = Duration::from_secs(20);

fn settings() -> Settings {
    let any = "127.0.0.1:0".parse().unwrap();
    Settings::new(any, any, "ledger-1", "ledger")
}

async fn start(settings: Settings) -> (Upstream, Client, Client) {
    let upstream = Upstream::start(settings, Faults::default()).await.unwrap();
    let (client, admin) = (Client::new(upstream.addr()), Client::new(upstream.admin()));
    (upstream, client, admin)
}

async fn transfer(client: &Client, key: &str, query: &str) -> anyhow::Result<Response> {
    let request = format!("request-of-{key}");
    let headers = [
        (response::SERVICE, "ledger"),
        (response::IDEMPOTENCY_KEY, key),
        (response::REQUEST, request.as_str()),
    ];
    client.call(Method::POST, &format!("/transfer?{query}"), &headers, Vec::new()).await
}

async fn wait_for<F>(upstream: &Upstream, done: F) -> Record
where
    F: Fn(&Record) -> bool,
{
    let wait = async {
        while !done(&upstream.record()) {
            sleep(Duration::from_millis(2)).await;
        }
    };
    assert!(timeout(TEST_TIMEOUT, wait).await.is_ok(), "{:?}", upstream.record());
    upstream.record()
}

fn assert_not_run(response: &Response) {
    assert_eq!(response.status, 503);
    assert_eq!(response.header(response::NOT_RUN), Some("true"));
    assert!(response.header("retry-after").is_some());
}

#[tokio::test]
async fn responses_are_complete_and_name_their_upstream() {
    let (_upstream, client, _) = start(settings()).await;
    let page = client.get("/screen?echo=t1&size=1000").await.unwrap();
    let head = response::read(&page.body).unwrap();
    assert_eq!((head.upstream.as_str(), head.pool.as_str()), ("ledger-1", "ledger"));
    assert_eq!((head.path.as_str(), head.echo.as_str()), ("/screen", "t1"));
    assert!(page.body.len() > 1000);

    let done = transfer(&client, "k1", "echo=t2").await.unwrap();
    let head = response::read(&done.body).unwrap();
    assert_eq!((head.key.as_str(), head.service.as_str()), ("k1", "ledger"));
    assert_eq!(head.request, "request-of-k1");
    assert_eq!(done.header(response::REQUEST), Some("request-of-k1"));

    let sent = vec![7; 300_000];
    let digest = response::hex_digest(&sent);
    let stored = client.call(Method::PUT, "/upload?echo=t3", &[], sent).await.unwrap();
    let head = response::read(&stored.body).unwrap();
    assert_eq!((head.size, head.digest), (300_000, digest));

    let paid = client.call(Method::POST, "/transfer?echo=t4", &[], b"amount=5".to_vec()).await;
    let head = response::read(&paid.unwrap().body).unwrap();
    assert_eq!((head.size, head.digest), (8, response::hex_digest(b"amount=5")));
}

#[test]
fn truncated_and_modified_responses_are_detected() {
    let head = ResponseHead { echo: "t".to_owned(), ..ResponseHead::default() };
    let text = response::write(&head, 20).into_bytes();
    assert_eq!(response::read(&text), Ok(head));
    for end in 0..text.len() {
        assert!(response::read(&text[..end]).is_err(), "truncated at {end}");
    }
    for at in 0..text.len() {
        let mut changed = text.clone();
        changed[at] ^= 1;
        assert!(response::read(&changed).is_err(), "changed at {at}");
    }
}

#[tokio::test]
async fn feeds_are_complete_and_damage_is_detected() {
    let (upstream, client, _) = start(settings()).await;
    let feed = client.get("/feed?ms=200&every=20&echo=f").await.unwrap();
    let mut reader = FeedReader::new();
    for byte in feed.body.chunks(1) {
        reader.push(byte).unwrap();
    }
    assert_eq!(reader.finish().unwrap().echo, "f");
    assert!(reader.count() > 0);
    let mut truncated = FeedReader::new();
    truncated.push(&feed.body[..feed.body.len() - 1]).unwrap();
    assert!(truncated.finish().is_err());
    let text = String::from_utf8(feed.body.to_vec()).unwrap();
    let skipped = text.replacen("tick 1 f\n", "", 1);
    assert!(FeedReader::new().push(skipped.as_bytes()).is_err());
    let crossed = text.replacen("tick 1 f\n", "tick 1 g\n", 1);
    assert!(FeedReader::new().push(crossed.as_bytes()).is_err());
    assert_eq!(upstream.record().finished, 1);
}

#[tokio::test]
async fn requests_beyond_slots_and_queue_are_rejected_without_running() {
    let (upstream, client, _) = start(Settings { slots: 2, queue: 1, ..settings() }).await;
    let held: Vec<_> = (0..3)
        .map(|i| {
            let client = client.clone();
            tokio::spawn(
                async move { transfer(&client, &format!("held{i}"), "work_ms=3000").await },
            )
        })
        .collect();
    wait_for(&upstream, |it| it.busy.now == 2 && it.waiting.now == 1).await;
    let load = client.get("/load").await.unwrap().json();
    assert_eq!((&load["busy"], &load["state"]), (&json!(2), &json!("shedding")));
    let rejected = join_all((0..4).map(|i| {
        let client = client.clone();
        async move { transfer(&client, &format!("over{i}"), "work_ms=1").await.unwrap() }
    }));
    for response in rejected.await {
        assert_not_run(&response);
    }
    for response in join_all(held).await {
        assert_eq!(response.unwrap().unwrap().status, 200);
    }
    let record = upstream.record();
    let once = Runs { started: 1, finished: 1 };
    assert_eq!(record.keys.keys().collect::<Vec<_>>(), ["held0", "held1", "held2"]);
    assert!(record.keys.values().chain(record.requests.values()).all(|it| *it == once));
    assert_eq!((record.refused["full"], record.services["ledger"]), (4, 7));
    assert_eq!(record.busy.peak, 2);
    assert!(record.busy.sum_ms >= 9000.0, "{}", record.busy.sum_ms);
}

#[tokio::test]
async fn requests_are_rejected_while_starting_draining_or_shedding() {
    let (upstream, client, admin) = start(Settings { starting_ms: 3_600_000, ..settings() }).await;
    assert_not_run(&transfer(&client, "a", "").await.unwrap());
    assert_eq!(client.get("/load").await.unwrap().json()["state"], "starting");
    admin.put("/drain", &json!({ "on": true })).await.unwrap();
    assert_not_run(&transfer(&client, "b", "").await.unwrap());
    assert_eq!(client.get("/load").await.unwrap().json()["state"], "draining");
    assert_eq!(upstream.record().started, 0);

    let (upstream, client, admin) = start(Settings { connections: 1, ..settings() }).await;
    admin.put("/faults", &json!({ "shed": 1.0 })).await.unwrap();
    assert_not_run(&transfer(&client, "c", "").await.unwrap());
    admin.put("/faults", &json!({})).await.unwrap();
    let held = client.open(Method::GET, "/feed?every=1000", &[], Vec::new()).await.unwrap();
    assert_not_run(&transfer(&client, "d", "").await.unwrap());
    assert_eq!(upstream.record().refused["connections"], 1);
    drop(held);
    wait_for(&upstream, |it| it.cancelled == 1).await;
}

#[tokio::test]
async fn a_deadline_stops_work_and_a_closed_connection_cancels_it() {
    let (upstream, client, _) = start(Settings { slots: 1, ..settings() }).await;
    let headers = [(response::DEADLINE, "60"), (response::IDEMPOTENCY_KEY, "late")];
    let path = "/transfer?work_ms=60000";
    let late = client.call(Method::POST, path, &headers, Vec::new()).await.unwrap();
    assert_eq!(late.status, 504);
    assert_eq!(late.header(response::NOT_RUN), None);

    let held = tokio::spawn({
        let client = client.clone();
        async move { transfer(&client, "held", "work_ms=60000").await }
    });
    wait_for(&upstream, |it| it.busy.now == 1).await;
    let queued = client.call(Method::POST, path, &headers, Vec::new()).await.unwrap();
    assert_not_run(&queued);
    held.abort();
    let record = wait_for(&upstream, |it| it.cancelled == 1 && it.busy.now == 0).await;
    assert_eq!(record.keys["late"], Runs { started: 1, finished: 0 });
    assert_eq!(record.keys["held"], Runs { started: 1, finished: 0 });
    assert_eq!((record.expired, record.refused["deadline"]), (1, 1));
    let invalid = [(response::DEADLINE, "soon")];
    let invalid = client.call(Method::POST, path, &invalid, Vec::new()).await.unwrap();
    assert_eq!(invalid.status, 400);
}

#[tokio::test]
async fn requests_with_lost_or_truncated_responses_have_run() {
    let (upstream, client, admin) = start(settings()).await;
    admin.put("/faults", &json!({ "lost": 1.0 })).await.unwrap();
    assert!(transfer(&client, "lost", "").await.is_err());
    admin.put("/faults", &json!({ "cut": 1.0 })).await.unwrap();
    assert!(transfer(&client, "cut", "").await.is_err());
    assert!(client.get("/feed?every=1").await.is_err());
    admin.put("/faults", &json!({ "late": 1.0, "late_ms": 30, "slow": 2.0 })).await.unwrap();
    assert_eq!(transfer(&client, "late", "").await.unwrap().status, 200);
    let record = upstream.record();
    for key in ["lost", "cut", "late"] {
        assert_eq!(record.keys[key], Runs { started: 1, finished: 1 }, "{key}");
    }
    assert_eq!((record.lost, record.cut, record.late, record.cancelled), (1, 2, 1, 1));
    assert_eq!(admin.put("/faults", &json!({ "slow": 0.0 })).await.unwrap().status, 400);
}

#[tokio::test]
async fn load_reports_can_be_outdated_or_overridden() {
    let (upstream, client, admin) = start(Settings { lag_ms: 3_600_000, ..settings() }).await;
    let busy = async || client.get("/load").await.unwrap().json()["busy"].clone();
    assert_eq!(busy().await, 0);
    let held = tokio::spawn({
        let client = client.clone();
        async move { transfer(&client, "held", "work_ms=60000").await }
    });
    wait_for(&upstream, |it| it.busy.now == 1).await;
    assert_eq!(busy().await, 0);
    admin.put("/faults", &json!({ "lag_ms": 0 })).await.unwrap();
    assert_eq!(busy().await, 1);
    admin.put("/faults", &json!({ "lag_ms": 0, "lie": "full" })).await.unwrap();
    assert_eq!(busy().await, 7);
    admin.put("/faults", &json!({ "lag_ms": 0, "lie": "idle" })).await.unwrap();
    assert_eq!(busy().await, 0);
    held.abort();
}

#[tokio::test]
async fn requests_for_disallowed_services_are_counted() {
    let settings = Settings { service: vec!["ledger".to_owned()], ..settings() };
    let (upstream, client, admin) = start(settings).await;
    transfer(&client, "a", "").await.unwrap();
    assert_eq!(upstream.record().foreign, 0);
    admin.put("/services", &json!(["intake"])).await.unwrap();
    transfer(&client, "b", "").await.unwrap();
    let record = admin.get("/record").await.unwrap().json();
    assert_eq!((&record["foreign"], &record["services"]["ledger"]), (&json!(1), &json!(2)));
}

#[tokio::test]
async fn a_graceful_stop_completes_requests_and_feeds() {
    let (upstream, client, _) = start(settings()).await;
    let long = tokio::spawn({
        let client = client.clone();
        async move { transfer(&client, "long", "work_ms=400").await }
    });
    let feed = client.open(Method::GET, "/feed?every=10&echo=f", &[], Vec::new()).await.unwrap();
    let feed = tokio::spawn(feed.into_body().collect());
    wait_for(&upstream, |it| it.busy.now == 1 && it.feeds.now == 1).await;
    assert!(upstream.stop().await);
    assert_eq!(long.await.unwrap().unwrap().status, 200);
    let mut reader = FeedReader::new();
    reader.push(&feed.await.unwrap().unwrap().to_bytes()).unwrap();
    assert_eq!(reader.finish().unwrap().echo, "f");
}

#[tokio::test]
async fn the_journal_records_starts_and_ends() {
    let path = env::temp_dir().join(format!("camphorwinch-journal-{}", process::id()));
    let (upstream, client, _) = start(Settings { journal: Some(path.clone()), ..settings() }).await;
    transfer(&client, "k", "echo=t").await.unwrap();
    let held = tokio::spawn({
        let client = client.clone();
        async move { transfer(&client, "held", "work_ms=60000").await }
    });
    wait_for(&upstream, |it| it.busy.now == 1).await;
    let complete = fs::read_to_string(&path).unwrap();
    fs::write(&path, format!("{complete}{{\"at_ms\":1")).unwrap();
    let entries = read_journal(&path).unwrap();
    fs::remove_file(&path).unwrap();
    held.abort();
    let summary = |it: &JournalEntry| (it.event, it.key.clone(), it.request.clone());
    let events: Vec<_> = entries.iter().map(summary).collect();
    let line = |event, key: &str| (event, key.to_owned(), format!("request-of-{key}"));
    let expected = [
        line(JournalEvent::Start, "k"),
        line(JournalEvent::Finish, "k"),
        line(JournalEvent::Start, "held"),
    ];
    assert_eq!(events, expected);
    assert_eq!((entries[0].echo.as_str(), entries[0].service.as_str()), ("t", "ledger"));
}
