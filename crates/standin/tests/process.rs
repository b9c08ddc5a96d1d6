//! Tests of the program: subcommands as processes, SIGTERM, and the journal after a kill.

mod client;

use std::{
    env, fs,
    net::SocketAddr,
    process::{self, Stdio},
    time::Duration,
};

use camphorwinch_standin::{
    response,
    upstream::{JournalEvent, read_journal},
};
use client::Client;
use http::Method;
use tokio::{
    io::{AsyncBufReadExt, BufReader},
    process::{Child, Command},
    time::{sleep, timeout},
};

const ANY_PORT: &str = "127.0.0.1:0";
const TIMEOUT: Duration = Duration::from_secs(20);

/// Starts a subcommand and parses the addresses from its first output line.
async fn start(args: &[&str]) -> (Child, Vec<SocketAddr>) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_camphorwinch-standin"))
        .args(args)
        .stdout(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .unwrap();
    let mut line = String::new();
    let mut out = BufReader::new(child.stdout.take().unwrap());
    timeout(TIMEOUT, out.read_line(&mut line)).await.unwrap().unwrap();
    let words = line.split([' ', ',', '\n']);
    (child, words.filter_map(|word| word.parse().ok()).collect())
}

async fn terminate(child: &Child) {
    let pid = child.id().unwrap().to_string();
    assert!(Command::new("kill").arg(pid).status().await.unwrap().success());
}

async fn exit_code(child: &mut Child) -> Option<i32> {
    timeout(TIMEOUT, child.wait()).await.unwrap().unwrap().code()
}

#[tokio::test]
async fn sigterm_stops_each_subcommand_with_success() {
    let upstream =
        ["upstream", "--listen", ANY_PORT, "--admin", ANY_PORT, "--name", "u", "--pool", "p"];
    let all: [&[&str]; 3] = [
        &["platform", "--listen", ANY_PORT, "--delay-ms", "1"],
        &["fabric", "--admin", ANY_PORT, "--loss", "0.5"],
        &upstream,
    ];
    for args in all {
        let (mut child, addrs) = start(args).await;
        assert!(!addrs.is_empty(), "{args:?}");
        terminate(&child).await;
        assert_eq!(exit_code(&mut child).await, Some(0), "{args:?}");
    }
}

#[tokio::test]
async fn a_second_sigterm_aborts_no_request() {
    let (mut child, addrs) = start(&[
        "upstream", "--listen", ANY_PORT, "--admin", ANY_PORT, "--name", "u", "--pool", "p",
    ])
    .await;
    let (client, admin) = (Client::new(addrs[0]), Client::new(addrs[1]));
    let request = tokio::spawn(async move {
        client.call(Method::POST, "/transfer?work_ms=1000", &[], Vec::new()).await
    });
    while admin.get("/record").await.unwrap().json()["started"] == 0 {
        sleep(Duration::from_millis(2)).await;
    }
    terminate(&child).await;
    terminate(&child).await;
    assert_eq!(request.await.unwrap().unwrap().status, 200);
    assert_eq!(exit_code(&mut child).await, Some(0));
}

#[tokio::test]
async fn the_journal_survives_a_kill() {
    let path = env::temp_dir().join(format!("camphorwinch-kill-{}", process::id()));
    let file = path.to_str().unwrap();
    let (mut child, addrs) = start(&[
        "upstream",
        "--listen",
        ANY_PORT,
        "--admin",
        ANY_PORT,
        "--name",
        "u",
        "--pool",
        "p",
        "--journal",
        file,
    ])
    .await;
    let (client, admin) = (Client::new(addrs[0]), Client::new(addrs[1]));
    let request = tokio::spawn(async move {
        let headers = [(response::IDEMPOTENCY_KEY, "killed")];
        client.call(Method::POST, "/transfer?work_ms=60000", &headers, Vec::new()).await
    });
    while admin.get("/record").await.unwrap().json()["started"] == 0 {
        sleep(Duration::from_millis(2)).await;
    }
    child.kill().await.unwrap();
    assert!(request.await.unwrap().is_err());
    let entries = read_journal(&path).unwrap();
    fs::remove_file(&path).unwrap();
    assert_eq!(entries.len(), 1);
    assert_eq!((entries[0].event, entries[0].key.as_str()), (JournalEvent::Start, "killed"));
}

#[tokio::test]
async fn invalid_settings_are_rejected() {
    for args in [
        &["platform", "--listen", ANY_PORT, "--lost", "2"][..],
        &["platform", "--listen", "nowhere"],
        &["fabric", "--admin", ANY_PORT, "--route", "127.0.0.1:1"],
        &["fabric", "--admin", ANY_PORT, "--idle-s", "0"],
        &[
            "upstream", "--listen", ANY_PORT, "--admin", ANY_PORT, "--name", "u", "--pool", "p",
            "--slots", "0",
        ],
    ] {
        let program = env!("CARGO_BIN_EXE_camphorwinch-standin");
        let output = timeout(TIMEOUT, Command::new(program).args(args).output()).await;
        let output = output.unwrap().unwrap();
        assert!(!output.status.success(), "{args:?}");
        assert!(!output.stderr.is_empty(), "{args:?}");
    }
}
