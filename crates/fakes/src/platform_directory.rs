//! A directory whose files a fake platform publishes, for manual use. Nodes never read these files.

use crate::prelude::*;
use std::{
    io,
    path::{Path, PathBuf},
};

/// Interval at which the directory is read.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// File with the signed envelope, as `medlarctl bundle` writes it.
const ENVELOPE_FILE: &str = "envelope.toml";

/// Folder with the parts of the bundle. File names don't matter.
const PARTS_FOLDER: &str = "parts";

/// File with the list of VMs.
const VMS_FILE: &str = "vms.json";

/// A directory with `envelope.toml`, part files in `parts/` and `vms.json`.
#[derive(Clone, Debug)]
pub struct PlatformDirectory {
    path: PathBuf,
}

/// Content of a platform directory.
#[derive(Clone, Debug, PartialEq)]
pub struct DirectoryContents {
    /// The envelope, if the file exists.
    pub envelope: Option<Envelope<Unverified>>,
    /// Contents of the part files, by digest.
    pub parts: BTreeMap<Digest, Vec<u8>>,
    /// The list of VMs; empty if the file does not exist.
    pub vms: VmList,
}

impl PlatformDirectory {
    /// Refers to the directory at `path`, without reading it.
    pub fn new(path: &Path) -> Self {
        Self {
            path: path.to_owned(),
        }
    }

    /// Reads all files.
    ///
    /// # Errors
    ///
    /// If a file can't be read, or the envelope or list of VMs is malformed. A missing file is no error.
    pub fn read(&self) -> io::Result<DirectoryContents> {
        let envelope = read_if_present(&self.path.join(ENVELOPE_FILE))?
            .map(|text| Envelope::from_toml(&text).map_err(io::Error::other))
            .transpose()?;
        let vms = read_if_present(&self.path.join(VMS_FILE))?
            .map(|text| serde_json::from_slice(&text).map_err(io::Error::other))
            .transpose()?
            .unwrap_or_default();
        let mut parts = BTreeMap::new();
        let folder = self.path.join(PARTS_FOLDER);
        if folder.exists() {
            for entry in std::fs::read_dir(folder)? {
                let value = std::fs::read(entry?.path())?;
                parts.insert(Digest::of(&value), value);
            }
        }
        Ok(DirectoryContents {
            envelope,
            parts,
            vms,
        })
    }

    /// Publishes the files and all later changes, and never returns. A file that is still being written, and so
    /// malformed, is published once it can be read.
    pub async fn publish_changes(&self, platform: &FakePlatform, report: impl Fn(&str)) {
        let mut published: Option<DirectoryContents> = None;
        let mut last_error = String::new();
        loop {
            match self.read() {
                Ok(contents) if published.as_ref() != Some(&contents) => {
                    publish(platform, published.as_ref(), &contents);
                    published = Some(contents);
                    report("published the files");
                    last_error.clear();
                }
                Err(error) if error.to_string() != last_error => {
                    last_error = error.to_string();
                    report(&format!("not published: {last_error}"));
                }
                Ok(_) | Err(_) => {}
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }
}

fn publish(
    platform: &FakePlatform,
    before: Option<&DirectoryContents>,
    contents: &DirectoryContents,
) {
    if before.is_none_or(|before| before.vms != contents.vms) {
        platform.publish_vms(&contents.vms);
    }
    if let Some(envelope) = &contents.envelope {
        platform.publish(envelope, contents.parts.clone());
    }
}

fn read_if_present(path: &Path) -> io::Result<Option<Vec<u8>>> {
    match std::fs::read(path) {
        Ok(text) => Ok(Some(text)),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error),
    }
}
