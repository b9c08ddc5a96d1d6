//! Opaque flows: unit tests, and simulated small fleets under load and faults.

mod admission;
mod agent;
mod balancer;
mod balancer_monitor;
mod candidate_list;
mod fleet;
mod former_pools;
mod late_binding;
mod load;
mod member_list;
mod placement;
mod pool_monitor;
mod ranked_queue;
mod regions;
mod rival_instances;
mod route;
mod route_share;
mod service_rate;
mod startup;
mod support;
mod survival;
mod upstream_instances;
mod warmup;
mod watch_schedule;
mod world;
mod zones;
