//! The fabric: hands each datagram of a caller to a balancer picked at random, and brings the answers back.

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
