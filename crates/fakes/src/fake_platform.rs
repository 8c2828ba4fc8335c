//! A stand-in for the platform's configuration service, which nodes can only read.

use crate::prelude::*;

/// A platform with one or more listeners. Dropping it stops its first listener.
#[derive(Debug)]
pub struct FakePlatform {
    listener: PlatformListener,
    state: watch::Sender<Published>,
    workers: Workers,
}

/// Published state of the platform, shared by its listeners.
#[derive(Clone, Debug)]
pub(crate) struct Published {
    pub(crate) current: WatchReply,
    /// Reply to a watch before the last bundle was published.
    pub(crate) previous: WatchReply,
    pub(crate) values: BTreeMap<Digest, Bytes>,
}

impl FakePlatform {
    /// Starts a platform with nothing published and one listener, on `workers`.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    pub fn start(address: SocketAddr, mut workers: Workers) -> std::io::Result<Self> {
        let nothing = WatchReply {
            revision: 0,
            manifest: None,
            vms: None,
        };
        let (state, state_rx) = watch::channel(Published {
            current: nothing.clone(),
            previous: nothing,
            values: BTreeMap::new(),
        });
        let listener = PlatformListener::start(address, state_rx, &mut workers)?;
        Ok(Self {
            listener,
            state,
            workers,
        })
    }

    /// Address of the first listener.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// First listener, which [`FakePlatform::start`] opened.
    pub fn listener(&self) -> &PlatformListener {
        &self.listener
    }

    /// Makes the first listener read requests without answering them.
    pub fn silence(&self) {
        self.listener.set_mode(PlatformMode::Silent);
    }

    /// Opens another listener, which can be made faulty separately.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    pub fn open_listener(&mut self, address: SocketAddr) -> std::io::Result<PlatformListener> {
        PlatformListener::start(address, self.state.subscribe(), &mut self.workers)
    }

    /// Publishes a bundle: its signed manifest and its parts by digest.
    pub fn publish(&self, envelope: &Envelope<Unverified>, parts: BTreeMap<Digest, Vec<u8>>) {
        let text = envelope.to_toml().into_bytes();
        let digest = Digest::of(&text);
        self.state.send_modify(|state| {
            state.values.extend(
                parts
                    .into_iter()
                    .map(|(digest, value)| (digest, Bytes::from(value))),
            );
            state.values.insert(digest, text.into());
            state.previous = state.current.clone();
            state.current.manifest = Some(digest);
            state.current.revision += 1;
        });
    }

    /// Publishes the list of VMs on all listeners that have no list of their own.
    ///
    /// # Panics
    ///
    /// Never: the list has a JSON form.
    pub fn publish_vms(&self, list: &VmList) {
        let text = serde_json::to_vec(list).expect("a list of VMs has a JSON form");
        let digest = Digest::of(&text);
        self.state.send_modify(|state| {
            state.values.insert(digest, text.into());
            state.current.vms = Some(digest);
            state.previous.vms = Some(digest);
            state.current.revision += 1;
        });
    }
}
