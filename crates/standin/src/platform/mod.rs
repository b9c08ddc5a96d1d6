//! The platform's object API, in memory, with faults that can be set while it runs.

mod api;
mod counts;
mod faults;
mod limit;
mod store;

pub use self::{
    api::Platform,
    counts::Counts,
    faults::{Faults, Outage, faults},
    store::{Change, Refused, Store},
};
