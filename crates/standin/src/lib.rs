//! Stand-ins for the surroundings of camphorwinch, used by tests: the platform's object API, the fabric, upstreams,
//! callers, and the site that ties them together.

pub mod answer;
pub mod caller;
pub mod capacity;
pub mod cmd;
pub mod config;
pub mod fabric;
pub mod platform;
pub mod server;
pub mod site;
pub mod stop;
pub mod upstream;
