//! HTTP requests to a node with the administrators' token.

use crate::{
    ctl_error::{CtlError, InvalidValueSnafu},
    http_client::HttpClient,
    secret,
};
use medlarpost_node::prelude::*;
use serde::de::DeserializeOwned;
use std::path::Path;

/// Environment variable with the administrators' token, for use without `--token-file`.
const TOKEN_VARIABLE: &str = "MEDLARCTL_ADMIN_TOKEN";

/// Time-out of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// The listener of a node that accepts the administrators' token, and that token.
pub(crate) struct AdminClient<'a> {
    address: SocketAddr,
    token: String,
    /// File with the PEM root certificates of the listener; `None` for plain HTTP.
    roots: Option<&'a Path>,
}

impl<'a> AdminClient<'a> {
    /// A client for the listener at `address`, with the token from the file or the environment.
    ///
    /// # Errors
    ///
    /// If the address is no `IP:PORT`, or the file can't be read.
    pub(crate) fn new(
        address: &str,
        token_file: Option<&Path>,
        roots: Option<&'a Path>,
    ) -> Result<Self, CtlError> {
        let address = address.parse().ok().context(InvalidValueSnafu {
            name: "--address",
            detail: "use IP:PORT of the administrators' listener",
        })?;
        let token = match token_file {
            Some(path) => secret::read_text(path)?,
            None => std::env::var(TOKEN_VARIABLE).unwrap_or_default(),
        };
        Ok(Self {
            address,
            token,
            roots,
        })
    }

    /// Body of the page at `path`, of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// If the node can't be reached, or answers with another status than success or with a longer body.
    pub(crate) fn get(&self, path: &str, limit: usize) -> Result<Bytes, CtlError> {
        actix_rt::System::new().block_on(self.exchange("GET", path, Bytes::new(), limit))
    }

    /// Body of the reply to a JSON body, of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// As [`AdminClient::get`].
    pub(crate) fn post_json(
        &self,
        path: &str,
        body: &impl Serialize,
        limit: usize,
    ) -> Result<Bytes, CtlError> {
        let body = serde_json::to_vec(body).expect("request types have a JSON form");
        actix_rt::System::new().block_on(self.exchange("POST", path, body.into(), limit))
    }

    /// Parses the JSON that the node sent.
    pub(crate) fn parse<T: DeserializeOwned>(&self, body: &[u8]) -> Result<T, CtlError> {
        serde_json::from_slice(body).map_err(|error| {
            self.error(format!(
                "the reply has an unknown form ({error}); use the medlarctl of the node's release"
            ))
        })
    }

    async fn exchange(
        &self,
        method: &str,
        path: &str,
        body: Bytes,
        limit: usize,
    ) -> Result<Bytes, CtlError> {
        let HttpClient { client, scheme } = HttpClient::new(self.roots, REQUEST_TIMEOUT)?;
        let method = method.parse().expect("constant methods are valid");
        let request = client
            .request(method, format!("{scheme}://{}{path}", self.address))
            .insert_header(("authorization", format!("Bearer {}", self.token)));
        let mut response = request.send_body(body).await.map_err(|error| {
            self.error(format!(
                "{error}; check --address, that the node runs, and --roots for TLS"
            ))
        })?;
        let status = response.status().as_u16();
        let body = response.body().limit(limit).await;
        let body = body.map_err(|error| self.error(format!("{error}; try again")))?;
        match status {
            200..=299 => Ok(body),
            401 => Err(self.error(format!(
                "the node refused the token; pass --token-file or set {TOKEN_VARIABLE}"
            ))),
            404 => Err(self.error(format!(
                "it has no {path}; check --address, and that the node has an administrators' token"
            ))),
            400 | 422 => {
                let text = String::from_utf8_lossy(&body);
                Err(self.error(text.trim().to_owned()))
            }
            _ => Err(self.error(format!("HTTP status {status}; try again"))),
        }
    }

    fn error(&self, detail: String) -> CtlError {
        let address = self.address;
        CtlError::NodeResponse { address, detail }
    }
}
