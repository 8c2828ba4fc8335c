//! A caller whose query crashes the upstreams that run it and who resends it through other nodes.

use crate::{balancer::Targets, query_id::QueryId, search_load::Query};
use medlarpost_fakes::{prelude::*, upstream_task::CRASH_TEXT};
use std::time::Instant;

const ATTEMPTS: usize = 6;

const RESEND_DELAY: Duration = Duration::from_millis(300);

/// Sends the query [`ATTEMPTS`] times, to the nodes in service in turn; `number` makes its text unique in the run.
pub(crate) async fn run(
    targets: Targets,
    shards: watch::Receiver<BTreeMap<u64, u32>>,
    (workspace, service): (&'static str, &'static str),
    number: u64,
) {
    for attempt in 0..ATTEMPTS {
        let target = {
            let targets = targets.borrow();
            targets.get(attempt % targets.len().max(1)).cloned()
        };
        let query = Query {
            number,
            workspace,
            service,
            id: QueryId {
                text: format!("{CRASH_TEXT} {number}").into(),
                limit: 100,
            },
            intended_start: Instant::now(),
            caller_delay: Duration::ZERO,
        };
        query.send(target, shards.clone()).await;
        actix_rt::time::sleep(RESEND_DELAY).await;
    }
}
