//! The `upstream` subcommand.

use std::process::ExitCode;

use anyhow::anyhow;
use bpaf::Bpaf;

use crate::{
    signals::StopSignal,
    upstream::{self, Faults, Settings, faults, settings},
};

/// Serve as an upstream over HTTP/1.1
///
///
/// GET /screen?size=N returns a small page; GET /feed?ms=N&every=MS streams numbered lines, until closed if ms is not
/// given; PUT /upload counts and hashes its body; POST /transfer is not idempotent. All accept work_ms=N and
/// echo=TOKEN. A page or a transfer holds a slot during its work; an upload reads its body without a slot and then
/// takes one for its work; a feed needs none. GET /load returns slots, busy, connections and state. A rejected request
/// was not started: 503 with camphorwinch-not-run: true. A request whose deadline expires during its work gets 504.
///
///
/// Admin API: GET /record returns what was received and run; PUT /faults takes a JSON object with the names of the
/// flags ("_" for "-"; lag_ms for load-lag-ms), {} clears them; PUT /services takes the list of allowed services; PUT
/// /drain takes {"on":true}. SIGTERM rejects new requests, ends feeds with their last line, and waits for the rest.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command)]
pub struct Upstream {
    #[bpaf(external(settings))]
    settings: Settings,
    #[bpaf(external(faults))]
    faults: Faults,
}

impl Upstream {
    /// Serves until SIGTERM or Ctrl-C, then drains; returns exit code 1 if requests were aborted.
    pub async fn run(self) -> anyhow::Result<ExitCode> {
        self.faults.check().map_err(|e| anyhow!("faults: {e}"))?;
        let mut stop = StopSignal::new()?;
        let upstream = upstream::Upstream::start(self.settings, self.faults).await?;
        println!("upstream on {}, admin on {}", upstream.addr(), upstream.admin());
        stop.wait().await;
        if upstream.stop().await {
            return Ok(ExitCode::SUCCESS);
        }
        eprintln!("upstream: requests were aborted at the shutdown timeout");
        Ok(ExitCode::FAILURE)
    }
}
