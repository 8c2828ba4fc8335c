//! Fleets of registry watchers on loopback.

use crate::fake_registry::{FakeRegistry, RegistryLink};
use medlarpost_core::prelude::*;
use medlarpost_node::{
    forward_metrics::ForwardMetrics, forward_task::ForwardMessage,
    registry_watcher::RegistryWatcher,
};
use slog::{Discard, Logger, o};
use std::net::SocketAddr;
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
    task::JoinHandle,
    time::Instant,
};

pub const BOUND: Duration = Duration::from_secs(2);

pub const BOUNDS: RegistryBounds = RegistryBounds {
    contact: BOUND,
    drain: BOUND,
    config_apply: BOUND,
    evacuate: BOUND,
    revoke: None,
};

/// Smallest fleet that has followers.
pub const FLEET: usize = 9;

/// A running watcher.
pub struct Node {
    pub link: RegistryLink,
    pub messages: mpsc::UnboundedReceiver<ForwardMessage>,
    pub limits: watch::Sender<RegistryLimits>,
    pub tasks: Vec<JoinHandle<()>>,
}

impl Node {
    /// Starts a watcher that serves other nodes on the listener.
    pub fn start(
        registry: &FakeRegistry,
        listener: TcpListener,
        fleet: Option<RegistryFleet>,
        bounds: &RegistryBounds,
    ) -> Self {
        let (forward, messages) = mpsc::unbounded_channel();
        let link = registry.link();
        let (limits, limits_rx) = watch::channel(bounds.limits());
        let watcher = RegistryWatcher::new(
            link.clone(),
            limits_rx,
            forward,
            watch::channel(Vec::new()).1,
            ForwardMetrics::register(&prometheus::Registry::new()).expect("unique names"),
            Logger::root(Discard, o!()),
        )
        .expect("the chart is valid")
        .with_fleet(watch::channel(fleet).1);
        let serving = actix_rt::spawn(watcher.serve_nodes(listener));
        let tasks = vec![serving, actix_rt::spawn(watcher.run())];
        Self {
            link,
            messages,
            limits,
            tasks,
        }
    }

    /// Ends the tasks, which closes all connections.
    pub fn kill(&self) {
        for task in &self.tasks {
            task.abort();
        }
    }

    /// Events within this time, with the time of each.
    pub async fn events_within(&mut self, time: Duration) -> Vec<(ForwardEvent, Instant)> {
        let until = Instant::now() + time;
        let mut events = Vec::new();
        while let Ok(Some(message)) = tokio::time::timeout_at(until, self.messages.recv()).await {
            if let ForwardMessage::Event(event) = message {
                events.push((event, Instant::now()));
            }
        }
        events
    }

    /// Time from now until the instance is deregistered, if that is within `time`.
    pub async fn deregistered(&mut self, instance: &str, time: Duration) -> Option<Duration> {
        let began = Instant::now();
        while let Ok(Some(message)) =
            tokio::time::timeout_at(began + time, self.messages.recv()).await
        {
            if let ForwardMessage::Event(ForwardEvent::UpstreamDeregistered(gone)) = message
                && &*gone == instance
            {
                return Some(began.elapsed());
            }
        }
        None
    }
}

/// Listeners of a fleet, that of the follower last, and those of its readers in the order in which it prefers them.
pub struct Addresses {
    pub follower: TcpListener,
    pub readers: Vec<TcpListener>,
    pub fleet: RegistryFleet,
    pub nodes: Vec<SocketAddr>,
}

/// Binds the listeners of a fleet. `network` tells the fleets of tests apart.
pub async fn bind_fleet(network: u8) -> Addresses {
    let mut listeners = Vec::new();
    for node in 0..FLEET {
        let address = SocketAddr::from(([127, 81, 0, network + node as u8], 0));
        listeners.push(TcpListener::bind(address).await.expect("a free port"));
    }
    let nodes: Vec<_> = listeners
        .iter()
        .map(|listener| listener.local_addr().expect("bound"))
        .collect();
    let (fleet, readers) = nodes
        .iter()
        .map(|own| view_of(*own, &nodes))
        .find(|(_, readers)| !readers.is_empty())
        .expect("the fleet has followers");
    let mut take = |address: SocketAddr| {
        let at = listeners
            .iter()
            .position(|listener| listener.local_addr().expect("bound") == address);
        listeners.swap_remove(at.expect("not taken"))
    };
    Addresses {
        follower: take(fleet.sighting.own),
        readers: readers.into_iter().map(&mut take).collect(),
        fleet,
        nodes,
    }
}

/// The fleet as node `own` sees it, and the readers that it prefers: none if it is a reader itself.
pub fn view_of(own: SocketAddr, nodes: &[SocketAddr]) -> (RegistryFleet, Vec<SocketAddr>) {
    let others = nodes.iter().filter(|node| **node != own);
    let members = others.map(|node| KnownMember {
        address: *node,
        age: Duration::ZERO,
    });
    let fleet = RegistryFleet {
        sighting: FleetSighting {
            own,
            members: members.collect(),
            size: Some(nodes.len() as u32),
        },
        is_stable: true,
    };
    let mut readers = RegistryReaders::new().expect("the chart is valid");
    readers.update_fleet(Some(&fleet), &BOUNDS.limits());
    let preferred = readers.readers().to_vec();
    (fleet, preferred)
}

/// A reader and its follower. The other readers accept connections and say nothing.
pub struct Pair {
    pub reader: Node,
    pub follower: Node,
    pub others: Vec<TcpListener>,
    pub reader_address: SocketAddr,
    pub nodes: Vec<SocketAddr>,
}

pub async fn start_pair(registry: &FakeRegistry, network: u8, bounds: &RegistryBounds) -> Pair {
    let Addresses {
        follower,
        mut readers,
        fleet,
        nodes,
    } = bind_fleet(network).await;
    let first = readers.remove(0);
    let reader_address = first.local_addr().expect("bound");
    let (view, _) = view_of(reader_address, &nodes);
    let reader = Node::start(registry, first, Some(view), bounds);
    let mut follower = Node::start(registry, follower, Some(fleet), bounds);
    follower.events_within(Duration::from_millis(1_500)).await;
    Pair {
        reader,
        follower,
        others: readers,
        reader_address,
        nodes,
    }
}
