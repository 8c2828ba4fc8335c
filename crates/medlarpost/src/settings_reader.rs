//! Parses the settings and reports all their errors at once.

use crate::{flags::Medlarpost, setting_error::SettingError};
use medlarpost_core::prelude::*;
use medlarpost_node::{
    admin_token::MIN_ADMIN_TOKEN_BYTES,
    prelude::Settings,
    tls::{self, TlsConfigs, TlsError},
};
use medlarpost_wire::prelude::FleetKey;
use slog::Level;
use std::{net::SocketAddr, ops::RangeInclusive, str::FromStr};

/// Longest name of a node or zone, in bytes; the same limit as in a bundle.
const MAX_NAME_BYTES: usize = 64;

/// Upper bound for the balancer lag and for the wait to join, in milliseconds: ten minutes.
const MAX_WAIT_MS: u64 = 600_000;

/// Upper bound for the number of threads that serve sockets.
const MAX_WORKER_THREADS: u64 = 256;

/// Values that are generated anew at each start of the process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StartValues {
    pub(crate) ticket_key: [u8; 32],
    pub(crate) start: u64,
}

/// Looks up settings in flags and environment variables, and collects the errors.
pub struct SettingsReader<'a> {
    lookup_env: &'a dyn Fn(&str) -> Option<String>,
    errors: Vec<SettingError>,
}

impl std::fmt::Debug for SettingsReader<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("SettingsReader")
            .field("faults", &self.errors)
            .finish_non_exhaustive()
    }
}

impl<'a> SettingsReader<'a> {
    /// Creates a reader that looks up environment variables with `lookup_env`.
    pub fn new(lookup_env: &'a dyn Fn(&str) -> Option<String>) -> Self {
        Self {
            lookup_env,
            errors: Vec::new(),
        }
    }

    fn lookup(&mut self, name: &'static str, flag: Option<&String>) -> Option<String> {
        let variable = variable_name(name);
        flag.cloned()
            .or_else(|| (self.lookup_env)(&variable))
            .filter(|value| !value.is_empty())
    }

    fn parse_required<T: FromStr>(
        &mut self,
        name: &'static str,
        flag: Option<&String>,
        remedy: &'static str,
    ) -> Option<T> {
        let Some(value) = self.lookup(name, flag) else {
            self.errors.push(SettingError::Missing {
                name,
                variable: variable_name(name),
            });
            return None;
        };
        self.parse(name, value, remedy)
    }

    fn parse_optional<T: FromStr>(
        &mut self,
        name: &'static str,
        flag: Option<&String>,
        default: T,
        remedy: &'static str,
    ) -> T {
        match self.lookup(name, flag) {
            None => default,
            Some(value) => self.parse(name, value, remedy).unwrap_or(default),
        }
    }

    fn parse<T: FromStr>(
        &mut self,
        name: &'static str,
        value: String,
        remedy: &'static str,
    ) -> Option<T> {
        let parsed = value.parse().ok();
        if parsed.is_none() {
            self.errors.push(SettingError::Invalid {
                name,
                value,
                remedy,
            });
        }
        parsed
    }

    fn parse_bounded(
        &mut self,
        name: &'static str,
        flag: Option<&String>,
        default: u64,
        (bounds, remedy): (RangeInclusive<u64>, &'static str),
    ) -> u64 {
        let value = self.parse_optional(name, flag, default, remedy);
        if !bounds.contains(&value) {
            self.errors.push(SettingError::Invalid {
                name,
                value: value.to_string(),
                remedy,
            });
        }
        value
    }

    fn parse_owners(
        &mut self,
        first: Option<PublicKey>,
        second: Option<PublicKey>,
    ) -> Option<Owners> {
        let owners = Owners::new(first?.0, second?.0);
        if owners.is_err() {
            let remedy =
                "pass the Ed25519 public key of the second owner, different from the first";
            self.errors.push(SettingError::Invalid {
                name: "second-owner",
                value: String::new(),
                remedy,
            });
        }
        owners.ok()
    }

    /// Parses the fleet key. The error leaves the value out, because it is a secret.
    fn parse_fleet_key(&mut self, flag: Option<&String>) -> Option<FleetKey> {
        let name = "fleet-key";
        let Some(text) = self.lookup(name, flag) else {
            let variable = variable_name(name);
            self.errors.push(SettingError::Missing { name, variable });
            return None;
        };
        let key = FleetKey::from_hex(&text);
        if key.is_none() {
            let remedy = "use the 64 hexadecimal digits that `medlarctl keys fleet` printed, the same for all nodes";
            let value = String::new();
            self.errors.push(SettingError::Invalid {
                name,
                value,
                remedy,
            });
        }
        key
    }

    fn parse_admin_token(&mut self, flag: Option<&String>) -> Option<String> {
        let token = self.lookup("admin-token", flag)?;
        if token.len() < MIN_ADMIN_TOKEN_BYTES {
            let remedy = "use at least 16 characters";
            self.errors.push(SettingError::Invalid {
                name: "admin-token",
                value: String::new(),
                remedy,
            });
        }
        Some(token)
    }
}

/// Validated name of a node or a zone.
struct NameValue(String);

impl FromStr for NameValue {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'-' | b'_');
        let valid = text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed);
        valid.then(|| Self(text.to_owned())).ok_or(())
    }
}

/// A public key, parsed from hexadecimal.
struct PublicKey([u8; 32]);

impl FromStr for PublicKey {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        Digest::from_hex(text)
            .map(|digest| Self(digest.0))
            .ok_or(())
    }
}

struct PolicyValue(PolicyMode);

impl FromStr for PolicyValue {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "adaptive" => Ok(Self(PolicyMode::Adaptive)),
            "baseline" => Ok(Self(PolicyMode::Baseline)),
            _ => Err(()),
        }
    }
}

fn variable_name(name: &str) -> String {
    format!("MEDLARPOST_{}", name.to_uppercase().replace('-', "_"))
}

/// Parses all settings.
///
/// # Errors
///
/// Returns every missing or invalid setting, in the order of the flags, with those for TLS at the end.
pub(crate) fn parse_settings(
    flags: &Medlarpost,
    lookup_env: &dyn Fn(&str) -> Option<String>,
    start: StartValues,
) -> Result<(Settings, Level, TlsConfigs), Vec<SettingError>> {
    const ADDRESS: &str = "use IP:PORT, such as 127.0.0.1:8080";
    const KEY: &str = "use the 64 hexadecimal digits that `medlarctl keys owner` printed";
    const NUMBER: &str = "use a whole number";
    const NAME: &str = "use 1 to 64 letters, digits, dots, dashes and underscores";
    let mut reader = SettingsReader::new(lookup_env);
    let name = reader.parse_required::<NameValue>("name", flags.name.as_ref(), NAME);
    let zone = reader.parse_required::<NameValue>("zone", flags.zone.as_ref(), NAME);
    let caller_address = reader.parse_required::<SocketAddr>(
        "caller-address",
        flags.caller_address.as_ref(),
        ADDRESS,
    );
    let admin_address =
        reader.parse_required::<SocketAddr>("admin-address", flags.admin_address.as_ref(), ADDRESS);
    let admin_token = reader.parse_admin_token(flags.admin_token.as_ref());
    let link_address =
        reader.parse_required::<SocketAddr>("link-address", flags.link_address.as_ref(), ADDRESS);
    let fleet_key = reader.parse_fleet_key(flags.fleet_key.as_ref());
    let join_wait_ms = reader.parse_bounded(
        "join-wait-ms",
        flags.join_wait_ms.as_ref(),
        3_000,
        (0..=MAX_WAIT_MS, "use 0 to 600000 milliseconds"),
    );
    let platform =
        reader.parse_required::<SocketAddr>("platform", flags.platform.as_ref(), ADDRESS);
    let first_owner =
        reader.parse_required::<PublicKey>("first-owner", flags.first_owner.as_ref(), KEY);
    let second_owner =
        reader.parse_required::<PublicKey>("second-owner", flags.second_owner.as_ref(), KEY);
    let owners = reader.parse_owners(first_owner, second_owner);
    let min_version = reader.parse_optional("min-version", flags.min_version.as_ref(), 0, NUMBER);
    let balancer_lag_ms = reader.parse_bounded(
        "balancer-lag-ms",
        flags.balancer_lag_ms.as_ref(),
        2_000,
        (0..=MAX_WAIT_MS, "use 0 to 600000 milliseconds"),
    );
    let workers = reader.parse_bounded(
        "workers",
        flags.workers.as_ref(),
        2,
        (1..=MAX_WORKER_THREADS, "use 1 to 256 threads"),
    );
    let policy = reader.parse_optional(
        "policy",
        flags.policy.as_ref(),
        PolicyValue(PolicyMode::Adaptive),
        "use adaptive or baseline",
    );
    let level = reader.parse_optional(
        "log-level",
        flags.log_level.as_ref(),
        Level::Info,
        "use error, warning, info or debug",
    );
    let tls = reader.parse_tls();
    let settings = (|| {
        Some(Settings {
            name: name?.0,
            zone: zone?.0,
            caller_address: caller_address?,
            admin_address: admin_address?,
            link_address: link_address?,
            fleet_key: fleet_key?,
            join_wait: std::time::Duration::from_millis(join_wait_ms),
            admin_token,
            platform: platform?,
            owners: owners?,
            min_version,
            balancer_lag: std::time::Duration::from_millis(balancer_lag_ms),
            workers: workers as usize,
            policy: policy.0,
            ticket_key: start.ticket_key,
            start: start.start,
            seed: start.start,
        })
    })();
    match settings {
        Some(settings) if reader.errors.is_empty() => Ok((settings, level, tls)),
        _ => Err(reader.errors),
    }
}

impl SettingsReader<'_> {
    /// Reads the TLS settings, which have no flags: a key in a flag would show in the process list, and VMs have no
    /// disks for files.
    fn parse_tls(&mut self) -> TlsConfigs {
        let certificate = self.lookup("tls-certificate", None);
        let key = self.lookup("tls-key", None);
        let listeners = match (certificate, key) {
            (None, None) => None,
            (Some(certificate), Some(key)) => {
                let config = tls::server_config(&certificate, &key);
                self.ok_or_report("tls-certificate", config)
            }
            (None, Some(_)) => self.report_missing_variable("tls-certificate"),
            (Some(_), None) => self.report_missing_variable("tls-key"),
        };
        let roots = self.lookup("upstream-roots", None);
        let upstreams =
            roots.and_then(|roots| self.ok_or_report("upstream-roots", tls::client_config(&roots)));
        TlsConfigs {
            listeners,
            upstreams,
        }
    }

    fn report_missing_variable<T>(&mut self, name: &'static str) -> Option<T> {
        let variable = variable_name(name);
        self.errors.push(SettingError::MissingVariable { variable });
        None
    }

    fn ok_or_report<T>(&mut self, name: &'static str, config: Result<T, TlsError>) -> Option<T> {
        let variable = variable_name(name);
        config
            .map_err(|error| {
                let reason = error.to_string();
                self.errors.push(SettingError::Tls { variable, reason });
            })
            .ok()
    }
}

/// Parses all settings from environment variables and command line arguments, without the program's name.
///
/// # Errors
///
/// Returns the text of every missing or invalid setting; only the first problem if the command line can't be parsed.
pub fn read_settings(
    args: Vec<std::ffi::OsString>,
    lookup_env: &dyn Fn(&str) -> Option<String>,
) -> Result<Settings, Vec<String>> {
    let flags = Medlarpost::from_vec(args).map_err(|error| vec![error.to_string()])?;
    let start = StartValues {
        ticket_key: [0; 32],
        start: 1,
    };
    let parsed = parse_settings(&flags, lookup_env, start);
    parsed
        .map(|(settings, ..)| settings)
        .map_err(|errors| errors.iter().map(ToString::to_string).collect())
}
