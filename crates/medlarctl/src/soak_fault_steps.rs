//! Begin and end of each fault of a soak test.

use crate::{
    loopback_proxy::LinkFault,
    soak_fault::SoakFault,
    soak_fleet::{ZONES, span_from_now},
    soak_history::Disturbance,
    soak_observation::monotonic_micros,
    soak_run::{CHECK_INTERVAL, ScheduledAction, SoakRun},
};
use medlarpost_stand_in::{Behaviour, StoreCommand, StoreFault, UpstreamCommand};
use rustix::process::Signal;
use std::{io, time::Duration};
use tokio::time::Instant;

/// Time between two cuts of the nodes' watches.
const WATCH_CUT_INTERVAL: Duration = Duration::from_secs(1);

/// Time from an entry of another writer until the upstream writes its own again.
const ENTRY_INTERVAL: Duration = Duration::from_millis(1_200);

/// Time for which an upstream goes on serving after it is marked as leaving.
const LEAVING_TIME: Duration = Duration::from_millis(3_500);

/// Time after which no watch waits any more at a store that refuses calls. A configuration that is published then is
/// known to no node until the store answers again.
const LONGEST_WATCH: Duration = Duration::from_millis(2_500);

/// How a fault ends. A disturbance is an index in the history of its node or upstream, or in that of the store.
#[derive(Clone, Debug)]
pub(crate) enum FaultEnd {
    StartNode { node: usize, disturbance: usize },
    ResumeNode { node: usize, disturbance: usize },
    RestoreStoreLink { node: usize, disturbance: usize },
    FinishReload { node: usize, disturbance: usize },
    ResumeUpstream { upstream: usize, disturbance: usize },
    RestoreBehaviour { upstream: usize, disturbance: usize },
    RestoreUpstreamLink { upstream: usize, disturbance: usize },
    RestartUpstream { upstream: usize, disturbance: usize },
    EndLeaving { instance: String },
    RestoreStore { disturbance: usize },
    RepeatEntry { upstream: usize },
    ReturnZone(&'static str),
}

impl SoakRun {
    /// Injects a fault, and schedules its end.
    pub(crate) async fn begin_fault(&mut self, fault: SoakFault) -> io::Result<()> {
        match fault {
            SoakFault::KillNode(node, time) => {
                if let Some(process) = self.fleet.take_node_process(node) {
                    let disturbance = self.fleet.begin_disturbance(node, Disturbance::Unplanned);
                    self.fleet.end_node_process(process).await;
                    self.schedule_end(time, FaultEnd::StartNode { node, disturbance });
                }
            }
            SoakFault::StopNode(node) => self.stop_node(node),
            SoakFault::PauseNode(node, time) if self.fleet.is_running(node) => {
                let disturbance = self.fleet.begin_disturbance(node, Disturbance::Unplanned);
                self.fleet.signal_node(node, Signal::STOP);
                self.schedule_end(time, FaultEnd::ResumeNode { node, disturbance });
            }
            SoakFault::ReloadNode(node) if self.fleet.is_running(node) => {
                let disturbance = self.fleet.begin_disturbance(node, Disturbance::Planned);
                self.fleet.signal_node(node, Signal::HUP);
                self.schedule_end(CHECK_INTERVAL, FaultEnd::FinishReload { node, disturbance });
            }
            SoakFault::PauseNode(..) | SoakFault::ReloadNode(_) => {}
            SoakFault::StoreLink(node, fault, time) => {
                let disturbance = self.fleet.begin_disturbance(node, Disturbance::Unplanned);
                self.fleet.set_store_link_fault(node, fault);
                // Removes a key behind the back of a node that is cut off.
                self.fleet.publish_next_configuration(false).await;
                self.schedule_end(time, FaultEnd::RestoreStoreLink { node, disturbance });
            }
            SoakFault::RefuseStoreCalls(_)
            | SoakFault::PauseStore(_)
            | SoakFault::CutWatches(_)
            | SoakFault::CompactStore
            | SoakFault::PublishConfiguration
            | SoakFault::Repartition
            | SoakFault::ZoneOut(..) => self.begin_store_step(fault).await,
            other => self.begin_upstream_fault(other).await?,
        }
        Ok(())
    }

    /// Disturbs the store, or changes what it publishes.
    async fn begin_store_step(&mut self, fault: SoakFault) {
        match fault {
            SoakFault::RefuseStoreCalls(time) => {
                let command = StoreCommand::Fault(StoreFault::Busy);
                self.fleet.send_store_command(&command).await;
                self.begin_store_disturbance(time);
                let publish = ScheduledAction::Begin(SoakFault::PublishConfiguration);
                self.schedule_at(Instant::now() + LONGEST_WATCH, publish);
            }
            SoakFault::PauseStore(time) => {
                self.fleet.signal_store(Signal::STOP);
                let pause = self.begin_store_disturbance(time);
                self.fleet.history.store_pauses.insert(pause);
            }
            SoakFault::CutWatches(count) => {
                self.fleet.cut_store_links();
                if let Some(left) = count.checked_sub(1).filter(|left| *left > 0) {
                    let next = ScheduledAction::Begin(SoakFault::CutWatches(left));
                    self.schedule_at(Instant::now() + WATCH_CUT_INTERVAL, next);
                }
            }
            SoakFault::CompactStore => {
                self.fleet.send_store_command(&StoreCommand::Compact).await;
            }
            SoakFault::PublishConfiguration => self.fleet.publish_next_configuration(false).await,
            SoakFault::Repartition => self.fleet.publish_next_configuration(true).await,
            SoakFault::ZoneOut(zone, time) => {
                self.fleet.set_zone_out(ZONES[zone], true).await;
                self.schedule_end(time, FaultEnd::ReturnZone(ZONES[zone]));
            }
            _ => {}
        }
    }

    async fn begin_upstream_fault(&mut self, fault: SoakFault) -> io::Result<()> {
        match fault {
            SoakFault::KillUpstream(upstream, time) => {
                let disturbance = self.begin_upstream_disturbance(upstream);
                self.fleet.kill_upstream(upstream).await;
                self.schedule_end(
                    time,
                    FaultEnd::RestartUpstream {
                        upstream,
                        disturbance,
                    },
                );
            }
            SoakFault::ReplaceUpstream(upstream) | SoakFault::RemoveUpstream(upstream) => {
                let is_announced = matches!(fault, SoakFault::ReplaceUpstream(_));
                if let Some(instance) = self.fleet.replace_upstream(upstream, is_announced).await? {
                    self.schedule_end(LEAVING_TIME, FaultEnd::EndLeaving { instance });
                }
            }
            SoakFault::PauseUpstream(upstream, time) => {
                let disturbance = self.begin_upstream_disturbance(upstream);
                self.signal_upstream(upstream, Signal::STOP);
                self.schedule_end(
                    time,
                    FaultEnd::ResumeUpstream {
                        upstream,
                        disturbance,
                    },
                );
            }
            SoakFault::Misbehave(upstream, behaviour, time) => {
                let disturbance = self.begin_upstream_disturbance(upstream);
                self.set_behaviour(upstream, behaviour).await;
                self.schedule_end(
                    time,
                    FaultEnd::RestoreBehaviour {
                        upstream,
                        disturbance,
                    },
                );
            }
            SoakFault::UpstreamLink(upstream, fault, time) => {
                let disturbance = self.begin_upstream_disturbance(upstream);
                self.fleet.upstreams[upstream].link.set_fault(fault);
                self.schedule_end(
                    time,
                    FaultEnd::RestoreUpstreamLink {
                        upstream,
                        disturbance,
                    },
                );
            }
            SoakFault::OddEntry(upstream) => {
                self.fleet.put_odd_entry(upstream).await;
                self.schedule_end(ENTRY_INTERVAL, FaultEnd::RepeatEntry { upstream });
            }
            _ => {}
        }
        Ok(())
    }

    /// Restores what a fault has disturbed.
    pub(crate) async fn end_fault(&mut self, end: FaultEnd) -> io::Result<()> {
        match end {
            FaultEnd::StartNode { node, disturbance } => {
                self.fleet.start_node(node).await?;
                self.fleet.end_disturbance(node, disturbance);
            }
            FaultEnd::ResumeNode { node, disturbance } => {
                self.fleet.signal_node(node, Signal::CONT);
                self.fleet.end_disturbance(node, disturbance);
            }
            FaultEnd::RestoreStoreLink { node, disturbance } => {
                self.fleet.set_store_link_fault(node, LinkFault::None);
                self.fleet.end_disturbance(node, disturbance);
            }
            FaultEnd::FinishReload { node, disturbance } => {
                self.fleet.end_disturbance(node, disturbance);
            }
            FaultEnd::ResumeUpstream {
                upstream,
                disturbance,
            } => {
                self.signal_upstream(upstream, Signal::CONT);
                self.end_upstream_disturbance(upstream, disturbance);
            }
            FaultEnd::RestoreBehaviour {
                upstream,
                disturbance,
            } => {
                self.set_behaviour(upstream, Behaviour::Whole).await;
                self.end_upstream_disturbance(upstream, disturbance);
            }
            FaultEnd::RestoreUpstreamLink {
                upstream,
                disturbance,
            } => {
                self.fleet.upstreams[upstream]
                    .link
                    .set_fault(LinkFault::None);
                self.end_upstream_disturbance(upstream, disturbance);
            }
            FaultEnd::RestartUpstream {
                upstream,
                disturbance,
            } => {
                self.fleet.restart_upstream(upstream).await?;
                self.end_upstream_disturbance(upstream, disturbance);
            }
            FaultEnd::RepeatEntry { upstream } => self.fleet.repeat_entry(upstream).await,
            FaultEnd::EndLeaving { instance } => self.fleet.end_leaving(&instance).await,
            FaultEnd::RestoreStore { disturbance } => {
                self.fleet.signal_store(Signal::CONT);
                let command = StoreCommand::Fault(StoreFault::None);
                self.fleet.send_store_command(&command).await;
                self.fleet.history.store_disturbances[disturbance].until = Some(monotonic_micros());
            }
            FaultEnd::ReturnZone(zone) => self.fleet.set_zone_out(zone, false).await,
        }
        Ok(())
    }

    /// Records a fault of the store and schedules its end; returns its index in the history.
    fn begin_store_disturbance(&mut self, time: Duration) -> usize {
        self.fleet.history.store_disturbances.push(span_from_now());
        let disturbance = self.fleet.history.store_disturbances.len() - 1;
        self.schedule_end(time, FaultEnd::RestoreStore { disturbance });
        disturbance
    }

    /// Records a fault of an upstream; returns its index in the history of the upstream.
    fn begin_upstream_disturbance(&mut self, upstream: usize) -> usize {
        let spans = self
            .fleet
            .history
            .upstream_disturbances
            .entry(upstream)
            .or_default();
        spans.push(span_from_now());
        spans.len() - 1
    }

    fn end_upstream_disturbance(&mut self, upstream: usize, disturbance: usize) {
        if let Some(spans) = self.fleet.history.upstream_disturbances.get_mut(&upstream) {
            spans[disturbance].until = Some(monotonic_micros());
        }
    }

    fn signal_upstream(&self, upstream: usize, signal: Signal) {
        if let Some(process) = &self.fleet.upstreams[upstream].process {
            process.signal(signal);
        }
    }

    async fn set_behaviour(&mut self, upstream: usize, behaviour: Behaviour) {
        if let Some(process) = &mut self.fleet.upstreams[upstream].process {
            process
                .send_command(&UpstreamCommand::SetBehaviour(behaviour))
                .await;
        }
    }
}
