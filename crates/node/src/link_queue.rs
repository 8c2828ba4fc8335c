//! Messages that wait for a slow peer.

use medlarpost_wire::prelude::Message;
use std::collections::VecDeque;

/// A bounded queue that drops the oldest news to make room.
#[derive(Debug)]
pub struct LinkQueue {
    messages: VecDeque<Message>,
    capacity: usize,
}

/// What became of a message for a queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PushOutcome {
    /// It waits.
    Queued,
    /// It waits in place of older news.
    DroppedNews,
    /// The queue is full of messages that must not be dropped; the link has to be closed.
    Full,
}

impl LinkQueue {
    /// Messages that wait at most: a second of bookings at design size, with room for documents.
    pub const CAPACITY: usize = 256;

    /// An empty queue.
    pub fn new(capacity: usize) -> Self {
        Self {
            messages: VecDeque::new(),
            capacity,
        }
    }

    /// Adds a message. Of several heartbeats only the last is kept.
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

    /// Removes the message that waits longest.
    pub fn pop(&mut self) -> Option<Message> {
        self.messages.pop_front()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }

    /// Messages that wait.
    pub fn len(&self) -> usize {
        self.messages.len()
    }
}
