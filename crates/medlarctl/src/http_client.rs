//! HTTP client for commands that call a running node, with or without TLS.

use crate::{
    ctl_error::{CtlError, InvalidValueSnafu},
    secret,
};
use awc::{Client, Connector};
use medlarpost_core::prelude::*;
use medlarpost_node::tls;
use std::path::Path;

/// A client and the URL scheme to use with it.
#[derive(Clone)]
pub(crate) struct HttpClient {
    pub(crate) client: Client,
    pub(crate) scheme: &'static str,
}

impl HttpClient {
    /// Creates a client that uses TLS and trusts the PEM root certificates in the file `roots`, or one for plain HTTP
    /// if `roots` is `None`.
    pub(crate) fn new(roots: Option<&Path>, timeout: Duration) -> Result<Self, CtlError> {
        let builder = Client::builder().timeout(timeout).disable_redirects();
        let Some(path) = roots else {
            return Ok(Self {
                client: builder.finish(),
                scheme: "http",
            });
        };
        let config = tls::client_config(&secret::read_long_text(path)?)
            .map_err(|fault| fault.to_string())
            .or_else(|detail| {
                InvalidValueSnafu {
                    name: "--roots",
                    detail,
                }
                .fail()
            })?;
        let connector = Connector::new().rustls_0_23(config);
        Ok(Self {
            client: builder.connector(connector).finish(),
            scheme: "https",
        })
    }
}
