//! Feed responses: a stream of numbered lines that ends after its duration, at a deadline, when the upstream stops, or
//! when the connection is closed.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use sha2::{Digest, Sha256};
use tokio::{
    sync::watch,
    time::{Instant, Interval, MissedTickBehavior, interval_at, sleep_until},
};

use super::{
    admission::{GaugeGuard, GaugeName},
    journal::JournalEvent,
    request::Task,
    run::Run,
    state::State,
};
use crate::{
    response,
    server::{Body, Dropped, wait_until_true},
};

/// Numbered lines sent before a truncated feed ends.
const TRUNCATE_AFTER_LINES: u64 = 2;
const UNLIMITED: Duration = Duration::from_secs(365 * 24 * 3600);

struct Feed {
    echo: String,
    first_line: Option<String>,
    digest: Sha256,
    line_count: u64,
    ticks: Interval,
    end: Instant,
    stop: watch::Receiver<bool>,
    truncate: bool,
    run: Option<Run>,
    _open: GaugeGuard,
}

/// Builds the streaming body of a feed.
pub(super) fn body(
    state: &Arc<State>,
    task: &Task,
    run: Run,
    duration: Option<Duration>,
    period: Duration,
    truncate: bool,
) -> Body {
    let now = Instant::now();
    let mut ticks = interval_at(now + period, period);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let end = now + duration.unwrap_or(UNLIMITED);
    let feed = Feed {
        echo: task.head.echo.clone(),
        first_line: Some(response::first_line(&task.head)),
        digest: Sha256::new(),
        line_count: 0,
        ticks,
        end: task.deadline.map_or(end, |deadline| deadline.min(end)),
        stop: state.stop.subscribe(),
        truncate,
        run: Some(run),
        _open: GaugeGuard::new(state, GaugeName::Feeds),
    };
    let lines = stream::unfold(feed, |mut feed| async move {
        let line = feed.next_line().await?;
        Some((line.map(|line| Frame::data(Bytes::from(line))), feed))
    });
    BodyExt::boxed(StreamBody::new(lines))
}

impl Feed {
    async fn next_line(&mut self) -> Option<Result<String, Dropped>> {
        self.run.as_ref()?;
        if let Some(line) = self.first_line.take() {
            self.digest.update(&line);
            return Some(Ok(line));
        }
        if self.truncate && self.line_count == TRUNCATE_AFTER_LINES {
            self.run = None;
            return Some(Err(Dropped));
        }
        tokio::select! {
            _ = self.ticks.tick() => {
                self.line_count += 1;
                let line = response::feed_line(self.line_count, &self.echo);
                self.digest.update(&line);
                Some(Ok(line))
            }
            _ = sleep_until(self.end) => self.last_line(),
            () = wait_until_true(&mut self.stop) => self.last_line(),
        }
    }

    fn last_line(&mut self) -> Option<Result<String, Dropped>> {
        self.run.take()?.end(JournalEvent::Finish);
        let digest = std::mem::take(&mut self.digest);
        Some(Ok(response::digest_line_from_hex(&response::to_hex(&digest.finalize()))))
    }
}
