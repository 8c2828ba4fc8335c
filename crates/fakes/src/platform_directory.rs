//! A directory whose files a fake platform publishes. Only for use by hand: nodes never read files.

use crate::prelude::*;
use std::{
    io,
    path::{Path, PathBuf},
};

/// Time between two looks at the directory.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// File with the envelope, as `medlarctl bundle` writes it.
const ENVELOPE_FILE: &str = "envelope.toml";

/// Folder with the parts of the bundle, under any names.
const PARTS_FOLDER: &str = "parts";

/// File with the list of VMs.
const VMS_FILE: &str = "vms.json";

/// A directory with `envelope.toml`, part files in `parts/` and `vms.json`.
#[derive(Clone, Debug)]
pub struct PlatformDirectory {
    path: PathBuf,
}

/// What a directory holds.
#[derive(Clone, Debug, PartialEq)]
pub struct DirectoryContents {
    /// The envelope, if the file exists.
    pub envelope: Option<Envelope<Unverified>>,
    /// Values of the part files, by digest.
    pub parts: BTreeMap<Digest, Vec<u8>>,
    /// The list of VMs; empty if the file does not exist.
    pub vms: VmList,
}

impl PlatformDirectory {
    /// The directory at `path`.
    pub fn new(path: &Path) -> Self {
        Self {
            path: path.to_owned(),
        }
    }

    /// Reads all files.
    ///
    /// # Errors
    ///
    /// A file that can't be read, or an envelope or list of VMs of another form. A file that does not exist is none.
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

    /// Publishes the files and every later change of them, without end. A change that can't be read yet, because it is
    /// being written, is published when it can.
    pub async fn publish_changes(&self, platform: &FakePlatform, report: impl Fn(&str)) {
        let mut published: Option<DirectoryContents> = None;
        let mut fault = String::new();
        loop {
            match self.read() {
                Ok(contents) if published.as_ref() != Some(&contents) => {
                    publish(platform, published.as_ref(), &contents);
                    published = Some(contents);
                    report("published the files");
                    fault.clear();
                }
                Err(found) if found.to_string() != fault => {
                    fault = found.to_string();
                    report(&format!("not published: {fault}"));
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
        Err(fault) if fault.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(fault) => Err(fault),
    }
}
