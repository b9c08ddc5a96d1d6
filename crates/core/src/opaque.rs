//! Opaque flows: flows whose bytes only their two ends read and write.
//!
//! Such a flow has no connection ID of ours. It is known by its [`FlowKey`]; which agent holds it is learnt from the
//! opening packet, from agents' answers, and in the end from the upstream itself, which bounces packets of flows that
//! it does not hold. `docs/design/platform.md` tells how the parts work together.
//!
//! [`Balancer`](balancer::Balancer) decides for a process on an entry VM, [`Agent`](agent::Agent) for the one beside an
//! upstream. Both take events with the time and append [`Effect`](effect::Effect)s.

mod admission;
pub mod agent;
mod agents;
pub mod balancer;
mod breaker;
pub mod effect;
pub mod fleet;
pub mod flow;
pub mod hold;
pub mod listing;
pub mod load;
pub mod presence;
pub mod route;
pub mod walk;
mod warmup;
pub mod zone;

pub use flow::{FlowKey, Head, Kind};
pub use route::PoolId;

pub use crate::revision;
