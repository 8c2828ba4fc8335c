//! Checks of one bundle, which find all faults at once.
//!
//! The result depends on the bundle alone, so that every node decides alike. Checks against the bundle before it are in
//! [`crate::bundle_diff`].

use crate::{prelude::*, service_check};
use std::{
    collections::{BTreeSet, HashMap},
    ops::RangeInclusive,
};

/// Longest name, in bytes. Names become labels of metrics and fields of logs.
const MAX_NAME_BYTES: usize = 64;

/// Most zones or classes; far above the 5 zones a region of the design size.
const MAX_ZONES: usize = 64;

/// Most tenants or services, which are labels of metrics.
const MAX_TENANTS: usize = 10_000;

/// Most upstreams; four times the design size of 2,500.
const MAX_UPSTREAMS: usize = 10_000;

/// Most tokens of a tenant; two allow a change of token, two more a second caller.
const MAX_TOKENS: usize = 4;

/// Most firms that a tenant speaks for.
const MAX_FIRMS: usize = 1_000;

/// A day, in milliseconds.
const DAY_MS: u64 = 24 * 60 * 60 * 1_000;

/// Looks through one bundle and collects faults.
pub(crate) struct BundleCheck<'a> {
    pub(crate) bundle: &'a Bundle,
    pub(crate) upstreams: HashMap<&'a str, &'a Upstream>,
    zones_in: BTreeSet<&'a str>,
    faults: Vec<ValidationError>,
}

/// All faults of a bundle, without those dangerous changes that it consents to.
///
/// `nodes` is the size of the fleet, if it is known: an upstream must accept a connection from each node.
pub fn check(bundle: &Bundle, nodes: Option<u32>) -> Vec<ValidationError> {
    let upstreams = bundle
        .upstreams
        .iter()
        .map(|upstream| (upstream.name.as_str(), upstream))
        .collect();
    let zones_in = bundle
        .zones
        .iter()
        .filter(|zone| zone.state == ZoneState::In)
        .map(|zone| zone.name.as_str())
        .collect();
    let mut check = BundleCheck {
        bundle,
        upstreams,
        zones_in,
        faults: Vec::new(),
    };
    check.head();
    check.numbers();
    check.zones_and_classes();
    check.tenants();
    check.upstreams(nodes);
    service_check::check(&mut check);
    check.capacity();
    remove_consented(bundle, check.faults)
}

/// Leaves out the faults that the bundle consents to.
pub(crate) fn remove_consented(
    bundle: &Bundle,
    mut faults: Vec<ValidationError>,
) -> Vec<ValidationError> {
    faults.retain(|fault| {
        let named = bundle
            .consents
            .iter()
            .any(|consent| consent == fault.code.name());
        !(named && fault.code.allows_consent())
    });
    faults
}

impl BundleCheck<'_> {
    pub(crate) fn add(
        &mut self,
        code: ValidationCode,
        place: impl Into<String>,
        detail: impl Into<String>,
    ) {
        self.faults.push(ValidationError::new(code, place, detail));
    }

    /// Whether the upstream takes new work. An unknown one does not.
    pub(crate) fn is_in(&self, upstream: &str) -> bool {
        self.upstreams
            .get(upstream)
            .is_some_and(|upstream| self.takes_work(upstream))
    }

    /// Whether a zone takes new work. Otherwise no shard does, and one fault says it.
    pub(crate) fn any_zone_in(&self) -> bool {
        !self.zones_in.is_empty()
    }

    fn takes_work(&self, upstream: &Upstream) -> bool {
        upstream.state == UpstreamState::Active && self.zones_in.contains(upstream.zone.as_str())
    }

    pub(crate) fn name(&mut self, place: &str, name: &str) {
        let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'-' | b'_');
        if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.bytes().all(allowed) {
            let short: String = name.chars().take(MAX_NAME_BYTES).collect();
            self.add(
                ValidationCode::Name,
                place,
                format!("the name is {short:?}"),
            );
        }
    }

    pub(crate) fn length(&mut self, place: &str, found: usize, bounds: RangeInclusive<usize>) {
        if !bounds.contains(&found) {
            let detail = format!(
                "{found} entries, not {} to {}",
                bounds.start(),
                bounds.end()
            );
            self.add(ValidationCode::ListLength, place, detail);
        }
    }

    fn number(&mut self, place: &str, field: &str, found: u64, bounds: RangeInclusive<u64>) {
        if !bounds.contains(&found) {
            let detail = format!(
                "{field} is {found}, not {} to {}",
                bounds.start(),
                bounds.end()
            );
            self.add(ValidationCode::NumberRange, place, detail);
        }
    }

    fn share(&mut self, place: &str, field: &str, found: f64) {
        if !(0.0..=1.0).contains(&found) {
            self.add(
                ValidationCode::NumberRange,
                place,
                format!("{field} is {found}, not 0 to 1"),
            );
        }
    }

    /// Reports each key that occurs again.
    pub(crate) fn unique<K: Ord>(&mut self, entries: impl Iterator<Item = (K, String)>) {
        let mut seen = BTreeSet::new();
        for (key, place) in entries {
            if !seen.insert(key) {
                self.add(ValidationCode::Duplicate, place, "occurs twice");
            }
        }
    }

    fn head(&mut self) {
        let bundle = self.bundle;
        if bundle.format != 1 {
            self.add(
                ValidationCode::Format,
                "bundle",
                format!("format is {}", bundle.format),
            );
        }
        if bundle.version == 0 {
            self.add(ValidationCode::VersionZero, "bundle", "version is 0");
        }
        self.name("deployment", &bundle.deployment);
        for consent in &bundle.consents {
            let known = ValidationCode::NAMES
                .iter()
                .any(|(name, code)| name == consent && code.allows_consent());
            if !known {
                let short: String = consent.chars().take(MAX_NAME_BYTES).collect();
                self.add(
                    ValidationCode::UnknownConsent,
                    "consents",
                    format!("{short:?} is no dangerous change"),
                );
            }
        }
    }

    fn numbers(&mut self) {
        let DeploymentLimits {
            capacity_floor,
            max_deadline_ms,
            max_results,
            queue_length,
        } = self.bundle.limits;
        self.share("limits", "capacity_floor", capacity_floor);
        self.number("limits", "max_deadline_ms", max_deadline_ms, 1..=60_000);
        self.number("limits", "max_results", max_results.into(), 1..=1_000);
        self.number("limits", "queue_length", queue_length.into(), 1..=100_000);
        let LoadPolicy {
            extra_load,
            hedge_quantile,
            warm_step_replies,
            warm_up_ms,
            quarantine_ms,
        } = self.bundle.policy;
        self.share("policy", "extra_load", extra_load);
        self.share("policy", "hedge_quantile", hedge_quantile);
        let replies = warm_step_replies.into();
        self.number("policy", "warm_step_replies", replies, 1..=10_000);
        self.number("policy", "warm_up_ms", warm_up_ms, 0..=DAY_MS);
        self.number("policy", "quarantine_ms", quarantine_ms, 0..=DAY_MS);
    }

    fn zones_and_classes(&mut self) {
        let bundle = self.bundle;
        self.length("zones", bundle.zones.len(), 1..=MAX_ZONES);
        self.length("classes", bundle.classes.len(), 1..=MAX_ZONES);
        for zone in &bundle.zones {
            let place = format!("zone {}", zone.name);
            self.name(&place, &zone.name);
            self.name(&format!("{place}, region"), &zone.region);
        }
        for class in &bundle.classes {
            let place = format!("class {}", class.name);
            self.name(&place, &class.name);
            self.number(&place, "weight", class.weight.into(), 1..=1_000);
        }
        let zones = bundle.zones.iter();
        self.unique(zones.map(|zone| (&zone.name, format!("zone {}", zone.name))));
        let classes = bundle.classes.iter();
        self.unique(classes.map(|class| (&class.name, format!("class {}", class.name))));
        if !self.any_zone_in() {
            self.add(ValidationCode::AllZonesOut, "zones", "no zone is in");
        }
    }

    fn tenants(&mut self) {
        let bundle = self.bundle;
        self.length("tenants", bundle.tenants.len(), 1..=MAX_TENANTS);
        for tenant in &bundle.tenants {
            let place = format!("tenant {}", tenant.name);
            self.name(&place, &tenant.name);
            if !bundle.classes.iter().any(|c| c.name == tenant.class) {
                self.add(
                    ValidationCode::UnknownClass,
                    &*place,
                    format!("class {:?}", tenant.class),
                );
            }
            let tokens = &tenant.token_sha256;
            self.length(
                &format!("{place}, token_sha256"),
                tokens.len(),
                1..=MAX_TOKENS,
            );
            if tokens.contains(&Digest::of(b"")) {
                self.add(
                    ValidationCode::EmptyToken,
                    &*place,
                    "the empty token is let in",
                );
            }
            self.length(
                &format!("{place}, firms"),
                tenant.firms.len(),
                0..=MAX_FIRMS,
            );
            for firm in &tenant.firms {
                self.name(&format!("{place}, firm {firm}"), firm);
            }
        }
        let names = bundle.tenants.iter();
        self.unique(names.map(|tenant| (&tenant.name, format!("tenant {}", tenant.name))));
        // A token must prove one tenant only.
        let tokens = bundle.tenants.iter().flat_map(|tenant| {
            let place = format!("tenant {}, token_sha256", tenant.name);
            tenant
                .token_sha256
                .iter()
                .map(move |hash| (hash, place.clone()))
        });
        self.unique(tokens);
    }

    fn upstreams(&mut self, nodes: Option<u32>) {
        let bundle = self.bundle;
        self.length("upstreams", bundle.upstreams.len(), 1..=MAX_UPSTREAMS);
        for upstream in &bundle.upstreams {
            let place = format!("upstream {}", upstream.name);
            self.name(&place, &upstream.name);
            if !bundle.zones.iter().any(|zone| zone.name == upstream.zone) {
                let detail = format!("zone {:?}", upstream.zone);
                self.add(ValidationCode::UnknownZone, &*place, detail);
            }
            self.number(&place, "slots", upstream.slots.into(), 1..=10_000);
            let cold_bound = u64::from(upstream.slots).max(1);
            self.number(
                &place,
                "cold_slots",
                upstream.cold_slots.into(),
                1..=cold_bound,
            );
            let connections = upstream.connections;
            self.number(&place, "connections", connections.into(), 1..=100_000);
            if nodes.is_some_and(|nodes| connections > 0 && connections < nodes) {
                let detail = format!("{connections} connections");
                self.add(ValidationCode::ConnectionsBelowNodes, &*place, detail);
            }
            self.number(&place, "connect_ms", upstream.connect_ms.into(), 0..=60_000);
            self.number(&place, "port", upstream.address.port().into(), 1..=65_535);
        }
        let names = bundle.upstreams.iter();
        self.unique(names.map(|u| (&u.name, format!("upstream {}", u.name))));
        let addresses = bundle.upstreams.iter();
        self.unique(addresses.map(|u| (u.address, format!("upstream {}, address", u.name))));
    }

    fn capacity(&mut self) {
        let share = active_capacity_share(self.bundle);
        let floor = self.bundle.limits.capacity_floor;
        if self.any_zone_in() && share < floor {
            let detail = format!("{share:.2} of the slots are in, the floor is {floor:.2}");
            self.add(ValidationCode::CapacityBelowFloor, "capacity", detail);
        }
    }
}

/// Share of the upstream slots, 0 to 1, that take new work.
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
