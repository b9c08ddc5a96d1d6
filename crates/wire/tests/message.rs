//! Messages round trip, and malformed bytes return an error instead of a panic.

use camphorwinch_core::{
    member::{Agent, AgentState, Balancer, BalancerState, Place},
    object::{Kind, Object},
    record::{Deletion, Member, Record, Role, Version, Watermark},
    view::{self, BUCKET_COUNT},
};
use camphorwinch_wire::message::{
    Body, Digest, Frame, MarkPart, MemberPart, RecordPart, Summary, Update,
};
use prost::Message;
use quickcheck::quickcheck;
use serde_json::json;

fn member(
    name: String,
    agent: bool,
    state: u8,
    version: Version,
    balancers: Vec<String>,
) -> Member {
    let place = Place { vm: name.clone(), zone: "z".to_owned(), region: String::new() };
    let control = "127.0.0.1:7".parse().unwrap();
    let role = if agent {
        let states = [
            AgentState::Starting,
            AgentState::Ready,
            AgentState::Draining,
            AgentState::Leaving,
            AgentState::Down,
        ];
        let agent = Agent {
            name,
            place,
            pool: "p".to_owned(),
            data: "[::1]:9".parse().unwrap(),
            control,
            weight: f64::from(state),
            slots: 3,
            connections: 4,
            state: states[usize::from(state) % states.len()],
        };
        Role::Agent { agent, balancers }
    } else {
        let states = [BalancerState::Ready, BalancerState::Leaving, BalancerState::Down];
        let state = states[usize::from(state) % states.len()];
        let lease = balancers.first().map(|it| it.len() as u8);
        Role::Balancer { balancer: Balancer { name, place, control, state }, lease }
    };
    Member { version, since_ms: version.minor, role }
}

quickcheck! {
    fn random_link_frames_do_not_panic(bytes: Vec<u8>) -> bool {
        match Frame::parse(&bytes) {
            Ok(Body::Update(it)) => it.records.iter().for_each(|it| drop(Record::try_from(it))),
            Ok(Body::Summary(it)) => drop(view::Summary::try_from(&it)),
            Ok(Body::Digest(it)) => drop(it.to_buckets()),
            Ok(_) | Err(_) => {}
        }
        true
    }

    fn altered_link_frames_do_not_panic(at: usize, byte: u8, name: String) -> bool {
        let version = Version::member(1, 2);
        let record = Record::Member(member(name, true, byte, version, Vec::new()));
        let update = Update { records: vec![RecordPart::from(&record)], ..Update::default() };
        let mut bytes = Frame::new(Body::Update(update)).encode_to_vec();
        let at = at % bytes.len();
        bytes[at] = byte;
        if let Ok(Body::Update(it)) = Frame::parse(&bytes) {
            it.records.iter().for_each(|it| drop(Record::try_from(it)));
        }
        Frame::parse(&bytes[..at]).is_err() || at > 0
    }

    fn members_round_trip(name: String, agent: bool, state: u8, version: (u64, u64), balancers: Vec<String>) -> bool {
        let it = member(name, agent, state, Version::member(version.0, version.1), balancers);
        let bytes = MemberPart::from(&it).encode_to_vec();
        Member::try_from(&MemberPart::decode(bytes.as_slice()).unwrap()) == Ok(it)
    }

    fn objects_round_trip(name: String, version: u64, text: String, deleted: bool) -> bool {
        let kind = Kind::Service;
        let record = if deleted {
            Record::Deleted { kind, name, revision: version }
        } else {
            let spec = json!({ "any": text });
            let kind_text = "service".to_owned();
            let object = Object { kind: kind_text, name, version, writer: text, spec };
            Record::Object { kind, object }
        };
        let bytes = RecordPart::from(&record).encode_to_vec();
        Record::try_from(&RecordPart::decode(bytes.as_slice()).unwrap()) == Ok(record)
    }

    fn marks_round_trip(revision: u64, floor: u64, sum: u64) -> bool {
        let kind = Kind::Change;
        let deleted = vec![Deletion { kind, name: floor.to_string(), revision }];
        let mark = Watermark { revision, floor, sum, deleted };
        Watermark::try_from(&MarkPart::from(&mark)) == Ok(mark)
    }
}

#[test]
fn out_of_range_fields_are_rejected() {
    let digest = Digest { buckets: vec![0; BUCKET_COUNT - 1] };
    assert!(digest.to_buckets().is_err());
    let summary = Summary { buckets: vec![BUCKET_COUNT as u32], ..Summary::default() };
    assert!(view::Summary::try_from(&summary).is_err());
    assert!(Record::try_from(&RecordPart::default()).is_err());
    let mut part = MemberPart::from(&member("a".to_owned(), true, 1, Version::default(), vec![]));
    part.control = "nowhere".to_owned();
    let error = Member::try_from(&part).unwrap_err();
    assert_eq!(error.field, "member.control");
}
