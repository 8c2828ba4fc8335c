//! Guards against a node that looks alive although a task that it can't do without has ended by a panic.

use actix_http::{RequestHead, ResponseHead, StatusCode};
use medlarpost_node::{
    admin_token::AdminToken,
    dialect::{Dialect, HttpAnswer, RequestError},
    forward_node::{ForwardNode, ForwardNodeSettings},
    prelude::*,
    registry::{Changes, Registry, RegistryDocument, RegistryError, Removal},
};
use slog::{Discard, o};

/// A registry whose first item ends the task that reads it.
struct PanickingRegistry;

impl Registry for PanickingRegistry {
    async fn list(&self, _timeout: Duration) -> Result<Snapshot, RegistryError> {
        panic!("an item that no test foresaw")
    }

    async fn watch(&self, _after: u64, _times: WatchTimes) -> Result<Changes, RegistryError> {
        Err(RegistryError::HistoryLost)
    }

    fn parse_item(&self, _item: &PublishedItem) -> Option<RegistryDocument> {
        None
    }

    fn parse_removal(&self, _key: &str) -> Option<Removal> {
        None
    }
}

/// A dialect of which no message is used.
#[derive(Clone)]
struct UnusedDialect;

impl Dialect for UnusedDialect {
    fn parse_request(
        &self,
        _head: &RequestHead,
        _body: Bytes,
    ) -> Result<ForwardRequest, RequestError> {
        Err(RequestError {
            status: StatusCode::BAD_REQUEST,
            reason: "unused",
        })
    }

    fn encode_answer(&self, _answer: ForwardAnswer) -> HttpAnswer {
        HttpAnswer::empty(StatusCode::BAD_GATEWAY)
    }

    fn encode_upstream_request(
        &self,
        _request: &ForwardRequest,
        _identity: &CallerIdentity,
        _instance: &str,
        _time_left: Duration,
    ) -> Option<RequestHead> {
        None
    }

    fn is_reply_to(&self, _request: &ForwardRequest, _head: &ResponseHead) -> bool {
        true
    }

    fn parse_upstream_reply(
        &self,
        _request: &ForwardRequest,
        _head: &ResponseHead,
        _body: Bytes,
    ) -> (ForwardOutcome, UpstreamReport) {
        (ForwardOutcome::Invalid, UpstreamReport::default())
    }
}

fn settings(ip: &str) -> ForwardNodeSettings {
    let address = |port: u16| format!("{ip}:{port}").parse().expect("an address");
    ForwardNodeSettings {
        callers: address(18_080),
        readiness: address(18_081),
        metrics: address(18_082),
        membership: MembershipSettings {
            address: address(18_083),
            seeds: Vec::new(),
            initial_fleet_size: 1,
            seed: 1,
        },
        forwarder: ForwarderSettings {
            zone: "z-a".into(),
            regions: BTreeMap::new(),
            limits: FleetLimits {
                extra_ratio: 0.2,
                extra_slack: 50.0,
                extra_window: Duration::from_secs(10),
                cold_excess: 1.5,
                cold_slack: 5.0,
                quotas: None,
            },
            cross_zone_cost: 0.5,
            answer_margin: Duration::from_millis(10),
            initial_fleet_size: 1,
            revoke_within: None,
            seed: 1,
        },
        admin_token: AdminToken::default(),
        registry: RegistryBounds {
            contact: Duration::from_secs(2),
            drain: Duration::from_secs(2),
            config_apply: Duration::from_secs(2),
            evacuate: Duration::from_secs(2),
            revoke: None,
        }
        .limits(),
        reply_memory_bytes: 1_000_000,
        balancer_lag: Duration::ZERO,
        stop_within: Duration::from_secs(1),
    }
}

#[actix_rt::test]
async fn panic_of_an_essential_task_is_reported() {
    let log = Logger::root(Discard, o!());
    let node = ForwardNode::bind(settings("127.73.0.1"), log).expect("the ports are free");
    let mut node = node
        .start(UnusedDialect, PanickingRegistry)
        .expect("the node starts");

    let failed = tokio::time::timeout(Duration::from_secs(10), node.failed_task()).await;

    assert_eq!(failed, Ok("registry"));
}
