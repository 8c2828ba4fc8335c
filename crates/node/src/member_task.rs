//! The task that owns the UDP socket for heartbeats, messages about quotas and observations of upstreams between nodes.

use crate::{
    forward_task::{ForwardMessage, ForwardSender},
    peer_load_metrics::PeerLoadMetrics,
    prelude::*,
};
use futures_util::{SinkExt as _, StreamExt as _};
use medlarpost_wire::{
    member_datagram::MemberDatagram, member_heartbeat_codec::MemberHeartbeatCodec,
};
use tokio::net::UdpSocket;
use tokio_util::{codec::Encoder, udp::UdpFramed};

/// Interval of heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Interval of heartbeats while no other node is known.
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(200);

/// Something that this node tells the others.
#[derive(Clone, Debug)]
pub enum Announcement {
    /// Requests with this digest crash upstreams.
    Quarantined(Digest),
    /// What an upstream says of itself.
    Notice(UpstreamNotice),
    /// A message about quotas for one other node.
    Quota(OutgoingQuotaMessage),
    /// Observations of upstreams for some other nodes.
    Observations(OutgoingObservations),
}

/// Channels between the membership task and the rest of the node.
pub(crate) struct MemberChannels {
    /// What this node has learnt, to include in heartbeats, and its messages about quotas.
    pub(crate) announcements: mpsc::UnboundedReceiver<Announcement>,
    /// Receives the fleet size, and what other nodes have learnt.
    pub(crate) forward: ForwardSender,
    /// Receives the addresses of nodes to ask for registry snapshots.
    pub(crate) contacts: watch::Sender<Vec<SocketAddr>>,
    /// Receives the fleet from which the readers of the registry are chosen.
    pub(crate) registry_fleet: watch::Sender<Option<RegistryFleet>>,
    /// Metrics of observations.
    pub(crate) metrics: PeerLoadMetrics,
}

impl MemberChannels {
    fn send_event(&self, event: ForwardEvent) {
        // The receiver ends only with the process.
        let _ended = self.forward.send(ForwardMessage::Event(event));
    }
}

/// Exchanges heartbeats with other nodes for the life of the process.
pub(crate) async fn run(
    socket: UdpSocket,
    mut membership: Membership,
    clock: Clock,
    mut channels: MemberChannels,
    log: Logger,
) {
    let mut framed = UdpFramed::new(socket, MemberHeartbeatCodec);
    let mut known_size = 0;
    let mut next_heartbeat = tokio::time::Instant::now();
    loop {
        tokio::select! {
            received = framed.next() => match received {
                Some(Ok((Some(MemberDatagram::Heartbeat(heartbeat)), from))) => {
                    for QuarantinedRequest { digest, age } in membership.merge_quarantined(clock.now(), &heartbeat) {
                        channels.send_event(ForwardEvent::QuarantinedElsewhere { digest, age });
                    }
                    for notice in membership.merge_notices(clock.now(), &heartbeat) {
                        channels.send_event(ForwardEvent::UpstreamNoticed(notice));
                    }
                    if let Some(answer) = membership.handle_heartbeat(clock.now(), &heartbeat) {
                        send_datagram(&mut framed, answer, from, &log).await;
                    }
                }
                Some(Ok((Some(MemberDatagram::Quota(message)), from))) => {
                    channels.send_event(ForwardEvent::QuotaMessageReceived { from, message });
                }
                Some(Ok((Some(MemberDatagram::Observations(observations)), from))) => {
                    channels.metrics.record_received(&observations);
                    channels.send_event(ForwardEvent::ObservationsReceived { from, observations });
                }
                Some(Ok((None, from))) => debug!(log, "datagram_unreadable"; "from" => %from),
                // Refers to an earlier datagram, for example an unreachable port.
                Some(Err(fault)) => debug!(log, "datagram_failed"; "fault" => %fault),
                None => return,
            },
            Some(announcement) = channels.announcements.recv() => match announcement {
                Announcement::Quarantined(digest) => {
                    membership.quarantine_request(clock.now(), digest);
                    next_heartbeat = tokio::time::Instant::now();
                }
                // Waits for the next heartbeat, because an overloaded upstream gives many notices.
                Announcement::Notice(notice) => membership.announce_notice(clock.now(), notice),
                Announcement::Quota(OutgoingQuotaMessage { to, message }) => {
                    send_datagram(&mut framed, message, to, &log).await;
                }
                Announcement::Observations(OutgoingObservations { to, observations }) => {
                    for target in to {
                        channels.metrics.record_sent(&observations);
                        send_datagram(&mut framed, observations.clone(), target, &log).await;
                    }
                }
            },
            () = tokio::time::sleep_until(next_heartbeat) => {
                let (targets, heartbeat) = membership.next_heartbeat(clock.now());
                let fleet = membership.registry_fleet(clock.now());
                channels.send_event(ForwardEvent::FleetSighted(fleet.sighting.clone()));
                channels.registry_fleet.send_replace(Some(fleet));
                let interval = if heartbeat.answer_wanted { DISCOVERY_INTERVAL } else { HEARTBEAT_INTERVAL };
                next_heartbeat = tokio::time::Instant::now() + interval;
                for target in targets {
                    send_datagram(&mut framed, heartbeat.clone(), target, &log).await;
                }
            }
        }
        let contacts = membership.contacts();
        channels.contacts.send_if_modified(|sent| {
            let changed = *sent != contacts;
            *sent = contacts;
            changed
        });
        let current_size = membership.fleet_size(clock.now());
        if current_size != known_size {
            info!(log, "fleet_size_changed"; "from" => known_size, "to" => current_size);
            known_size = current_size;
            channels.send_event(ForwardEvent::FleetSize(known_size));
            let sighting = membership.sighting(clock.now());
            channels.send_event(ForwardEvent::FleetSighted(sighting));
        }
    }
}

async fn send_datagram<M>(
    framed: &mut UdpFramed<MemberHeartbeatCodec>,
    message: M,
    target: SocketAddr,
    log: &Logger,
) where
    MemberHeartbeatCodec: Encoder<M, Error = std::io::Error>,
{
    // A lost message needs no retry here: the next heartbeat or ask replaces it.
    if let Err(fault) = framed.send((message, target)).await {
        debug!(log, "datagram_not_sent"; "to" => %target, "fault" => %fault);
    }
}
