//! One run of a soak.

use crate::{
    loopback_proxy::LinkFault,
    soak_balancer,
    soak_caller::{CallersView, SoakCaller},
    soak_checks::{Promise, SoakChecks},
    soak_fault::SoakFault,
    soak_fleet::{SOAK_BOUNDS, SoakFleet, ZONES, started},
    soak_observation::{Observation, RunReport, soak_now},
    soak_options::SoakOptions,
    soak_process::SoakProcess,
    soak_report::SoakReport,
    soak_schedule::{ScheduleTerms, SoakSchedule, schedule},
    soak_world::Disturbance,
};
use medlarpost_stand_in::{Behaviour, StoreCommand, StoreFault, UpstreamCommand};
use rustix::process::Signal;
use std::{collections::BTreeMap, io, time::Duration};
use tokio::{
    sync::{mpsc, watch},
    time::Instant,
};

/// Time without faults at the end, in which requests must be served again.
const QUIET_END: Duration = Duration::from_secs(15);

/// Longest wait for the first ready nodes.
const START_PATIENCE: Duration = Duration::from_secs(20);

/// Time between two looks at the processes and the checks.
const TICK: Duration = Duration::from_millis(200);

/// Time that a node has to end after SIGTERM, as its settings say.
const GRACE: Duration = Duration::from_secs(6);

/// Time for which an upstream serves on after it said that it leaves.
const LEAVES_AFTER: Duration = Duration::from_millis(3_500);

/// Time after the last request for reports of runs to come.
const SETTLE: Duration = Duration::from_secs(1);

/// What ends a fault.
#[derive(Clone, Debug)]
enum End {
    StartNode(usize, usize),
    ResumeNode(usize, usize),
    StoreLink(usize, usize),
    Reload(usize, usize),
    ResumeUpstream(usize, usize),
    Behave(usize, usize),
    UpstreamLink(usize, usize),
    ReturnUpstream(usize, usize),
    Leaving(String),
    Store(usize),
    Zone(&'static str),
}

/// What is due.
#[derive(Clone, Debug)]
enum Due {
    Fault(SoakFault),
    End(End),
}

/// A node that was told to stop and has ended, or has not.
struct Stopped {
    node: usize,
    disturbance: usize,
    process: SoakProcess,
    /// Exit status, or that it did not end in time.
    status: Option<String>,
}

struct SoakRun {
    fleet: SoakFleet,
    checks: SoakChecks,
    due: BTreeMap<(Instant, usize), Due>,
    numbered: usize,
    stopped: mpsc::UnboundedSender<Stopped>,
    ready: Vec<watch::Receiver<bool>>,
    view: watch::Sender<CallersView>,
}

/// Runs a soak to its end, or to a signal that interrupts it.
///
/// # Errors
///
/// If a process can't be started or an address is in use.
pub async fn run(options: SoakOptions) -> io::Result<SoakReport> {
    let (reports, mut reports_rx) = mpsc::unbounded_channel();
    let (observed, mut observed_rx) = mpsc::unbounded_channel();
    let (stopped, mut stopped_rx) = mpsc::unbounded_channel();
    let (duration, seed) = (options.duration, options.seed);
    let steps = plan(&options);
    let fleet = SoakFleet::start(options, reports).await?;
    let mut run = SoakRun::new(fleet, stopped);
    run.until_ready().await;
    let callers = run.start_callers(seed, &observed);
    let begin = Instant::now();
    let calm_from = soak_now();
    for (at, fault) in &steps {
        run.at(begin + *at, Due::Fault(*fault));
    }
    let end = begin + duration;
    let mut tick = tokio::time::interval(TICK);
    let interrupted = loop {
        let next = run.due.first_key_value().map_or(end, |((at, _), _)| *at);
        tokio::select! {
            () = tokio::time::sleep_until(next.min(end)) => {
                if Instant::now() >= end {
                    break false;
                }
                run.carry_out_due().await?;
            }
            Some(line) = reports_rx.recv() => run.reported(&line),
            Some(observation) = observed_rx.recv() => run.checks.observe(observation),
            Some(stopped) = stopped_rx.recv() => run.node_stopped(stopped).await?,
            _now = tick.tick() => run.look().await?,
            _interrupt = tokio::signal::ctrl_c() => break true,
        }
    };
    run.view.send_modify(|view| view.over = true);
    for caller in callers {
        // A caller ends after its last answer or time-out.
        let _ended = caller.await;
    }
    tokio::time::sleep(SETTLE).await;
    while let Ok(observation) = observed_rx.try_recv() {
        run.checks.observe(observation);
    }
    while let Ok(line) = reports_rx.try_recv() {
        run.reported(&line);
    }
    let processes = run.fleet.processes();
    run.checks.finish(&run.fleet.world, soak_now());
    run.fleet.end_guard().await;
    Ok(SoakReport {
        seed,
        directory: run.fleet.options.directory.clone(),
        processes,
        faults: steps.len(),
        counts: run.checks.counts(calm_from),
        findings: run.checks.findings().to_vec(),
        interrupted,
    })
}

/// The faults of a run.
pub fn plan(options: &SoakOptions) -> SoakSchedule {
    let services = 1 + 2 * options.shards;
    let terms = ScheduleTerms {
        nodes: options.nodes,
        upstreams: services * options.replicas,
        zones: ZONES.len(),
        end: options.duration.saturating_sub(QUIET_END),
    };
    schedule(&terms, options.seed)
}

impl SoakRun {
    fn new(fleet: SoakFleet, stopped: mpsc::UnboundedSender<Stopped>) -> Self {
        let ready = (0..fleet.options.nodes).map(|node| {
            let (tx, rx) = watch::channel(false);
            actix_rt::spawn(soak_balancer::check(fleet.readiness(node), tx));
            rx
        });
        Self {
            ready: ready.collect(),
            fleet,
            checks: SoakChecks::new(SOAK_BOUNDS),
            due: BTreeMap::new(),
            numbered: 0,
            stopped,
            view: watch::Sender::default(),
        }
    }

    /// Waits until all nodes are ready, for as long as a start may take.
    async fn until_ready(&mut self) {
        let all = async {
            for ready in &mut self.ready {
                // The checks go on for as long as the run.
                let _ended = ready.wait_for(|ready| *ready).await;
            }
        };
        if tokio::time::timeout(START_PATIENCE, all).await.is_err() {
            let seen = "not all nodes became ready after the start".to_owned();
            self.checks.found(Promise::Recovered, seen);
        }
        self.show_callers();
    }

    fn start_callers(
        &self,
        seed: u64,
        observed: &mpsc::UnboundedSender<Observation>,
    ) -> Vec<actix_rt::task::JoinHandle<()>> {
        let callers = (0..self.fleet.options.callers).map(|number| {
            let caller = SoakCaller {
                number,
                random: fastrand::Rng::with_seed(seed ^ (number as u64 + 1) << 32),
                addresses: self.fleet.addresses,
                view: self.view.subscribe(),
                observed: observed.clone(),
            };
            actix_rt::spawn(caller.run())
        });
        callers.collect()
    }

    fn show_callers(&self) {
        let ready = soak_balancer::in_rotation(&self.ready);
        let added = self.fleet.asked_versions();
        self.view.send_modify(|view| {
            view.ready = ready;
            view.added = added;
        });
    }

    fn at(&mut self, at: Instant, due: Due) {
        self.numbered += 1;
        self.due.insert((at, self.numbered), due);
    }

    fn after(&mut self, time: Duration, end: End) {
        self.at(Instant::now() + time, Due::End(end));
    }

    fn reported(&mut self, line: &str) {
        match serde_json::from_str::<RunReport>(line) {
            Ok(run) => self.checks.observe(Observation::Ran(run)),
            Err(fault) => {
                let seen = format!("a stand-in wrote {line:?}: {fault}");
                self.checks.found(Promise::OnlyAsked, seen);
            }
        }
    }

    async fn look(&mut self) -> io::Result<()> {
        self.show_callers();
        self.checks.judge(&self.fleet.world, soak_now());
        while let Some((node, status)) = self.fleet.ended_node() {
            let seen = format!("node {node} ended by itself: {status}");
            self.checks.found(Promise::NodeEnds, seen);
            let disturbance = self.fleet.disturb(node, Disturbance::Unplanned);
            if let Some(process) = self.fleet.take_node(node) {
                self.fleet.ended(process).await;
            }
            self.fleet.start_node(node).await?;
            self.fleet.calm(node, disturbance);
        }
        Ok(())
    }

    async fn carry_out_due(&mut self) -> io::Result<()> {
        while let Some(entry) = self.due.first_entry() {
            if entry.key().0 > Instant::now() {
                break;
            }
            match entry.remove() {
                Due::Fault(fault) => self.begin(fault).await?,
                Due::End(end) => self.end(end).await?,
            }
        }
        Ok(())
    }

    async fn begin(&mut self, fault: SoakFault) -> io::Result<()> {
        match fault {
            SoakFault::KillNode(node, time) => {
                if let Some(process) = self.fleet.take_node(node) {
                    let disturbance = self.fleet.disturb(node, Disturbance::Unplanned);
                    self.fleet.ended(process).await;
                    self.after(time, End::StartNode(node, disturbance));
                }
            }
            SoakFault::StopNode(node) => self.stop_node(node),
            SoakFault::PauseNode(node, time) if self.fleet.is_up(node) => {
                let disturbance = self.fleet.disturb(node, Disturbance::Unplanned);
                self.fleet.signal_node(node, Signal::STOP);
                self.after(time, End::ResumeNode(node, disturbance));
            }
            SoakFault::ReloadNode(node) if self.fleet.is_up(node) => {
                let disturbance = self.fleet.disturb(node, Disturbance::Planned);
                self.fleet.signal_node(node, Signal::HUP);
                self.after(TICK, End::Reload(node, disturbance));
            }
            SoakFault::PauseNode(..) | SoakFault::ReloadNode(_) => {}
            SoakFault::StoreLink(node, fault, time) => {
                let disturbance = self.fleet.disturb(node, Disturbance::Unplanned);
                self.fleet.harm_store_link(node, fault);
                self.after(time, End::StoreLink(node, disturbance));
            }
            SoakFault::RefuseReads(time) => {
                let order = StoreCommand::Fault(StoreFault::Busy);
                self.fleet.order_store(&order).await;
                self.disturb_store(time);
            }
            SoakFault::PauseStore(time) => {
                self.fleet.signal_store(Signal::STOP);
                self.disturb_store(time);
            }
            SoakFault::ForgetHistory => {
                self.fleet.order_store(&StoreCommand::Compact).await;
            }
            SoakFault::Configure => self.fleet.reconfigure(false).await,
            SoakFault::Repartition => self.fleet.reconfigure(true).await,
            SoakFault::ZoneOut(zone, time) => {
                self.fleet.set_zone_out(ZONES[zone], true).await;
                self.after(time, End::Zone(ZONES[zone]));
            }
            other => self.begin_upstream(other).await?,
        }
        Ok(())
    }

    async fn begin_upstream(&mut self, fault: SoakFault) -> io::Result<()> {
        match fault {
            SoakFault::KillUpstream(upstream, time) => {
                let span = self.harm_upstream(upstream);
                self.fleet.kill_upstream(upstream).await;
                self.after(time, End::ReturnUpstream(upstream, span));
            }
            SoakFault::ReplaceUpstream(upstream) => {
                if let Some(instance) = self.fleet.replace_upstream(upstream).await? {
                    self.after(LEAVES_AFTER, End::Leaving(instance));
                }
            }
            SoakFault::PauseUpstream(upstream, time) => {
                let span = self.harm_upstream(upstream);
                self.signal_upstream(upstream, Signal::STOP);
                self.after(time, End::ResumeUpstream(upstream, span));
            }
            SoakFault::Misbehave(upstream, behaviour, time) => {
                let span = self.harm_upstream(upstream);
                self.behave(upstream, behaviour).await;
                self.after(time, End::Behave(upstream, span));
            }
            SoakFault::UpstreamLink(upstream, fault, time) => {
                let span = self.harm_upstream(upstream);
                self.fleet.upstreams[upstream].link.harm(fault);
                self.after(time, End::UpstreamLink(upstream, span));
            }
            _ => {}
        }
        Ok(())
    }

    async fn end(&mut self, end: End) -> io::Result<()> {
        match end {
            End::StartNode(node, disturbance) => {
                self.fleet.start_node(node).await?;
                self.fleet.calm(node, disturbance);
            }
            End::ResumeNode(node, disturbance) => {
                self.fleet.signal_node(node, Signal::CONT);
                self.fleet.calm(node, disturbance);
            }
            End::StoreLink(node, disturbance) => {
                self.fleet.harm_store_link(node, LinkFault::None);
                self.fleet.calm(node, disturbance);
            }
            End::Reload(node, disturbance) => self.fleet.calm(node, disturbance),
            End::ResumeUpstream(upstream, span) => {
                self.signal_upstream(upstream, Signal::CONT);
                self.calm_upstream(upstream, span);
            }
            End::Behave(upstream, span) => {
                self.behave(upstream, Behaviour::Whole).await;
                self.calm_upstream(upstream, span);
            }
            End::UpstreamLink(upstream, span) => {
                self.fleet.upstreams[upstream].link.harm(LinkFault::None);
                self.calm_upstream(upstream, span);
            }
            End::ReturnUpstream(upstream, span) => {
                self.fleet.return_upstream(upstream).await?;
                self.calm_upstream(upstream, span);
            }
            End::Leaving(instance) => self.fleet.end_leaving(&instance).await,
            End::Store(span) => {
                self.fleet.signal_store(Signal::CONT);
                let order = StoreCommand::Fault(StoreFault::None);
                self.fleet.order_store(&order).await;
                self.fleet.world.store[span].until = Some(soak_now());
            }
            End::Zone(zone) => self.fleet.set_zone_out(zone, false).await,
        }
        Ok(())
    }

    /// Tells a node to stop, and waits beside the run until it has.
    fn stop_node(&mut self, node: usize) {
        // A process that is paused would get the signal only when it goes on.
        let now = soak_now();
        if !self.fleet.world.undisturbed(node, now, now) {
            return;
        }
        let Some(mut process) = self.fleet.take_node(node) else {
            return;
        };
        let disturbance = self.fleet.disturb(node, Disturbance::Planned);
        let stopped = self.stopped.clone();
        process.signal(Signal::TERM);
        actix_rt::spawn(async move {
            let ended = tokio::time::timeout(GRACE, process.wait()).await;
            let status = ended.ok().flatten().map(|status| status.to_string());
            // The reader ends only with the run.
            let _ended = stopped.send(Stopped {
                node,
                disturbance,
                process,
                status,
            });
        });
    }

    async fn node_stopped(&mut self, stopped: Stopped) -> io::Result<()> {
        let node = stopped.node;
        let seen = match stopped.status.as_deref() {
            Some("exit status: 0") => None,
            Some(status) => Some(format!("node {node} ended with {status} after SIGTERM")),
            None => Some(format!("node {node} ran {GRACE:?} after SIGTERM")),
        };
        if let Some(seen) = seen {
            self.checks.found(Promise::NodeEnds, seen);
        }
        self.fleet.ended(stopped.process).await;
        self.fleet.start_node(node).await?;
        self.fleet.calm(node, stopped.disturbance);
        Ok(())
    }

    fn disturb_store(&mut self, time: Duration) {
        self.fleet.world.store.push(started());
        let span = self.fleet.world.store.len() - 1;
        self.after(time, End::Store(span));
    }

    fn harm_upstream(&mut self, upstream: usize) -> usize {
        let spans = self.fleet.world.upstreams.entry(upstream).or_default();
        spans.push(started());
        spans.len() - 1
    }

    fn calm_upstream(&mut self, upstream: usize, span: usize) {
        if let Some(spans) = self.fleet.world.upstreams.get_mut(&upstream) {
            spans[span].until = Some(soak_now());
        }
    }

    fn signal_upstream(&self, upstream: usize, signal: Signal) {
        if let Some(process) = &self.fleet.upstreams[upstream].process {
            process.signal(signal);
        }
    }

    async fn behave(&mut self, upstream: usize, behaviour: Behaviour) {
        if let Some(process) = &mut self.fleet.upstreams[upstream].process {
            process
                .order(&UpstreamCommand::SetBehaviour(behaviour))
                .await;
        }
    }
}
