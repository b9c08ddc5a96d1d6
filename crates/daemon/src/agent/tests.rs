//! Tests of agents with HTTP/3 callers, through a relay that encapsulates datagrams like a balancer.

mod harness;

use std::time::{Duration, Instant};

use http::{Method, StatusCode};

use self::harness::{Harness, TestRequest};
use super::metrics;

/// Error of the HTTP/3 client for a request that it did not send because of GOAWAY.
const GOAWAY_ERROR: &str = "Remote is closing the connection";

#[tokio::test(flavor = "multi_thread")]
async fn responses_go_directly_to_the_caller() {
    let harness = Harness::start(1).await;
    let flow = harness.open_flow().await;
    let response = flow.send(TestRequest::new(Method::GET, "/screen?echo=a")).await;
    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(response.header("camphorwinch-upstream"), "agent-0");
    assert!(response.text().contains("\"echo\":\"a\""));
    let response = flow.send(TestRequest::new(Method::POST, "/transfer?echo=b")).await;
    assert_eq!(response.status, StatusCode::OK);
    let body = vec![7; 300_000];
    let response = flow.send(TestRequest::new(Method::PUT, "/upload").with_body(body)).await;
    assert_eq!(response.status, StatusCode::OK);
    assert!(response.text().contains("\"size\":300000"));
    assert_eq!(harness.invariant_failures(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_rejected_by_the_only_upstream_is_reported_as_not_run() {
    let harness = Harness::start(1).await;
    let flow = harness.open_flow().await;
    harness.set_faults(0, r#"{"shed":1.0}"#).await;
    let response = flow.send(TestRequest::new(Method::POST, "/transfer")).await;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(response.header("camphorwinch-outcome"), "not-run");
    assert_eq!(response.header("retry-after"), "1");
}

#[tokio::test(flavor = "multi_thread")]
async fn request_whose_response_is_lost_is_reported_as_unknown() {
    let harness = Harness::start(1).await;
    let flow = harness.open_flow().await;
    harness.set_faults(0, r#"{"lost":1.0}"#).await;
    let response = flow.send(TestRequest::new(Method::POST, "/transfer")).await;
    assert_eq!(response.status, StatusCode::BAD_GATEWAY);
    assert_eq!(response.header("camphorwinch-outcome"), "unknown");
}

#[tokio::test(flavor = "multi_thread")]
async fn aborted_response_resets_the_stream() {
    let harness = Harness::start(1).await;
    let flow = harness.open_flow().await;
    harness.set_faults(0, r#"{"cut":1.0}"#).await;
    let response = flow.send(TestRequest::new(Method::GET, "/feed?ms=1000&every=50")).await;
    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(response.error.as_deref(), Some("H3_INTERNAL_ERROR"));
}

#[tokio::test(flavor = "multi_thread")]
async fn graceful_stop_completes_requests_in_progress() {
    let mut harness = Harness::start(1).await;
    let flow = harness.open_flow().await;
    let feed = flow.send(TestRequest::new(Method::GET, "/feed?ms=2500&every=100&echo=f"));
    let feed = tokio::spawn(feed);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let stopped = harness.stop_gracefully(0);
    let late_response = flow.send(TestRequest::new(Method::GET, "/screen?echo=late"));
    let (stopped, feed, late_response) = tokio::join!(stopped, feed, late_response);
    assert!(stopped, "some flows are still open");
    let feed = feed.expect("the caller's task panicked");
    assert_eq!(feed.status, StatusCode::OK);
    assert!(feed.text().contains("sum "), "the feed lacks its last line");
    // The only upstream drains, so a late request is rejected as not run, or not sent at all.
    let unsent = late_response.error.as_deref() == Some(GOAWAY_ERROR);
    assert!(
        unsent || late_response.header("camphorwinch-outcome") == "not-run",
        "{late_response:?}"
    );
    assert!(flow.closed_cleanly().await);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_rejected_by_the_upstream_is_handed_over() {
    let harness = Harness::start(3).await;
    let flow = harness.open_flow().await;
    harness.set_faults(0, r#"{"shed":1.0}"#).await;
    for method in [Method::GET, Method::POST] {
        let path = if method == Method::GET { "/screen?echo=x" } else { "/transfer?echo=x" };
        let response = flow.send(TestRequest::new(method, path)).await;
        assert_eq!(response.status, StatusCode::OK, "{response:?}");
        assert_eq!(response.header("camphorwinch-agent"), "agent-0");
        assert_ne!(response.header("camphorwinch-upstream"), "agent-0");
    }
    let response =
        flow.send(TestRequest::new(Method::PUT, "/upload").with_body(vec![1; 500_000])).await;
    assert_eq!(response.status, StatusCode::OK, "{response:?}");
    assert!(response.text().contains("\"size\":500000"));
}

#[tokio::test(flavor = "multi_thread")]
async fn graceful_stop_waits_for_requests_of_other_agents() {
    let mut harness = Harness::start(2).await;
    let flow = harness.open_flow().await;
    harness.set_faults(0, r#"{"shed":1.0}"#).await;
    let start = Instant::now();
    let feed =
        tokio::spawn(flow.send(TestRequest::new(Method::GET, "/feed?ms=1500&every=100&echo=f")));
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(harness.stop_gracefully(1).await);
    assert!(start.elapsed() >= Duration::from_millis(1500), "stopped after {:?}", start.elapsed());
    let feed = feed.await.expect("the caller's task panicked");
    assert_eq!(feed.header("camphorwinch-upstream"), "agent-1");
    assert!(feed.text().contains("sum "), "the feed lacks its last line");
}

#[tokio::test(flavor = "multi_thread")]
async fn draining_agent_forwards_flows_and_requests() {
    let harness = Harness::start(2).await;
    let flow = harness.open_flow().await;
    assert_eq!(flow.send(TestRequest::new(Method::GET, "/screen")).await.status, StatusCode::OK);
    let feed =
        tokio::spawn(flow.send(TestRequest::new(Method::GET, "/feed?ms=3000&every=100&echo=f")));
    tokio::time::sleep(Duration::from_millis(200)).await;
    harness.drain(0).await;
    // Requests that the caller sends before it receives GOAWAY run at the peer.
    loop {
        let response = flow.send(TestRequest::new(Method::POST, "/transfer")).await;
        if response.error.as_deref() == Some(GOAWAY_ERROR) {
            break;
        }
        assert_eq!(response.status, StatusCode::OK, "{response:?}");
        assert_eq!(response.header("camphorwinch-upstream"), "agent-1");
    }
    let other = harness.open_flow().await;
    let response = other.send(TestRequest::new(Method::GET, "/screen")).await;
    assert_eq!(response.header("camphorwinch-agent"), "agent-1");
    let feed = feed.await.expect("the caller's task panicked");
    assert!(feed.text().contains("sum "), "the feed lacks its last line");
    assert!(flow.closed_cleanly().await);
    assert_eq!(harness.invariant_failures(), 0);
}

fn transfer(key: &str, echo: &str) -> TestRequest {
    let path = format!("/transfer?work_ms=50&echo={echo}");
    TestRequest::new(Method::POST, &path).with_header("idempotency-key", key)
}

#[tokio::test(flavor = "multi_thread")]
async fn repeated_key_gets_the_first_response() {
    let harness = Harness::start(4).await;
    let flow = harness.open_flow().await;
    let first = flow.send(transfer("k", "one")).await;
    assert_eq!(first.status, StatusCode::OK, "{first:?}");
    harness.prefer_agent(1);
    let other = harness.open_flow().await;
    let second = loop {
        let response = other.send(transfer("k", "two")).await;
        // On a busy machine the result may reach the holders of the claim late.
        if response.status != StatusCode::SERVICE_UNAVAILABLE {
            break response;
        }
        assert_eq!(response.header("camphorwinch-outcome"), "not-run");
    };
    assert_eq!(second.text(), first.text());
    assert_eq!(second.header("camphorwinch-upstream"), "agent-0");
    assert_eq!(second.header("camphorwinch-agent"), "agent-1", "the flow belongs to agent-1");
    let mismatch = TestRequest::new(Method::POST, "/other").with_header("idempotency-key", "k");
    let response = other.send(mismatch).await;
    assert_eq!(response.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(harness.started_requests("k"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn repeated_key_of_a_lost_request_is_unknown() {
    let harness = Harness::start(2).await;
    let flow = harness.open_flow().await;
    harness.set_faults(0, r#"{"lost":1.0}"#).await;
    let response = flow.send(transfer("k", "one")).await;
    assert_eq!(response.header("camphorwinch-outcome"), "unknown");
    harness.prefer_agent(1);
    let other = harness.open_flow().await;
    loop {
        let response = other.send(transfer("k", "two")).await;
        if response.header("camphorwinch-outcome") == "unknown" {
            break;
        }
        assert_eq!(response.header("camphorwinch-outcome"), "not-run");
    }
    assert_eq!(harness.started_requests("k"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn rejected_request_can_run_later_with_its_key() {
    let harness = Harness::start(1).await;
    let flow = harness.open_flow().await;
    harness.set_faults(0, r#"{"shed":1.0}"#).await;
    let response = flow.send(transfer("k", "one")).await;
    assert_eq!(response.header("camphorwinch-outcome"), "not-run");
    harness.set_faults(0, r#"{"shed":0.0}"#).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    let response = flow.send(transfer("k", "two")).await;
    assert_eq!(response.status, StatusCode::OK, "{response:?}");
    assert_eq!(harness.started_requests("k"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_requests_with_one_key_run_once() {
    let harness = Harness::start(4).await;
    let mut flows = Vec::new();
    for index in 0..4 {
        harness.prefer_agent(index);
        flows.push(harness.open_flow().await);
    }
    for round in 0..10 {
        let key = format!("key-{round}");
        let requests = flows
            .iter()
            .flat_map(|flow| [flow.send(transfer(&key, "a")), flow.send(transfer(&key, "b"))]);
        for response in futures::future::join_all(requests).await {
            let outcome = response.header("camphorwinch-outcome");
            let not_answered = outcome == "not-run" || outcome == "unknown";
            assert!(not_answered || response.status == StatusCode::OK, "{response:?}");
        }
        assert!(
            harness.started_requests(&key) <= 1,
            "{key} ran {} times",
            harness.started_requests(&key)
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn request_with_key_continues_after_its_caller_disconnects() {
    let harness = Harness::start(2).await;
    let flow = harness.open_flow().await;
    let request = tokio::spawn(flow.send(transfer("k", "one")));
    tokio::time::sleep(Duration::from_millis(25)).await;
    flow.conn.close(0_u32.into(), b"");
    request.await.expect("the caller's task panicked");
    let other = harness.open_flow().await;
    let response = loop {
        let response = other.send(transfer("k", "two")).await;
        if response.status != StatusCode::SERVICE_UNAVAILABLE {
            break response;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    };
    assert!(response.text().contains("\"echo\":\"one\""), "{response:?}");
    assert_eq!(harness.started_requests("k"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn open_flows_survive_key_rotation() {
    let harness = Harness::start(1).await;
    let flow = harness.open_flow().await;
    let feed =
        tokio::spawn(flow.send(TestRequest::new(Method::GET, "/feed?ms=1500&every=50&echo=f")));
    harness.rotate_key(2);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let response = flow.send(TestRequest::new(Method::GET, "/screen")).await;
    assert_eq!(response.status, StatusCode::OK, "{response:?}");
    let other = harness.open_flow().await;
    assert_eq!(other.send(TestRequest::new(Method::GET, "/screen")).await.status, StatusCode::OK);
    let feed = feed.await.expect("the caller's task panicked");
    assert!(feed.text().contains("sum "), "{feed:?}");
    assert_eq!(harness.agents[0].node.key_epochs(), [1, 2], "each flow keeps the key of its start");
    drop(flow);
    while harness.agents[0].node.key_epochs() != [2] {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_idempotency_key_is_rejected() {
    let harness = Harness::start(1).await;
    let flow = harness.open_flow().await;
    for key in ["", "a\u{e9}", &"k".repeat(256)] {
        let response = flow.send(transfer(key, "one")).await;
        assert_eq!(response.status, StatusCode::BAD_REQUEST, "{key:?}: {response:?}");
        assert_eq!(response.header("camphorwinch-outcome"), "not-run");
        assert_eq!(harness.started_requests(key), 0);
    }
    assert_eq!(flow.send(transfer(&"k".repeat(255), "one")).await.status, StatusCode::OK);
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_run_in_the_new_pool_after_a_pool_change() {
    let harness = Harness::with_pools(&["ledger", "other"]).await;
    let flow = harness.open_flow().await;
    let feed =
        tokio::spawn(flow.send(TestRequest::new(Method::GET, "/feed?ms=1000&every=50&echo=f")));
    tokio::time::sleep(Duration::from_millis(100)).await;
    harness.change_pool("other").await;
    loop {
        let response = flow.send(TestRequest::new(Method::POST, "/transfer")).await;
        if response.error.as_deref() == Some(GOAWAY_ERROR) {
            break;
        }
        assert_eq!(response.header("camphorwinch-upstream"), "agent-1", "{response:?}");
    }
    let feed = feed.await.expect("the caller's task panicked");
    assert!(feed.text().contains("sum "), "{feed:?}");
    assert_eq!(harness.invariant_failures(), 0);
}

// Guards against requests in the former pool between the time at which a snapshot is in force and its use by the
// services.
#[tokio::test(flavor = "multi_thread")]
async fn request_runs_in_the_new_pool_before_services_apply_the_pool_change() {
    let harness = Harness::with_pools(&["ledger", "other"]).await;
    let flow = harness.open_flow().await;
    harness.put_pool_in_force("other");
    let response = flow.send(TestRequest::new(Method::POST, "/transfer")).await;
    assert_eq!(response.status, StatusCode::OK, "{response:?}");
    assert_eq!(response.header("camphorwinch-upstream"), "agent-1", "{response:?}");
    assert_eq!(harness.invariant_failures(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn flows_of_a_down_agent_are_reset() {
    let mut harness = Harness::start(2).await;
    let mut flows = Vec::new();
    for _ in 0..60 {
        flows.push(harness.open_flow().await);
    }
    harness.kill(0).await;
    harness.mark_down(0);
    let requests = flows.iter().map(|flow| flow.send(TestRequest::new(Method::GET, "/screen")));
    let responses = futures::future::join_all(requests).await;
    for (flow, response) in flows.iter().zip(responses) {
        assert_ne!(response.error.as_deref(), Some("late"));
        assert_eq!(flow.conn.close_reason(), Some(quinn::ConnectionError::Reset));
    }
}

// Until its handshake is confirmed, a caller sends only handshake packets, and the QUIC stack ignores those of unknown
// flows. Without a reset from the agent, a request on such a flow waits until the caller's timeout.
#[tokio::test(flavor = "multi_thread")]
async fn flow_with_unconfirmed_handshake_is_reset() {
    let mut harness = Harness::start(2).await;
    harness.drop_established_packets(true);
    let flow = harness.open_flow().await;
    harness.kill(0).await;
    harness.mark_down(0);
    let request = flow.send(TestRequest::new(Method::GET, "/screen"));
    let request = tokio::spawn(request);
    tokio::time::sleep(Duration::from_millis(50)).await;
    harness.drop_established_packets(false);
    let response = request.await.expect("the caller's task panicked");
    assert_ne!(response.error.as_deref(), Some("late"));
    assert_eq!(flow.conn.close_reason(), Some(quinn::ConnectionError::Reset));
}

#[tokio::test(flavor = "multi_thread")]
async fn burst_of_flows_is_served_after_address_validation() {
    let harness = Harness::start(1).await;
    let opens = (0..200).map(|_| harness.try_open_flow());
    let mut flows = Vec::new();
    for flow in futures::future::join_all(opens).await {
        flows.push(flow.expect("the flow is accepted"));
    }
    assert!(metrics::FLOWS.with_label_values(&["retry"]).get() > 0);
    for flow in &flows {
        let response = flow.send(TestRequest::new(Method::GET, "/screen?work_ms=0")).await;
        assert_eq!(response.status, StatusCode::OK, "{response:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn request_ends_at_its_deadline() {
    let harness = Harness::start(1).await;
    let flow = harness.open_flow().await;
    harness.set_faults(0, r#"{"late":1.0,"late_ms":8000}"#).await;
    let request =
        TestRequest::new(Method::POST, "/transfer").with_header("camphorwinch-deadline-ms", "300");
    let response = flow.send(request).await;
    assert_eq!(response.header("camphorwinch-outcome"), "unknown", "{response:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn aborted_responses_do_not_delay_a_graceful_stop() {
    let mut harness = Harness::start(1).await;
    let flow = harness.open_flow().await;
    harness.set_faults(0, r#"{"cut":1.0}"#).await;
    let response = flow.send(TestRequest::new(Method::GET, "/feed?ms=1000&every=20")).await;
    assert_eq!(response.error.as_deref(), Some("H3_INTERNAL_ERROR"));
    assert!(harness.stop_gracefully(0).await, "some flows are still open");
}

#[tokio::test(flavor = "multi_thread")]
async fn flows_of_a_running_agent_reported_as_down_continue() {
    let harness = Harness::start(2).await;
    let flow = harness.open_flow().await;
    harness.mark_down(0);
    for _ in 0..5 {
        let response = flow.send(TestRequest::new(Method::GET, "/screen")).await;
        assert_eq!(response.header("camphorwinch-agent"), "agent-0", "{response:?}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn unresponsive_callers_do_not_delay_a_graceful_stop() {
    let mut harness = Harness::start(1).await;
    let flow = harness.open_flow().await;
    let request = tokio::spawn(flow.send(TestRequest::new(Method::POST, "/transfer?work_ms=500")));
    tokio::time::sleep(Duration::from_millis(200)).await;
    // From here on no packet passes between this caller and the agent.
    harness.stop_relay();
    assert!(harness.stop_gracefully(0).await, "some flows are still open");
    request.abort();
}
