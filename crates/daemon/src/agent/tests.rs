//! Agents driven by real HTTP/3 callers through a relay that encapsulates as a balancer does.

mod bench;

use std::time::Duration;

use http::{Method, StatusCode};

use self::bench::{Bench, Call};

#[tokio::test(flavor = "multi_thread")]
async fn answers_come_straight_back() {
    let bench = Bench::start(1).await;
    let flow = bench.open().await;
    let reply = flow.call(Call::new(Method::GET, "/screen?echo=a")).await;
    assert_eq!(reply.status, StatusCode::OK);
    assert_eq!(reply.header("camphorwinch-upstream"), "agent-0");
    assert!(reply.text().contains("\"echo\":\"a\""));
    let reply = flow.call(Call::new(Method::POST, "/transfer?echo=b")).await;
    assert_eq!(reply.status, StatusCode::OK);
    let body = vec![7; 300_000];
    let reply = flow.call(Call::new(Method::PUT, "/upload").with_body(body)).await;
    assert_eq!(reply.status, StatusCode::OK);
    assert!(reply.text().contains("\"size\":300000"));
    assert_eq!(bench.invariant_failures(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn upstream_that_refuses_is_told_as_not_run() {
    let bench = Bench::start(1).await;
    let flow = bench.open().await;
    bench.faults(0, r#"{"shed":1.0}"#).await;
    let reply = flow.call(Call::new(Method::POST, "/transfer")).await;
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(reply.header("camphorwinch-outcome"), "not-run");
    assert_eq!(reply.header("retry-after"), "1");
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_transfer_is_told_as_unknown() {
    let bench = Bench::start(1).await;
    let flow = bench.open().await;
    bench.faults(0, r#"{"lost":1.0}"#).await;
    let reply = flow.call(Call::new(Method::POST, "/transfer")).await;
    assert_eq!(reply.status, StatusCode::BAD_GATEWAY);
    assert_eq!(reply.header("camphorwinch-outcome"), "unknown");
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_answer_resets_the_stream() {
    let bench = Bench::start(1).await;
    let flow = bench.open().await;
    bench.faults(0, r#"{"cut":1.0}"#).await;
    let reply = flow.call(Call::new(Method::GET, "/feed?ms=1000&every=50")).await;
    assert_eq!(reply.status, StatusCode::OK);
    assert_eq!(reply.broken.as_deref(), Some("H3_INTERNAL_ERROR"));
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_lets_requests_finish() {
    let mut bench = Bench::start(1).await;
    let flow = bench.open().await;
    let feed = flow.call(Call::new(Method::GET, "/feed?ms=2500&every=100&echo=f"));
    let feed = tokio::spawn(feed);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let stopped = bench.stop(0);
    let late = flow.call(Call::new(Method::GET, "/screen?echo=late"));
    let (stopped, feed, late) = tokio::join!(stopped, feed, late);
    assert!(stopped, "all flows ended");
    let feed = feed.expect("the caller's task ends");
    assert_eq!(feed.status, StatusCode::OK);
    assert!(feed.text().contains("sum "), "the feed ended with its last line");
    // The only upstream drains: what comes late is refused as not run.
    assert_eq!(late.header("camphorwinch-outcome"), "not-run");
    assert!(flow.closed_cleanly().await);
}
