//! Opaque flows: flows whose payload only their two ends read and write.
//!
//! Such a flow has no connection ID assigned by the load balancer; its [`FlowKey`] identifies it. The agent that
//! holds it is known from the opening packet or from agents' answers. As a last resort a packet is sent to the
//! upstream, which bounces packets of flows that it does not hold. See `docs/design/platform.md`.
//!
//! [`Balancer`](balancer::Balancer) runs on an entry VM, [`Agent`](agent::Agent) beside an upstream. Both are state
//! machines without I/O: they take events with the current time and append [`Effect`](effect::Effect)s.

mod admission;
pub mod agent;
mod agents;
pub mod balancer;
pub mod balancer_monitor;
mod breaker;
pub mod candidate_list;
pub mod effect;
pub mod fleet;
pub mod flow;
pub mod former_pools;
pub mod load;
pub mod member_list;
pub mod packet_buffer;
pub mod pool_monitor;
pub mod ranked_queue;
pub mod route;
pub mod route_share;
pub mod service_rate;
mod told_time;
pub mod upstream_tracker;
mod warmup;
pub mod watch_schedule;
pub mod zone;

pub use flow::{FlowKey, PacketHeader, PacketKind};
pub use route::PoolId;

pub use crate::revision;
