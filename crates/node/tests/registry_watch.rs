//! Guards against entries that a node keeps or drops at the wrong time. The time is simulated.

#[expect(dead_code, reason = "each test file uses a part of the fake registry")]
mod fake_registry;

use fake_registry::{FakeRegistry, Fault, POLL};
use medlarpost_core::prelude::*;
use medlarpost_node::{
    forward_metrics::ForwardMetrics, forward_task::ForwardMessage,
    registry_watcher::RegistryWatcher,
};
use slog::{Discard, Logger, o};
use tokio::{
    sync::{mpsc, watch},
    time::Instant,
};

/// Bounds of a small deployment.
const BOUNDS: RegistryBounds = RegistryBounds {
    contact: Duration::from_secs(4),
    drain: Duration::from_secs(3),
    config_apply: Duration::from_secs(3),
    evacuate: Duration::from_secs(5),
    revoke: None,
};

/// Longest time from a removal until a node acts on it while entries may have expired: the tightest bound, less a tenth
/// for requests on their way and a tenth for a read.
const MAX_REMOVAL_TIME: Duration = Duration::from_millis(2_410);

/// Longest time from the end of a disturbance until a node has acted on all removals during it.
const MAX_RECOVERY_TIME: Duration = Duration::from_millis(3_600);

/// Starts a watcher of the registry; returns the messages that it sends to the forward task.
fn start_watcher(registry: &FakeRegistry) -> mpsc::UnboundedReceiver<ForwardMessage> {
    let (forward, messages) = mpsc::unbounded_channel();
    let (_contacts, contacts) = watch::channel(Vec::new());
    let log = Logger::root(Discard, o!());
    let (_limits, limits) = watch::channel(BOUNDS.limits());
    let metrics = ForwardMetrics::register(&prometheus::Registry::new()).expect("unique names");
    let watcher = RegistryWatcher::new(registry.link(), limits, forward, contacts, metrics, log)
        .expect("the chart is valid");
    actix_rt::spawn(watcher.run());
    messages
}

/// Starts a watcher of the registry, and lets it read the entries and the grace period of a start pass.
async fn start_settled_watcher(registry: &FakeRegistry) -> mpsc::UnboundedReceiver<ForwardMessage> {
    let mut messages = start_watcher(registry);
    deregistered_within(&mut messages, Duration::from_secs(5)).await;
    messages
}

/// Instances deregistered within this time, each with the time at which it was.
async fn deregistered_within(
    messages: &mut mpsc::UnboundedReceiver<ForwardMessage>,
    time: Duration,
) -> Vec<(String, Instant)> {
    let until = Instant::now() + time;
    let mut gone = Vec::new();
    while let Ok(Some(message)) = tokio::time::timeout_at(until, messages.recv()).await {
        if let ForwardMessage::Event(ForwardEvent::UpstreamDeregistered(instance)) = message {
            gone.push((instance.to_string(), Instant::now()));
        }
    }
    gone
}

/// Guards against requests to upstreams that are gone, because many entries that went together were kept for longer
/// than the bound allows.
#[actix_rt::test]
async fn entries_that_vanish_together_are_gone_within_the_bound() {
    tokio::time::pause();
    let registry = FakeRegistry::with_instances(20);
    let mut messages = start_settled_watcher(&registry).await;
    let removed = Instant::now();
    for number in 0..8 {
        registry.remove(&format!("i-{number}"));
    }
    // A change that ends the watch just before the grace period does.
    let marker = registry.clone();
    actix_rt::spawn(async move {
        tokio::time::sleep(BOUNDS.limits().lapse_grace.saturating_sub(POLL)).await;
        marker.write("i-new", b"desk 1");
    });

    let gone = deregistered_within(&mut messages, Duration::from_secs(10)).await;

    assert_eq!(gone.len(), 8);
    let latest = gone.iter().map(|(_, at)| *at - removed).max();
    assert!(latest <= Some(MAX_REMOVAL_TIME), "{latest:?}");
}

/// Guards against entries that are kept on and on, because others vanish before their grace period is over.
#[actix_rt::test]
async fn later_removals_do_not_prolong_a_grace_period() {
    tokio::time::pause();
    let registry = FakeRegistry::with_instances(40);
    let mut messages = start_settled_watcher(&registry).await;
    let removed = Instant::now();
    for number in 0..8 {
        registry.remove(&format!("i-{number}"));
    }
    let more = registry.clone();
    actix_rt::spawn(async move {
        for number in 8..32 {
            tokio::time::sleep(Duration::from_millis(250)).await;
            for instance in [
                number,
                number + 100,
                number + 200,
                number + 300,
                number + 400,
            ] {
                more.remove(&format!("i-{instance}"));
            }
        }
    });

    let gone = deregistered_within(&mut messages, Duration::from_secs(15)).await;

    let first: Vec<_> = (0..8).map(|number| format!("i-{number}")).collect();
    let first = gone.iter().filter(|(instance, _)| first.contains(instance));
    let latest = first.map(|(_, at)| *at - removed).max();
    assert!(latest <= Some(MAX_REMOVAL_TIME), "{latest:?}");
}

/// Guards against upstreams that are dropped although their entries come back within the grace period.
#[actix_rt::test]
async fn entries_that_return_in_time_are_kept() {
    tokio::time::pause();
    let registry = FakeRegistry::with_instances(20);
    let mut messages = start_settled_watcher(&registry).await;
    for number in 0..8 {
        registry.remove(&format!("i-{number}"));
    }

    tokio::time::sleep(Duration::from_millis(500)).await;
    for number in 0..8 {
        registry.write(&format!("i-{number}"), b"desk 1");
    }

    let gone = deregistered_within(&mut messages, Duration::from_secs(10)).await;
    assert!(gone.is_empty(), "{gone:?}");
}

/// Guards against a first retry that comes later than its constant says.
#[actix_rt::test]
async fn first_retry_follows_the_failure_after_100_ms() {
    tokio::time::pause();
    let registry = FakeRegistry::with_instances(3);
    let mut messages = start_settled_watcher(&registry).await;

    registry.set_fault(Fault::Refuses);
    deregistered_within(&mut messages, Duration::from_secs(5)).await;

    let calls = registry.calls();
    let pauses: Vec<_> = calls
        .windows(2)
        .map(|pair| (pair[1] - pair[0]).as_millis())
        .filter(|pause| *pause < 600)
        .collect();
    assert!(
        matches!(pauses[..], [100..=110, 200..=210, 400..=410, ..]),
        "{pauses:?}"
    );
}

/// Time from the removal of `i-0` until a watcher acts on it, if the removal is `delay` after `began`.
async fn removal_time(
    registry: &FakeRegistry,
    messages: &mut mpsc::UnboundedReceiver<ForwardMessage>,
    began: Instant,
    delay: Duration,
) -> Duration {
    deregistered_until(messages, began + delay).await;
    registry.remove("i-0");
    let removed = Instant::now();
    let gone = deregistered_within(messages, Duration::from_secs(30)).await;
    gone.first().map_or(Duration::MAX, |(_, at)| *at - removed)
}

async fn deregistered_until(
    messages: &mut mpsc::UnboundedReceiver<ForwardMessage>,
    until: Instant,
) {
    let time = until.saturating_duration_since(Instant::now());
    deregistered_within(messages, time).await;
}

/// Guards against an upstream that is gone and used for as long as watches are cut: a cut is no outage.
#[actix_rt::test]
async fn cut_watches_do_not_keep_an_entry_that_is_gone() {
    tokio::time::pause();
    for cut_ms in [5, 200, 1_000, 1_900] {
        let registry = FakeRegistry::with_instances(3);
        let mut messages = start_settled_watcher(&registry).await;
        registry.set_fault(Fault::CutsWatchesAfter(Duration::from_millis(cut_ms)));
        let cuts_since = Instant::now();

        let time = removal_time(&registry, &mut messages, cuts_since, Duration::from_secs(7)).await;

        assert!(
            time <= Duration::from_secs(1),
            "cut after {cut_ms} ms: {time:?}"
        );
    }
}

/// Guards against more calls to the registry than one for each interval, because its watches are cut at once.
#[actix_rt::test]
async fn cut_watches_cost_few_calls() {
    tokio::time::pause();
    let registry = FakeRegistry::with_instances(3);
    let mut messages = start_settled_watcher(&registry).await;
    registry.set_fault(Fault::CutsWatchesAfter(Duration::from_millis(5)));
    let before = registry.calls().len();

    deregistered_within(&mut messages, Duration::from_mins(1)).await;

    // A cut watch and a short one for each two intervals.
    assert!(registry.calls().len() - before <= 102);
}

/// Guards against a rise of the calls that an undisturbed deployment is charged for: one each 2.6 s.
#[actix_rt::test]
async fn undisturbed_watches_cost_no_more_than_before() {
    tokio::time::pause();
    let registry = FakeRegistry::with_instances(3);
    let mut messages = start_settled_watcher(&registry).await;
    let before = registry.calls().len();

    deregistered_within(&mut messages, Duration::from_secs(260)).await;

    let calls = registry.calls().len() - before;
    assert!(calls <= 101, "{calls}");
}

/// Guards against a silent connection, or a reply that was lost on it, that costs more than the bound.
#[actix_rt::test]
async fn removal_behind_a_silent_connection_is_noticed_in_time() {
    tokio::time::pause();
    for delay_ms in [0, 300, 800, 1_900, 2_500] {
        let registry = FakeRegistry::with_instances(3);
        let mut messages = start_settled_watcher(&registry).await;
        let silent_at = Instant::now();
        registry.set_fault(Fault::SilentBefore(silent_at + Duration::from_millis(1)));
        let delay = Duration::from_millis(delay_ms);

        let time = removal_time(&registry, &mut messages, silent_at, delay).await;

        let allowed = MAX_RECOVERY_TIME.max(delay + BOUNDS.limits().interval);
        assert!(delay + time <= allowed, "{delay_ms} ms: {time:?}");
    }
}

/// Guards against a node that is back in touch, and uses upstreams that went while it was cut off for longer than the
/// bounds allow. Cuts of many lengths end at different points of a call or a delay.
#[actix_rt::test]
async fn removals_during_a_cut_are_acted_on_after_it() {
    tokio::time::pause();
    for cut_ms in (200..8_000).step_by(230) {
        let registry = FakeRegistry::with_instances(3);
        let mut messages = start_settled_watcher(&registry).await;
        registry.set_fault(Fault::Silent);
        let cut = Duration::from_millis(cut_ms);
        deregistered_within(&mut messages, cut).await;
        registry.remove("i-0");
        registry.set_fault(Fault::SilentBefore(Instant::now()));

        let ended = Instant::now();
        let gone = deregistered_within(&mut messages, Duration::from_secs(10)).await;

        let latest = gone.first().map(|(_, at)| *at - ended);
        assert!(
            latest.is_some_and(|time| time <= MAX_RECOVERY_TIME),
            "{cut_ms} ms: {latest:?}"
        );
    }
}

/// Guards against upstreams that are dropped although their leases only expired during an outage of the registry, and
/// against a grace period that begins anew with the next outage.
#[actix_rt::test]
async fn entries_that_expire_in_an_outage_are_kept_once() {
    tokio::time::pause();
    for fault in [Fault::Refuses, Fault::Silent] {
        let registry = FakeRegistry::with_instances(40);
        let mut messages = start_settled_watcher(&registry).await;
        registry.set_fault(fault);
        deregistered_within(&mut messages, Duration::from_secs(6)).await;
        registry.remove("i-0");
        registry.remove("i-1");
        registry.set_fault(Fault::None);

        let early = deregistered_within(&mut messages, Duration::from_secs(2)).await;
        registry.write("i-1", b"desk 1");
        registry.set_fault(fault);
        deregistered_within(&mut messages, Duration::from_secs(4)).await;
        registry.set_fault(Fault::None);
        let ended = Instant::now();
        let late = deregistered_within(&mut messages, Duration::from_secs(10)).await;

        assert!(early.is_empty(), "{fault:?}: {early:?}");
        let [(instance, at)] = &*late else {
            panic!("{fault:?}: {late:?}");
        };
        assert_eq!(instance, "i-0");
        // The grace period is over, so that the first read of the registry ends it.
        assert!(*at - ended <= Duration::from_millis(1_500), "{fault:?}");
    }
}
