//! Guards against stages between a change in the registry and the moment at which a node acts on it that add up to more
//! than a bound.

use medlarpost_core::prelude::*;
use proptest::{prelude::*, test_runner::RngSeed};

/// Longest pause between reads while entries may return.
const RECOVERY_INTERVAL: Duration = Duration::from_millis(250);

fn bounds(contact: u64, drain: u64, config_apply: u64, evacuate: u64) -> RegistryBounds {
    RegistryBounds {
        contact: Duration::from_millis(contact),
        drain: Duration::from_millis(drain),
        config_apply: Duration::from_millis(config_apply),
        evacuate: Duration::from_millis(evacuate),
        revoke: None,
    }
}

/// Bounds of small, larger and the largest deployments.
fn deployments() -> [RegistryBounds; 3] {
    [
        bounds(4_000, 3_000, 3_000, 5_000),
        bounds(5_000, 5_000, 5_000, 5_000),
        bounds(6_000, 6_000, 6_000, 5_000),
    ]
}

/// Each sequence of stages that a change passes through at worst, with its sum and its bound.
fn paths(bounds: &RegistryBounds) -> Vec<(&'static str, Duration, Duration)> {
    let limits = bounds.limits();
    let (change, contact) = (bounds.tightest_change(), bounds.contact);
    let in_flight = bounds.in_flight();
    let last_stages = limits.read_time + in_flight;
    let lost = limits.max_wait + limits.reply_timeout + limits.first_retry_delay + last_stages;
    let late_call = limits.call_timeout + limits.max_retry_delay + last_stages;
    vec![
        ("undisturbed", limits.interval + last_stages, change),
        (
            "watch cut",
            limits.interval.max(limits.first_retry_delay) + last_stages,
            change,
        ),
        (
            "many vanish",
            limits.interval + limits.lapse_grace + last_stages,
            change,
        ),
        ("reply lost", lost, contact),
        (
            "connection silent in the pause",
            limits.interval + lost,
            contact,
        ),
        (
            "VM cut off, or outage",
            late_call + limits.recovery_grace,
            contact,
        ),
        (
            "many vanish unseen",
            limits.vanished_limit + in_flight,
            contact,
        ),
    ]
}

fn assert_paths_hold(bounds: &RegistryBounds) {
    for (path, sum, bound) in paths(bounds) {
        assert!(sum <= bound, "{path}: {sum:?} of {bound:?}, {bounds:?}");
    }
    assert!(bounds.in_flight() >= bounds.tightest() / 10);
    assert_follower_paths_hold(bounds);
}

/// Each sequence of stages that a change passes through at worst on its way to an undisturbed follower. A disturbance of
/// its reader excuses nothing, so that the bound is that of an undisturbed node.
fn follower_paths(bounds: &RegistryBounds) -> Vec<(&'static str, Duration)> {
    let limits = bounds.limits();
    let last_stages = limits.read_time + bounds.in_flight();
    let relayed = limits.interval + limits.relay_time + last_stages;
    let lapse_grace = limits.lapse_grace.saturating_sub(limits.relay_time);
    let lost_read = limits.reply_timeout + limits.first_retry_delay;
    vec![
        ("undisturbed reader", relayed),
        ("many vanish", relayed + lapse_grace),
        ("reader disturbed", limits.max_view_age + last_stages),
        (
            "reader disturbed, own connection silent",
            limits.max_view_age + lost_read + last_stages,
        ),
        (
            "vanished, grace period relayed",
            limits.relayed_vanished_limit + last_stages,
        ),
    ]
}

fn assert_follower_paths_hold(bounds: &RegistryBounds) {
    let (limits, change) = (bounds.limits(), bounds.tightest_change());
    for (path, sum) in follower_paths(bounds) {
        assert!(sum <= change, "{path}: {sum:?} of {change:?}, {bounds:?}");
    }
    let replaced = limits.interval + limits.max_wait + limits.reply_timeout;
    assert!(limits.max_view_age <= replaced, "{bounds:?}");
    let reader_cycle = limits.interval + limits.read_time + limits.relay_time;
    let wait = limits.relaying_wait(limits.interval);
    // A wait can't be shorter than that of a short watch.
    let slack = Duration::from_millis(1);
    assert!(
        reader_cycle + wait <= limits.view_age_limit(1.0) + slack,
        "{limits:?}"
    );
}

/// Guards against a lease of keys that ends on a follower although its own read would have extended it.
#[test]
fn follower_reads_the_store_before_its_lease_ends() {
    for revoke_ms in [2_000, 3_000, 5_000, 20_000] {
        let bounds = RegistryBounds {
            revoke: Some(Duration::from_millis(revoke_ms)),
            ..deployments()[1]
        };
        let limits = bounds.limits();
        let lease = KeyLease::new(bounds.revoke).duration().expect("a bound");

        let own_read = limits.reply_timeout + limits.first_retry_delay + limits.read_time;

        assert!(limits.max_view_age + own_read <= lease, "{limits:?}");
    }
}

/// Guards against deployments on which no node would ever follow another one.
#[test]
fn deployments_allow_following() {
    for bounds in deployments() {
        assert!(bounds.limits().allows_following(), "{bounds:?}");
    }
}

/// Guards against entries that a follower drops in a short outage of the store that its reader saw, and against ones that
/// it keeps beyond its own bound because its reader was cut off.
#[test]
fn relayed_grace_period_ends_within_the_bound_since_the_last_view() {
    for bounds in deployments() {
        let limits = bounds.limits();
        let mut contact = RegistryContact::new(Timestamp::ZERO).expect("the chart is valid");
        let viewed = Timestamp::from_millis(10_000);
        contact.apply(viewed, RegistryContactEvent::Read, &limits);
        let now = viewed + Duration::from_millis(400);
        let read = RelayedRead {
            read_at: now,
            recovery_until: now + limits.recovery_grace,
        };

        contact.apply_relayed(now, read, &limits);

        let end = contact.grace_end(now, 1, 40, &limits);
        assert!(end > now + Duration::from_millis(1_900), "{end:?}");
        assert!(end + bounds.in_flight() <= viewed + bounds.tightest_change());
    }
}

/// Guards against a relayed read from before an outage that a follower takes for the end of the outage.
#[test]
fn relayed_read_from_before_the_failures_does_not_end_an_outage() {
    let limits = deployments()[0].limits();
    let mut contact = RegistryContact::new(Timestamp::ZERO).expect("the chart is valid");
    let failed = Timestamp::from_millis(10_000);
    contact.apply(failed, RegistryContactEvent::Failed, &limits);
    contact.apply(
        failed + Duration::from_millis(500),
        RegistryContactEvent::Failed,
        &limits,
    );

    assert!(!contact.is_after_failures(failed));
    assert!(contact.is_after_failures(failed + Duration::from_millis(1)));
}

#[test]
fn every_path_ends_within_the_bounds_of_the_deployments() {
    for bounds in deployments() {
        assert_paths_hold(&bounds);
    }
}

/// Guards against a lost reply that delays a change beyond its own bound, although no other disturbance excuses the node.
#[test]
fn lost_reply_costs_less_than_the_tightest_bound() {
    for bounds in deployments() {
        let limits = bounds.limits();
        let noticed = limits.max_wait + limits.reply_timeout + limits.first_retry_delay;

        let latest = noticed + limits.read_time + bounds.in_flight();
        assert!(latest <= bounds.tightest(), "{limits:?}");
    }
}

/// Guards against more calls on an undisturbed deployment: half of the contact time and a fifth of the tightest bound
/// between two calls.
#[test]
fn undisturbed_deployments_read_no_more_often_than_before() {
    for bounds in deployments() {
        let limits = bounds.limits();
        let fifth = bounds.drain.min(bounds.evacuate) / 5;

        assert!(limits.max_wait >= bounds.contact / 2, "{limits:?}");
        assert!(limits.interval >= fifth, "{limits:?}");
    }
}

/// Guards against entries that are dropped although their leases are renewed within 2 s of the registry's return.
#[test]
fn grace_period_covers_the_renewal_of_leases() {
    for bounds in deployments() {
        let grace = bounds.limits().recovery_grace;

        assert!(
            grace >= Duration::from_secs(2) + RECOVERY_INTERVAL,
            "{grace:?}"
        );
    }
}

/// Guards against a single lost reply, or a watch that was cut, that is taken for an outage.
#[test]
fn only_repeated_failures_are_an_outage() {
    use RegistryContactEvent::{Cut, Failed, Read};
    let limits = deployments()[0].limits();
    let cases: [(&[RegistryContactEvent], RegistryState, bool); 6] = [
        (&[Cut, Read], RegistryState::Steady, false),
        (&[Failed, Read], RegistryState::Steady, false),
        (&[Cut, Failed, Read], RegistryState::Steady, false),
        (
            &[Cut, Read, Cut, Read, Failed, Read],
            RegistryState::Steady,
            false,
        ),
        (&[Failed, Failed, Read], RegistryState::Steady, true),
        (&[Cut, Cut, Cut], RegistryState::Away, true),
    ];
    for (events, state, has_grace) in cases {
        let now = Timestamp::from_millis(1_000);
        let mut contact = RegistryContact::new(Timestamp::ZERO).expect("the chart is valid");

        for event in events {
            contact.apply(now, *event, &limits);
        }

        assert_eq!(contact.state(), state, "{events:?}");
        assert_eq!(
            contact.grace_end(now, 1, 40, &limits) > now,
            has_grace,
            "{events:?}"
        );
    }
}

/// Guards against entries that vanished together behind a silent connection and are kept for longer than the bound.
#[test]
fn entries_that_vanish_unseen_are_kept_within_the_contact_time() {
    for bounds in deployments() {
        let limits = bounds.limits();
        let mut contact = RegistryContact::new(Timestamp::ZERO).expect("the chart is valid");
        contact.apply(Timestamp::ZERO, RegistryContactEvent::Read, &limits);
        let lost = Timestamp::ZERO + limits.interval + limits.max_wait + limits.reply_timeout;
        contact.apply(lost, RegistryContactEvent::Failed, &limits);
        let read = lost + limits.first_retry_delay;
        contact.apply(read, RegistryContactEvent::Read, &limits);

        let end = contact.grace_end(read, 20, 40, &limits);

        assert!(
            end + bounds.in_flight() <= Timestamp::ZERO + bounds.contact,
            "{end:?}"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(53),
        ..ProptestConfig::default()
    })]

    #[test]
    fn every_path_ends_within_any_bounds(
        contact in 100_u64..60_000,
        drain in 100_u64..60_000,
        config_apply in 100_u64..60_000,
        evacuate in 100_u64..60_000,
    ) {
        assert_paths_hold(&bounds(contact, drain, config_apply, evacuate));
    }
}
