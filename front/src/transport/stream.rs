//! A connection with its buffers.
mod tls;

use super::{Reactor, Registered};
use rustls::ServerConnection;
use std::collections::VecDeque;
use std::io::{self, IoSlice, Read, Write};
use std::net::TcpStream;
use std::rc::Rc;
use tls::Tls;

/// The most capacity for input, in bytes, that an idle connection keeps.
const MAX_IDLE_CAPACITY_BYTES: usize = 4 * 1024;
/// The most slices that one gathered write takes.
const MAX_SLICES: usize = 48;
/// A message to be written. Its parts are not copied: they go out in one gathered write.
#[derive(Debug)]
pub struct Outgoing<T> {
    /// Returned to the caller once the message is written completely.
    pub tag: T,
    /// The head, which belongs to this message alone.
    pub head: Vec<u8>,
    /// The body, which may be shared with other messages.
    pub body: Rc<[u8]>,
    /// What follows the body.
    pub tail: &'static [u8],
}

impl<T> Outgoing<T> {
    fn parts(&self) -> [&[u8]; 3] {
        [&self.head, &self.body, self.tail]
    }

    fn len(&self) -> usize {
        self.parts().iter().map(|p| p.len()).sum()
    }
}

/// The events that a socket is watched for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Interest {
    read: bool,
    write: bool,
}

/// A connection with the input that is not consumed yet and the output that is not written yet.
#[derive(Debug)]
pub struct Stream<T> {
    socket: Registered<TcpStream>,
    input: Vec<u8>,
    consumed: usize,
    output: VecDeque<Outgoing<T>>,
    /// Bytes of the first message of `output` that are written.
    written: usize,
    output_len: usize,
    /// The bytes that a total over connections counts for this one.
    counted: usize,
    interest: Interest,
    tls: Option<Box<Tls>>,
}

impl<T> Stream<T> {
    /// Creates the stream of a connection that was accepted or, if `connecting`, is being established.
    pub fn new(
        reactor: &Reactor,
        socket: TcpStream,
        key: usize,
        connecting: bool,
    ) -> io::Result<Self> {
        socket.set_nonblocking(true)?;
        socket.set_nodelay(true)?;
        let socket = reactor.watch(socket, key, connecting)?;
        let mut stream = Self::from_socket(socket, None);
        stream.interest.write = connecting;
        Ok(stream)
    }

    /// Creates the stream of a connection whose TLS handshake is complete. It is watched for reading.
    pub fn with_tls(socket: Registered<TcpStream>, connection: ServerConnection) -> Self {
        Self::from_socket(
            socket,
            Some(Box::new(Tls {
                connection,
                unsent_bytes: 0,
            })),
        )
    }

    fn from_socket(socket: Registered<TcpStream>, tls: Option<Box<Tls>>) -> Self {
        Stream {
            socket,
            input: Vec::new(),
            consumed: 0,
            output: VecDeque::new(),
            written: 0,
            output_len: 0,
            counted: 0,
            interest: Interest {
                read: true,
                write: false,
            },
            tls,
        }
    }

    /// Returns whether a connection that was being established is established; an error if that failed.
    pub fn connected(&self) -> io::Result<bool> {
        if let Some(error) = self.socket.take_error()? {
            return Err(error);
        }
        match self.socket.peer_addr() {
            Ok(_) => Ok(true),
            Err(e) if e.kind() == io::ErrorKind::NotConnected => Ok(false),
            Err(e) => Err(e),
        }
    }

    /// Reads once by way of `scratch`, which connections share, so that each keeps no more than its unconsumed input. Returns the
    /// number of bytes, 0 at the end of the peer's data, and `None` if there is nothing to read now.
    pub fn read_input(&mut self, scratch: &mut [u8]) -> io::Result<Option<usize>> {
        if let Some(tls) = &mut self.tls {
            self.input.drain(..std::mem::take(&mut self.consumed));
            return tls.read_input(&self.socket, scratch, &mut self.input);
        }
        match self.socket.read(scratch) {
            Ok(n) => {
                self.input.drain(..std::mem::take(&mut self.consumed));
                self.input.extend_from_slice(&scratch[..n]);
                Ok(Some(n))
            }
            Err(e)
                if matches!(
                    e.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted
                ) =>
            {
                Ok(None)
            }
            Err(e) => Err(e),
        }
    }

    /// Whether the system has received input that was not read yet.
    pub fn has_unread_input(&self) -> bool {
        matches!(self.socket.peek(&mut [0; 1]), Ok(n) if n > 0)
    }

    /// The input that is not consumed yet.
    pub fn input(&self) -> &[u8] {
        &self.input[self.consumed..]
    }

    /// Discards the first `n` bytes of the input.
    pub fn consume(&mut self, n: usize) {
        self.consumed += n;
        if self.consumed == self.input.len() {
            self.consumed = 0;
            self.input.clear();
            // Otherwise hundreds of connections would each keep room for their largest message, beyond the memory limit.
            self.input.shrink_to(MAX_IDLE_CAPACITY_BYTES);
        }
    }

    /// Returns the bytes that this connection buffers: input not consumed and output not written.
    pub fn buffered_bytes(&self) -> usize {
        self.input.len() - self.consumed
            + self.output_len
            + self.tls.as_ref().map_or(0, |tls| tls.unsent_bytes)
    }

    /// Brings a total over connections up to date with what this one holds.
    pub fn update_total(&mut self, total: &mut usize) {
        let buffered = self.buffered_bytes();
        *total = *total - std::mem::replace(&mut self.counted, buffered) + buffered;
    }

    /// Takes this connection out of a total over connections.
    pub fn remove_from_total(&mut self, total: &mut usize) {
        *total -= std::mem::take(&mut self.counted);
    }

    /// Returns the number of messages that are not written completely.
    pub fn unsent_messages(&self) -> usize {
        self.output.len()
    }

    /// Whether nothing is left to be written.
    pub fn flushed(&self) -> bool {
        self.output.is_empty()
            && self
                .tls
                .as_ref()
                .is_none_or(|tls| !tls.connection.wants_write())
    }

    /// Queues a message.
    pub fn push(&mut self, out: Outgoing<T>) {
        self.output_len += out.len();
        self.output.push_back(out);
    }

    /// Replaces the head of each message that is not begun by what `head` returns for its tag; `None` leaves it as it is.
    pub fn rewrite_heads(&mut self, head: impl Fn(&T) -> Option<Vec<u8>>) {
        let begun = usize::from(self.written > 0);
        for out in self.output.iter_mut().skip(begun) {
            let Some(new) = head(&out.tag) else { continue };
            self.output_len = self.output_len - out.head.len() + new.len();
            out.head = new;
        }
    }

    /// Removes a message that is not begun. Returns false if it was begun or written, or was never queued.
    pub fn remove_unsent(&mut self, matches_tag: impl Fn(&T) -> bool) -> bool {
        let begun = usize::from(self.written > 0);
        let found = self
            .output
            .iter()
            .skip(begun)
            .position(|o| matches_tag(&o.tag));
        let out = found.and_then(|i| self.output.remove(begun + i));
        self.output_len -= out.as_ref().map_or(0, Outgoing::len);
        out.is_some()
    }

    /// Writes what can be written; `done` receives the tag of each message that is written completely.
    pub fn flush(&mut self, mut done: impl FnMut(T)) -> io::Result<()> {
        while !self.flushed() {
            match self.write_once() {
                Ok(0) if self.tls.is_some() && self.output.is_empty() => break,
                // The library was full and has room again.
                Ok(0) if self.tls.is_some() => continue,
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(n) => self.written += n,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) => return Err(e),
            }
            self.remove_written(&mut done);
        }
        Ok(())
    }

    /// Writes messages once, as many as one gathered write takes, and returns the number of bytes that were taken.
    fn write_once(&mut self) -> io::Result<usize> {
        let parts = self.output.iter().flat_map(Outgoing::parts);
        let mut skip = self.written;
        let mut slices = Vec::with_capacity(MAX_SLICES);
        for part in parts.take(MAX_SLICES) {
            let begun = skip.min(part.len());
            skip -= begun;
            if begun < part.len() {
                slices.push(IoSlice::new(&part[begun..]));
            }
        }
        match &mut self.tls {
            Some(tls) => tls.write(&self.socket, &slices),
            None => self.socket.write_vectored(&slices),
        }
    }

    /// Removes the messages that are written completely.
    fn remove_written(&mut self, done: &mut impl FnMut(T)) {
        while self.first_message_is_written() {
            let Some(message) = self.output.pop_front() else {
                return;
            };
            let length = message.len();
            self.written -= length;
            self.output_len -= length;
            done(message.tag);
        }
    }

    fn first_message_is_written(&self) -> bool {
        let first = self.output.front();
        first.is_some_and(|message| message.len() <= self.written)
    }

    /// Watches the socket for reading if `read` is set, and for writing while output is left.
    pub fn rewatch(&mut self, read: bool) -> io::Result<()> {
        let write = !self.flushed();
        let interest = Interest { read, write };
        if interest != self.interest {
            self.socket.rewatch(read, write)?;
            self.interest = interest;
        }
        Ok(())
    }

    /// Announces to the peer that nothing more will be written.
    pub fn shutdown_write(&mut self) {
        if let Some(tls) = &mut self.tls {
            tls.connection.send_close_notify();
            // If it does not fit now, the peer has stopped reading and would not see it.
            let _ = tls.connection.write_tls(&mut &*self.socket);
        }
        // It fails only if the connection is closed already.
        let _ = self.socket.shutdown(std::net::Shutdown::Write);
    }
}

#[cfg(test)]
mod tests;
