//! Emulated network fabric: sprays the datagrams of callers over the balancers at random, and relays the replies.

mod admin;
mod counts;
mod faults;
mod relay;
mod service;

pub use self::{
    admin::{Fabric, Routes},
    counts::{Counts, ServiceCounts},
    faults::{Faults, faults},
};
