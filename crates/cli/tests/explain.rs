//! Tests of `explain`: the cause of a flow's outcome, from log lines.

use std::{
    io::Write as _,
    process::{Command, Stdio},
    time::Duration,
};

use camphorwinch_cli::explain::{Cause, DeferralEnd, Delay, Explanation, FlowQuery, Logs, explain};

const FLOW: &str = "100.64.0.7:1041>198.18.0.1:8443";

fn log_line(second: f64, id: u16, fields: &str) -> String {
    let ms = (second * 1_000.0).round() as u64;
    let at = format!("2026-06-13T13:49:{:02}.{:03}Z", ms / 1_000, ms % 1_000);
    format!(
        "{{\"timestamp\":\"{at}\",\"level\":\"INFO\",\"id\":{id},\"name\":\"event-{id}\",{fields}}}\n"
    )
}

fn flow_line(second: f64, id: u16, fields: &str) -> String {
    log_line(second, id, &format!("\"flow\":\"{FLOW}\",{fields}"))
}

fn explain_sources(sources: &[(&str, String)]) -> Explanation {
    let mut logs = Logs::new();
    for (name, text) in sources {
        logs.read(name, text.as_bytes()).expect("read from memory");
    }
    explain(&logs, &FlowQuery { flow: FLOW.to_owned(), window: Duration::from_secs(2) })
}

fn event_order(explanation: &Explanation) -> Vec<(String, u16)> {
    explanation.events.iter().map(|it| (it.process.clone(), it.id)).collect()
}

#[test]
fn flow_is_not_held_after_agent_and_upstream_restart() {
    let agent =
        log_line(1.0, 601, r#""role":"agent","process":"side-1","address":"10.0.0.9:7720""#)
            + &flow_line(
                10.0,
                642,
                r#""load":100,"last":false,"limit":300,"walk":"10.0.0.9:7720=-""#,
            )
            + &log_line(
                12.0,
                601,
                r#""role":"agent","process":"side-1","address":"10.0.0.9:7720""#,
            );
    let balancer = flow_line(9.9, 641, r#""agent":"10.0.0.9:7720","copies":0"#)
        + &flow_line(12.5, 645, r#""asked":4"#)
        + &flow_line(12.6, 647, r#""absent":4,"asked":4"#)
        + &flow_line(12.6, 650, r#""why":"not-held""#);
    let explanation = explain_sources(&[("a", agent), ("front-1", balancer)]);
    let expected = Cause::NotHeld { accepted_by: Some("side-1".to_owned()), restarted: true };
    assert_eq!(explanation.cause, expected);
    let ids: Vec<u16> = explanation.events.iter().map(|it| it.id).collect();
    assert_eq!(ids, [641, 642, 601, 645, 647, 650]);
}

#[test]
fn flow_above_the_load_limit_names_the_candidates() {
    let walk = "10.0.0.8:7720=6000 10.0.0.9:7720=5850";
    let agent =
        flow_line(10.0, 642, &format!(r#""load":5850,"last":true,"limit":5700,"walk":"{walk}""#));
    let explanation = explain_sources(&[("side-1", agent)]);
    let expected = Cause::AllAboveLimit {
        process: "side-1".to_owned(),
        load: 5_850,
        candidates: walk.to_owned(),
    };
    assert!(explanation.cause.to_string().starts_with("all 2 candidates"), "{}", explanation.cause);
    assert_eq!(explanation.cause, expected);
}

#[test]
fn request_that_waited_long_at_the_agent_is_queued() {
    let placed =
        flow_line(10.0, 642, r#""load":5,"last":false,"limit":40,"walk":"10.0.0.9:7720=-""#);
    let long = flow_line(10.5, 654, r#""waited_ms":400,"cause":"overdue","waiting":7"#);
    let short = flow_line(11.5, 654, r#""waited_ms":20,"cause":"slot","waiting":0"#);
    let cause_of = |text: String| explain_sources(&[("side-1", text)]).cause;
    let expected =
        Cause::Queued { process: "side-1".to_owned(), waited_ms: 400, cause: "overdue".to_owned() };
    assert_eq!(cause_of(placed.clone() + &long + &short), expected);
    assert_eq!(cause_of(placed + &short), Cause::Served { process: "side-1".to_owned() });
}

fn accepted(second: f64) -> String {
    flow_line(second, 642, r#""load":5,"last":false,"limit":40,"walk":"10.0.0.9:7720=-""#)
}

fn deferred(waited_ms: u64, end: DeferralEnd) -> Delay {
    Delay::Deferred { process: "front-1".to_owned(), waited_ms: Some(waited_ms), end }
}

// Guards against a late flow that is explained as served without a fault, though its opening packet waited.
#[test]
fn deferred_opening_tells_how_long_it_waited_and_what_ended_it() {
    let opening = flow_line(10.0, 655, r#""agents":3,"held":210"#);
    let cause_of = |end: String, at: f64| {
        let balancer = opening.clone() + &end;
        explain_sources(&[("front-1", balancer), ("side-1", accepted(at))]).cause
    };
    let bound = r#""agent":"10.0.0.9:7720","waited_ms":640,"held":180"#;
    let end = DeferralEnd::Bound { agent: "10.0.0.9:7720".to_owned() };
    assert_eq!(cause_of(flow_line(10.64, 656, bound), 10.7), Cause::Delayed(deferred(640, end)));
    let undeferred = r#""why":"no-offer","waited_ms":300"#;
    let end = DeferralEnd::Placed { why: "no-offer".to_owned() };
    let cause = cause_of(flow_line(10.3, 657, undeferred), 10.4);
    assert_eq!(cause, Cause::Delayed(deferred(300, end)));
    assert!(cause.to_string().ends_with("with cause `no-offer`"), "{cause}");
    // A short deferral did not make the flow late.
    let short = flow_line(10.02, 656, r#""agent":"10.0.0.9:7720","waited_ms":20,"held":0"#);
    assert_eq!(cause_of(short, 10.1), Cause::Served { process: "side-1".to_owned() });
}

// Guards against a deferral that hides a graver cause, and against one whose balancer stopped that is not told.
#[test]
fn deferral_is_told_besides_a_fault_and_its_missing_end_as_such() {
    let balancer = flow_line(9.0, 655, r#""agents":2,"held":9"#)
        + &flow_line(9.4, 657, r#""why":"room","waited_ms":400"#)
        + &flow_line(9.5, 650, r#""why":"no-upstream""#);
    let explanation = explain_sources(&[("front-1", balancer)]);
    assert_eq!(explanation.cause, Cause::NoUpstream { process: "front-1".to_owned() });
    let end = DeferralEnd::Placed { why: "room".to_owned() };
    assert_eq!(explanation.delays, [deferred(400, end)]);
    let explanation =
        explain_sources(&[("front-1", flow_line(9.0, 655, r#""agents":2,"held":9"#))]);
    let end = DeferralEnd::NotLogged;
    let expected = Delay::Deferred { process: "front-1".to_owned(), waited_ms: None, end };
    assert_eq!(explanation.cause, Cause::Delayed(expected));
}

// Guards against a deferred flow whose agent's clock is behind and that therefore seems accepted before it arrived.
#[test]
fn deferral_precedes_the_agents_lines_despite_clock_skew() {
    let balancer = flow_line(9.0, 655, r#""agents":2,"held":9"#)
        + &flow_line(9.2, 656, r#""agent":"10.0.0.9:7720","waited_ms":200,"held":8"#);
    let explanation = explain_sources(&[("side-1", accepted(8.0)), ("front-1", balancer)]);
    assert_eq!(event_order(&explanation)[0], ("front-1".to_owned(), 655));
}

// Guards against a replay that is missing from the explanation because its line names no flow, and against one that is
// blamed for a flow that came later or was served.
#[test]
fn replay_after_a_start_is_told_for_flows_of_that_moment() {
    let replayed = r#""openings":31,"others":4,"expired":2,"waited_ms":410"#;
    let placed = |at: f64| flow_line(at, 641, r#""agent":"10.0.0.9:7720","copies":0"#);
    let explanation_at = |at: f64| {
        let balancer = log_line(8.0, 658, replayed) + &placed(at);
        explain_sources(&[("front-1", balancer), ("side-1", accepted(at + 0.01))])
    };
    let delay = Delay::Replayed { process: "front-1".to_owned(), waited_ms: 410, expired: 2 };
    let served = Cause::Served { process: "side-1".to_owned() };
    let at_replay = explanation_at(7.9);
    assert_eq!((&at_replay.cause, &at_replay.delays[..]), (&served, &[delay][..]));
    for at in [6.9, 8.1] {
        let other = explanation_at(at);
        assert_eq!((&other.cause, &other.delays[..]), (&served, &[][..]), "{at}");
        assert!(other.events.iter().any(|it| it.id == 658), "the line is context");
    }
    // Another balancer's replay does not concern the flow.
    let other = log_line(8.0, 658, replayed);
    let sources = [("front-1", placed(7.9)), ("side-1", accepted(8.0)), ("front-2", other)];
    assert!(explain_sources(&sources).delays.is_empty());
}

// Guards against a burst on the caller's route that is not named, and against blaming one on another route.
#[test]
fn request_beyond_its_routes_share_names_the_route() {
    let explanation_of = |service: &str| {
        let share = format!(r#""service":"{service}","beyond":57,"rate_per_s":41"#);
        let agent = accepted(10.0)
            + &log_line(10.2, 639, &share)
            + &flow_line(10.5, 654, r#""waited_ms":400,"cause":"backlog","waiting":7"#);
        explain_sources(&[("side-1", agent)])
    };
    let queued =
        Cause::Queued { process: "side-1".to_owned(), waited_ms: 400, cause: "backlog".to_owned() };
    let own = explanation_of("198.18.0.1:8443");
    assert_eq!(own.cause, queued);
    let expected = Delay::BeyondShare {
        process: "side-1".to_owned(),
        service: "198.18.0.1:8443".to_owned(),
        beyond: 57,
        rate_per_s: 41,
    };
    assert_eq!(own.delays, [expected]);
    let other = explanation_of("198.18.0.2:8443");
    assert_eq!(other.cause, queued);
    assert!(other.delays.is_empty());
    assert!(other.events.iter().all(|it| it.id != 639));
}

#[test]
fn dropped_route_names_the_revision_in_force() {
    let balancer = log_line(8.5, 611, r#""revision":31,"version":7,"before":20,"routes":13"#)
        + &log_line(8.9, 611, r#""revision":40,"version":9,"before":31,"routes":12"#)
        + &flow_line(9.0, 650, r#""why":"route-dropped""#);
    let explanation = explain_sources(&[("front-1", balancer)]);
    let expected = Cause::RouteDropped { process: "front-1".to_owned(), revision: Some(40) };
    assert_eq!(explanation.cause, expected);
}

#[test]
fn agent_without_a_reply_is_named() {
    let balancer = flow_line(9.0, 647, r#""absent":3,"asked":4,"silent":"10.0.0.9:7720""#)
        + &log_line(8.0, 621, r#""agent":"10.0.0.9:7720","change":"State","upstream":"unknown""#)
        + &log_line(8.1, 621, r#""agent":"10.0.0.8:7720","change":"State","upstream":"unknown""#);
    let explanation = explain_sources(&[("front-1", balancer)]);
    assert_eq!(explanation.cause, Cause::NoReply { agent: "10.0.0.9:7720".to_owned() });
    // The event 621 about another agent is not included.
    assert_eq!(explanation.events.len(), 2);
}

#[test]
fn clock_skew_does_not_change_the_causal_order() {
    let balancer = flow_line(9.0, 641, r#""agent":"10.0.0.9:7720","copies":0"#);
    let agent = flow_line(7.5, 642, r#""load":1,"last":false,"limit":40,"walk":"10.0.0.9:7720=-""#);
    let explanation = explain_sources(&[("side-1", agent), ("front-1", balancer)]);
    assert_eq!(
        event_order(&explanation),
        [("front-1".to_owned(), 641), ("side-1".to_owned(), 642)]
    );
}

#[test]
fn line_prefix_of_a_log_collector_names_the_process() {
    let text = format!("  34.02 front-9 {}", flow_line(9.0, 650, r#""why":"no-upstream""#));
    let explanation = explain_sources(&[("all", text)]);
    assert_eq!(explanation.cause, Cause::NoUpstream { process: "front-9".to_owned() });
}

#[test]
fn suppressed_lines_are_reported() {
    let balancer =
        flow_line(9.0, 645, r#""asked":4"#) + &log_line(9.5, 661, r#""steps":10,"outcomes":77"#);
    assert_eq!(
        explain_sources(&[("front-1", balancer)]).cause,
        Cause::LinesSuppressed { lines: 77 }
    );
    assert_eq!(explain_sources(&[("front-1", String::new())]).cause, Cause::NotLogged);
}

#[test]
fn unparsable_lines_are_counted_and_an_unlogged_flow_exits_with_4() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_camphorwinch"))
        .args(["explain", "--flow", "100.64.0.7:1041", "--output", "json"])
        .env_remove("CAMPHORWINCH_PLATFORM")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("start the command");
    let text = flow_line(9.0, 653, r#""limit":40,"walk":"10.0.0.9:7720=-""#);
    let mut input = child.stdin.take().expect("stdin is piped");
    input.write_all(b"not a line of ours\n{\"timestamp\":7}\n\xff\xfe{\n").expect("write");
    input.write_all(text.as_bytes()).expect("write");
    drop(input);
    let output = child.wait_with_output().expect("wait for the command");
    assert_eq!(output.status.code(), Some(0));
    let printed: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(printed["unreadable"], 3);
    assert_eq!(printed["cause"], "every candidate refused the flow: 10.0.0.9:7720=-");
    let mut command = Command::new(env!("CARGO_BIN_EXE_camphorwinch"));
    let nothing = command.args(["explain", "--flow", "1.2.3.4:5"]).stdin(Stdio::null()).output();
    assert_eq!(nothing.expect("run the command").status.code(), Some(4));
}
