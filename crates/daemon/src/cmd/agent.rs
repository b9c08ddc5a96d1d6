//! The `agent` subcommand.

use std::sync::Arc;

use bpaf::Bpaf;
use camphorwinch_core::{
    admit::Availability,
    member::{self, AgentState},
};
use serde_json::{Value, json};
use tokio::{runtime::Builder, sync::watch};

use crate::{
    agent::{AgentTasks, Node, Settings},
    cmd::Run,
    config::{AgentConfig, AgentFlags, agent_flags},
    control::{Control, Load, Role},
    event::{self, EventId, EventSubject},
    log,
    operator::{self, Inspect},
    signal, violations,
};

/// Run an agent next to an upstream.
///
/// Terminates callers' QUIC connections, forwards their requests to the upstream and sends the responses directly to
/// the callers.
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
    let control = Control::start(&config.common, Role::Agent(member(&config))).await?;
    let node = Node::new(Settings::new(&config), Arc::new(control.clone()))?;
    let (applied, in_force) = watch::channel(0);
    let mut running = AgentTasks::start(Arc::clone(&node), control.watch(), applied);
    let link_tasks = tokio::spawn(running.serve_links(control.accepted()));
    let publisher = tokio::spawn(publish_agent_state(control.clone(), Arc::clone(&node), in_force));
    let inspect = AgentInspector { control: control.clone(), node };
    operator::serve(config.common.operator, Arc::new(inspect)).await?;
    tokio::spawn(violations::run());
    event::emit(
        EventId::ProcessStarted,
        EventSubject::new(),
        &format!("agent {}", config.common.name),
    );

    let mut fenced = control.fenced();
    tokio::select! {
        () = stop.cancelled() => {}
        _ = fenced.wait_for(|it| *it) => {}
    }
    event::emit(EventId::ProcessStopping, EventSubject::new(), "waiting for flows to end");
    running.drain(config.drain_timeout).await;
    publisher.abort();
    control.leave().await;
    link_tasks.abort();
    running.stop().await;
    event::emit(EventId::ProcessStopped, EventSubject::new(), "stopped");
    Ok(())
}

fn member(config: &AgentConfig) -> member::Agent {
    member::Agent {
        name: config.common.name.clone(),
        place: config.common.place.clone(),
        pool: config.pool.clone(),
        data: config.data,
        control: config.common.control,
        weight: config.weight,
        slots: config.slots,
        connections: config.connections,
        state: AgentState::Starting,
    }
}

/// Publishes the state and load of the agent when they change.
async fn publish_agent_state(
    control: Control,
    node: Arc<Node>,
    mut in_force: watch::Receiver<u64>,
) {
    let mut changed = node.subscribe();
    let mut state = AgentState::Starting;
    loop {
        tokio::select! {
            it = changed.changed() => if it.is_err() {
                return;
            },
            it = in_force.changed() => if it.is_err() {
                return;
            },
        }
        control.set_applied(*in_force.borrow_and_update());
        control.set_epochs(node.key_epochs());
        control.set_load(Load { flows: node.flows(), busy: node.slot_limiter.busy() });
        let now = node.state();
        if now != state {
            state = now;
            control.set_state(now);
        }
    }
}

struct AgentInspector {
    control: Control,
    node: Arc<Node>,
}

impl Inspect for AgentInspector {
    fn health(&self) -> Result<(), String> {
        if !self.control.synced() {
            return Err("the configuration has not been received yet".to_owned());
        }
        match self.node.availability() {
            Availability::Open => Ok(()),
            Availability::Closed => Err("the upstream accepts no requests".to_owned()),
            Availability::Draining => Err("draining".to_owned()),
        }
    }

    fn status(&self) -> Value {
        json!({ "control": self.control.status(), "agent": self.node.status() })
    }
}
