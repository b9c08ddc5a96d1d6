//! The `drain` subcommand.

use bpaf::Bpaf;
use camphorwinch_core::object::{Action, Change, Kind, Object, Target};
use serde_json::json;

use super::{apply::print_results, parse_name};
use crate::{
    apply::Plan,
    config::{Flags, Settings},
    error::Error,
    platform::PlatformClient,
    rollout,
};

/// Drains an upstream, every upstream on a VM, or a whole zone
///
///
/// After a few seconds the target gets no new work; requests in progress finish. The drain is an object of kind change
/// and lasts until `undrain`. `status` shows its progress.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command)]
pub struct Drain {
    #[bpaf(external(crate::config::flags))]
    pub(crate) flags: Flags,
    /// Wait until the drain is in force in every zone, for at most the timeout
    wait: bool,
    #[bpaf(external(target))]
    target: Target,
}

impl Drain {
    pub(crate) async fn run(&self, settings: &Settings) -> Result<(), Error> {
        let change = Change { action: Action::Drain, target: self.target.clone() };
        let object = Object {
            kind: Kind::Change.to_string(),
            name: drain_name(&self.target),
            version: 0,
            writer: String::new(),
            spec: json!(change),
        };
        let platform = PlatformClient::new(settings);
        let plan = Plan::new(&platform, vec![object]).await?;
        let mut results = Vec::new();
        plan.run(&platform, &mut results).await?;
        print_results(settings.format, &results)?;
        for it in results {
            if self.wait {
                rollout::wait_in_force(&platform, it.version).await?;
            }
        }
        Ok(())
    }
}

/// Target of a drain, as one of three flags.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(target_flag), ignore_rustdoc)]
enum TargetFlag {
    Upstream {
        /// Name of the upstream's agent
        #[bpaf(long("upstream"), argument::<String>("NAME"), parse(parse_name))]
        upstream: String,
    },
    Vm {
        /// Name of the VM
        #[bpaf(long("vm"), argument::<String>("NAME"), parse(parse_name))]
        vm: String,
    },
    Zone {
        /// Name of the zone
        #[bpaf(long("zone"), argument::<String>("NAME"), parse(parse_name))]
        zone: String,
    },
}

/// Parser of the target flags.
pub(super) fn target() -> impl bpaf::Parser<Target> {
    use bpaf::Parser as _;
    target_flag().map(|it| match it {
        TargetFlag::Upstream { upstream } => Target::Upstream(upstream),
        TargetFlag::Vm { vm } => Target::Vm(vm),
        TargetFlag::Zone { zone } => Target::Zone(zone),
    })
}

/// Name of the change object that drains a target.
pub(super) fn drain_name(target: &Target) -> String {
    match target {
        Target::Upstream(it) => format!("drain-upstream-{it}"),
        Target::Vm(it) => format!("drain-vm-{it}"),
        Target::Zone(it) => format!("drain-zone-{it}"),
    }
}
