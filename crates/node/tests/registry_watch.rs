//! Guards against entries that a node keeps or drops at the wrong time. The time is simulated.

use medlarpost_core::prelude::*;
use medlarpost_node::{
    forward_task::ForwardMessage,
    registry::{Change, Changes, Registry, RegistryDocument, RegistryError, Removal},
    registry_watcher::{RegistryWatcher, WatchSettings},
};
use slog::{Discard, Logger, o};
use std::{cell::RefCell, collections::BTreeSet, rc::Rc};
use tokio::{
    sync::{mpsc, watch},
    time::Instant,
};

/// Settings for a bound of 3 s.
const SETTINGS: WatchSettings = WatchSettings {
    max_wait: Duration::from_secs(2),
    interval: Duration::from_millis(600),
    recovery_grace: Duration::from_millis(2_300),
    lapse_grace: Duration::from_millis(1_500),
    revoke_within: None,
};

/// Longest time from a removal until a node acts on it: the interval, the grace period and some milliseconds.
const MAX_REMOVAL_TIME: Duration = Duration::from_millis(2_200);

/// Interval at which a watch of the fake registry looks for changes.
const POLL: Duration = Duration::from_millis(5);

#[derive(Debug, Default)]
struct Contents {
    revision: u64,
    instances: BTreeSet<String>,
    history: Vec<(u64, Change)>,
    fails: bool,
    /// Times of all calls.
    calls: Vec<Instant>,
}

/// A registry in memory whose entries are instances of one service. Clones share the entries.
#[derive(Clone, Debug, Default)]
struct FakeRegistry(Rc<RefCell<Contents>>);

impl FakeRegistry {
    fn with_instances(count: usize) -> Self {
        let registry = Self::default();
        for number in 0..count {
            registry.add(&format!("i-{number}"));
        }
        registry
    }

    fn add(&self, instance: &str) {
        let item = PublishedItem {
            key: instance.into(),
            value: bytes::Bytes::new(),
        };
        self.0.borrow_mut().instances.insert(instance.to_owned());
        self.record(Change::Written(item));
    }

    fn remove(&self, instance: &str) {
        self.0.borrow_mut().instances.remove(instance);
        self.record(Change::Removed(instance.into()));
    }

    fn record(&self, change: Change) {
        let mut contents = self.0.borrow_mut();
        contents.revision += 1;
        let revision = contents.revision;
        contents.history.push((revision, change));
    }

    fn set_failing(&self, fails: bool) {
        self.0.borrow_mut().fails = fails;
    }

    fn count_call(&self) -> Result<(), RegistryError> {
        let mut contents = self.0.borrow_mut();
        contents.calls.push(Instant::now());
        if !contents.fails {
            return Ok(());
        }
        let reason = "made to fail".to_owned();
        Err(RegistryError::Unavailable { reason })
    }

    fn changes_after(&self, after: u64) -> Changes {
        let contents = self.0.borrow();
        let later = contents.history.iter().filter(|(at, _)| *at > after);
        Changes {
            revision: contents.revision,
            changes: later.map(|(_, change)| change.clone()).collect(),
        }
    }
}

impl Registry for FakeRegistry {
    async fn list(&self) -> Result<Snapshot, RegistryError> {
        self.count_call()?;
        let contents = self.0.borrow();
        let items = contents.instances.iter().map(|instance| PublishedItem {
            key: instance.as_str().into(),
            value: bytes::Bytes::new(),
        });
        Ok(Snapshot {
            revision: contents.revision,
            current: true,
            items: items.collect(),
        })
    }

    async fn watch(&self, after: u64, wait: Duration) -> Result<Changes, RegistryError> {
        self.count_call()?;
        let until = Instant::now() + wait;
        loop {
            let changes = self.changes_after(after);
            if !changes.changes.is_empty() || Instant::now() >= until {
                return Ok(changes);
            }
            tokio::time::sleep(POLL).await;
        }
    }

    fn parse_item(&self, item: &PublishedItem) -> Option<RegistryDocument> {
        Some(RegistryDocument::Upstream(RegisteredUpstream {
            instance: Arc::clone(&item.key),
            service: "desk".into(),
            address: "127.0.0.1:9".parse().expect("an address"),
            zone: "z-a".into(),
            slots: 3,
            leaving: false,
            cold_for: Duration::ZERO,
            started_at_ms: 1,
        }))
    }

    fn parse_removal(&self, key: &str) -> Option<Removal> {
        Some(Removal::UpstreamRemoved(key.into()))
    }
}

/// Starts a watcher of the registry; returns the messages that it sends to the forward task.
fn start_watcher(registry: &FakeRegistry) -> mpsc::UnboundedReceiver<ForwardMessage> {
    tokio::time::pause();
    let (forward, messages) = mpsc::unbounded_channel();
    let (_contacts, contacts) = watch::channel(Vec::new());
    let log = Logger::root(Discard, o!());
    let (_settings, settings) = watch::channel(SETTINGS);
    let watcher = RegistryWatcher::new(registry.clone(), settings, forward, contacts, log);
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
    let registry = FakeRegistry::with_instances(20);
    let mut messages = start_settled_watcher(&registry).await;
    let removed = Instant::now();
    for number in 0..8 {
        registry.remove(&format!("i-{number}"));
    }
    // A change that ends the watch just before the grace period does.
    let marker = registry.clone();
    actix_rt::spawn(async move {
        tokio::time::sleep(SETTINGS.lapse_grace.saturating_sub(POLL)).await;
        marker.add("i-new");
    });

    let gone = deregistered_within(&mut messages, Duration::from_secs(10)).await;

    assert_eq!(gone.len(), 8);
    let latest = gone.iter().map(|(_, at)| *at - removed).max();
    assert!(latest <= Some(MAX_REMOVAL_TIME), "{latest:?}");
}

/// Guards against entries that are kept on and on, because others vanish before their grace period is over.
#[actix_rt::test]
async fn later_removals_do_not_prolong_a_grace_period() {
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
    let registry = FakeRegistry::with_instances(20);
    let mut messages = start_settled_watcher(&registry).await;
    for number in 0..8 {
        registry.remove(&format!("i-{number}"));
    }

    tokio::time::sleep(Duration::from_millis(500)).await;
    for number in 0..8 {
        registry.add(&format!("i-{number}"));
    }

    let gone = deregistered_within(&mut messages, Duration::from_secs(10)).await;
    assert!(gone.is_empty(), "{gone:?}");
}

/// Guards against a first retry that comes later than its constant says.
#[actix_rt::test]
async fn first_retry_follows_the_failure_after_100_ms() {
    let registry = FakeRegistry::with_instances(3);
    let mut messages = start_settled_watcher(&registry).await;

    registry.set_failing(true);
    deregistered_within(&mut messages, Duration::from_secs(5)).await;

    let calls = registry.0.borrow().calls.clone();
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
