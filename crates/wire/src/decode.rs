//! Conversion from the generated protobuf types to [`Message`].

use crate::{
    generated::{self, document, frame, news, redeemed},
    prelude::*,
    wire_error::malformed,
};
use prost::Message as _;

/// Decodes a message; `None` if its type is unknown to this version.
pub(crate) fn message(bytes: Bytes) -> Result<Option<Message>, WireError> {
    let frame = generated::Frame::decode(bytes).map_err(malformed)?;
    let Some(message) = frame.message else {
        return Ok(None);
    };
    let message = match message {
        frame::Message::Heartbeat(proto) => Some(Message::Heartbeat(heartbeat(proto))),
        frame::Message::DocumentRequest(proto) => Some(Message::DocumentRequest(request(&proto)?)),
        frame::Message::Document(proto) => document(proto)?.map(Message::Document),
        frame::Message::News(proto) => Some(Message::News(news_items(proto)?)),
        frame::Message::Redeem(proto) => Some(Message::Redeem(redeem(proto))),
        frame::Message::Redeemed(proto) => redeemed(proto).map(Message::Redeemed),
    };
    Ok(message)
}

fn heartbeat(proto: generated::Heartbeat) -> Heartbeat {
    Heartbeat {
        version: proto.version,
        sent: Timestamp::from_micros(proto.sent_micros),
        echo: Timestamp::from_micros(proto.echo_micros),
        interval: Duration::from_millis(proto.interval_ms.into()),
        answer_wanted: proto.answer_wanted,
    }
}

fn digest(bytes: &[u8]) -> Result<Digest, WireError> {
    bytes.try_into().map(Digest).map_err(malformed)
}

fn request(proto: &generated::DocumentRequest) -> Result<DocumentRequest, WireError> {
    Ok(DocumentRequest {
        envelope: proto.envelope,
        parts: proto
            .parts
            .iter()
            .map(|part| digest(part))
            .collect::<Result<_, _>>()?,
        nodes: proto.nodes,
        upstream_states: proto.upstream_states,
    })
}

fn document(proto: generated::Document) -> Result<Option<Document>, WireError> {
    let document = match proto.content {
        None => None,
        Some(document::Content::Envelope(text)) => Some(Document::Envelope(text)),
        Some(document::Content::Part(value)) => Some(Document::Part(value)),
        Some(document::Content::Nodes(list)) => {
            let nodes = list.nodes.into_iter().map(node);
            Some(Document::Nodes(nodes.collect::<Result<_, _>>()?))
        }
    };
    Ok(document)
}

fn node(proto: generated::Node) -> Result<FleetNode, WireError> {
    Ok(FleetNode {
        address: proto.address.parse().map_err(malformed)?,
        name: proto.name,
        zone: proto.zone,
        leaving: proto.leaving,
    })
}

/// Skips items whose kind is unknown to this version.
fn news_items(proto: generated::NewsBatch) -> Result<Vec<(NewsId, News)>, WireError> {
    let mut items = Vec::with_capacity(proto.items.len());
    for item in proto.items {
        let id = NewsId {
            origin: item.origin.into(),
            start: item.start,
            number: item.number,
        };
        if let Some(content) = item.content {
            items.push((id, news(content)?));
        }
    }
    Ok(items)
}

fn news(content: news::Content) -> Result<News, WireError> {
    let news = match content {
        news::Content::Crash(crash) => News::Crash {
            digest: digest(&crash.digest)?,
            upstreams: crash.upstreams,
        },
        news::Content::Cold(start) => News::Cold {
            upstream: start.upstream,
            started_at_ms: start.started_at_ms,
            round: start.round,
        },
        news::Content::Warm(start) => News::Warm {
            upstream: start.upstream,
            started_at_ms: start.started_at_ms,
            round: start.round,
        },
    };
    Ok(news)
}

fn redeem(proto: generated::Redeem) -> Redeem {
    Redeem {
        call: proto.call,
        request_id: proto.request_id.into(),
        token: proto.token.into(),
        workspace: proto.tenant.into(),
        service: proto.service.into(),
        ticket: proto.ticket.into(),
        booking: proto.booking.into(),
        deadline: proto.deadline_ms.map(Duration::from_millis),
    }
}

fn redeemed(proto: generated::Redeemed) -> Option<Redeemed> {
    let outcome = match proto.outcome? {
        redeemed::Outcome::Booked(booked) => RedeemOutcome::Booked {
            booking_id: booked.booking_id,
            reply: BookingReply {
                accepted: booked.accepted,
                reference: booked.reference,
            },
            replayed: booked.replayed,
        },
        redeemed::Outcome::Refused(refused) => RedeemOutcome::Refused {
            kind: RefusalKind::from_name(&refused.kind).unwrap_or(RefusalKind::OutcomeUnknown),
            execution: if refused.not_run {
                Execution::NotRun
            } else {
                Execution::Unknown
            },
            detail: refused.detail,
        },
    };
    let call = proto.call;
    Some(Redeemed { call, outcome })
}
