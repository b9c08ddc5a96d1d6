//! The fleet's keys as an aggregate: which changes are allowed, and in which order.
//!
//! Keys stand in the order in which they seal: those before the sealing key are old, those after it have never sealed.

use std::collections::BTreeSet;

use camphorwinch_core::{
    object::{KeySpec, KeyUse, Keys},
    report::{State, UpstreamStatus},
};
use rand::Rng as _;
use thiserror::Error;

/// Most keys that the fleet may have at a time.
pub const MAX_KEYS: usize = 16;

/// Why the keys can't be changed in this way.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum KeysError {
    /// No key seals.
    #[error("no key has use \"seal\"")]
    NoSeal,
    /// There are as many keys as allowed.
    #[error("there are {MAX_KEYS} keys already; prune old ones first")]
    TooMany,
}

/// Keys of a new fleet: one that seals.
pub fn new() -> Keys {
    let key = KeySpec { epoch: 1, secret: secret(), usage: KeyUse::Seal };
    Keys { reset: secret(), keys: vec![key] }
}

/// The key that comes after the sealing one, if a rotation has begun.
pub fn next(keys: &Keys) -> Result<Option<u8>, KeysError> {
    let at = seal_index(keys)?;
    Ok(keys.keys.get(at + 1).map(|it| it.epoch))
}

/// Adds a new key that does not seal yet.
pub fn add(keys: &Keys) -> Result<Keys, KeysError> {
    seal_index(keys)?;
    if keys.keys.len() >= MAX_KEYS {
        return Err(KeysError::TooMany);
    }
    let used: BTreeSet<u8> = keys.keys.iter().map(|it| it.epoch).collect();
    let last = keys.keys.last().map_or(0, |it| it.epoch);
    let mut epoch = last.wrapping_add(1);
    while used.contains(&epoch) {
        epoch = epoch.wrapping_add(1);
    }
    let mut keys = keys.clone();
    keys.keys.push(KeySpec { epoch, secret: secret(), usage: KeyUse::Open });
    Ok(keys)
}

/// Makes the key after the sealing one the sealing one. Without such a key, nothing changes.
pub fn seal_next(keys: &Keys) -> Result<Keys, KeysError> {
    let at = seal_index(keys)?;
    let mut keys = keys.clone();
    if at + 1 < keys.keys.len() {
        keys.keys[at].usage = KeyUse::Open;
        keys.keys[at + 1].usage = KeyUse::Seal;
    }
    Ok(keys)
}

/// Which keys the flows of the upstreams still need.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InUse {
    /// Epochs that seal connection IDs of flows.
    pub epochs: BTreeSet<u8>,
    /// Upstreams that may have flows and do not say which epochs seal them.
    pub silent: Vec<String>,
}

impl InUse {
    /// What the upstreams report.
    pub fn new<'a, I>(upstreams: I) -> InUse
    where
        I: IntoIterator<Item = &'a UpstreamStatus>,
    {
        let mut in_use = InUse::default();
        for it in upstreams {
            let unheard = matches!(it.state, State::Down | State::Other);
            if unheard || (it.flows > 0 && it.epochs.is_empty()) {
                in_use.silent.push(it.name.clone());
            }
            in_use.epochs.extend(&it.epochs);
        }
        in_use
    }
}

/// Drops the old keys, but for the newest `keep` of them and those in `in_use`.
pub fn prune(keys: &Keys, keep: usize, in_use: &BTreeSet<u8>) -> Result<Keys, KeysError> {
    let at = seal_index(keys)?;
    let first_kept = at.saturating_sub(keep);
    let mut pruned = Keys { reset: keys.reset, keys: Vec::new() };
    for (i, key) in keys.keys.iter().enumerate() {
        if i < first_kept && !in_use.contains(&key.epoch) {
            continue;
        }
        pruned.keys.push(key.clone());
    }
    Ok(pruned)
}

fn seal_index(keys: &Keys) -> Result<usize, KeysError> {
    keys.keys.iter().position(|it| it.usage == KeyUse::Seal).ok_or(KeysError::NoSeal)
}

fn secret() -> [u8; 32] {
    rand::rng().random()
}
