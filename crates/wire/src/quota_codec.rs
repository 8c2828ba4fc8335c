//! Conversion of the messages about quotas between protobuf and the types of the core.

use crate::{
    generated_member::{self as gen_member, quota::Content},
    millis::encode_millis,
    prelude::*,
};
use medlarpost_core::quota_message::{MAX_GRANT, MAX_QUOTA_ENTRIES};

/// Longest name of a workspace in a message, in bytes. A longer one is not shared between nodes.
const MAX_WORKSPACE_BYTES: usize = 200;

/// Upper bound for the times in a message; longer ones are cut to it.
const MAX_TIME: Duration = Duration::from_mins(1);

pub(crate) fn encode_quota_message(message: &QuotaMessage) -> gen_member::Quota {
    match message {
        QuotaMessage::Request {
            id,
            to_delegate,
            served,
            requests,
        } => {
            let requests = requests.iter().filter(|req| is_name(&req.workspace));
            let asks = requests.map(|req| gen_member::Ask {
                workspace: req.workspace.to_string(),
                wanted: req.wanted,
            });
            let asks = asks.collect();
            gen_member::Quota {
                id: *id,
                content: Some(Content::Asks(gen_member::Asks {
                    asks,
                    to_delegate: *to_delegate,
                    served: *served,
                })),
            }
        }
        QuotaMessage::Reply {
            id,
            pause,
            delegates,
            grants,
        } => {
            let grants = grants.iter().filter(|grant| is_name(&grant.workspace));
            let grants = grants.map(|grant| gen_member::Grant {
                workspace: grant.workspace.to_string(),
                tokens: grant.tokens,
                retry_after_ms: encode_time(grant.retry_after),
                lifetime_ms: grant.lifetime.map_or(0, encode_lifetime),
            });
            let grants = gen_member::Grants {
                pause_ms: encode_time(*pause),
                grants: grants.collect(),
                delegates: *delegates,
            };
            gen_member::Quota {
                id: *id,
                content: Some(Content::Grants(grants)),
            }
        }
    }
}

/// Decodes a message; `None` if its kind is unknown. Entries beyond the bounds are left out.
pub(crate) fn decode_quota_message(message: gen_member::Quota) -> Option<QuotaMessage> {
    let id = message.id;
    match message.content? {
        Content::Asks(message) => {
            let asks = message.asks.into_iter().take(MAX_QUOTA_ENTRIES);
            let asks = asks.filter(|ask| is_name(&ask.workspace));
            let requests = asks.map(|ask| GrantRequest {
                workspace: ask.workspace.into(),
                wanted: ask.wanted.min(MAX_GRANT),
            });
            let requests = requests.collect();
            Some(QuotaMessage::Request {
                id,
                to_delegate: message.to_delegate,
                served: message.served,
                requests,
            })
        }
        Content::Grants(message) => {
            let grants = message.grants.into_iter().take(MAX_QUOTA_ENTRIES);
            let grants = grants.filter(|grant| is_name(&grant.workspace));
            let grants = grants.map(|grant| QuotaGrant {
                workspace: grant.workspace.into(),
                tokens: grant.tokens.min(MAX_GRANT),
                retry_after: decode_time(grant.retry_after_ms),
                lifetime: (grant.lifetime_ms > 0).then(|| decode_time(grant.lifetime_ms)),
            });
            Some(QuotaMessage::Reply {
                id,
                pause: decode_time(message.pause_ms),
                delegates: message.delegates,
                grants: grants.collect(),
            })
        }
    }
}

fn is_name(workspace: &str) -> bool {
    (1..=MAX_WORKSPACE_BYTES).contains(&workspace.len())
}

/// Whole milliseconds, rounded up so that a time which is not zero stays so.
fn encode_time(time: Duration) -> u32 {
    let millis = time.min(MAX_TIME).as_micros().div_ceil(1_000);
    u32::try_from(millis).unwrap_or(u32::MAX)
}

/// Whole milliseconds, rounded down so that a grant does not last longer; at least one, because zero means none.
fn encode_lifetime(lifetime: Duration) -> u32 {
    encode_millis(lifetime.min(MAX_TIME)).max(1)
}

fn decode_time(millis: u32) -> Duration {
    Duration::from_millis(millis.into()).min(MAX_TIME)
}
