//! The `keys` subcommand.

use bpaf::Bpaf;
use camphorwinch_core::{
    object::{KEYS_OBJECT_NAME, Kind, Object, Spec},
    report::{Report, UpstreamStatus},
};
use serde_json::json;

use super::apply::print_results;
use crate::{
    apply::{ApplyResult, Outcome},
    config::{Flags, Settings},
    error::Error,
    keys::{self as fleet, KeysError, KeysInUse},
    platform::PlatformClient,
    rollout,
    write::Write,
};

/// Manages the keys that seal connection IDs
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command)]
pub struct Keys {
    #[bpaf(external(action))]
    pub(crate) action: Action,
}

/// Subcommand of `keys`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub(crate) enum Action {
    /// Creates the keys of a new fleet
    #[bpaf(command)]
    Init {
        #[bpaf(external(crate::config::flags))]
        flags: Flags,
    },
    /// Adds a key, waits until every process accepts it, then makes it the sealing key
    ///
    ///
    /// After an interruption or a timeout, run the command again to continue the rotation.
    #[bpaf(command)]
    Rotate {
        #[bpaf(external(crate::config::flags))]
        flags: Flags,
    },
    /// Removes old keys that no flow uses
    ///
    ///
    /// Removing a key breaks the flows whose connection IDs it seals. Keys that an upstream reports as in use are kept.
    #[bpaf(command)]
    Prune {
        #[bpaf(external(crate::config::flags))]
        flags: Flags,
        /// Number of old keys to keep in any case; default 0
        #[bpaf(argument("N"), fallback(0))]
        keep: usize,
        /// Remove keys even if flows use them or upstreams do not report their use; breaks these flows
        force: bool,
    },
}

impl Action {
    pub(crate) fn flags(&self) -> &Flags {
        match self {
            Action::Init { flags } | Action::Rotate { flags } | Action::Prune { flags, .. } => {
                flags
            }
        }
    }
}

impl Keys {
    pub(crate) async fn run(&self, settings: &Settings) -> Result<(), Error> {
        let platform = PlatformClient::new(settings);
        let result = match self.action {
            Action::Init { .. } => init(&platform).await?,
            Action::Rotate { .. } => rotate(&platform).await?,
            Action::Prune { keep, force, .. } => prune(&platform, keep, force).await?,
        };
        print_results(settings.format, &[result])
    }
}

async fn init(platform: &PlatformClient) -> Result<ApplyResult, Error> {
    let since_revision = platform.list(Kind::Keys).await?.revision;
    put_keys(platform, 0, since_revision, &fleet::generate()).await
}

async fn rotate(platform: &PlatformClient) -> Result<ApplyResult, Error> {
    let (mut object, mut keys) = read_keys(platform).await?;
    if fleet::next_epoch(&keys).map_err(not_allowed)?.is_none() {
        keys = fleet::add(&keys).map_err(not_allowed)?;
        object.version = put_keys(platform, object.version, object.version, &keys).await?.version;
    }
    rollout::wait_in_force(platform, object.version).await?;
    let sealed = fleet::seal_next(&keys).map_err(not_allowed)?;
    let result = put_keys(platform, object.version, object.version, &sealed).await?;
    rollout::wait_in_force(platform, result.version).await?;
    Ok(result)
}

async fn prune(platform: &PlatformClient, keep: usize, force: bool) -> Result<ApplyResult, Error> {
    let (object, keys) = read_keys(platform).await?;
    let zones = rollout::wait_in_force_full(platform, object.version).await?;
    let mut in_use = KeysInUse::new(upstreams(zones.values()));
    if force {
        in_use = KeysInUse::default();
    }
    if !in_use.unreported.is_empty() {
        let names = in_use.unreported.join(", ");
        let reason = format!(
            "these upstreams are down, or have flows, and do not report which keys they use: {names}"
        );
        return Err(Error::NotAllowed { operation: "prune keys".to_owned(), reason });
    }
    let pruned = fleet::prune(&keys, keep, &in_use.epochs).map_err(not_allowed)?;
    if pruned == keys {
        let object_path = format!("{}/{KEYS_OBJECT_NAME}", Kind::Keys);
        return Ok(ApplyResult {
            object: object_path,
            outcome: Outcome::Unchanged,
            version: object.version,
        });
    }
    put_keys(platform, object.version, object.version, &pruned).await
}

fn upstreams<'a, I>(reports: I) -> Vec<&'a UpstreamStatus>
where
    I: IntoIterator<Item = &'a Report>,
{
    reports.into_iter().flat_map(|it| &it.upstreams).collect()
}

async fn read_keys(
    platform: &PlatformClient,
) -> Result<(Object, camphorwinch_core::object::Keys), Error> {
    let object = platform.get_existing(Kind::Keys, KEYS_OBJECT_NAME).await?;
    match Spec::parse(&object)? {
        Spec::Keys(keys) => Ok((object, keys)),
        _ => Err(not_allowed(KeysError::NoSealingKey)),
    }
}

async fn put_keys(
    platform: &PlatformClient,
    expected_version: u64,
    since_revision: u64,
    keys: &camphorwinch_core::object::Keys,
) -> Result<ApplyResult, Error> {
    let write = Write {
        kind: Kind::Keys,
        name: KEYS_OBJECT_NAME.to_owned(),
        expected_version,
        since_revision,
        spec: json!(keys),
    };
    let stored = write.put(platform).await?;
    let outcome = if expected_version == 0 { Outcome::Created } else { Outcome::Updated };
    Ok(ApplyResult {
        object: format!("{}/{KEYS_OBJECT_NAME}", Kind::Keys),
        outcome,
        version: stored.version,
    })
}

fn not_allowed(error: KeysError) -> Error {
    Error::NotAllowed { operation: "change the fleet's keys".to_owned(), reason: error.to_string() }
}
