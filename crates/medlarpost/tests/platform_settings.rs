//! Guards against a node that starts with an unusable platform settings file, or exits without naming the bad field.

use std::{
    io::Write as _,
    process::{Command, Output},
};

fn run_with_settings_file(path: &str) -> Output {
    Command::new(env!("CARGO_BIN_EXE_medlarpost"))
        .env("MEDLARPOST_SETTINGS", path)
        .output()
        .expect("the program can be started")
}

#[test]
fn missing_settings_file_is_reported_with_its_path_and_the_variable() {
    let output = run_with_settings_file("/nowhere/local.toml");

    let printed = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2));
    assert_eq!(printed.lines().count(), 1, "{printed}");
    assert!(printed.contains("/nowhere/local.toml"), "{printed}");
    assert!(printed.contains("MEDLARPOST_SETTINGS"), "{printed}");
}

#[test]
fn invalid_field_is_reported_by_name() {
    let mut file = tempfile::NamedTempFile::new().expect("a temporary file can be made");
    file.write_all(b"nodeName = \"node-1\"\nip = \"127.0.0.1\"\nzone = 3\n")
        .expect("it can be written to");

    let output = run_with_settings_file(file.path().to_str().expect("its path is text"));

    let printed = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2));
    assert_eq!(printed.lines().count(), 1, "{printed}");
    assert!(printed.contains("zone"), "{printed}");
}
