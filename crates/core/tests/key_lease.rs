//! Guards against a node that accepts a key too long after its removal. All times are simulated.

use medlarpost_core::prelude::*;
use proptest::prelude::*;

const MS: Duration = Duration::from_millis(1);

/// A simulated read of the registry: a watch, or a listing if it has no wait.
#[derive(Clone, Copy, Debug)]
struct Read {
    pause: u64,
    wait: u64,
    /// Time that the request, and then the reply, is on its way.
    transit: (u64, u64),
    /// Whether the reply is lost.
    lost: bool,
}

fn at(ms: u64) -> BootTime {
    BootTime::new(MS * ms as u32)
}

fn reads() -> impl Strategy<Value = Vec<Read>> {
    let read = (
        0..3_000_u64,
        0..4_000_u64,
        (0..6_000_u64, 0..6_000_u64),
        any::<bool>(),
    );
    let read = read.prop_map(|(pause, wait, transit, lost)| Read {
        pause,
        wait,
        transit,
        lost,
    });
    prop::collection::vec(read, 1..12)
}

/// Carries out a read that starts at `sent`, against a registry in which a key is removed at `removed`. Returns when the
/// reply arrives, whether it shows the removal, and what it confirms.
fn carry_out(read: Read, sent: u64, removed: u64) -> (u64, bool, BootTime) {
    let asked = sent + read.transit.0;
    let ends = asked + read.wait;
    let shows_removal = removed <= ends;
    let replied = if shows_removal {
        asked.max(removed)
    } else {
        ends
    };
    let answered = replied + read.transit.1;
    let timing = WatchTiming {
        sent_at: at(sent),
        wait: MS * read.wait as u32,
        answered_at: at(answered),
        found_changes: shows_removal,
    };
    (answered, shows_removal, timing.confirmed_at())
}

proptest! {
    /// A confirmation that covers more than the read shows would admit a request after the bound.
    #[test]
    fn no_request_is_admitted_later_than_the_bound_after_the_removal(
        bound in 0..20_000_u64,
        removed in 0..20_000_u64,
        reads in reads(),
    ) {
        let mut lease = KeyLease::new(Some(MS * bound as u32));
        let mut now = 0;
        let mut knows_removal = false;
        for read in reads {
            let sent = now + read.pause;
            let (answered, shows_removal, confirmed_at) = carry_out(read, sent, removed);
            for request_sent in now..answered {
                let admitted = !knows_removal && lease.is_valid(at(request_sent));
                prop_assert!(!admitted || request_sent <= removed + bound);
            }
            now = answered;
            if !read.lost {
                knows_removal |= shows_removal;
                lease.confirm(confirmed_at);
            }
        }
        let beyond = removed + bound + 1;
        prop_assert!(knows_removal || !lease.is_valid(at(beyond.max(now))));
    }
}

/// A node that has never read the registry knows nothing of removed keys, e.g. after a restart from a peer's snapshot.
#[test]
fn an_unconfirmed_lease_is_invalid() {
    let lease = KeyLease::new(Some(Duration::from_secs(5)));

    assert!(!lease.is_valid(at(0)));
}

/// Deployments without the setting must serve whatever the age of their configuration.
#[test]
fn a_lease_without_a_bound_is_always_valid() {
    let lease = KeyLease::new(None);

    assert!(lease.is_valid(at(1_000_000_000)));
}

/// A read that was sent earlier but is reported later must not shorten the lease.
#[test]
fn an_older_confirmation_does_not_replace_a_newer_one() {
    let mut lease = KeyLease::new(Some(Duration::from_secs(5)));

    lease.confirm(at(10_000));
    lease.confirm(at(7_000));

    assert_eq!(lease.age(at(11_000)), Some(Duration::from_secs(1)));
}
