//! Acquires, renews and releases the lease of this process, and runs the tasks of its holder.

use std::{sync::Arc, time::Duration};

use camphorwinch_core::{
    lease::{LEASES_PER_ZONE, LeaseClient, LeaseTerm, LeaseWrite, RENEW_INTERVAL_MS},
    mesh,
    object::{Kind, Object},
    record::Role,
    report::{Lease, Report},
};
use rand::Rng;
use serde_json::json;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::{
    clock::{now_ms, wall_ms},
    config_watch,
    control::{Inner, state::mesh_peers},
    event::{self, EventId, EventSubject},
    platform::PutOutcome,
    report::{self, Detail},
    report_writer::ReportWriter,
    timeline::TimelineWriter,
};

const STEP_INTERVAL: Duration = Duration::from_millis(500);
const MIN_WRITE_INTERVAL_MS: u64 = 1_000;
/// Interval between checks of the leases while all of the zone are held, as far as known.
const CHECK_INTERVAL_MS: u64 = 30_000;
/// Interval between checks while a lease of the zone may be free.
const FREE_CHECK_INTERVAL_MS: u64 = 2_000;
/// Additional delay per rank of the balancer, which spreads the checks.
const CHECK_STAGGER_MS: u64 = 200;

/// Runs until the process stops; then releases the lease.
pub(crate) async fn run(inner: Arc<Inner>) {
    let mut task = LeaseTask::new(Arc::clone(&inner));
    loop {
        task.step().await;
        let jitter = rand::rng().random_range(0.8..1.2);
        tokio::select! {
            () = sleep(STEP_INTERVAL.mul_f64(jitter)) => {}
            () = inner.leaving.cancelled() => break,
            () = inner.stop.cancelled() => return,
        }
    }
    task.release().await;
    inner.released.cancel();
}

struct LeaseTask {
    inner: Arc<Inner>,
    client: LeaseClient,
    zone: String,
    last_write_ms: u64,
    last_check_ms: Option<u64>,
    /// Stops the watch of the platform.
    watch: Option<CancellationToken>,
    timeline_writer: Option<TimelineWriter>,
    report_writer: Option<ReportWriter>,
    written_report: Option<Report>,
    /// Last known era of the platform.
    era: Option<u64>,
}

impl LeaseTask {
    fn new(inner: Arc<Inner>) -> LeaseTask {
        let zone = inner.common.place.zone.clone();
        let client = LeaseClient::new(&inner.common.name);
        LeaseTask {
            inner,
            client,
            zone,
            last_write_ms: 0,
            last_check_ms: None,
            watch: None,
            timeline_writer: None,
            report_writer: None,
            written_report: None,
            era: None,
        }
    }

    /// Resets the lease state after a reset of the platform.
    fn detect_reset(&mut self) {
        let era = self.inner.platform.era();
        let known = std::mem::replace(&mut self.era, era);
        if known.is_some() && known < era {
            self.client.handle_reset(now_ms());
        }
    }

    async fn step(&mut self) {
        self.detect_reset();
        match self.client.renew(now_ms()) {
            Some(write) => self.renew(write).await,
            None => self.try_acquire().await,
        }
        self.apply_lease_change();
        if self.client.holds(now_ms()).is_some() {
            self.write_objects().await;
        }
    }

    async fn renew(&mut self, write: LeaseWrite) {
        let since = now_ms().saturating_sub(self.last_write_ms);
        if since < MIN_WRITE_INTERVAL_MS {
            return;
        }
        let report = report::current(&self.inner, Detail::Summary).map(|it| it.summary());
        if since < RENEW_INTERVAL_MS && !has_changed(report.as_ref(), self.written_report.as_ref())
        {
            return;
        }
        self.emit_zone_in_force(report.as_ref());
        self.written_report.clone_from(&report);
        self.write(write, report).await;
    }

    /// Emits an event when a revision is in force in the whole zone. The timeline has this event instead of one event
    /// per process.
    fn emit_zone_in_force(&self, report: Option<&Report>) {
        let before = self.written_report.as_ref().map_or(0, |it| it.in_force);
        let Some(report) = report.filter(|it| it.in_force > before) else {
            return;
        };
        let text = format!("revision {} in zone {}", report.in_force, self.zone);
        event::emit(EventId::ZoneInForce, EventSubject::new(), &text);
    }

    async fn write(&mut self, write: LeaseWrite, report: Option<Report>) {
        let name = Lease::name(&self.zone, write.number);
        let lease = Lease {
            holder: write.term.holder.clone(),
            control: self.inner.common.control.to_string(),
            taken_ms: write.term.acquired_ms,
            report,
        };
        self.last_write_ms = now_ms();
        match self
            .inner
            .platform
            .put(Kind::Lease, &name, write.expected_version, &json!(lease))
            .await
        {
            Ok(PutOutcome::Done(object)) => {
                self.client.confirm_write(now_ms(), &write, object.version);
            }
            Ok(PutOutcome::Conflict(current)) => self.observe(write.number, current),
            Err(e) => {
                self.inner.platform_failed(&e);
                self.read(write.number).await;
            }
        }
    }

    fn observe(&mut self, number: u8, object: Option<Object>) {
        let version = object.as_ref().map_or(0, |it| it.version);
        let spec = object.map(|it| it.spec).unwrap_or_default();
        let lease: Lease = serde_json::from_value(spec).unwrap_or_default();
        let term = LeaseTerm { holder: lease.holder, acquired_ms: lease.taken_ms };
        self.client.observe(now_ms(), number, version, term);
    }

    async fn read(&mut self, number: u8) -> bool {
        let name = Lease::name(&self.zone, number);
        match self.inner.platform.get(Kind::Lease, &name).await {
            Ok(object) => {
                self.inner.platform_recovered();
                self.observe(number, object);
                true
            }
            Err(e) => {
                self.inner.platform_failed(&e);
                false
            }
        }
    }

    /// Checks the leases if a check is due, and takes one that is free.
    async fn try_acquire(&mut self) {
        let now = now_ms();
        let due =
            self.last_check_ms.is_none_or(|it| now.saturating_sub(it) >= self.check_interval_ms());
        if !due {
            return;
        }
        self.last_check_ms = Some(now);
        for number in 0..LEASES_PER_ZONE {
            if !self.read(number).await {
                return;
            }
        }
        let Some(write) = self.client.try_acquire(now_ms(), wall_ms()) else {
            return;
        };
        self.write(write, None).await;
    }

    fn check_interval_ms(&self) -> u64 {
        if self.client.last_held().is_some() {
            return MIN_WRITE_INTERVAL_MS;
        }
        let state = self.inner.state.lock();
        let alive = state.balancers();
        let in_zone: Vec<_> = alive.into_iter().filter(|it| it.place.zone == self.zone).collect();
        let mut held = 0;
        for member in state.view.members().filter(|it| it.zone() == self.zone) {
            held += u8::from(matches!(member.role, Role::Balancer { lease: Some(_), .. }));
        }
        if held >= LEASES_PER_ZONE {
            return CHECK_INTERVAL_MS;
        }
        let rank = mesh::rank(&self.zone, state.own.name(), &mesh_peers(&in_zone)) as u64;
        FREE_CHECK_INTERVAL_MS + rank * CHECK_STAGGER_MS
    }

    /// Updates the announcement and the tasks of a holder after the lease was taken or lost.
    fn apply_lease_change(&mut self) {
        let held = self.client.holds(now_ms());
        let before = self.inner.set_lease(held);
        match (before, held) {
            (None, Some(n)) => {
                self.written_report = None;
                event::emit(EventId::SeedTaken, EventSubject::new(), &Lease::name(&self.zone, n));
            }
            (Some(n), None) => {
                self.timeline_writer = None;
                self.report_writer = None;
                event::emit(EventId::SeedLost, EventSubject::new(), &Lease::name(&self.zone, n));
            }
            _ => {}
        }
        // The watch only reads, so it continues after the lease expired until another holder is known.
        match (&self.watch, self.client.last_held()) {
            (None, Some(_)) => {
                let token = self.inner.stop.child_token();
                tokio::spawn(config_watch::run(Arc::clone(&self.inner), token.clone()));
                self.watch = Some(token);
            }
            (Some(token), None) => {
                token.cancel();
                self.watch = None;
            }
            _ => {}
        }
    }

    /// Writes the timeline and the full report concurrently, so that a slow platform does not delay the lease renewal.
    async fn write_objects(&mut self) {
        let (timeline_writer, report_writer) =
            (self.timeline_writer.take(), self.report_writer.take());
        let (timeline_writer, report_writer) =
            tokio::join!(self.write_timeline(timeline_writer), self.write_report(report_writer));
        self.timeline_writer = timeline_writer;
        self.report_writer = report_writer;
    }

    async fn write_timeline(&self, writer: Option<TimelineWriter>) -> Option<TimelineWriter> {
        let inner = &self.inner;
        let reporting = {
            let state = inner.state.lock();
            state.lease_holder(&self.zone).is_some_and(|it| it.name == state.own.name())
        };
        if !reporting {
            return None;
        }
        let writer = match writer {
            Some(it) => it,
            None => match TimelineWriter::open(inner, &self.zone).await {
                Ok(it) => it,
                Err(e) => {
                    inner.platform_failed(&e);
                    return None;
                }
            },
        };
        writer.write(inner, || self.client.holds(now_ms()).is_some()).await
    }

    async fn write_report(&self, writer: Option<ReportWriter>) -> Option<ReportWriter> {
        if writer.as_ref().is_some_and(|it| !it.is_due()) {
            return writer;
        }
        let report = report::current(&self.inner, Detail::Full)?;
        let writer = match writer {
            Some(it) => it,
            None => match ReportWriter::open(&self.inner, &self.zone).await {
                Ok(it) => it,
                Err(e) => {
                    self.inner.platform_failed(&e);
                    return None;
                }
            },
        };
        let held = self.client.holds(now_ms()).is_some();
        if held { writer.write(&self.inner, report).await } else { None }
    }

    async fn release(&mut self) {
        if let Some(token) = self.watch.take() {
            token.cancel();
        }
        if let Some(write) = self.client.release(now_ms()) {
            self.write(write, None).await;
        }
    }
}

/// Whether two reports differ, ignoring their time.
pub(crate) fn has_changed(new: Option<&Report>, old: Option<&Report>) -> bool {
    match (new, old) {
        (Some(new), Some(old)) => Report { at_ms: old.at_ms, ..new.clone() } != *old,
        (new, old) => new.is_some() != old.is_some(),
    }
}
