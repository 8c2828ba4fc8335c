//! `medlarctl fake-platform` and `medlarctl fake-upstream`: fakes as separate processes, to try the `medlarpost`
//! program by hand.

use crate::{
    ctl_error::{CtlError, ListenSnafu, UnknownValueSnafu},
    flags::{FakePlatform as PlatformFlags, FakeUpstream as UpstreamFlags},
};
use medlarpost_fakes::prelude::*;
use std::path::Path;

/// Worker threads of a fake.
const WORKER_THREADS: usize = 1;

/// Runs a fake platform until the process ends.
pub(crate) fn run_platform(flags: &PlatformFlags) -> Result<(), CtlError> {
    let address = parse_address(&flags.address)?;
    actix_rt::System::new().block_on(async {
        let workers = Workers::start(WORKER_THREADS);
        let platform = FakePlatform::start(address, workers).context(ListenSnafu)?;
        outln!("address={}", platform.address());
        PlatformDirectory::new(Path::new(&flags.directory))
            .publish_changes(&platform, |event| outln!("{event}"))
            .await;
        Ok(())
    })
}

/// Runs a fake upstream until the process ends.
pub(crate) fn run_upstream(flags: &UpstreamFlags) -> Result<(), CtlError> {
    let address = parse_address(&flags.address)?;
    let pool = Deployment::tunelix().search;
    let service_time = Duration::from_millis(flags.service_ms.unwrap_or(10));
    let mut behaviour = UpstreamBehaviour::for_pool(&pool, "", service_time, 1);
    behaviour.slots = flags.slots.unwrap_or(behaviour.slots);
    behaviour.max_connections = flags.connections.unwrap_or(behaviour.max_connections);
    actix_rt::System::new().block_on(async {
        let (recorder, mut events) = EventRecorder::new();
        let workers = Workers::start(WORKER_THREADS);
        let upstream = FakeUpstream::start(&flags.name, address, behaviour, recorder, workers)
            .context(ListenSnafu)?;
        outln!("address={}", upstream.address());
        while let Some(recorded) = events.recv().await {
            outln!("upstream={} {:?}", recorded.upstream, recorded.event);
        }
        Ok(())
    })
}

/// Parses the value of `--address`.
pub(crate) fn parse_address(text: &str) -> Result<SocketAddr, CtlError> {
    text.parse().ok().context(UnknownValueSnafu {
        name: "--address",
        value: text,
        known: "IP:PORT, such as 127.0.0.1:8500",
    })
}
