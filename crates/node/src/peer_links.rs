//! The control task's side of the links to peers.

use crate::{
    link_dialler,
    link_task::{HeartbeatContent, LinkParts},
    prelude::*,
};
use medlarpost_wire::prelude::Message;
use slotmap::SecondaryMap;

/// Queues of the linked peers, and the tasks that dial the published nodes.
#[derive(Debug)]
pub(crate) struct PeerLinks {
    parts: LinkParts,
    workers: Workers,
    heartbeat_content: watch::Sender<HeartbeatContent>,
    senders: SecondaryMap<PeerKey, (String, mpsc::Sender<Message>)>,
    /// Tells the dialler of each other published node whether there is a link to it. Dropping a sender ends the
    /// dialler.
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

    /// Sets the content of heartbeats; if it differs, all links send it at once.
    pub(crate) fn set_heartbeat_content(&self, heartbeat_content: HeartbeatContent) {
        self.heartbeat_content.send_if_modified(|current| {
            let changed = *current != heartbeat_content;
            *current = heartbeat_content;
            changed
        });
    }

    /// Starts and ends diallers, so that there is one for each published node but this one.
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

    /// Queues a message for a peer. Returns `false` if there is no link or its queue is full.
    pub(crate) fn send(&self, peer: PeerKey, message: Message) -> bool {
        self.senders
            .get(peer)
            .is_some_and(|(_, sender)| sender.try_send(message).is_ok())
    }

    /// Queues a message for all linked peers.
    pub(crate) fn broadcast(&self, message: &Message) {
        for peer in self.senders.keys() {
            // A link whose queue is full is closed by its task; the peer gets the news when it is linked again.
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
