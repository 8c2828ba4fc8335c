//! Carries out a schedule on a test bed.

use crate::{
    balancer::Targets,
    crash_caller,
    ctl_error::CtlError,
    node_thread::NodeThread,
    run_record::{Exclusion, ExclusionReason},
    schedule::{Action, Step},
    test_bed::TestBed,
};
use medlarpost_fakes::prelude::*;
use std::time::Instant;

/// Time that a replaced node may take to end.
const STOP_PATIENCE: Duration = Duration::from_secs(8);

/// Owns the test bed while the schedule runs.
pub(crate) struct FaultInjector {
    pub(crate) bed: TestBed,
    pub(crate) exclusions: Vec<Exclusion>,
    pub(crate) targets: Targets,
    crash_queries: u64,
    /// Whether the platform shows what was published last.
    platform_current: bool,
    /// Positions of closures that no node could read of yet.
    unread: Vec<usize>,
}

impl FaultInjector {
    pub(crate) fn new(bed: TestBed, targets: Targets) -> Self {
        Self {
            bed,
            exclusions: Vec::new(),
            targets,
            crash_queries: 0,
            platform_current: true,
            unread: Vec::new(),
        }
    }

    /// Carries out all steps; times count from `start`.
    pub(crate) async fn run(&mut self, start: Instant, steps: Vec<Step>) -> Result<(), CtlError> {
        for Step { at, action } in steps {
            tokio::time::sleep_until((start + at).into()).await;
            self.act(action).await?;
        }
        Ok(())
    }

    async fn act(&mut self, action: Action) -> Result<(), CtlError> {
        match action {
            Action::Order(positions, order) => self.order(&positions, order),
            Action::Announce(positions, state) => self.announce(&positions, state),
            Action::Zone(zone, state) => self.zone(zone, state),
            Action::ZoneOrder(zone, order) => {
                let positions = self.in_zone(zone);
                self.order(&positions, order);
            }
            Action::AddLayout => self.add_layout(),
            Action::DropOldVersions => self.drop_old_versions(),
            Action::Publish => self.bed.publish(|_| {}),
            Action::Platform(mode) => self.set_platform(mode),
            Action::Cut(node, cut) => self.cut(node, cut),
            Action::Pause(node, time) => self.bed.nodes[node].thread.pause(time),
            Action::Replace(node) => self.replace(node).await?,
            Action::CrashQuery => self.crash_query(),
        }
        Ok(())
    }

    /// Closures that were published while the platform hid them count from the time at which it shows them.
    fn set_platform(&mut self, mode: PlatformMode) {
        for node in &self.bed.nodes {
            node.platform_listener.set_mode(mode);
        }
        self.platform_current = mode == PlatformMode::Current;
        if self.platform_current {
            let now = Instant::now();
            for position in self.unread.drain(..) {
                self.exclusions[position].from = Some(now);
            }
        }
    }

    fn order(&self, positions: &[usize], order: UpstreamCommand) {
        for position in positions {
            self.bed.upstreams[*position].fake.send_command(order);
        }
    }

    fn announce(&mut self, positions: &[usize], state: UpstreamState) {
        let names: Vec<_> = positions
            .iter()
            .map(|position| Arc::clone(&self.bed.upstreams[*position].name))
            .collect();
        self.bed.publish(|bundle| {
            let announced =
                |upstream: &&mut Upstream| names.iter().any(|name| **name == *upstream.name);
            for upstream in bundle.upstreams.iter_mut().filter(announced) {
                upstream.state = state;
            }
        });
        self.close(
            ExclusionReason::Leaving,
            names,
            state == UpstreamState::Leaving,
        );
    }

    fn zone(&mut self, zone: usize, state: ZoneState) {
        let name = self.bed.deployment.zones[zone];
        let another_out = self
            .bed
            .bundle
            .zones
            .iter()
            .any(|zone| zone.name != name && zone.state == ZoneState::Out);
        // The capacity floor of the bundle allows one zone out at a time.
        if state == ZoneState::Out && another_out {
            return;
        }
        self.bed.publish(|bundle| {
            for zone in bundle.zones.iter_mut().filter(|zone| zone.name == name) {
                zone.state = state;
            }
        });
        let names = self
            .in_zone(zone)
            .into_iter()
            .map(|position| Arc::clone(&self.bed.upstreams[position].name))
            .collect();
        self.close(ExclusionReason::ZoneOut, names, state == ZoneState::Out);
    }

    /// Notes that upstreams must receive no more work, or that they may again.
    fn close(&mut self, reason: ExclusionReason, upstreams: Vec<Arc<str>>, closed: bool) {
        let now = Instant::now();
        let earlier = self.exclusions.iter_mut().filter(|exclusion| {
            exclusion.reason == reason
                && exclusion.until.is_none()
                && exclusion.upstreams == upstreams
        });
        if !closed {
            for exclusion in earlier {
                exclusion.until = Some(now);
            }
        } else if earlier.count() == 0 {
            if !self.platform_current {
                self.unread.push(self.exclusions.len());
            }
            self.exclusions.push(Exclusion {
                reason,
                upstreams,
                from: self.platform_current.then_some(now),
                until: None,
            });
        }
    }

    fn in_zone(&self, zone: usize) -> Vec<usize> {
        let name = self.bed.deployment.zones[zone];
        (0..self.bed.upstreams.len())
            .filter(|position| self.bed.upstreams[*position].zone == name)
            .collect()
    }

    /// Adds an index version with a fifth fewer shards; the upstreams of the last shards serve the first ones too.
    fn add_layout(&mut self) {
        let service = self.bed.deployment.search.service;
        self.bed.publish(|bundle| {
            for service in bundle.services.iter_mut().filter(|s| s.name == service) {
                let Some(newest) = service.layouts.last() else {
                    continue;
                };
                let index_version = newest.index_version + 1;
                let keep = newest.shards.len() - newest.shards.len() / 5;
                let mut shards = newest.shards.clone();
                let surplus = shards.split_off(keep);
                for (shard, replicas) in shards.iter_mut().zip(surplus) {
                    shard.extend(replicas);
                }
                service.layouts = vec![
                    newest.clone(),
                    ShardLayout {
                        index_version,
                        shards,
                    },
                ];
            }
        });
    }

    fn drop_old_versions(&self) {
        let shards = self.bed.shards.borrow().clone();
        let all: Vec<_> = (0..self.bed.search_upstreams()).collect();
        for version in shards.keys().rev().skip(1) {
            self.order(&all, UpstreamCommand::DropVersion(*version));
        }
    }

    fn cut(&self, node: usize, cut: bool) {
        let mode = if cut {
            PlatformMode::Silent
        } else {
            PlatformMode::Current
        };
        self.bed.nodes[node].platform_listener.set_mode(mode);
        self.bed.mesh.set_cut(node, cut);
    }

    async fn replace(&mut self, number: usize) -> Result<(), CtlError> {
        self.bed.nodes[number].state = VmState::Leaving;
        self.bed.publish_vms()?;
        let node = &mut self.bed.nodes[number];
        node.thread.stop();
        let _late = tokio::time::timeout(STOP_PATIENCE, node.thread.stopped()).await;
        node.settings.start += 1;
        node.settings.ticket_key[31] = node.settings.ticket_key[31].wrapping_add(1);
        node.thread = NodeThread::start(node.settings.clone()).await?;
        node.state = VmState::Live;
        self.bed.publish_vms()
    }

    fn crash_query(&mut self) {
        self.crash_queries += 1;
        let names = (
            self.bed.deployment.tenants[0],
            self.bed.deployment.search.service,
        );
        actix_rt::spawn(crash_caller::run(
            self.targets.clone(),
            self.bed.shards.subscribe(),
            names,
            self.crash_queries,
        ));
    }
}
