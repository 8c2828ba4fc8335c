//! Guards against a fake platform whose entrances don't answer as their mode says.

use medlarpost_fakes::prelude::*;
use medlarpost_node::platform_client::PlatformClient;

#[actix_rt::test]
async fn a_current_entrance_gives_the_newest_revision() {
    let (platform, listener) = platform();
    publish(&platform, 1);
    publish(&platform, 2);

    let reply = watch(&listener).await.expect("a reply");

    assert_eq!(reply.revision, 2);
}

#[actix_rt::test]
async fn a_stale_entrance_gives_what_was_published_before() {
    let (platform, listener) = platform();
    publish(&platform, 1);
    let older = watch(&listener).await.expect("a reply");
    publish(&platform, 2);
    listener.set_mode(PlatformMode::Stale);

    let reply = watch(&listener).await.expect("a reply");

    assert_eq!(reply, older);
}

#[actix_rt::test]
async fn a_silent_entrance_answers_nobody_until_it_is_current_again() {
    let (platform, listener) = platform();
    publish(&platform, 1);
    listener.set_mode(PlatformMode::Silent);

    let silent = watch(&listener).await;
    listener.set_mode(PlatformMode::Current);
    let current = watch(&listener).await;

    assert_eq!(silent, None);
    assert!(current.is_some());
}

#[actix_rt::test]
async fn an_entrance_can_have_a_list_of_vms_of_its_own() {
    let (platform, listener) = platform();
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

    let reply = watch(&listener).await.expect("a reply");

    let client = PlatformClient::new(listener.address());
    let value = client.read_value(reply.vms.expect("a list")).await;
    let found: VmList = serde_json::from_slice(&value.expect("a value")).expect("a list of VMs");
    assert_eq!(found, list);
}

fn platform() -> (FakePlatform, PlatformListener) {
    let mut platform = FakePlatform::start(loopback(), Workers::start(1))
        .expect("a loopback address can be listened on");
    let listener = platform
        .open_listener(loopback())
        .expect("a loopback address can be listened on");
    (platform, listener)
}

fn publish(platform: &FakePlatform, version: u64) {
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
