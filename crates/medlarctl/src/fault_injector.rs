//! Carries out the steps of a fault schedule on a test bed.

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

/// Longest wait for a replaced node to stop before its successor starts.
const NODE_STOP_TIMEOUT: Duration = Duration::from_secs(8);

/// Owns the test bed while the schedule runs, and records from when to when upstreams must receive no work.
pub(crate) struct FaultInjector {
    pub(crate) test_bed: TestBed,
    pub(crate) exclusions: Vec<Exclusion>,
    pub(crate) targets: Targets,
    crash_queries_sent: u64,
    /// Whether the platform answers nodes with the newest publication.
    platform_current: bool,
    /// Indices into `exclusions` of those published while no node could read them.
    hidden_exclusions: Vec<usize>,
}

impl FaultInjector {
    pub(crate) fn new(test_bed: TestBed, targets: Targets) -> Self {
        Self {
            test_bed,
            exclusions: Vec::new(),
            targets,
            crash_queries_sent: 0,
            platform_current: true,
            hidden_exclusions: Vec::new(),
        }
    }

    /// Carries out all steps in order, each at its time after `start`.
    pub(crate) async fn run(&mut self, start: Instant, steps: Vec<Step>) -> Result<(), CtlError> {
        for Step { at, action } in steps {
            tokio::time::sleep_until((start + at).into()).await;
            self.perform(action).await?;
        }
        Ok(())
    }

    async fn perform(&mut self, action: Action) -> Result<(), CtlError> {
        match action {
            Action::Order(positions, command) => self.send_command(&positions, command),
            Action::Announce(positions, state) => self.publish_upstream_state(&positions, state),
            Action::Zone(zone, state) => self.publish_zone_state(zone, state),
            Action::ZoneOrder(zone, command) => {
                let positions = self.upstreams_in_zone(zone);
                self.send_command(&positions, command);
            }
            Action::AddLayout => self.add_layout(),
            Action::DropOldVersions => self.drop_old_versions(),
            Action::Publish => self.test_bed.publish(|_| {}),
            Action::Platform(mode) => self.set_platform(mode),
            Action::Cut(node, isolated) => self.set_isolated(node, isolated),
            Action::Pause(node, time) => self.test_bed.nodes[node].thread.pause(time),
            Action::Replace(node) => self.replace_node(node).await?,
            Action::CrashQuery => self.send_crash_query(),
        }
        Ok(())
    }

    /// Sets the mode of every platform listener. Exclusions published while nodes could not read them count from the
    /// time at which the platform is current again.
    fn set_platform(&mut self, mode: PlatformMode) {
        for node in &self.test_bed.nodes {
            node.platform_listener.set_mode(mode);
        }
        self.platform_current = mode == PlatformMode::Current;
        if self.platform_current {
            let now = Instant::now();
            for position in self.hidden_exclusions.drain(..) {
                self.exclusions[position].from = Some(now);
            }
        }
    }

    fn send_command(&self, positions: &[usize], command: UpstreamCommand) {
        for position in positions {
            self.test_bed.upstreams[*position]
                .fake
                .send_command(command);
        }
    }

    fn publish_upstream_state(&mut self, positions: &[usize], state: UpstreamState) {
        let names: Vec<_> = positions
            .iter()
            .map(|position| Arc::clone(&self.test_bed.upstreams[*position].name))
            .collect();
        self.test_bed.publish(|bundle| {
            let announced =
                |upstream: &&mut Upstream| names.iter().any(|name| **name == *upstream.name);
            for upstream in bundle.upstreams.iter_mut().filter(announced) {
                upstream.state = state;
            }
        });
        self.record_exclusion(
            ExclusionReason::Leaving,
            names,
            state == UpstreamState::Leaving,
        );
    }

    fn publish_zone_state(&mut self, zone: usize, state: ZoneState) {
        let name = self.test_bed.deployment.zones[zone];
        let another_out = self
            .test_bed
            .bundle
            .zones
            .iter()
            .any(|zone| zone.name != name && zone.state == ZoneState::Out);
        // The capacity floor of the bundle allows only one zone to be out at a time.
        if state == ZoneState::Out && another_out {
            return;
        }
        self.test_bed.publish(|bundle| {
            for zone in bundle.zones.iter_mut().filter(|zone| zone.name == name) {
                zone.state = state;
            }
        });
        let names = self
            .upstreams_in_zone(zone)
            .into_iter()
            .map(|position| Arc::clone(&self.test_bed.upstreams[position].name))
            .collect();
        self.record_exclusion(ExclusionReason::ZoneOut, names, state == ZoneState::Out);
    }

    /// Records the start of an exclusion, if it is not recorded yet, or its end.
    fn record_exclusion(
        &mut self,
        reason: ExclusionReason,
        upstreams: Vec<Arc<str>>,
        excluded: bool,
    ) {
        let now = Instant::now();
        let earlier = self.exclusions.iter_mut().filter(|exclusion| {
            exclusion.reason == reason
                && exclusion.until.is_none()
                && exclusion.upstreams == upstreams
        });
        if !excluded {
            for exclusion in earlier {
                exclusion.until = Some(now);
            }
        } else if earlier.count() == 0 {
            if !self.platform_current {
                self.hidden_exclusions.push(self.exclusions.len());
            }
            self.exclusions.push(Exclusion {
                reason,
                upstreams,
                from: self.platform_current.then_some(now),
                until: None,
            });
        }
    }

    fn upstreams_in_zone(&self, zone: usize) -> Vec<usize> {
        let name = self.test_bed.deployment.zones[zone];
        (0..self.test_bed.upstreams.len())
            .filter(|position| self.test_bed.upstreams[*position].zone == name)
            .collect()
    }

    /// Publishes an index version with a fifth fewer shards; the replicas of the removed last shards become replicas of
    /// the first ones.
    fn add_layout(&mut self) {
        let service = self.test_bed.deployment.search.service;
        self.test_bed.publish(|bundle| {
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
        let shards = self.test_bed.shards.borrow().clone();
        let positions: Vec<_> = (0..self.test_bed.search_upstream_count()).collect();
        for version in shards.keys().rev().skip(1) {
            self.send_command(&positions, UpstreamCommand::DropVersion(*version));
        }
    }

    fn set_isolated(&self, node: usize, isolated: bool) {
        let mode = if isolated {
            PlatformMode::Silent
        } else {
            PlatformMode::Current
        };
        self.test_bed.nodes[node].platform_listener.set_mode(mode);
        self.test_bed.mesh.set_isolated(node, isolated);
    }

    async fn replace_node(&mut self, number: usize) -> Result<(), CtlError> {
        self.test_bed.nodes[number].state = VmState::Leaving;
        self.test_bed.publish_vms()?;
        let node = &mut self.test_bed.nodes[number];
        node.thread.stop();
        let _late = tokio::time::timeout(NODE_STOP_TIMEOUT, node.thread.wait_until_stopped()).await;
        node.settings.start += 1;
        node.settings.ticket_key[31] = node.settings.ticket_key[31].wrapping_add(1);
        node.thread = NodeThread::start(node.settings.clone()).await?;
        node.state = VmState::Live;
        self.test_bed.publish_vms()
    }

    fn send_crash_query(&mut self) {
        self.crash_queries_sent += 1;
        let names = (
            self.test_bed.deployment.workspaces[0],
            self.test_bed.deployment.search.service,
        );
        actix_rt::spawn(crash_caller::run(
            self.targets.clone(),
            self.test_bed.shards.subscribe(),
            names,
            self.crash_queries_sent,
        ));
    }
}
