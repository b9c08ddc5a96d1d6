//! The process's lease in the platform: taking it, renewing it together with the zone's report, and what its holder does.

use std::{sync::Arc, time::Duration};

use camphorwinch_core::{
    lease::{Attempt, Keeper, LEASES, RENEW_MS, Term},
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
    control::{Inner, state::mesh_peers},
    event::{self, About, Id},
    platform::PutOutcome,
    report::{self, Detail},
    seed,
    timeline::TimelineWriter,
    whole::WholeWriter,
};

/// Time between two looks at what is to be done.
const STEP: Duration = Duration::from_millis(500);
/// Least time between two writes of a lease, in milliseconds.
const WRITE_MS: u64 = 1_000;
/// Time between looks at the leases while both are held as far as the peers know, in milliseconds.
const LOOK_MS: u64 = 30_000;
/// Time between looks while a lease of the zone may be free, in milliseconds.
const LOOK_SOON_MS: u64 = 2_000;
/// How much later each further balancer of the zone looks, in milliseconds.
const RANK_MS: u64 = 200;

/// Runs until the process stops; then gives the lease back.
pub(crate) async fn run(inner: Arc<Inner>) {
    let mut holder = Holder::new(Arc::clone(&inner));
    loop {
        holder.step().await;
        let jitter = rand::rng().random_range(0.8..1.2);
        tokio::select! {
            () = sleep(STEP.mul_f64(jitter)) => {}
            () = inner.leaving.cancelled() => break,
            () = inner.stop.cancelled() => return,
        }
    }
    holder.release().await;
    inner.released.cancel();
}

struct Holder {
    inner: Arc<Inner>,
    keeper: Keeper,
    zone: String,
    written_ms: u64,
    looked_ms: Option<u64>,
    /// Ends the watch of the platform.
    watch: Option<CancellationToken>,
    timeline: Option<TimelineWriter>,
    whole: Option<WholeWriter>,
    written: Option<Report>,
    /// Era of the platform that is known.
    era: Option<u64>,
}

impl Holder {
    fn new(inner: Arc<Inner>) -> Holder {
        let zone = inner.common.place.zone.clone();
        let keeper = Keeper::new(&inner.common.name);
        Holder {
            inner,
            keeper,
            zone,
            written_ms: 0,
            looked_ms: None,
            watch: None,
            timeline: None,
            whole: None,
            written: None,
            era: None,
        }
    }

    /// Takes in that the platform came back from a copy.
    fn note_reset(&mut self) {
        let era = self.inner.platform.era();
        let known = std::mem::replace(&mut self.era, era);
        if known.is_some() && known < era {
            self.keeper.reset(now_ms());
        }
    }

    async fn step(&mut self) {
        self.note_reset();
        match self.keeper.renew(now_ms()) {
            Some(attempt) => self.renew(attempt).await,
            None => self.look().await,
        }
        self.settle();
        if self.keeper.holds(now_ms()).is_some() {
            self.write_objects().await;
        }
    }

    async fn renew(&mut self, attempt: Attempt) {
        let since = now_ms().saturating_sub(self.written_ms);
        if since < WRITE_MS {
            return;
        }
        let report = report::current(&self.inner, Detail::Brief).map(|it| it.brief());
        if since < RENEW_MS && !differs(report.as_ref(), self.written.as_ref()) {
            return;
        }
        self.note_in_force(report.as_ref());
        self.written.clone_from(&report);
        self.write(attempt, report).await;
    }

    /// Records that a revision is in force in the whole zone. The processes' own events of this stay with them, as a
    /// change would fill the timeline with them.
    fn note_in_force(&self, report: Option<&Report>) {
        let before = self.written.as_ref().map_or(0, |it| it.in_force);
        let Some(report) = report.filter(|it| it.in_force > before) else {
            return;
        };
        let text = format!("revision {} in zone {}", report.in_force, self.zone);
        event::emit(Id::ZoneInForce, About::new(), &text);
    }

    async fn write(&mut self, attempt: Attempt, report: Option<Report>) {
        let name = Lease::name(&self.zone, attempt.number);
        let lease = Lease {
            holder: attempt.term.holder.clone(),
            control: self.inner.common.control.to_string(),
            taken_ms: attempt.term.taken_ms,
            report,
        };
        self.written_ms = now_ms();
        match self.inner.platform.put(Kind::Lease, &name, attempt.base, &json!(lease)).await {
            Ok(PutOutcome::Done(object)) => {
                self.keeper.written(now_ms(), &attempt, object.version);
            }
            Ok(PutOutcome::Conflict(current)) => self.observe(attempt.number, current),
            Err(e) => {
                self.inner.platform_failed(&e);
                self.read(attempt.number).await;
            }
        }
    }

    fn observe(&mut self, number: u8, object: Option<Object>) {
        let version = object.as_ref().map_or(0, |it| it.version);
        let spec = object.map(|it| it.spec).unwrap_or_default();
        let lease: Lease = serde_json::from_value(spec).unwrap_or_default();
        let term = Term { holder: lease.holder, taken_ms: lease.taken_ms };
        self.keeper.observe(now_ms(), number, version, term);
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

    /// Looks whether a lease may be taken, when it is time, and takes it.
    async fn look(&mut self) {
        let now = now_ms();
        let due = self.looked_ms.is_none_or(|it| now.saturating_sub(it) >= self.interval());
        if !due {
            return;
        }
        self.looked_ms = Some(now);
        for number in 0..LEASES {
            if !self.read(number).await {
                return;
            }
        }
        let Some(attempt) = self.keeper.take(now_ms(), wall_ms()) else {
            return;
        };
        self.write(attempt, None).await;
    }

    fn interval(&self) -> u64 {
        if self.keeper.last().is_some() {
            return WRITE_MS;
        }
        let state = self.inner.state.lock();
        let alive = state.balancers();
        let in_zone: Vec<_> = alive.into_iter().filter(|it| it.place.zone == self.zone).collect();
        let mut held = 0;
        for member in state.view.members().filter(|it| it.zone() == self.zone) {
            held += u8::from(matches!(member.role, Role::Balancer { lease: Some(_), .. }));
        }
        if held >= LEASES {
            return LOOK_MS;
        }
        let rank = mesh::rank(&self.zone, state.own.name(), &mesh_peers(&in_zone)) as u64;
        LOOK_SOON_MS + rank * RANK_MS
    }

    /// Brings what the process announces and does into line with the lease.
    fn settle(&mut self) {
        let held = self.keeper.holds(now_ms());
        let before = self.inner.set_lease(held);
        match (before, held) {
            (None, Some(n)) => {
                self.written = None;
                event::emit(Id::SeedTaken, About::new(), &Lease::name(&self.zone, n));
            }
            (Some(n), None) => {
                self.timeline = None;
                self.whole = None;
                event::emit(Id::SeedLost, About::new(), &Lease::name(&self.zone, n));
            }
            _ => {}
        }
        // A watch only reads: it goes on while the lease lapsed and nobody else is known to have taken it.
        match (&self.watch, self.keeper.last()) {
            (None, Some(_)) => {
                let token = self.inner.stop.child_token();
                tokio::spawn(seed::run(Arc::clone(&self.inner), token.clone()));
                self.watch = Some(token);
            }
            (Some(token), None) => {
                token.cancel();
                self.watch = None;
            }
            _ => {}
        }
    }

    /// Writes the zone's timeline and whole report, both at once, as the platform may be slow and the lease must not lapse.
    async fn write_objects(&mut self) {
        let (timeline, whole) = (self.timeline.take(), self.whole.take());
        let (timeline, whole) =
            tokio::join!(self.write_timeline(timeline), self.write_whole(whole));
        self.timeline = timeline;
        self.whole = whole;
    }

    async fn write_timeline(&self, writer: Option<TimelineWriter>) -> Option<TimelineWriter> {
        let inner = &self.inner;
        let reporting = {
            let state = inner.state.lock();
            state.seed(&self.zone).is_some_and(|it| it.name == state.own.name())
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
        writer.write(inner, || self.keeper.holds(now_ms()).is_some()).await
    }

    async fn write_whole(&self, writer: Option<WholeWriter>) -> Option<WholeWriter> {
        if writer.as_ref().is_some_and(|it| !it.due()) {
            return writer;
        }
        let report = report::current(&self.inner, Detail::Whole)?;
        let writer = match writer {
            Some(it) => it,
            None => match WholeWriter::open(&self.inner, &self.zone).await {
                Ok(it) => it,
                Err(e) => {
                    self.inner.platform_failed(&e);
                    return None;
                }
            },
        };
        let held = self.keeper.holds(now_ms()).is_some();
        if held { writer.write(&self.inner, report).await } else { None }
    }

    async fn release(&mut self) {
        if let Some(token) = self.watch.take() {
            token.cancel();
        }
        if let Some(attempt) = self.keeper.release(now_ms()) {
            self.write(attempt, None).await;
        }
    }
}

/// Whether two reports differ in more than their time.
pub(crate) fn differs(new: Option<&Report>, old: Option<&Report>) -> bool {
    match (new, old) {
        (Some(new), Some(old)) => Report { at_ms: old.at_ms, ..new.clone() } != *old,
        (new, old) => new.is_some() != old.is_some(),
    }
}
