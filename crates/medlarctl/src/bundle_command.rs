//! `medlarctl bundle`: checks, builds, signs, verifies, compares and shows bundles.

use crate::{
    bundle_files,
    ctl_error::{
        CtlError, EnvelopeSnafu, InvalidBundleSnafu, InvalidValueSnafu, PartTooLargeSnafu,
    },
    flags::{Build, Bundle as BundleFlags, BundleCmd, Check, Diff, Show, Sign, Verify},
    secret::{self, Secret},
};
use ed25519_dalek::SigningKey;
use medlarpost_core::{
    bundle_check::{self, active_capacity_share},
    bundle_diff,
    prelude::*,
};
use std::path::Path;

/// Environment variable with the owner's secret key, for use without `--key`.
const KEY_VARIABLE: &str = "MEDLARCTL_OWNER_KEY";

/// Runs a subcommand of `medlarctl bundle`.
pub(crate) fn run(flags: &BundleFlags) -> Result<(), CtlError> {
    match &flags.subcommand {
        BundleCmd::Check(flags) => check(flags),
        BundleCmd::Build(flags) => build(flags),
        BundleCmd::Sign(flags) => sign(flags),
        BundleCmd::Verify(flags) => verify(flags),
        BundleCmd::Diff(flags) => diff(flags),
        BundleCmd::Show(flags) => show(flags),
    }
}

fn check(flags: &Check) -> Result<(), CtlError> {
    let bundle = bundle_files::read_text(&flags.bundle)?;
    require_valid(&bundle, flags.previous.as_deref(), flags.nodes)?;
    outln!("no faults; {}", summary(&bundle));
    Ok(())
}

fn build(flags: &Build) -> Result<(), CtlError> {
    let bundle = bundle_files::read_text(&flags.bundle)?;
    require_valid(&bundle, flags.previous.as_deref(), flags.nodes)?;
    let (manifest, parts) = Manifest::split(&bundle);
    for part in &manifest.parts {
        let bytes = parts.get(&part.sha256).map_or(0, Vec::len);
        if bytes > Manifest::MAX_BYTES {
            let part = &part.name;
            return PartTooLargeSnafu { part, bytes }.fail();
        }
    }
    let envelope = Envelope::unsigned(&manifest);
    bundle_files::write_dir(&flags.out, &envelope, &parts)?;
    outln!("{}", summary(&bundle));
    outln!("digest {}", envelope.digest());
    Ok(())
}

fn sign(flags: &Sign) -> Result<(), CtlError> {
    let text = match &flags.key {
        Some(path) => secret::read_text(path)?,
        None => std::env::var(KEY_VARIABLE)
            .ok()
            .context(InvalidValueSnafu {
                name: "--key",
                detail: format!("it is missing; pass a file or set {KEY_VARIABLE}"),
            })?,
    };
    let secret = Secret::from_hex("--key", &text)?;
    let bundle = bundle_files::read_any(&flags.dir)?;
    require_valid(&bundle, None, None)?;
    let envelope = bundle_files::read_envelope(&flags.dir)?;
    let envelope = envelope.sign(&SigningKey::from_bytes(secret.bytes()));
    bundle_files::write_envelope(&flags.dir, &envelope)?;
    outln!("{}", summary(&bundle));
    outln!("digest {}", envelope.digest());
    outln!("signatures {}", envelope.signatures().len());
    Ok(())
}

fn verify(flags: &Verify) -> Result<(), CtlError> {
    let owners = parse_owners(&flags.first_owner, &flags.second_owner)?;
    let envelope = bundle_files::read_envelope(&flags.dir)?;
    let parts = bundle_files::read_parts(&flags.dir, &envelope)?;
    let approved = envelope
        .verify(&owners)
        .and_then(|envelope| envelope.assemble(&parts))
        .context(EnvelopeSnafu)?;
    require_valid(&approved, None, None)?;
    outln!("approved by both owners; {}", summary(&approved));
    outln!("digest {}", approved.digest());
    Ok(())
}

fn diff(flags: &Diff) -> Result<(), CtlError> {
    let old = bundle_files::read_any(&flags.old)?;
    let new = bundle_files::read_any(&flags.new)?;
    let diff = BundleDiff::between(&old, &new);
    if flags.json {
        let text = serde_json::to_string(&diff);
        outln!("{}", text.expect("a bundle diff serializes to JSON"));
    } else {
        out!("{diff}");
    }
    fail_on_errors(&bundle_diff::check_change(&old, &new))
}

fn show(flags: &Show) -> Result<(), CtlError> {
    let bundle = bundle_files::read_any(&flags.dir)?;
    out!("{}", bundle.to_toml());
    Ok(())
}

/// Checks a bundle, and the change from the previous one if there is one.
fn require_valid(
    bundle: &Bundle,
    previous: Option<&Path>,
    nodes: Option<u32>,
) -> Result<(), CtlError> {
    let mut errors = bundle_check::check(bundle, nodes);
    if let Some(path) = previous {
        let old = bundle_files::read_any(path)?;
        errors.extend(bundle_diff::check_change(&old, bundle));
    }
    fail_on_errors(&errors)
}

/// Prints all errors to standard error, and fails if there are any.
fn fail_on_errors(errors: &[ValidationError]) -> Result<(), CtlError> {
    for error in errors {
        eprintln!("{error}");
    }
    if errors.is_empty() {
        return Ok(());
    }
    let count = errors.len();
    InvalidBundleSnafu { count }.fail()
}

fn summary(bundle: &Bundle) -> String {
    format!(
        "deployment {}, version {}, {} zones, {} tenants, {} upstreams, {} services, {:.0}% of the capacity in",
        bundle.deployment,
        bundle.version,
        bundle.zones.len(),
        bundle.workspaces.len(),
        bundle.upstreams.len(),
        bundle.services.len(),
        100.0 * active_capacity_share(bundle),
    )
}

fn parse_owners(first: &str, second: &str) -> Result<Owners, CtlError> {
    let parse_key = |name, text| {
        let detail = "expected the 64 hexadecimal digits that `medlarctl keys owner` printed";
        Digest::from_hex(text)
            .map(|digest| digest.0)
            .context(InvalidValueSnafu { name, detail })
    };
    let (first, second) = (
        parse_key("--first-owner", first)?,
        parse_key("--second-owner", second)?,
    );
    Owners::new(first, second).map_err(|error| CtlError::InvalidValue {
        name: "--second-owner",
        detail: error.to_string(),
    })
}
