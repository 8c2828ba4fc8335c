//! Guards against a configuration that is confirmed although it may be outdated, or that a sound registry does not
//! confirm in time. The time is simulated.

#[expect(dead_code, reason = "each test file uses a part of the fake registry")]
mod fake_registry;

use fake_registry::{CONFIGURATION, FakeRegistry, UNREADABLE};
use medlarpost_core::prelude::*;
use medlarpost_node::{
    boot_clock::BootClock, forward_metrics::ForwardMetrics, forward_task::ForwardMessage,
    registry_watcher::RegistryWatcher,
};
use slog::{Discard, Logger, o};
use tokio::{
    sync::{mpsc, watch},
    time::Instant,
};

/// Bounds of a deployment whose keys must be revoked everywhere in time.
const BOUNDS: RegistryBounds = RegistryBounds {
    contact: Duration::from_secs(5),
    drain: Duration::from_secs(5),
    config_apply: Duration::from_secs(5),
    evacuate: Duration::from_secs(5),
    revoke: Some(Duration::from_secs(5)),
};

/// Time of a request and of a reply on their way.
const TRANSIT: Duration = Duration::from_millis(20);

/// A confirmation that the watcher sent.
#[derive(Clone, Copy, Debug)]
struct Confirmation {
    version: u64,
    at: BootTime,
    received_at: BootTime,
}

/// A watcher of a fake registry, and the messages that it sends to the forward task.
struct Watched {
    registry: FakeRegistry,
    messages: mpsc::UnboundedReceiver<ForwardMessage>,
    origin: Instant,
    task: actix_rt::task::JoinHandle<()>,
}

/// Starts a watcher of the registry. The time must be simulated already.
fn start_watcher(registry: FakeRegistry, bounds: RegistryBounds) -> Watched {
    registry.set_transit(TRANSIT);
    let origin = Instant::now();
    let (forward, messages) = mpsc::unbounded_channel();
    let (_contacts, contacts) = watch::channel(Vec::new());
    let (_limits, limits) = watch::channel(bounds.limits());
    let metrics = ForwardMetrics::register(&prometheus::Registry::new()).expect("unique names");
    let log = Logger::root(Discard, o!());
    let watcher = RegistryWatcher::new(registry.link(), limits, forward, contacts, metrics, log)
        .expect("the chart is valid")
        .with_boot_clock(BootClock::Runtime(origin));
    Watched {
        registry,
        messages,
        origin,
        task: actix_rt::spawn(watcher.run()),
    }
}

impl Watched {
    /// Confirmations within this time from now.
    async fn confirmations_within(&mut self, time: Duration) -> Vec<Confirmation> {
        let until = Instant::now() + time;
        let mut confirmations = Vec::new();
        while let Ok(Some(message)) = tokio::time::timeout_at(until, self.messages.recv()).await {
            if let ForwardMessage::Event(ForwardEvent::ConfigurationConfirmed { version, at }) =
                message
            {
                confirmations.push(Confirmation {
                    version,
                    at,
                    received_at: BootTime::new(self.origin.elapsed()),
                });
            }
        }
        confirmations
    }
}

/// Writes an item that is no configuration after each of these pauses.
fn write_after_pauses(registry: &FakeRegistry, pauses: Vec<Duration>) {
    let registry = registry.clone();
    actix_rt::spawn(async move {
        for pause in pauses {
            tokio::time::sleep(pause).await;
            registry.write("entry", b"desk 1");
        }
    });
}

/// Shortest rest of the lease at the moment at which a confirmation extends it.
fn shortest_rest(confirmations: &[Confirmation]) -> Option<Duration> {
    let mut lease = KeyLease::new(BOUNDS.revoke);
    let mut rests = Vec::new();
    for confirmation in confirmations {
        rests.extend(lease.time_left(confirmation.received_at));
        lease.confirm(confirmation.at);
    }
    rests.into_iter().skip(1).min()
}

/// Guards against keyed requests that are refused although the registry works. A change at the end of one watch confirms
/// little, and the next watch may then wait its full time.
#[actix_rt::test]
async fn a_sound_registry_confirms_in_time_whenever_changes_come() {
    tokio::time::pause();
    for seed in 0..40 {
        let mut random = fastrand::Rng::with_seed(seed);
        let longest_ms = [300, 3_000, 6_000][seed as usize % 3];
        let pauses = (0..200).map(|_| Duration::from_millis(random.u64(0..longest_ms)));
        let registry = FakeRegistry::with_version(1);
        write_after_pauses(&registry, pauses.collect());
        let mut watched = start_watcher(registry, BOUNDS);

        let confirmations = watched.confirmations_within(Duration::from_mins(2)).await;
        watched.task.abort();

        let rest = shortest_rest(&confirmations);
        assert!(rest > Some(Duration::ZERO), "seed {seed}: {rest:?}");
    }
}

/// Guards against further calls to a registry without changes, each of which is charged for.
#[actix_rt::test]
async fn the_bound_adds_no_watches_of_a_registry_without_changes() {
    tokio::time::pause();
    let registry = FakeRegistry::with_version(1);
    let mut watched = start_watcher(registry, BOUNDS);

    let confirmations = watched.confirmations_within(Duration::from_mins(1)).await;

    assert!(shortest_rest(&confirmations) > Some(Duration::from_secs(1)));
    let waits = watched.registry.waits();
    assert!(waits.iter().all(|wait| *wait == BOUNDS.limits().max_wait));
}

/// Guards against other waits on deployments that don't ask for the bound.
#[actix_rt::test]
async fn without_the_bound_the_waits_are_unchanged() {
    tokio::time::pause();
    let registry = FakeRegistry::with_version(1);
    let pauses = vec![Duration::from_millis(2_900); 20];
    write_after_pauses(&registry, pauses);
    let bounds = RegistryBounds {
        revoke: None,
        ..BOUNDS
    };
    let mut watched = start_watcher(registry, bounds);

    watched.confirmations_within(Duration::from_mins(1)).await;

    let waits = watched.registry.waits();
    assert!(waits.iter().all(|wait| *wait == BOUNDS.limits().max_wait));
}

/// Guards against revoked keys of the last readable configuration, which a read would confirm although the registry holds
/// another one.
#[actix_rt::test]
async fn an_unreadable_configuration_is_not_confirmed() {
    tokio::time::pause();
    let mut watched = start_watcher(FakeRegistry::with_version(1), BOUNDS);
    let before = watched.confirmations_within(Duration::from_secs(5)).await;

    watched.registry.write(CONFIGURATION, UNREADABLE);
    let unreadable = watched.confirmations_within(Duration::from_mins(1)).await;
    watched.registry.write(CONFIGURATION, b"2");
    let after = watched.confirmations_within(Duration::from_secs(5)).await;

    assert!(before.iter().all(|confirmation| confirmation.version == 1) && !before.is_empty());
    assert!(unreadable.is_empty(), "{unreadable:?}");
    assert!(after.iter().all(|confirmation| confirmation.version == 2) && !after.is_empty());
}

/// Guards against confirmations of a configuration that the registry no longer holds.
#[actix_rt::test]
async fn a_removed_configuration_is_not_confirmed() {
    tokio::time::pause();
    let mut watched = start_watcher(FakeRegistry::with_version(1), BOUNDS);
    watched.confirmations_within(Duration::from_secs(5)).await;

    watched.registry.remove(CONFIGURATION);
    let removed = watched.confirmations_within(Duration::from_mins(1)).await;

    assert!(removed.is_empty(), "{removed:?}");
}
