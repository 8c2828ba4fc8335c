//! Guards against tickets that allow a booking to run twice, and against refusals that wrongly say that it did not run.

use medlarpost_core::{
    prelude::*,
    ticket_registry::{RECORD_RETENTION, Redemption, TICKET_LIFETIME, TicketRegistry},
};

const WORKSPACE: &str = "aerospace-labs";

fn registry(node: &str, start: u64) -> TicketRegistry {
    TicketRegistry::new(node, start, [7; 32])
}

fn content() -> Digest {
    Digest::of(b"tunnel 4, 09:00")
}

fn reply() -> BookingReply {
    BookingReply {
        accepted: true,
        reference: "ref-1".to_owned(),
    }
}

fn refused(redemption: &Redemption) -> Option<(RefusalKind, Execution)> {
    match redemption {
        Redemption::Refused(kind, execution) => Some((*kind, *execution)),
        _ => None,
    }
}

/// Issues a ticket, redeems it and records that its booking is running, all at time zero.
fn redeem_new_ticket(
    registry: &mut TicketRegistry,
) -> (
    String,
    medlarpost_core::ticket::Ticket<medlarpost_core::ticket::Authentic>,
) {
    let text = registry
        .issue(Timestamp::ZERO, WORKSPACE)
        .expect("the registry is not full")
        .to_string();
    let redemption = registry.redeem(Timestamp::ZERO, &text, WORKSPACE, content());
    let Redemption::Granted(ticket) = redemption else {
        panic!("a new ticket is granted: {redemption:?}")
    };
    registry.record_running(&ticket, BookingKey::default(), content());
    (text, ticket)
}

#[test]
fn repeat_of_a_running_booking_does_not_run_it_again() {
    let mut registry = registry("node-1", 1);
    let (text, _) = redeem_new_ticket(&mut registry);

    let repeat = registry.redeem(Timestamp::ZERO, &text, WORKSPACE, content());

    assert_eq!(repeat, Redemption::InProgress(BookingKey::default()));
}

#[test]
fn repeat_after_the_reply_gets_the_recorded_reply() {
    let mut registry = registry("node-1", 1);
    let (text, ticket) = redeem_new_ticket(&mut registry);
    registry.record_reply(&ticket, reply());

    let repeat = registry.redeem(
        Timestamp::ZERO + TICKET_LIFETIME,
        &text,
        WORKSPACE,
        content(),
    );

    assert!(
        matches!(&repeat, Redemption::Completed { reply: recorded, .. } if *recorded == reply()),
        "{repeat:?}"
    );
}

#[test]
fn repeat_after_a_lost_reply_has_an_unknown_outcome() {
    let mut registry = registry("node-1", 1);
    let (text, ticket) = redeem_new_ticket(&mut registry);
    registry.record_unknown(&ticket);

    let repeat = registry.redeem(Timestamp::ZERO, &text, WORKSPACE, content());

    assert_eq!(repeat, Redemption::OutcomeUnknown);
}

#[test]
fn ticket_of_an_earlier_start_is_refused_with_unknown_execution() {
    let text = registry("node-1", 1)
        .issue(Timestamp::ZERO, WORKSPACE)
        .expect("the registry is not full")
        .to_string();

    let after_restart = registry("node-1", 2).redeem(Timestamp::ZERO, &text, WORKSPACE, content());

    assert_eq!(
        refused(&after_restart),
        Some((RefusalKind::TicketStartGone, Execution::Unknown))
    );
}

#[test]
fn ticket_of_another_node_names_that_node() {
    let text = registry("node-1", 1)
        .issue(Timestamp::ZERO, WORKSPACE)
        .expect("the registry is not full")
        .to_string();

    let elsewhere = registry("node-2", 1).redeem(Timestamp::ZERO, &text, WORKSPACE, content());

    assert_eq!(elsewhere, Redemption::OtherNode("node-1".to_owned()));
}

#[test]
fn expired_ticket_is_refused_as_not_run_only_while_records_are_kept() {
    let mut registry = registry("node-1", 1);
    let text = registry
        .issue(Timestamp::ZERO, WORKSPACE)
        .expect("the registry is not full")
        .to_string();
    let expired = Timestamp::ZERO + TICKET_LIFETIME;

    let within = registry.redeem(expired, &text, WORKSPACE, content());
    let after = registry.redeem(expired + RECORD_RETENTION, &text, WORKSPACE, content());

    assert_eq!(
        refused(&within),
        Some((RefusalKind::TicketExpired, Execution::NotRun))
    );
    assert_eq!(
        refused(&after),
        Some((RefusalKind::TicketExpired, Execution::Unknown))
    );
}

#[test]
fn ticket_with_another_booking_is_refused() {
    let mut registry = registry("node-1", 1);
    let (text, _) = redeem_new_ticket(&mut registry);

    let other = registry.redeem(Timestamp::ZERO, &text, WORKSPACE, Digest::of(b"tunnel 5"));

    assert_eq!(
        refused(&other),
        Some((RefusalKind::TicketMismatch, Execution::NotRun))
    );
}

#[test]
fn ticket_with_a_forged_number_or_another_workspace_is_refused() {
    let mut registry = registry("node-1", 1);
    let text = registry
        .issue(Timestamp::ZERO, WORKSPACE)
        .expect("the registry is not full")
        .to_string();
    let forged = text.replace(".1.0.", ".1.1.");

    let other_workspace = registry.redeem(Timestamp::ZERO, &text, "tunelix", content());
    let other_number = registry.redeem(Timestamp::ZERO, &forged, WORKSPACE, content());

    assert_eq!(
        refused(&other_workspace),
        Some((RefusalKind::TicketInvalid, Execution::NotRun))
    );
    assert_eq!(
        refused(&other_number),
        Some((RefusalKind::TicketInvalid, Execution::NotRun))
    );
}

/// Guards against several texts of one ticket or digest, because number parsers take a sign before the digits.
#[test]
fn signs_are_no_hexadecimal_digits() {
    let mut registry = registry("node-1", 1);
    let text = registry
        .issue(Timestamp::ZERO, WORKSPACE)
        .expect("the registry is not full")
        .to_string();
    let signed_number = text.replacen("node-1.1.", "node-1.+1.", 1);
    let (rest, mac) = text.split_at(text.len() - 32);
    let signed_mac = format!("{rest}+{}", &mac[1..]);
    let digest = content().to_string();

    let mut is_invalid = |text: &String| {
        matches!(
            registry.redeem(Timestamp::ZERO, text, WORKSPACE, content()),
            Redemption::Refused(RefusalKind::TicketInvalid, _)
        )
    };

    assert!(text.starts_with("node-1.1."), "{text}");
    assert_eq!(
        [&signed_number, &signed_mac].map(&mut is_invalid),
        [true, true]
    );
    assert_eq!(Digest::from_hex(&format!("+{}", &digest[1..])), None);
    assert_eq!(Digest::from_hex(&digest), Some(content()));
}
