//! Guards against a node program that can't serve, that loses or repeats work when a process is killed, paused, stopped
//! or restarted, or that acts on an outdated version.

mod common;

use awc::error::SendRequestError;
use common::process_fleet::{Caller, Lost, NODES, ProcessFleet, Reply, run, until};
use medlarpost_fakes::prelude::*;
use medlarpost_node::control_task::FRESHNESS_PERIOD;
use rustix::process::Signal;
use std::{cell::Cell, collections::HashSet, rc::Rc};

/// Callers that send at the same time.
const CALLERS: usize = 4;

/// Most requests of one caller.
const MOST_REQUESTS: usize = 5_000;

/// Zone that operators take out.
const OUT: &str = "pl-a";

/// Text of a search and what became of it.
type Asked = (String, Result<Reply, Lost>);

/// Searches with unique texts by several callers, until they are told to stop or can't connect.
struct Load {
    callers: Vec<actix_rt::task::JoinHandle<Vec<Asked>>>,
    stop: Rc<Cell<bool>>,
}

impl Load {
    fn start(callers: Vec<Caller>) -> Self {
        let stop = Rc::new(Cell::new(false));
        let callers = callers.into_iter().enumerate().map(|(number, caller)| {
            let stop = Rc::clone(&stop);
            actix_rt::spawn(async move {
                let mut replies = Vec::new();
                while !stop.get() && replies.len() < MOST_REQUESTS {
                    let query = format!("load-{number}-{}", replies.len());
                    let reply = caller.search(&query).await;
                    let gone = matches!(reply, Err(Lost::NoReply(SendRequestError::Connect(_))));
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

    async fn end(self) -> Vec<Asked> {
        self.stop.set(true);
        let mut replies = Vec::new();
        for caller in self.callers {
            replies.extend(caller.await.expect("the caller does not panic"));
        }
        replies
    }
}

/// Waits until upstreams have done this many deeds of a kind.
async fn until_deeds(
    fleet: &mut ProcessFleet,
    least: usize,
    kind: impl Fn(&RecordedEvent) -> bool,
) -> Vec<RecordedEvent> {
    let mut entries = Vec::new();
    until("the upstreams run the work", async || {
        entries.extend(fleet.deeds());
        entries.iter().filter(|entry| kind(entry)).count() >= least
    })
    .await;
    entries
}

fn is_search(entry: &RecordedEvent) -> bool {
    matches!(entry.event, FakeUpstreamEvent::ShardStarted { .. })
}

fn is_booking(entry: &RecordedEvent) -> bool {
    matches!(entry.event, FakeUpstreamEvent::BookingRan { .. })
}

/// Gets tickets from the first node and redeems them through all nodes in turn, until the first node gives no ticket.
/// Returns the tickets and the slots that were booked with them.
async fn book_until_gone(callers: Vec<Caller>, number: usize) -> Vec<(String, u64)> {
    let mut tickets = Vec::new();
    while let Some(ticket) = callers[0].ticket().await
        && tickets.len() < MOST_REQUESTS
    {
        let slot = (number * MOST_REQUESTS + tickets.len()) as u64;
        // The reply may be lost with the node; the ledger tells what ran.
        let _reply = callers[tickets.len() % NODES].book(&ticket, slot).await;
        tickets.push((ticket, slot));
    }
    tickets
}

/// Texts of the bookings that ran.
fn bookings(entries: &[RecordedEvent]) -> Vec<&str> {
    let contents = entries.iter().filter_map(|entry| match &entry.event {
        FakeUpstreamEvent::BookingRan { content, .. } => Some(&**content),
        _ => None,
    });
    contents.collect()
}

/// Texts of the searches of which a sub-request was started.
fn searches(entries: &[RecordedEvent]) -> HashSet<&str> {
    let queries = entries.iter().filter_map(|entry| match &entry.event {
        FakeUpstreamEvent::ShardStarted { query, .. } => Some(&**query),
        _ => None,
    });
    queries.collect()
}

#[test]
fn fleet_of_processes_serves_searches_and_bookings() {
    run(async {
        let mut fleet = ProcessFleet::start().await;
        let callers: Vec<_> = (0..NODES).map(|node| fleet.caller(node)).collect();

        let mut replies = Vec::new();
        for caller in &callers {
            replies.push(caller.search("one").await.expect("the node replies"));
        }
        let ticket = callers[0].ticket().await.expect("the node serves");
        let mut booked = None;
        until("an upstream takes the booking", async || {
            booked = callers[0].book(&ticket, 1).await.ok();
            booked
                .as_ref()
                .is_some_and(|reply| reply.body["execution"] != "not run")
        })
        .await;

        assert!(replies.iter().all(Reply::is_full), "{replies:?}");
        assert_eq!(booked.map(|reply| reply.status), Some(200));
        assert_eq!(bookings(&fleet.deeds()).len(), 1);
    });
}

#[test]
fn killed_node_stops_no_peer_and_no_booking_runs_twice() {
    run(async {
        let mut fleet = ProcessFleet::start().await;
        let callers: Vec<_> = (0..NODES).map(|node| fleet.caller(node)).collect();
        let unused = callers[0].ticket().await.expect("the node serves");
        let load = Load::start((0..CALLERS).map(|n| fleet.caller(1 + n % 2)).collect());
        let bookers: Vec<_> = (0..CALLERS)
            .map(|number| actix_rt::spawn(book_until_gone(callers.clone(), number)))
            .collect();
        let mut entries = until_deeds(&mut fleet, 20, is_booking).await;

        fleet.kill(0).await;

        let mut tickets = vec![(unused, u64::MAX)];
        for booker in bookers {
            tickets.extend(booker.await.expect("the caller does not panic"));
        }
        let mut repeats = Vec::new();
        for (ticket, slot) in &tickets {
            repeats.push(callers[2].book(ticket, *slot).await);
        }
        entries.extend(until_deeds(&mut fleet, 100, is_search).await);
        let replies = load.end().await;
        entries.extend(fleet.deeds());

        let is_unknown = |reply: &Reply| reply.body["execution"] == "unknown";
        let wrong = repeats
            .iter()
            .find(|reply| !reply.as_ref().is_ok_and(is_unknown));
        assert!(wrong.is_none(), "{wrong:?}");
        let failed = replies
            .iter()
            .find(|(_, reply)| !reply.as_ref().is_ok_and(Reply::is_full));
        assert!(failed.is_none(), "{failed:?}");
        let ran = bookings(&entries);
        let unique: HashSet<_> = ran.iter().collect();
        assert_eq!(ran.len(), unique.len(), "{ran:?}");
    });
}

#[test]
fn node_that_wakes_after_a_pause_sends_nothing_to_a_zone_that_was_taken_out() {
    run(async {
        let mut fleet = ProcessFleet::start().await;
        fleet.nodes[0].signal(Signal::STOP);
        // The kernel keeps these requests for the node, which reads them when it wakes.
        let kept = Load::start((0..CALLERS).map(|_| fleet.caller(0)).collect());
        fleet.publish(2, Some(OUT));
        for node in 1..NODES {
            fleet.until_version(node, 2).await;
        }
        // Longer than the freshness, so that the paused node's freshness has lapsed.
        actix_rt::time::sleep(FRESHNESS_PERIOD * 2).await;
        fleet.deeds();

        fleet.nodes[0].signal(Signal::CONT);

        fleet.until_covering(0).await;
        let replies = kept.end().await;
        let entries = fleet.deeds();

        assert_eq!(fleet.version(0).await, Some(2));
        for (query, reply) in replies {
            let reply = reply.expect("the node replies");
            let refused = reply.body["type"] == "urn:medlarpost:refusal:not-fresh";
            assert!(reply.status == 200 || refused, "{query}: {reply:?}");
        }
        assert!(!entries.is_empty());
        let outside = entries
            .iter()
            .find(|entry| fleet.is_in(&entry.upstream, OUT));
        assert_eq!(outside, None);
    });
}

#[test]
fn terminated_node_cuts_off_no_request() {
    run(async {
        let mut fleet = ProcessFleet::start().await;
        let load = Load::start((0..CALLERS).map(|_| fleet.caller(0)).collect());
        let mut entries = until_deeds(&mut fleet, 50, is_search).await;

        fleet.nodes[0].signal(Signal::TERM);

        let mut status = None;
        until("the terminated process has ended", async || {
            entries.extend(fleet.deeds());
            status = fleet.nodes[0].ended();
            status.is_some()
        })
        .await;
        let replies = load.end().await;
        entries.extend(fleet.deeds());

        assert_eq!(status.and_then(|status| status.code()), Some(0));
        let ran = searches(&entries);
        for (query, reply) in &replies {
            let whole = match reply {
                Ok(reply) => reply.is_full() || reply.body["execution"] == "not run",
                Err(Lost::NoReply(_)) => !ran.contains(query.as_str()),
                Err(Lost::Cut) => false,
            };
            assert!(whole, "{query}: {reply:?}");
        }
    });
}

#[test]
fn restarted_node_with_a_stale_platform_serves_no_older_version_than_its_peers() {
    run(async {
        let mut fleet = ProcessFleet::start().await;
        fleet.publish(2, Some(OUT));
        for node in 0..NODES {
            fleet.until_version(node, 2).await;
        }
        let stale = fleet.start_stale_listener();
        fleet.kill(0).await;
        fleet.deeds();

        fleet.start_again(0, stale.address());

        fleet.until_covering(0).await;
        let entries = fleet.deeds();

        assert_eq!(fleet.version(0).await, Some(2));
        assert!(!entries.is_empty());
        let outside = entries
            .iter()
            .find(|entry| fleet.is_in(&entry.upstream, OUT));
        assert_eq!(outside, None);
    });
}
