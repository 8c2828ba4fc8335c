//! Validation of a single bundle, which reports all errors at once.
//!
//! The result depends on the bundle alone, so that every node comes to the same decision. [`crate::bundle_diff`]
//! compares a bundle with the previous one.

use crate::{prelude::*, service_check};
use std::{
    collections::{BTreeSet, HashMap},
    ops::RangeInclusive,
};

/// Names become metric labels and log fields.
const MAX_NAME_BYTES: usize = 64;

/// Far above the 5 zones per region that the system is designed for.
const MAX_ZONES_OR_CLASSES: usize = 64;

/// Each workspace is a metric label.
const MAX_WORKSPACES: usize = 10_000;

/// Four times the 2,500 upstreams that the system is designed for.
const MAX_UPSTREAMS: usize = 10_000;

/// Two tokens allow a token rotation, two more a second caller.
const MAX_TOKENS_PER_WORKSPACE: usize = 4;

const MAX_FIRMS_PER_WORKSPACE: usize = 1_000;

const ONE_DAY_MS: u64 = 24 * 60 * 60 * 1_000;

/// Validates one bundle and collects the errors.
pub(crate) struct BundleChecker<'a> {
    pub(crate) bundle: &'a Bundle,
    pub(crate) upstreams: HashMap<&'a str, &'a Upstream>,
    active_zones: BTreeSet<&'a str>,
    errors: Vec<ValidationError>,
}

/// Returns all errors of a bundle, except dangerous changes that it consents to.
///
/// An upstream must accept a connection from each node; this is checked if `fleet_size`, the number of nodes, is known.
pub fn check(bundle: &Bundle, fleet_size: Option<u32>) -> Vec<ValidationError> {
    let upstreams = bundle
        .upstreams
        .iter()
        .map(|upstream| (upstream.name.as_str(), upstream))
        .collect();
    let active_zones = bundle
        .zones
        .iter()
        .filter(|zone| zone.state == ZoneState::In)
        .map(|zone| zone.name.as_str())
        .collect();
    let mut checker = BundleChecker {
        bundle,
        upstreams,
        active_zones,
        errors: Vec::new(),
    };
    checker.check_header();
    checker.check_limits_and_policy();
    checker.check_zones_and_classes();
    checker.check_workspaces();
    checker.check_upstreams(fleet_size);
    service_check::check_services(&mut checker);
    checker.check_capacity();
    remove_consented(bundle, checker.errors)
}

/// Removes the errors that the bundle consents to.
pub(crate) fn remove_consented(
    bundle: &Bundle,
    mut errors: Vec<ValidationError>,
) -> Vec<ValidationError> {
    errors.retain(|error| {
        let named = bundle
            .consents
            .iter()
            .any(|consent| consent == error.code.name());
        !(named && error.code.allows_consent())
    });
    errors
}

impl BundleChecker<'_> {
    pub(crate) fn add_error(
        &mut self,
        code: ValidationCode,
        location: impl Into<String>,
        detail: impl Into<String>,
    ) {
        self.errors
            .push(ValidationError::new(code, location, detail));
    }

    /// Whether the upstream is active and in an active zone. An unknown upstream is not.
    pub(crate) fn accepts_new_work(&self, upstream: &str) -> bool {
        self.upstreams
            .get(upstream)
            .is_some_and(|upstream| self.is_active(upstream))
    }

    /// Whether any zone is active. If none is, every service is unavailable, and only the error about the zones is
    /// reported.
    pub(crate) fn has_active_zone(&self) -> bool {
        !self.active_zones.is_empty()
    }

    fn is_active(&self, upstream: &Upstream) -> bool {
        upstream.state == UpstreamState::Active
            && self.active_zones.contains(upstream.zone.as_str())
    }

    pub(crate) fn check_name(&mut self, location: &str, name: &str) {
        let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'-' | b'_');
        if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.bytes().all(allowed) {
            let short: String = name.chars().take(MAX_NAME_BYTES).collect();
            self.add_error(
                ValidationCode::Name,
                location,
                format!("invalid name {short:?}"),
            );
        }
    }

    pub(crate) fn check_length(
        &mut self,
        location: &str,
        found: usize,
        bounds: RangeInclusive<usize>,
    ) {
        if !bounds.contains(&found) {
            let detail = format!(
                "{found} entries, not {} to {}",
                bounds.start(),
                bounds.end()
            );
            self.add_error(ValidationCode::ListLength, location, detail);
        }
    }

    fn check_range(
        &mut self,
        location: &str,
        field: &str,
        found: u64,
        bounds: RangeInclusive<u64>,
    ) {
        if !bounds.contains(&found) {
            let detail = format!(
                "{field} is {found}, not {} to {}",
                bounds.start(),
                bounds.end()
            );
            self.add_error(ValidationCode::NumberRange, location, detail);
        }
    }

    fn check_share(&mut self, location: &str, field: &str, found: f64) {
        if !(0.0..=1.0).contains(&found) {
            self.add_error(
                ValidationCode::NumberRange,
                location,
                format!("{field} is {found}, not 0 to 1"),
            );
        }
    }

    /// Reports every key that occurs more than once.
    pub(crate) fn check_unique<K: Ord>(&mut self, entries: impl Iterator<Item = (K, String)>) {
        let mut seen = BTreeSet::new();
        for (key, location) in entries {
            if !seen.insert(key) {
                self.add_error(ValidationCode::Duplicate, location, "occurs more than once");
            }
        }
    }

    fn check_header(&mut self) {
        let bundle = self.bundle;
        if bundle.format != 1 {
            self.add_error(
                ValidationCode::Format,
                "bundle",
                format!("unsupported format {}", bundle.format),
            );
        }
        if bundle.version == 0 {
            self.add_error(ValidationCode::VersionZero, "bundle", "version is 0");
        }
        self.check_name("deployment", &bundle.deployment);
        for consent in &bundle.consents {
            let known = ValidationCode::NAMES
                .iter()
                .any(|(name, code)| name == consent && code.allows_consent());
            if !known {
                let short: String = consent.chars().take(MAX_NAME_BYTES).collect();
                self.add_error(
                    ValidationCode::UnknownConsent,
                    "consents",
                    format!("{short:?} is not the code of a dangerous change"),
                );
            }
        }
    }

    fn check_limits_and_policy(&mut self) {
        let DeploymentLimits {
            capacity_floor,
            max_deadline_ms,
            max_results,
            queue_length,
        } = self.bundle.limits;
        self.check_share("limits", "capacity_floor", capacity_floor);
        self.check_range("limits", "max_deadline_ms", max_deadline_ms, 1..=60_000);
        self.check_range("limits", "max_results", max_results.into(), 1..=1_000);
        self.check_range("limits", "queue_length", queue_length.into(), 1..=100_000);
        let LoadPolicy {
            extra_load,
            hedge_quantile,
            warm_step_replies,
            warm_up_ms,
            quarantine_ms,
        } = self.bundle.policy;
        self.check_share("policy", "extra_load", extra_load);
        self.check_share("policy", "hedge_quantile", hedge_quantile);
        let replies = warm_step_replies.into();
        self.check_range("policy", "warm_step_replies", replies, 1..=10_000);
        self.check_range("policy", "warm_up_ms", warm_up_ms, 0..=ONE_DAY_MS);
        self.check_range("policy", "quarantine_ms", quarantine_ms, 0..=ONE_DAY_MS);
    }

    fn check_zones_and_classes(&mut self) {
        let bundle = self.bundle;
        self.check_length("zones", bundle.zones.len(), 1..=MAX_ZONES_OR_CLASSES);
        self.check_length("classes", bundle.classes.len(), 1..=MAX_ZONES_OR_CLASSES);
        for zone in &bundle.zones {
            let location = format!("zone {}", zone.name);
            self.check_name(&location, &zone.name);
            self.check_name(&format!("{location}, region"), &zone.region);
        }
        for class in &bundle.classes {
            let location = format!("class {}", class.name);
            self.check_name(&location, &class.name);
            self.check_range(&location, "weight", class.weight.into(), 1..=1_000);
        }
        let zones = bundle.zones.iter();
        self.check_unique(zones.map(|zone| (&zone.name, format!("zone {}", zone.name))));
        let classes = bundle.classes.iter();
        self.check_unique(classes.map(|class| (&class.name, format!("class {}", class.name))));
        if !self.has_active_zone() {
            self.add_error(ValidationCode::AllZonesOut, "zones", "every zone is out");
        }
    }

    fn check_workspaces(&mut self) {
        let bundle = self.bundle;
        self.check_length("tenants", bundle.workspaces.len(), 1..=MAX_WORKSPACES);
        for workspace in &bundle.workspaces {
            let location = format!("tenant {}", workspace.name);
            self.check_name(&location, &workspace.name);
            if !bundle.classes.iter().any(|c| c.name == workspace.class) {
                self.add_error(
                    ValidationCode::UnknownClass,
                    &*location,
                    format!("class {:?}", workspace.class),
                );
            }
            let tokens = &workspace.token_sha256;
            self.check_length(
                &format!("{location}, token_sha256"),
                tokens.len(),
                1..=MAX_TOKENS_PER_WORKSPACE,
            );
            if tokens.contains(&Digest::of(b"")) {
                self.add_error(
                    ValidationCode::EmptyToken,
                    &*location,
                    "contains the hash of the empty token",
                );
            }
            self.check_length(
                &format!("{location}, firms"),
                workspace.firms.len(),
                0..=MAX_FIRMS_PER_WORKSPACE,
            );
            for firm in &workspace.firms {
                self.check_name(&format!("{location}, firm {firm}"), firm);
            }
        }
        let names = bundle.workspaces.iter();
        self.check_unique(
            names.map(|workspace| (&workspace.name, format!("tenant {}", workspace.name))),
        );
        // A token must identify exactly one workspace.
        let tokens = bundle.workspaces.iter().flat_map(|workspace| {
            let location = format!("tenant {}, token_sha256", workspace.name);
            workspace
                .token_sha256
                .iter()
                .map(move |hash| (hash, location.clone()))
        });
        self.check_unique(tokens);
    }

    fn check_upstreams(&mut self, fleet_size: Option<u32>) {
        let bundle = self.bundle;
        self.check_length("upstreams", bundle.upstreams.len(), 1..=MAX_UPSTREAMS);
        for upstream in &bundle.upstreams {
            let location = format!("upstream {}", upstream.name);
            self.check_name(&location, &upstream.name);
            if !bundle.zones.iter().any(|zone| zone.name == upstream.zone) {
                let detail = format!("zone {:?}", upstream.zone);
                self.add_error(ValidationCode::UnknownZone, &*location, detail);
            }
            self.check_range(&location, "slots", upstream.slots.into(), 1..=10_000);
            let cold_bound = u64::from(upstream.slots).max(1);
            self.check_range(
                &location,
                "cold_slots",
                upstream.cold_slots.into(),
                1..=cold_bound,
            );
            let connections = upstream.connections;
            self.check_range(&location, "connections", connections.into(), 1..=100_000);
            if fleet_size.is_some_and(|fleet_size| connections > 0 && connections < fleet_size) {
                let detail = format!("accepts only {connections} connections");
                self.add_error(ValidationCode::ConnectionsBelowNodes, &*location, detail);
            }
            self.check_range(
                &location,
                "connect_ms",
                upstream.connect_ms.into(),
                0..=60_000,
            );
            self.check_range(
                &location,
                "port",
                upstream.address.port().into(),
                1..=65_535,
            );
        }
        let names = bundle.upstreams.iter();
        self.check_unique(names.map(|u| (&u.name, format!("upstream {}", u.name))));
        let addresses = bundle.upstreams.iter();
        self.check_unique(addresses.map(|u| (u.address, format!("upstream {}, address", u.name))));
    }

    fn check_capacity(&mut self) {
        let share = active_capacity_share(self.bundle);
        let floor = self.bundle.limits.capacity_floor;
        if self.has_active_zone() && share < floor {
            let detail =
                format!("only {share:.2} of the slots accept new work, the floor is {floor:.2}");
            self.add_error(ValidationCode::CapacityBelowFloor, "capacity", detail);
        }
    }
}

/// Share of the slots of all upstreams, 0 to 1, that is in active upstreams of active zones.
pub fn active_capacity_share(bundle: &Bundle) -> f64 {
    let zone_in = |name: &str| {
        bundle
            .zones
            .iter()
            .any(|zone| zone.name == name && zone.state == ZoneState::In)
    };
    let slots = |upstream: &Upstream| u64::from(upstream.slots);
    let total: u64 = bundle.upstreams.iter().map(slots).sum();
    let taking: u64 = bundle
        .upstreams
        .iter()
        .filter(|upstream| upstream.state == UpstreamState::Active && zone_in(&upstream.zone))
        .map(slots)
        .sum();
    taking as f64 / total.max(1) as f64
}
