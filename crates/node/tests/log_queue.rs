//! A blocked reader of standard output must not block the node: lines are dropped instead, failures last.

use medlarpost_node::{key_value_drain::queued_logger, log_queue::LogQueue};
use slog::Level;
use std::{
    io::Write,
    sync::{
        Arc, Mutex,
        mpsc::{Receiver, channel},
    },
    time::{Duration, Instant},
};

/// An output that blocks in its writes until the test drops the sender.
struct BlockedOutput(Receiver<()>);

impl Write for BlockedOutput {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        // Fails, which ends the wait, once the test drops the sender.
        let _released = self.0.recv();
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn blocked_output_drops_info_lines_and_keeps_room_for_failures() {
    let (release, wait) = channel();
    let queue = LogQueue::start(BlockedOutput(wait)).expect("a thread can be started");
    queue.push(Level::Info, "first\n".to_owned());
    // Lets the writer take the first line and block.
    std::thread::sleep(Duration::from_millis(50));

    for _ in 0..10_000 {
        queue.push(Level::Info, "info\n".to_owned());
    }
    for _ in 0..100 {
        queue.push(Level::Warning, "failure\n".to_owned());
    }

    let (failures, infos) = queue.dropped();
    assert_eq!(failures, 0);
    assert!(
        (6_000..10_000).contains(&infos),
        "{infos} of 10,000 dropped"
    );
    drop(release);
}

/// An output that takes some time for each write and keeps what was written.
#[derive(Clone, Default)]
struct SlowOutput(Arc<Mutex<Vec<u8>>>);

impl SlowOutput {
    fn text(&self) -> String {
        let bytes = self.0.lock().expect("no writer panics").clone();
        String::from_utf8(bytes).expect("lines are text")
    }
}

impl Write for SlowOutput {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        std::thread::sleep(Duration::from_millis(20));
        self.0
            .lock()
            .expect("no reader panics")
            .extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Guards against lines that are lost at the end of the process, because it ends before the thread has written them.
#[test]
fn flush_returns_after_all_queued_lines_are_written() {
    let output = SlowOutput::default();
    let queue = LogQueue::start(output.clone()).expect("a thread can be started");
    for number in 0..50 {
        queue.push(Level::Info, format!("line {number}\n"));
    }

    let flushed = queue.flush(Duration::from_secs(30));

    assert!(flushed);
    assert_eq!(output.text().lines().count(), 50);
}

/// Guards against a process that never ends, because the reader of its output has stopped reading.
#[test]
fn flush_gives_up_on_a_blocked_output() {
    let (release, wait) = channel();
    let queue = LogQueue::start(BlockedOutput(wait)).expect("a thread can be started");
    for _ in 0..10_000 {
        queue.push(Level::Warning, "failure\n".to_owned());
    }
    let started = Instant::now();

    let flushed = queue.flush(Duration::from_millis(100));

    assert!(!flushed);
    assert!(started.elapsed() >= Duration::from_millis(100));
    drop(release);
}

/// Guards against log lines of any length, because a value quotes what another program sent.
#[test]
fn long_values_are_cut() {
    let output = SlowOutput::default();
    let queue = LogQueue::start(output.clone()).expect("a thread can be started");
    let log = queued_logger(Level::Info, queue.clone());

    slog::info!(log, "long_value"; "text" => "é".repeat(1_000_000));
    queue.flush(Duration::from_secs(30));

    let text = output.text();
    assert!(text.contains("event=long_value"), "{text}");
    assert!(text.len() < 1_200, "{} bytes", text.len());
}
