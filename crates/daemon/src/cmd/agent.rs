//! `camphorwinchd agent`.

use bpaf::Bpaf;
use tokio::runtime::Builder;

use crate::{
    cmd::Run,
    config::{AgentConfig, AgentFlags, agent_flags},
    event::{self, About, Id},
    log, signal,
};

/// Serve flows for one upstream: run this beside it.
///
/// Ends the callers' QUIC connections, runs their requests against the upstream and answers them directly.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command("agent"))]
pub(crate) struct Agent {
    #[bpaf(external(agent_flags))]
    flags: AgentFlags,
}

impl Run for Agent {
    fn run(&self) -> anyhow::Result<()> {
        let config = AgentConfig::new(&self.flags)?;
        log::init(&config.common)?;
        event::init(&config.common.name);
        Builder::new_multi_thread().enable_all().build()?.block_on(serve(config))
    }
}

async fn serve(config: AgentConfig) -> anyhow::Result<()> {
    let stop = signal::stop_token()?;
    event::emit(Id::ProcessStarted, About::new(), &format!("agent {}", config.common.name));
    stop.cancelled().await;
    event::emit(Id::ProcessStopped, About::new(), "stopped");
    Ok(())
}
