//! The agent: ends callers' flows beside an upstream and runs their requests.

mod absent;
mod body;
mod claim;
mod datagram;
mod flow;
mod handover;
mod link;
mod local;
mod meter;
mod node;
mod notice;
mod quic;
mod request;
mod reset;
mod rosters;
mod run;
mod service;
mod socket;
#[cfg(test)]
mod tests;
mod upstream;
mod work;

pub(crate) use self::{
    node::{Node, Settings},
    run::Running,
};
