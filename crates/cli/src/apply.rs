//! Applying objects: check all, then write each on condition of the version that was read.

use std::collections::{BTreeMap, BTreeSet};

use camphorwinch_core::object::{Kind, Object, Service, Spec, check_services};
use serde::Serialize;

use crate::{
    error::Error,
    manifest::rank,
    output::pretty,
    platform::{List, Platform},
    write::{self, Write},
};

/// What became of an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Outcome {
    /// It did not exist.
    Created,
    /// It had another spec.
    Updated,
    /// It had this spec already; nothing was written.
    Unchanged,
    /// It was deleted.
    Deleted,
}

impl Outcome {
    /// The outcome's name.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Created => "created",
            Outcome::Updated => "updated",
            Outcome::Unchanged => "unchanged",
            Outcome::Deleted => "deleted",
        }
    }
}

/// One object after it was applied.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Applied {
    /// Kind and name.
    pub object: String,
    /// What became of it.
    pub outcome: Outcome,
    /// Version that is stored.
    pub version: u64,
}

/// Checked objects beside what the platform held when they were checked.
#[derive(Clone, Debug)]
pub struct Plan {
    objects: Vec<(Kind, Object)>,
    lists: BTreeMap<Kind, List>,
}

impl Plan {
    /// Checks the objects, reads what the platform holds and checks both together. Writes nothing.
    pub async fn new(platform: &Platform, objects: Vec<Object>) -> Result<Plan, Error> {
        let objects = check(objects)?;
        let kinds: BTreeSet<Kind> = objects.iter().map(|(kind, _)| *kind).collect();
        let mut lists = BTreeMap::new();
        for kind in kinds {
            lists.insert(kind, platform.list(kind).await?);
        }
        let plan = Plan { objects, lists };
        plan.check_versions()?;
        plan.check_services()?;
        Ok(plan)
    }

    /// Writes the objects one after another and stops at the first failure; `done` gets those that came through.
    pub async fn run(self, platform: &Platform, done: &mut Vec<Applied>) -> Result<(), Error> {
        for (kind, object) in &self.objects {
            done.push(self.write(platform, *kind, object).await?);
        }
        if self.lists.contains_key(&Kind::Service) {
            let list = platform.list(Kind::Service).await?;
            let services = services(&list.items);
            check_services(borrow(&services)).map_err(Error::Clash)?;
        }
        Ok(())
    }

    async fn write(
        &self,
        platform: &Platform,
        kind: Kind,
        object: &Object,
    ) -> Result<Applied, Error> {
        let stored = self.stored(kind, &object.name);
        let at = format!("{kind}/{}", object.name);
        if let Some(stored) = stored {
            if stored.spec == object.spec {
                let version = stored.version;
                return Ok(Applied { object: at, outcome: Outcome::Unchanged, version });
            }
        }
        let write = Write {
            kind,
            name: object.name.clone(),
            version: stored.map_or(0, |it| it.version),
            since: self.lists.get(&kind).map_or(0, |it| it.revision),
            spec: object.spec.clone(),
        };
        let written = write.put(platform).await?;
        let outcome = if stored.is_some() { Outcome::Updated } else { Outcome::Created };
        Ok(Applied { object: at, outcome, version: written.version })
    }

    fn stored(&self, kind: Kind, name: &str) -> Option<&Object> {
        self.lists.get(&kind)?.items.iter().find(|it| it.name == name)
    }

    fn check_versions(&self) -> Result<(), Error> {
        for (kind, object) in &self.objects {
            let stored = self.stored(*kind, &object.name);
            let version = stored.map_or(0, |it| it.version);
            if object.version == 0 || object.version == version {
                continue;
            }
            return Err(Error::Conflict {
                at: format!("{kind}/{}", object.name),
                reason: format!("version {} is asked for; {version} is stored", object.version),
                ours: pretty(object),
                stored: write::stored(stored),
            });
        }
        Ok(())
    }

    fn check_services(&self) -> Result<(), Error> {
        let Some(list) = self.lists.get(&Kind::Service) else {
            return Ok(());
        };
        let mut all = services(&list.items);
        all.extend(services(self.objects.iter().map(|(_, object)| object)));
        Ok(check_services(borrow(&all))?)
    }
}

fn check(objects: Vec<Object>) -> Result<Vec<(Kind, Object)>, Error> {
    let mut checked = Vec::with_capacity(objects.len());
    for object in objects {
        Spec::parse(&object)?;
        let Some(kind) = Kind::parse(&object.kind) else { continue };
        checked.push((kind, object));
    }
    checked.sort_by_key(|(kind, _)| rank(*kind));
    Ok(checked)
}

/// The services among the objects that are valid.
pub fn services<'a, I>(objects: I) -> BTreeMap<String, Service>
where
    I: IntoIterator<Item = &'a Object>,
{
    let mut services = BTreeMap::new();
    for object in objects {
        let Ok(Spec::Service(service)) = Spec::parse(object) else { continue };
        services.insert(object.name.clone(), service);
    }
    services
}

fn borrow(services: &BTreeMap<String, Service>) -> Vec<(&str, &Service)> {
    services.iter().map(|(name, service)| (name.as_str(), service)).collect()
}
