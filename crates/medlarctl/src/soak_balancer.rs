//! The platform's balancer, as far as callers of a soak see it.

use medlarpost_stand_in::{Caller, get_request};
use std::{net::SocketAddr, time::Duration};
use tokio::sync::watch;

/// Time between two checks of a node, and the time that it has to answer one.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Checks in a row that a node misses before it gets no more connections.
const MISSES: u32 = 2;

/// Checks a node for as long as somebody listens, and says whether it gets connections.
pub(crate) async fn check(address: SocketAddr, ready: watch::Sender<bool>) {
    let mut misses = MISSES;
    while !ready.is_closed() {
        let passed = passes(address).await;
        misses = if passed { 0 } else { misses + 1 };
        ready.send_if_modified(|ready| {
            let now = passed || (*ready && misses < MISSES);
            std::mem::replace(ready, now) != now
        });
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Nodes that callers get: those that are ready, or all if these are fewer than half.
pub(crate) fn in_rotation(ready: &[watch::Receiver<bool>]) -> Vec<usize> {
    let all = 0..ready.len();
    let in_service: Vec<_> = all.clone().filter(|node| *ready[*node].borrow()).collect();
    if in_service.len() * 2 < ready.len() {
        return all.collect();
    }
    in_service
}

async fn passes(address: SocketAddr) -> bool {
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
