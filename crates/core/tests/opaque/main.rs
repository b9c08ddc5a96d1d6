//! Opaque flows: the parts, and small fleets of them under load and faults.

mod admission;
mod agent;
mod balancer;
mod fleet;
mod listing;
mod lives;
mod load;
mod placing;
mod regions;
mod route;
mod support;
mod survival;
mod walk;
mod warmup;
mod world;
mod zones;
