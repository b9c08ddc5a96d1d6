//! The `balance` subcommand.

use std::sync::Arc;

use bpaf::Bpaf;
use camphorwinch_relay::relay::Shared;
use serde_json::{Value, json};
use tokio::runtime::Builder;
use tokio_util::sync::CancellationToken;

use crate::{
    cmd::Run,
    config::{BalanceConfig, BalanceFlags, balance_flags},
    control::{Control, Role},
    event::{self, EventId, EventSubject},
    log,
    operator::{self, Inspect},
    relay::{self, Relay},
    signal, violations,
};

/// Run a balancer on an entry VM.
///
/// Listens on the address of every service and forwards each packet to the agent that serves its flow.
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
    let control = Control::start(&config.common, Role::Balancer).await?;
    let mut relay = Relay::new(&config)?;
    let shared = relay.shared();
    let inspect = BalancerInspector { control: control.clone(), shared, stop: stop.clone() };
    operator::serve(config.common.operator, Arc::new(inspect)).await?;
    tokio::spawn(violations::run());
    event::emit(
        EventId::ProcessStarted,
        EventSubject::new(),
        &format!("balancer {}", config.common.name),
    );

    let mut fenced = control.fenced();
    tokio::select! {
        () = relay.run(&control) => {}
        () = stop.cancelled() => {}
        _ = fenced.wait_for(|it| *it) => {}
    }
    // Makes the fabric's health checks fail from now on.
    stop.cancel();
    event::emit(
        EventId::ProcessStopping,
        EventSubject::new(),
        "relaying until datagrams stop arriving",
    );
    control.leave().await;
    relay.drain(&control).await;
    event::emit(EventId::ProcessStopped, EventSubject::new(), "stopped");
    Ok(())
}

struct BalancerInspector {
    control: Control,
    shared: Arc<Shared>,
    stop: CancellationToken,
}

impl Inspect for BalancerInspector {
    fn health(&self) -> Result<(), String> {
        if self.stop.is_cancelled() {
            return Err("leaving".to_owned());
        }
        if !self.control.synced() {
            return Err("the configuration has not been received yet".to_owned());
        }
        Ok(())
    }

    fn status(&self) -> Value {
        json!({ "control": self.control.status(), "relay": relay::status(&self.shared) })
    }
}
