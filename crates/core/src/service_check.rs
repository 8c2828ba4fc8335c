//! Checks of the services of a bundle.

use crate::{bundle_check::BundleCheck, prelude::*};

/// Most services, which are labels of metrics and parts of a manifest.
const MAX_SERVICES: usize = 1_000;

/// Most index versions of a service; two are in use while an index changes.
const MAX_LAYOUTS: usize = 16;

/// Most shards of an index version; the design size is 230.
const MAX_SHARDS: usize = 4_096;

/// Most replicas of a shard.
const MAX_REPLICAS: usize = 64;

/// Most upstreams of a booking service.
const MAX_BOOKING_UPSTREAMS: usize = 10_000;

/// Adds the faults of all services.
pub(crate) fn check(check: &mut BundleCheck<'_>) {
    let bundle = check.bundle;
    check.length("services", bundle.services.len(), 1..=MAX_SERVICES);
    let services = bundle.services.iter();
    check.unique(services.map(|service| (&service.name, place_of(service))));
    for service in &bundle.services {
        check.name(&place_of(service), &service.name);
        match service.kind {
            ServiceKind::Search => search(check, service),
            ServiceKind::Booking => booking(check, service),
        }
    }
}

fn place_of(service: &Service) -> String {
    format!("service {}", service.name)
}

fn search(check: &mut BundleCheck<'_>, service: &Service) {
    let place = place_of(service);
    if !service.upstreams.is_empty() {
        check.add(
            ValidationCode::WrongKind,
            &*place,
            "a search service with upstreams",
        );
    }
    let layouts = &service.layouts;
    check.length(&format!("{place}, layouts"), layouts.len(), 1..=MAX_LAYOUTS);
    for pair in layouts.windows(2) {
        let [before, after] = [&pair[0], &pair[1]].map(|layout| layout.index_version);
        if after <= before {
            let place = format!("{place}, layout {after}");
            check.add(
                ValidationCode::LayoutOrder,
                place,
                format!("follows layout {before}"),
            );
        }
    }
    let newest = layouts.last().map(|layout| layout.index_version);
    for layout in layouts {
        let place = format!("{place}, layout {}", layout.index_version);
        check.length(
            &format!("{place}, shards"),
            layout.shards.len(),
            1..=MAX_SHARDS,
        );
        // Queries pin the newest layout only.
        let used = newest == Some(layout.index_version);
        for (shard, replicas) in layout.shards.iter().enumerate() {
            check_shard(check, &format!("{place}, shard {shard}"), replicas, used);
        }
    }
}

fn check_shard(check: &mut BundleCheck<'_>, place: &str, replicas: &[String], used: bool) {
    if replicas.is_empty() {
        return check.add(ValidationCode::EmptyReplicaSet, place, "no replicas");
    }
    check.length(place, replicas.len(), 1..=MAX_REPLICAS);
    members(check, place, replicas);
    if used && check.any_zone_in() && !replicas.iter().any(|name| check.is_in(name)) {
        check.add(ValidationCode::ShardOut, place, "no replica takes new work");
    }
}

fn booking(check: &mut BundleCheck<'_>, service: &Service) {
    let place = place_of(service);
    if !service.layouts.is_empty() {
        check.add(
            ValidationCode::WrongKind,
            &*place,
            "a booking service with layouts",
        );
    }
    if service.upstreams.is_empty() {
        return check.add(ValidationCode::NoUpstreams, place, "no upstreams");
    }
    check.length(&place, service.upstreams.len(), 1..=MAX_BOOKING_UPSTREAMS);
    members(check, &place, &service.upstreams);
    if check.any_zone_in() && !service.upstreams.iter().any(|name| check.is_in(name)) {
        check.add(
            ValidationCode::BookingOut,
            place,
            "no upstream takes new work",
        );
    }
}

/// Checks that the named upstreams exist and that none is named twice.
fn members(check: &mut BundleCheck<'_>, place: &str, names: &[String]) {
    for name in names {
        if !check.upstreams.contains_key(name.as_str()) {
            check.add(
                ValidationCode::UnknownUpstream,
                place,
                format!("upstream {name:?}"),
            );
        }
    }
    check.unique(
        names
            .iter()
            .map(|name| (name, format!("{place}, upstream {name}"))),
    );
}
