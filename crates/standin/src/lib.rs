//! Emulators and load tools for testing camphorwinch: the platform's object API, the packet fabric, upstreams, callers,
//! and a site that runs a whole deployment.

pub mod caller;
pub mod capacity;
pub mod cmd;
pub mod config;
pub mod fabric;
pub mod platform;
pub mod response;
pub mod server;
pub mod signals;
pub mod site;
pub mod upstream;
