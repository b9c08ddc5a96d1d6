use camphorwinch_core::opaque::{
    PoolId,
    revision::Revision,
    route::{Lookup, Route, RouteTable, Routes, WeightedPool},
};
use quickcheck::quickcheck;

use crate::support::{routes, service};

#[test]
fn an_older_configuration_never_replaces_a_newer_one() {
    let mut table = RouteTable::default();
    assert!(table.update(routes(5), 0));
    assert!(!table.update(routes(4), 0));
    assert!(!table.update(routes(5), 0));
    assert_eq!(table.config_version(), Some(routes(5).config_version()));
    let older_version = Routes { version: 3, ..routes(6) };
    assert!(!table.update(older_version, 0));
    assert_eq!(table.config_version(), Some(routes(5).config_version()));
}

// After a store reset, later versions have lower revisions; ordered by revision, a dropped route stayed in force.
#[test]
fn a_later_version_replaces_one_with_a_higher_revision() {
    let mut table = RouteTable::default();
    let at = |era, number| Revision::new(era, number);
    assert!(table.update(Routes { version: 22, ..routes(25) }, 0));
    assert!(table.update(Routes { revision: at(1, 23), version: 26, ..Routes::default() }, 0));
    assert_eq!(table.lookup(service()), Lookup::Dropped);
    // The next version has the revision known before the reset.
    assert!(table.update(Routes { revision: at(1, 25), version: 28, ..routes(25) }, 0));
    // Also from a store that does not report its era.
    assert!(table.update(Routes { revision: at(0, 24), version: 30, ..routes(24) }, 0));
}

// After a reset the store holds an earlier version at a revision of a new era.
#[test]
fn a_store_reset_never_restores_an_earlier_version() {
    let mut table = RouteTable::default();
    assert!(table.update(Routes { version: 26, ..Routes::default() }, 0));
    assert!(!table.update(Routes { revision: Revision::new(1, 9), version: 22, ..routes(9) }, 0));
    assert_eq!(table.lookup(service()), Lookup::None);
    assert!(table.update(Routes { revision: Revision::new(1, 10), version: 26, ..routes(10) }, 0));
    assert!(!table.update(Routes { revision: Revision::new(0, 99), version: 26, ..routes(99) }, 0));
}

#[test]
fn a_dropped_route_differs_from_an_unknown_one() {
    let mut table = RouteTable::default();
    assert_eq!(table.lookup(service()), Lookup::NoConfig);
    table.update(Routes { revision: Revision::new(0, 1), version: 1, ..Routes::default() }, 0);
    assert_eq!(table.lookup(service()), Lookup::None);
    table.update(routes(2), 0);
    assert!(matches!(table.lookup(service()), Lookup::Route(_)));
    table.update(Routes { revision: Revision::new(0, 3), version: 3, ..Routes::default() }, 0);
    assert_eq!(table.lookup(service()), Lookup::Dropped);
    table.update(routes(4), 0);
    assert!(matches!(table.lookup(service()), Lookup::Route(_)));
}

#[test]
fn flows_are_split_by_weight() {
    let weighted = |pool, weight| WeightedPool { pool: PoolId(pool), weight };
    let route = Route::new(vec![weighted(1, 90), weighted(2, 10)]);
    let hash = |it: u64| it.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let second = (0..10_000).filter(|&it| route.select_pool(hash(it)) == Some(PoolId(2))).count();
    assert!((800..1_200).contains(&second), "{second}");
    assert_eq!(Route::new(vec![]).select_pool(7), None);
    assert_eq!(Route::new(vec![weighted(3, 0)]).select_pool(7), Some(PoolId(3)));
}

quickcheck! {
    fn the_highest_config_version_is_in_force(revisions: Vec<u8>) -> bool {
        let mut table = RouteTable::default();
        let mut highest = None;
        for revision in revisions {
            let before = table.config_version();
            let update = routes(u64::from(revision) + 1);
            highest = highest.max(Some(update.config_version()));
            let applied = table.update(update, 0);
            if applied != (table.config_version() > before) || table.config_version() != highest {
                return false;
            }
        }
        true
    }
}
