use super::*;

const CATALOGUE: &str = include_str!("../../../../docs/EVENTS.md");

fn row(id: Id) -> String {
    let level = match id.level() {
        Level::Info => "info",
        Level::Warn => "warn",
        Level::Error => "error",
    };
    format!("| {} | {} | {level} | {} |", id as u16, id.name(), id.meaning())
}

#[test]
fn catalogue_matches_the_docs() {
    let expected: Vec<String> = Id::ALL.iter().map(|&it| row(it)).collect();
    let starts_with_number =
        |line: &&str| line.starts_with("| ") && line.as_bytes()[2].is_ascii_digit();
    // Those of opaque flows are held equal by the tests of their own crate.
    let (own, _) = CATALOGUE.split_once("## Opaque flows").unwrap();
    let found: Vec<&str> = own.lines().filter(starts_with_number).collect();
    assert_eq!(found, expected);
}

#[test]
fn waiting_events_are_bounded_and_counted() {
    let mut recorder = Recorder {
        process: "p".to_owned(),
        clock: Hlc::new(),
        next: 0,
        kept: VecDeque::new(),
        waiting: VecDeque::new(),
        dropped: 0,
    };
    for _ in 0..WAITING + 5 {
        recorder.record(Id::LinkUp, About::new(), "");
    }
    assert_eq!(recorder.waiting.len(), WAITING);
    assert_eq!(recorder.dropped, 5);
    let stamps: Vec<Stamp> = recorder.kept.iter().map(|it| it.stamp).collect();
    assert!(stamps.is_sorted());
}
