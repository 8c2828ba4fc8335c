//! Common types, imported by the modules of this crate and by its users.

pub use crate::{
    deployment::{Deployment, UpstreamPool},
    event_recorder::{EventRecorder, FakeUpstreamEvent, RecordedEvent},
    fake_platform::FakePlatform,
    fake_upstream::FakeUpstream,
    owner_keys::OwnerKeys,
    platform_directory::{DirectoryContents, PlatformDirectory},
    platform_listener::{PlatformListener, PlatformMode},
    tcp_relay::TcpRelay,
    upstream_behaviour::UpstreamBehaviour,
    upstream_command::UpstreamCommand,
    upstream_replies::HitOrigin,
};

pub use medlarpost_node::{
    platform_client::{Vm, VmList, VmState, WatchReply},
    prelude::*,
};
