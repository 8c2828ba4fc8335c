//! Reads files of a bounded length.

use crate::ctl_error::{CtlError, FileTooLongSnafu, ReadFileSnafu};
use snafu::{ResultExt as _, ensure};
use std::{fs::File, io::Read as _, path::Path};

/// Reads a file of at most `limit` bytes.
pub(crate) fn read(path: &Path, limit: u64) -> Result<Vec<u8>, CtlError> {
    let mut bytes = Vec::new();
    File::open(path)
        .and_then(|file| file.take(limit + 1).read_to_end(&mut bytes))
        .context(ReadFileSnafu { path })?;
    ensure!(
        bytes.len() as u64 <= limit,
        FileTooLongSnafu { path, limit }
    );
    Ok(bytes)
}
