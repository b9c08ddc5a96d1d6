//! The cases.

use std::{
    collections::BTreeMap,
    net::SocketAddrV4,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    consumer::{Consumer, Outcome, Reset, Router, probe},
    machines::{Process, Role, SERVICE, Site},
    record::Record,
    store::{Loss, Store},
    target::{Boot, Target},
};

/// Bound `stable-window-ms` of the deployment.
const STABLE_WINDOW_S: f64 = 4.0;
const HOSTS: u16 = 40;

/// Runs a case; returns whether the rule held.
pub fn run(case: &str, folder: &str, trouble: bool) -> Result<bool, String> {
    let record = Record::create(folder)?;
    record.say(format!("case {case}, disruption: {trouble}"));
    let held = match case {
        "late-withdrawal" => late_withdrawal(&record, trouble),
        "replaced-fronts" => replaced_fronts(&record, trouble),
        "silent-watch" => silent_watch(&record, trouble),
        "stale-heartbeat" => stale_heartbeat(&record, trouble),
        _ => Err(format!("no case {case}")),
    };
    record.say(match &held {
        Ok(true) => "the rule held".to_owned(),
        Ok(false) => "the rule was broken".to_owned(),
        Err(e) => format!("the case could not run: {e}"),
    });
    held
}

fn seconds(time: f64) {
    sleep(Duration::from_secs_f64(time));
}

fn wait_for(what: &str, limit: f64, mut done: impl FnMut() -> bool) -> Result<(), String> {
    let until = Instant::now() + Duration::from_secs_f64(limit);
    while Instant::now() < until {
        if done() {
            return Ok(());
        }
        seconds(0.02);
    }
    Err(format!("{what} did not come within {limit} s"))
}

fn route() -> SocketAddrV4 {
    "198.18.0.1:8443".parse().expect("an address")
}

/// The route that a later configuration adds.
fn added_route() -> SocketAddrV4 {
    "198.18.0.2:8080".parse().expect("an address")
}

fn config() -> String {
    config_of(7, "")
}

/// The configuration with further routes.
fn config_of(version: u64, further: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-feed\",\"host\":\"198.18.0.1\",\
         \"path-prefix\":\"/8443/\",\"route-type\":\"idempotent\",\"timeout-ms\":1500,\
         \"slo-latency-ms\":120,\"priority\":2,\"service\":\"{SERVICE}\",\"max-attempts\":2}}{further}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"health-path\":\"/health\",\"conn-limit\":2000,\
         \"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max-header-bytes\":16384,\
         \"max-body-bytes\":262144,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}}}"
    )
}

/// Resets on open flows while the target lives and holds the flow.
fn resets_while_held(consumers: &[Consumer], targets: &BTreeMap<String, Target>) -> Vec<Reset> {
    let all = consumers.iter().flat_map(|it| it.resets.lock().unwrap().clone());
    all.filter(|it| targets.get(&it.target).is_some_and(|to| to.holds(it.consumer, route())))
        .collect()
}

fn summary(record: &Record, consumers: &[Consumer]) {
    for (number, it) in consumers.iter().enumerate() {
        let answered = it.answered.lock().unwrap().clone();
        let (refused, late) = *it.failed.lock().unwrap();
        record.say(format!(
            "consumer {number}: answers by target {answered:?}, attempts without a flow {refused}, \
             requests without an answer {late}"
        ));
    }
}

/// A new target's daemon withdraws the entry of an earlier run that does not exist; the store answers nothing and does
/// it seconds later. Then the front daemons are stopped and started in turn, as planned.
fn late_withdrawal(record: &Record, trouble: bool) -> Result<bool, String> {
    const BALANCERS: [u16; 3] = [11, 12, 13];
    const AGENTS: [u16; 3] = [21, 22, 23];
    const NEW: u16 = 24;
    /// Delay of the lost write, within 1 to 6 s.
    const DELAY_S: u64 = 4;
    let site = Site::new(HOSTS)?;
    let store = Store::start(site.store(), record.clone())?;
    store.put("config", "main", &config());
    let mut balancers = Vec::new();
    for host in BALANCERS {
        balancers.push(Process::start(&site, Role::Balancer, host, &BALANCERS, true, record)?);
    }
    let mut agents = Vec::new();
    for host in AGENTS {
        agents.push(Process::start(&site, Role::Agent, host, &BALANCERS, true, record)?);
    }
    let link = Arc::new(AtomicBool::new(true));
    let boot = |host: u16| Boot {
        id: format!("i-{host}"),
        host,
        first_beat_delay: Duration::ZERO,
        link: link.clone(),
    };
    let mut targets = BTreeMap::new();
    for host in AGENTS {
        let target = Target::start(&site, boot(host), record)?;
        targets.insert(target.id.clone(), target);
    }
    let router = Router::start(&site, &BALANCERS, record);
    wait_for("readiness of all front daemons", 15.0, || router.ready() == BALANCERS.len())?;
    let mut consumers = Vec::new();
    for host in [31, 32] {
        consumers.push(Consumer::start(&site, host, route(), router.clone(), record)?);
    }
    consumers.iter().for_each(|it| it.keep(30));
    seconds(3.0);

    // Planned: a target is added, with its machine.
    let name = format!("side-austin-yard-{NEW}");
    if trouble {
        let delay = Duration::from_secs(DELAY_S);
        store.lose(Loss { method: "DELETE", name: name.clone(), delay });
    }
    agents.push(Process::start(&site, Role::Agent, NEW, &BALANCERS, false, record)?);
    seconds(0.8);
    let target = Target::start(&site, boot(NEW), record)?;
    let new = target.id.clone();
    targets.insert(new.clone(), target);
    seconds(1.5);
    consumers.iter().for_each(|it| it.keep(60));
    wait_for("flows at the new target", 8.0, || {
        consumers.iter().map(|it| it.open_at(&new)).sum::<usize>() >= 8
    })?;
    if trouble && !store.has_lost() {
        return Err("the daemon made no write whose answer could be lost".to_owned());
    }
    seconds(DELAY_S as f64 + STABLE_WINDOW_S + 1.0);
    let calm = record.now();
    let members = store.names("camphorwinch-members");
    record.say(format!("members in the store: {}", members.join(" ")));
    record.say(format!("the store lists the new daemon: {}", members.contains(&name)));
    let open: usize = consumers.iter().map(|it| it.open_at(&new)).sum();
    record.say(format!("open flows at {new}: {open}"));

    // Planned: the front daemons are stopped and started in turn.
    let mut disturbed: BTreeMap<SocketAddrV4, Vec<(f64, f64)>> = BTreeMap::new();
    for balancer in &balancers {
        let from = record.now();
        balancer.stop();
        seconds(0.5);
        balancer.spawn()?;
        let to = record.now();
        disturbed.entry(site.data(balancer.host)).or_default().push((from, to));
        seconds(8.0);
    }
    consumers.iter().for_each(Consumer::end);
    seconds(0.2);

    let resets = resets_while_held(&consumers, &targets);
    let in_touch = |it: &&Reset| {
        let spans = disturbed.get(&it.sender).map_or(&[][..], |it| it);
        it.at > calm && spans.iter().all(|&(from, to)| it.at < from || it.at > to + STABLE_WINDOW_S)
    };
    let judged: Vec<_> = resets.iter().filter(in_touch).collect();
    for it in &judged {
        record.line(format!("FLOW: {it:?}"));
    }
    let by_target = |id: &str| judged.iter().filter(|it| it.target == id).count();
    summary(record, &consumers);
    record.say(format!(
        "open flows reset while their target lives and holds them: {}; of these by a daemon that ran undisturbed for \
         {STABLE_WINDOW_S} s: {} ({} at {new})",
        resets.len(),
        judged.len(),
        by_target(&new)
    ));
    agents[AGENTS.len()].quote_log(&[
        "opaque-upstream-looked-for",
        "opaque-store-lost",
        "opaque-announced",
    ]);
    balancers.iter().for_each(|it| it.quote_log(&["opaque-members-listed"]));
    let all_run = balancers.iter().chain(&agents).all(Process::is_running);
    targets.values().for_each(Target::end);
    if !all_run {
        return Err("a process ended by itself".to_owned());
    }
    Ok(judged.is_empty())
}

/// A target's first heartbeat is held up by a cut; the target crashes behind the cut and starts again with a new id. The
/// heartbeat arrives when the new boot has been registered for seconds.
fn stale_heartbeat(record: &Record, trouble: bool) -> Result<bool, String> {
    const BALANCERS: [u16; 3] = [11, 12, 13];
    const AGENTS: [u16; 3] = [21, 22, 23];
    const CUT_S: f64 = 7.5;
    /// Sixth retransmission of TCP, 0.2 s doubled each time: 0.2, 0.6, 1.4, 3.0, 6.2 and 12.6 s after the first.
    const ARRIVAL_S: f64 = 12.6;
    let site = Site::new(HOSTS)?;
    let store = Store::start(site.store(), record.clone())?;
    store.put("config", "main", &config());
    let mut processes = Vec::new();
    for host in BALANCERS {
        processes.push(Process::start(&site, Role::Balancer, host, &BALANCERS, true, record)?);
    }
    for host in AGENTS {
        processes.push(Process::start(&site, Role::Agent, host, &BALANCERS, true, record)?);
    }
    let up = Arc::new(AtomicBool::new(true));
    let mut targets = BTreeMap::new();
    for host in [21, 22] {
        let (id, first_beat_delay, link) = (format!("i-{host}"), Duration::ZERO, up.clone());
        let target = Target::start(&site, Boot { id, host, first_beat_delay, link }, record)?;
        targets.insert(target.id.clone(), target);
    }
    let router = Router::start(&site, &BALANCERS, record);
    wait_for("readiness of all front daemons", 15.0, || router.ready() == BALANCERS.len())?;
    seconds(1.0);

    let link = Arc::new(AtomicBool::new(!trouble));
    let start = Instant::now();
    let delay = if trouble { Duration::from_secs_f64(ARRIVAL_S) } else { Duration::ZERO };
    let at = |time: f64| sleep(Duration::from_secs_f64(time).saturating_sub(start.elapsed()));
    if trouble {
        record.say("the links of the target on machine 23 are cut");
    }
    let id = "i-23-first".to_owned();
    let first = Target::start(
        &site,
        Boot { id, host: 23, first_beat_delay: delay, link: link.clone() },
        record,
    )?;
    at(1.5);
    first.crash();
    at(2.0);
    let (id, first_beat_delay) = ("i-23-second".to_owned(), Duration::ZERO);
    let second =
        Target::start(&site, Boot { id, host: 23, first_beat_delay, link: link.clone() }, record)?;
    let new = second.id.clone();
    targets.insert(new.clone(), second);
    at(CUT_S);
    link.store(true, Ordering::Relaxed);
    if trouble {
        record.say("the cut ends");
    }
    let calm = record.now() + STABLE_WINDOW_S;
    seconds(1.5);
    let mut consumers = Vec::new();
    for host in [31, 32] {
        let consumer = Consumer::start(&site, host, route(), router.clone(), record)?;
        consumer.keep(40);
        consumers.push(consumer);
    }
    at(ARRIVAL_S - 0.3);
    let open: usize = consumers.iter().map(|it| it.open_at(&new)).sum();
    record.say(format!("open flows at {new}: {open}"));
    if open == 0 {
        return Err("no flow is open at the new boot".to_owned());
    }
    at(ARRIVAL_S + 6.0);
    let open: usize = consumers.iter().map(|it| it.open_at(&new)).sum();
    record.say(format!("open flows at {new}: {open}"));
    targets[&new].drain();
    seconds(2.0);
    consumers.iter().for_each(Consumer::end);
    seconds(0.2);

    let resets = resets_while_held(&consumers, &targets);
    let judged: Vec<_> = resets.iter().filter(|it| it.at > calm).collect();
    for it in &judged {
        record.line(format!("FLOW: {it:?}"));
    }
    summary(record, &consumers);
    record.say(format!(
        "open flows reset while their target lives and holds them: {}; of these {STABLE_WINDOW_S} s after the cut or \
         later: {}",
        resets.len(),
        judged.len()
    ));
    processes[5].quote_log(&["opaque-upstream", "opaque-heartbeat"]);
    let all_run = processes.iter().all(Process::is_running);
    targets.values().for_each(Target::end);
    if !all_run {
        return Err("a process ended by itself".to_owned());
    }
    Ok(judged.is_empty())
}

/// All open channels to the store go silent right after a change of the configuration, when all front daemons have just
/// begun to wait for the next one. The operator adds a route.
fn silent_watch(record: &Record, trouble: bool) -> Result<bool, String> {
    const BALANCERS: [u16; 4] = [11, 12, 13, 14];
    const AGENTS: [u16; 3] = [21, 22, 23];
    const SEEDS: [u16; 3] = [11, 12, 13];
    /// Bound `config-apply-ms` of the deployment.
    const CONFIG_APPLY_S: f64 = 3.0;
    let site = Site::new(HOSTS)?;
    let store = Store::start(site.store(), record.clone())?;
    store.put("config", "main", &config());
    let mut processes = Vec::new();
    for host in BALANCERS {
        processes.push(Process::start(&site, Role::Balancer, host, &SEEDS, true, record)?);
    }
    for host in AGENTS {
        processes.push(Process::start(&site, Role::Agent, host, &SEEDS, true, record)?);
    }
    let link = Arc::new(AtomicBool::new(true));
    let mut targets = Vec::new();
    for host in AGENTS {
        let (id, first_beat_delay, link) = (format!("i-{host}"), Duration::ZERO, link.clone());
        targets.push(Target::start(&site, Boot { id, host, first_beat_delay, link }, record)?);
    }
    let router = Router::start(&site, &BALANCERS, record);
    wait_for("readiness of all front daemons", 15.0, || router.ready() == BALANCERS.len())?;
    seconds(6.0);

    store.put("config", "main", &config_of(12, ""));
    record.say("operator: version 12 is acknowledged: another time-out, the same routes");
    seconds(0.4);
    record.say(format!(
        "calls that wait for a change of the configuration: {}",
        store.watches("config")
    ));
    let silent = record.now();
    if trouble {
        store.silence_open_channels();
    }
    seconds(0.1);
    let further = format!(
        ",{{\"name\":\"r-added\",\"host\":\"198.18.0.2\",\"path-prefix\":\"/8080/\",\
         \"route-type\":\"idempotent\",\"timeout-ms\":1500,\"slo-latency-ms\":120,\"priority\":2,\
         \"service\":\"{SERVICE}\",\"max-attempts\":2}}"
    );
    store.put("config", "main", &config_of(19, &further));
    let acked = record.now();
    record
        .say(format!("operator: version 19 is acknowledged: it adds the route {}", added_route()));
    let due = (acked + CONFIG_APPLY_S).max(silent + STABLE_WINDOW_S);
    record.line(format!("requests sent after {due:.3} are judged"));
    let attempts = probe(&site, 31, added_route(), &router, record, acked + 12.0)?;

    let refused = |from: f64| {
        let of = attempts.iter().filter(|it| it.sent > from && it.outcome == Some(Outcome::Reset));
        of.count()
    };
    let opened = attempts.iter().filter(|it| it.outcome == Some(Outcome::Opened));
    let first_opened = opened.clone().map(|it| it.sent - acked).fold(f64::INFINITY, f64::min);
    let judged: Vec<_> =
        attempts.iter().filter(|it| it.sent > due && it.outcome == Some(Outcome::Reset)).collect();
    for it in &judged {
        record.line(format!("CONFIG: {it:?}"));
    }
    let last = judged.iter().map(|it| it.sent - acked).fold(0.0, f64::max);
    record.say(format!(
        "flows to the added route: {} tried, {} opened, the first {first_opened:.2} s after the ack; {} reset for lack \
         of a route, of these {} sent later than {CONFIG_APPLY_S} s after the ack through machines in touch, the last \
         {last:.2} s after the ack",
        attempts.len(),
        opened.count(),
        refused(0.0),
        judged.len()
    ));
    processes
        .iter()
        .take(4)
        .for_each(|it| it.quote_log(&["opaque-config-in-force", "opaque-store"]));
    let all_run = processes.iter().all(Process::is_running);
    targets.iter().for_each(Target::end);
    if !all_run {
        return Err("a process ended by itself".to_owned());
    }
    Ok(judged.is_empty())
}

/// Front machines are added and removed for good, again and again, as in the life of a fleet. Then the operator adds
/// routes, one in each change.
fn replaced_fronts(record: &Record, trouble: bool) -> Result<bool, String> {
    const BALANCERS: [u16; 3] = [11, 12, 13];
    const AGENTS: [u16; 3] = [21, 22, 23];
    /// Machines that are added, and removed together, in each wave.
    const WAVE: u16 = 40;
    /// Waves before the first look at who follows the configuration, and most waves.
    const FIRST_WAVES: u16 = 4;
    const MAX_WAVES: u16 = 16;
    const CHANGES: u64 = 6;
    /// Bound `config-apply-ms` of the deployment.
    const CONFIG_APPLY_S: f64 = 3.0;
    let site = Site::new(41 + WAVE * MAX_WAVES)?;
    let store = Store::start(site.store(), record.clone())?;
    store.put("config", "main", &config());
    let mut processes = Vec::new();
    for host in BALANCERS {
        processes.push(Process::start(&site, Role::Balancer, host, &BALANCERS, true, record)?);
    }
    for host in AGENTS {
        processes.push(Process::start(&site, Role::Agent, host, &BALANCERS, true, record)?);
    }
    let link = Arc::new(AtomicBool::new(true));
    let mut targets = Vec::new();
    for host in AGENTS {
        let (id, first_beat_delay, link) = (format!("i-{host}"), Duration::ZERO, link.clone());
        targets.push(Target::start(&site, Boot { id, host, first_beat_delay, link }, record)?);
    }
    let router = Router::start(&site, &BALANCERS, record);
    wait_for("readiness of all front daemons", 15.0, || router.ready() == BALANCERS.len())?;
    for wave in 0..if trouble { MAX_WAVES } else { 0 } {
        if wave >= FIRST_WAVES && wave % 4 == 0 {
            // As long as a daemon waits at the store for changes, more machines are replaced.
            seconds(9.0);
            if store.watches("config") == 0 {
                break;
            }
        }
        let first = 41 + wave * WAVE;
        record.say(format!("front machines {first} to {} are added", first + WAVE - 1));
        let mut added = Vec::new();
        for host in first..first + WAVE {
            added.push(Process::start(&site, Role::Balancer, host, &BALANCERS, false, record)?);
        }
        let listed = usize::from((wave + 1) * WAVE) + BALANCERS.len() + AGENTS.len();
        wait_for("entries of the added machines", 15.0, || {
            store.names("camphorwinch-members").len() >= listed
        })?;
        seconds(0.5);
        record.say("they are removed for good, without SIGTERM");
        drop(added);
    }
    // With the pause before, longer than the time after which the entry of a daemon that is gone is withdrawn.
    seconds(if trouble { 4.0 } else { 6.0 });
    let names = store.names("camphorwinch-members");
    let fronts = names.iter().filter(|it| it.starts_with("front")).count();
    record.say(format!(
        "entries of front daemons in the store: {fronts}; running: {}",
        BALANCERS.len()
    ));
    record.say(format!(
        "calls that wait for a change of the configuration: {}",
        store.watches("config")
    ));

    let mut late = 0;
    let mut further = String::new();
    for change in 1..=CHANGES {
        let added: SocketAddrV4 = format!("198.18.1.{change}:8080").parse().expect("an address");
        further += &format!(
            ",{{\"name\":\"r-{change}\",\"host\":\"{}\",\"path-prefix\":\"/8080/\",\
             \"route-type\":\"idempotent\",\"timeout-ms\":1500,\"slo-latency-ms\":120,\"priority\":2,\
             \"service\":\"{SERVICE}\",\"max-attempts\":2}}",
            added.ip()
        );
        store.put("config", "main", &config_of(7 + change * 5, &further));
        let acked = record.now();
        record.say(format!(
            "operator: version {} is acknowledged: it adds the route {added}",
            7 + change * 5
        ));
        seconds(CONFIG_APPLY_S - 0.2);
        let attempts = probe(&site, 31, added, &router, record, acked + 4.0)?;
        let due = acked + CONFIG_APPLY_S;
        let judged = attempts.iter().filter(|it| it.sent > due);
        let reset = judged.clone().filter(|it| it.outcome == Some(Outcome::Reset)).count();
        record.say(format!(
            "flows to {added} later than {CONFIG_APPLY_S} s after the ack: {} tried, {reset} reset for lack of a route",
            judged.count()
        ));
        late += usize::from(reset > 0);
    }
    record.say(format!("changes that were not in force in time: {late} of {CHANGES}"));
    processes
        .iter()
        .take(3)
        .for_each(|it| it.quote_log(&["opaque-config-in-force", "opaque-member-withdrawn"]));
    let all_run = processes.iter().all(Process::is_running);
    targets.iter().for_each(Target::end);
    if !all_run {
        return Err("a process ended by itself".to_owned());
    }
    Ok(late == 0)
}
