//! Permission to write sub-requests to an upstream, which the engine can withdraw until they are written.

use crate::prelude::*;
use actix_http::body::{BodySize, MessageBody};
use std::{
    fmt::{self, Display, Formatter},
    pin::Pin,
    task::{Context, Poll},
};

/// Issues the permits of one upstream. Owned by the engine task.
#[derive(Debug, Default)]
pub struct PermitIssuer {
    /// Number of withdrawals so far.
    withdrawals: watch::Sender<u64>,
}

impl PermitIssuer {
    /// An issuer that has not withdrawn anything.
    pub fn new() -> Self {
        Self::default()
    }

    /// Permit for a sub-request that is sent now.
    pub fn issue(&self) -> SendPermit {
        let withdrawals = self.withdrawals.subscribe();
        let issued_after = *withdrawals.borrow();
        SendPermit {
            issued_after,
            withdrawals,
        }
    }

    /// Withdraws all permits issued so far. What has been written already is not affected.
    pub fn withdraw(&self) {
        self.withdrawals.send_modify(|count| *count += 1);
    }
}

/// Permission to write one sub-request.
#[derive(Clone, Debug)]
pub struct SendPermit {
    /// Number of withdrawals when it was issued.
    issued_after: u64,
    withdrawals: watch::Receiver<u64>,
}

impl SendPermit {
    /// Whether the sub-request may still be written.
    pub fn is_valid(&self) -> bool {
        *self.withdrawals.borrow() == self.issued_after
    }
}

/// The permit of a sub-request was withdrawn before its body was written.
#[derive(Clone, Copy, Debug)]
pub struct PermitWithdrawn;

impl Display for PermitWithdrawn {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("the sub-request was withdrawn before it was written")
    }
}

impl std::error::Error for PermitWithdrawn {}

/// Body of a sub-request, whose permit is checked when the connection is open and ready for it. Without its body the
/// upstream can't run the sub-request.
#[derive(Debug)]
pub struct PermittedBody {
    /// Not empty until it is written: the permit of an empty body would never be checked.
    bytes: Bytes,
    permit: SendPermit,
}

impl PermittedBody {
    /// Body with this content, which must not be empty.
    pub fn new(bytes: Bytes, permit: SendPermit) -> Self {
        Self { bytes, permit }
    }
}

impl MessageBody for PermittedBody {
    type Error = PermitWithdrawn;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.bytes.len() as u64)
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        if self.bytes.is_empty() {
            return Poll::Ready(None);
        }
        if !self.permit.is_valid() {
            return Poll::Ready(Some(Err(PermitWithdrawn)));
        }
        Poll::Ready(Some(Ok(std::mem::take(&mut self.bytes))))
    }
}
