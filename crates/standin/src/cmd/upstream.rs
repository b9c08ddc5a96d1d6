//! `upstream`.

use std::process::ExitCode;

use anyhow::anyhow;
use bpaf::Bpaf;

use crate::{
    stop::Stop,
    upstream::{self, Faults, Settings, faults, settings},
};

/// Serve as an upstream over HTTP/1.1
///
///
/// GET /screen?size=N answers a small page; GET /feed?ms=N&every=MS streams numbered lines, until it is closed without
/// ms; PUT /upload counts and hashes its body; POST /transfer is not idempotent. All take work_ms=N and echo=TOKEN. A
/// page or a transfer holds a slot while it is worked on; an upload reads its body without a slot and then takes one for
/// its work; a feed needs none. GET /load tells slots, busy, connections and state. What is refused was not started: 503
/// with camphorwinch-not-run: true. A deadline that passes in mid work is answered with 504.
///
///
/// Admin calls: GET /record tells what was got and run; PUT /faults takes a JSON object with the names of the flags
/// (with "_" for "-"; lag_ms for load-lag-ms), {} clears them; PUT /services takes the list of allowed services; PUT
/// /drain takes {"on":true}. SIGTERM refuses new requests, ends feeds with their last line, and waits for the others.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command)]
pub struct Upstream {
    #[bpaf(external(settings))]
    settings: Settings,
    #[bpaf(external(faults))]
    faults: Faults,
}

impl Upstream {
    /// Runs the subcommand until a signal.
    pub async fn run(self) -> anyhow::Result<ExitCode> {
        self.faults.check().map_err(|e| anyhow!("faults: {e}"))?;
        let mut stop = Stop::new()?;
        let upstream = upstream::Upstream::start(self.settings, self.faults).await?;
        println!("upstream on {}, admin on {}", upstream.addr(), upstream.admin());
        stop.wait().await;
        if upstream.stop().await {
            return Ok(ExitCode::SUCCESS);
        }
        eprintln!("upstream: requests were cut, the time to stop was over");
        Ok(ExitCode::FAILURE)
    }
}
