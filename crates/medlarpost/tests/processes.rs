//! Guards against node processes that can't serve, that lose or repeat work when one of them is killed, paused,
//! terminated or restarted, or that use an outdated configuration version afterwards.

mod common;

use awc::error::SendRequestError;
use common::process_fleet::{
    Caller, NODE_COUNT, ProcessFleet, Reply, RequestError, run_async_test, wait_until,
};
use medlarpost_fakes::prelude::*;
use medlarpost_node::control_task::FRESHNESS_PERIOD;
use rustix::process::Signal;
use std::{cell::Cell, collections::HashSet, rc::Rc};

/// Number of callers that send concurrently.
const CALLERS: usize = 4;

/// Upper bound for the requests of one caller.
const MAX_REQUESTS_PER_CALLER: usize = 5_000;

/// Zone that operators take out of service.
const OUT_ZONE: &str = "pl-a";

/// Query of a search and its reply or error.
type SearchOutcome = (String, Result<Reply, RequestError>);

/// Concurrent searches with unique queries, until the load is ended or the node refuses connections.
struct SearchLoad {
    callers: Vec<actix_rt::task::JoinHandle<Vec<SearchOutcome>>>,
    stop: Rc<Cell<bool>>,
}

impl SearchLoad {
    fn start(callers: Vec<Caller>) -> Self {
        let stop = Rc::new(Cell::new(false));
        let callers = callers.into_iter().enumerate().map(|(number, caller)| {
            let stop = Rc::clone(&stop);
            actix_rt::spawn(async move {
                let mut replies = Vec::new();
                while !stop.get() && replies.len() < MAX_REQUESTS_PER_CALLER {
                    let query = format!("load-{number}-{}", replies.len());
                    let reply = caller.search(&query).await;
                    let gone = matches!(
                        reply,
                        Err(RequestError::NoReply(SendRequestError::Connect(_)))
                    );
                    replies.push((query, reply));
                    if gone {
                        break;
                    }
                }
                replies
            })
        });
        Self {
            callers: callers.collect(),
            stop,
        }
    }

    async fn end(self) -> Vec<SearchOutcome> {
        self.stop.set(true);
        let mut replies = Vec::new();
        for caller in self.callers {
            replies.extend(caller.await.expect("the caller does not panic"));
        }
        replies
    }
}

/// Waits until the upstreams have recorded `min_count` matching events; returns all events recorded meanwhile.
async fn wait_for_events(
    fleet: &mut ProcessFleet,
    min_count: usize,
    matches_kind: impl Fn(&RecordedEvent) -> bool,
) -> Vec<RecordedEvent> {
    let mut events = Vec::new();
    wait_until("the upstreams run the work", async || {
        events.extend(fleet.take_events());
        events
            .iter()
            .filter(|recorded| matches_kind(recorded))
            .count()
            >= min_count
    })
    .await;
    events
}

fn is_search(recorded: &RecordedEvent) -> bool {
    matches!(recorded.event, FakeUpstreamEvent::ShardStarted { .. })
}

fn is_booking(recorded: &RecordedEvent) -> bool {
    matches!(recorded.event, FakeUpstreamEvent::BookingRan { .. })
}

/// Gets tickets from the first node and redeems them through all nodes in turn, until the first node issues no ticket.
/// Returns each ticket with the slot that was booked with it.
async fn book_until_no_ticket(callers: Vec<Caller>, number: usize) -> Vec<(String, u64)> {
    let mut tickets = Vec::new();
    while let Some(ticket) = callers[0].ticket().await
        && tickets.len() < MAX_REQUESTS_PER_CALLER
    {
        let slot = (number * MAX_REQUESTS_PER_CALLER + tickets.len()) as u64;
        // The reply may be lost with the node; the recorded events show what ran.
        let _reply = callers[tickets.len() % NODE_COUNT]
            .book(&ticket, slot)
            .await;
        tickets.push((ticket, slot));
    }
    tickets
}

/// Contents of the bookings that ran.
fn booking_contents(events: &[RecordedEvent]) -> Vec<&str> {
    let contents = events.iter().filter_map(|recorded| match &recorded.event {
        FakeUpstreamEvent::BookingRan { content, .. } => Some(&**content),
        _ => None,
    });
    contents.collect()
}

/// Queries of the searches of which at least one sub-request started.
fn started_queries(events: &[RecordedEvent]) -> HashSet<&str> {
    let queries = events.iter().filter_map(|recorded| match &recorded.event {
        FakeUpstreamEvent::ShardStarted { query, .. } => Some(&**query),
        _ => None,
    });
    queries.collect()
}

#[test]
fn node_processes_serve_searches_and_bookings() {
    run_async_test(async {
        let mut fleet = ProcessFleet::start().await;
        let callers: Vec<_> = (0..NODE_COUNT).map(|node| fleet.caller(node)).collect();

        let mut replies = Vec::new();
        for caller in &callers {
            replies.push(caller.search("one").await.expect("the node replies"));
        }
        let ticket = callers[0].ticket().await.expect("the node serves");
        let mut booked = None;
        wait_until("an upstream takes the booking", async || {
            booked = callers[0].book(&ticket, 1).await.ok();
            booked
                .as_ref()
                .is_some_and(|reply| reply.body["execution"] != "not run")
        })
        .await;

        assert!(replies.iter().all(Reply::has_full_coverage), "{replies:?}");
        assert_eq!(booked.map(|reply| reply.status), Some(200));
        assert_eq!(booking_contents(&fleet.take_events()).len(), 1);
    });
}

#[test]
fn killed_node_affects_no_peer_and_no_booking_runs_twice() {
    run_async_test(async {
        let mut fleet = ProcessFleet::start().await;
        let callers: Vec<_> = (0..NODE_COUNT).map(|node| fleet.caller(node)).collect();
        let unused = callers[0].ticket().await.expect("the node serves");
        let load = SearchLoad::start((0..CALLERS).map(|n| fleet.caller(1 + n % 2)).collect());
        let bookers: Vec<_> = (0..CALLERS)
            .map(|number| actix_rt::spawn(book_until_no_ticket(callers.clone(), number)))
            .collect();
        let mut events = wait_for_events(&mut fleet, 20, is_booking).await;

        fleet.kill_node(0).await;

        let mut tickets = vec![(unused, u64::MAX)];
        for booker in bookers {
            tickets.extend(booker.await.expect("the caller does not panic"));
        }
        let mut repeats = Vec::new();
        for (ticket, slot) in &tickets {
            repeats.push(callers[2].book(ticket, *slot).await);
        }
        events.extend(wait_for_events(&mut fleet, 100, is_search).await);
        let replies = load.end().await;
        events.extend(fleet.take_events());

        let is_unknown = |reply: &Reply| reply.body["execution"] == "unknown";
        let wrong = repeats
            .iter()
            .find(|reply| !reply.as_ref().is_ok_and(is_unknown));
        assert!(wrong.is_none(), "{wrong:?}");
        let failed = replies
            .iter()
            .find(|(_, reply)| !reply.as_ref().is_ok_and(Reply::has_full_coverage));
        assert!(failed.is_none(), "{failed:?}");
        let ran = booking_contents(&events);
        let unique: HashSet<_> = ran.iter().collect();
        assert_eq!(ran.len(), unique.len(), "{ran:?}");
    });
}

#[test]
fn resumed_node_sends_nothing_to_a_zone_that_was_taken_out() {
    run_async_test(async {
        let mut fleet = ProcessFleet::start().await;
        fleet.nodes[0].signal(Signal::STOP);
        // The kernel buffers these requests for the paused node, which reads them when it resumes.
        let buffered_load = SearchLoad::start((0..CALLERS).map(|_| fleet.caller(0)).collect());
        fleet.publish(2, Some(OUT_ZONE));
        for node in 1..NODE_COUNT {
            fleet.wait_for_version(node, 2).await;
        }
        // Long enough for the paused node's configuration to lose its freshness.
        actix_rt::time::sleep(FRESHNESS_PERIOD * 2).await;
        fleet.take_events();

        fleet.nodes[0].signal(Signal::CONT);

        fleet.wait_for_full_coverage(0).await;
        let replies = buffered_load.end().await;
        let events = fleet.take_events();

        assert_eq!(fleet.version(0).await, Some(2));
        for (query, reply) in replies {
            let reply = reply.expect("the node replies");
            let refused = reply.body["type"] == "urn:medlarpost:refusal:not-fresh";
            assert!(reply.status == 200 || refused, "{query}: {reply:?}");
        }
        assert!(!events.is_empty());
        let outside = events
            .iter()
            .find(|recorded| fleet.is_in_zone(&recorded.upstream, OUT_ZONE));
        assert_eq!(outside, None);
    });
}

#[test]
fn terminated_node_truncates_no_reply_and_exits_with_0() {
    run_async_test(async {
        let mut fleet = ProcessFleet::start().await;
        let load = SearchLoad::start((0..CALLERS).map(|_| fleet.caller(0)).collect());
        let mut events = wait_for_events(&mut fleet, 50, is_search).await;

        fleet.nodes[0].signal(Signal::TERM);

        let mut status = None;
        wait_until("the terminated process has ended", async || {
            events.extend(fleet.take_events());
            status = fleet.nodes[0].exit_status();
            status.is_some()
        })
        .await;
        let replies = load.end().await;
        events.extend(fleet.take_events());

        assert_eq!(status.and_then(|status| status.code()), Some(0));
        let ran = started_queries(&events);
        for (query, reply) in &replies {
            let whole = match reply {
                Ok(reply) => reply.has_full_coverage() || reply.body["execution"] == "not run",
                Err(RequestError::NoReply(_)) => !ran.contains(query.as_str()),
                Err(RequestError::TruncatedReply) => false,
            };
            assert!(whole, "{query}: {reply:?}");
        }
    });
}

#[test]
fn restarted_node_with_a_stale_platform_adopts_the_version_of_its_peers() {
    run_async_test(async {
        let mut fleet = ProcessFleet::start().await;
        fleet.publish(2, Some(OUT_ZONE));
        for node in 0..NODE_COUNT {
            fleet.wait_for_version(node, 2).await;
        }
        let stale = fleet.start_stale_listener();
        fleet.kill_node(0).await;
        fleet.take_events();

        fleet.restart_node(0, stale.address());

        fleet.wait_for_full_coverage(0).await;
        let events = fleet.take_events();

        assert_eq!(fleet.version(0).await, Some(2));
        assert!(!events.is_empty());
        let outside = events
            .iter()
            .find(|recorded| fleet.is_in_zone(&recorded.upstream, OUT_ZONE));
        assert_eq!(outside, None);
    });
}
