//! Guards against invalid settings that are accepted, errors that hide other errors, and secrets in error messages.

use medlarpost::read_settings;
use std::{
    ffi::OsString,
    process::{Command, Output},
};

const FIRST_OWNER: &str = "8a88e3dd7409f195fd52db2d3cba5d72ca6709bf1d94121bf3748801b40f6f5c";
const SECOND_OWNER: &str = "8139770ea87d175f56a35466c34c7ecccb8d8a91b4ee37a25df60f5b8fc9b394";
const FLEET_KEY: &str = "0f1e2d3c4b5a69788796a5b4c3d2e1f00f1e2d3c4b5a69788796a5b4c3d2e1f0";
const ADMIN_TOKEN: &str = "admin-token-0123456789";

/// A valid value for each required setting, and the administrators' token.
fn valid_settings() -> Vec<(&'static str, &'static str)> {
    vec![
        ("name", "node-1"),
        ("zone", "pl-a"),
        ("caller-address", "127.0.0.1:8080"),
        ("admin-address", "127.0.0.1:8081"),
        ("admin-token", ADMIN_TOKEN),
        ("link-address", "127.0.0.1:8082"),
        ("fleet-key", FLEET_KEY),
        ("platform", "127.0.0.1:8090"),
        ("first-owner", FIRST_OWNER),
        ("second-owner", SECOND_OWNER),
    ]
}

/// Valid settings, with one value replaced.
fn settings_with(name: &'static str, value: &'static str) -> Vec<(&'static str, &'static str)> {
    let mut settings = valid_settings();
    settings.retain(|(known, _)| *known != name);
    settings.push((name, value));
    settings
}

fn args(settings: &[(&str, &str)]) -> Vec<OsString> {
    settings
        .iter()
        .flat_map(|(name, value)| [format!("--{name}").into(), OsString::from(value)])
        .collect()
}

fn no_env(_: &str) -> Option<String> {
    None
}

/// Errors of otherwise valid settings with one value replaced.
fn errors_for(name: &'static str, value: &'static str) -> Vec<String> {
    read_settings(args(&settings_with(name, value)), &no_env)
        .err()
        .unwrap_or_default()
}

fn run(settings: &[(&str, &str)]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_medlarpost"))
        .args(args(settings))
        .env_clear()
        .output()
        .expect("medlarpost runs")
}

#[test]
fn valid_settings_are_parsed() {
    let settings = read_settings(args(&valid_settings()), &no_env).expect("the settings are valid");

    assert_eq!(settings.name, "node-1");
    assert_eq!(settings.zone, "pl-a");
    assert_eq!(settings.caller_address.to_string(), "127.0.0.1:8080");
    assert_eq!(settings.admin_token.as_deref(), Some(ADMIN_TOKEN));
    assert_eq!(settings.balancer_lag.as_millis(), 2_000);
    assert_eq!((settings.workers, settings.min_version), (2, 0));
}

#[test]
fn flag_takes_precedence_over_its_variable() {
    let variable = |name: &str| match name {
        "MEDLARPOST_NAME" => Some("node-from-variable".to_owned()),
        "MEDLARPOST_MIN_VERSION" => Some("7".to_owned()),
        _ => None,
    };

    let settings =
        read_settings(args(&valid_settings()), &variable).expect("the settings are valid");

    assert_eq!(settings.name, "node-1");
    assert_eq!(settings.min_version, 7);
}

#[test]
fn all_missing_settings_are_reported_with_their_variables() {
    let errors = read_settings(Vec::new(), &no_env).err().unwrap_or_default();

    let required = valid_settings()
        .into_iter()
        .filter(|(name, _)| *name != "admin-token");
    let expected: Vec<_> = required
        .map(|(name, _)| {
            let variable = format!("MEDLARPOST_{}", name.to_uppercase().replace('-', "_"));
            format!("--{name} is missing; pass it or set {variable}")
        })
        .collect();
    assert_eq!(errors, expected);
}

#[test]
fn each_invalid_value_is_reported_with_a_remedy() {
    let cases = [
        ("name", "node 1", "letters"),
        ("zone", "a/b", "letters"),
        ("caller-address", "localhost:8080", "IP:PORT"),
        ("admin-address", "127.0.0.1", "IP:PORT"),
        ("link-address", "127.0.0.1", "IP:PORT"),
        ("fleet-key", "abc", "medlarctl keys fleet"),
        ("join-wait-ms", "600001", "600000"),
        ("platform", "127.0.0.1:99999", "IP:PORT"),
        ("first-owner", "abc", "medlarctl keys owner"),
        ("second-owner", FIRST_OWNER, "different from the first"),
        ("min-version", "-1", "whole number"),
        ("balancer-lag-ms", "600001", "600000"),
        ("workers", "0", "1 to 256"),
        ("workers", "two", "1 to 256"),
        ("policy", "fast", "adaptive or baseline"),
        ("log-level", "loud", "error, warning, info or debug"),
        ("admin-token", "short", "16 characters"),
    ];

    let found = cases.map(|(name, value, remedy)| (name, remedy, errors_for(name, value)));

    for (name, remedy, errors) in found {
        assert_eq!(errors.len(), 1, "{name}: {errors:?}");
        assert!(errors[0].starts_with(&format!("--{name} ")), "{errors:?}");
        assert!(errors[0].contains(remedy), "{errors:?}");
    }
}

#[test]
fn secrets_are_never_printed() {
    let secret = "s3cret-short";

    let mut errors = errors_for("admin-token", secret);
    errors.extend(self::errors_for("fleet-key", secret));
    let printed = [
        run(&settings_with("admin-token", secret)),
        run(&settings_with("fleet-key", secret)),
    ];

    assert!(!errors.join("\n").contains(secret));
    assert_eq!(errors.len(), 2);
    for output in printed {
        assert!(!String::from_utf8_lossy(&output.stderr).contains(secret));
        assert!(!String::from_utf8_lossy(&output.stdout).contains(secret));
    }
}

#[test]
fn invalid_settings_exit_with_2_and_help_with_0() {
    let mut invalid = settings_with("workers", "0");
    invalid.retain(|(name, _)| *name != "zone");

    let refused = run(&invalid);
    let help = Command::new(env!("CARGO_BIN_EXE_medlarpost"))
        .arg("--help")
        .output()
        .expect("medlarpost runs");
    let unknown = run(&[("no-such-flag", "1")]);

    let printed = String::from_utf8_lossy(&refused.stderr);
    assert_eq!(refused.status.code(), Some(2));
    assert!(printed.contains("--zone is missing"), "{printed}");
    assert!(printed.contains("--workers is"), "{printed}");
    assert_eq!(help.status.code(), Some(0));
    assert!(String::from_utf8_lossy(&help.stdout).contains("Exit codes"));
    assert_eq!(unknown.status.code(), Some(2));
}

#[test]
fn tls_requires_certificate_and_key_together_and_errors_show_neither() {
    let own = rcgen::generate_simple_self_signed(vec!["127.0.0.1".to_owned()])
        .expect("the name is valid");
    let (certificate, key) = (own.cert.pem(), own.signing_key.serialize_pem());
    let read = |variables: &[(&str, &str)]| {
        let variable = |name: &str| {
            let found = variables.iter().find(|(known, _)| *known == name);
            found.map(|(_, value)| (*value).to_owned())
        };
        read_settings(args(&valid_settings()), &variable)
            .err()
            .unwrap_or_default()
    };
    let (certificate_name, key_name) = ("MEDLARPOST_TLS_CERTIFICATE", "MEDLARPOST_TLS_KEY");

    let both = read(&[(certificate_name, &certificate), (key_name, &key)]);
    let only_certificate = read(&[(certificate_name, &certificate)]);
    let only_key = read(&[(key_name, &key)]);
    let swapped = read(&[(certificate_name, &key), (key_name, &certificate)]);
    let roots = read(&[("MEDLARPOST_UPSTREAM_ROOTS", "not a certificate")]);

    assert_eq!(both, [""; 0]);
    let missing = |name| {
        [format!(
            "{name} is missing; set certificate and key, or neither"
        )]
    };
    assert_eq!(only_certificate, missing(key_name));
    assert_eq!(only_key, missing(certificate_name));
    assert_eq!(swapped.len(), 1);
    assert!(swapped[0].starts_with(certificate_name), "{swapped:?}");
    assert!(
        !swapped[0].contains("BEGIN EC") && swapped[0].len() < 200,
        "{swapped:?}"
    );
    assert!(
        roots[0].starts_with("MEDLARPOST_UPSTREAM_ROOTS"),
        "{roots:?}"
    );
}
