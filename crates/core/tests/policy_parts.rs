//! Guards against faults of single parts of the policy: unfair turns, quantiles that are off, a budget that grows.

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
fn classes_take_turns_by_weight_and_tenants_one_by_one() {
    let keys = keys(300);
    let tenants: [Arc<str>; 3] = ["a", "b", "c"].map(Arc::from);
    let mut queue = FairQueue::default();
    let mut owner = HashMap::new();
    for (position, key) in keys.iter().enumerate() {
        let tenant = position / 100;
        let class = if tenant == 2 {
            ("light", 1)
        } else {
            ("heavy", 3)
        };
        queue.push(class, &tenants[tenant], *key);
        owner.insert(*key, tenant);
    }

    let mut counts = [0; 3];
    for _ in 0..80 {
        let key = queue.pop().expect("300 wait");
        counts[owner[&key]] += 1;
    }

    assert_eq!(counts, [30, 30, 20]);
}

#[test]
fn removed_query_is_not_returned() {
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
fn quantiles_are_within_a_sixteenth() {
    let mut window = LatencyHistogram::default();
    for micros in 1..=1_000 {
        window.record(Duration::from_micros(micros * 10));
    }

    for (q, exact) in [
        (0.1, 1_000.0),
        (0.5, 5_000.0),
        (0.95, 9_500.0),
        (1.0, 10_000.0),
    ] {
        let found = window.quantile(q).expect("there are values").as_micros() as f64;

        assert!(
            found >= exact * 0.99 && found <= exact * (1.0 + 1.0 / 16.0) + 1.0,
            "{q}: {found}"
        );
    }
}

#[test]
fn window_forgets_old_values() {
    let mut window = LatencyHistogram::default();
    for _ in 0..2_000 {
        window.record(Duration::from_millis(100));
    }
    for _ in 0..1_100 {
        window.record(Duration::from_millis(1));
    }

    let highest = window.quantile(1.0).expect("there are values");

    assert!(highest < Duration::from_millis(2), "{highest:?}");
}

#[test]
fn budget_starts_empty_and_saves_a_bounded_amount() {
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
fn limit_shrinks_under_congestion_and_grows_again() {
    let mut limit = ConcurrencyLimit::new(20, 100);
    let round = |limit: &mut ConcurrencyLimit, half_ms: u64| {
        for _ in 0..limit.current() {
            let running = limit.current();
            limit.record_query_end(
                Timestamp::from_millis(1),
                Some(Duration::from_millis(half_ms)),
                running,
            );
        }
    };
    round(&mut limit, 5);
    let usual = limit.current();

    for _ in 0..10 {
        round(&mut limit, 50);
    }
    let congested = limit.current();
    for _ in 0..20 {
        round(&mut limit, 5);
    }

    assert!(congested < usual / 2, "{congested}");
    assert!(limit.current() >= usual, "{}", limit.current());
}
