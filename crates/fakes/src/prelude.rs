//! Common types, imported by the modules of this crate and by its users.

pub use crate::{
    deployment::{Deployment, Pool},
    fake_platform::FakePlatform,
    fake_upstream::FakeUpstream,
    gate::Gate,
    ledger::{Deed, Ledger, LedgerEntry},
    owner_keys::OwnerKeys,
    platform_directory::{DirectoryContents, PlatformDirectory},
    platform_entrance::{PlatformEntrance, PlatformMode},
    upstream_behaviour::UpstreamBehaviour,
    upstream_order::UpstreamCommand,
    upstream_replies::HitMark,
};

pub use medlarpost_node::{
    platform_client::{Vm, VmList, VmState, WatchReply},
    prelude::*,
};
