//! Guards against directories of the fake platform that are read incompletely or with malformed files.

use medlarpost_fakes::prelude::*;
use std::path::Path;

#[test]
fn an_empty_directory_has_no_envelope_or_parts() {
    let directory = tempfile::tempdir().expect("a temporary directory");

    let contents = PlatformDirectory::new(directory.path()).read();

    let contents = contents.expect("an empty directory is valid");
    assert!(contents.envelope.is_none());
    assert!(contents.parts.is_empty());
}

#[test]
fn signed_files_are_read_unchanged() {
    let directory = tempfile::tempdir().expect("a temporary directory");
    let bundle = Deployment::tunelix().bundle(1, &HashMap::new());
    let (envelope, parts) = OwnerKeys::from_seed(1).sign_bundle(&bundle);
    write_files(directory.path(), &envelope, &parts);

    let contents = PlatformDirectory::new(directory.path()).read();

    let contents = contents.expect("the files are valid");
    assert_eq!(contents.envelope, Some(envelope));
    assert_eq!(contents.parts, parts);
    assert_eq!(contents.vms, VmList::default());
}

#[test]
fn a_truncated_envelope_is_an_error() {
    let directory = tempfile::tempdir().expect("a temporary directory");
    std::fs::write(directory.path().join("envelope.toml"), "manifest = \"ab")
        .expect("the file is written");

    let contents = PlatformDirectory::new(directory.path()).read();

    let error = contents.expect_err("the envelope is truncated");
    assert_eq!(error.kind(), std::io::ErrorKind::Other);
}

fn write_files(path: &Path, envelope: &Envelope<Unverified>, parts: &BTreeMap<Digest, Vec<u8>>) {
    std::fs::create_dir(path.join("parts")).expect("the folder is created");
    std::fs::write(path.join("envelope.toml"), envelope.to_toml()).expect("the file is written");
    for (digest, value) in parts {
        std::fs::write(path.join("parts").join(digest.to_string()), value)
            .expect("the file is written");
    }
    std::fs::write(path.join("vms.json"), r#"{"vms":[]}"#).expect("the file is written");
}
