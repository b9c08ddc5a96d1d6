//! Property tests of views that sync with a platform and with each other over an unreliable network.

use std::collections::BTreeMap;

use camphorwinch_core::{
    assemble::Assembler,
    invariant::{Invariant, violations},
    member::{Agent, AgentState, Balancer, BalancerState, Place},
    object::{Kind, Object},
    record::{Key, Member, Record, Role, Version},
    revision::Revision,
    view::{DOWN_MEMBER_TTL_MS, Scope, View, WatermarkOutcome},
};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use serde_json::json;

const VIEWS: usize = 4;
const NAMES: u8 = 6;
const CASES: u64 = 4_000;

/// One step of a scenario.
#[derive(Clone, Debug)]
enum Step {
    /// An operator writes or deletes an object.
    Write { name: u8, delete: bool },
    /// A view receives the watch events up to the one `back` before the newest; `skipped` drops some.
    Watch { view: u8, back: u8, skipped: bool },
    /// A view applies a list of the platform.
    List { view: u8 },
    /// A view receives a record of another, without a watermark.
    Gossip { from: u8, to: u8, name: u8 },
    /// Two views compare; `lost` drops all but one of the sent records.
    Compare { from: u8, to: u8, lost: bool },
    /// A view is replaced by an empty one.
    Restart { view: u8 },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let view = u8::arbitrary(g) % VIEWS as u8;
        let other = u8::arbitrary(g) % VIEWS as u8;
        let name = u8::arbitrary(g) % NAMES;
        match u8::arbitrary(g) % 16 {
            0..5 => Step::Write { name, delete: bool::arbitrary(g) },
            5..8 => Step::Watch { view, back: u8::arbitrary(g) % 4, skipped: bool::arbitrary(g) },
            8..9 => Step::List { view },
            9..12 => Step::Gossip { from: view, to: other, name },
            12..15 => Step::Compare { from: view, to: other, lost: bool::arbitrary(g) },
            _ => Step::Restart { view },
        }
    }
}

#[derive(Default)]
struct Platform {
    revision: u64,
    objects: BTreeMap<String, Object>,
    events: Vec<Record>,
}

impl Platform {
    fn write(&mut self, name: &str, delete: bool) {
        if delete && !self.objects.contains_key(name) {
            return;
        }
        self.revision += 1;
        let revision = self.revision;
        let kind = Kind::Change;
        if delete {
            self.objects.remove(name);
            let name = name.to_owned();
            self.events.push(Record::Deleted { kind, name, revision });
            return;
        }
        let spec = json!({ "action": "drain", "target": { "vm": format!("vm-{revision}") } });
        let object = Object {
            kind: kind.as_str().to_owned(),
            name: name.to_owned(),
            version: revision,
            writer: String::new(),
            spec,
        };
        self.objects.insert(name.to_owned(), object.clone());
        self.events.push(Record::Object { kind, object });
    }

    fn list(&self) -> Vec<Object> {
        self.objects.values().cloned().collect()
    }
}

fn list(platform: &Platform, view: &mut View) {
    view.merge_list(Kind::Change, &platform.list(), platform.revision);
    view.confirm_revision(platform.revision);
}

/// Sync exchange after a difference: digest, summary, missing records and watermark.
fn compare(from: &mut View, to: &mut View, lost: bool) -> WatermarkOutcome {
    let scope = Scope::All;
    let summary = to.summary(&scope, &from.digest(&scope));
    let lacking = from.compare(&scope, &summary).missing_at_peer;
    let back = from.summary(&scope, &to.digest(&scope));
    to.compare(&scope, &back);
    for record in lacking.iter().take(if lost { 1 } else { usize::MAX }) {
        to.merge(record, 0);
    }
    from.watermark().map_or(WatermarkOutcome::Unchanged, |it| to.apply_watermark(&it))
}

fn versions(view: &View) -> BTreeMap<String, u64> {
    view.objects(Kind::Change).map(|it| (it.name.clone(), it.version)).collect()
}

fn stored_versions(platform: &Platform) -> BTreeMap<String, u64> {
    platform.objects.values().map(|it| (it.name.clone(), it.version)).collect()
}

struct Run {
    platform: Platform,
    views: Vec<View>,
    assemblers: Vec<Assembler>,
}

impl Run {
    fn new() -> Run {
        Run {
            platform: Platform::default(),
            views: (0..VIEWS).map(|_| View::new()).collect(),
            assemblers: (0..VIEWS).map(|_| Assembler::new()).collect(),
        }
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Write { name, delete } => self.platform.write(&format!("n{name}"), delete),
            Step::Watch { view, back, skipped } => self.watch(view, back, skipped),
            Step::List { view } => list(&self.platform, &mut self.views[usize::from(view)]),
            Step::Gossip { from, to, name } => {
                let key = Key::Object(Kind::Change, format!("n{name}"));
                if let Some(record) = self.views[usize::from(from)].record(&key) {
                    self.views[usize::from(to)].merge(&record, 0);
                }
            }
            Step::Compare { from, to, lost } if from != to => {
                let mut sender = self.views[usize::from(from)].clone();
                compare(&mut sender, &mut self.views[usize::from(to)], lost);
                self.views[usize::from(from)] = sender;
            }
            Step::Compare { .. } => {}
            Step::Restart { view } => {
                self.views[usize::from(view)] = View::new();
                self.assemblers[usize::from(view)] = Assembler::new();
            }
        }
    }

    fn watch(&mut self, view: u8, back: u8, skipped: bool) {
        let events = &self.platform.events;
        let Some(newest) = events.len().checked_sub(1 + usize::from(back)) else {
            return;
        };
        let view = &mut self.views[usize::from(view)];
        let known = view.revision();
        for record in &events[..=newest] {
            let due = record.version().major > known;
            if due && !(skipped && record.version().major % 2 == 0) {
                view.merge(record, 0);
            }
        }
        view.advance_revision(events[newest].version().major);
    }
}

/// After lost messages, a list and a comparison with the view that read it complete every view. No version in force is
/// ever replaced by an older one.
fn complete_after_list_and_compare(steps: Vec<Step>) -> bool {
    let mut run = Run::new();
    let mut floors = [0; VIEWS];
    for step in &steps {
        run.step(step);
        for (index, floor) in floors.iter_mut().enumerate() {
            run.assemblers[index].snapshot(&run.views[index]);
            if matches!(step, Step::Restart { view } if usize::from(*view) == index) {
                *floor = 0;
            }
            assert!(run.views[index].floor() >= *floor, "the floor decreased");
            *floor = run.views[index].floor();
        }
    }
    list(&run.platform, &mut run.views[0]);
    let mut seed = run.views[0].clone();
    for view in &mut run.views[1..] {
        compare(&mut seed, view, false);
        let outcome = compare(&mut seed, view, false);
        assert_ne!(outcome, WatermarkOutcome::Differs);
        assert_eq!(versions(view), stored_versions(&run.platform));
    }
    versions(&seed) == stored_versions(&run.platform) && violations(Invariant::VersionGrows) == 0
}

/// Without skipped events, a view that applied a watermark holds what the platform stored at that revision.
fn marks_match_platform(steps: Vec<Step>) -> bool {
    let mut run = Run::new();
    let mut history = vec![(0, BTreeMap::new())];
    for step in &steps {
        let step = match step.clone() {
            Step::Watch { view, back, .. } => Step::Watch { view, back, skipped: false },
            other => other,
        };
        run.step(&step);
        history.push((run.platform.revision, stored_versions(&run.platform)));
        for view in run.views.iter().filter(|it| it.synced()) {
            let newest = history.iter().rev().find(|(at, _)| *at <= view.revision());
            let (_, expected) = newest.unwrap();
            for (name, version) in versions(view) {
                let known = expected.get(&name) == Some(&version);
                assert!(known || version > view.revision(), "{name} at {version}: {view:?}");
            }
            for (name, version) in expected {
                let held = view.record(&Key::Object(Kind::Change, name.clone()));
                assert!(held.is_some_and(|it| it.version().major >= *version), "{name} is missing");
            }
        }
    }
    true
}

/// Some failures occur only in thousands of cases; `QUICKCHECK_TESTS` overrides the number.
fn check(property: fn(Vec<Step>) -> bool) {
    let cases = std::env::var("QUICKCHECK_TESTS").ok().and_then(|it| it.parse().ok());
    QuickCheck::new().tests(cases.unwrap_or(CASES)).quickcheck(property);
}

#[test]
fn views_converge() {
    check(complete_after_list_and_compare);
}

#[test]
fn adopted_marks_match_the_platform() {
    check(marks_match_platform);
}

fn place(zone: &str) -> Place {
    Place { vm: "v".to_owned(), zone: zone.to_owned(), region: "r".to_owned() }
}

fn agent(name: &str, pool: &str, version: Version) -> Member {
    let agent = Agent {
        name: name.to_owned(),
        place: place("z"),
        pool: pool.to_owned(),
        data: "127.0.0.1:1".parse().unwrap(),
        control: "127.0.0.1:2".parse().unwrap(),
        weight: 1.0,
        slots: 1,
        connections: 1,
        state: AgentState::Ready,
    };
    Member { version, since_ms: 0, role: Role::Agent { agent, balancers: Vec::new() } }
}

/// Regression: a view applied a watermark without having received a deletion, and a third view restored the object.
#[test]
fn a_mark_includes_deletions_that_the_receiver_missed() {
    let mut run = Run::new();
    let write = |name, delete| Step::Write { name, delete };
    let steps = [
        write(4, false),
        write(0, false),
        Step::Watch { view: 1, back: 1, skipped: false },
        write(4, true),
        Step::Watch { view: 2, back: 0, skipped: false },
        Step::Compare { from: 2, to: 3, lost: true },
        Step::Compare { from: 1, to: 3, lost: false },
    ];
    for step in &steps {
        run.step(step);
    }
    assert_eq!(run.views[3].revision(), 3);
    assert_eq!(versions(&run.views[3]), stored_versions(&run.platform));
}

/// Regression: an object newer than the watermark was left out of the sum, which hid that the receiver lacked it.
#[test]
fn a_newer_version_does_not_hide_a_missing_object() {
    let mut run = Run::new();
    let write = |name| Step::Write { name, delete: false };
    let steps = [
        write(0),
        write(1),
        Step::Watch { view: 2, back: 0, skipped: false },
        write(2),
        write(1),
        Step::List { view: 3 },
        Step::Compare { from: 3, to: 2, lost: true },
        Step::Compare { from: 2, to: 0, lost: true },
    ];
    for step in &steps {
        run.step(step);
    }
    assert!(!run.views[0].synced(), "it has one of two objects");
}

#[test]
fn member_versions_order_by_incarnation_then_sequence() {
    let mut view = View::new();
    let alive = agent("a", "p", Version::member(5, 3));
    assert!(view.merge(&Record::Member(alive.clone()), 0));
    assert!(!view.merge(&Record::Member(agent("a", "p", Version::member(4, 9))), 0));
    let down = alive.as_down(1_000);
    assert!(view.merge(&Record::Member(down.clone()), 1_000));
    assert!(
        !view.merge(&Record::Member(alive), 1_000),
        "an old announcement does not replace a death"
    );
    assert!(view.merge(&Record::Member(agent("a", "p", down.version.next())), 1_000));
}

#[test]
fn dead_members_expire_and_are_not_restored() {
    let mut view = View::new();
    let down = agent("a", "p", Version::member(1, 0)).as_down(1_000);
    view.merge(&Record::Member(down.clone()), 1_000);
    let later = 1_001 + DOWN_MEMBER_TTL_MS;
    assert_eq!(view.purge_down_members(later), 1);
    assert!(!view.merge(&Record::Member(down), later), "a late record does not restore it");
}

#[test]
fn an_agent_receives_its_pools_and_all_balancers() {
    let mut home = View::new();
    let balancer = Balancer {
        name: "b".to_owned(),
        place: place("z"),
        control: "127.0.0.1:3".parse().unwrap(),
        state: BalancerState::Ready,
    };
    let role = Role::Balancer { balancer, lease: None };
    let version = Version::member(1, 0);
    home.merge(&Record::Member(Member { version, since_ms: 0, role }), 0);
    home.merge(&Record::Member(agent("a", "p", version)), 0);
    home.merge(&Record::Member(agent("x", "q", version)), 0);
    let scope = Scope::Pools(["p".to_owned()].into());
    let summary = View::new().summary(&scope, &home.digest(&scope));
    let lacking = home.compare(&scope, &summary).missing_at_peer;
    let names: Vec<_> = lacking.iter().map(Record::key).collect();
    assert_eq!(names, [Key::Member("a".to_owned()), Key::Member("b".to_owned())]);
}

#[test]
fn an_invalid_object_leaves_the_last_valid_one_in_force() {
    let mut view = View::new();
    let mut assembler = Assembler::new();
    let object = |version, spec| Object {
        kind: "service".to_owned(),
        name: "s".to_owned(),
        version,
        writer: String::new(),
        spec,
    };
    let good = json!({ "address": "127.0.0.1:1", "pool": "p", "certificate": "c" });
    let kind = Kind::Service;
    view.merge(&Record::Object { kind, object: object(1, good) }, 0);
    assert!(assembler.snapshot(&view).1.is_empty());
    view.merge(&Record::Object { kind, object: object(2, json!({ "pool": 7 })) }, 0);
    let (snapshot, errors) = assembler.snapshot(&view);
    assert_eq!(errors.len(), 1);
    assert_eq!(snapshot.services.values().next().map(|it| it.version), Some(1));
    assert!(assembler.snapshot(&view).1.is_empty(), "an error is reported once");
}

fn object_at(era: u64, number: u64, name: &str) -> Object {
    Object {
        kind: Kind::Change.as_str().to_owned(),
        name: name.to_owned(),
        version: Revision::new(era, number).packed(),
        writer: String::new(),
        spec: json!({ "action": "drain", "target": { "vm": format!("vm-{number}") } }),
    }
}

// Guards against reverting confirmed changes after the platform was reset to an older copy.
#[test]
fn a_restored_backup_does_not_revert_confirmed_changes() {
    let mut view = View::new();
    let at = |era, number| Revision::new(era, number).packed();
    let known = [object_at(0, 25, "changed"), object_at(0, 26, "lost"), object_at(0, 20, "same")];
    view.merge_list(Kind::Change, &known, at(0, 26));
    view.confirm_revision(at(0, 26));
    let backup = [object_at(1, 18, "changed"), object_at(1, 20, "same")];
    assert!(view.merge_reset_list(Kind::Change, &backup, 0).is_empty());
    view.advance_revision(at(1, 21));
    let kept = [("changed", at(0, 25)), ("lost", at(0, 26)), ("same", at(0, 20))];
    assert_eq!(versions(&view), kept.map(|(name, it)| (name.to_owned(), it)).into());
    assert_eq!(view.floor(), at(0, 26), "no object counts as deleted");
    // A change after the reset applies although its number is lower than the known one.
    let news = Record::Object { kind: Kind::Change, object: object_at(1, 22, "changed") };
    assert!(view.merge(&news, 0));
    // Complete lists apply after the writers had time to write again.
    let list = [object_at(1, 22, "changed"), object_at(1, 20, "same")];
    view.merge_list(Kind::Change, &list, at(1, 23));
    assert_eq!(
        versions(&view),
        [("changed".to_owned(), at(1, 22)), ("same".to_owned(), at(1, 20))].into()
    );
}

// Guards against a process started after the reset, which has only the older copy, reverting its peers.
#[test]
fn a_view_of_only_the_backup_does_not_revert_its_peers() {
    let at = |era, number| Revision::new(era, number).packed();
    let (mut old, mut new) = (View::new(), View::new());
    old.merge_list(
        Kind::Change,
        &[object_at(0, 25, "changed"), object_at(0, 26, "lost")],
        at(0, 26),
    );
    old.confirm_revision(at(0, 26));
    new.merge_reset_list(Kind::Change, &[object_at(1, 18, "changed")], 0);
    new.advance_revision(at(1, 21));
    for _ in 0..2 {
        compare(&mut new, &mut old, false);
        compare(&mut old, &mut new, false);
    }
    let known = BTreeMap::from([("changed".to_owned(), at(0, 25)), ("lost".to_owned(), at(0, 26))]);
    assert_eq!((versions(&old), versions(&new)), (known.clone(), known));
}
