//! The agent: ends callers' flows beside an upstream and runs their requests.

mod body;
mod datagram;
mod flow;
mod local;
mod meter;
mod node;
mod quic;
mod request;
mod service;
mod socket;
mod upstream;
mod work;

pub(crate) use self::node::{Node, Settings};
