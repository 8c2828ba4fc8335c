//! Protocols between the nodes of a fleet: framing, authentication, and conversion between protobuf and the types of
//! `medlarpost-core`.
//!
//! The generated protobuf types are private to this crate.

pub mod fleet_key;
pub mod frame_codec;
pub mod handshake;
pub mod handshake_codec;
pub mod hello;
pub mod member_datagram;
pub mod member_heartbeat_codec;
pub mod message;
pub mod observation_codec;
pub mod prelude;
pub mod snapshot_codec;
pub mod wire_error;

mod decode;
mod encode;
mod millis;
mod quota_codec;

#[expect(clippy::struct_field_names, reason = "names of the protocol")]
mod generated_member {
    // Included instead of declared as a module file, so that rustfmt leaves the generated code unchanged.
    include!("gen/medlarpost.member.rs");
}

mod generated_snapshot {
    // Included instead of declared as a module file, so that rustfmt leaves the generated code unchanged.
    include!("gen/medlarpost.snapshot.rs");
}

mod generated {
    // Included instead of declared as a module file, so that rustfmt leaves the generated code unchanged.
    include!("gen/medlarpost.link.rs");
}
