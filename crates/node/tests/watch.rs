//! Guards against a node that lapses between two replies of a working platform, and against a reply that counts as
//! newer than it is.

use medlarpost_core::prelude::*;
use medlarpost_node::{
    control_task::FRESHNESS_PERIOD,
    platform_watcher::{confirmation_time, hold_time},
};

/// Time that a reply takes in addition to the hold.
const DELAY: Duration = Duration::from_millis(200);

#[test]
fn platform_watches_alone_keep_a_node_of_a_five_node_fleet_fresh() {
    let settings = ConfigAgreementSettings {
        freshness: FRESHNESS_PERIOD,
        join_wait: Duration::ZERO,
        min_version: 0,
    };
    let mut agreement =
        ConfigAgreement::new(settings, Timestamp::ZERO).expect("the chart is valid");
    let fleet = Fleet::new("a");
    let digest = Digest::of(b"bundle");
    let mut outputs = Vec::new();
    let mut sent = Timestamp::ZERO;
    let offered = ConfigAgreementInput::BundleAvailable { version: 1, digest };
    agreement.handle(sent, &fleet, offered, &mut outputs);

    for changed in [true, false, false, true, false, false] {
        // A change is reported at the end of the hold at the latest; the watch after it is not held.
        let answered = sent + hold_time(5) + DELAY;
        let asked = confirmation_time(sent, hold_time(5), changed, answered);
        let answer = ConfigAgreementInput::PlatformVersion { version: 1, asked };
        agreement.handle(answered, &fleet, answer, &mut outputs);
        sent = answered;
        if changed {
            let answered = sent + DELAY;
            let asked = confirmation_time(sent, Duration::ZERO, false, answered);
            let answer = ConfigAgreementInput::PlatformVersion { version: 1, asked };
            agreement.handle(answered, &fleet, answer, &mut outputs);
            sent = answered;
        }
    }

    assert!(
        !outputs.contains(&ConfigAgreementOutput::Lapsed),
        "{outputs:?}"
    );
    assert!(agreement.is_fresh(sent + hold_time(5) + DELAY));
}

#[test]
fn reply_read_late_is_dated_by_its_watch() {
    let (sent, woken) = (
        Timestamp::from_millis(1_000),
        Timestamp::from_millis(60_000),
    );

    let held = confirmation_time(sent, hold_time(5), false, woken);
    let changed = confirmation_time(sent, hold_time(5), true, woken);
    let early = confirmation_time(sent, hold_time(5), false, sent);

    assert_eq!(
        [held, changed, early],
        [Timestamp::from_millis(2_000), sent, sent]
    );
}

#[test]
fn held_watches_of_the_largest_fleet_use_a_quarter_of_the_platforms_read_rate() {
    let held: Vec<_> = [1, 5, 440, 500, 1_000].map(hold_time).into_iter().collect();

    assert_eq!(held, [1, 1, 1, 1, 2].map(Duration::from_secs));
}
