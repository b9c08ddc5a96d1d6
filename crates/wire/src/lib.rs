//! Message formats and framing of the traffic between camphorwinch processes.

#![warn(clippy::unwrap_used)]

mod convert;
pub mod encap;
pub mod frame;
#[allow(clippy::impl_trait_in_params, reason = "derived by prost")]
pub mod handover;
#[allow(clippy::impl_trait_in_params, reason = "derived by prost")]
pub mod message;
#[allow(clippy::impl_trait_in_params, reason = "derived by prost")]
pub mod opaque;
mod opaque_convert;
