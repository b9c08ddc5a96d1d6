//! Help for a reader that goes away early, as in `--help | head -1`.

use std::{
    io,
    process::{Command, Stdio},
};

#[test]
fn help_into_a_closed_pipe_is_no_fault() {
    let calls: &[&[&str]] = &[&["--help"], &["apply", "--help"], &["--version"]];
    for args in calls {
        let (reader, writer) = io::pipe().unwrap();
        drop(reader);
        let mut command = Command::new(env!("CARGO_BIN_EXE_camphorwinch"));
        let output = command.args(*args).stdout(writer).stderr(Stdio::piped()).output().unwrap();
        let said = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!((output.status.code(), said.as_str()), (Some(0), ""), "{args:?}");
    }
}

#[test]
fn help_is_whole_for_a_reader_that_stays() {
    let output = Command::new(env!("CARGO_BIN_EXE_camphorwinch")).arg("--help").output().unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(text.contains("Usage: camphorwinch") && text.ends_with('\n'), "{text}");
}
