//! What each kind of fault does.

use std::{collections::BTreeMap, time::Duration};

use rand::{Rng, rngs::StdRng, seq::IndexedRandom};
use serde_json::{Value, json};
use tokio::time;

use super::{
    Injector, Kind, Placed,
    pick::{Hold, Vm},
};
use crate::site::{fleet::Role, launch::PLATFORM, process::Process};

/// Time after which the fabric notices that a balancer does not answer.
const FABRIC_NOTICE: Duration = Duration::from_millis(1_500);
/// Time in which a leaving upstream may still get new work.
const DRAIN_GRACE: Duration = Duration::from_secs(5);
const DOWN_MS: std::ops::Range<u64> = 500..4_000;
const PAUSE_MS: std::ops::Range<u64> = 500..6_000;
const LONG_PAUSE_MS: std::ops::Range<u64> = 11_000..14_000;
const LONG_PAUSE_CHANCE: f64 = 0.25;
const LAST_MS: std::ops::Range<u64> = 2_000..8_000;
const SEVERAL: usize = 2;

impl Injector {
    pub(super) async fn act(&self, kind: Kind, rng: &mut StdRng) -> anyhow::Result<()> {
        match kind {
            Kind::Kill => self.kill(rng).await,
            Kind::Freeze => self.freeze(rng).await,
            Kind::Cut => self.cut(rng).await,
            Kind::Outage => self.outage(rng).await,
            Kind::LostAnswer => self.lose_answers(rng).await,
            Kind::Race => self.race(rng).await,
            Kind::Drain => self.drain(rng).await,
            Kind::Replace => self.replace(rng).await,
            Kind::Config => self.configure(rng).await,
            Kind::Lie => self.lie(rng).await,
        }
    }

    async fn kill(&self, rng: &mut StdRng) -> anyhow::Result<()> {
        let down = draw(rng, DOWN_MS);
        let roll = rng.random_range(0..100);
        if roll < 35 {
            let Some(entry) = self.pick_entry(rng).await else { return Ok(()) };
            return self.kill_entry(&entry, down).await;
        }
        let Some(vm) = self.pick_vm(rng).await else { return Ok(()) };
        let names = match roll {
            35..60 => vec![&vm.agent],
            60..75 => vec![&vm.upstream],
            _ => vec![&vm.agent, &vm.upstream],
        };
        let text = format!("{names:?} for {down:.1?}");
        let _mark = self.mark(Placed {
            kind: Kind::Kill,
            at: self.shared.tally.now(),
            until: None,
            text,
            killed: names.iter().filter(|it| **it == &vm.agent).map(|it| it.to_string()).collect(),
            cut: vec![vm.agent.clone()],
        });
        for name in &names {
            self.shared.kill(name).await?;
        }
        time::sleep(down).await;
        // The upstream goes first: an agent is not ready without one.
        for name in names.iter().rev() {
            self.shared.start(name).await?;
        }
        Ok(())
    }

    async fn kill_entry(&self, entry: &Hold, down: Duration) -> anyhow::Result<()> {
        let name = &entry.name;
        let _mark = self.begin(Kind::Kill, format!("{name} for {down:.1?}"));
        self.shared.kill(name).await?;
        let notice = down.min(FABRIC_NOTICE);
        time::sleep(notice).await;
        self.unroute(name).await?;
        time::sleep(down - notice).await;
        self.shared.start(name).await?;
        self.reroute(name).await
    }

    async fn freeze(&self, rng: &mut StdRng) -> anyhow::Result<()> {
        let roll = rng.random_range(0..100);
        if roll < 40 {
            let Some(entry) = self.pick_entry(rng).await else { return Ok(()) };
            let long = rng.random_bool(LONG_PAUSE_CHANCE);
            let pause = draw(rng, if long { LONG_PAUSE_MS } else { PAUSE_MS });
            return self.freeze_entry(&entry, pause).await;
        }
        let pause = draw(rng, PAUSE_MS);
        let Some(vm) = self.pick_vm(rng).await else { return Ok(()) };
        let name = if roll < 75 { &vm.agent } else { &vm.upstream };
        let _mark = self.begin(Kind::Freeze, format!("{name} for {pause:.1?}"));
        self.signal(name, Process::freeze).await?;
        time::sleep(pause).await;
        self.signal(name, Process::thaw).await
    }

    async fn freeze_entry(&self, entry: &Hold, pause: Duration) -> anyhow::Result<()> {
        let name = &entry.name;
        let _mark = self.begin(Kind::Freeze, format!("{name} for {pause:.1?}"));
        self.signal(name, Process::freeze).await?;
        let notice = pause.min(FABRIC_NOTICE);
        time::sleep(notice).await;
        self.unroute(name).await?;
        time::sleep(pause - notice).await;
        self.signal(name, Process::thaw).await?;
        self.reroute(name).await
    }

    async fn cut(&self, rng: &mut StdRng) -> anyhow::Result<()> {
        let Some(_hold) = self.busy.hold("fabric") else { return Ok(()) };
        let last = draw(rng, LAST_MS);
        if rng.random_bool(0.5) {
            let faults = json!({ "loss": 0.03, "duplicate": 0.05, "reorder": 0.1, "hold_ms": 5 });
            let _mark = self.begin(Kind::Cut, format!("fabric {faults} for {last:.1?}"));
            return self.disturb_fabric(&faults, last).await;
        }
        let Some(entry) = self.pick_entry(rng).await else { return Ok(()) };
        let host = self.shared.fleet.lock().await.get(&entry.name)?.host;
        let _mark = self.begin(Kind::Cut, format!("{} for {last:.1?}", entry.name));
        self.disturb_fabric(&json!({ "cut": [host] }), last).await
    }

    async fn outage(&self, rng: &mut StdRng) -> anyhow::Result<()> {
        let Some(_hold) = self.busy.hold(PLATFORM) else { return Ok(()) };
        let last = draw(rng, LAST_MS);
        let faults = [
            json!({ "outage": "error" }),
            json!({ "outage": "refuse" }),
            json!({ "outage": "hang" }),
            json!({ "delay_ms": 300, "jitter_ms": 700 }),
            json!({ "watch_skip": 0.3, "watch_repeat": 0.3, "watch_close": 0.3 }),
        ];
        let Some(faults) = faults.choose(rng) else { return Ok(()) };
        let _mark = self.begin(Kind::Outage, format!("platform {faults} for {last:.1?}"));
        self.disturb(PLATFORM, "/admin/faults", faults, last).await
    }

    async fn lose_answers(&self, rng: &mut StdRng) -> anyhow::Result<()> {
        let last = draw(rng, LAST_MS);
        if rng.random_bool(0.4) {
            let Some(_hold) = self.busy.hold(PLATFORM) else { return Ok(()) };
            let faults = json!({ "lost": 0.4, "answer_ms": 50 });
            let _mark = self.begin(Kind::LostAnswer, format!("platform {faults} for {last:.1?}"));
            return self.disturb(PLATFORM, "/admin/faults", &faults, last).await;
        }
        let Some(vm) = self.pick_vm(rng).await else { return Ok(()) };
        let faults =
            [json!({ "lost": 0.3 }), json!({ "late": 0.3, "late_ms": 900 }), json!({ "cut": 0.2 })];
        let Some(faults) = faults.choose(rng) else { return Ok(()) };
        let _mark = self.mark(Placed {
            kind: Kind::LostAnswer,
            at: self.shared.tally.now(),
            until: None,
            text: format!("{} {faults} for {last:.1?}", vm.upstream),
            killed: Vec::new(),
            cut: vec![vm.agent.clone()],
        });
        self.disturb(&vm.upstream, "/faults", faults, last).await
    }

    async fn lie(&self, rng: &mut StdRng) -> anyhow::Result<()> {
        let Some(vm) = self.pick_vm(rng).await else { return Ok(()) };
        let last = draw(rng, LAST_MS);
        let faults = [
            json!({ "lie": "idle" }),
            json!({ "lie": "full" }),
            json!({ "slow": 4.0 }),
            json!({ "shed": 0.5 }),
            json!({ "lag_ms": 3_000, "slow": 2.0 }),
        ];
        let Some(faults) = faults.choose(rng) else { return Ok(()) };
        let _mark = self.begin(Kind::Lie, format!("{} {faults} for {last:.1?}", vm.upstream));
        self.disturb(&vm.upstream, "/faults", faults, last).await
    }

    async fn drain(&self, rng: &mut StdRng) -> anyhow::Result<()> {
        let last = draw(rng, LAST_MS);
        let roll = rng.random_range(0..100);
        let (vms, targets) = match roll {
            0..50 => self.pick_several(rng, 1).await,
            50..75 => self.pick_several(rng, SEVERAL).await,
            _ => self.pick_zone(rng).await,
        };
        if vms.is_empty() {
            return Ok(());
        }
        let _mark = self.begin(Kind::Drain, format!("{targets:?} for {last:.1?}"));
        let names: Vec<String> =
            targets.iter().map(|_| format!("drain-{:08x}", rng.random::<u32>())).collect();
        for (name, target) in names.iter().zip(&targets) {
            self.put_drain(name, target).await?;
        }
        let since = self.shared.tally.now();
        time::sleep(DRAIN_GRACE).await;
        let before = self.started(&vms).await?;
        time::sleep(last).await;
        let after = self.started(&vms).await?;
        self.check_drained(since, &before, &after);
        for name in &names {
            self.delete_change(name).await?;
        }
        Ok(())
    }

    /// A leaving upstream gets no new work after a few seconds.
    fn check_drained(
        &self,
        since: Duration,
        before: &BTreeMap<String, u64>,
        after: &BTreeMap<String, u64>,
    ) {
        if self.disturbed(since) {
            return;
        }
        for (name, &count) in after {
            let late = count.saturating_sub(before.get(name).copied().unwrap_or(0));
            if late > 0 {
                let at = self.shared.tally.now().as_secs_f64();
                self.log.complain(format!(
                    "{at:.1} s: {name} started {late} requests later than {DRAIN_GRACE:?} after \
                     its drain was accepted"
                ));
            }
        }
    }

    /// Whether something disturbed since then by which news may come late.
    pub(super) fn disturbed(&self, since: Duration) -> bool {
        let placed = self.log.placed();
        placed.iter().any(|it| {
            let news =
                matches!(it.kind, Kind::Outage | Kind::LostAnswer | Kind::Freeze | Kind::Kill);
            news && it.until.is_none_or(|until| until >= since)
        })
    }

    async fn started(&self, vms: &[Vm]) -> anyhow::Result<BTreeMap<String, u64>> {
        let mut started = BTreeMap::new();
        for vm in vms {
            let record = self.shared.record(&vm.upstream).await?;
            started.insert(vm.upstream.clone(), record.started);
        }
        Ok(started)
    }

    async fn pick_several(&self, rng: &mut StdRng, count: usize) -> (Vec<Vm>, Vec<Value>) {
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

    async fn pick_zone(&self, rng: &mut StdRng) -> (Vec<Vm>, Vec<Value>) {
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
            let vm =
                if self.is_spare(&fleet, &agent) { self.hold_vm(&fleet, &agent) } else { None };
            // A zone is drained as a whole or not at all.
            let Some(vm) = vm else { return Default::default() };
            vms.push(vm);
        }
        (vms, vec![json!({ "zone": zone })])
    }

    async fn replace(&self, rng: &mut StdRng) -> anyhow::Result<()> {
        if rng.random_bool(0.5) {
            let Some(entry) = self.pick_entry(rng).await else { return Ok(()) };
            return self.replace_entry(&entry.name).await;
        }
        let Some(vm) = self.pick_vm(rng).await else { return Ok(()) };
        self.replace_vm(&vm).await
    }

    async fn replace_entry(&self, old: &str) -> anyhow::Result<()> {
        let zone = self.shared.fleet.lock().await.get(old)?.zone.clone();
        let member = self.shared.launcher.lock().await.balancer(&zone, &[])?;
        let new = member.launch.name.clone();
        let _mark = self.begin(Kind::Replace, format!("{old} by {new}"));
        let _hold = self.busy.hold(&new);
        self.shared.unrouted.lock().insert(new.clone());
        self.shared.fleet.lock().await.add(member);
        self.shared.start(&new).await?;
        self.reroute(&new).await?;
        self.unroute(old).await?;
        self.shared.stop(old).await
    }

    async fn replace_vm(&self, old: &Vm) -> anyhow::Result<()> {
        let folder = self.shared.fleet.lock().await.folder().clone();
        let members =
            self.shared.launcher.lock().await.upstream(&old.service, &old.zone, &[], &folder)?;
        let names = members.each_ref().map(|it| it.launch.name.clone());
        let _mark = self.begin(Kind::Replace, format!("{} by {}", old.agent, names[1]));
        let _hold = self.busy.hold(&names[1]);
        for member in members {
            self.shared.fleet.lock().await.add(member);
        }
        for name in &names {
            self.shared.start(name).await?;
        }
        self.shared.stop(&old.agent).await?;
        let record = self.shared.record(&old.upstream).await?;
        self.shared.retired.lock().push(record);
        self.shared.stop(&old.upstream).await
    }

    async fn unroute(&self, name: &str) -> anyhow::Result<()> {
        self.shared.unrouted.lock().insert(name.to_owned());
        self.shared.route().await
    }

    async fn reroute(&self, name: &str) -> anyhow::Result<()> {
        self.shared.unrouted.lock().remove(name);
        self.shared.route().await
    }

    async fn signal<F>(&self, name: &str, send: F) -> anyhow::Result<()>
    where
        F: FnOnce(&Process) -> anyhow::Result<()>,
    {
        send(self.shared.fleet.lock().await.process(name)?)
    }

    async fn disturb_fabric(&self, faults: &Value, last: Duration) -> anyhow::Result<()> {
        let fabric = self.shared.launcher.lock().await.fabric;
        self.shared.http.put(fabric, "/faults", faults).await?;
        time::sleep(last).await;
        self.shared.http.put(fabric, "/faults", &json!({})).await?;
        Ok(())
    }

    async fn disturb(
        &self,
        name: &str,
        path: &str,
        faults: &Value,
        last: Duration,
    ) -> anyhow::Result<()> {
        let address = self.shared.admin(name).await?;
        self.shared.http.put(address, path, faults).await?;
        time::sleep(last).await;
        self.shared.http.put(address, path, &json!({})).await?;
        Ok(())
    }
}

fn draw(rng: &mut StdRng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(range))
}
