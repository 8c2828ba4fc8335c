//! Validated options of the load generator.

use crate::{
    ctl_error::{CtlError, InvalidValueSnafu},
    flags::Load,
    secret,
};
use medlarpost_core::prelude::*;
use std::{net::SocketAddr, str::FromStr};

/// Environment variable with the workspaces, separated by white space, used without `--workspaces-file`.
const WORKSPACES_VARIABLE: &str = "MEDLARCTL_TENANTS";

/// Highest rate in requests per second, so that a mistyped rate does no harm.
const MAX_RATE: u32 = 20_000;

const MAX_SECONDS: u64 = 3_600;

/// Which requests to send, where to and for how long.
#[derive(Debug)]
pub(crate) struct LoadOptions {
    pub(crate) targets: Vec<SocketAddr>,
    pub(crate) workspaces: Vec<LoadWorkspace>,
    pub(crate) search_service: String,
    pub(crate) booking_service: Option<String>,
    /// Share of bookings among the requests, 0 to 1.
    pub(crate) booking_share: f64,
    /// Requests per second, 1 to [`MAX_RATE`].
    pub(crate) rate: u32,
    pub(crate) duration: Duration,
    pub(crate) deadline: Duration,
    pub(crate) seed: u64,
}

/// A workspace that the load sends requests for. Its `Debug` form leaves out the token.
#[derive(Clone)]
pub(crate) struct LoadWorkspace {
    pub(crate) name: Arc<str>,
    pub(crate) token: Arc<str>,
    /// Share of the requests, relative to the other workspaces.
    pub(crate) weight: u32,
}

impl Debug for LoadWorkspace {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "LoadWorkspace({}, weight {})", self.name, self.weight)
    }
}

impl FromStr for LoadWorkspace {
    type Err = ();

    /// Parses `NAME:TOKEN` or `NAME:TOKEN:WEIGHT`, with a weight of 1 to 1000 (default 1).
    fn from_str(text: &str) -> Result<Self, ()> {
        let mut fields = text.split(':');
        let name = fields.next().filter(|name| !name.is_empty()).ok_or(())?;
        let token = fields.next().filter(|token| !token.is_empty()).ok_or(())?;
        let weight = fields
            .next()
            .map_or(Ok(1), str::parse)
            .ok()
            .filter(|weight| (1..=1_000).contains(weight))
            .ok_or(())?;
        if fields.next().is_some() {
            return Err(());
        }
        Ok(Self {
            name: name.into(),
            token: token.into(),
            weight,
        })
    }
}

impl LoadOptions {
    /// Validates the flags and reads the workspaces.
    pub(crate) fn read(flags: &Load) -> Result<Self, CtlError> {
        let targets = flags
            .target
            .iter()
            .map(|target| parse_value("--target", target, "use IP:PORT of a callers' listener"))
            .collect::<Result<Vec<_>, _>>()?;
        require(!targets.is_empty(), "--target", "pass at least one IP:PORT")?;
        let options = Self {
            targets,
            workspaces: read_workspaces(flags)?,
            search_service: flags.search.clone(),
            booking_service: flags.booking.clone(),
            booking_share: flags.booking_share.unwrap_or(0.0),
            rate: flags.rate.unwrap_or(100),
            duration: Duration::from_secs(flags.seconds.unwrap_or(10)),
            deadline: Duration::from_millis(flags.deadline_ms.unwrap_or(1_000)),
            seed: flags.seed.unwrap_or(1),
        };
        require(
            (1..=MAX_RATE).contains(&options.rate),
            "--rate",
            "use 1 to 20000 requests a second",
        )?;
        require(
            (1..=MAX_SECONDS).contains(&options.duration.as_secs()),
            "--seconds",
            "use 1 to 3600",
        )?;
        require(
            (1..=60_000).contains(&options.deadline.as_millis()),
            "--deadline-ms",
            "use 1 to 60000",
        )?;
        let share = options.booking_share;
        require(
            (0.0..=1.0).contains(&share),
            "--booking-share",
            "use 0 to 1",
        )?;
        require(
            share == 0.0 || options.booking_service.is_some(),
            "--booking",
            "name the booking service",
        )?;
        Ok(options)
    }
}

/// Reads the workspaces from the file or the variable. Flags would show the tokens in the process list.
fn read_workspaces(flags: &Load) -> Result<Vec<LoadWorkspace>, CtlError> {
    const SOURCES: &str = "--tenants-file or MEDLARCTL_TENANTS";
    let text = match &flags.tenants_file {
        Some(path) => secret::read_long_text(path)?,
        None => std::env::var(WORKSPACES_VARIABLE).unwrap_or_default(),
    };
    let workspaces = text
        .split_whitespace()
        .enumerate()
        .map(|(n, entry)| {
            let remedy = format!("entry {} is not NAME:TOKEN or NAME:TOKEN:WEIGHT", n + 1);
            entry.parse().map_err(|()| CtlError::InvalidValue {
                name: SOURCES,
                detail: remedy,
            })
        })
        .collect::<Result<Vec<_>, _>>()?;
    require(
        !workspaces.is_empty(),
        SOURCES,
        "give at least one NAME:TOKEN:WEIGHT",
    )?;
    Ok(workspaces)
}

fn parse_value<T: FromStr>(name: &'static str, text: &str, remedy: &str) -> Result<T, CtlError> {
    text.parse().ok().context(InvalidValueSnafu {
        name,
        detail: remedy,
    })
}

fn require(valid: bool, name: &'static str, remedy: &str) -> Result<(), CtlError> {
    let valid = valid.then_some(());
    valid.context(InvalidValueSnafu {
        name,
        detail: remedy,
    })
}
