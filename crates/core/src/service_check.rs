//! Validation of the services of a bundle.

use crate::{bundle_check::BundleChecker, prelude::*};

/// Each service is a metric label and a part of the manifest.
const MAX_SERVICES: usize = 1_000;

/// Two index versions are in use while an index changes.
const MAX_LAYOUTS_PER_SERVICE: usize = 16;

/// The system is designed for 230 shards.
const MAX_SHARDS_PER_LAYOUT: usize = 4_096;

const MAX_REPLICAS_PER_SHARD: usize = 64;

const MAX_UPSTREAMS_PER_BOOKING_SERVICE: usize = 10_000;

/// Adds the errors of all services.
pub(crate) fn check_services(checker: &mut BundleChecker<'_>) {
    let bundle = checker.bundle;
    checker.check_length("services", bundle.services.len(), 1..=MAX_SERVICES);
    let services = bundle.services.iter();
    checker.check_unique(services.map(|service| (&service.name, service_location(service))));
    for service in &bundle.services {
        checker.check_name(&service_location(service), &service.name);
        match service.kind {
            ServiceKind::Search => check_search_service(checker, service),
            ServiceKind::Booking => check_booking_service(checker, service),
        }
    }
}

fn service_location(service: &Service) -> String {
    format!("service {}", service.name)
}

fn check_search_service(checker: &mut BundleChecker<'_>, service: &Service) {
    let location = service_location(service);
    if !service.upstreams.is_empty() {
        checker.add_error(
            ValidationCode::WrongKind,
            &*location,
            "search service has upstreams",
        );
    }
    let layouts = &service.layouts;
    checker.check_length(
        &format!("{location}, layouts"),
        layouts.len(),
        1..=MAX_LAYOUTS_PER_SERVICE,
    );
    for pair in layouts.windows(2) {
        let [before, after] = [&pair[0], &pair[1]].map(|layout| layout.index_version);
        if after <= before {
            let location = format!("{location}, layout {after}");
            checker.add_error(
                ValidationCode::LayoutOrder,
                location,
                format!("index version is not above the previous one, {before}"),
            );
        }
    }
    let newest = layouts.last().map(|layout| layout.index_version);
    for layout in layouts {
        let location = format!("{location}, layout {}", layout.index_version);
        checker.check_length(
            &format!("{location}, shards"),
            layout.shards.len(),
            1..=MAX_SHARDS_PER_LAYOUT,
        );
        // Queries pin the newest layout only.
        let is_newest = newest == Some(layout.index_version);
        for (shard, replicas) in layout.shards.iter().enumerate() {
            check_shard(
                checker,
                &format!("{location}, shard {shard}"),
                replicas,
                is_newest,
            );
        }
    }
}

fn check_shard(
    checker: &mut BundleChecker<'_>,
    location: &str,
    replicas: &[String],
    is_newest: bool,
) {
    if replicas.is_empty() {
        return checker.add_error(ValidationCode::EmptyReplicaSet, location, "no replicas");
    }
    checker.check_length(location, replicas.len(), 1..=MAX_REPLICAS_PER_SHARD);
    check_upstream_names(checker, location, replicas);
    if is_newest
        && checker.has_active_zone()
        && !replicas.iter().any(|name| checker.accepts_new_work(name))
    {
        checker.add_error(
            ValidationCode::ShardOut,
            location,
            "no replica accepts new work",
        );
    }
}

fn check_booking_service(checker: &mut BundleChecker<'_>, service: &Service) {
    let location = service_location(service);
    if !service.layouts.is_empty() {
        checker.add_error(
            ValidationCode::WrongKind,
            &*location,
            "booking service has layouts",
        );
    }
    if service.upstreams.is_empty() {
        return checker.add_error(ValidationCode::NoUpstreams, location, "no upstreams");
    }
    checker.check_length(
        &location,
        service.upstreams.len(),
        1..=MAX_UPSTREAMS_PER_BOOKING_SERVICE,
    );
    check_upstream_names(checker, &location, &service.upstreams);
    if checker.has_active_zone()
        && !service
            .upstreams
            .iter()
            .any(|name| checker.accepts_new_work(name))
    {
        checker.add_error(
            ValidationCode::BookingOut,
            location,
            "no upstream accepts new work",
        );
    }
}

/// Checks that the named upstreams exist and that none is named twice.
fn check_upstream_names(checker: &mut BundleChecker<'_>, location: &str, names: &[String]) {
    for name in names {
        if !checker.upstreams.contains_key(name.as_str()) {
            checker.add_error(
                ValidationCode::UnknownUpstream,
                location,
                format!("upstream {name:?}"),
            );
        }
    }
    checker.check_unique(
        names
            .iter()
            .map(|name| (name, format!("{location}, upstream {name}"))),
    );
}
