//! Guards against committed code in `src/gen` that was not generated from the committed `.proto` files.

use std::{fs, path::Path};

/// Generates the code of `proto/NAME.proto` into the folder `out` and returns it.
fn generate(out: &Path, name: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("proto");
    let files =
        protox::compile([format!("{name}.proto")], [&root]).expect("the protocol file is valid");
    prost_build::Config::new()
        .bytes(["."])
        .out_dir(out)
        .compile_fds(files)
        .expect("the folder can be written to");
    fs::read_to_string(out.join(format!("medlarpost.{name}.rs")))
        .expect("the package has this name")
}

#[test]
fn committed_generated_code_matches_the_proto_files() {
    for name in ["link", "member", "snapshot"] {
        assert_current(name);
    }
}

fn assert_current(name: &str) {
    let file = format!("medlarpost.{name}.rs");
    let folder = tempfile::tempdir().expect("a temporary folder can be made");
    let committed = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("src/gen")
        .join(&file);

    let generated = generate(folder.path(), name);

    let found = fs::read_to_string(&committed).unwrap_or_default();
    if found != generated {
        let fresh = Path::new(env!("CARGO_TARGET_TMPDIR")).join(&file);
        fs::write(&fresh, generated).expect("the target folder can be written to");
        panic!(
            "the code is not current; run `cp {} {}`",
            fresh.display(),
            committed.display()
        );
    }
}
