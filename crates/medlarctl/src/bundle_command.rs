//! `medlarctl bundle`.

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

/// Variable that may hold the owner's secret key.
const KEY_VARIABLE: &str = "MEDLARCTL_OWNER_KEY";

/// Runs one of the commands for bundles.
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
    refuse_faults(&bundle, flags.previous.as_deref(), flags.nodes)?;
    println!("no faults; {}", summary(&bundle));
    Ok(())
}

fn build(flags: &Build) -> Result<(), CtlError> {
    let bundle = bundle_files::read_text(&flags.bundle)?;
    refuse_faults(&bundle, flags.previous.as_deref(), flags.nodes)?;
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
    println!("{}", summary(&bundle));
    println!("digest {}", envelope.digest());
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
    refuse_faults(&bundle, None, None)?;
    let envelope = bundle_files::read_envelope(&flags.dir)?;
    let envelope = envelope.sign(&SigningKey::from_bytes(secret.bytes()));
    bundle_files::write_envelope(&flags.dir, &envelope)?;
    println!("{}", summary(&bundle));
    println!("digest {}", envelope.digest());
    println!("signatures {}", envelope.signatures().len());
    Ok(())
}

fn verify(flags: &Verify) -> Result<(), CtlError> {
    let owners = owners(&flags.first_owner, &flags.second_owner)?;
    let envelope = bundle_files::read_envelope(&flags.dir)?;
    let parts = bundle_files::read_parts(&flags.dir, &envelope)?;
    let approved = envelope
        .verify(&owners)
        .and_then(|envelope| envelope.assemble(&parts))
        .context(EnvelopeSnafu)?;
    refuse_faults(&approved, None, None)?;
    println!("approved by both owners; {}", summary(&approved));
    println!("digest {}", approved.digest());
    Ok(())
}

fn diff(flags: &Diff) -> Result<(), CtlError> {
    let old = bundle_files::read_any(&flags.old)?;
    let new = bundle_files::read_any(&flags.new)?;
    let effect = BundleDiff::between(&old, &new);
    if flags.json {
        let text = serde_json::to_string(&effect);
        println!("{}", text.expect("an effect has a JSON form"));
    } else {
        print!("{effect}");
    }
    refuse(&bundle_diff::check_change(&old, &new))
}

fn show(flags: &Show) -> Result<(), CtlError> {
    let bundle = bundle_files::read_any(&flags.dir)?;
    print!("{}", bundle.to_toml());
    Ok(())
}

fn refuse_faults(
    bundle: &Bundle,
    previous: Option<&Path>,
    nodes: Option<u32>,
) -> Result<(), CtlError> {
    let mut faults = bundle_check::check(bundle, nodes);
    if let Some(path) = previous {
        let old = bundle_files::read_any(path)?;
        faults.extend(bundle_diff::check_change(&old, bundle));
    }
    refuse(&faults)
}

fn refuse(faults: &[ValidationError]) -> Result<(), CtlError> {
    for fault in faults {
        eprintln!("{fault}");
    }
    if faults.is_empty() {
        return Ok(());
    }
    let count = faults.len();
    InvalidBundleSnafu { count }.fail()
}

fn summary(bundle: &Bundle) -> String {
    format!(
        "deployment {}, version {}, {} zones, {} tenants, {} upstreams, {} services, {:.0}% of the capacity in",
        bundle.deployment,
        bundle.version,
        bundle.zones.len(),
        bundle.tenants.len(),
        bundle.upstreams.len(),
        bundle.services.len(),
        100.0 * active_capacity_share(bundle),
    )
}

fn owners(first: &str, second: &str) -> Result<Owners, CtlError> {
    let key = |name, text| {
        let detail = "expected the 64 hexadecimal digits that `medlarctl keys owner` printed";
        Digest::from_hex(text)
            .map(|digest| digest.0)
            .context(InvalidValueSnafu { name, detail })
    };
    let (first, second) = (key("--first-owner", first)?, key("--second-owner", second)?);
    Owners::new(first, second).map_err(|fault| CtlError::InvalidValue {
        name: "--second-owner",
        detail: fault.to_string(),
    })
}
