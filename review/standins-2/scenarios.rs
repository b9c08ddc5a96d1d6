//! The scenarios of the cases.

mod clock_step;
mod daemon_leaves;
mod late_heartbeat;
mod service_change;
mod silent_channels;

use crate::record::Record;

/// Runs a scenario; returns whether the rule was broken.
pub fn run(name: &str, trouble: bool, record: &Record) -> Result<bool, String> {
    match name {
        "clock-step" => clock_step::run(trouble, record),
        "daemon-leaves" => daemon_leaves::run(trouble, record),
        "late-heartbeat" => late_heartbeat::run(trouble, record),
        "service-change" => service_change::run(trouble, record),
        "silent-channels" => silent_channels::run(trouble, record),
        _ => Err(format!("no scenario {name}")),
    }
}

/// A route of the configuration.
fn route(name: &str, port: u16, service: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"198.18.0.1\",\"path-prefix\":\"/{port}/\",\
         \"route-type\":\"idempotent\",\"timeout-ms\":2500,\"slo-latency-ms\":250,\"priority\":2,\
         \"service\":\"{service}\",\"max-attempts\":2}}"
    )
}

/// A configuration.
fn config(version: u64, routes: &[String], services: &[&str]) -> String {
    let service = |it: &&str| {
        format!(
            "{{\"name\":\"{it}\",\"health-path\":\"/health\",\"conn-limit\":2000,\
             \"protocol\":\"h1\",\"tls\":false}}"
        )
    };
    let services: Vec<String> = services.iter().map(service).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\
         \"max-header-bytes\":16384,\"max-body-bytes\":262144,\"header-timeout-ms\":3000,\
         \"idle-timeout-ms\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}
