//! Common types, imported by the modules of this crate and by its users.

pub use crate::{
    clock::Clock,
    engine_task::{EngineMessage, EngineSender},
    http_server::{Handler, HttpReply, HttpRequest},
    metrics::Metrics,
    node_error::{self, NodeError},
    settings::Settings,
    workers::Workers,
};

pub use {
    bytes::Bytes,
    medlarpost_core::prelude::*,
    slog::{Logger, debug, error, info, warn},
    std::{collections::HashMap, net::SocketAddr},
    tokio::sync::{mpsc, oneshot, watch},
};
