//! A stand-in for the platform's read-only configuration service.

use crate::prelude::*;

/// A platform on loopback addresses. Dropping it stops its first listener.
#[derive(Debug)]
pub struct FakePlatform {
    listener: PlatformListener,
    state: watch::Sender<Published>,
    workers: Workers,
}

/// What the platform holds.
#[derive(Clone, Debug)]
pub(crate) struct Published {
    pub(crate) current: WatchReply,
    /// What a watch was answered before the bundle was last published.
    pub(crate) previous: WatchReply,
    pub(crate) values: BTreeMap<Digest, Bytes>,
}

impl FakePlatform {
    /// Starts a platform that holds nothing, with one listener, on `workers`.
    ///
    /// # Errors
    ///
    /// The address can't be listened on.
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

    /// The first listener.
    pub fn listener(&self) -> &PlatformListener {
        &self.listener
    }

    /// Stops answering at the first listener.
    pub fn silence(&self) {
        self.listener.set_mode(PlatformMode::Silent);
    }

    /// Opens a further listener, which can be cut off separately.
    ///
    /// # Errors
    ///
    /// The address can't be listened on.
    pub fn open_listener(&mut self, address: SocketAddr) -> std::io::Result<PlatformListener> {
        PlatformListener::start(address, self.state.subscribe(), &mut self.workers)
    }

    /// Publishes a signed bundle.
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

    /// Publishes the list of VMs.
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
