//! Common types, imported by the modules and the users of this crate.

pub use crate::{
    fleet_key::FleetKey,
    frame_codec::FrameCodec,
    handshake::{Handshake, Side},
    handshake_codec::HandshakeCodec,
    hello::Hello,
    message::{Document, DocumentRequest, Heartbeat, Message, Redeem, RedeemOutcome, Redeemed},
    wire_error::{self, WireError},
};

pub(crate) use {
    bytes::{Buf as _, BufMut as _, Bytes, BytesMut},
    medlarpost_core::prelude::*,
};
