//! Help output, also into a closed pipe as in `--help | head -1`.

use std::{
    io,
    process::{Command, Stdio},
};

#[test]
fn help_into_a_closed_pipe_succeeds() {
    let cases: &[&[&str]] = &[&["--help"], &["agent", "--help"], &["--version"]];
    for args in cases {
        let (reader, writer) = io::pipe().unwrap();
        drop(reader);
        let mut command = Command::new(env!("CARGO_BIN_EXE_camphorwinchd"));
        let output = command.args(*args).stdout(writer).stderr(Stdio::piped()).output().unwrap();
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!((output.status.code(), stderr.as_str()), (Some(0), ""), "{args:?}");
    }
}

#[test]
fn help_is_printed_completely() {
    let output = Command::new(env!("CARGO_BIN_EXE_camphorwinchd")).arg("--help").output().unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(text.contains("Usage: camphorwinchd") && text.ends_with('\n'), "{text}");
}
