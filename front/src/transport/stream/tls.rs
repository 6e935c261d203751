//! TLS layer between a stream and its socket.
use rustls::ServerConnection;
use std::io::{self, IoSlice, Read, Write};
use std::net::TcpStream;

/// The TLS session of a stream.
#[derive(Debug)]
pub(super) struct Tls {
    pub(super) connection: ServerConnection,
    /// Estimate of the output bytes that the session has accepted and not yet written to the socket.
    pub(super) unsent_bytes: usize,
}

impl Tls {
    /// Reads once from the socket and appends all data that this decrypts to `input`: the poller does not report data that stays
    /// in the session. rustls bounds the amount decrypted per read.
    pub(super) fn read_input(
        &mut self,
        mut socket: &TcpStream,
        scratch: &mut [u8],
        input: &mut Vec<u8>,
    ) -> io::Result<Option<usize>> {
        let before = input.len();
        let mut ended = self.decrypt(scratch, input)?;
        if input.len() == before && !ended {
            match self.connection.read_tls(&mut socket) {
                Ok(0) => return Ok(Some(0)),
                Ok(_) => {}
                Err(e)
                    if matches!(
                        e.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted
                    ) =>
                {
                    return Ok(None)
                }
                Err(e) => return Err(e),
            }
            if let Err(e) = self.connection.process_new_packets() {
                // Best effort: sends the TLS alert with the reason.
                let _ = self.connection.write_tls(&mut socket);
                return Err(io::Error::new(io::ErrorKind::InvalidData, e));
            }
            ended = self.decrypt(scratch, input)?;
        }
        let got = input.len() - before;
        Ok(if got > 0 || ended { Some(got) } else { None })
    }

    /// Moves decrypted bytes to `input`. Returns whether the peer has closed its write side.
    fn decrypt(&mut self, scratch: &mut [u8], input: &mut Vec<u8>) -> io::Result<bool> {
        loop {
            match self.connection.reader().read(scratch) {
                Ok(0) => return Ok(true),
                Ok(n) => input.extend_from_slice(&scratch[..n]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(false),
                Err(e) => return Err(e),
            }
        }
    }

    /// Encrypts as much as the session accepts and writes as much as the socket accepts. An error of kind `WouldBlock` means that
    /// neither accepted anything.
    pub(super) fn write(
        &mut self,
        mut socket: &TcpStream,
        slices: &[IoSlice<'_>],
    ) -> io::Result<usize> {
        let taken = if slices.is_empty() {
            0
        } else {
            self.connection.writer().write_vectored(slices)?
        };
        self.unsent_bytes += taken;
        let mut wrote = 0;
        while self.connection.wants_write() {
            match self.connection.write_tls(&mut socket) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(n) => {
                    wrote += n;
                    self.unsent_bytes = self.unsent_bytes.saturating_sub(n);
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    return if taken > 0 { Ok(taken) } else { Err(e) };
                }
                Err(e) => return Err(e),
            }
        }
        self.unsent_bytes = 0;
        let full = taken == 0 && wrote == 0 && !slices.is_empty();
        if full {
            Err(io::ErrorKind::WouldBlock.into())
        } else {
            Ok(taken)
        }
    }
}
