//! A blocked reader of standard output must not block the node: lines are dropped instead, failures last.

use medlarpost_node::log_queue::LogQueue;
use slog::Level;
use std::{
    io::Write,
    sync::mpsc::{Receiver, channel},
    time::Duration,
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
