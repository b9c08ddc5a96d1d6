//! Rate limit for events that can occur with every request.

use std::{collections::BTreeMap, sync::LazyLock};

use parking_lot::Mutex;

use crate::{
    clock,
    event::{self, EventId, EventSubject},
};

const EVENTS_PER_S: u32 = 5;

#[derive(Clone, Copy, Default)]
struct Window {
    second: u64,
    count: u32,
    suppressed: u64,
}

static WINDOWS: LazyLock<Mutex<BTreeMap<u16, Window>>> = LazyLock::new(Mutex::default);

/// Emits an event unless the limit of its kind is reached. The next emitted one reports how many were suppressed.
pub(crate) fn emit(id: EventId, about: EventSubject, text: &str) {
    let Some(suppressed) = admit(id) else {
        return;
    };
    if suppressed == 0 {
        event::emit(id, about, text);
    } else {
        event::emit(id, about, &format!("{text} ({suppressed} more suppressed)"));
    }
}

fn admit(id: EventId) -> Option<u64> {
    let second = clock::now_ms() / 1_000;
    let mut windows = WINDOWS.lock();
    let window = windows.entry(id as u16).or_default();
    if window.second != second {
        window.second = second;
        window.count = 0;
    }
    if window.count >= EVENTS_PER_S {
        window.suppressed += 1;
        return None;
    }
    window.count += 1;
    Some(std::mem::take(&mut window.suppressed))
}
