//! Buffered, non-blocking connections.
mod tls;

use super::socket::{peer_end, unacknowledged_bytes, PeerEnd};
use super::{Reactor, Registered};
use rustls::ServerConnection;
use std::collections::VecDeque;
use std::io::{self, IoSlice, Read, Write};
use std::net::TcpStream;
use std::rc::Rc;
use tls::Tls;

/// Capacity of the input buffer that a connection retains while it has no unconsumed input.
const MAX_IDLE_CAPACITY_BYTES: usize = 4 * 1024;
/// Slices passed to one vectored write.
const MAX_SLICES: usize = 48;

/// A message to be written. Its parts are not copied but passed to one vectored write.
#[derive(Debug)]
pub struct Outgoing<T> {
    /// Passed to the callback of [`Stream::flush`] once the message is written completely.
    pub tag: T,
    /// The head, owned by this message.
    pub head: Vec<u8>,
    /// The body, which may be shared with other messages.
    pub body: Rc<[u8]>,
    /// Bytes that follow the body.
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

/// The readiness events that a socket is registered for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Interest {
    read: bool,
    write: bool,
}

/// A connection with a buffer of unconsumed input and a queue of unwritten messages.
#[derive(Debug)]
pub struct Stream<T> {
    socket: Registered<TcpStream>,
    input: Vec<u8>,
    /// Bytes at the start of `input` that are already consumed.
    consumed: usize,
    output: VecDeque<Outgoing<T>>,
    /// Bytes of the first message in `output` that are already written.
    written: usize,
    /// Total length of the messages in `output`.
    output_len: usize,
    /// Number of output bytes that the socket or the TLS session has accepted so far.
    accepted_bytes: u64,
    /// The value of `buffered_bytes` that a total over connections currently includes.
    counted: usize,
    /// The capacity of the input buffer that a total over connections currently includes.
    counted_input: usize,
    interest: Interest,
    tls: Option<Box<Tls>>,
}

impl<T> Stream<T> {
    /// Creates the stream of an accepted connection or, if `connecting`, of one that is being established.
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

    /// Creates the stream of a connection whose TLS handshake is complete. `socket` must be registered for readability.
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
            accepted_bytes: 0,
            counted: 0,
            counted_input: 0,
            interest: Interest {
                read: true,
                write: false,
            },
            tls,
        }
    }

    /// Whether the connection is established; an error if connecting failed.
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

    /// Reads once, through `scratch`, a buffer that connections share so that each stores only its unconsumed input. Returns the
    /// number of bytes read, 0 at the end of the stream, and `None` if the read would block.
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

    /// Whether the socket has received input that is not read yet.
    pub fn has_unread_input(&self) -> bool {
        matches!(self.socket.peek(&mut [0; 1]), Ok(n) if n > 0)
    }

    /// Returns how far the peer has closed the connection, whether or not the input before that is read.
    pub fn peer_end(&self) -> PeerEnd {
        peer_end(&self.socket)
    }

    /// Whether the peer has closed or reset the connection and all input before that is read.
    pub fn is_closed_by_peer(&self) -> bool {
        let pending = [io::ErrorKind::WouldBlock, io::ErrorKind::Interrupted];
        match self.socket.peek(&mut [0; 1]) {
            Ok(n) => n == 0,
            Err(e) => !pending.contains(&e.kind()),
        }
    }

    /// Returns the unconsumed input.
    pub fn input(&self) -> &[u8] {
        &self.input[self.consumed..]
    }

    /// Discards the first `n` bytes of the input.
    pub fn consume(&mut self, n: usize) {
        self.consumed += n;
        if self.consumed == self.input.len() {
            self.consumed = 0;
            self.input.clear();
            // Otherwise each connection would retain the capacity of its largest message, which could exceed the memory limit. A
            // buffer that is shrunk in place would split a large block of memory, which no other message fits into afterwards.
            if self.input.capacity() > MAX_IDLE_CAPACITY_BYTES {
                self.input = Vec::new();
            }
        }
    }

    /// Returns the number of buffered bytes: unconsumed input and unwritten output.
    pub fn buffered_bytes(&self) -> usize {
        self.input.len() - self.consumed
            + self.output_len
            + self.tls.as_ref().map_or(0, |tls| tls.unsent_bytes)
    }

    /// Updates a total over connections with the current `buffered_bytes` of this one.
    pub fn update_total(&mut self, total: &mut usize) {
        let buffered = self.buffered_bytes();
        *total = *total - std::mem::replace(&mut self.counted, buffered) + buffered;
    }

    /// Subtracts this connection from a total over connections.
    pub fn remove_from_total(&mut self, total: &mut usize) {
        *total -= std::mem::take(&mut self.counted);
    }

    /// Updates a total over connections with the memory that the input buffer of this one occupies. A growing buffer has up to twice
    /// the capacity of its content.
    pub fn update_input_total(&mut self, total: &mut usize) {
        let capacity = self.input.capacity();
        *total = *total - std::mem::replace(&mut self.counted_input, capacity) + capacity;
    }

    /// Subtracts the input buffer of this connection from a total over connections.
    pub fn remove_from_input_total(&mut self, total: &mut usize) {
        *total -= std::mem::take(&mut self.counted_input);
    }

    /// Returns the number of messages that are not completely written.
    pub fn unsent_messages(&self) -> usize {
        self.output.len()
    }

    /// Whether all output is written.
    pub fn flushed(&self) -> bool {
        self.output.is_empty()
            && self
                .tls
                .as_ref()
                .is_none_or(|tls| !tls.connection.wants_write())
    }

    /// Whether the peer has not acknowledged all output yet: part of it is queued here or in the kernel.
    pub fn has_undelivered_output(&self) -> bool {
        !self.flushed() || unacknowledged_bytes(&self.socket) > 0
    }

    /// Returns the number of output bytes so far, up to the end of the last queued message.
    pub fn output_position(&self) -> u64 {
        self.accepted_bytes + (self.output_len - self.written) as u64
    }

    /// Returns up to which [`Stream::output_position`] the peer has acknowledged the output, at least: with TLS the overhead of
    /// encryption counts as not acknowledged.
    pub fn acknowledged_position(&self) -> u64 {
        let in_session = self.tls.as_ref().map_or(0, |tls| tls.unsent_bytes);
        let in_transit = in_session + unacknowledged_bytes(&self.socket);
        self.accepted_bytes.saturating_sub(in_transit as u64)
    }

    /// Appends a message to the output queue.
    pub fn push(&mut self, out: Outgoing<T>) {
        self.output_len += out.len();
        self.output.push_back(out);
    }

    /// Replaces the head of each message of which nothing is written yet with the result of `head` for its tag; `None` leaves the
    /// head unchanged.
    pub fn rewrite_heads(&mut self, head: impl Fn(&T) -> Option<Vec<u8>>) {
        let begun = usize::from(self.written > 0);
        for out in self.output.iter_mut().skip(begun) {
            let Some(new) = head(&out.tag) else { continue };
            self.output_len = self.output_len - out.head.len() + new.len();
            out.head = new;
        }
    }

    /// Removes a message of which nothing is written yet. Returns false if part of it is written or if it is not queued.
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

    /// Writes as much as the socket accepts; `done` receives the tag of each message that is completely written.
    pub fn flush(&mut self, mut done: impl FnMut(T)) -> io::Result<()> {
        while !self.flushed() {
            match self.write_once() {
                Ok(0) if self.tls.is_some() && self.output.is_empty() => break,
                // The TLS buffer was full and has been written to the socket: continue with the output queue.
                Ok(0) if self.tls.is_some() => continue,
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(n) => {
                    self.written += n;
                    self.accepted_bytes += n as u64;
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) => return Err(e),
            }
            self.remove_written(&mut done);
        }
        Ok(())
    }

    /// Makes one vectored write over the queued messages and returns the number of bytes accepted.
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

    /// Removes the messages that are completely written.
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

    /// Registers the socket for readability if `read` is set, and for writability while output is pending.
    pub fn rewatch(&mut self, read: bool) -> io::Result<()> {
        let write = !self.flushed();
        let interest = Interest { read, write };
        if interest != self.interest {
            self.socket.rewatch(read, write)?;
            self.interest = interest;
        }
        Ok(())
    }

    /// Closes the write side of the connection, after a TLS close_notify where TLS is used.
    pub fn shutdown_write(&mut self) {
        if let Some(tls) = &mut self.tls {
            tls.connection.send_close_notify();
            // Best effort: if the socket buffer is full, the peer has stopped reading.
            let _ = tls.connection.write_tls(&mut &*self.socket);
        }
        // Fails only if the connection is already closed.
        let _ = self.socket.shutdown(std::net::Shutdown::Write);
    }
}

#[cfg(test)]
mod tests;
