//! The task that owns the datagram socket by which nodes find each other.

use crate::{
    forward_task::{ForwardMessage, ForwardSender},
    prelude::*,
};
use futures_util::{SinkExt as _, StreamExt as _};
use medlarpost_wire::beat_codec::BeatCodec;
use tokio::net::UdpSocket;
use tokio_util::udp::UdpFramed;

/// Time between two rounds of beats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two rounds while no other node is known.
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(200);

/// What the task is told, and whom it tells.
pub(crate) struct MemberChannels {
    /// Requests that this node has found to crash upstreams.
    pub(crate) quarantined: mpsc::UnboundedReceiver<Digest>,
    /// How many nodes share the limits.
    pub(crate) forward: ForwardSender,
    /// Nodes to ask for what they know.
    pub(crate) contacts: watch::Sender<Vec<SocketAddr>>,
}

impl MemberChannels {
    fn send_event(&self, event: ForwardEvent) {
        // The receiver ends only with the process.
        let _ended = self.forward.send(ForwardMessage::Event(event));
    }
}

/// Tells its readers of the other nodes, for the life of the process.
pub(crate) async fn run(
    socket: UdpSocket,
    mut membership: Membership,
    clock: Clock,
    mut channels: MemberChannels,
    log: Logger,
) {
    let mut framed = UdpFramed::new(socket, BeatCodec);
    let mut known_size = 0;
    let mut next_heartbeat = tokio::time::Instant::now();
    loop {
        tokio::select! {
            received = framed.next() => match received {
                Some(Ok((Some(heartbeat), from))) => {
                    for BarredRequest { digest, age } in membership.merge_barred(clock.now(), &heartbeat) {
                        channels.send_event(ForwardEvent::QuarantinedElsewhere { digest, age });
                    }
                    if let Some(answer) = membership.handle_heartbeat(clock.now(), &heartbeat) {
                        send_heartbeat(&mut framed, answer, from, &log).await;
                    }
                }
                Some(Ok((None, from))) => debug!(log, "datagram_unreadable"; "from" => %from),
                // Errors of earlier datagrams, such as an unreachable port.
                Some(Err(fault)) => debug!(log, "datagram_failed"; "fault" => %fault),
                None => return,
            },
            Some(digest) = channels.quarantined.recv() => {
                membership.bar_request(clock.now(), digest);
                next_heartbeat = tokio::time::Instant::now();
            }
            () = tokio::time::sleep_until(next_heartbeat) => {
                let (targets, heartbeat) = membership.next_heartbeat(clock.now());
                let interval = if heartbeat.answer_wanted { DISCOVERY_INTERVAL } else { HEARTBEAT_INTERVAL };
                next_heartbeat = tokio::time::Instant::now() + interval;
                for target in targets {
                    send_heartbeat(&mut framed, heartbeat.clone(), target, &log).await;
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
        }
    }
}

async fn send_heartbeat(
    framed: &mut UdpFramed<BeatCodec>,
    heartbeat: MemberHeartbeat,
    target: SocketAddr,
    log: &Logger,
) {
    // A lost heartbeat is followed by the next one.
    if let Err(fault) = framed.send((heartbeat, target)).await {
        debug!(log, "datagram_not_sent"; "to" => %target, "fault" => %fault);
    }
}
