//! In-memory emulator of the platform's object API, with fault injection at run time.

mod api;
mod counts;
mod faults;
mod rate_limit;
mod store;

pub use self::{
    api::Platform,
    counts::Counts,
    faults::{Faults, Outage, faults},
    store::{Change, Store, StoreError},
};
