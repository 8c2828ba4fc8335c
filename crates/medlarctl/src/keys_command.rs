//! `medlarctl keys`: generates signing keys and tokens.

use crate::{
    ctl_error::CtlError,
    flags::{Keys, KeysCmd},
    secret::Secret,
};
use ed25519_dalek::SigningKey;
use medlarpost_core::prelude::*;
use std::path::Path;

/// Generates one key or token, and prints its public part.
pub(crate) fn run(flags: &Keys) -> Result<(), CtlError> {
    let secret = Secret::random()?;
    let token_hash = || Digest::of(secret.to_hex().as_bytes()).to_string();
    match &flags.subcommand {
        KeysCmd::Owner(owner) => {
            let public = SigningKey::from_bytes(secret.bytes()).verifying_key();
            let public = Digest(public.to_bytes()).to_string();
            print_key(&secret, owner.out.as_deref(), ("public_key", public))
        }
        KeysCmd::Tenant(tenant) => {
            let hash = ("token_sha256", token_hash());
            print_key(&secret, tenant.out.as_deref(), hash)
        }
        KeysCmd::Fleet(fleet) => print_key(&secret, fleet.out.as_deref(), ("sha256", token_hash())),
        KeysCmd::Admin(admin) => print_key(&secret, admin.out.as_deref(), ("sha256", token_hash())),
    }
}

/// Writes the secret to a new file or prints it, then prints the public key or hash under its name.
fn print_key(
    secret: &Secret,
    out: Option<&Path>,
    (name, public): (&str, String),
) -> Result<(), CtlError> {
    match out {
        Some(path) => secret.write(path)?,
        None => outln!("secret {}", secret.to_hex()),
    }
    outln!("{name} {public}");
    Ok(())
}
