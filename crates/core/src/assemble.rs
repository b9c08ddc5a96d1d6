//! Builds snapshots for the data paths out of a view.

use std::collections::{BTreeMap, btree_map};

use crate::{
    invariant::{Invariant, check},
    object::{KEYS_NAME, Kind, Object, Service, ServiceId, Spec, SpecError, check_services},
    record::Role,
    snapshot::{ServiceEntry, Snapshot},
    view::View,
};

/// Builds snapshots; remembers the last good spec of each object, which stays in force while a newer one is malformed.
#[derive(Debug, Default)]
pub struct Assembler {
    parsed: BTreeMap<(Kind, String), Parsed>,
}

#[derive(Debug)]
struct Parsed {
    /// Version last looked at.
    seen: u64,
    /// The last good spec, with its version.
    good: Option<(u64, Spec)>,
}

impl Assembler {
    /// An assembler that remembers nothing.
    pub fn new() -> Assembler {
        Assembler::default()
    }

    /// The snapshot of `view`, and the faults of objects that were not reported before.
    pub fn snapshot(&mut self, view: &View) -> (Snapshot, Vec<SpecError>) {
        let mut faults = Vec::new();
        let mut next = BTreeMap::new();
        for kind in Kind::CONFIG {
            for object in view.objects(kind) {
                let key = (kind, object.name.clone());
                let old = self.parsed.remove(&key);
                next.insert(key, parse(old, object, &mut faults));
            }
        }
        self.parsed = next;
        let mut snapshot = Snapshot { revision: view.revision(), ..Snapshot::default() };
        self.add_config(&mut snapshot, &mut faults);
        add_members(&mut snapshot, view);
        (snapshot, faults)
    }

    fn add_config(&self, snapshot: &mut Snapshot, faults: &mut Vec<SpecError>) {
        let mut services: Vec<(&str, u64, &Service)> = Vec::new();
        for ((_, name), parsed) in &self.parsed {
            let Some((version, spec)) = &parsed.good else {
                continue;
            };
            match spec {
                Spec::Service(it) => services.push((name, *version, it)),
                Spec::Change(it) => {
                    snapshot.changes.insert(name.clone(), it.clone());
                }
                Spec::Certificate(it) => {
                    snapshot.certificates.insert(name.clone(), it.clone());
                }
                Spec::Keys(it) if name == KEYS_NAME => snapshot.keys = Some(it.clone()),
                Spec::Keys(_) => {}
            }
        }
        services.sort_by_key(|(_, version, _)| *version);
        for (name, version, spec) in services {
            if let Err(fault) = add_service(snapshot, name, version, spec) {
                faults.push(fault);
            }
        }
    }
}

fn parse(old: Option<Parsed>, object: &Object, faults: &mut Vec<SpecError>) -> Parsed {
    // An older version than the one in force stays out, whatever the view says.
    let newer = old.as_ref().is_none_or(|it| object.version >= it.seen);
    if let Some(old) = old.as_ref().filter(|_| !check(Invariant::VersionGrows, newer)) {
        return Parsed { seen: old.seen, good: old.good.clone() };
    }
    if let Some(old) = old.as_ref().filter(|it| it.seen == object.version) {
        return Parsed { seen: old.seen, good: old.good.clone() };
    }
    match Spec::parse(object) {
        Ok(spec) => Parsed { seen: object.version, good: Some((object.version, spec)) },
        Err(fault) => {
            faults.push(fault);
            Parsed { seen: object.version, good: old.and_then(|it| it.good) }
        }
    }
}

/// Adds a service unless an older one has its address or number: one packet must have one service.
fn add_service(
    snapshot: &mut Snapshot,
    name: &str,
    version: u64,
    spec: &Service,
) -> Result<(), SpecError> {
    let id = ServiceId::new(name);
    let rival = snapshot.services.values().find(|it| it.spec.address == spec.address);
    let rival = rival.or_else(|| snapshot.services.get(&id));
    if let Some(rival) = rival {
        check_services([(rival.name.as_str(), &rival.spec), (name, spec)])?;
    }
    if let btree_map::Entry::Vacant(entry) = snapshot.services.entry(id) {
        entry.insert(ServiceEntry::new(name, version, spec.clone()));
    }
    Ok(())
}

fn add_members(snapshot: &mut Snapshot, view: &View) {
    for member in view.members() {
        match &member.role {
            Role::Agent { agent, .. } => {
                snapshot.agents.insert(agent.name.clone(), agent.clone());
                snapshot.incarnations.insert(agent.name.clone(), member.version.major);
            }
            Role::Balancer { balancer, .. } => {
                snapshot.balancers.insert(balancer.name.clone(), balancer.clone());
            }
        }
    }
}
