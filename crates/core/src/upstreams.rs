//! Upstreams of the current bundle and the choice of a replica.

use crate::{
    prelude::*,
    replica_choice::{self, ReplicaLoad},
    upstream_chart::{UpstreamCondition, UpstreamEvent, UpstreamMachine},
    upstream_health::UpstreamHealth,
    upstream_member::{UpstreamMember, ramp_settings},
    warm_up_ownership::WarmUpOwnership,
};
use std::collections::HashMap;

/// One pick in this many prefers a cold replica whose warm-up this node owns, so that it warms up while warm replicas
/// carry the load.
const COLD_PICK_INTERVAL: u32 = 4;

/// Time between two probes of a cold upstream.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Upstreams of the current bundle. An upstream keeps its key while bundles list it under the same name and address.
#[derive(Debug)]
pub(crate) struct Upstreams {
    chart: Chart<UpstreamMachine>,
    arena: SlotMap<UpstreamKey, UpstreamMember>,
    by_name: HashMap<String, UpstreamKey>,
    warm_up_ownership: WarmUpOwnership,
    policy: PolicyMode,
    zone: String,
    rng: fastrand::Rng,
    round_robin: usize,
    next_probe: Timestamp,
}

/// Replicas that a sub-request or booking may be sent to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReplicaCandidates<'a> {
    /// Names of the replicas.
    pub(crate) replicas: &'a [String],
    /// Upstreams already tried, which must not be picked again.
    pub(crate) tried: &'a [UpstreamKey],
}

/// Why no replica can be picked now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Unavailable {
    /// A replica takes work but is at its limit; it may be picked when another attempt ends.
    Busy,
    /// No replica takes work.
    Missing(MissingReason),
}

/// Whether a replica can take another request from this node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Headroom {
    /// Warm and below its limit.
    Warm,
    /// Cold, owned by this node for warm-up, and below its allowance.
    Cold,
    /// At its limit or allowance.
    Full,
    /// Cold, and this node does not own its warm-up.
    Closed,
}

impl Upstreams {
    pub(crate) fn new(settings: &EngineSettings) -> Result<Self, ChartError> {
        Ok(Self {
            chart: Chart::load()?,
            arena: SlotMap::with_key(),
            by_name: HashMap::new(),
            warm_up_ownership: WarmUpOwnership::default(),
            policy: settings.policy,
            zone: settings.zone.clone(),
            rng: fastrand::Rng::with_seed(settings.seed),
            round_robin: 0,
            next_probe: Timestamp::ZERO,
        })
    }

    /// Adds, updates and removes upstreams so that they match the bundle.
    pub(crate) fn configure(
        &mut self,
        now: Timestamp,
        bundle: &Bundle,
        commands: &mut Vec<Command>,
    ) {
        self.remove_absent(bundle, commands);
        for spec in &bundle.upstreams {
            let key = match self.by_name.get(&spec.name) {
                Some(&key) => key,
                None => self.add(spec, bundle, commands),
            };
            let zone_in = bundle
                .zones
                .iter()
                .any(|zone| zone.name == spec.zone && zone.state == ZoneState::In);
            let event = match spec.state {
                UpstreamState::Leaving => UpstreamEvent::Leave,
                UpstreamState::Active if zone_in => UpstreamEvent::Open,
                UpstreamState::Active => UpstreamEvent::ZoneOut,
            };
            let ceiling = self.connection_share(spec);
            let member = &mut self.arena[key];
            member.spec = spec.clone();
            member.ramp = ramp_settings(spec, bundle);
            member.open = event == UpstreamEvent::Open;
            member.limiter.set_ceiling(ceiling);
            member.apply_event(&self.chart, now, event, commands);
        }
    }

    fn add(
        &mut self,
        spec: &Upstream,
        bundle: &Bundle,
        commands: &mut Vec<Command>,
    ) -> UpstreamKey {
        let connections = self.connection_share(spec);
        let ramp = ramp_settings(spec, bundle);
        let health = UpstreamHealth::new(&self.chart, &ramp);
        let key = self.arena.insert_with_key(|key| {
            UpstreamMember::new(key, spec.clone(), ramp, health, connections)
        });
        self.by_name.insert(spec.name.clone(), key);
        commands.push(Command::OpenUpstream {
            upstream: key,
            spec: spec.clone(),
            connections,
        });
        key
    }

    /// This node's share of the connections that the upstream accepts from the whole fleet.
    fn connection_share(&self, spec: &Upstream) -> u32 {
        (spec.connections / self.warm_up_ownership.published_nodes().max(1)).max(1)
    }

    fn remove_absent(&mut self, bundle: &Bundle, commands: &mut Vec<Command>) {
        let wanted: HashMap<_, _> = bundle
            .upstreams
            .iter()
            .map(|u| (u.name.as_str(), u.address))
            .collect();
        let arena = &mut self.arena;
        self.by_name.retain(|name, key| {
            if wanted.get(name.as_str()) == Some(&arena[*key].spec.address) {
                return true;
            }
            arena.remove(*key);
            commands.push(Command::RetireUpstream(*key));
            false
        });
    }

    /// Applies a change of the fleet's size and of the warm-ups that this node owns. Peers may have missed what a
    /// former owner found, so a new one reports which of its upstreams are warm.
    pub(crate) fn fleet_changed(
        &mut self,
        now: Timestamp,
        view: &FleetView,
        commands: &mut Vec<Command>,
    ) {
        self.warm_up_ownership.fleet_changed(now, view);
        for member in self.arena.values_mut() {
            let share = member.spec.connections / self.warm_up_ownership.published_nodes();
            member.limiter.set_ceiling(share);
        }
        for key in view
            .warm_up_owner_of
            .iter()
            .filter_map(|name| self.key(name))
        {
            let member = &self.arena[key];
            if member.health.condition() == UpstreamCondition::Warm {
                member.share_news(member.health.state_news(), commands);
            }
        }
    }

    /// Applies a peer's news of an upstream.
    pub(crate) fn apply_news(&mut self, now: Timestamp, news: &News, commands: &mut Vec<Command>) {
        let (upstream, started_at_ms, round, warm) = match news {
            News::Cold {
                upstream,
                started_at_ms,
                round,
            } => (upstream, *started_at_ms, *round, false),
            News::Warm {
                upstream,
                started_at_ms,
                round,
            } => (upstream, *started_at_ms, *round, true),
            News::Crash { .. } => return,
        };
        let Some(key) = self.key(upstream) else {
            return;
        };
        let member = &mut self.arena[key];
        let (chart, ramp, news) = (&self.chart, member.ramp, (started_at_ms, round));
        member.change_health(commands, |health| {
            if warm {
                health.apply_warm_news(chart, now, &ramp, news);
            } else {
                health.apply_cold_news(chart, now, &ramp, news);
            }
        });
    }

    /// Resets upstreams that peers may have found cold while their news could not reach this node.
    pub(crate) fn handle_missed_news(&mut self, now: Timestamp, commands: &mut Vec<Command>) {
        if self.policy == PolicyMode::Baseline {
            return;
        }
        for member in self.arena.values_mut() {
            member.apply_event(&self.chart, now, UpstreamEvent::MissedNews, commands);
        }
    }

    /// News that brings a newly connected peer up to date.
    pub(crate) fn state_news(&self) -> Vec<News> {
        self.arena
            .values()
            .filter_map(|member| Some(member.named_news(member.health.state_news()?)))
            .collect()
    }

    /// Key of the upstream with this name.
    pub(crate) fn key(&self, name: &str) -> Option<UpstreamKey> {
        self.by_name.get(name).copied()
    }

    /// Whether one of these upstreams is warm, or none of them takes work.
    pub(crate) fn has_warm(&self, names: &[String]) -> bool {
        let known = names.iter().filter_map(|name| self.key(name));
        let mut open = known
            .map(|key| &self.arena[key])
            .filter(|member| member.open)
            .peekable();
        open.peek().is_none()
            || open.any(|member| member.health.condition() == UpstreamCondition::Warm)
    }

    /// Picks a replica that has not been tried.
    pub(crate) fn pick_replica(
        &mut self,
        now: Timestamp,
        candidates: &ReplicaCandidates<'_>,
    ) -> Result<UpstreamKey, Unavailable> {
        let known: Vec<_> = candidates
            .replicas
            .iter()
            .filter_map(|name| self.key(name))
            .collect();
        if known.is_empty() {
            return Err(Unavailable::Missing(MissingReason::NoReplica));
        }
        let open: Vec<_> = known
            .into_iter()
            .filter(|key| self.arena[*key].open)
            .collect();
        if open.is_empty() {
            return Err(Unavailable::Missing(MissingReason::ZoneOut));
        }
        let untried: Vec<_> = open
            .into_iter()
            .filter(|key| !candidates.tried.contains(key))
            .collect();
        if untried.is_empty() {
            return Err(Unavailable::Missing(MissingReason::NoReplica));
        }
        match self.policy {
            PolicyMode::Adaptive => self.pick_by_load(now, &untried),
            PolicyMode::Baseline => self.pick_round_robin(&untried),
        }
    }

    fn pick_by_load(
        &mut self,
        now: Timestamp,
        untried: &[UpstreamKey],
    ) -> Result<UpstreamKey, Unavailable> {
        let rooms: Vec<_> = untried
            .iter()
            .map(|key| (*key, self.headroom(now, *key)))
            .collect();
        let replicas_with = |wanted: Headroom| -> Vec<_> {
            let matching = rooms.iter().filter(|(_, room)| *room == wanted);
            matching.map(|(key, _)| *key).collect()
        };
        let (warm, cold) = (replicas_with(Headroom::Warm), replicas_with(Headroom::Cold));
        let prefer_cold = !cold.is_empty() && self.rng.u32(..COLD_PICK_INTERVAL) == 0;
        let candidates = if warm.is_empty() || prefer_cold {
            cold
        } else {
            warm
        };
        let loads: Vec<_> = candidates.iter().map(|key| self.load(now, *key)).collect();
        match replica_choice::choose(&loads, &mut self.rng) {
            Some(position) => Ok(candidates[position]),
            None if rooms.iter().any(|(_, room)| *room == Headroom::Full) => Err(Unavailable::Busy),
            None => Err(Unavailable::Missing(MissingReason::Cold)),
        }
    }

    fn pick_round_robin(&mut self, untried: &[UpstreamKey]) -> Result<UpstreamKey, Unavailable> {
        let free: Vec<_> = untried
            .iter()
            .copied()
            .filter(|key| self.arena[*key].in_flight < self.arena[*key].spec.connections)
            .collect();
        if free.is_empty() {
            return Err(Unavailable::Busy);
        }
        self.round_robin = self.round_robin.wrapping_add(1);
        Ok(free[self.round_robin % free.len()])
    }

    fn headroom(&self, now: Timestamp, key: UpstreamKey) -> Headroom {
        let member = &self.arena[key];
        let warm = member.health.condition() == UpstreamCondition::Warm;
        if !warm && !self.warm_up_ownership.owns(now, &member.spec.name) {
            return Headroom::Closed;
        }
        let has_room = if warm {
            member.in_flight < member.limiter.limit()
        } else {
            let limit = member
                .health
                .allowance()
                .min(self.connection_share(&member.spec));
            let peers_idle =
                self.warm_up_ownership.has_no_peers() || !member.health.may_run_peer_work(now);
            peers_idle && member.possibly_running(now) < limit
        };
        match (has_room, warm) {
            (true, true) => Headroom::Warm,
            (true, false) => Headroom::Cold,
            (false, _) => Headroom::Full,
        }
    }

    fn load(&self, now: Timestamp, key: UpstreamKey) -> ReplicaLoad {
        let member = &self.arena[key];
        ReplicaLoad {
            in_flight: member.in_flight,
            slots: member.spec.slots,
            latency: member.latency,
            reported: member
                .reported
                .map(|(in_flight, at)| (in_flight, now.since(at))),
            same_zone: member.spec.zone == self.zone,
        }
    }

    /// Records that an attempt was sent.
    pub(crate) fn record_sent(&mut self, now: Timestamp, key: UpstreamKey) {
        if let Some(member) = self.arena.get_mut(key) {
            member.in_flight += 1;
            let ramp = member.ramp;
            member
                .health
                .apply_event(&self.chart, now, &ramp, UpstreamEvent::Sent);
        }
    }

    /// Records the end of an attempt that was sent at `sent`, and appends the commands that follow.
    pub(crate) fn record_attempt_end(
        &mut self,
        now: Timestamp,
        sent: Timestamp,
        reply: &Reply,
        commands: &mut Vec<Command>,
    ) {
        let Some(member) = self.arena.get_mut(reply.upstream) else {
            return;
        };
        member.observe_load(now, sent, reply);
        member.record_end(now, &reply.outcome);
        let (chart, ramp, report) = (&self.chart, member.ramp, reply.report.as_ref());
        let news = member.change_health(commands, |health| {
            health.record_attempt_end(chart, (now, sent), &ramp, &reply.outcome, report)
        });
        if self.policy == PolicyMode::Adaptive {
            member.share_news(news, commands);
        }
    }
}

impl Upstreams {
    /// Time of the next probes; `None` if they fall after the end of freshness or none are needed.
    pub(crate) fn next_probe_at(&self, fresh_until: Timestamp) -> Option<Timestamp> {
        let probes = self.policy == PolicyMode::Adaptive && !self.arena.is_empty();
        (probes && self.next_probe < fresh_until).then_some(self.next_probe)
    }

    /// Probes the cold upstreams whose warm-up this node owns, so that they warm up without traffic on this node.
    ///
    /// Probes that are due while the node is not fresh are skipped rather than left due: a due time in the past would
    /// wake the engine in a busy loop.
    pub(crate) fn send_due_probes(
        &mut self,
        now: Timestamp,
        fresh: bool,
        commands: &mut Vec<Command>,
    ) {
        if now < self.next_probe {
            return;
        }
        self.next_probe = now + PROBE_INTERVAL;
        if !fresh {
            return;
        }
        for (key, member) in &self.arena {
            let needs_probe = matches!(
                member.health.condition(),
                UpstreamCondition::Unknown | UpstreamCondition::Suspect
            );
            if needs_probe && self.warm_up_ownership.owns(now, &member.spec.name) {
                commands.push(Command::Probe(key));
            }
        }
    }

    /// Records the reply to a probe.
    pub(crate) fn record_probe(
        &mut self,
        now: Timestamp,
        key: UpstreamKey,
        report: Option<LoadReport>,
        commands: &mut Vec<Command>,
    ) {
        let Some((member, report)) = self.arena.get_mut(key).zip(report) else {
            return;
        };
        if self.warm_up_ownership.owns(now, &member.spec.name) {
            let news = member
                .health
                .record_probe(&self.chart, now, &member.ramp, &report);
            member.share_news(news, commands);
        }
    }

    /// Status of all upstreams for operators, sorted by name.
    pub(crate) fn status(&self, now: Timestamp) -> Vec<UpstreamStatus> {
        let mut status: Vec<_> = self
            .arena
            .values()
            .map(|member| member.status(self.warm_up_ownership.owns(now, &member.spec.name)))
            .collect();
        status.sort_by(|a, b| a.name.cmp(&b.name));
        status
    }
}
