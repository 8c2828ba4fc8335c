//! Guards against replies without end that use up the memory of the VM, or that end the replies of sound upstreams.

use medlarpost_node::{
    prelude::{AttemptKey, SlotMap, UpstreamKey},
    reply_memory::{ReplyMemory, ReplySize},
};
use proptest::{prelude::*, test_runner::RngSeed};

const LIMIT: usize = 1_000_000;

fn attempts(count: usize) -> Vec<AttemptKey> {
    let mut arena = SlotMap::with_key();
    (0..count).map(|_| arena.insert(())).collect()
}

fn size(bytes: usize) -> ReplySize {
    let mut arena = SlotMap::<UpstreamKey, ()>::with_key();
    ReplySize {
        upstream: arena.insert(()),
        bytes,
    }
}

#[test]
fn largest_reply_is_ended_when_the_sum_exceeds_the_limit() {
    let attempts = attempts(3);
    let mut memory = ReplyMemory::new(LIMIT);

    let first = memory.grow(attempts[0], size(600_000));
    let second = memory.grow(attempts[1], size(300_000));
    let third = memory.grow(attempts[2], size(200_000));

    assert_eq!((first, second), (vec![], vec![]));
    assert_eq!(third, [(attempts[0], size(600_000))]);
}

#[test]
fn ended_attempts_no_longer_count() {
    let attempts = attempts(2);
    let mut memory = ReplyMemory::new(LIMIT);
    memory.grow(attempts[0], size(900_000));

    memory.release(attempts[0]);

    assert_eq!(memory.grow(attempts[1], size(900_000)), []);
}

#[test]
fn growth_of_one_reply_counts_once() {
    let attempts = attempts(1);
    let mut memory = ReplyMemory::new(LIMIT);

    let ended = (1..=10).flat_map(|step| memory.grow(attempts[0], size(step * 90_000)));

    assert_eq!(ended.count(), 0);
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(37),
        ..ProptestConfig::default()
    })]

    #[test]
    fn replies_that_go_on_hold_no_more_than_the_limit(
        steps in proptest::collection::vec((0_usize..20, 1_usize..400_000, any::<bool>()), 1..200),
    ) {
        let attempts = attempts(20);
        let mut memory = ReplyMemory::new(LIMIT);
        let mut held = [0; 20];

        for (number, bytes, ends) in steps {
            if ends {
                memory.release(attempts[number]);
                held[number] = 0;
                continue;
            }
            held[number] += bytes;
            for (ended, _) in memory.grow(attempts[number], size(held[number])) {
                let number = attempts.iter().position(|attempt| *attempt == ended);
                held[number.expect("a known attempt")] = 0;
            }
            prop_assert!(held.iter().sum::<usize>() <= LIMIT, "{held:?}");
        }
    }
}
