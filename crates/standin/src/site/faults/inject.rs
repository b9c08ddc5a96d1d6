//! Implements each kind of fault.

use std::{collections::BTreeMap, time::Duration};

use rand::{Rng, rngs::StdRng, seq::IndexedRandom};
use serde_json::{Value, json};
use tokio::time;

use super::{
    FaultKind, InjectedFault, Injector,
    pick::{Reservation, UpstreamVm},
};
use crate::site::{fleet::Role, launch::PLATFORM, process::Process};

/// Time until the fabric detects an unresponsive balancer.
const FABRIC_DETECTION: Duration = Duration::from_millis(1_500);
/// Time in which a draining upstream may still get new requests.
const DRAIN_GRACE: Duration = Duration::from_secs(5);
const DOWNTIME_MS: std::ops::Range<u64> = 500..4_000;
const FREEZE_MS: std::ops::Range<u64> = 500..6_000;
const LONG_FREEZE_MS: std::ops::Range<u64> = 11_000..14_000;
const LONG_FREEZE_CHANCE: f64 = 0.25;
const FAULT_MS: std::ops::Range<u64> = 2_000..8_000;
const SEVERAL_VMS: usize = 2;

impl Injector {
    pub(super) async fn inject(&self, kind: FaultKind, rng: &mut StdRng) -> anyhow::Result<()> {
        match kind {
            FaultKind::Kill => self.kill(rng).await,
            FaultKind::Freeze => self.freeze(rng).await,
            FaultKind::Cut => self.cut(rng).await,
            FaultKind::Outage => self.outage(rng).await,
            FaultKind::LostResponse => self.lose_responses(rng).await,
            FaultKind::Race => self.race(rng).await,
            FaultKind::Drain => self.drain(rng).await,
            FaultKind::Replace => self.replace(rng).await,
            FaultKind::Config => self.configure(rng).await,
            FaultKind::WrongLoad => self.report_wrong_load(rng).await,
        }
    }

    async fn kill(&self, rng: &mut StdRng) -> anyhow::Result<()> {
        let downtime = random_duration(rng, DOWNTIME_MS);
        let roll = rng.random_range(0..100);
        if roll < 35 {
            let Some(balancer) = self.pick_balancer(rng).await else { return Ok(()) };
            return self.kill_balancer(&balancer, downtime).await;
        }
        let Some(vm) = self.pick_vm(rng).await else { return Ok(()) };
        let names = match roll {
            35..60 => vec![&vm.agent],
            60..75 => vec![&vm.upstream],
            _ => vec![&vm.agent, &vm.upstream],
        };
        let text = format!("{names:?} for {downtime:.1?}");
        let _fault = self.record(InjectedFault {
            kind: FaultKind::Kill,
            at: self.shared.stats.now(),
            until: None,
            text,
            killed: names.iter().filter(|it| **it == &vm.agent).map(|it| it.to_string()).collect(),
            truncating: vec![vm.agent.clone()],
        });
        for name in &names {
            self.shared.kill(name).await?;
        }
        time::sleep(downtime).await;
        // Starts the upstream first: an agent without one is not ready.
        for name in names.iter().rev() {
            self.shared.start(name).await?;
        }
        Ok(())
    }

    async fn kill_balancer(
        &self,
        balancer: &Reservation,
        downtime: Duration,
    ) -> anyhow::Result<()> {
        let name = &balancer.name;
        let _fault = self.begin(FaultKind::Kill, format!("{name} for {downtime:.1?}"));
        self.shared.kill(name).await?;
        let detection = downtime.min(FABRIC_DETECTION);
        time::sleep(detection).await;
        self.unroute(name).await?;
        time::sleep(downtime - detection).await;
        self.shared.start(name).await?;
        self.reroute(name).await
    }

    async fn freeze(&self, rng: &mut StdRng) -> anyhow::Result<()> {
        let roll = rng.random_range(0..100);
        if roll < 40 {
            let Some(balancer) = self.pick_balancer(rng).await else { return Ok(()) };
            let long = rng.random_bool(LONG_FREEZE_CHANCE);
            let freeze_time = random_duration(rng, if long { LONG_FREEZE_MS } else { FREEZE_MS });
            return self.freeze_balancer(&balancer, freeze_time).await;
        }
        let freeze_time = random_duration(rng, FREEZE_MS);
        let Some(vm) = self.pick_vm(rng).await else { return Ok(()) };
        let name = if roll < 75 { &vm.agent } else { &vm.upstream };
        let _fault = self.begin(FaultKind::Freeze, format!("{name} for {freeze_time:.1?}"));
        self.signal(name, Process::pause).await?;
        time::sleep(freeze_time).await;
        self.signal(name, Process::resume).await
    }

    async fn freeze_balancer(
        &self,
        balancer: &Reservation,
        freeze_time: Duration,
    ) -> anyhow::Result<()> {
        let name = &balancer.name;
        let _fault = self.begin(FaultKind::Freeze, format!("{name} for {freeze_time:.1?}"));
        self.signal(name, Process::pause).await?;
        let detection = freeze_time.min(FABRIC_DETECTION);
        time::sleep(detection).await;
        self.unroute(name).await?;
        time::sleep(freeze_time - detection).await;
        self.signal(name, Process::resume).await?;
        self.reroute(name).await
    }

    async fn cut(&self, rng: &mut StdRng) -> anyhow::Result<()> {
        let Some(_reservation) = self.reservations.reserve("fabric") else { return Ok(()) };
        let duration = random_duration(rng, FAULT_MS);
        if rng.random_bool(0.5) {
            let faults = json!({ "loss": 0.03, "duplicate": 0.05, "reorder": 0.1, "hold_ms": 5 });
            let _fault = self.begin(FaultKind::Cut, format!("fabric {faults} for {duration:.1?}"));
            return self.apply_fabric_faults(&faults, duration).await;
        }
        let Some(balancer) = self.pick_balancer(rng).await else { return Ok(()) };
        let host = self.shared.fleet.lock().await.get(&balancer.name)?.host;
        let _fault = self.begin(FaultKind::Cut, format!("{} for {duration:.1?}", balancer.name));
        self.apply_fabric_faults(&json!({ "cut": [host] }), duration).await
    }

    async fn outage(&self, rng: &mut StdRng) -> anyhow::Result<()> {
        let Some(_reservation) = self.reservations.reserve(PLATFORM) else { return Ok(()) };
        let duration = random_duration(rng, FAULT_MS);
        let faults = [
            json!({ "outage": "error" }),
            json!({ "outage": "refuse" }),
            json!({ "outage": "hang" }),
            json!({ "delay_ms": 300, "jitter_ms": 700 }),
            json!({ "watch_skip": 0.3, "watch_repeat": 0.3, "watch_close": 0.3 }),
        ];
        let Some(faults) = faults.choose(rng) else { return Ok(()) };
        let _fault = self.begin(FaultKind::Outage, format!("platform {faults} for {duration:.1?}"));
        self.apply_faults(PLATFORM, "/admin/faults", faults, duration).await
    }

    async fn lose_responses(&self, rng: &mut StdRng) -> anyhow::Result<()> {
        let duration = random_duration(rng, FAULT_MS);
        if rng.random_bool(0.4) {
            let Some(_reservation) = self.reservations.reserve(PLATFORM) else { return Ok(()) };
            let faults = json!({ "lost": 0.4, "answer_ms": 50 });
            let _fault = self
                .begin(FaultKind::LostResponse, format!("platform {faults} for {duration:.1?}"));
            return self.apply_faults(PLATFORM, "/admin/faults", &faults, duration).await;
        }
        let Some(vm) = self.pick_vm(rng).await else { return Ok(()) };
        let faults =
            [json!({ "lost": 0.3 }), json!({ "late": 0.3, "late_ms": 900 }), json!({ "cut": 0.2 })];
        let Some(faults) = faults.choose(rng) else { return Ok(()) };
        let _fault = self.record(InjectedFault {
            kind: FaultKind::LostResponse,
            at: self.shared.stats.now(),
            until: None,
            text: format!("{} {faults} for {duration:.1?}", vm.upstream),
            killed: Vec::new(),
            truncating: vec![vm.agent.clone()],
        });
        self.apply_faults(&vm.upstream, "/faults", faults, duration).await
    }

    async fn report_wrong_load(&self, rng: &mut StdRng) -> anyhow::Result<()> {
        let Some(vm) = self.pick_vm(rng).await else { return Ok(()) };
        let duration = random_duration(rng, FAULT_MS);
        let faults = [
            json!({ "lie": "idle" }),
            json!({ "lie": "full" }),
            json!({ "slow": 4.0 }),
            json!({ "shed": 0.5 }),
            json!({ "lag_ms": 3_000, "slow": 2.0 }),
        ];
        let Some(faults) = faults.choose(rng) else { return Ok(()) };
        let _fault = self
            .begin(FaultKind::WrongLoad, format!("{} {faults} for {duration:.1?}", vm.upstream));
        self.apply_faults(&vm.upstream, "/faults", faults, duration).await
    }

    async fn drain(&self, rng: &mut StdRng) -> anyhow::Result<()> {
        let duration = random_duration(rng, FAULT_MS);
        let roll = rng.random_range(0..100);
        let (vms, targets) = match roll {
            0..50 => self.pick_several(rng, 1).await,
            50..75 => self.pick_several(rng, SEVERAL_VMS).await,
            _ => self.pick_zone(rng).await,
        };
        if vms.is_empty() {
            return Ok(());
        }
        let _fault = self.begin(FaultKind::Drain, format!("{targets:?} for {duration:.1?}"));
        let names: Vec<String> =
            targets.iter().map(|_| format!("drain-{:08x}", rng.random::<u32>())).collect();
        for (name, target) in names.iter().zip(&targets) {
            self.put_drain(name, target).await?;
        }
        let since = self.shared.stats.now();
        time::sleep(DRAIN_GRACE).await;
        let before = self.started_requests(&vms).await?;
        time::sleep(duration).await;
        let after = self.started_requests(&vms).await?;
        self.check_no_late_starts(since, &before, &after);
        for name in &names {
            self.delete_change(name).await?;
        }
        Ok(())
    }

    /// Reports upstreams that started requests after the drain grace period.
    fn check_no_late_starts(
        &self,
        since: Duration,
        before: &BTreeMap<String, u64>,
        after: &BTreeMap<String, u64>,
    ) {
        if self.delayed_by_fault(since) {
            return;
        }
        for (name, &count) in after {
            let late_starts = count.saturating_sub(before.get(name).copied().unwrap_or(0));
            if late_starts > 0 {
                let at = self.shared.stats.now().as_secs_f64();
                self.log.report_violation(format!(
                    "{at:.1} s: {name} started {late_starts} requests later than \
                     {DRAIN_GRACE:?} after its drain was accepted"
                ));
            }
        }
    }

    /// Whether a fault since then may have delayed the propagation of changes.
    pub(super) fn delayed_by_fault(&self, since: Duration) -> bool {
        let injected = self.log.injected();
        injected.iter().any(|it| {
            let delays = matches!(
                it.kind,
                FaultKind::Outage | FaultKind::LostResponse | FaultKind::Freeze | FaultKind::Kill
            );
            delays && it.until.is_none_or(|until| until >= since)
        })
    }

    async fn started_requests(&self, vms: &[UpstreamVm]) -> anyhow::Result<BTreeMap<String, u64>> {
        let mut started = BTreeMap::new();
        for vm in vms {
            let record = self.shared.record(&vm.upstream).await?;
            started.insert(vm.upstream.clone(), record.started);
        }
        Ok(started)
    }

    async fn pick_several(&self, rng: &mut StdRng, count: usize) -> (Vec<UpstreamVm>, Vec<Value>) {
        let mut vms = Vec::new();
        let mut targets = Vec::new();
        for _ in 0..count {
            let Some(vm) = self.pick_vm(rng).await else { break };
            targets.push(match rng.random_bool(0.5) {
                true => json!({ "upstream": vm.agent }),
                false => json!({ "vm": vm.vm }),
            });
            vms.push(vm);
        }
        (vms, targets)
    }

    async fn pick_zone(&self, rng: &mut StdRng) -> (Vec<UpstreamVm>, Vec<Value>) {
        let Some(&zone) = self.shared.deployment.zones.choose(rng) else {
            return Default::default();
        };
        let fleet = self.shared.fleet.lock().await;
        let mut vms = Vec::new();
        for agent in fleet.running(Role::Agent) {
            let inside = fleet.get(&agent).is_ok_and(|it| it.zone == zone);
            if !inside {
                continue;
            }
            let vm = if self.is_available(&fleet, &agent) {
                self.reserve_vm(&fleet, &agent)
            } else {
                None
            };
            // Drains a whole zone or nothing.
            let Some(vm) = vm else { return Default::default() };
            vms.push(vm);
        }
        (vms, vec![json!({ "zone": zone })])
    }

    async fn replace(&self, rng: &mut StdRng) -> anyhow::Result<()> {
        if rng.random_bool(0.5) {
            let Some(balancer) = self.pick_balancer(rng).await else { return Ok(()) };
            return self.replace_balancer(&balancer.name).await;
        }
        let Some(vm) = self.pick_vm(rng).await else { return Ok(()) };
        self.replace_vm(&vm).await
    }

    async fn replace_balancer(&self, old: &str) -> anyhow::Result<()> {
        let zone = self.shared.fleet.lock().await.get(old)?.zone.clone();
        let instance = self.shared.launcher.lock().await.balancer(&zone, &[])?;
        let new = instance.launch.name.clone();
        let _fault = self.begin(FaultKind::Replace, format!("{old} by {new}"));
        let _reservation = self.reservations.reserve(&new);
        self.shared.unrouted.lock().insert(new.clone());
        self.shared.fleet.lock().await.add(instance);
        self.shared.start(&new).await?;
        self.reroute(&new).await?;
        self.unroute(old).await?;
        self.shared.stop(old).await
    }

    async fn replace_vm(&self, old: &UpstreamVm) -> anyhow::Result<()> {
        let folder = self.shared.fleet.lock().await.folder().clone();
        let instances =
            self.shared.launcher.lock().await.upstream(&old.service, &old.zone, &[], &folder)?;
        let names = instances.each_ref().map(|it| it.launch.name.clone());
        let _fault = self.begin(FaultKind::Replace, format!("{} by {}", old.agent, names[1]));
        let _reservation = self.reservations.reserve(&names[1]);
        for instance in instances {
            self.shared.fleet.lock().await.add(instance);
        }
        for name in &names {
            self.shared.start(name).await?;
        }
        self.shared.stop(&old.agent).await?;
        let record = self.shared.record(&old.upstream).await?;
        self.shared.retired_records.lock().push(record);
        self.shared.stop(&old.upstream).await
    }

    async fn unroute(&self, name: &str) -> anyhow::Result<()> {
        self.shared.unrouted.lock().insert(name.to_owned());
        self.shared.update_routes().await
    }

    async fn reroute(&self, name: &str) -> anyhow::Result<()> {
        self.shared.unrouted.lock().remove(name);
        self.shared.update_routes().await
    }

    async fn signal<F>(&self, name: &str, send: F) -> anyhow::Result<()>
    where
        F: FnOnce(&Process) -> anyhow::Result<()>,
    {
        send(self.shared.fleet.lock().await.process(name)?)
    }

    async fn apply_fabric_faults(&self, faults: &Value, duration: Duration) -> anyhow::Result<()> {
        let fabric = self.shared.launcher.lock().await.fabric;
        self.shared.http.put(fabric, "/faults", faults).await?;
        time::sleep(duration).await;
        self.shared.http.put(fabric, "/faults", &json!({})).await?;
        Ok(())
    }

    async fn apply_faults(
        &self,
        name: &str,
        path: &str,
        faults: &Value,
        duration: Duration,
    ) -> anyhow::Result<()> {
        let address = self.shared.admin(name).await?;
        self.shared.http.put(address, path, faults).await?;
        time::sleep(duration).await;
        self.shared.http.put(address, path, &json!({})).await?;
        Ok(())
    }
}

fn random_duration(rng: &mut StdRng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(range))
}
