//! `camphorwinchd balance`.

use bpaf::Bpaf;
use tokio::runtime::Builder;

use crate::{
    cmd::Run,
    config::{BalanceConfig, BalanceFlags, balance_flags},
    event::{self, About, Id},
    log, signal,
};

/// Place callers' packets: run this on an entry VM.
///
/// Listens on the address of every service, and sends each packet to the agent that its flow belongs to.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command("balance"))]
pub(crate) struct Balance {
    #[bpaf(external(balance_flags))]
    flags: BalanceFlags,
}

impl Run for Balance {
    fn run(&self) -> anyhow::Result<()> {
        let config = BalanceConfig::new(&self.flags)?;
        log::init(&config.common)?;
        event::init(&config.common.name);
        Builder::new_multi_thread().enable_all().build()?.block_on(serve(config))
    }
}

async fn serve(config: BalanceConfig) -> anyhow::Result<()> {
    let stop = signal::stop_token()?;
    event::emit(Id::ProcessStarted, About::new(), &format!("balancer {}", config.common.name));
    stop.cancelled().await;
    event::emit(Id::ProcessStopped, About::new(), "stopped");
    Ok(())
}
