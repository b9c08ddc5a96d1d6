//! Tables of the status.

use camphorwinch_core::object::Target;

use crate::{
    output::{Table, age, utc},
    status::{DrainProgress, Status},
};

impl Status {
    /// Formats the status as tables, without empty ones.
    pub fn tables(&self, now_ms: u64) -> String {
        let everywhere =
            self.in_force.map_or_else(|| "nothing reported".into(), |it| it.to_string());
        let mut text = format!("In force everywhere: {everywhere}\n");
        let tables = [
            self.zone_table(now_ms),
            self.object_table(),
            self.service_table(),
            self.drain_table(),
            self.upstream_table(now_ms),
            self.balancer_table(),
        ];
        for table in tables {
            if !table.is_empty() {
                text.push_str(&format!("\n{table}"));
            }
        }
        text
    }

    fn zone_table(&self, now_ms: u64) -> Table {
        let mut table =
            Table::new(&["ZONE", "IN FORCE", "KNOWN", "PROCESSES", "REPORT AGE", "BEHIND"]);
        for it in &self.zones {
            let behind: Vec<&str> = it.behind.iter().map(|it| it.name.as_str()).collect();
            table.push([
                it.zone.clone(),
                it.in_force.to_string(),
                it.known.to_string(),
                it.processes.to_string(),
                age(now_ms, it.at_ms),
                behind.join(" "),
            ]);
        }
        table
    }

    fn object_table(&self) -> Table {
        let mut table = Table::new(&["OBJECT", "VERSION", "IN FORCE", "SINCE", "TOOK"]);
        for it in &self.objects {
            let zones = match (it.everywhere, it.zones.is_empty()) {
                (true, _) => "everywhere".to_owned(),
                (false, true) => "nowhere".to_owned(),
                (false, false) => it.zones.join(" "),
            };
            table.push([
                it.object.clone(),
                it.version.to_string(),
                zones,
                utc(it.since_ms.unwrap_or(0)),
                it.took_ms.map_or_else(|| "-".to_owned(), |ms| format!("{ms} ms")),
            ]);
        }
        table
    }

    fn service_table(&self) -> Table {
        let mut table = Table::new(&[
            "SERVICE",
            "ADDRESS",
            "POOL",
            "UPSTREAMS",
            "READY",
            "DRAINING",
            "DOWN",
            "FLOWS",
            "BUSY",
        ]);
        for it in &self.services {
            table.push([
                it.service.clone(),
                it.address.clone(),
                it.pool.clone(),
                it.load.upstreams.to_string(),
                it.load.ready.to_string(),
                it.load.draining.to_string(),
                it.load.down.to_string(),
                it.load.flows.to_string(),
                format!("{}/{}", it.load.busy, it.load.slots),
            ]);
        }
        table
    }

    fn drain_table(&self) -> Table {
        let mut table =
            Table::new(&["CHANGE", "TARGET", "PROGRESS", "UPSTREAMS", "FLOWS LEFT", "BUSY"]);
        for it in &self.drains {
            table.push([
                it.change.clone(),
                target_text(&it.target),
                it.progress.as_str().to_owned(),
                it.load.upstreams.to_string(),
                it.load.flows.to_string(),
                it.load.busy.to_string(),
            ]);
        }
        table
    }

    fn upstream_table(&self, now_ms: u64) -> Table {
        let mut table =
            Table::new(&["UPSTREAM", "POOL", "VM", "ZONE", "STATE", "FOR", "FLOWS", "BUSY"]);
        for it in &self.upstreams {
            table.push([
                it.name.clone(),
                it.pool.clone(),
                it.vm.clone(),
                it.zone.clone(),
                it.state.as_str().to_owned(),
                age(now_ms, it.since_ms),
                it.flows.to_string(),
                format!("{}/{}", it.busy, it.slots),
            ]);
        }
        table
    }

    fn balancer_table(&self) -> Table {
        let mut table = Table::new(&["BALANCER", "VM", "ZONE", "STATE", "IN FORCE"]);
        for it in &self.balancers {
            table.push([
                it.name.clone(),
                it.vm.clone(),
                it.zone.clone(),
                it.state.as_str().to_owned(),
                it.in_force.to_string(),
            ]);
        }
        table
    }
}

impl DrainProgress {
    fn as_str(self) -> &'static str {
        match self {
            DrainProgress::Waiting => "waiting",
            DrainProgress::Draining => "draining",
            DrainProgress::Done => "done",
            DrainProgress::Empty => "no upstream",
        }
    }
}

fn target_text(target: &Target) -> String {
    match target {
        Target::Upstream(it) => format!("upstream {it}"),
        Target::Vm(it) => format!("VM {it}"),
        Target::Zone(it) => format!("zone {it}"),
    }
}
