//! Requests during the shutdown of the node: which may still start, and how long they may run.

use crate::{prelude::*, reply_times::ReplyTimes};

impl Forwarder {
    /// Ends running requests in time to answer them before the process exits.
    pub(crate) fn begin_shutdown(&mut self, schedule: ShutdownSchedule) {
        self.shutdown = Some(schedule);
        let running: Vec<FlowKey> = self.flows.keys().collect();
        for key in running {
            self.flows[key].deadline.apply_shutdown(schedule);
            self.reschedule(key);
        }
    }

    /// Time after which the caller should retry if the node exits before the request could be answered; `None` if it can
    /// be sent.
    pub(crate) fn shutdown_refusal(
        &self,
        now: Timestamp,
        route: &Route,
        deadline: AnswerDeadline,
    ) -> Option<Duration> {
        let schedule = self.shutdown?;
        let in_time = deadline.allows_attempt(now, || self.needed_reply_time(route));
        (!in_time).then(|| schedule.retry_after(now))
    }

    /// Time that a request needs for its reply before the end of a shutdown. One that must not run twice is given more, as
    /// nobody would know whether it ran if it were cut off.
    pub(crate) fn needed_reply_time(&self, route: &Route) -> Duration {
        let known = self.reply_times.get(&route.name);
        let times = known.map_or_else(|| ReplyTimes::new(route.objective), |times| *times);
        if route.idempotent {
            times.usual_time()
        } else {
            times.safe_time()
        }
    }
}
