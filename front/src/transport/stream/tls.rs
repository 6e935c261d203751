//! TLS between a stream and its socket.
use rustls::ServerConnection;
use std::io::{self, IoSlice, Read, Write};
use std::net::TcpStream;

/// The TLS session between a stream and its socket.
#[derive(Debug)]
pub(super) struct Tls {
    pub(super) connection: ServerConnection,
    /// Bytes of output that the session has taken and, as far as can be told, not yet written to the socket.
    pub(super) unsent_bytes: usize,
}

impl Tls {
    /// Reads once, and moves all that this could decrypt to `input`: the poller would not report what stayed behind. The library
    /// bounds how much one read decrypts.
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
                // Sends the alert that tells the peer why; best effort.
                let _ = self.connection.write_tls(&mut socket);
                return Err(io::Error::new(io::ErrorKind::InvalidData, e));
            }
            ended = self.decrypt(scratch, input)?;
        }
        let got = input.len() - before;
        Ok(if got > 0 || ended { Some(got) } else { None })
    }

    /// Moves decrypted bytes to the input. Returns whether the peer has announced the end of its data.
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

    /// Encrypts as much as the library takes and writes what the socket takes. An error of kind `WouldBlock` means that neither
    /// took anything.
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
