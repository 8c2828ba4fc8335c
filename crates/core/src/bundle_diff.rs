//! Difference of two bundles, as the effect of publishing the second after the first.

use crate::{bundle_check, prelude::*};
use std::fmt::{self, Display, Formatter};

/// What publishing a bundle changes. Lists hold names.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct BundleDiff {
    /// Versions before and after.
    pub version: (u64, u64),
    /// Zones that stop taking new work, or are removed.
    pub zones_out: Vec<String>,
    /// Zones that start taking new work, or are added.
    pub zones_in: Vec<String>,
    /// Upstreams added.
    pub upstreams_added: Vec<String>,
    /// Upstreams removed.
    pub upstreams_removed: Vec<String>,
    /// Upstreams that are now leaving.
    pub upstreams_leaving: Vec<String>,
    /// Upstreams whose address, zone or limits differ, or that no longer leave.
    pub upstreams_changed: Vec<String>,
    /// Limits and policy that differ, as `limits.NAME: BEFORE -> AFTER`, and classes that differ.
    pub limits_changed: Vec<String>,
    /// Index versions added, as `SERVICE INDEX_VERSION`.
    pub index_added: Vec<String>,
    /// Index versions removed, as `SERVICE INDEX_VERSION`.
    pub index_removed: Vec<String>,
    /// Services added, removed, or with other shards or upstreams.
    pub services_changed: Vec<String>,
    /// Tenants added, removed, or with another class, tokens or firms.
    pub tenants_changed: Vec<String>,
    /// Share of the slots that take new work, before and after.
    pub capacity_in: (f64, f64),
}

/// Names in one of two maps, and in both with different values.
struct Changes {
    added: Vec<String>,
    removed: Vec<String>,
    changed: Vec<String>,
}

impl BundleDiff {
    /// [`BundleDiff`] of publishing `new` after `old`.
    pub fn between(old: &Bundle, new: &Bundle) -> Self {
        let upstreams = changes(&old.upstreams, &new.upstreams, |u| &u.name);
        let leaving = |bundle: &Bundle, name: &str| {
            bundle
                .upstreams
                .iter()
                .any(|u| u.name == name && u.state == UpstreamState::Leaving)
        };
        let (upstreams_leaving, upstreams_changed) = upstreams
            .changed
            .into_iter()
            .partition(|name| leaving(new, name) && !leaving(old, name));
        Self {
            version: (old.version, new.version),
            zones_out: missing_from(&zones_in(old), &zones_in(new)),
            zones_in: missing_from(&zones_in(new), &zones_in(old)),
            upstreams_added: upstreams.added,
            upstreams_removed: upstreams.removed,
            upstreams_leaving,
            upstreams_changed,
            limits_changed: limits(old, new),
            index_added: missing_from(&indexes(new), &indexes(old)),
            index_removed: missing_from(&indexes(old), &indexes(new)),
            services_changed: changes(&old.services, &new.services, |s| &s.name).all(),
            tenants_changed: changes(&old.tenants, &new.tenants, |t| &t.name).all(),
            capacity_in: (
                bundle_check::active_capacity_share(old),
                bundle_check::active_capacity_share(new),
            ),
        }
    }

    fn lists(&self) -> [(&'static str, &[String]); 11] {
        [
            ("zones out", &self.zones_out),
            ("zones in", &self.zones_in),
            ("upstreams added", &self.upstreams_added),
            ("upstreams removed", &self.upstreams_removed),
            ("upstreams leaving", &self.upstreams_leaving),
            ("upstreams changed", &self.upstreams_changed),
            ("limits changed", &self.limits_changed),
            ("index versions added", &self.index_added),
            ("index versions removed", &self.index_removed),
            ("services changed", &self.services_changed),
            ("tenants changed", &self.tenants_changed),
        ]
    }
}

impl Display for BundleDiff {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let (old, new) = self.version;
        writeln!(f, "version: {old} -> {new}")?;
        for (title, names) in self.lists() {
            if !names.is_empty() {
                writeln!(f, "{title}: {}", names.join(", "))?;
            }
        }
        let (old, new) = self.capacity_in;
        writeln!(f, "share of capacity in: {old:.2} -> {new:.2}")
    }
}

impl Changes {
    fn all(self) -> Vec<String> {
        [self.added, self.removed, self.changed].concat()
    }
}

/// Faults of publishing `new` after `old`, without those that `new` consents to.
pub fn check_change(old: &Bundle, new: &Bundle) -> Vec<ValidationError> {
    let mut faults = Vec::new();
    if new.version <= old.version {
        let detail = format!("{} after {}", new.version, old.version);
        faults.push(ValidationError::new(
            ValidationCode::VersionNotHigher,
            "bundle",
            detail,
        ));
    }
    if new.deployment != old.deployment {
        let detail = format!("{:?} after {:?}", new.deployment, old.deployment);
        faults.push(ValidationError::new(
            ValidationCode::DeploymentChanged,
            "deployment",
            detail,
        ));
    }
    for service in &old.services {
        let Some(newest) = service.layouts.last() else {
            continue;
        };
        let kept = new
            .services
            .iter()
            .filter(|s| s.name == service.name)
            .flat_map(|s| &s.layouts)
            .any(|layout| layout.index_version == newest.index_version);
        if !kept {
            let place = format!("service {}, layout {}", service.name, newest.index_version);
            let detail = "was the newest index version and is removed";
            faults.push(ValidationError::new(
                ValidationCode::NewestIndexRemoved,
                place,
                detail,
            ));
        }
    }
    bundle_check::remove_consented(new, faults)
}

fn changes<T: PartialEq>(old: &[T], new: &[T], name: fn(&T) -> &String) -> Changes {
    let map = |list: &'_ [T]| list.iter().map(name).cloned().collect::<Vec<_>>();
    let before: BTreeMap<_, _> = old.iter().map(|entry| (name(entry), entry)).collect();
    let changed = new
        .iter()
        .filter(|entry| before.get(name(entry)).is_some_and(|old| old != entry))
        .map(|entry| name(entry).clone())
        .collect();
    Changes {
        added: missing_from(&map(new), &map(old)),
        removed: missing_from(&map(old), &map(new)),
        changed,
    }
}

/// Entries of `names` that are not in `known`, in the order of `names`.
fn missing_from(names: &[String], known: &[String]) -> Vec<String> {
    let known: std::collections::BTreeSet<_> = known.iter().collect();
    names
        .iter()
        .filter(|name| !known.contains(name))
        .cloned()
        .collect()
}

fn zones_in(bundle: &Bundle) -> Vec<String> {
    bundle
        .zones
        .iter()
        .filter(|zone| zone.state == ZoneState::In)
        .map(|zone| zone.name.clone())
        .collect()
}

fn indexes(bundle: &Bundle) -> Vec<String> {
    bundle
        .services
        .iter()
        .flat_map(|service| {
            let named = |layout: &ShardLayout| format!("{} {}", service.name, layout.index_version);
            service.layouts.iter().map(named)
        })
        .collect()
}

fn limits(old: &Bundle, new: &Bundle) -> Vec<String> {
    let mut changed = Vec::new();
    fields("limits", &old.limits, &new.limits, &mut changed);
    fields("policy", &old.policy, &new.policy, &mut changed);
    for name in changes(&old.classes, &new.classes, |class| &class.name).all() {
        changed.push(format!("class {name}"));
    }
    changed
}

/// Adds each field that differs.
fn fields<T: Serialize>(table: &str, old: &T, new: &T, changed: &mut Vec<String>) {
    let (Ok(old), Ok(new)) = (toml::Table::try_from(old), toml::Table::try_from(new)) else {
        return;
    };
    for (name, before) in &old {
        if let Some(after) = new.get(name).filter(|after| *after != before) {
            changed.push(format!("{table}.{name}: {before} -> {after}"));
        }
    }
}
