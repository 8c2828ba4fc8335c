//! Guards against a status command that prints the token, or that ends with a wrong exit code.

use std::process::{Command, Output};

fn run_status(args: &[&str], token: &str) -> Output {
    Command::new(env!("CARGO_BIN_EXE_medlarctl"))
        .arg("status")
        .args(args)
        .env("MEDLARCTL_ADMIN_TOKEN", token)
        .output()
        .expect("medlarctl runs")
}

/// Returns an address on which nothing listens.
fn unused_address() -> String {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    let address = listener.local_addr().expect("the listener has an address");
    address.to_string()
}

#[test]
fn roots_file_without_a_certificate_exits_with_2() {
    let dir = tempfile::tempdir().expect("a directory can be made");
    let roots = dir.path().join("roots.pem");
    std::fs::write(&roots, "not a certificate").expect("the file can be written");
    let roots = roots.to_str().expect("temporary paths are UTF-8");

    let output = run_status(&["--address", "127.0.0.1:1", "--roots", roots], "token");

    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("--roots"));
}

#[test]
fn failures_exit_with_1_or_2_and_print_no_token() {
    let address = unused_address();
    let token = "admin-token-0123456789";

    let no_node = run_status(&["--address", &address], token);
    let invalid_address = run_status(&["--address", "node-1"], token);

    let printed = String::from_utf8_lossy(&no_node.stderr);
    assert_eq!(no_node.status.code(), Some(1));
    assert!(printed.contains("check --address"), "{printed}");
    assert!(!printed.contains(token), "{printed}");
    assert_eq!(invalid_address.status.code(), Some(2));
}
