//! Guards against requests to the wrong service or to an upstream that leaves, because of entries that conflict.

use medlarpost_core::{
    prelude::*,
    registry_entries::{EntryChange, RegistryEntries},
};

fn entry(service: &str, started_at_ms: u64, seq: u64) -> UpstreamRegistration {
    let upstream = RegisteredUpstream {
        instance: "i-1".into(),
        service: service.into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: "z-a".into(),
        slots: 3,
        leaving: false,
        cold_for: Duration::ZERO,
        started_at_ms,
    };
    UpstreamRegistration {
        upstream,
        version: "v".into(),
        seq,
    }
}

/// Results of these entries, each a service, a start and a sequence number, in the order of the registry.
fn check_all(entries: &[(&str, u64, u64)]) -> Vec<Option<EntryConflict>> {
    let mut histories = EntryHistories::default();
    let entries = entries.iter();
    entries
        .map(|(service, start, seq)| histories.check(&entry(service, *start, *seq)).err())
        .collect()
}

#[test]
fn other_service_of_the_same_start_is_refused() {
    let results = check_all(&[
        ("desk", 7, 4),
        ("ledger", 7, 5),
        ("desk", 7, 5),
        ("ledger", 8, 0),
    ]);

    let conflict = Some(EntryConflict::OtherService);
    assert_eq!(results, [None, conflict, None, None]);
}

#[test]
fn older_entry_of_the_same_start_is_refused() {
    let results = check_all(&[
        ("desk", 7, 4),
        ("desk", 7, 3),
        ("desk", 7, 4),
        ("desk", 9, 1),
    ]);

    assert_eq!(results, [None, Some(EntryConflict::Outdated), None, None]);
}

/// Guards against an upstream that is never used again, because the first entry that was read was another writer's.
#[test]
fn two_own_entries_in_a_row_replace_a_wrong_one() {
    let service = check_all(&[
        ("ledger", 7, 4),
        ("desk", 7, 5),
        ("desk", 7, 5),
        ("desk", 7, 6),
    ]);
    let seq = check_all(&[("desk", 7, u64::MAX), ("desk", 7, 5), ("desk", 7, 6)]);

    let conflict = Some(EntryConflict::OtherService);
    assert_eq!(service, [None, conflict, conflict, None]);
    assert_eq!(seq, [None, Some(EntryConflict::Outdated), None]);
}

#[test]
fn refusals_are_reported_once_for_each_key() {
    let mut histories = EntryHistories::default();
    let instance = "i-1".into();

    let reports = [(); 3].map(|()| histories.note_refusal(&instance));
    histories.forget(&instance);

    assert_eq!(reports, [true, false, false]);
    assert!(histories.note_refusal(&instance));
}

/// Guards against an entry that a reader accepts or refuses and its followers don't, because they know fewer of the
/// earlier entries.
#[test]
fn what_a_reader_decided_holds_for_the_entries_after_it() {
    let mut entries = RegistryEntries::default();
    let instance: Arc<str> = "i-1".into();
    entries
        .register(&entry("desk", 7, 4))
        .expect("the first one");

    // The reader has read two entries of another service, of which the second one replaces the first entry.
    entries.record_refused(&entry("ledger", 7, 5));
    let withdrawn = entries.withdraw(&instance);
    let read_next = entries.register(&entry("ledger", 7, 6));
    let relayed = entries.register_checked(&entry("desk", 7, 9));
    let renewed = entries.register_checked(&entry("desk", 7, 10));

    assert!(withdrawn);
    assert_eq!(read_next, Ok(EntryChange::Changed));
    assert_eq!(
        (relayed, renewed),
        (EntryChange::Changed, EntryChange::Unchanged)
    );
}

/// Guards against a missing entry whose grace period begins anew, or that is registered for good.
#[test]
fn grace_period_of_a_missing_entry_is_never_moved_later() {
    let at = Timestamp::from_millis;
    let mut entries = RegistryEntries::default();
    let instance: Arc<str> = "i-1".into();
    entries
        .register(&entry("desk", 7, 4))
        .expect("the first one");

    let first = entries.handle_missing(at(100), &instance, at(500));
    let second = entries.handle_missing(at(200), &instance, at(900));
    let early = entries.remove_expired(at(499));
    let expired = entries.remove_expired(at(500));

    assert!(!first && !second && early.is_empty());
    assert_eq!(expired, [instance]);
    assert!(entries.is_empty() && entries.next_grace_end().is_none());
}
