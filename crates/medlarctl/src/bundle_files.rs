//! Reads and writes bundles: as one TOML file, or as a directory with an envelope and its parts.

use crate::{
    bounded_file,
    ctl_error::{BundleSyntaxSnafu, CtlError, EnvelopeSnafu, WriteFileSnafu},
};
use medlarpost_core::prelude::*;
use std::{
    fs,
    path::{Path, PathBuf},
};

/// Name of the envelope's file in a bundle directory.
const ENVELOPE: &str = "envelope.toml";

/// Name of the subdirectory with the parts; each file is named after its digest.
const PARTS_DIR: &str = "parts";

/// Longest TOML file of a whole bundle that is read. It holds many parts, each of which may have a million bytes.
const MAX_TEXT_BYTES: u64 = 64_000_000;

/// Reads a bundle from one TOML file.
pub(crate) fn read_text(path: &Path) -> Result<Bundle, CtlError> {
    let bytes = bounded_file::read(path, MAX_TEXT_BYTES)?;
    let text = String::from_utf8_lossy(&bytes);
    Bundle::from_toml(&text)
        .map_err(Box::new)
        .context(BundleSyntaxSnafu { path })
}

/// Reads a bundle from one TOML file or from a bundle directory, without a check of its signatures.
pub(crate) fn read_any(path: &Path) -> Result<Bundle, CtlError> {
    if !path.is_dir() {
        return read_text(path);
    }
    let envelope = read_envelope(path)?;
    let parts = read_parts(path, &envelope)?;
    envelope
        .manifest()
        .and_then(|manifest| manifest.assemble(&parts))
        .context(EnvelopeSnafu)
}

/// Reads the envelope of a bundle directory, without a check of its signatures.
pub(crate) fn read_envelope(dir: &Path) -> Result<Envelope<Unverified>, CtlError> {
    let text = bounded_file::read(&dir.join(ENVELOPE), Manifest::MAX_BYTES as u64)?;
    Envelope::from_toml(&text).context(EnvelopeSnafu)
}

/// Reads the parts that the manifest of an envelope names.
pub(crate) fn read_parts(
    dir: &Path,
    envelope: &Envelope<Unverified>,
) -> Result<BTreeMap<Digest, Vec<u8>>, CtlError> {
    let manifest = envelope.manifest().context(EnvelopeSnafu)?;
    let mut parts = BTreeMap::new();
    for part in manifest.parts {
        let path = dir.join(PARTS_DIR).join(part.sha256.to_string());
        parts.insert(
            part.sha256,
            bounded_file::read(&path, Manifest::MAX_BYTES as u64)?,
        );
    }
    Ok(parts)
}

/// Replaces the envelope of a bundle directory by a rename, so that a reader never sees half of it.
pub(crate) fn write_envelope(dir: &Path, envelope: &Envelope<Unverified>) -> Result<(), CtlError> {
    let path = dir.join(ENVELOPE);
    let draft = dir.join(format!(".{ENVELOPE}.draft"));
    write_file(&draft, envelope.to_toml().as_bytes())?;
    fs::rename(&draft, &path).context(WriteFileSnafu { path })
}

/// Writes the parts, then the envelope that names them, so that a reader finds every part of a new envelope.
pub(crate) fn write_dir(
    dir: &Path,
    envelope: &Envelope<Unverified>,
    parts: &BTreeMap<Digest, Vec<u8>>,
) -> Result<(), CtlError> {
    let parts_dir = dir.join(PARTS_DIR);
    fs::create_dir_all(&parts_dir).with_context(|_| WriteFileSnafu {
        path: PathBuf::from(&parts_dir),
    })?;
    for (digest, value) in parts {
        write_file(&parts_dir.join(digest.to_string()), value)?;
    }
    write_envelope(dir, envelope)
}

fn write_file(path: &Path, bytes: &[u8]) -> Result<(), CtlError> {
    fs::write(path, bytes).context(WriteFileSnafu { path })
}
