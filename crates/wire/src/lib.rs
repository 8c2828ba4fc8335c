//! Messages between the nodes of a fleet: framing, authentication and conversion to and from the types of the decisions.
//!
//! Generated types stay inside this crate.

pub mod fleet_key;
pub mod frame_codec;
pub mod handshake;
pub mod handshake_codec;
pub mod hello;
pub mod member_heartbeat_codec;
pub mod message;
pub mod prelude;
pub mod snapshot_codec;
pub mod wire_error;

mod decode;
mod encode;

mod generated_member {
    // Not a module file, so that the formatter leaves the generator's output as it is.
    include!("gen/medlarpost.member.rs");
}

mod generated_snapshot {
    // Not a module file, so that the formatter leaves the generator's output as it is.
    include!("gen/medlarpost.snapshot.rs");
}

mod generated {
    // Not a module file, so that the formatter leaves the generator's output as it is.
    include!("gen/medlarpost.link.rs");
}
