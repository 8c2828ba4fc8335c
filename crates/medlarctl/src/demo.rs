//! The demonstration: runs a whole deployment in one process under load and faults, and checks the invariants.

use crate::{
    balancer::{self, Targets},
    booking_load::BookingLoad,
    config_probe,
    ctl_error::CtlError,
    demo_report::DemoReport,
    fault::Fault,
    fault_injector::FaultInjector,
    run_record::RunRecord,
    schedule::{OVERLOAD_DURATION, Schedule, ScheduleSizes},
    search_load::SearchLoad,
    test_bed::TestBed,
};
use medlarpost_fakes::prelude::*;
use serde_json::json;
use std::time::Instant;

/// Time under load before the measurement starts: after the start of the nodes, the owner of an upstream's warm-up
/// waits 3 s for its predecessor before it probes the upstream.
const WARM_UP: Duration = Duration::from_secs(5);

/// Default load, as a share of the capacity of the upstreams.
const NORMAL_LOAD_SHARE: f64 = 0.4;

/// Longest wait for all nodes to become ready, and for each to stop.
const NODE_TIMEOUT: Duration = Duration::from_secs(10);

/// Parameters of one demonstration.
#[derive(Clone, Debug)]
pub struct DemoOptions {
    /// Workspaces, zones, nodes and upstreams to start.
    pub deployment: Deployment,
    /// Time under load that is measured, after the warm-up.
    pub duration: Duration,
    /// Seed of the load, the fakes and the fault schedule.
    pub seed: u64,
    /// Queries per second; `None` for 0.4 of the capacity.
    pub rate: Option<u32>,
    /// Whether the nodes use the adaptive policy or the baseline.
    pub policy: PolicyMode,
    /// Fault to inject.
    pub fault: Fault,
}

/// Runs the demonstration and blocks until its report is complete.
///
/// # Errors
///
/// A node or a fake can't start.
pub fn run_demo(options: &DemoOptions) -> Result<DemoReport, CtlError> {
    actix_rt::System::new().block_on(run(options))
}

async fn run(options: &DemoOptions) -> Result<DemoReport, CtlError> {
    let (event_recorder, mut recorded_events) = EventRecorder::new();
    let DemoOptions {
        deployment, seed, ..
    } = options;
    let test_bed = TestBed::start(deployment, options.policy, *seed, &event_recorder).await?;
    let targets = balancer::start(test_bed.members.subscribe());
    wait_for_nodes(targets.clone(), deployment.nodes).await;
    let start = Instant::now() + WARM_UP;
    let end = start + options.duration;
    let schedule = Schedule::for_fault(
        options.fault,
        *seed,
        options.duration,
        schedule_sizes(&test_bed),
    );
    let (ended_tx, ended) = watch::channel(false);
    let overload = schedule
        .overload_start
        .map(|after| (start + after, start + after + OVERLOAD_DURATION));
    let planned_steps: Vec<_> = schedule.steps.iter().map(ToString::to_string).collect();
    let searches = search_load(options, &schedule, (start, end));
    let searches = actix_rt::spawn(searches.run(targets.clone(), test_bed.shards.subscribe()));
    let bookings = actix_rt::spawn(booking_load(options, end).run(targets.clone()));
    let probe = config_probe::run(targets.clone(), test_bed.publications.subscribe(), ended);
    let probe = actix_rt::spawn(probe);
    let mut fault_injector = FaultInjector::new(test_bed, targets);
    let steps = schedule
        .steps
        .into_iter()
        .filter(|step| step.at < options.duration)
        .collect();
    fault_injector.run(start, steps).await?;
    let (queries, bookings) = (searches.await, bookings.await);
    ended_tx.send_replace(true);
    let config = probe.await.unwrap_or_default();
    stop_nodes(&fault_injector.test_bed).await;
    let mut record = RunRecord {
        start,
        end,
        queries: queries.unwrap_or_default(),
        bookings: bookings.unwrap_or_default(),
        events: Vec::new(),
        exclusions: fault_injector.exclusions,
        config,
        configuration_hidden: options.fault.hides_configuration(),
        overload,
    };
    while let Ok(event) = recorded_events.try_recv() {
        record.events.push(event);
    }
    let capacity = TestBed::capacity(deployment);
    let mut parameters = run_parameters(options);
    parameters["schedule"] = json!(planned_steps);
    Ok(DemoReport::new(&parameters, &record, capacity))
}

/// Waits until all nodes are ready or the timeout passes; if none is, the report counts the queries as `not_reached`.
async fn wait_for_nodes(mut targets: Targets, nodes: usize) {
    let all_ready = targets.wait_for(|targets| targets.len() == nodes);
    let _late = tokio::time::timeout(NODE_TIMEOUT, all_ready).await;
}

fn run_parameters(options: &DemoOptions) -> serde_json::Value {
    json!({
        "deployment": options.deployment.name,
        "fault": options.fault.name(),
        "policy": match options.policy {
            PolicyMode::Adaptive => "adaptive",
            PolicyMode::Baseline => "baseline",
        },
        "seed": options.seed,
        "seconds": options.duration.as_secs(),
    })
}

fn schedule_sizes(test_bed: &TestBed) -> ScheduleSizes {
    ScheduleSizes {
        upstreams: test_bed.search_upstream_count(),
        replicas: test_bed.deployment.search.replicas,
        zones: test_bed.deployment.zones.len(),
        nodes: test_bed.nodes.len(),
    }
}

fn search_load(
    options: &DemoOptions,
    schedule: &Schedule,
    (start, end): (Instant, Instant),
) -> SearchLoad {
    let capacity = TestBed::capacity(&options.deployment);
    SearchLoad {
        service: options.deployment.search.service,
        workspaces: options.deployment.workspaces,
        caller_delay: options.deployment.caller_delay,
        rate: options.rate.map_or(NORMAL_LOAD_SHARE * capacity, f64::from),
        capacity,
        schedule: schedule.clone(),
        start,
        end,
        seed: options.seed,
    }
}

fn booking_load(options: &DemoOptions, end: Instant) -> BookingLoad {
    BookingLoad {
        service: options.deployment.booking.service,
        workspaces: options.deployment.workspaces,
        caller_delay: options.deployment.caller_delay,
        end,
        seed: options.seed,
    }
}

async fn stop_nodes(test_bed: &TestBed) {
    // Empties the balancer's pool first, which closes its connections, as in any planned stop.
    test_bed.members.send_replace(Vec::new());
    let stops = test_bed.nodes.iter().map(|node| async {
        node.thread.stop();
        let _late = tokio::time::timeout(NODE_TIMEOUT, node.thread.wait_until_stopped()).await;
    });
    futures_util::future::join_all(stops).await;
}
