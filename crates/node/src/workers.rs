//! Worker threads that run the node's tasks.

use crate::prelude::*;
use actix_rt::{Arbiter, ArbiterHandle};

/// A fixed set of single-threaded runtimes. Tasks are distributed over them in turn.
#[derive(Clone, Debug)]
pub struct Workers {
    handles: Arc<[ArbiterHandle]>,
    next: usize,
}

impl Workers {
    /// Starts `count` threads, at least one.
    pub fn start(count: usize) -> Self {
        let handles = (0..count.max(1)).map(|_| Arbiter::new().handle()).collect();
        Self { handles, next: 0 }
    }

    /// Uses only the calling thread, which has to run an actix runtime.
    pub fn current_thread() -> Self {
        Self {
            handles: [Arbiter::current()].into(),
            next: 0,
        }
    }

    /// Starts a task on the next thread. `start` runs on that thread, so that the task need not be `Send`.
    pub fn spawn<F>(&mut self, start: impl FnOnce() -> F + Send + 'static)
    where
        F: Future<Output = ()> + 'static,
    {
        self.next = (self.next + 1) % self.handles.len();
        // Fails only if the thread has been stopped, together with its tasks.
        let _sent = self.handles[self.next].spawn_fn(move || {
            actix_rt::spawn(start());
        });
    }

    /// Stops all threads and drops the tasks that still run.
    pub fn stop(&self) {
        for handle in self.handles.iter() {
            handle.stop();
        }
    }
}
