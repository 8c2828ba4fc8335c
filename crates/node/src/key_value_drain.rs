//! A slog drain that writes lines of `key=value` pairs.

use crate::{
    log_limiter::{LogDecision, LogLimiter},
    log_queue::LogQueue,
};
use slog::{Drain, KV, Key, Level, Logger, Never, OwnedKVList, Record, Serializer, o};
use std::{
    fmt::{Arguments, Write as _},
    io::Write as _,
    time::{SystemTime, UNIX_EPOCH},
};

/// Longest value of a pair, in bytes. Values may quote what other programs sent.
const MAX_VALUE_BYTES: usize = 1_000;

/// Shared by all loggers of the process, as they write to the same output.
static LIMITER: LogLimiter = LogLimiter::new();

/// Number of lines that were suppressed because their event was too frequent.
pub fn suppressed_lines() -> u64 {
    LIMITER.suppressed()
}

/// Writes each record as one line: time, level, event and the record's pairs.
#[derive(Clone, Debug)]
pub struct KeyValueDrain {
    level: Level,
    /// Queue for the lines; without one they go to standard error.
    queue: Option<LogQueue>,
}

/// Logger that writes records of `level` and above to standard error.
pub fn logger(level: Level) -> Logger {
    Logger::root(KeyValueDrain { level, queue: None }.fuse(), o!())
}

/// Logger that puts records of `level` and above into a queue.
pub fn queued_logger(level: Level, queue: LogQueue) -> Logger {
    let drain = KeyValueDrain {
        level,
        queue: Some(queue),
    };
    Logger::root(drain.fuse(), o!())
}

impl Drain for KeyValueDrain {
    type Err = Never;
    type Ok = ();

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        if !record.level().is_at_least(self.level) {
            return Ok(());
        }
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        // Events have constant names, for which `as_str` needs no formatting.
        let event = record.msg().as_str().unwrap_or("formatted");
        let LogDecision::Write { suppressed_before } = LIMITER.decide(event, since.as_secs())
        else {
            return Ok(());
        };
        let mut line = format!(
            "ts={}.{:03} level={}",
            since.as_secs(),
            since.subsec_millis(),
            record.level().as_str()
        );
        let mut pairs = PairSerializer(&mut line);
        // Writing to a `String` can't fail.
        let _infallible = pairs.emit_arguments("event", record.msg());
        let _infallible = record.kv().serialize(record, &mut pairs);
        let _infallible = values.serialize(record, &mut pairs);
        if suppressed_before > 0 {
            let _infallible = write!(pairs.0, " suppressed_before={suppressed_before}");
        }
        line.push('\n');
        if let Some(queue) = &self.queue {
            queue.push(record.level(), line);
            return Ok(());
        }
        // A closed standard error must not stop the node.
        let _closed = std::io::stderr().lock().write_all(line.as_bytes());
        Ok(())
    }
}

struct PairSerializer<'a>(&'a mut String);

impl Serializer for PairSerializer<'_> {
    fn emit_arguments(&mut self, key: Key, val: &Arguments<'_>) -> slog::Result {
        let mut text = val.to_string();
        if text.len() > MAX_VALUE_BYTES {
            text.truncate(text.floor_char_boundary(MAX_VALUE_BYTES));
            text.push('…');
        }
        let plain = !text.is_empty() && !text.contains([' ', '"', '=', '\n']);
        if plain {
            write!(self.0, " {key}={text}")?;
        } else {
            write!(self.0, " {key}={text:?}")?;
        }
        Ok(())
    }
}
