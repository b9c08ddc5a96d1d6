//! Rotation of the fleet's keys.
//!
//! Keys are listed in the order in which they seal: keys before the sealing key are old, keys after it have not sealed
//! yet.

use std::collections::BTreeSet;

use camphorwinch_core::{
    object::{KeySpec, KeyUse, Keys},
    report::{MemberState, UpstreamStatus},
};
use rand::Rng as _;
use thiserror::Error;

/// Upper bound on the number of keys of the fleet.
pub const MAX_KEYS: usize = 16;

/// A change of the keys that is not allowed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum KeysError {
    /// No key is the sealing key.
    #[error("no key has use \"seal\"")]
    NoSealingKey,
    /// The fleet has [`MAX_KEYS`] keys.
    #[error("the fleet already has {MAX_KEYS} keys; prune old keys first")]
    TooManyKeys,
}

/// Generates the keys of a new fleet, with one sealing key.
pub fn generate() -> Keys {
    let key = KeySpec { epoch: 1, secret: random_secret(), usage: KeyUse::Seal };
    Keys { reset: random_secret(), keys: vec![key] }
}

/// Epoch of the key after the sealing key, if a rotation is in progress.
pub fn next_epoch(keys: &Keys) -> Result<Option<u8>, KeysError> {
    let sealing = sealing_index(keys)?;
    Ok(keys.keys.get(sealing + 1).map(|it| it.epoch))
}

/// Adds a new key that does not seal yet.
pub fn add(keys: &Keys) -> Result<Keys, KeysError> {
    sealing_index(keys)?;
    if keys.keys.len() >= MAX_KEYS {
        return Err(KeysError::TooManyKeys);
    }
    let used: BTreeSet<u8> = keys.keys.iter().map(|it| it.epoch).collect();
    let last = keys.keys.last().map_or(0, |it| it.epoch);
    let mut epoch = last.wrapping_add(1);
    while used.contains(&epoch) {
        epoch = epoch.wrapping_add(1);
    }
    let mut keys = keys.clone();
    keys.keys.push(KeySpec { epoch, secret: random_secret(), usage: KeyUse::Open });
    Ok(keys)
}

/// Makes the key after the sealing key the sealing key. Without such a key, nothing changes.
pub fn seal_next(keys: &Keys) -> Result<Keys, KeysError> {
    let sealing = sealing_index(keys)?;
    let mut keys = keys.clone();
    if sealing + 1 < keys.keys.len() {
        keys.keys[sealing].usage = KeyUse::Open;
        keys.keys[sealing + 1].usage = KeyUse::Seal;
    }
    Ok(keys)
}

/// Keys that flows of the upstreams use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeysInUse {
    /// Epochs of the keys that seal the connection IDs of flows.
    pub epochs: BTreeSet<u8>,
    /// Names of upstreams that may have flows and do not report the epochs.
    pub unreported: Vec<String>,
}

impl KeysInUse {
    /// Collects the keys in use from the reports of the upstreams.
    pub fn new<'a, I>(upstreams: I) -> KeysInUse
    where
        I: IntoIterator<Item = &'a UpstreamStatus>,
    {
        let mut in_use = KeysInUse::default();
        for it in upstreams {
            let not_reporting = matches!(it.state, MemberState::Down | MemberState::Other);
            if not_reporting || (it.flows > 0 && it.epochs.is_empty()) {
                in_use.unreported.push(it.name.clone());
            }
            in_use.epochs.extend(&it.epochs);
        }
        in_use
    }
}

/// Removes old keys, except for the newest `keep` of them and the epochs in `in_use`.
pub fn prune(keys: &Keys, keep: usize, in_use: &BTreeSet<u8>) -> Result<Keys, KeysError> {
    let sealing = sealing_index(keys)?;
    let first_kept = sealing.saturating_sub(keep);
    let mut pruned = Keys { reset: keys.reset, keys: Vec::new() };
    for (i, key) in keys.keys.iter().enumerate() {
        if i < first_kept && !in_use.contains(&key.epoch) {
            continue;
        }
        pruned.keys.push(key.clone());
    }
    Ok(pruned)
}

fn sealing_index(keys: &Keys) -> Result<usize, KeysError> {
    keys.keys.iter().position(|it| it.usage == KeyUse::Seal).ok_or(KeysError::NoSealingKey)
}

fn random_secret() -> [u8; 32] {
    rand::rng().random()
}
