//! A feed: numbered lines until its time is over, the upstream stops or the connection is closed.

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
    gate::{Count, Counted},
    journal::Event,
    request::Task,
    run::Run,
    state::State,
};
use crate::{
    answer,
    server::{Body, Dropped, turned_on},
};

/// Lines after which a feed that is to break off does so.
const CUT_AFTER: u64 = 2;
const FOREVER: Duration = Duration::from_secs(365 * 24 * 3600);

struct Feed {
    echo: String,
    first: Option<String>,
    digest: Sha256,
    count: u64,
    ticks: Interval,
    end: Instant,
    stop: watch::Receiver<bool>,
    cuts: bool,
    run: Option<Run>,
    _open: Counted,
}

/// The body of a feed.
pub(super) fn body(
    state: &Arc<State>,
    task: &Task,
    run: Run,
    length: Option<Duration>,
    every: Duration,
    cuts: bool,
) -> Body {
    let now = Instant::now();
    let mut ticks = interval_at(now + every, every);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let end = now + length.unwrap_or(FOREVER);
    let feed = Feed {
        echo: task.head.echo.clone(),
        first: Some(answer::first_line(&task.head)),
        digest: Sha256::new(),
        count: 0,
        ticks,
        end: task.deadline.map_or(end, |deadline| deadline.min(end)),
        stop: state.stop.subscribe(),
        cuts,
        run: Some(run),
        _open: Counted::new(state, Count::Feeds),
    };
    let lines = stream::unfold(feed, |mut feed| async move {
        let line = feed.next().await?;
        Some((line.map(|line| Frame::data(Bytes::from(line))), feed))
    });
    BodyExt::boxed(StreamBody::new(lines))
}

impl Feed {
    async fn next(&mut self) -> Option<Result<String, Dropped>> {
        self.run.as_ref()?;
        if let Some(line) = self.first.take() {
            self.digest.update(&line);
            return Some(Ok(line));
        }
        if self.cuts && self.count == CUT_AFTER {
            self.run = None;
            return Some(Err(Dropped));
        }
        tokio::select! {
            _ = self.ticks.tick() => {
                self.count += 1;
                let line = answer::tick_line(self.count, &self.echo);
                self.digest.update(&line);
                Some(Ok(line))
            }
            _ = sleep_until(self.end) => self.last(),
            () = turned_on(&mut self.stop) => self.last(),
        }
    }

    fn last(&mut self) -> Option<Result<String, Dropped>> {
        self.run.take()?.end(Event::Finish);
        let digest = std::mem::take(&mut self.digest);
        Some(Ok(answer::sum_text(&answer::to_hex(&digest.finalize()))))
    }
}
