//! Explaining a flow from logs.

use std::{
    io::Write as _,
    process::{Command, Stdio},
    time::Duration,
};

use camphorwinch_cli::explain::{Account, Cause, Logs, Question, explain};

const FLOW: &str = "100.64.0.7:1041>198.18.0.1:8443";

fn line(second: f64, id: u16, rest: &str) -> String {
    let ms = (second * 1_000.0).round() as u64;
    let at = format!("2026-06-13T13:49:{:02}.{:03}Z", ms / 1_000, ms % 1_000);
    format!(
        "{{\"timestamp\":\"{at}\",\"level\":\"INFO\",\"id\":{id},\"name\":\"event-{id}\",{rest}}}\n"
    )
}

fn of_flow(second: f64, id: u16, rest: &str) -> String {
    line(second, id, &format!("\"flow\":\"{FLOW}\",{rest}"))
}

fn account(sources: &[(&str, String)]) -> Account {
    let mut logs = Logs::new();
    for (name, text) in sources {
        logs.read(name, text.as_bytes()).expect("read from memory");
    }
    explain(&logs, &Question { flow: FLOW.to_owned(), around: Duration::from_secs(2) })
}

fn order(account: &Account) -> Vec<(String, u16)> {
    account.events.iter().map(|it| (it.process.clone(), it.id)).collect()
}

#[test]
fn a_flow_whose_agent_and_upstream_started_again() {
    let agent = line(1.0, 601, r#""role":"agent","process":"side-1","address":"10.0.0.9:7720""#)
        + &of_flow(10.0, 642, r#""load":100,"last":false,"limit":300,"walk":"10.0.0.9:7720=-""#)
        + &line(12.0, 601, r#""role":"agent","process":"side-1","address":"10.0.0.9:7720""#);
    let balancer = of_flow(9.9, 641, r#""agent":"10.0.0.9:7720","copies":0"#)
        + &of_flow(12.5, 645, r#""asked":4"#)
        + &of_flow(12.6, 647, r#""absent":4,"asked":4"#)
        + &of_flow(12.6, 650, r#""why":"not-held""#);
    let account = account(&[("a", agent), ("front-1", balancer)]);
    let expected = Cause::NotHeld { holder: Some("side-1".to_owned()), restarted: true };
    assert_eq!(account.cause, expected);
    let ids: Vec<u16> = account.events.iter().map(|it| it.id).collect();
    assert_eq!(ids, [641, 642, 601, 645, 647, 650]);
}

#[test]
fn a_request_that_waited_as_the_pool_was_full() {
    let walk = "10.0.0.8:7720=6000 10.0.0.9:7720=5850";
    let agent =
        of_flow(10.0, 642, &format!(r#""load":5850,"last":true,"limit":5700,"walk":"{walk}""#));
    let account = account(&[("side-1", agent)]);
    let expected = Cause::Full { process: "side-1".to_owned(), load: 5_850, walk: walk.to_owned() };
    assert!(account.cause.to_string().starts_with("all 2 candidates"), "{}", account.cause);
    assert_eq!(account.cause, expected);
}

#[test]
fn a_request_that_waited_at_the_agent() {
    let placed = of_flow(10.0, 642, r#""load":5,"last":false,"limit":40,"walk":"10.0.0.9:7720=-""#);
    let long = of_flow(10.5, 654, r#""waited_ms":400,"cause":"overdue","waiting":7"#);
    let short = of_flow(11.5, 654, r#""waited_ms":20,"cause":"slot","waiting":0"#);
    let account_of = |text: String| account(&[("side-1", text)]).cause;
    let expected =
        Cause::Waited { process: "side-1".to_owned(), waited_ms: 400, cause: "overdue".to_owned() };
    assert_eq!(account_of(placed.clone() + &long + &short), expected);
    assert_eq!(account_of(placed + &short), Cause::Served { process: "side-1".to_owned() });
}

#[test]
fn a_refusal_tells_the_configuration_in_force() {
    let balancer = line(8.5, 611, r#""revision":31,"version":7,"before":20,"routes":13"#)
        + &line(8.9, 611, r#""revision":40,"version":9,"before":31,"routes":12"#)
        + &of_flow(9.0, 650, r#""why":"route-dropped""#);
    let account = account(&[("front-1", balancer)]);
    let expected = Cause::RouteDropped { process: "front-1".to_owned(), revision: Some(40) };
    assert_eq!(account.cause, expected);
}

#[test]
fn a_silent_agent_is_named() {
    let balancer = of_flow(9.0, 647, r#""absent":3,"asked":4,"silent":"10.0.0.9:7720""#)
        + &line(8.0, 621, r#""agent":"10.0.0.9:7720","change":"State","upstream":"unknown""#)
        + &line(8.1, 621, r#""agent":"10.0.0.8:7720","change":"State","upstream":"unknown""#);
    let account = account(&[("front-1", balancer)]);
    assert_eq!(account.cause, Cause::Silent { agent: "10.0.0.9:7720".to_owned() });
    // What is believed of other agents is left out.
    assert_eq!(account.events.len(), 2);
}

#[test]
fn a_clock_that_is_behind_does_not_turn_the_order_round() {
    let balancer = of_flow(9.0, 641, r#""agent":"10.0.0.9:7720","copies":0"#);
    let agent = of_flow(7.5, 642, r#""load":1,"last":false,"limit":40,"walk":"10.0.0.9:7720=-""#);
    let account = account(&[("side-1", agent), ("front-1", balancer)]);
    assert_eq!(order(&account), [("front-1".to_owned(), 641), ("side-1".to_owned(), 642)]);
}

#[test]
fn prefixes_of_collectors_name_the_process() {
    let text = format!("  34.02 front-9 {}", of_flow(9.0, 650, r#""why":"no-upstream""#));
    let account = account(&[("all", text)]);
    assert_eq!(account.cause, Cause::NoUpstream { process: "front-9".to_owned() });
}

#[test]
fn what_was_left_out_is_said() {
    let balancer =
        of_flow(9.0, 645, r#""asked":4"#) + &line(9.5, 661, r#""steps":10,"outcomes":77"#);
    assert_eq!(account(&[("front-1", balancer)]).cause, Cause::LinesLeftOut { lines: 77 });
    assert_eq!(account(&[("front-1", String::new())]).cause, Cause::Unseen);
}

#[test]
fn lines_that_can_not_be_read_are_counted_and_exit_codes_tell_what_was_found() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_camphorwinch"))
        .args(["explain", "--flow", "100.64.0.7:1041", "--output", "json"])
        .env_remove("CAMPHORWINCH_PLATFORM")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("start the tool");
    let text = of_flow(9.0, 653, r#""limit":40,"walk":"10.0.0.9:7720=-""#);
    let mut input = child.stdin.take().expect("piped");
    input.write_all(b"not a line of ours\n{\"timestamp\":7}\n\xff\xfe{\n").expect("write");
    input.write_all(text.as_bytes()).expect("write");
    drop(input);
    let output = child.wait_with_output().expect("ends");
    assert_eq!(output.status.code(), Some(0));
    let said: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(said["unreadable"], 3);
    assert_eq!(said["cause"], "every candidate refused the flow: 10.0.0.9:7720=-");
    let mut command = Command::new(env!("CARGO_BIN_EXE_camphorwinch"));
    let nothing = command.args(["explain", "--flow", "1.2.3.4:5"]).stdin(Stdio::null()).output();
    assert_eq!(nothing.expect("runs").status.code(), Some(4));
}
