//! What a soak test publishes: configurations, and zones that are taken out.

use crate::{
    soak_fleet::{DESK_SERVICE, SHARD_SETS, SoakFleet, span_from_now},
    soak_history::PublishedConfiguration,
    soak_keys,
    soak_observation::monotonic_micros,
};
use medlarpost_stand_in::{
    CONFIGURATION_KEY, RouteKind, StoreCommand, configuration, evacuation_key, route, shard_route,
};

/// Requests a second that a cold upstream can serve.
const COLD_REQUESTS_PER_SECOND: f64 = 10.0;

/// Number of versions whose added routes a configuration keeps, its own included.
const ADDED_ROUTES_KEPT: usize = 2;

impl SoakFleet {
    /// Publishes a configuration with this set of shards, which adds a route and drops an older one.
    pub(crate) async fn publish_configuration(&mut self, shard_set: usize) {
        // Versions rise in uneven steps; they need not be consecutive.
        self.version += 1 + self.version % 3;
        self.shard_set = shard_set;
        let version = self.version;
        let previous = self.history.configurations.last();
        let mut added_routes = previous.map_or(Vec::new(), |last| last.added_routes.clone());
        added_routes.push(version);
        added_routes.drain(..added_routes.len().saturating_sub(ADDED_ROUTES_KEPT));
        let names = self.shard_services(SHARD_SETS[shard_set]);
        let shard_names: Vec<&str> = names.iter().map(String::as_str).collect();
        let mut routes = vec![
            route(RouteKind::Idempotent, "/read/", DESK_SERVICE),
            route(RouteKind::NonIdempotent, "/book/", DESK_SERVICE),
            shard_route("/q/", &shard_names),
        ];
        routes.extend(added_routes.iter().map(|version| {
            route(
                RouteKind::Idempotent,
                &format!("/added-{version}/"),
                DESK_SERVICE,
            )
        }));
        let services = self.service_names();
        let services: Vec<&str> = services.iter().map(String::as_str).collect();
        let mut value = configuration(version, &routes, &services, COLD_REQUESTS_PER_SECOND);
        let key_holders = soak_keys::key_holders(version);
        value["tenants"] = soak_keys::workspaces(&key_holders);
        let command =
            StoreCommand::Put(CONFIGURATION_KEY.to_owned(), value.to_string().into_bytes());
        self.send_store_command(&command).await;
        self.history.configurations.push(PublishedConfiguration {
            version,
            published_at: monotonic_micros(),
            added_routes,
            shard_services: names,
            key_holders,
        });
    }

    /// Publishes a configuration with the same set of shards or the other one.
    pub(crate) async fn publish_next_configuration(&mut self, other_set: bool) {
        let shard_set = if other_set {
            1 - self.shard_set
        } else {
            self.shard_set
        };
        self.publish_configuration(shard_set).await;
    }

    /// Versions whose added routes callers request: those of the newest configuration and the one dropped last.
    pub(crate) fn requested_route_versions(&self) -> Vec<u64> {
        let newest = self.history.configurations.iter().rev();
        newest
            .take(ADDED_ROUTES_KEPT + 1)
            .map(|c| c.version)
            .collect()
    }

    /// Takes a zone out, or back in.
    pub(crate) async fn set_zone_out(&mut self, zone: &'static str, out: bool) {
        let key = evacuation_key(zone);
        if out {
            self.send_store_command(&StoreCommand::Put(key, b"{}".to_vec()))
                .await;
            let span = span_from_now();
            self.history.zones_out.push((zone.to_owned(), span));
            return;
        }
        self.history.end_zone_out(zone, monotonic_micros());
        self.send_store_command(&StoreCommand::Remove(key)).await;
    }
}
