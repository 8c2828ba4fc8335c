//! Outgoing messages that wait until a peer's connection is writable.

use medlarpost_wire::prelude::Message;
use std::collections::VecDeque;

/// A bounded queue that drops the oldest news when it is full.
#[derive(Debug)]
pub struct LinkQueue {
    messages: VecDeque<Message>,
    capacity: usize,
}

/// Result of [`LinkQueue::push`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PushOutcome {
    /// The message was added.
    Queued,
    /// The message was added in place of the oldest news.
    DroppedNews,
    /// The message was not added, because the queue is full of messages that must not be dropped. The caller has to
    /// close the link.
    Full,
}

impl LinkQueue {
    /// Capacity of a link's queue in messages: a second of bookings at design size, with room for documents.
    pub const CAPACITY: usize = 256;

    /// An empty queue for at most `capacity` messages.
    pub fn new(capacity: usize) -> Self {
        Self {
            messages: VecDeque::new(),
            capacity,
        }
    }

    /// Adds a message. A heartbeat replaces one that still waits.
    pub fn push(&mut self, message: Message) -> PushOutcome {
        if matches!(message, Message::Heartbeat(_)) {
            self.messages
                .retain(|waiting| !matches!(waiting, Message::Heartbeat(_)));
        }
        let mut queued = PushOutcome::Queued;
        if self.messages.len() >= self.capacity {
            let news = self
                .messages
                .iter()
                .position(|waiting| matches!(waiting, Message::News(_)));
            let Some(news) = news else {
                return PushOutcome::Full;
            };
            self.messages.remove(news);
            queued = PushOutcome::DroppedNews;
        }
        self.messages.push_back(message);
        queued
    }

    /// Removes the oldest message.
    pub fn pop(&mut self) -> Option<Message> {
        self.messages.pop_front()
    }

    /// Whether no message waits.
    pub fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }

    /// Number of messages that wait.
    pub fn len(&self) -> usize {
        self.messages.len()
    }
}
