//! Threads that run the node's tasks.

use crate::prelude::*;
use actix_rt::{Arbiter, ArbiterHandle};

/// A fixed set of single-threaded runtimes. Tasks that hold sockets are spread over them.
#[derive(Clone, Debug)]
pub struct Workers {
    handles: Arc<[ArbiterHandle]>,
    next: usize,
}

impl Workers {
    /// Starts `count` threads; at least one.
    pub fn start(count: usize) -> Self {
        let handles = (0..count.max(1)).map(|_| Arbiter::new().handle()).collect();
        Self { handles, next: 0 }
    }

    /// The calling thread alone, which must run an actix runtime.
    pub fn current_thread() -> Self {
        Self {
            handles: [Arbiter::current()].into(),
            next: 0,
        }
    }

    /// Starts a task on the next thread. `start` runs there, so that the task need not be `Send`.
    pub fn spawn<F>(&mut self, start: impl FnOnce() -> F + Send + 'static)
    where
        F: Future<Output = ()> + 'static,
    {
        self.next = (self.next + 1) % self.handles.len();
        // A stopped thread means that the process is ending, and its tasks with it.
        let _sent = self.handles[self.next].spawn_fn(move || {
            actix_rt::spawn(start());
        });
    }

    /// Stops all threads; tasks that still run are dropped.
    pub fn stop(&self) {
        for handle in self.handles.iter() {
            handle.stop();
        }
    }
}
