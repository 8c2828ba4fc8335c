//! Guards against a directory of a fake platform that misses or invents files.

use medlarpost_fakes::prelude::*;
use std::path::Path;

#[test]
fn an_empty_directory_holds_nothing() {
    let directory = tempfile::tempdir().expect("a temporary directory");

    let contents = PlatformDirectory::new(directory.path()).read();

    let contents = contents.expect("nothing is no fault");
    assert!(contents.envelope.is_none());
    assert!(contents.parts.is_empty());
}

#[test]
fn files_are_read_as_they_were_signed() {
    let directory = tempfile::tempdir().expect("a temporary directory");
    let bundle = Deployment::tunelix().bundle(1, &HashMap::new());
    let (envelope, parts) = OwnerKeys::from_seed(1).sign_bundle(&bundle);
    write(directory.path(), &envelope, &parts);

    let contents = PlatformDirectory::new(directory.path()).read();

    let contents = contents.expect("the files are valid");
    assert_eq!(contents.envelope, Some(envelope));
    assert_eq!(contents.parts, parts);
    assert_eq!(contents.vms, VmList::default());
}

#[test]
fn a_half_written_envelope_is_a_fault() {
    let directory = tempfile::tempdir().expect("a temporary directory");
    std::fs::write(directory.path().join("envelope.toml"), "manifest = \"ab").expect("written");

    let contents = PlatformDirectory::new(directory.path()).read();

    let fault = contents.expect_err("half an envelope is none");
    assert_eq!(fault.kind(), std::io::ErrorKind::Other);
}

fn write(path: &Path, envelope: &Envelope<Unverified>, parts: &BTreeMap<Digest, Vec<u8>>) {
    std::fs::create_dir(path.join("parts")).expect("created");
    std::fs::write(path.join("envelope.toml"), envelope.to_toml()).expect("written");
    for (digest, value) in parts {
        std::fs::write(path.join("parts").join(digest.to_string()), value).expect("written");
    }
    std::fs::write(path.join("vms.json"), r#"{"vms":[]}"#).expect("written");
}
