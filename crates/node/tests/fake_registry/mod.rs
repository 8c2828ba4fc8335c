//! A registry in memory, whose calls are counted and can be made to fail.

use bytes::Bytes;
use medlarpost_core::prelude::*;
use medlarpost_node::registry::{
    Change, Changes, Registry, RegistryDocument, RegistryError, Removal,
};
use std::{cell::RefCell, rc::Rc};
use tokio::time::Instant;

/// Key of the configuration. All other keys are those of entries.
pub const CONFIGURATION: &str = "configuration";

/// Value of a configuration or an entry that can't be read.
pub const UNREADABLE: &[u8] = b"unreadable";

/// Interval at which a watch looks for changes.
pub const POLL: Duration = Duration::from_millis(5);

#[derive(Debug, Default)]
struct Contents {
    revision: u64,
    items: BTreeMap<String, Bytes>,
    history: Vec<(u64, Change)>,
    /// Changes up to this revision are not kept.
    forgotten: u64,
    fault: Fault,
    /// Time of a request, and of a reply, on their way.
    transit: Duration,
    /// Times of all calls.
    calls: Vec<Instant>,
    /// Waits of all watches.
    waits: Vec<Duration>,
}

/// Fault of a fake registry.
#[derive(Clone, Copy, Debug, Default)]
pub enum Fault {
    #[default]
    None,
    /// New calls are refused.
    Refuses,
    /// New calls are refused, and watches that wait are cut.
    Down,
    /// Calls get no reply.
    Silent,
    /// Calls from before this time get no reply.
    SilentBefore(Instant),
    /// Watches that have waited for so long are cut.
    CutsWatchesAfter(Duration),
}

/// A registry in memory. Clones share its contents.
#[derive(Clone, Debug, Default)]
pub struct FakeRegistry(Rc<RefCell<Contents>>);

impl FakeRegistry {
    /// A registry with entries of this many upstreams.
    pub fn with_instances(count: usize) -> Self {
        let registry = Self::default();
        for number in 0..count {
            registry.write(&format!("i-{number}"), b"desk 1");
        }
        registry
    }

    /// A registry that holds a configuration of this version.
    pub fn with_version(version: u64) -> Self {
        let registry = Self::default();
        registry.write(CONFIGURATION, version.to_string().as_bytes());
        registry
    }

    /// A view of the same contents whose calls are counted and fail separately: another node's link to the registry.
    pub fn link(&self) -> RegistryLink {
        RegistryLink {
            registry: self.clone(),
            state: Rc::default(),
        }
    }

    /// Writes a configuration, whose value is its version, or an entry, whose value is `SERVICE SEQ`.
    pub fn write(&self, key: &str, value: &[u8]) {
        let value = Bytes::copy_from_slice(value);
        let item = PublishedItem {
            key: key.into(),
            value: value.clone(),
        };
        self.0.borrow_mut().items.insert(key.to_owned(), value);
        self.record(Change::Written(item));
    }

    pub fn remove(&self, key: &str) {
        self.0.borrow_mut().items.remove(key);
        self.record(Change::Removed(key.into()));
    }

    fn record(&self, change: Change) {
        let mut contents = self.0.borrow_mut();
        contents.revision += 1;
        let revision = contents.revision;
        contents.history.push((revision, change));
    }

    /// Makes calls of all links fail.
    pub fn set_fault(&self, fault: Fault) {
        self.0.borrow_mut().fault = fault;
    }

    /// Sets the time of a request, and of a reply, on their way.
    pub fn set_transit(&self, transit: Duration) {
        self.0.borrow_mut().transit = transit;
    }

    /// Times of all calls.
    pub fn calls(&self) -> Vec<Instant> {
        self.0.borrow().calls.clone()
    }

    /// Waits of all watches.
    pub fn waits(&self) -> Vec<Duration> {
        self.0.borrow().waits.clone()
    }

    pub fn revision(&self) -> u64 {
        self.0.borrow().revision
    }

    /// Makes watches from the present revision or an earlier one fail.
    pub fn forget_history(&self) {
        let mut contents = self.0.borrow_mut();
        contents.revision += 1;
        contents.forgotten = contents.revision;
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

#[derive(Debug, Default)]
struct LinkState {
    fault: Fault,
    calls: usize,
}

/// A node's link to a fake registry. Clones share its state.
#[derive(Clone, Debug)]
pub struct RegistryLink {
    registry: FakeRegistry,
    state: Rc<RefCell<LinkState>>,
}

impl RegistryLink {
    /// Makes the calls of this link fail.
    pub fn set_fault(&self, fault: Fault) {
        self.state.borrow_mut().fault = fault;
    }

    pub fn call_count(&self) -> usize {
        self.state.borrow().calls
    }

    fn fault(&self) -> Fault {
        match self.state.borrow().fault {
            Fault::None => self.registry.0.borrow().fault,
            fault => fault,
        }
    }

    /// Begins a call that is lost after `timeout` if the registry is silent.
    async fn begin_call(&self, timeout: Duration) -> Result<(), RegistryError> {
        self.state.borrow_mut().calls += 1;
        self.registry.0.borrow_mut().calls.push(Instant::now());
        match self.fault() {
            Fault::Refuses | Fault::Down => Err(unavailable("made to fail")),
            Fault::Silent => {
                tokio::time::sleep(timeout).await;
                Err(unavailable("no reply"))
            }
            _ => Ok(()),
        }
    }

    async fn lose_reply(&self, until: Instant) -> Result<Changes, RegistryError> {
        tokio::time::sleep_until(until).await;
        Err(unavailable("no reply"))
    }

    async fn transit(&self) {
        let transit = self.registry.0.borrow().transit;
        tokio::time::sleep(transit).await;
    }
}

fn unavailable(reason: &str) -> RegistryError {
    let reason = reason.to_owned();
    RegistryError::Unavailable { reason }
}

impl Registry for RegistryLink {
    async fn list(&self, timeout: Duration) -> Result<Snapshot, RegistryError> {
        self.begin_call(timeout).await?;
        let contents = self.registry.0.borrow();
        let items = contents.items.iter().map(|(key, value)| PublishedItem {
            key: key.as_str().into(),
            value: value.clone(),
        });
        Ok(Snapshot {
            revision: contents.revision,
            current: true,
            items: items.collect(),
        })
    }

    async fn watch(&self, after: u64, times: WatchTimes) -> Result<Changes, RegistryError> {
        let began = Instant::now();
        self.begin_call(times.wait + times.reply_timeout).await?;
        self.registry.0.borrow_mut().waits.push(times.wait);
        if after < self.registry.0.borrow().forgotten {
            return Err(RegistryError::HistoryLost);
        }
        self.transit().await;
        let until = Instant::now() + times.wait;
        let changes = loop {
            match self.fault() {
                Fault::Down => return Err(RegistryError::Cut),
                Fault::Silent => return self.lose_reply(until + times.reply_timeout).await,
                Fault::SilentBefore(time) if began < time => {
                    return self.lose_reply(until + times.reply_timeout).await;
                }
                _ => {}
            }
            let changes = self.registry.changes_after(after);
            if !changes.changes.is_empty() || Instant::now() >= until {
                break changes;
            }
            if let Fault::CutsWatchesAfter(time) = self.fault()
                && began.elapsed() >= time
            {
                return Err(RegistryError::Cut);
            }
            tokio::time::sleep(POLL).await;
        };
        self.transit().await;
        Ok(changes)
    }

    fn parse_item(&self, item: &PublishedItem) -> Option<RegistryDocument> {
        let text = std::str::from_utf8(&item.value).expect("values are text");
        if &*item.key == CONFIGURATION {
            let limits = CallerLimits::default();
            return Some(match text.parse() {
                Ok(version) => RegistryDocument::Configuration(Arc::new(RoutingTable::new(
                    version,
                    Vec::new(),
                    BTreeMap::new(),
                    limits,
                ))),
                Err(_) => RegistryDocument::UnreadableConfiguration {
                    reason: "not a number".to_owned(),
                },
            });
        }
        let instance = Arc::clone(&item.key);
        let Some((service, seq)) = text.split_once(' ') else {
            return Some(RegistryDocument::UnreadableUpstream {
                instance,
                field: "entry",
                reason: "no service".to_owned(),
            });
        };
        let upstream = RegisteredUpstream {
            instance,
            service: service.into(),
            address: "127.81.0.9:9".parse().expect("an address"),
            zone: "z-a".into(),
            slots: 3,
            leaving: false,
            cold_for: Duration::ZERO,
            started_at_ms: 1,
        };
        Some(RegistryDocument::Upstream(UpstreamRegistration {
            upstream,
            version: "v".into(),
            seq: seq.parse().expect("a number"),
        }))
    }

    fn parse_removal(&self, key: &str) -> Option<Removal> {
        if key == CONFIGURATION {
            return Some(Removal::ConfigurationRemoved);
        }
        Some(Removal::UpstreamRemoved(key.into()))
    }
}
