//! A TCP connection with the bytes that were read from it and not yet used.

use bytes::BytesMut;
use std::io;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

/// Bytes that one read asks for at most.
const READ_SIZE_BYTES: usize = 4096;

/// A TCP connection and its buffers.
#[derive(Debug)]
pub(crate) struct HttpStream {
    stream: TcpStream,
    /// Read and not yet used.
    pub(crate) input: BytesMut,
    /// Encoded and not yet written.
    pub(crate) output: BytesMut,
}

impl HttpStream {
    pub(crate) fn new(stream: TcpStream) -> Self {
        // Without this, small messages wait for the peer's delayed acknowledgement. It fails only on a connection that
        // is closed, which the next read shows.
        let _closed = stream.set_nodelay(true);
        Self {
            stream,
            input: BytesMut::new(),
            output: BytesMut::new(),
        }
    }

    /// Reads more into `input`; 0 bytes mean that the peer has closed its side.
    pub(crate) async fn fill(&mut self) -> io::Result<usize> {
        self.input.reserve(READ_SIZE_BYTES);
        self.stream.read_buf(&mut self.input).await
    }

    /// Writes all of `output`.
    pub(crate) async fn flush(&mut self) -> io::Result<()> {
        self.stream.write_all_buf(&mut self.output).await
    }

    /// Writes all of `output`, unless the peer sends something before that. Returns whether all was written.
    pub(crate) async fn flush_or_fill(&mut self) -> io::Result<bool> {
        self.input.reserve(READ_SIZE_BYTES);
        while !self.output.is_empty() {
            // Most requests fit into the socket's buffer, and then nothing waits.
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

    /// Whether the connection is open and the peer has sent nothing.
    pub(crate) fn is_reusable(&mut self) -> bool {
        if !self.input.is_empty() {
            return false;
        }
        let mut byte = [0];
        let read = self.stream.try_read(&mut byte);
        matches!(read, Err(fault) if fault.kind() == io::ErrorKind::WouldBlock)
    }

    /// Gives back the memory of empty buffers.
    pub(crate) fn release_buffers(&mut self) {
        if self.input.is_empty() {
            self.input = BytesMut::new();
        }
        self.output = BytesMut::new();
    }
}
