//! The platform's load balancer: checks the readiness of each node and offers the ready ones to callers.

use medlarpost_fakes::prelude::*;
use medlarpost_node::node::NodeAddresses;

const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(50);

const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(500);

const MAX_CONNECTIONS_PER_NODE: usize = 10_000;

/// A node in service. Its client, and with it all connections to the node, is dropped when the node goes out of
/// service.
#[derive(Clone)]
pub(crate) struct Target {
    pub(crate) node: String,
    pub(crate) address: SocketAddr,
    pub(crate) client: awc::Client,
    admin: SocketAddr,
}

impl Debug for Target {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Target")
            .field("node", &self.node)
            .finish_non_exhaustive()
    }
}

/// A node of the balancer's pool, in service only while its readiness check passes.
#[derive(Clone, Debug)]
pub(crate) struct PoolMember {
    pub(crate) node: String,
    pub(crate) addresses: NodeAddresses,
}

/// The nodes in service; changes when one becomes ready or stops being ready.
pub(crate) type Targets = watch::Receiver<Vec<Target>>;

/// Starts the balancer task, which ends when the sender of `members` is dropped.
pub(crate) fn start(members: watch::Receiver<Vec<PoolMember>>) -> Targets {
    let (tx, rx) = watch::channel(Vec::new());
    actix_rt::spawn(run(members, tx));
    rx
}

async fn run(members: watch::Receiver<Vec<PoolMember>>, targets: watch::Sender<Vec<Target>>) {
    let health_client = awc::Client::builder()
        .timeout(HEALTH_CHECK_TIMEOUT)
        .finish();
    while members.has_changed().is_ok() {
        let known = members.borrow().clone();
        let probes = known
            .iter()
            .map(|member| is_ready(&health_client, member.addresses.admin));
        let ready = futures_util::future::join_all(probes).await;
        let ready: Vec<PoolMember> = known
            .into_iter()
            .zip(ready)
            .filter_map(|(member, ready)| ready.then_some(member))
            .collect();
        targets.send_if_modified(|targets| update_targets(targets, ready));
        actix_rt::time::sleep(HEALTH_CHECK_INTERVAL).await;
    }
}

async fn is_ready(health_client: &awc::Client, admin: SocketAddr) -> bool {
    let reply = health_client
        .get(format!("http://{admin}/readyz"))
        .force_close()
        .send()
        .await;
    reply.is_ok_and(|reply| reply.status().is_success())
}

fn update_targets(targets: &mut Vec<Target>, ready: Vec<PoolMember>) -> bool {
    let before: Vec<_> = targets.iter().map(|target| target.admin).collect();
    *targets = ready
        .into_iter()
        .map(|member| {
            let kept = targets
                .iter()
                .find(|target| target.admin == member.addresses.admin);
            kept.cloned().unwrap_or_else(|| Target {
                node: member.node,
                address: member.addresses.callers,
                client: caller_client(),
                admin: member.addresses.admin,
            })
        })
        .collect();
    let after: Vec<_> = targets.iter().map(|target| target.admin).collect();
    before != after
}

fn caller_client() -> awc::Client {
    let connector = awc::Connector::new().limit(MAX_CONNECTIONS_PER_NODE);
    awc::Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .finish()
}
