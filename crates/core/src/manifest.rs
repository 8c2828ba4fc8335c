//! The part of a bundle that the owners sign: its version and the digests of its parts.

use crate::prelude::*;

/// Version and parts of a bundle. A node reads only the parts whose digests it has not got.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Version of the manifest format; 1.
    pub format: u32,
    /// Version of the bundle.
    pub version: u64,
    /// Name of the deployment.
    pub deployment: String,
    /// Parts, in the order in which they are assembled.
    #[serde(rename = "part")]
    pub parts: Vec<ManifestPart>,
}

/// One part of a bundle, addressed by digest.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ManifestPart {
    /// Name of the part: `head`, `tenants`, `upstreams` or `service/NAME`.
    pub name: String,
    /// Digest of the part's exact bytes.
    pub sha256: Digest,
}

impl Manifest {
    /// Longest manifest or part that is read, in bytes.
    pub const MAX_BYTES: usize = 1_000_000;

    /// Most parts of a manifest; with [`Manifest::MAX_BYTES`] it bounds what a reader holds.
    pub const MAX_PARTS: usize = 1_024;

    /// Splits a bundle into a manifest and its parts by digest.
    ///
    /// Each service is a part of its own, because a new index version changes one service.
    pub fn split(bundle: &Bundle) -> (Self, BTreeMap<Digest, Vec<u8>>) {
        let blank = Bundle {
            zones: Vec::new(),
            classes: Vec::new(),
            tenants: Vec::new(),
            upstreams: Vec::new(),
            services: Vec::new(),
            ..bundle.clone()
        };
        let head = Bundle {
            zones: bundle.zones.clone(),
            ..blank.clone()
        };
        // Other parts repeat the head's scalars; `assemble` reads only their own tables.
        let shell = Bundle {
            version: 0,
            consents: Vec::new(),
            ..blank
        };
        let tenants = Bundle {
            classes: bundle.classes.clone(),
            tenants: bundle.tenants.clone(),
            ..shell.clone()
        };
        let upstreams = Bundle {
            upstreams: bundle.upstreams.clone(),
            ..shell.clone()
        };
        let mut named = vec![
            ("head".to_owned(), head),
            ("tenants".to_owned(), tenants),
            ("upstreams".to_owned(), upstreams),
        ];
        for service in &bundle.services {
            let part = Bundle {
                services: vec![service.clone()],
                ..shell.clone()
            };
            named.push((format!("service/{}", service.name), part));
        }
        let mut parts = Vec::new();
        let mut values = BTreeMap::new();
        for (name, part) in named {
            let bytes = part.to_toml().into_bytes();
            let sha256 = Digest::of(&bytes);
            parts.push(ManifestPart { name, sha256 });
            values.insert(sha256, bytes);
        }
        let manifest = Self {
            format: 1,
            version: bundle.version,
            deployment: bundle.deployment.clone(),
            parts,
        };
        (manifest, values)
    }

    /// Puts the parts of this manifest together.
    ///
    /// # Errors
    ///
    /// A part that is missing, too long, has another digest or is no bundle text; or a head with another version.
    pub fn assemble(&self, values: &BTreeMap<Digest, Vec<u8>>) -> Result<Bundle, EnvelopeError> {
        let mut bundle: Option<Bundle> = None;
        for part in &self.parts {
            let bytes = values
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
            let read = Bundle::from_toml(text)
                .context(envelope_error::PartSyntaxSnafu { part: &part.name })?;
            match &mut bundle {
                None => bundle = Some(read),
                Some(whole) => {
                    whole.classes.extend(read.classes);
                    whole.tenants.extend(read.tenants);
                    whole.upstreams.extend(read.upstreams);
                    whole.services.extend(read.services);
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
