//! Watch calls of several watchers, of which all open ones may go silent.

use camphorwinch_core::opaque::watch_schedule::{WatchCall, WatchSchedule};

/// Time after which what is known must be current again: an accepted change is in force within this time.
const FRESH_MS: u64 = 3_000;
/// Time beyond its duration after which a watcher gives a call up.
const CALL_TIMEOUT_MS: u64 = 700;
/// Longest wait before the read that follows.
const BACKOFF_MS: u64 = 150;

#[derive(Debug)]
struct Watcher {
    schedule: WatchSchedule,
    call: WatchCall,
    is_silent: bool,
    is_running: bool,
}

/// Watchers whose store answers at once, and who hear of each other's answers at once.
struct Watchers {
    list: Vec<Watcher>,
    now_ms: u64,
    calls: u64,
    /// Latest time at which a running watcher was sure to know all changes.
    fresh_ms: u64,
}

impl Watchers {
    fn new(count: usize) -> Watchers {
        let watcher = |rank| {
            let mut schedule = WatchSchedule::default();
            schedule.record_answer(0);
            let call = schedule.next_call(rank, 0);
            Watcher { schedule, call, is_silent: false, is_running: true }
        };
        Watchers { list: (0..count).map(watcher).collect(), now_ms: 0, calls: 0, fresh_ms: 0 }
    }

    fn run_until(&mut self, until_ms: u64) {
        while self.now_ms < until_ms {
            self.now_ms += 10;
            for at in 0..self.list.len() {
                self.advance(at);
            }
        }
    }

    fn advance(&mut self, at: usize) {
        let watcher = &self.list[at];
        let end_ms = watcher.call.begun_ms + watcher.call.wait_ms;
        let is_answered = !watcher.is_silent && self.now_ms >= end_ms;
        let is_timed_out = self.now_ms >= end_ms + CALL_TIMEOUT_MS + BACKOFF_MS;
        let is_renewed =
            watcher.schedule.renewal_ms(&watcher.call).is_some_and(|it| self.now_ms >= it);
        if !watcher.is_running {
            return;
        }
        if is_answered || is_timed_out {
            self.answer(at);
        }
        if is_answered || is_timed_out || is_renewed {
            self.call(at);
        }
    }

    fn answer(&mut self, at: usize) {
        for (other, it) in self.list.iter_mut().enumerate() {
            if other == at {
                it.schedule.record_answer(self.now_ms);
            } else {
                it.schedule.record_peer_answer(self.now_ms);
            }
        }
    }

    /// Begins a call, on a new connection.
    fn call(&mut self, at: usize) {
        let watcher = &mut self.list[at];
        watcher.call = watcher.schedule.next_call(at, self.now_ms);
        watcher.is_silent = false;
        self.calls += 1;
        self.fresh_ms = self.now_ms;
    }

    /// A change, which ends all calls.
    fn change(&mut self) {
        for at in 0..self.list.len() {
            if self.list[at].is_running {
                self.answer(at);
                self.call(at);
            }
        }
    }

    /// Silences all open connections; returns the time until a call on a new connection began.
    fn silence(&mut self) -> u64 {
        let at_ms = self.now_ms;
        for it in &mut self.list {
            it.is_silent = true;
        }
        while self.fresh_ms <= at_ms {
            self.run_until(self.now_ms + 10);
        }
        self.fresh_ms - at_ms
    }
}

// Guards against watch calls that begin together, so that none ends for long after all connections have gone silent.
#[test]
fn a_new_call_begins_in_time_after_all_connections_went_silent() {
    for count in [1, 2, 3, 8] {
        for offset_ms in (0..25_000).step_by(370) {
            let mut watchers = Watchers::new(count);
            watchers.run_until(30_000);
            watchers.change();
            watchers.run_until(30_000 + offset_ms);
            let after_ms = watchers.silence();
            assert!(after_ms <= FRESH_MS, "{after_ms} ms, {count} watchers, {offset_ms}");
        }
    }
}

// Guards against watchers that rely on the first one, though it is gone or gets no more answers.
#[test]
fn other_watchers_take_over_in_time() {
    for count in [2, 3, 8] {
        for offset_ms in (0..25_000).step_by(370) {
            let mut watchers = Watchers::new(count);
            watchers.run_until(10_000 + offset_ms);
            watchers.list[0].is_running = false;
            let after_ms = watchers.silence();
            assert!(after_ms <= FRESH_MS, "{after_ms} ms, {count} watchers, {offset_ms}");
        }
    }
}

// Guards against more calls to the store than the six-second calls of all eight watchers made, or of two.
#[test]
fn calls_do_not_grow_with_the_number_of_watchers() {
    for (count, limit) in [(1, 30), (2, 33), (3, 36), (8, 80)] {
        let mut watchers = Watchers::new(count);
        watchers.run_until(10_000);
        let before = watchers.calls;
        watchers.run_until(70_000);
        let calls = watchers.calls - before;
        assert!(calls <= limit, "{calls} calls a minute of {count} watchers");
    }
}

// Guards against long calls of a watcher that knows of no other one, as it has just started or is cut off.
#[test]
fn watcher_without_peers_makes_short_calls() {
    let mut it = WatchSchedule::default();
    it.record_answer(1_000);
    let alone = it.next_call(3, 1_000);
    assert_eq!(it.renewal_ms(&alone), None);
    it.record_peer_answer(2_000);
    let with_peer = it.next_call(3, 3_000);
    assert!(with_peer.wait_ms > alone.wait_ms);
    assert_eq!(it.next_call(0, 3_000).wait_ms, alone.wait_ms, "the first watcher");
    assert_eq!(it.next_call(3, 9_000).wait_ms, alone.wait_ms, "its peers have no answers");
}
