//! The control task's end of the links.

use crate::{
    link_dialler,
    link_task::{HeartbeatContent, LinkParts},
    prelude::*,
};
use medlarpost_wire::prelude::Message;
use slotmap::SecondaryMap;

/// Senders to linked peers, and the diallers of published ones.
#[derive(Debug)]
pub(crate) struct PeerLinks {
    parts: LinkParts,
    workers: Workers,
    heartbeat_content: watch::Sender<HeartbeatContent>,
    senders: SecondaryMap<PeerKey, (String, mpsc::Sender<Message>)>,
    /// One for each published node but this one; says whether it has a link. Dropping it ends the dialler.
    diallers: HashMap<(String, SocketAddr), watch::Sender<bool>>,
}

impl PeerLinks {
    pub(crate) fn new(
        parts: LinkParts,
        workers: Workers,
        heartbeat_content: watch::Sender<HeartbeatContent>,
    ) -> Self {
        Self {
            parts,
            workers,
            heartbeat_content,
            senders: SecondaryMap::new(),
            diallers: HashMap::new(),
        }
    }

    /// Sets what heartbeats say; a change is sent at once.
    pub(crate) fn set_heartbeat_content(&self, heartbeat_content: HeartbeatContent) {
        self.heartbeat_content.send_if_modified(|current| {
            let changed = *current != heartbeat_content;
            *current = heartbeat_content;
            changed
        });
    }

    /// Starts and ends diallers, so that there is one for each published node.
    pub(crate) fn update_diallers(&mut self, published: &[FleetNode]) {
        let wanted: Vec<_> = published
            .iter()
            .filter(|node| node.name != self.parts.node)
            .map(|node| (node.name.clone(), node.address))
            .collect();
        self.diallers.retain(|peer, _| wanted.contains(peer));
        for peer in wanted {
            if self.diallers.contains_key(&peer) {
                continue;
            }
            let has_link = self.senders.values().any(|(name, _)| *name == peer.0);
            let (linked, linked_rx) = watch::channel(has_link);
            self.diallers.insert(peer.clone(), linked);
            let parts = self.parts.clone();
            self.workers
                .spawn(move || link_dialler::run(parts, peer, linked_rx));
        }
    }

    pub(crate) fn add_link(&mut self, peer: PeerKey, name: &str, sender: mpsc::Sender<Message>) {
        self.senders.insert(peer, (name.to_owned(), sender));
        self.set_linked(name, true);
    }

    pub(crate) fn remove_link(&mut self, peer: PeerKey) {
        if let Some((name, _)) = self.senders.remove(peer)
            && !self.senders.values().any(|(other, _)| *other == name)
        {
            self.set_linked(&name, false);
        }
    }

    /// Hands a message to a link. Returns whether the link took it.
    pub(crate) fn send(&self, peer: PeerKey, message: Message) -> bool {
        self.senders
            .get(peer)
            .is_some_and(|(_, sender)| sender.try_send(message).is_ok())
    }

    /// Hands a message to all links.
    pub(crate) fn broadcast(&self, message: &Message) {
        for peer in self.senders.keys() {
            // A link whose queue is full is closed by its task, and news reaches the peer over the next one.
            self.send(peer, message.clone());
        }
    }

    fn set_linked(&self, name: &str, has_link: bool) {
        for ((peer, _), linked) in &self.diallers {
            if peer == name {
                linked.send_replace(has_link);
            }
        }
    }
}
