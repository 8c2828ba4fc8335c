//! Model of the platform's load balancer: which nodes the callers of a soak may connect to.

use medlarpost_stand_in::{Caller, get_request};
use std::{net::SocketAddr, time::Duration};
use tokio::sync::watch;

/// Time between two readiness checks of a node, and the time-out of each.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Consecutive failed checks after which a node gets no more connections.
const UNREADY_AFTER_FAILURES: u32 = 2;

/// Checks the readiness of a node at intervals and publishes changes, for as long as `ready` has receivers.
pub(crate) async fn watch_readiness(address: SocketAddr, ready: watch::Sender<bool>) {
    let mut failures = UNREADY_AFTER_FAILURES;
    while !ready.is_closed() {
        let passed = passes_check(address).await;
        failures = if passed { 0 } else { failures + 1 };
        ready.send_if_modified(|ready| {
            let now = passed || (*ready && failures < UNREADY_AFTER_FAILURES);
            std::mem::replace(ready, now) != now
        });
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Positions of the nodes that callers may connect to: those that are ready, or all if fewer than half are.
pub(crate) fn in_rotation(ready: &[watch::Receiver<bool>]) -> Vec<usize> {
    let all = 0..ready.len();
    let in_service: Vec<_> = all.clone().filter(|node| *ready[*node].borrow()).collect();
    if in_service.len() * 2 < ready.len() {
        return all.collect();
    }
    in_service
}

async fn passes_check(address: SocketAddr) -> bool {
    let check = async {
        let mut caller = Caller::try_connect(address).await.ok()?;
        caller
            .try_send(&get_request("/ready", "check"))
            .await
            .ok()?;
        let answer = caller.read_answer_within(CHECK_INTERVAL).await.ok()?;
        answer.is_success().then_some(())
    };
    let checked = tokio::time::timeout(CHECK_INTERVAL, check).await;
    checked.is_ok_and(|passed| passed.is_some())
}
