//! The part of a bundle that the owners sign: its version and the digests of its parts.

use crate::prelude::*;

/// Version and part digests of a bundle. A node fetches only the parts that it does not have yet.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Version of the manifest format; always 1.
    pub format: u32,
    /// Version of the bundle; the `head` part must have the same.
    pub version: u64,
    /// Name of the deployment that the bundle belongs to.
    pub deployment: String,
    /// Parts in the order in which they are assembled; the first is `head`.
    #[serde(rename = "part")]
    pub parts: Vec<ManifestPart>,
}

/// Reference to one part of a bundle, by digest.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ManifestPart {
    /// Name of the part: `head`, `workspaces`, `upstreams` or `service/NAME`.
    pub name: String,
    /// Digest of the part's exact bytes.
    pub sha256: Digest,
}

impl Manifest {
    /// Longest envelope, manifest or part that is read, in bytes.
    pub const MAX_BYTES: usize = 1_000_000;

    /// Most parts of a manifest. Together with [`Manifest::MAX_BYTES`] it bounds the memory of a node that reads a
    /// bundle.
    pub const MAX_PARTS: usize = 1_024;

    /// Splits a bundle into a manifest and its parts by digest.
    ///
    /// Each service is a part of its own, because a new index version changes one service only.
    pub fn split(bundle: &Bundle) -> (Self, BTreeMap<Digest, Vec<u8>>) {
        let without_tables = Bundle {
            zones: Vec::new(),
            classes: Vec::new(),
            workspaces: Vec::new(),
            upstreams: Vec::new(),
            services: Vec::new(),
            ..bundle.clone()
        };
        let head = Bundle {
            zones: bundle.zones.clone(),
            ..without_tables.clone()
        };
        // The other parts repeat scalar fields of the head, but `assemble` reads only their tables. Version and
        // consents are cleared, so that a new bundle version does not change the digests of these parts.
        let part_template = Bundle {
            version: 0,
            consents: Vec::new(),
            ..without_tables
        };
        let workspaces = Bundle {
            classes: bundle.classes.clone(),
            workspaces: bundle.workspaces.clone(),
            ..part_template.clone()
        };
        let upstreams = Bundle {
            upstreams: bundle.upstreams.clone(),
            ..part_template.clone()
        };
        let mut named_parts = vec![
            ("head".to_owned(), head),
            ("tenants".to_owned(), workspaces),
            ("upstreams".to_owned(), upstreams),
        ];
        for service in &bundle.services {
            let part = Bundle {
                services: vec![service.clone()],
                ..part_template.clone()
            };
            named_parts.push((format!("service/{}", service.name), part));
        }
        let mut parts = Vec::new();
        let mut parts_by_digest = BTreeMap::new();
        for (name, part) in named_parts {
            let bytes = part.to_toml().into_bytes();
            let sha256 = Digest::of(&bytes);
            parts.push(ManifestPart { name, sha256 });
            parts_by_digest.insert(sha256, bytes);
        }
        let manifest = Self {
            format: 1,
            version: bundle.version,
            deployment: bundle.deployment.clone(),
            parts,
        };
        (manifest, parts_by_digest)
    }

    /// Assembles the bundle from the parts that the manifest lists.
    ///
    /// # Errors
    ///
    /// If a part is missing, too long, has another digest or is not valid, or the head has another version.
    pub fn assemble(
        &self,
        parts_by_digest: &BTreeMap<Digest, Vec<u8>>,
    ) -> Result<Bundle, EnvelopeError> {
        let mut bundle: Option<Bundle> = None;
        for part in &self.parts {
            let bytes = parts_by_digest
                .get(&part.sha256)
                .context(envelope_error::MissingPartSnafu { part: &part.name })?;
            if bytes.len() > Self::MAX_BYTES {
                return envelope_error::TooLongSnafu { bytes: bytes.len() }.fail();
            }
            if Digest::of(bytes) != part.sha256 {
                return envelope_error::MissingPartSnafu { part: &part.name }.fail();
            }
            let text = str::from_utf8(bytes)
                .ok()
                .context(envelope_error::PartEncodingSnafu { part: &part.name })?;
            let parsed = Bundle::from_toml(text)
                .context(envelope_error::PartSyntaxSnafu { part: &part.name })?;
            match &mut bundle {
                None => bundle = Some(parsed),
                Some(assembled) => {
                    assembled.classes.extend(parsed.classes);
                    assembled.workspaces.extend(parsed.workspaces);
                    assembled.upstreams.extend(parsed.upstreams);
                    assembled.services.extend(parsed.services);
                }
            }
        }
        let bundle = bundle.context(envelope_error::MissingPartSnafu { part: "head" })?;
        if bundle.version != self.version {
            return envelope_error::VersionMismatchSnafu {
                manifest: self.version,
                head: bundle.version,
            }
            .fail();
        }
        Ok(bundle)
    }
}
