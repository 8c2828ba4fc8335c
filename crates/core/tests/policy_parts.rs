//! Guards against faults in the parts of the search policy: unfair queueing between classes and workspaces, inaccurate
//! quantiles, an unbounded retry budget, and a concurrency limit that does not follow congestion.

use medlarpost_core::{
    concurrency_limit::ConcurrencyLimit, fair_queue::FairQueue,
    latency_histogram::LatencyHistogram, prelude::*, retry_budget::RetryBudget,
};
use std::collections::HashMap;

fn keys(count: usize) -> Vec<QueryKey> {
    let mut arena: SlotMap<QueryKey, ()> = SlotMap::with_key();
    (0..count).map(|_| arena.insert(())).collect()
}

#[test]
fn queue_serves_classes_by_weight_and_workspaces_in_turn() {
    let keys = keys(300);
    let workspaces: [Arc<str>; 3] = ["a", "b", "c"].map(Arc::from);
    let mut queue = FairQueue::default();
    let mut owner = HashMap::new();
    for (position, key) in keys.iter().enumerate() {
        let workspace = position / 100;
        let class = if workspace == 2 {
            ("light", 1)
        } else {
            ("heavy", 3)
        };
        queue.push(class, &workspaces[workspace], *key);
        owner.insert(*key, workspace);
    }

    let mut counts = [0; 3];
    for _ in 0..80 {
        let key = queue.pop().expect("300 queries are queued");
        counts[owner[&key]] += 1;
    }

    assert_eq!(counts, [30, 30, 20]);
}

#[test]
fn removed_query_is_not_popped() {
    let keys = keys(2);
    let mut queue = FairQueue::default();
    for key in &keys {
        queue.push(("class", 1), &Arc::from("tenant"), *key);
    }

    queue.remove(keys[0]);

    assert_eq!(
        (queue.len(), queue.pop(), queue.pop()),
        (1, Some(keys[1]), None)
    );
}

#[test]
fn histogram_quantiles_are_accurate_to_a_sixteenth() {
    let mut histogram = LatencyHistogram::default();
    for micros in 1..=1_000 {
        histogram.record(Duration::from_micros(micros * 10));
    }

    for (q, exact) in [
        (0.1, 1_000.0),
        (0.5, 5_000.0),
        (0.95, 9_500.0),
        (1.0, 10_000.0),
    ] {
        let found = histogram
            .quantile(q)
            .expect("the histogram has values")
            .as_micros() as f64;

        assert!(
            found >= exact * 0.99 && found <= exact * (1.0 + 1.0 / 16.0) + 1.0,
            "{q}: {found}"
        );
    }
}

#[test]
fn histogram_drops_old_values() {
    let mut histogram = LatencyHistogram::default();
    for _ in 0..2_000 {
        histogram.record(Duration::from_millis(100));
    }
    for _ in 0..1_100 {
        histogram.record(Duration::from_millis(1));
    }

    let highest = histogram.quantile(1.0).expect("the histogram has values");

    assert!(highest < Duration::from_millis(2), "{highest:?}");
}

#[test]
fn retry_budget_starts_empty_and_is_bounded() {
    let mut budget = RetryBudget::default();
    let at_start = budget.try_withdraw();
    for _ in 0..1_000_000 {
        budget.deposit(0.04);
    }

    let withdrawn = (0..1_000).filter(|_| budget.try_withdraw()).count();

    assert!(!at_start);
    assert_eq!(withdrawn, 20);
}

#[test]
fn concurrency_limit_shrinks_under_congestion_and_recovers() {
    let mut limit = ConcurrencyLimit::new(20, 100);
    let run_window = |limit: &mut ConcurrencyLimit, half_ms: u64| {
        for _ in 0..limit.current() {
            let running = limit.current();
            limit.record_query_end(
                Timestamp::from_millis(1),
                Some(Duration::from_millis(half_ms)),
                running,
            );
        }
    };
    run_window(&mut limit, 5);
    let usual = limit.current();

    for _ in 0..10 {
        run_window(&mut limit, 50);
    }
    let congested = limit.current();
    for _ in 0..20 {
        run_window(&mut limit, 5);
    }

    assert!(congested < usual / 2, "{congested}");
    assert!(limit.current() >= usual, "{}", limit.current());
}
