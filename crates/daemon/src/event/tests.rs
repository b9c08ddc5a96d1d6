use super::*;

const CATALOGUE: &str = include_str!("../../../../docs/EVENTS.md");

fn row(id: EventId) -> String {
    let level = match id.level() {
        Level::Info => "info",
        Level::Warn => "warn",
        Level::Error => "error",
    };
    format!("| {} | {} | {level} | {} |", id as u16, id.name(), id.meaning())
}

#[test]
fn event_catalogue_matches_the_docs() {
    let expected: Vec<String> = EventId::ALL.iter().map(|&it| row(it)).collect();
    let starts_with_number =
        |line: &&str| line.starts_with("| ") && line.as_bytes()[2].is_ascii_digit();
    // The section on opaque flows is checked by the tests of that crate.
    let (daemon_rows, _) = CATALOGUE.split_once("## Opaque flows").unwrap();
    let found: Vec<&str> = daemon_rows.lines().filter(starts_with_number).collect();
    assert_eq!(found, expected);
}

#[test]
fn pending_events_are_bounded_and_dropped_events_counted() {
    let mut recorder = Recorder {
        process: "p".to_owned(),
        clock: Hlc::new(),
        next: 0,
        recent: VecDeque::new(),
        pending: VecDeque::new(),
        dropped: 0,
    };
    for _ in 0..MAX_PENDING_EVENTS + 5 {
        recorder.record(EventId::LinkUp, EventSubject::new(), "");
    }
    assert_eq!(recorder.pending.len(), MAX_PENDING_EVENTS);
    assert_eq!(recorder.dropped, 5);
    let stamps: Vec<HlcTimestamp> = recorder.recent.iter().map(|it| it.stamp).collect();
    assert!(stamps.is_sorted());
}
