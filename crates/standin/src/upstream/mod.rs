//! An upstream over HTTP/1.1: slots, a queue, cold start, shedding, drain, deadlines and cancellation, with faults, and a
//! record of what it ran.

mod admin;
mod faults;
mod feed;
mod gate;
mod journal;
mod load;
mod record;
mod request;
mod run;
mod settings;
mod state;

pub use self::{
    admin::Upstream,
    faults::{Faults, Lie, faults},
    journal::{Entry, Event, read_journal},
    load::{Load, LoadState},
    record::{Record, Runs},
    settings::{Settings, settings},
};
