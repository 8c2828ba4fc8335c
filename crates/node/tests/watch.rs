//! Guards against a node that lapses between two answers of a platform which works, and against an answer that counts as
//! newer than it is.

use medlarpost_core::prelude::*;
use medlarpost_node::{
    control_task::FRESHNESS_PERIOD,
    platform_watcher::{hold, statement_time},
};

/// Time that an answer takes beyond the hold.
const DELAY: Duration = Duration::from_millis(200);

#[test]
fn watches_of_todays_fleet_keep_a_node_fresh_that_hears_no_peer() {
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
        // A change is told within the hold, at its end at the latest; the watch after it is not held.
        let answered = sent + hold(5) + DELAY;
        let asked = statement_time(sent, hold(5), changed, answered);
        let answer = ConfigAgreementInput::PlatformVersion { version: 1, asked };
        agreement.handle(answered, &fleet, answer, &mut outputs);
        sent = answered;
        if changed {
            let answered = sent + DELAY;
            let asked = statement_time(sent, Duration::ZERO, false, answered);
            let answer = ConfigAgreementInput::PlatformVersion { version: 1, asked };
            agreement.handle(answered, &fleet, answer, &mut outputs);
            sent = answered;
        }
    }

    assert!(
        !outputs.contains(&ConfigAgreementOutput::Lapsed),
        "{outputs:?}"
    );
    assert!(agreement.is_fresh(sent + hold(5) + DELAY));
}

#[test]
fn answer_that_waited_during_a_pause_is_as_old_as_its_watch() {
    let (sent, woken) = (
        Timestamp::from_millis(1_000),
        Timestamp::from_millis(60_000),
    );

    let held = statement_time(sent, hold(5), false, woken);
    let changed = statement_time(sent, hold(5), true, woken);
    let early = statement_time(sent, hold(5), false, sent);

    assert_eq!(
        [held, changed, early],
        [Timestamp::from_millis(2_000), sent, sent]
    );
}

#[test]
fn waiting_watches_of_the_largest_fleet_take_a_quarter_of_the_platforms_reads() {
    let held: Vec<_> = [1, 5, 440, 500, 1_000].map(hold).into_iter().collect();

    assert_eq!(held, [1, 1, 1, 1, 2].map(Duration::from_secs));
}
