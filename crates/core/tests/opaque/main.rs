//! Opaque flows: unit tests, and simulated small fleets under load and faults.

mod admission;
mod agent;
mod balancer;
mod fleet;
mod listing;
mod load;
mod placement;
mod regions;
mod route;
mod support;
mod survival;
mod upstream_instances;
mod walk;
mod warmup;
mod world;
mod zones;
