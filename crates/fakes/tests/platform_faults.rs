//! Guards against listeners of the fake platform that don't answer according to their mode.

use medlarpost_fakes::prelude::*;
use medlarpost_node::platform_client::PlatformClient;

#[actix_rt::test]
async fn a_current_listener_returns_the_newest_revision() {
    let (platform, listener) = start_platform();
    publish_bundle(&platform, 1);
    publish_bundle(&platform, 2);

    let reply = watch(&listener).await.expect("the platform replies");

    assert_eq!(reply.revision, 2);
}

#[actix_rt::test]
async fn a_stale_listener_returns_the_state_before_the_last_bundle() {
    let (platform, listener) = start_platform();
    publish_bundle(&platform, 1);
    let older = watch(&listener).await.expect("the platform replies");
    publish_bundle(&platform, 2);
    listener.set_mode(PlatformMode::Stale);

    let reply = watch(&listener).await.expect("the platform replies");

    assert_eq!(reply, older);
}

#[actix_rt::test]
async fn a_silent_listener_does_not_answer_until_it_is_current_again() {
    let (platform, listener) = start_platform();
    publish_bundle(&platform, 1);
    listener.set_mode(PlatformMode::Silent);

    let silent = watch(&listener).await;
    listener.set_mode(PlatformMode::Current);
    let current = watch(&listener).await;

    assert_eq!(silent, None);
    assert!(current.is_some());
}

#[actix_rt::test]
async fn a_listener_can_have_its_own_list_of_vms() {
    let (platform, listener) = start_platform();
    platform.publish_vms(&VmList::default());
    let list = VmList {
        vms: vec![Vm {
            name: "node-1".to_owned(),
            address: loopback(),
            zone: "pl-a".to_owned(),
            state: VmState::Live,
        }],
    };
    listener.set_vms(&list);

    let reply = watch(&listener).await.expect("the platform replies");

    let client = PlatformClient::new(listener.address());
    let value = client.read_value(reply.vms.expect("a list")).await;
    let found: VmList = serde_json::from_slice(&value.expect("a value")).expect("a list of VMs");
    assert_eq!(found, list);
}

fn start_platform() -> (FakePlatform, PlatformListener) {
    let mut platform = FakePlatform::start(loopback(), Workers::start(1))
        .expect("a loopback address can be bound");
    let listener = platform
        .open_listener(loopback())
        .expect("a loopback address can be bound");
    (platform, listener)
}

fn publish_bundle(platform: &FakePlatform, version: u64) {
    let bundle = Deployment::tunelix().bundle(version, &HashMap::new());
    let (envelope, parts) = OwnerKeys::from_seed(1).sign_bundle(&bundle);
    platform.publish(&envelope, parts);
}

async fn watch(listener: &PlatformListener) -> Option<WatchReply> {
    let client = PlatformClient::new(listener.address());
    client.watch(0, Duration::from_millis(50)).await.ok()
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
