//! Guards against a node that starts on the platform with settings that can't be used, or ends without naming the field.

use std::{
    io::Write as _,
    process::{Command, Output},
};

fn start(path: &str) -> Output {
    Command::new(env!("CARGO_BIN_EXE_medlarpost"))
        .env("MEDLARPOST_SETTINGS", path)
        .output()
        .expect("the program can be started")
}

#[test]
fn a_missing_file_ends_the_start_with_its_path_and_the_remedy() {
    let ended = start("/nowhere/local.toml");

    let printed = String::from_utf8_lossy(&ended.stderr).into_owned();
    assert_eq!(ended.status.code(), Some(2));
    assert_eq!(printed.lines().count(), 1, "{printed}");
    assert!(printed.contains("/nowhere/local.toml"), "{printed}");
    assert!(printed.contains("MEDLARPOST_SETTINGS"), "{printed}");
}

#[test]
fn a_wrong_field_ends_the_start_with_its_name() {
    let mut file = tempfile::NamedTempFile::new().expect("a temporary file can be made");
    file.write_all(b"nodeName = \"node-1\"\nip = \"127.0.0.1\"\nzone = 3\n")
        .expect("it can be written to");

    let ended = start(file.path().to_str().expect("its path is text"));

    let printed = String::from_utf8_lossy(&ended.stderr).into_owned();
    assert_eq!(ended.status.code(), Some(2));
    assert_eq!(printed.lines().count(), 1, "{printed}");
    assert!(printed.contains("zone"), "{printed}");
}
