//! A listener of the fake platform, which can be made faulty independently of others.

use crate::{fake_platform::Published, prelude::*};
use actix_http::{Method, StatusCode};
use medlarpost_node::http_server::{self, ServerPhase};
use std::net::TcpListener;

/// Longest time that a watch request is held, in milliseconds.
const MAX_WAIT_MS: u64 = 60_000;

/// How a listener answers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PlatformMode {
    /// Answers with the published state.
    #[default]
    Current,
    /// Answers watches with the state before the last bundle was published.
    Stale,
    /// Reads requests and never answers.
    Silent,
}

/// Listener of a fake platform. Nodes that use different listeners can be cut off separately. Dropping it stops it.
#[derive(Debug)]
pub struct PlatformListener {
    address: SocketAddr,
    mode: watch::Sender<PlatformMode>,
    vms: watch::Sender<Option<Bytes>>,
    phase: watch::Sender<ServerPhase>,
}

#[derive(Clone, Debug)]
struct PlatformApi {
    state: watch::Receiver<Published>,
    mode: watch::Receiver<PlatformMode>,
    /// List of VMs that this listener returns instead of the published one.
    vms: watch::Receiver<Option<Bytes>>,
}

impl PlatformListener {
    pub(crate) fn start(
        address: SocketAddr,
        state: watch::Receiver<Published>,
        workers: &mut Workers,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let (mode, mode_rx) = watch::channel(PlatformMode::Current);
        let (vms, vms_rx) = watch::channel(None);
        let (phase, phase_rx) = watch::channel(ServerPhase::Open);
        let api = PlatformApi {
            state,
            mode: mode_rx,
            vms: vms_rx,
        };
        let connections = workers.clone();
        workers.spawn(move || async move {
            // Fails only if the listener can't be registered with the runtime; then no node can start either.
            let _failed = http_server::serve(listener, api, phase_rx, connections).await;
        });
        Ok(Self {
            address,
            mode,
            vms,
            phase,
        })
    }

    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns this list of VMs instead of the published one. Pending watches see it at the next publication.
    ///
    /// # Panics
    ///
    /// Never: the list has a JSON form.
    pub fn set_vms(&self, list: &VmList) {
        let text = serde_json::to_vec(list).expect("a list of VMs has a JSON form");
        self.vms.send_replace(Some(text.into()));
    }

    /// Changes how the listener answers, including pending requests.
    pub fn set_mode(&self, mode: PlatformMode) {
        self.mode.send_replace(mode);
    }
}

impl Drop for PlatformListener {
    fn drop(&mut self) {
        self.phase.send_replace(ServerPhase::Stopped);
    }
}

impl Handler for PlatformApi {
    async fn respond(&self, req: HttpRequest) -> HttpReply {
        let reply = self.reply(&req).await;
        let mut mode = self.mode.clone();
        // The sender lives as long as the listener.
        let _ended = mode.wait_for(|mode| *mode != PlatformMode::Silent).await;
        reply
    }
}

impl PlatformApi {
    async fn reply(&self, req: &HttpRequest) -> HttpReply {
        if req.method != Method::GET {
            return HttpReply::text(
                StatusCode::METHOD_NOT_ALLOWED,
                "the platform can only be read\n",
            );
        }
        if req.path == "/v1/watch" {
            return self.watch(req).await;
        }
        let digest = req
            .path
            .strip_prefix("/v1/values/")
            .and_then(Digest::from_hex);
        match digest.and_then(|digest| self.value(digest)) {
            Some(value) => HttpReply::text(StatusCode::OK, value),
            None => HttpReply::text(StatusCode::NOT_FOUND, "no such value\n"),
        }
    }

    fn is_stale(&self) -> bool {
        *self.mode.borrow() == PlatformMode::Stale
    }

    fn value(&self, digest: Digest) -> Option<Bytes> {
        let override_vms = self.vms.borrow().clone();
        override_vms
            .filter(|vms| Digest::of(vms) == digest)
            .or_else(|| self.state.borrow().values.get(&digest).cloned())
    }

    async fn watch(&self, req: &HttpRequest) -> HttpReply {
        let number = |name| {
            req.parameter(name)
                .and_then(|text| text.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let after = number("after");
        let wait = Duration::from_millis(number("wait_ms").min(MAX_WAIT_MS));
        let mut state = self.state.clone();
        let hides_changes = self.is_stale();
        let newer = state.wait_for(|state| !hides_changes && state.current.revision > after);
        let _timed_out = tokio::time::timeout(wait, newer).await.is_err();
        let mut reply = {
            let state = self.state.borrow();
            if self.is_stale() {
                state.previous.clone()
            } else {
                state.current.clone()
            }
        };
        if let Some(vms) = &*self.vms.borrow() {
            reply.vms = Some(Digest::of(vms));
        }
        HttpReply::json(StatusCode::OK, &reply)
    }
}
