//! Builds snapshots for the data path from a view.

use std::collections::{BTreeMap, btree_map};

use crate::{
    invariant::{Invariant, check},
    object::{KEYS_OBJECT_NAME, Kind, Object, Service, ServiceId, Spec, SpecError, check_services},
    record::Role,
    snapshot::{ServiceEntry, Snapshot},
    view::View,
};

/// Builds snapshots. Keeps the last valid spec of each object in force while a newer one is invalid.
#[derive(Debug, Default)]
pub struct Assembler {
    parsed: BTreeMap<(Kind, String), Parsed>,
}

#[derive(Debug)]
struct Parsed {
    /// Version parsed last.
    parsed_version: u64,
    /// The last valid spec with its version.
    last_valid: Option<(u64, Spec)>,
}

impl Assembler {
    /// Creates an assembler without previous specs.
    pub fn new() -> Assembler {
        Assembler::default()
    }

    /// Builds the snapshot of `view`; also returns the errors of objects that were not reported before.
    pub fn snapshot(&mut self, view: &View) -> (Snapshot, Vec<SpecError>) {
        let mut errors = Vec::new();
        let mut next = BTreeMap::new();
        for kind in Kind::CONFIG {
            for object in view.objects(kind) {
                let key = (kind, object.name.clone());
                let old = self.parsed.remove(&key);
                next.insert(key, parse(old, object, &mut errors));
            }
        }
        self.parsed = next;
        let mut snapshot = Snapshot { revision: view.revision(), ..Snapshot::default() };
        self.add_config(&mut snapshot, &mut errors);
        add_members(&mut snapshot, view);
        (snapshot, errors)
    }

    fn add_config(&self, snapshot: &mut Snapshot, errors: &mut Vec<SpecError>) {
        let mut services: Vec<(&str, u64, &Service)> = Vec::new();
        for ((_, name), parsed) in &self.parsed {
            let Some((version, spec)) = &parsed.last_valid else {
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
                Spec::Keys(it) if name == KEYS_OBJECT_NAME => snapshot.keys = Some(it.clone()),
                Spec::Keys(_) => {}
            }
        }
        services.sort_by_key(|(_, version, _)| *version);
        for (name, version, spec) in services {
            if let Err(error) = add_service(snapshot, name, version, spec) {
                errors.push(error);
            }
        }
    }
}

fn parse(old: Option<Parsed>, object: &Object, errors: &mut Vec<SpecError>) -> Parsed {
    // A version older than the one in force is never applied.
    let newer = old.as_ref().is_none_or(|it| object.version >= it.parsed_version);
    if let Some(old) = old.as_ref().filter(|_| !check(Invariant::VersionGrows, newer)) {
        return Parsed { parsed_version: old.parsed_version, last_valid: old.last_valid.clone() };
    }
    if let Some(old) = old.as_ref().filter(|it| it.parsed_version == object.version) {
        return Parsed { parsed_version: old.parsed_version, last_valid: old.last_valid.clone() };
    }
    match Spec::parse(object) {
        Ok(spec) => {
            Parsed { parsed_version: object.version, last_valid: Some((object.version, spec)) }
        }
        Err(error) => {
            errors.push(error);
            Parsed { parsed_version: object.version, last_valid: old.and_then(|it| it.last_valid) }
        }
    }
}

/// Adds a service unless an older one has the same address or ID, so that each packet belongs to one service.
fn add_service(
    snapshot: &mut Snapshot,
    name: &str,
    version: u64,
    spec: &Service,
) -> Result<(), SpecError> {
    let id = ServiceId::new(name);
    let conflicting = snapshot.services.values().find(|it| it.spec.address == spec.address);
    let conflicting = conflicting.or_else(|| snapshot.services.get(&id));
    if let Some(conflicting) = conflicting {
        check_services([(conflicting.name.as_str(), &conflicting.spec), (name, spec)])?;
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
