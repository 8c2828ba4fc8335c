//! Conversion from [`Message`] to the generated protobuf types.

use crate::{
    generated::{self, document, frame, news, redeemed},
    millis::encode_millis,
    prelude::*,
};
use prost::Message as _;

/// Encodes a message as the bytes of a protobuf frame.
pub(crate) fn message(message: &Message) -> Vec<u8> {
    let message = match message {
        Message::Heartbeat(heartbeat) => frame::Message::Heartbeat(self::heartbeat(*heartbeat)),
        Message::DocumentRequest(request) => {
            frame::Message::DocumentRequest(generated::DocumentRequest {
                envelope: request.envelope,
                parts: request
                    .parts
                    .iter()
                    .map(|digest| digest_bytes(*digest))
                    .collect(),
                nodes: request.nodes,
                upstream_states: request.upstream_states,
            })
        }
        Message::Document(document) => frame::Message::Document(self::document(document)),
        Message::News(items) => frame::Message::News(generated::NewsBatch {
            items: items
                .iter()
                .map(|(id, news)| self::news(id, news))
                .collect(),
        }),
        Message::Redeem(redeem) => frame::Message::Redeem(self::redeem(redeem)),
        Message::Redeemed(redeemed) => frame::Message::Redeemed(self::redeemed(redeemed)),
    };
    let frame = generated::Frame {
        message: Some(message),
    };
    frame.encode_to_vec()
}

fn heartbeat(heartbeat: Heartbeat) -> generated::Heartbeat {
    generated::Heartbeat {
        version: heartbeat.version,
        sent_micros: heartbeat.sent.as_micros(),
        echo_micros: heartbeat.echo.as_micros(),
        interval_ms: encode_millis(heartbeat.interval),
        answer_wanted: heartbeat.answer_wanted,
    }
}

fn digest_bytes(digest: Digest) -> Bytes {
    Bytes::copy_from_slice(&digest.0)
}

fn document(document: &Document) -> generated::Document {
    let content = match document {
        Document::Envelope(text) => document::Content::Envelope(text.clone()),
        Document::Part(value) => document::Content::Part(value.clone()),
        Document::Nodes(nodes) => document::Content::Nodes(generated::NodeList {
            nodes: nodes.iter().map(node).collect(),
        }),
    };
    generated::Document {
        content: Some(content),
    }
}

fn node(node: &FleetNode) -> generated::Node {
    generated::Node {
        name: node.name.clone(),
        address: node.address.to_string(),
        zone: node.zone.clone(),
        leaving: node.leaving,
    }
}

fn news(id: &NewsId, news: &News) -> generated::News {
    let start = |upstream: &String, started_at_ms, round| generated::UpstreamStart {
        upstream: upstream.clone(),
        started_at_ms,
        round,
    };
    let content = match news {
        News::Crash { digest, upstreams } => news::Content::Crash(generated::Crash {
            digest: digest_bytes(*digest),
            upstreams: upstreams.clone(),
        }),
        News::Cold {
            upstream,
            started_at_ms,
            round,
        } => news::Content::Cold(start(upstream, *started_at_ms, *round)),
        News::Warm {
            upstream,
            started_at_ms,
            round,
        } => news::Content::Warm(start(upstream, *started_at_ms, *round)),
    };
    generated::News {
        origin: id.origin.to_string(),
        start: id.start,
        number: id.number,
        content: Some(content),
    }
}

fn redeem(redeem: &Redeem) -> generated::Redeem {
    let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    generated::Redeem {
        call: redeem.call,
        request_id: redeem.request_id.to_string(),
        token: redeem.token.to_string(),
        tenant: redeem.workspace.to_string(),
        service: redeem.service.to_string(),
        ticket: redeem.ticket.to_string(),
        booking: redeem.booking.to_string(),
        deadline_ms: redeem.deadline.map(millis),
    }
}

fn redeemed(redeemed: &Redeemed) -> generated::Redeemed {
    let outcome = match &redeemed.outcome {
        RedeemOutcome::Booked {
            booking_id,
            reply,
            replayed,
        } => redeemed::Outcome::Booked(generated::Booked {
            booking_id: booking_id.clone(),
            accepted: reply.accepted,
            reference: reply.reference.clone(),
            replayed: *replayed,
        }),
        RedeemOutcome::Refused {
            kind,
            execution,
            detail,
        } => redeemed::Outcome::Refused(generated::Refused {
            kind: kind.name().to_owned(),
            not_run: *execution == Execution::NotRun,
            detail: detail.clone(),
        }),
    };
    generated::Redeemed {
        call: redeemed.call,
        outcome: Some(outcome),
    }
}
