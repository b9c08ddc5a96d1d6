use camphorwinch_core::opaque::{
    PoolId,
    fleet::{Listed, ZoneId},
};

use super::*;

fn listed(host: u8, pool: Option<u64>) -> Listed {
    let address = SocketAddrV4::new([10, 0, 0, host].into(), 7720);
    Listed { address, pool: pool.map(PoolId), zone: ZoneId(u64::from(host)) }
}

fn record(host: u8, pool: Option<u64>) -> Record {
    let revision = Revision::new(0, u64::from(host));
    Record { name: format!("process-{host}"), listed: listed(host, pool), revision }
}

fn names(snapshot: &Snapshot) -> Vec<&str> {
    snapshot.members.iter().map(|it| it.name.as_str()).collect()
}

// Read while the change was gone over: an agent whose word that it leaves came late, after it was listed again, was missing in what
// was told, and the asker took that for the whole list: it could have reset flows which that agent holds.
#[test]
fn the_list_is_told_whole() {
    let lists = Lists::default();
    lists.put(Revision::new(0, 9), vec![record(1, None), record(2, Some(5))], 1);
    // The teller has heard of an agent that the store does not list, and takes the listed one for gone.
    let heard = Snapshot::new(None, &[listed(1, None), listed(3, Some(5))]);
    let told = lists.complete(heard.clone(), Part::All);
    assert_eq!(names(&told), ["", "process-1", "process-2"]);
    assert_eq!(told.listed_at(), Some(Revision::new(0, 9)));
    let balancers = heard.parts(&Question::default().with_members(Part::Balancers));
    assert_eq!(names(&lists.complete(balancers, Part::Balancers)), ["process-1"]);
    let config = heard.parts(&Question::default().with_config());
    assert!(lists.complete(config, Part::None).members.is_empty());
}
