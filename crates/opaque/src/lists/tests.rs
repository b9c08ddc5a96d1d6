use camphorwinch_core::opaque::{
    PoolId,
    fleet::{self, ZoneId},
};

use super::*;

fn listed(host: u8, pool: Option<u64>) -> fleet::MemberEntry {
    let address = SocketAddrV4::new([10, 0, 0, host].into(), 7720);
    fleet::MemberEntry { address, pool: pool.map(PoolId), zone: ZoneId(u64::from(host)) }
}

fn record(host: u8, pool: Option<u64>) -> Record {
    let revision = Revision::new(0, u64::from(host));
    Record { name: format!("process-{host}"), listed: listed(host, pool), revision }
}

fn names(snapshot: &Snapshot) -> Vec<&str> {
    snapshot.members.iter().map(|it| it.name.as_str()).collect()
}

// A partial list must not pass for the whole: the requester could reset flows of the missing agent.
#[test]
fn served_list_contains_all_listed_members() {
    let lists = Lists::default();
    lists.publish(Revision::new(0, 9), vec![record(1, None), record(2, Some(5))], 1);
    // The server knows of an unlisted agent and assumes that the listed one is gone.
    let known = Snapshot::new(None, &[listed(1, None), listed(3, Some(5))]);
    let served = lists.complete(known.clone(), Part::All);
    assert_eq!(names(&served), ["", "process-1", "process-2"]);
    assert_eq!(served.listed_at(), Some(Revision::new(0, 9)));
    let balancers = known.select(&SnapshotRequest::default().with_members(Part::Balancers));
    assert_eq!(names(&lists.complete(balancers, Part::Balancers)), ["process-1"]);
    let config = known.select(&SnapshotRequest::default().with_config());
    assert!(lists.complete(config, Part::None).members.is_empty());
}
