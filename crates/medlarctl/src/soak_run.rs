//! One run of a soak test: starts the fleet and its callers, injects the scheduled faults, and checks what is observed.

use crate::{
    soak_balancer,
    soak_caller::{CallersView, SoakCaller},
    soak_checks::{Invariant, SoakChecks},
    soak_fault::SoakFault,
    soak_fault_steps::FaultEnd,
    soak_fleet::{SOAK_BOUNDS, SoakFleet, ZONES},
    soak_history::Disturbance,
    soak_observation::{Observation, RunReport, SoakTime, monotonic_micros},
    soak_options::SoakOptions,
    soak_process::SoakProcess,
    soak_report::SoakReport,
    soak_schedule::{ScheduleOptions, SoakSchedule, generate_schedule},
};
use rustix::process::Signal;
use std::{collections::BTreeMap, io, time::Duration};
use tokio::{
    sync::{mpsc, watch},
    time::Instant,
};

/// Shortest time for which requests are counted after the recovery time.
const RECOVERY_SAMPLE: Duration = Duration::from_secs(2);

/// Time without new faults at the end, in which requests must be served again.
const FAULT_FREE_END: Duration = Duration::from_secs(15);

/// Time by which all nodes must be ready after the start.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Time between two checks of the processes and of ended requests.
pub(crate) const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Time that a node has to end after SIGTERM, as its settings state.
const STOP_TIMEOUT: Duration = Duration::from_secs(6);

/// Wait after the last request for outstanding reports of runs.
const REPORT_WAIT: Duration = Duration::from_secs(1);

/// An action that is scheduled for a time.
#[derive(Clone, Debug)]
pub(crate) enum ScheduledAction {
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

pub(crate) struct SoakRun {
    pub(crate) fleet: SoakFleet,
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
    let mut end = begin + duration;
    let mut check_interval = tokio::time::interval(CHECK_INTERVAL);
    let interrupted = loop {
        let next = run
            .actions
            .first_key_value()
            .map_or(end, |((at, _), _)| *at);
        tokio::select! {
            () = tokio::time::sleep_until(next.min(end)) => {
                end = end.max(begin + run.recovery_sample_end(load_start));
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

    /// End of the requests by which the recovery is judged, counted from `load_start`; zero while a disturbance lasts. On a
    /// busy machine faults end late, and few requests would be left before the end of the run.
    fn recovery_sample_end(&self, load_start: SoakTime) -> Duration {
        let undisturbed_since = self.fleet.history.last_disturbance_end();
        let since_start = undisturbed_since.map_or(0, |at| at.saturating_sub(load_start));
        if since_start == 0 {
            return Duration::ZERO;
        }
        Duration::from_micros(since_start + SOAK_BOUNDS.recovery) + RECOVERY_SAMPLE
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

    pub(crate) fn schedule_at(&mut self, at: Instant, action: ScheduledAction) {
        self.actions_scheduled += 1;
        self.actions.insert((at, self.actions_scheduled), action);
    }

    pub(crate) fn schedule_end(&mut self, time: Duration, end: FaultEnd) {
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

    /// Sends SIGTERM to a node and waits for its end in a task of its own.
    pub(crate) fn stop_node(&mut self, node: usize) {
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
}
