//! Guards against examples that `bundle check` rejects, bundles that one owner can publish alone, secret files that
//! others can read, and wrong exit codes.

use std::{
    os::unix::fs::PermissionsExt as _,
    path::{Path, PathBuf},
    process::{Command, Output},
};

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name)
}

fn medlarctl(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_medlarctl"))
        .args(args)
        .env_remove("MEDLARCTL_OWNER_KEY")
        .output()
        .expect("medlarctl runs")
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn as_str(path: &Path) -> &str {
    path.to_str().expect("temporary paths are UTF-8")
}

/// Generates an owner's key in `dir` and returns its file and public key.
fn generate_owner_key(dir: &Path, name: &str) -> (PathBuf, String) {
    let file = dir.join(name);
    let generated = medlarctl(&["keys", "owner", "--out", as_str(&file)]);
    let public = stdout(&generated)
        .trim()
        .strip_prefix("public_key ")
        .expect("the public key is printed")
        .to_owned();
    (file, public)
}

#[test]
fn large_examples_pass_the_check() {
    let files = ["tunelix.toml", "alliance.toml"].map(example);

    let checks = files.map(|file| medlarctl(&["bundle", "check", as_str(&file), "--nodes", "5"]));

    for check in checks {
        assert!(check.status.success(), "{}", stderr(&check));
        assert!(
            stdout(&check).contains("88 upstreams"),
            "{}",
            stdout(&check)
        );
    }
}

#[test]
fn small_example_passes_the_check() {
    let file = example("small.toml");

    let check = medlarctl(&["bundle", "check", as_str(&file)]);

    assert!(check.status.success(), "{}", stderr(&check));
}

#[test]
fn check_of_an_invalid_bundle_prints_every_error_and_exits_with_1() {
    let dir = tempfile::tempdir().expect("a directory can be made");
    let file = dir.path().join("faulty.toml");
    let invalid = std::fs::read_to_string(example("tunelix.toml"))
        .expect("the example exists")
        .replace("version = 1\ndeployment", "version = 0\ndeployment")
        .replace("class = \"planner-tool\"", "class = \"phone\"");
    std::fs::write(&file, invalid).expect("the file can be written");

    let check = medlarctl(&["bundle", "check", as_str(&file)]);

    assert_eq!(check.status.code(), Some(1));
    let printed = stderr(&check);
    assert!(printed.contains("[version-zero] bundle"), "{printed}");
    assert!(
        printed.contains("[unknown-class] tenant aerospace-labs"),
        "{printed}"
    );
}

#[test]
fn verify_accepts_a_bundle_only_with_the_signatures_of_both_owners() {
    let dir = tempfile::tempdir().expect("a directory can be made");
    let out = dir.path().join("bundle");
    let (first, first_public) = generate_owner_key(dir.path(), "first");
    let (second, second_public) = generate_owner_key(dir.path(), "second");
    let file = example("alliance.toml");
    let verify = || {
        medlarctl(&[
            "bundle",
            "verify",
            as_str(&out),
            "--first-owner",
            &first_public,
            "--second-owner",
            &second_public,
        ])
    };

    let built = medlarctl(&["bundle", "build", as_str(&file), "--out", as_str(&out)]);
    let signed_once = medlarctl(&["bundle", "sign", as_str(&out), "--key", as_str(&first)]);
    let signed_again = medlarctl(&["bundle", "sign", as_str(&out), "--key", as_str(&first)]);
    let verified_early = verify();
    let signed_by_both = medlarctl(&["bundle", "sign", as_str(&out), "--key", as_str(&second)]);
    let verified = verify();
    let shown = medlarctl(&["bundle", "show", as_str(&out)]);

    assert!(built.status.success(), "{}", stderr(&built));
    assert!(signed_once.status.success(), "{}", stderr(&signed_once));
    assert!(stdout(&signed_again).contains("signatures 1"));
    assert_eq!(verified_early.status.code(), Some(1));
    assert!(stderr(&verified_early).contains("owner 2 has not signed"));
    assert!(signed_by_both.status.success());
    assert!(verified.status.success(), "{}", stderr(&verified));
    assert!(stdout(&shown).contains("deployment = \"alliance\""));
}

#[test]
fn envelope_signed_with_the_old_and_the_new_key_verifies_with_either() {
    let dir = tempfile::tempdir().expect("a directory can be made");
    let out = dir.path().join("bundle");
    let (first, first_public) = generate_owner_key(dir.path(), "first");
    let (old, old_public) = generate_owner_key(dir.path(), "old");
    let (new, new_public) = generate_owner_key(dir.path(), "new");
    let file = example("tunelix.toml");
    medlarctl(&["bundle", "build", as_str(&file), "--out", as_str(&out)]);
    for key in [&first, &old, &new] {
        medlarctl(&["bundle", "sign", as_str(&out), "--key", as_str(key)]);
    }

    let verified = [&old_public, &new_public].map(|second| {
        let owners = ["--first-owner", &first_public, "--second-owner", second];
        medlarctl(&[&["bundle", "verify", as_str(&out)], &owners[..]].concat())
    });

    for output in verified {
        assert!(output.status.success(), "{}", stderr(&output));
    }
}

#[test]
fn diff_prints_the_changes_and_rejects_one_without_a_higher_version() {
    let dir = tempfile::tempdir().expect("a directory can be made");
    let old = example("tunelix.toml");
    let new = dir.path().join("new.toml");
    let changed = std::fs::read_to_string(&old)
        .expect("the example exists")
        .replacen("state = \"in\"\n", "state = \"out\"\n", 1);
    std::fs::write(&new, &changed).expect("the file can be written");
    let next = dir.path().join("next.toml");
    let raised = changed.replace("version = 1\ndeployment", "version = 2\ndeployment");
    std::fs::write(&next, raised).expect("the file can be written");

    let refused = medlarctl(&["bundle", "diff", as_str(&old), as_str(&new)]);
    let accepted = medlarctl(&["bundle", "diff", as_str(&old), as_str(&next)]);

    assert_eq!(refused.status.code(), Some(1));
    assert!(stderr(&refused).contains("[version-not-higher]"));
    assert!(accepted.status.success(), "{}", stderr(&accepted));
    assert!(
        stdout(&accepted).contains("zones out: pl-a"),
        "{}",
        stdout(&accepted)
    );
    assert!(stdout(&accepted).contains("share of capacity in: 1.00 -> 0."));
}

#[test]
fn secret_files_are_private_and_never_overwritten() {
    let dir = tempfile::tempdir().expect("a directory can be made");
    let file = dir.path().join("token");

    let generated = medlarctl(&["keys", "tenant", "--out", as_str(&file)]);
    let again = medlarctl(&["keys", "tenant", "--out", as_str(&file)]);

    let secret = std::fs::read_to_string(&file).expect("the secret is written");
    let permissions = std::fs::metadata(&file)
        .expect("the file exists")
        .permissions()
        .mode();
    assert_eq!(permissions & 0o777, 0o600);
    assert_eq!(secret.trim().len(), 64);
    assert!(stdout(&generated).starts_with("token_sha256 "));
    assert!(!stdout(&generated).contains(secret.trim()));
    assert_eq!(again.status.code(), Some(1));
}

#[test]
fn unusable_values_exit_with_2_and_print_no_secret() {
    let dir = tempfile::tempdir().expect("a directory can be made");
    let key = dir.path().join("key");
    std::fs::write(&key, "not-a-key-but-secret").expect("the file can be written");

    let no_key = medlarctl(&["bundle", "sign", as_str(dir.path())]);
    let bad_key = medlarctl(&["bundle", "sign", as_str(dir.path()), "--key", as_str(&key)]);
    let unknown = medlarctl(&["demo", "--deployment", "other"]);

    assert_eq!(no_key.status.code(), Some(2));
    assert!(stderr(&no_key).contains("MEDLARCTL_OWNER_KEY"));
    assert_eq!(bad_key.status.code(), Some(2));
    assert!(!stderr(&bad_key).contains("not-a-key-but-secret"));
    assert_eq!(unknown.status.code(), Some(2));
}

/// Guards against a file that is cut without a word, so that another one than the file's content is used.
#[test]
fn file_that_is_too_long_is_refused() {
    let dir = tempfile::tempdir().expect("a temporary directory can be made");
    let token = dir.path().join("admin.token");
    std::fs::write(&token, "t".repeat(5_000)).expect("the file can be written");

    let output = medlarctl(&[
        "status",
        "--address",
        "127.0.0.1:1",
        "--token-file",
        as_str(&token),
    ]);

    assert_eq!(output.status.code(), Some(1));
    let printed = stderr(&output);
    assert!(printed.contains("4096"), "{printed}");
    assert!(printed.contains("admin.token"), "{printed}");
}

/// Guards against a panic when the reader of the output has read enough, as in `medlarctl ... | head`.
#[test]
fn closed_pipe_ends_the_output_quietly() {
    let example = example("tunelix.toml");
    let mut child = Command::new(env!("CARGO_BIN_EXE_medlarctl"))
        .args(["bundle", "show", as_str(&example)])
        .stdout(std::process::Stdio::piped())
        .stderr(std::process::Stdio::piped())
        .spawn()
        .expect("medlarctl runs");

    drop(child.stdout.take());

    let output = child.wait_with_output().expect("medlarctl ends");
    assert_eq!(stderr(&output), "");
    assert!(output.status.success());
}
