//! One run of a soak test: starts the fleet and its callers, injects the scheduled faults, and checks what is observed.

use crate::{
    loopback_proxy::LinkFault,
    soak_balancer,
    soak_caller::{CallersView, SoakCaller},
    soak_checks::{Invariant, SoakChecks},
    soak_fault::SoakFault,
    soak_fleet::{SOAK_BOUNDS, SoakFleet, ZONES, span_from_now},
    soak_history::Disturbance,
    soak_observation::{Observation, RunReport, monotonic_micros},
    soak_options::SoakOptions,
    soak_process::SoakProcess,
    soak_report::SoakReport,
    soak_schedule::{ScheduleOptions, SoakSchedule, generate_schedule},
};
use medlarpost_stand_in::{Behaviour, StoreCommand, StoreFault, UpstreamCommand};
use rustix::process::Signal;
use std::{collections::BTreeMap, io, time::Duration};
use tokio::{
    sync::{mpsc, watch},
    time::Instant,
};

/// Time between two cuts of the nodes' watches.
const WATCH_CUT_INTERVAL: Duration = Duration::from_secs(1);

/// Time from an entry of another writer until the upstream writes its own again.
const ENTRY_INTERVAL: Duration = Duration::from_millis(1_200);

/// Time without new faults at the end, in which requests must be served again.
const FAULT_FREE_END: Duration = Duration::from_secs(15);

/// Time by which all nodes must be ready after the start.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Time between two checks of the processes and of ended requests.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Time that a node has to end after SIGTERM, as its settings state.
const STOP_TIMEOUT: Duration = Duration::from_secs(6);

/// Time for which an upstream goes on serving after it is marked as leaving.
const LEAVING_TIME: Duration = Duration::from_millis(3_500);

/// Wait after the last request for outstanding reports of runs.
const REPORT_WAIT: Duration = Duration::from_secs(1);

/// How a fault ends. Numbers are the position of the node or upstream, then the index of the recorded disturbance.
#[derive(Clone, Debug)]
enum FaultEnd {
    StartNode(usize, usize),
    ResumeNode(usize, usize),
    RestoreStoreLink(usize, usize),
    FinishReload(usize, usize),
    ResumeUpstream(usize, usize),
    RestoreBehaviour(usize, usize),
    RestoreUpstreamLink(usize, usize),
    RestartUpstream(usize, usize),
    EndLeaving(String),
    RestoreStore(usize),
    RepeatEntry(usize),
    ReturnZone(&'static str),
}

/// Time after which no watch waits any more at a store that refuses calls. A configuration that is published then is
/// known to no node until the store answers again.
const LONGEST_WATCH: Duration = Duration::from_millis(2_500);

/// An action that is scheduled for a time.
#[derive(Clone, Debug)]
enum ScheduledAction {
    Begin(SoakFault),
    End(FaultEnd),
}

/// A node that got SIGTERM and has ended, or exceeded the time-out.
struct StoppedNode {
    node: usize,
    disturbance: usize,
    process: SoakProcess,
    /// Exit status; `None` if the process did not end in time.
    status: Option<String>,
}

struct SoakRun {
    fleet: SoakFleet,
    checks: SoakChecks,
    /// Actions by time; the number keeps apart those of the same time, in the order of scheduling.
    actions: BTreeMap<(Instant, usize), ScheduledAction>,
    actions_scheduled: usize,
    stopped: mpsc::UnboundedSender<StoppedNode>,
    ready: Vec<watch::Receiver<bool>>,
    view: watch::Sender<CallersView>,
}

/// Runs a soak to its end, or until a signal interrupts it.
///
/// # Errors
///
/// If a process can't be started or an address is in use.
pub async fn run(options: SoakOptions) -> io::Result<SoakReport> {
    let (reports, mut reports_rx) = mpsc::unbounded_channel();
    let (observations, mut observations_rx) = mpsc::unbounded_channel();
    let (stopped, mut stopped_rx) = mpsc::unbounded_channel();
    let (duration, seed) = (options.duration, options.seed);
    let faults = schedule_faults(&options);
    let fleet = SoakFleet::start(options, reports).await?;
    let mut run = SoakRun::new(fleet, stopped);
    run.wait_until_ready().await;
    let callers = run.start_callers(seed, &observations);
    let begin = Instant::now();
    let load_start = monotonic_micros();
    for (at, fault) in &faults {
        run.schedule_at(begin + *at, ScheduledAction::Begin(*fault));
    }
    let end = begin + duration;
    let mut check_interval = tokio::time::interval(CHECK_INTERVAL);
    let interrupted = loop {
        let next = run
            .actions
            .first_key_value()
            .map_or(end, |((at, _), _)| *at);
        tokio::select! {
            () = tokio::time::sleep_until(next.min(end)) => {
                if Instant::now() >= end {
                    break false;
                }
                run.run_due_actions().await?;
            }
            Some(line) = reports_rx.recv() => run.on_report(&line),
            Some(observation) = observations_rx.recv() => run.checks.observe(observation),
            Some(stopped) = stopped_rx.recv() => run.on_node_stopped(stopped).await?,
            _now = check_interval.tick() => run.check_fleet().await?,
            _interrupt = tokio::signal::ctrl_c() => break true,
        }
    };
    run.view.send_modify(|view| view.finished = true);
    for caller in callers {
        // A caller ends after its last answer or time-out.
        let _ended = caller.await;
    }
    tokio::time::sleep(REPORT_WAIT).await;
    while let Ok(observation) = observations_rx.try_recv() {
        run.checks.observe(observation);
    }
    while let Ok(line) = reports_rx.try_recv() {
        run.on_report(&line);
    }
    let processes = run.fleet.running_processes();
    run.checks.finish(&run.fleet.history, monotonic_micros());
    run.fleet.dismiss_guard().await;
    Ok(SoakReport {
        seed,
        directory: run.fleet.options.directory.clone(),
        processes,
        faults: faults.len(),
        counts: run.checks.counts(load_start),
        findings: run.checks.findings().to_vec(),
        interrupted,
    })
}

/// Generates the faults of a run.
pub fn schedule_faults(options: &SoakOptions) -> SoakSchedule {
    let services = 1 + 2 * options.shards;
    let schedule_options = ScheduleOptions {
        nodes: options.nodes,
        upstreams: services * options.replicas,
        zones: ZONES.len(),
        end: options.duration.saturating_sub(FAULT_FREE_END),
    };
    generate_schedule(&schedule_options, options.seed)
}

impl SoakRun {
    fn new(fleet: SoakFleet, stopped: mpsc::UnboundedSender<StoppedNode>) -> Self {
        let ready = (0..fleet.options.nodes).map(|node| {
            let (tx, rx) = watch::channel(false);
            actix_rt::spawn(soak_balancer::watch_readiness(
                fleet.readiness_address(node),
                tx,
            ));
            rx
        });
        Self {
            ready: ready.collect(),
            fleet,
            checks: SoakChecks::new(SOAK_BOUNDS),
            actions: BTreeMap::new(),
            actions_scheduled: 0,
            stopped,
            view: watch::Sender::default(),
        }
    }

    /// Waits until all nodes are ready; a node that is not ready within the time-out is a finding.
    async fn wait_until_ready(&mut self) {
        let all = async {
            for ready in &mut self.ready {
                // Fails only if the readiness checks have ended, which they do with the run.
                let _ended = ready.wait_for(|ready| *ready).await;
            }
        };
        if tokio::time::timeout(START_TIMEOUT, all).await.is_err() {
            let detail = "not all nodes became ready in time after the start".to_owned();
            self.checks.add_finding(Invariant::Recovered, detail);
        }
        self.update_callers_view();
    }

    fn start_callers(
        &self,
        seed: u64,
        observations: &mpsc::UnboundedSender<Observation>,
    ) -> Vec<actix_rt::task::JoinHandle<()>> {
        let callers = (0..self.fleet.options.callers).map(|number| {
            let caller = SoakCaller {
                number,
                random: fastrand::Rng::with_seed(seed ^ (number as u64 + 1) << 32),
                addresses: self.fleet.addresses,
                view: self.view.subscribe(),
                observations: observations.clone(),
            };
            actix_rt::spawn(caller.run())
        });
        callers.collect()
    }

    fn update_callers_view(&self) {
        let ready = soak_balancer::in_rotation(&self.ready);
        let added_routes = self.fleet.requested_route_versions();
        self.view.send_modify(|view| {
            view.ready = ready;
            view.added_routes = added_routes;
        });
    }

    fn schedule_at(&mut self, at: Instant, action: ScheduledAction) {
        self.actions_scheduled += 1;
        self.actions.insert((at, self.actions_scheduled), action);
    }

    fn schedule_end(&mut self, time: Duration, end: FaultEnd) {
        self.schedule_at(Instant::now() + time, ScheduledAction::End(end));
    }

    fn on_report(&mut self, line: &str) {
        match serde_json::from_str::<RunReport>(line) {
            Ok(run) => self.checks.observe(Observation::RequestRan(run)),
            Err(error) => {
                let detail =
                    format!("a stand-in wrote {line:?}, which is no report of a run: {error}");
                self.checks.add_finding(Invariant::OnlyAsked, detail);
            }
        }
    }

    /// Updates the view of the callers, checks ended requests, and restarts nodes that exited by themselves.
    async fn check_fleet(&mut self) -> io::Result<()> {
        self.update_callers_view();
        self.checks
            .check_ended(&self.fleet.history, monotonic_micros());
        while let Some((node, status)) = self.fleet.find_exited_node() {
            let detail = format!("node {node} exited without a signal of the soak: {status}");
            self.checks.add_finding(Invariant::NodeEnds, detail);
            let disturbance = self.fleet.begin_disturbance(node, Disturbance::Unplanned);
            if let Some(process) = self.fleet.take_node_process(node) {
                self.fleet.end_node_process(process).await;
            }
            self.fleet.start_node(node).await?;
            self.fleet.end_disturbance(node, disturbance);
        }
        Ok(())
    }

    async fn run_due_actions(&mut self) -> io::Result<()> {
        while let Some(entry) = self.actions.first_entry() {
            if entry.key().0 > Instant::now() {
                break;
            }
            match entry.remove() {
                ScheduledAction::Begin(fault) => self.begin_fault(fault).await?,
                ScheduledAction::End(end) => self.end_fault(end).await?,
            }
        }
        Ok(())
    }

    async fn begin_fault(&mut self, fault: SoakFault) -> io::Result<()> {
        match fault {
            SoakFault::KillNode(node, time) => {
                if let Some(process) = self.fleet.take_node_process(node) {
                    let disturbance = self.fleet.begin_disturbance(node, Disturbance::Unplanned);
                    self.fleet.end_node_process(process).await;
                    self.schedule_end(time, FaultEnd::StartNode(node, disturbance));
                }
            }
            SoakFault::StopNode(node) => self.stop_node(node),
            SoakFault::PauseNode(node, time) if self.fleet.is_running(node) => {
                let disturbance = self.fleet.begin_disturbance(node, Disturbance::Unplanned);
                self.fleet.signal_node(node, Signal::STOP);
                self.schedule_end(time, FaultEnd::ResumeNode(node, disturbance));
            }
            SoakFault::ReloadNode(node) if self.fleet.is_running(node) => {
                let disturbance = self.fleet.begin_disturbance(node, Disturbance::Planned);
                self.fleet.signal_node(node, Signal::HUP);
                self.schedule_end(CHECK_INTERVAL, FaultEnd::FinishReload(node, disturbance));
            }
            SoakFault::PauseNode(..) | SoakFault::ReloadNode(_) => {}
            SoakFault::StoreLink(node, fault, time) => {
                let disturbance = self.fleet.begin_disturbance(node, Disturbance::Unplanned);
                self.fleet.set_store_link_fault(node, fault);
                // Removes a key behind the back of a node that is cut off.
                self.fleet.publish_next_configuration(false).await;
                self.schedule_end(time, FaultEnd::RestoreStoreLink(node, disturbance));
            }
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
            SoakFault::OddEntry(upstream) => {
                self.fleet.put_odd_entry(upstream).await;
                self.schedule_end(ENTRY_INTERVAL, FaultEnd::RepeatEntry(upstream));
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
            other => self.begin_upstream_fault(other).await?,
        }
        Ok(())
    }

    async fn begin_upstream_fault(&mut self, fault: SoakFault) -> io::Result<()> {
        match fault {
            SoakFault::KillUpstream(upstream, time) => {
                let span = self.begin_upstream_disturbance(upstream);
                self.fleet.kill_upstream(upstream).await;
                self.schedule_end(time, FaultEnd::RestartUpstream(upstream, span));
            }
            SoakFault::ReplaceUpstream(upstream) | SoakFault::RemoveUpstream(upstream) => {
                let is_announced = matches!(fault, SoakFault::ReplaceUpstream(_));
                if let Some(instance) = self.fleet.replace_upstream(upstream, is_announced).await? {
                    self.schedule_end(LEAVING_TIME, FaultEnd::EndLeaving(instance));
                }
            }
            SoakFault::PauseUpstream(upstream, time) => {
                let span = self.begin_upstream_disturbance(upstream);
                self.signal_upstream(upstream, Signal::STOP);
                self.schedule_end(time, FaultEnd::ResumeUpstream(upstream, span));
            }
            SoakFault::Misbehave(upstream, behaviour, time) => {
                let span = self.begin_upstream_disturbance(upstream);
                self.set_behaviour(upstream, behaviour).await;
                self.schedule_end(time, FaultEnd::RestoreBehaviour(upstream, span));
            }
            SoakFault::UpstreamLink(upstream, fault, time) => {
                let span = self.begin_upstream_disturbance(upstream);
                self.fleet.upstreams[upstream].link.set_fault(fault);
                self.schedule_end(time, FaultEnd::RestoreUpstreamLink(upstream, span));
            }
            _ => {}
        }
        Ok(())
    }

    async fn end_fault(&mut self, end: FaultEnd) -> io::Result<()> {
        match end {
            FaultEnd::StartNode(node, disturbance) => {
                self.fleet.start_node(node).await?;
                self.fleet.end_disturbance(node, disturbance);
            }
            FaultEnd::ResumeNode(node, disturbance) => {
                self.fleet.signal_node(node, Signal::CONT);
                self.fleet.end_disturbance(node, disturbance);
            }
            FaultEnd::RestoreStoreLink(node, disturbance) => {
                self.fleet.set_store_link_fault(node, LinkFault::None);
                self.fleet.end_disturbance(node, disturbance);
            }
            FaultEnd::FinishReload(node, disturbance) => {
                self.fleet.end_disturbance(node, disturbance);
            }
            FaultEnd::ResumeUpstream(upstream, span) => {
                self.signal_upstream(upstream, Signal::CONT);
                self.end_upstream_disturbance(upstream, span);
            }
            FaultEnd::RestoreBehaviour(upstream, span) => {
                self.set_behaviour(upstream, Behaviour::Whole).await;
                self.end_upstream_disturbance(upstream, span);
            }
            FaultEnd::RestoreUpstreamLink(upstream, span) => {
                self.fleet.upstreams[upstream]
                    .link
                    .set_fault(LinkFault::None);
                self.end_upstream_disturbance(upstream, span);
            }
            FaultEnd::RestartUpstream(upstream, span) => {
                self.fleet.restart_upstream(upstream).await?;
                self.end_upstream_disturbance(upstream, span);
            }
            FaultEnd::RepeatEntry(upstream) => self.fleet.repeat_entry(upstream).await,
            FaultEnd::EndLeaving(instance) => self.fleet.end_leaving(&instance).await,
            FaultEnd::RestoreStore(span) => {
                self.fleet.signal_store(Signal::CONT);
                let command = StoreCommand::Fault(StoreFault::None);
                self.fleet.send_store_command(&command).await;
                self.fleet.history.store_disturbances[span].until = Some(monotonic_micros());
            }
            FaultEnd::ReturnZone(zone) => self.fleet.set_zone_out(zone, false).await,
        }
        Ok(())
    }

    /// Sends SIGTERM to a node and waits for its end in a task of its own.
    fn stop_node(&mut self, node: usize) {
        // A paused process would receive the signal only once it is resumed.
        let now = monotonic_micros();
        if !self
            .fleet
            .history
            .without_unplanned_disturbance(node, now, now)
        {
            return;
        }
        let Some(mut process) = self.fleet.take_node_process(node) else {
            return;
        };
        let disturbance = self.fleet.begin_disturbance(node, Disturbance::Planned);
        let stopped = self.stopped.clone();
        process.signal(Signal::TERM);
        actix_rt::spawn(async move {
            let ended = tokio::time::timeout(STOP_TIMEOUT, process.wait()).await;
            let status = ended.ok().flatten().map(|status| status.to_string());
            // Fails only if the receiver has ended, which it does with the run.
            let _ended = stopped.send(StoppedNode {
                node,
                disturbance,
                process,
                status,
            });
        });
    }

    async fn on_node_stopped(&mut self, stopped: StoppedNode) -> io::Result<()> {
        let node = stopped.node;
        let detail = match stopped.status.as_deref() {
            Some("exit status: 0") => None,
            Some(status) => Some(format!("node {node} ended with {status} after SIGTERM")),
            None => Some(format!(
                "node {node} was still running {STOP_TIMEOUT:?} after SIGTERM"
            )),
        };
        if let Some(detail) = detail {
            self.checks.add_finding(Invariant::NodeEnds, detail);
        }
        self.fleet.end_node_process(stopped.process).await;
        self.fleet.start_node(node).await?;
        self.fleet.end_disturbance(node, stopped.disturbance);
        Ok(())
    }

    /// Records a fault of the store; returns its position among them.
    fn begin_store_disturbance(&mut self, time: Duration) -> usize {
        self.fleet.history.store_disturbances.push(span_from_now());
        let span = self.fleet.history.store_disturbances.len() - 1;
        self.schedule_end(time, FaultEnd::RestoreStore(span));
        span
    }

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

    fn end_upstream_disturbance(&mut self, upstream: usize, span: usize) {
        if let Some(spans) = self.fleet.history.upstream_disturbances.get_mut(&upstream) {
            spans[span].until = Some(monotonic_micros());
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
