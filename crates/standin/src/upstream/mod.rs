//! Emulated upstream over HTTP/1.1: concurrency slots, a queue, cold start, load shedding, drain, deadlines,
//! cancellation and fault injection, with a record of the requests that it ran.

mod admin;
mod admission;
mod faults;
mod feed;
mod journal;
mod load;
mod record;
mod request;
mod run;
mod settings;
mod state;

pub use self::{
    admin::Upstream,
    faults::{Faults, LoadOverride, faults},
    journal::{JournalEntry, JournalEvent, read_journal},
    load::{Load, LoadState},
    record::{Record, Runs},
    settings::{Settings, settings},
};
