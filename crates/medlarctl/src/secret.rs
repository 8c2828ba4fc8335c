//! Generates secrets from the system's random source, and reads and writes files that hold them.

use crate::{
    bounded_file,
    ctl_error::{CtlError, InvalidValueSnafu, RandomSourceSnafu, ReadFileSnafu, WriteFileSnafu},
};
use medlarpost_core::prelude::*;
use std::{fs::OpenOptions, io::Write as _, os::unix::fs::OpenOptionsExt as _, path::Path};

/// Longest file with a secret, in bytes.
const MAX_SECRET_BYTES: u64 = 4_096;

/// Longest file with certificates or workspaces, in bytes.
const MAX_TEXT_BYTES: u64 = 1_000_000;

/// 32 secret bytes: a key or a token. The `Debug` form does not show them.
pub(crate) struct Secret([u8; 32]);

impl Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret")
    }
}

impl Secret {
    /// Generates a secret from the system's random source.
    pub(crate) fn random() -> Result<Self, CtlError> {
        let mut bytes = [0; 32];
        getrandom::fill(&mut bytes)
            .ok()
            .context(RandomSourceSnafu)?;
        Ok(Self(bytes))
    }

    /// Parses 64 hexadecimal digits; `name` is the flag or variable that they came from, for the error text.
    pub(crate) fn from_hex(name: &'static str, text: &str) -> Result<Self, CtlError> {
        let digest = Digest::from_hex(text.trim()).context(InvalidValueSnafu {
            name,
            detail: "expected the 64 hexadecimal digits that `medlarctl keys` printed",
        })?;
        Ok(Self(digest.0))
    }

    pub(crate) fn bytes(&self) -> &[u8; 32] {
        &self.0
    }

    /// The secret as 64 hexadecimal digits.
    pub(crate) fn to_hex(&self) -> String {
        Digest(self.0).to_string()
    }

    /// Writes the secret to a new file that only its owner can read.
    pub(crate) fn write(&self, path: &Path) -> Result<(), CtlError> {
        let mut options = OpenOptions::new();
        // An existing file may be readable by others or hold a key that is in use.
        options.write(true).create_new(true).mode(0o600);
        options
            .open(path)
            .and_then(|mut file| writeln!(file, "{}", self.to_hex()))
            .context(WriteFileSnafu { path })
    }
}

/// Reads a secret from a file, without the whitespace around it.
pub(crate) fn read_text(path: &Path) -> Result<String, CtlError> {
    read_trimmed(path, MAX_SECRET_BYTES)
}

/// Reads a longer text, such as certificates or the tokens of many workspaces, without the whitespace around it.
pub(crate) fn read_long_text(path: &Path) -> Result<String, CtlError> {
    read_trimmed(path, MAX_TEXT_BYTES)
}

fn read_trimmed(path: &Path, limit: u64) -> Result<String, CtlError> {
    let bytes = bounded_file::read(path, limit)?;
    let text = String::from_utf8(bytes).map_err(std::io::Error::other);
    Ok(text.context(ReadFileSnafu { path })?.trim().to_owned())
}
