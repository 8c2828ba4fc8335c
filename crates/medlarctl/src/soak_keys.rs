//! Workspaces and keys of a soak test, and the checks of what runs with which key.

use crate::{
    soak_checks::Invariant,
    soak_history::{PublishedConfiguration, SoakBounds, SoakHistory},
    soak_observation::{RunReport, SentRequest, SoakTime},
};
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// Workspaces, each with the key that it always holds.
const STABLE_KEYS: [(&str, &str); 2] = [("w-a", "stable-a"), ("w-b", "stable-b")];

/// Key that configurations give to one workspace, to the other one, or to none.
const MOVING_KEY: &str = "moving";

/// Key that no configuration contains.
const UNKNOWN_KEY: &str = "unknown";

/// Key that only the configuration of this version contains.
fn key_of_version(version: u64) -> String {
    format!("version-{version}")
}

/// Workspace that holds each key, by key.
pub type KeyHolders = BTreeMap<String, String>;

/// Holders of the keys in the configuration of this version.
pub(crate) fn key_holders(version: u64) -> KeyHolders {
    let stable = STABLE_KEYS.map(|(workspace, key)| (key.to_owned(), workspace.to_owned()));
    let mut holders = KeyHolders::from(stable);
    holders.insert(key_of_version(version), STABLE_KEYS[0].0.to_owned());
    if let Some((workspace, _)) = STABLE_KEYS.get(version as usize % (STABLE_KEYS.len() + 1)) {
        holders.insert(MOVING_KEY.to_owned(), (*workspace).to_owned());
    }
    holders
}

/// Workspaces with these keys, as a configuration lists them.
pub(crate) fn workspaces(holders: &KeyHolders) -> Value {
    let workspaces = STABLE_KEYS.map(|(workspace, _)| {
        let held = holders.iter().filter(|(_, holder)| *holder == workspace);
        let keys: Vec<_> = held.map(|(key, _)| key).collect();
        json!({"name": workspace, "apiKeys": keys})
    });
    json!(workspaces)
}

/// Key of a random request; `None` for a request without one. `versions` are those of the last configurations.
pub(crate) fn random_key(random: &mut fastrand::Rng, versions: &[u64]) -> Option<String> {
    let key = match random.u32(..20) {
        0 => return None,
        1 => UNKNOWN_KEY,
        2 | 3 => {
            return random
                .choice(versions)
                .map(|version| key_of_version(*version));
        }
        4..=6 => MOVING_KEY,
        number => STABLE_KEYS[number as usize % STABLE_KEYS.len()].1,
    };
    Some(key.to_owned())
}

/// Finds a run with a key that no configuration contains which may be in force on any node, on behalf of another workspace
/// than that of the key, or with the key passed on. The bound holds for all nodes, whatever their contact with the store.
pub(crate) fn check_run(
    sent: &SentRequest,
    run: &RunReport,
    history: &SoakHistory,
    bounds: &SoakBounds,
) -> Option<(Invariant, String)> {
    if run.has_key {
        return Some((
            Invariant::Named,
            format!("{} received the key", run.instance),
        ));
    }
    let Some(key) = &sent.key else {
        return Some((Invariant::Revoked, "ran without a key".to_owned()));
    };
    let possible = newest_and_later(history, sent.sent_at, bounds.revoke, acknowledged_at);
    let holders: Vec<_> = possible.filter_map(|c| c.key_holders.get(key)).collect();
    if holders.is_empty() {
        let detail = format!("ran with key {key}, which is removed or unknown");
        return Some((Invariant::Revoked, detail));
    }
    let is_named = run
        .workspace
        .as_ref()
        .is_some_and(|name| holders.contains(&name));
    let detail = || format!("ran for {:?} with a key of {holders:?}", run.workspace);
    (!is_named).then(|| (Invariant::Named, detail()))
}

/// Describes a 401 for a key that all configurations contain by which a node with contact to the store may decide.
pub(crate) fn refused_key(
    sent: &SentRequest,
    history: &SoakHistory,
    bounds: &SoakBounds,
) -> Option<String> {
    let key = sent.key.as_ref()?;
    if !history.has_store_contact(bounds, sent.node, sent.sent_at) {
        return None;
    }
    let published_at = |_: &SoakHistory, c: &PublishedConfiguration| Some(c.published_at);
    let mut possible =
        newest_and_later(history, sent.sent_at, bounds.config_apply, published_at).peekable();
    possible.peek()?;
    let is_known = possible.all(|c| c.key_holders.contains_key(key));
    is_known.then(|| format!("status 401 for key {key}"))
}

/// Time by which the store has acknowledged a configuration: a store that stands still does so at the end of the pause.
/// `None` if the pause lasts.
fn acknowledged_at(
    history: &SoakHistory,
    configuration: &PublishedConfiguration,
) -> Option<SoakTime> {
    let published_at = configuration.published_at;
    let pauses = history.store_pauses.iter();
    let mut pauses = pauses.map(|pause| history.store_disturbances[*pause]);
    let pause = pauses.find(|pause| {
        pause.from <= published_at && pause.until.is_none_or(|until| until >= published_at)
    });
    pause.map_or(Some(published_at), |pause| pause.until)
}

/// The newest configuration that was acknowledged `bound` before `at`, and all later ones.
fn newest_and_later(
    history: &SoakHistory,
    at: SoakTime,
    bound: SoakTime,
    acknowledged_at: impl Fn(&SoakHistory, &PublishedConfiguration) -> Option<SoakTime>,
) -> impl Iterator<Item = &PublishedConfiguration> {
    let is_due = |c: &PublishedConfiguration| {
        acknowledged_at(history, c).is_some_and(|acknowledged| acknowledged + bound < at)
    };
    let newest_due = history.configurations.iter().rposition(is_due);
    history
        .configurations
        .iter()
        .skip(newest_due.unwrap_or_default())
}
