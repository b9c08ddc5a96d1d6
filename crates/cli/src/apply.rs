//! Applies objects: validates all of them, then writes each one on condition that its version has not changed.

use std::collections::{BTreeMap, BTreeSet};

use camphorwinch_core::object::{Kind, Object, Service, Spec, check_services};
use serde::Serialize;

use crate::{
    error::Error,
    manifest::apply_order,
    output::pretty,
    platform::{ObjectList, PlatformClient},
    write::{self, Write},
};

/// Outcome of applying or deleting an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Outcome {
    /// The object did not exist.
    Created,
    /// The object had another spec.
    Updated,
    /// The object already had this spec; nothing was written.
    Unchanged,
    /// The object was deleted.
    Deleted,
}

impl Outcome {
    /// Name of the outcome in the output.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Created => "created",
            Outcome::Updated => "updated",
            Outcome::Unchanged => "unchanged",
            Outcome::Deleted => "deleted",
        }
    }
}

/// Result for one object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ApplyResult {
    /// Kind and name.
    pub object: String,
    /// What was done.
    pub outcome: Outcome,
    /// Stored version; for a deletion, its revision.
    pub version: u64,
}

/// Validated objects and the stored objects that they were validated against.
#[derive(Clone, Debug)]
pub struct Plan {
    objects: Vec<(Kind, Object)>,
    stored: BTreeMap<Kind, ObjectList>,
}

impl Plan {
    /// Validates the objects, alone and together with the stored ones. Writes nothing.
    pub async fn new(platform: &PlatformClient, objects: Vec<Object>) -> Result<Plan, Error> {
        let objects = validate_objects(objects)?;
        let kinds: BTreeSet<Kind> = objects.iter().map(|(kind, _)| *kind).collect();
        let mut stored = BTreeMap::new();
        for kind in kinds {
            stored.insert(kind, platform.list(kind).await?);
        }
        let plan = Plan { objects, stored };
        plan.check_versions()?;
        plan.check_services()?;
        Ok(plan)
    }

    /// Writes the objects in order and stops at the first error. Adds the result of each object to `results`.
    pub async fn run(
        self,
        platform: &PlatformClient,
        results: &mut Vec<ApplyResult>,
    ) -> Result<(), Error> {
        for (kind, object) in &self.objects {
            results.push(self.write(platform, *kind, object).await?);
        }
        if self.stored.contains_key(&Kind::Service) {
            let list = platform.list(Kind::Service).await?;
            let services = valid_services(&list.items);
            check_services(as_refs(&services)).map_err(Error::ServiceConflict)?;
        }
        Ok(())
    }

    async fn write(
        &self,
        platform: &PlatformClient,
        kind: Kind,
        object: &Object,
    ) -> Result<ApplyResult, Error> {
        let stored = self.stored_object(kind, &object.name);
        let path = format!("{kind}/{}", object.name);
        if let Some(stored) = stored {
            if stored.spec == object.spec {
                let version = stored.version;
                return Ok(ApplyResult { object: path, outcome: Outcome::Unchanged, version });
            }
        }
        let write = Write {
            kind,
            name: object.name.clone(),
            expected_version: stored.map_or(0, |it| it.version),
            since_revision: self.stored.get(&kind).map_or(0, |it| it.revision),
            spec: object.spec.clone(),
        };
        let written = write.put(platform).await?;
        let outcome = if stored.is_some() { Outcome::Updated } else { Outcome::Created };
        Ok(ApplyResult { object: path, outcome, version: written.version })
    }

    fn stored_object(&self, kind: Kind, name: &str) -> Option<&Object> {
        self.stored.get(&kind)?.items.iter().find(|it| it.name == name)
    }

    fn check_versions(&self) -> Result<(), Error> {
        for (kind, object) in &self.objects {
            let stored = self.stored_object(*kind, &object.name);
            let version = stored.map_or(0, |it| it.version);
            if object.version == 0 || object.version == version {
                continue;
            }
            return Err(Error::Conflict {
                object: format!("{kind}/{}", object.name),
                reason: format!("expected version {}, found version {version}", object.version),
                ours: pretty(object),
                stored: write::format_stored(stored),
            });
        }
        Ok(())
    }

    fn check_services(&self) -> Result<(), Error> {
        let Some(list) = self.stored.get(&Kind::Service) else {
            return Ok(());
        };
        let mut all = valid_services(&list.items);
        all.extend(valid_services(self.objects.iter().map(|(_, object)| object)));
        Ok(check_services(as_refs(&all))?)
    }
}

fn validate_objects(objects: Vec<Object>) -> Result<Vec<(Kind, Object)>, Error> {
    let mut checked = Vec::with_capacity(objects.len());
    for object in objects {
        Spec::parse(&object)?;
        let Some(kind) = Kind::parse(&object.kind) else { continue };
        checked.push((kind, object));
    }
    checked.sort_by_key(|(kind, _)| apply_order(*kind));
    Ok(checked)
}

/// Valid services among the objects, by name.
pub fn valid_services<'a, I>(objects: I) -> BTreeMap<String, Service>
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

fn as_refs(services: &BTreeMap<String, Service>) -> Vec<(&str, &Service)> {
    services.iter().map(|(name, service)| (name.as_str(), service)).collect()
}
