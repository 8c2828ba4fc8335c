//! Comparison of a bundle with the previous one.

use crate::{bundle_check, prelude::*};
use std::fmt::{self, Display, Formatter};

/// What publishing a bundle changes. Lists contain names.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct BundleDiff {
    /// Bundle versions before and after.
    pub version: (u64, u64),
    /// Zones that stop accepting new work or are removed.
    pub zones_out: Vec<String>,
    /// Zones that start accepting new work or are added.
    pub zones_in: Vec<String>,
    /// Upstreams that only the new bundle has.
    pub upstreams_added: Vec<String>,
    /// Upstreams that only the old bundle has.
    pub upstreams_removed: Vec<String>,
    /// Upstreams that the new bundle marks as leaving.
    pub upstreams_leaving: Vec<String>,
    /// Upstreams whose address, zone or limits change, or that are no longer leaving.
    pub upstreams_changed: Vec<String>,
    /// Changed limits and policy fields, as `limits.NAME: BEFORE -> AFTER`, and classes added, removed or changed.
    pub limits_changed: Vec<String>,
    /// Added index versions, as `SERVICE INDEX_VERSION`.
    pub index_added: Vec<String>,
    /// Removed index versions, as `SERVICE INDEX_VERSION`.
    pub index_removed: Vec<String>,
    /// Services added, removed, or with changed shards or upstreams.
    pub services_changed: Vec<String>,
    /// Workspaces added, removed, or with a changed class, tokens or firms.
    pub workspaces_changed: Vec<String>,
    /// Share of the slots, 0 to 1, that accepts new work, before and after.
    pub capacity_in: (f64, f64),
}

/// Names of the entries that differ between two lists.
struct NameChanges {
    added: Vec<String>,
    removed: Vec<String>,
    changed: Vec<String>,
}

impl BundleDiff {
    /// Compares `new` with `old`, the bundle it replaces.
    pub fn between(old: &Bundle, new: &Bundle) -> Self {
        let upstreams = diff_by_name(&old.upstreams, &new.upstreams, |u| &u.name);
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
            zones_out: missing_from(&active_zones(old), &active_zones(new)),
            zones_in: missing_from(&active_zones(new), &active_zones(old)),
            upstreams_added: upstreams.added,
            upstreams_removed: upstreams.removed,
            upstreams_leaving,
            upstreams_changed,
            limits_changed: changed_limits(old, new),
            index_added: missing_from(&index_versions(new), &index_versions(old)),
            index_removed: missing_from(&index_versions(old), &index_versions(new)),
            services_changed: diff_by_name(&old.services, &new.services, |s| &s.name).into_names(),
            workspaces_changed: diff_by_name(&old.workspaces, &new.workspaces, |t| &t.name)
                .into_names(),
            capacity_in: (
                bundle_check::active_capacity_share(old),
                bundle_check::active_capacity_share(new),
            ),
        }
    }

    fn labelled_lists(&self) -> [(&'static str, &[String]); 11] {
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
            ("tenants changed", &self.workspaces_changed),
        ]
    }
}

impl Display for BundleDiff {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let (old, new) = self.version;
        writeln!(f, "version: {old} -> {new}")?;
        for (title, names) in self.labelled_lists() {
            if !names.is_empty() {
                writeln!(f, "{title}: {}", names.join(", "))?;
            }
        }
        let (old, new) = self.capacity_in;
        writeln!(f, "share of capacity in: {old:.2} -> {new:.2}")
    }
}

impl NameChanges {
    fn into_names(self) -> Vec<String> {
        [self.added, self.removed, self.changed].concat()
    }
}

/// Returns the dangerous changes from `old` to `new`, except those that `new` consents to.
pub fn check_change(old: &Bundle, new: &Bundle) -> Vec<ValidationError> {
    let mut errors = Vec::new();
    if new.version <= old.version {
        let detail = format!("version {}, previous version {}", new.version, old.version);
        errors.push(ValidationError::new(
            ValidationCode::VersionNotHigher,
            "bundle",
            detail,
        ));
    }
    if new.deployment != old.deployment {
        let detail = format!(
            "deployment {:?}, previous deployment {:?}",
            new.deployment, old.deployment
        );
        errors.push(ValidationError::new(
            ValidationCode::DeploymentChanged,
            "deployment",
            detail,
        ));
    }
    for service in &old.services {
        let Some(newest) = service.layouts.last() else {
            continue;
        };
        let is_kept = new
            .services
            .iter()
            .filter(|s| s.name == service.name)
            .flat_map(|s| &s.layouts)
            .any(|layout| layout.index_version == newest.index_version);
        if !is_kept {
            let location = format!("service {}, layout {}", service.name, newest.index_version);
            let detail = "the newest index version was removed";
            errors.push(ValidationError::new(
                ValidationCode::NewestIndexRemoved,
                location,
                detail,
            ));
        }
    }
    bundle_check::remove_consented(new, errors)
}

fn diff_by_name<T: PartialEq>(old: &[T], new: &[T], name: fn(&T) -> &String) -> NameChanges {
    let names = |list: &'_ [T]| list.iter().map(name).cloned().collect::<Vec<_>>();
    let before: BTreeMap<_, _> = old.iter().map(|entry| (name(entry), entry)).collect();
    let changed = new
        .iter()
        .filter(|entry| before.get(name(entry)).is_some_and(|old| old != entry))
        .map(|entry| name(entry).clone())
        .collect();
    NameChanges {
        added: missing_from(&names(new), &names(old)),
        removed: missing_from(&names(old), &names(new)),
        changed,
    }
}

/// Names that are not in `known`, in their original order.
fn missing_from(names: &[String], known: &[String]) -> Vec<String> {
    let known: std::collections::BTreeSet<_> = known.iter().collect();
    names
        .iter()
        .filter(|name| !known.contains(name))
        .cloned()
        .collect()
}

fn active_zones(bundle: &Bundle) -> Vec<String> {
    bundle
        .zones
        .iter()
        .filter(|zone| zone.state == ZoneState::In)
        .map(|zone| zone.name.clone())
        .collect()
}

fn index_versions(bundle: &Bundle) -> Vec<String> {
    bundle
        .services
        .iter()
        .flat_map(|service| {
            let named = |layout: &ShardLayout| format!("{} {}", service.name, layout.index_version);
            service.layouts.iter().map(named)
        })
        .collect()
}

fn changed_limits(old: &Bundle, new: &Bundle) -> Vec<String> {
    let mut changed = Vec::new();
    push_changed_fields("limits", &old.limits, &new.limits, &mut changed);
    push_changed_fields("policy", &old.policy, &new.policy, &mut changed);
    for name in diff_by_name(&old.classes, &new.classes, |class| &class.name).into_names() {
        changed.push(format!("class {name}"));
    }
    changed
}

/// Appends each field of a table whose value differs.
fn push_changed_fields<T: Serialize>(table: &str, old: &T, new: &T, changed: &mut Vec<String>) {
    let (Ok(old), Ok(new)) = (toml::Table::try_from(old), toml::Table::try_from(new)) else {
        return;
    };
    for (name, before) in &old {
        if let Some(after) = new.get(name).filter(|after| *after != before) {
            changed.push(format!("{table}.{name}: {before} -> {after}"));
        }
    }
}
