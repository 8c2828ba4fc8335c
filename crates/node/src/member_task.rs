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
const INTERVAL: Duration = Duration::from_secs(1);

/// Time between two rounds while no other node was heard.
const LONELY_INTERVAL: Duration = Duration::from_millis(200);

/// What the task is told, and whom it tells.
pub(crate) struct MemberLinks {
    /// Requests that this node has found to crash upstreams.
    pub(crate) barred: mpsc::UnboundedReceiver<Digest>,
    /// How many nodes share the limits.
    pub(crate) forward: ForwardSender,
    /// Nodes to ask for what they know.
    pub(crate) helpers: watch::Sender<Vec<SocketAddr>>,
}

impl MemberLinks {
    fn tell(&self, event: ForwardEvent) {
        // The receiver ends only with the process.
        let _ended = self.forward.send(ForwardMessage::Event(event));
    }
}

/// Tells its readers of the other nodes, for the life of the process.
pub(crate) async fn run(
    socket: UdpSocket,
    mut membership: Membership,
    clock: Clock,
    mut links: MemberLinks,
    log: Logger,
) {
    let mut framed = UdpFramed::new(socket, BeatCodec);
    let mut size = 0;
    let mut next_round = tokio::time::Instant::now();
    loop {
        tokio::select! {
            received = framed.next() => match received {
                Some(Ok((Some(beat), from))) => {
                    for BarredRequest { digest, age } in membership.merge_barred(clock.now(), &beat) {
                        links.tell(ForwardEvent::QuarantinedElsewhere { digest, age });
                    }
                    if let Some(answer) = membership.handle_heartbeat(clock.now(), &beat) {
                        send(&mut framed, answer, from, &log).await;
                    }
                }
                Some(Ok((None, from))) => debug!(log, "datagram_unreadable"; "from" => %from),
                // Errors of earlier datagrams, such as an unreachable port.
                Some(Err(fault)) => debug!(log, "datagram_failed"; "fault" => %fault),
                None => return,
            },
            Some(digest) = links.barred.recv() => {
                membership.bar_request(clock.now(), digest);
                next_round = tokio::time::Instant::now();
            }
            () = tokio::time::sleep_until(next_round) => {
                let (targets, beat) = membership.next_heartbeat(clock.now());
                let interval = if beat.answer_wanted { LONELY_INTERVAL } else { INTERVAL };
                next_round = tokio::time::Instant::now() + interval;
                for target in targets {
                    send(&mut framed, beat.clone(), target, &log).await;
                }
            }
        }
        let helpers = membership.contacts();
        links.helpers.send_if_modified(|known| {
            let changed = *known != helpers;
            *known = helpers;
            changed
        });
        let heard = membership.fleet_size(clock.now());
        if heard != size {
            info!(log, "fleet_size_changed"; "from" => size, "to" => heard);
            size = heard;
            links.tell(ForwardEvent::FleetSize(size));
        }
    }
}

async fn send(
    framed: &mut UdpFramed<BeatCodec>,
    beat: MemberHeartbeat,
    target: SocketAddr,
    log: &Logger,
) {
    // A lost beat is followed by the next one.
    if let Err(fault) = framed.send((beat, target)).await {
        debug!(log, "datagram_not_sent"; "to" => %target, "fault" => %fault);
    }
}
