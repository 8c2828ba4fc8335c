//! A TCP stream with buffers for HTTP messages.

use bytes::BytesMut;
use std::{
    fmt::{self, Debug, Formatter},
    io,
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

/// Buffer space to reserve for one read, in bytes.
const READ_SIZE_BYTES: usize = 4096;

/// A TCP stream with its read and write buffers.
pub(crate) struct HttpStream {
    stream: TcpStream,
    /// Bytes that were read and are not yet decoded.
    pub(crate) input: BytesMut,
    /// Bytes that are encoded and not yet written.
    pub(crate) output: BytesMut,
}

/// Writes the lengths of the buffers only: they may hold keys of callers.
impl Debug for HttpStream {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("HttpStream")
            .field("input_bytes", &self.input.len())
            .field("output_bytes", &self.output.len())
            .finish_non_exhaustive()
    }
}

impl HttpStream {
    pub(crate) fn new(stream: TcpStream) -> Self {
        // Nagle's algorithm would hold small messages back until the peer's delayed acknowledgement. The call fails
        // only on a closed connection, which the next read reports.
        let _closed = stream.set_nodelay(true);
        Self {
            stream,
            input: BytesMut::new(),
            output: BytesMut::new(),
        }
    }

    /// Reads into `input`. Returns the number of bytes, 0 at the end of the stream.
    pub(crate) async fn fill(&mut self) -> io::Result<usize> {
        self.input.reserve(READ_SIZE_BYTES);
        self.stream.read_buf(&mut self.input).await
    }

    /// Writes all of `output`.
    pub(crate) async fn flush(&mut self) -> io::Result<()> {
        self.stream.write_all_buf(&mut self.output).await
    }

    /// Writes all of `output`, but stops when the peer sends something first. Returns whether everything was written.
    pub(crate) async fn flush_or_fill(&mut self) -> io::Result<bool> {
        self.input.reserve(READ_SIZE_BYTES);
        while !self.output.is_empty() {
            // Most requests fit into the socket's send buffer, so that nothing waits.
            match self.stream.try_write(&self.output) {
                Ok(written) => {
                    let _written = self.output.split_to(written);
                    continue;
                }
                Err(fault) if fault.kind() == io::ErrorKind::WouldBlock => {}
                Err(fault) => return Err(fault),
            }
            tokio::select! {
                ready = self.stream.writable() => ready?,
                ready = self.stream.readable() => {
                    ready?;
                    match self.stream.try_read_buf(&mut self.input) {
                        Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                        Ok(_) => return Ok(false),
                        Err(fault) if fault.kind() == io::ErrorKind::WouldBlock => {}
                        Err(fault) => return Err(fault),
                    }
                }
            }
        }
        Ok(true)
    }

    /// Whether the connection is open and has no unread bytes, so that it can carry another request.
    pub(crate) fn is_reusable(&mut self) -> bool {
        if !self.input.is_empty() {
            return false;
        }
        let mut byte = [0];
        let read = self.stream.try_read(&mut byte);
        matches!(read, Err(fault) if fault.kind() == io::ErrorKind::WouldBlock)
    }

    /// Frees the memory of the buffers, except for bytes that are not yet decoded.
    pub(crate) fn release_buffers(&mut self) {
        if self.input.is_empty() {
            self.input = BytesMut::new();
        }
        self.output = BytesMut::new();
    }
}
