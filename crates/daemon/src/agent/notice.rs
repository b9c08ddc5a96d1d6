//! Events that may come with every request: only a few of each kind per second are reported.

use std::{collections::BTreeMap, sync::LazyLock};

use parking_lot::Mutex;

use crate::{
    clock,
    event::{self, About, Id},
};

const PER_SECOND: u32 = 5;

#[derive(Clone, Copy, Default)]
struct Window {
    second: u64,
    count: u32,
    left_out: u64,
}

static WINDOWS: LazyLock<Mutex<BTreeMap<u16, Window>>> = LazyLock::new(Mutex::default);

/// Reports an event, or counts it as left out; the next one that is reported says how many were.
pub(crate) fn emit(id: Id, about: About, text: &str) {
    let Some(left_out) = admit(id) else {
        return;
    };
    if left_out == 0 {
        event::emit(id, about, text);
    } else {
        event::emit(id, about, &format!("{text} ({left_out} more left out)"));
    }
}

fn admit(id: Id) -> Option<u64> {
    let second = clock::now_ms() / 1_000;
    let mut windows = WINDOWS.lock();
    let window = windows.entry(id as u16).or_default();
    if window.second != second {
        window.second = second;
        window.count = 0;
    }
    if window.count >= PER_SECOND {
        window.left_out += 1;
        return None;
    }
    window.count += 1;
    Some(std::mem::take(&mut window.left_out))
}
