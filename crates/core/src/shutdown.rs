//! Graceful shutdown of a node that forwards requests: when it stops listening and when it exits.

use crate::prelude::*;

/// Progress of a node's shutdown. Requests obey the same schedule through [`AnswerDeadline`].
#[derive(Debug)]
pub struct Shutdown {
    chart: Chart<ShutdownMachine>,
    state: ShutdownState,
    /// Set when the shutdown begins, and not changed afterwards.
    schedule: Option<ShutdownSchedule>,
}

impl Shutdown {
    /// A node that has not been asked to stop.
    ///
    /// # Errors
    ///
    /// If the embedded state chart is invalid.
    pub fn new() -> Result<Self, ChartError> {
        let chart = Chart::load()?;
        Ok(Self {
            state: chart.initial(),
            chart,
            schedule: None,
        })
    }

    /// Begins the shutdown. Returns the actions to carry out; none if it has begun already.
    pub fn begin(&mut self, schedule: ShutdownSchedule) -> &[ShutdownAction] {
        self.schedule.get_or_insert(schedule);
        self.handle(ShutdownEvent::StopRequested)
    }

    /// Handles an event. Returns the actions to carry out.
    pub fn handle(&mut self, event: ShutdownEvent) -> &[ShutdownAction] {
        let step = self
            .chart
            .step(self.state, event, |nothing| match nothing {});
        self.state = step.next;
        step.actions
    }

    /// Next event that is due by time; `None` before the shutdown and after its end.
    pub fn next_due(&self) -> Option<(Timestamp, ShutdownEvent)> {
        let schedule = self.schedule?;
        match self.state {
            ShutdownState::LeavingRotation => {
                Some((schedule.rotation_left_at(), ShutdownEvent::RotationLeft))
            }
            ShutdownState::Finishing => Some((schedule.exit_at(), ShutdownEvent::TimeOver)),
            ShutdownState::Serving | ShutdownState::Stopped => None,
        }
    }

    /// Current state.
    pub fn state(&self) -> ShutdownState {
        self.state
    }
}
