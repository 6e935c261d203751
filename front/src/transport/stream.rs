//! A connection with its buffers.
use super::{Reactor, Registered};
use rustls::ServerConnection;
use socket2::{Domain, Protocol, Socket, Type};
use std::collections::VecDeque;
use std::io::{self, IoSlice, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

/// Room for input that an idle connection keeps.
const MAX_IDLE_CAPACITY: usize = 4 * 1024;
/// Slices that one gathered write takes at most.
const MAX_SLICES: usize = 48;
/// What `connect` says of a connection that is being made, or is made.
const CONNECT_IN_PROGRESS: [i32; 3] = [libc::EINPROGRESS, libc::EALREADY, libc::EISCONN];
/// Connections that the system accepts ahead of the program.
const BACKLOG: i32 = 1024;

/// Something to be written: its parts stay where they are and go out in one gathered write.
#[derive(Debug)]
pub struct Outgoing<T> {
    /// Given back once all of it is written.
    pub tag: T,
    /// The head, written for this one.
    pub head: Vec<u8>,
    /// The body, shared with whoever holds it.
    pub body: Rc<[u8]>,
    /// What closes it.
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

/// A connection, its input that is not consumed yet and its output that is not written yet.
#[derive(Debug)]
pub struct Stream<T> {
    socket: Registered<TcpStream>,
    input: Vec<u8>,
    consumed: usize,
    output: VecDeque<Outgoing<T>>,
    /// Bytes of the first of `output` that are written.
    written: usize,
    output_len: usize,
    /// What a total over connections counts for this one.
    counted: usize,
    watched: (bool, bool),
    tls: Option<Box<Tls>>,
}

/// What lies between the bytes of a stream and its socket.
#[derive(Debug)]
struct Tls {
    connection: ServerConnection,
    /// Bytes of output handed over and, as far as can be told, not written to the socket yet.
    sealed: usize,
}

impl<T> Stream<T> {
    /// A connection that was accepted or is being made.
    pub fn new(
        reactor: &Reactor,
        socket: TcpStream,
        key: usize,
        connecting: bool,
    ) -> io::Result<Self> {
        socket.set_nonblocking(true)?;
        socket.set_nodelay(true)?;
        let socket = reactor.watch(socket, key, connecting)?;
        let mut stream = Self::on(socket, None);
        stream.watched = (true, connecting);
        Ok(stream)
    }

    /// A connection whose TLS handshake is complete; it is watched for reading.
    pub fn secured(socket: Registered<TcpStream>, connection: ServerConnection) -> Self {
        Self::on(
            socket,
            Some(Box::new(Tls {
                connection,
                sealed: 0,
            })),
        )
    }

    fn on(socket: Registered<TcpStream>, tls: Option<Box<Tls>>) -> Self {
        let (input, output, watched) = (Vec::new(), VecDeque::new(), (true, false));
        Stream {
            socket,
            input,
            consumed: 0,
            output,
            written: 0,
            output_len: 0,
            counted: 0,
            watched,
            tls,
        }
    }

    /// Whether a connection that was being made is up; an error if it can't be.
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

    /// Reads once by way of `scratch`, which is shared: a connection holds no more than what is not dealt with.
    /// `None`: there is nothing now; 0: the other side has ended it.
    pub fn fill(&mut self, scratch: &mut [u8]) -> io::Result<Option<usize>> {
        if let Some(tls) = &mut self.tls {
            self.input.drain(..std::mem::take(&mut self.consumed));
            return tls.fill(&self.socket, scratch, &mut self.input);
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

    /// Whether something has come that is not read from the system yet.
    pub fn unread(&self) -> bool {
        matches!(self.socket.peek(&mut [0; 1]), Ok(n) if n > 0)
    }

    /// The input that is not consumed yet.
    pub fn input(&self) -> &[u8] {
        &self.input[self.consumed..]
    }

    /// Marks the first `n` bytes of the input as dealt with.
    pub fn consume(&mut self, n: usize) {
        self.consumed += n;
        if self.consumed == self.input.len() {
            self.consumed = 0;
            self.input.clear();
            // Guards the memory limit: hundreds of connections would each keep room for their largest message.
            self.input.shrink_to(MAX_IDLE_CAPACITY);
        }
    }

    /// Bytes that this connection holds: input not dealt with and output not written.
    pub fn buffered_bytes(&self) -> usize {
        self.input.len() - self.consumed
            + self.output_len
            + self.tls.as_ref().map_or(0, |tls| tls.sealed)
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

    /// Messages that the other side has not taken yet.
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

    /// Adds something to be written.
    pub fn push(&mut self, out: Outgoing<T>) {
        self.output_len += out.len();
        self.output.push_back(out);
    }

    /// Gives what is not begun yet the head that `head` makes of its tag; `None` leaves it as it is.
    pub fn rewrite(&mut self, head: impl Fn(&T) -> Option<Vec<u8>>) {
        let begun = usize::from(self.written > 0);
        for out in self.output.iter_mut().skip(begun) {
            let Some(new) = head(&out.tag) else { continue };
            self.output_len = self.output_len - out.head.len() + new.len();
            out.head = new;
        }
    }

    /// Takes back what is not begun yet. `false`: it was begun, is written, or was never there.
    pub fn take_back(&mut self, is_it: impl Fn(&T) -> bool) -> bool {
        let begun = usize::from(self.written > 0);
        let found = self.output.iter().skip(begun).position(|o| is_it(&o.tag));
        let out = found.and_then(|i| self.output.remove(begun + i));
        self.output_len -= out.as_ref().map_or(0, Outgoing::len);
        out.is_some()
    }

    /// Writes what can be written; `done` gets the tag of each that is whole.
    pub fn flush(&mut self, mut done: impl FnMut(T)) -> io::Result<()> {
        while !self.flushed() {
            let mut skip = self.written;
            let mut slices = Vec::with_capacity(MAX_SLICES);
            for part in self
                .output
                .iter()
                .flat_map(Outgoing::parts)
                .take(MAX_SLICES)
            {
                let begun = skip.min(part.len());
                skip -= begun;
                if begun < part.len() {
                    slices.push(IoSlice::new(&part[begun..]));
                }
            }
            let written = match &mut self.tls {
                Some(tls) => tls.write(&self.socket, &slices),
                None => self.socket.write_vectored(&slices),
            };
            match written {
                Ok(0) if self.tls.is_some() && self.output.is_empty() => break,
                // The library was full and has room again.
                Ok(0) if self.tls.is_some() => continue,
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(n) => self.written += n,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) => return Err(e),
            }
            while let Some(len) = self
                .output
                .front()
                .map(Outgoing::len)
                .filter(|len| *len <= self.written)
            {
                self.written -= len;
                self.output_len -= len;
                self.output
                    .pop_front()
                    .into_iter()
                    .for_each(|out| done(out.tag));
            }
        }
        Ok(())
    }

    /// Watches the socket for reading as told, and for writing while something is left to be written.
    pub fn rewatch(&mut self, read: bool) -> io::Result<()> {
        let wanted = (read, !self.flushed());
        if wanted != self.watched {
            self.socket.rewatch(wanted.0, wanted.1)?;
            self.watched = wanted;
        }
        Ok(())
    }

    /// Tells the other side that nothing more will be written.
    pub fn finish(&mut self) {
        if let Some(tls) = &mut self.tls {
            tls.connection.send_close_notify();
            // What does not fit now is the system's word that nobody reads it.
            let _ = tls.connection.write_tls(&mut &*self.socket);
        }
        // A connection that is gone already needs no farewell.
        let _ = self.socket.shutdown(std::net::Shutdown::Write);
    }
}

impl Tls {
    /// Reads once, and takes all that could be opened with that: nothing may stay behind of which the poller does
    /// not know. What one read opens is bounded by the library.
    fn fill(
        &mut self,
        mut socket: &TcpStream,
        scratch: &mut [u8],
        input: &mut Vec<u8>,
    ) -> io::Result<Option<usize>> {
        let before = input.len();
        let mut ended = self.open(scratch, input)?;
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
                // The alert that tells why; best effort.
                let _ = self.connection.write_tls(&mut socket);
                return Err(io::Error::new(io::ErrorKind::InvalidData, e));
            }
            ended = self.open(scratch, input)?;
        }
        let got = input.len() - before;
        Ok(if got > 0 || ended { Some(got) } else { None })
    }

    /// Moves what is opened to the input. `true`: the other side said that nothing more comes.
    fn open(&mut self, scratch: &mut [u8], input: &mut Vec<u8>) -> io::Result<bool> {
        loop {
            match self.connection.reader().read(scratch) {
                Ok(0) => return Ok(true),
                Ok(n) => input.extend_from_slice(&scratch[..n]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(false),
                Err(e) => return Err(e),
            }
        }
    }

    /// Seals as much as the library takes and writes what the socket takes. An error of kind `WouldBlock`: neither
    /// took anything.
    fn write(&mut self, mut socket: &TcpStream, slices: &[IoSlice<'_>]) -> io::Result<usize> {
        let taken = if slices.is_empty() {
            0
        } else {
            self.connection.writer().write_vectored(slices)?
        };
        self.sealed += taken;
        let mut wrote = 0;
        while self.connection.wants_write() {
            match self.connection.write_tls(&mut socket) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(n) => {
                    wrote += n;
                    self.sealed = self.sealed.saturating_sub(n);
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    return if taken > 0 { Ok(taken) } else { Err(e) };
                }
                Err(e) => return Err(e),
            }
        }
        self.sealed = 0;
        let full = taken == 0 && wrote == 0 && !slices.is_empty();
        if full {
            Err(io::ErrorKind::WouldBlock.into())
        } else {
            Ok(taken)
        }
    }
}

/// Begins to make a connection; it is up once the socket can be written.
pub fn dial(to: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    // What was interrupted may go on or not (connect(2)): a second call begins it or says that it is under way.
    let connected = loop {
        match socket.connect(&to.into()) {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            connected => break connected,
        }
    };
    match connected {
        Err(e)
            if !CONNECT_IN_PROGRESS
                .iter()
                .any(|code| e.raw_os_error() == Some(*code)) =>
        {
            Err(e)
        }
        _ => Ok(socket.into()),
    }
}

/// Listens on an address, also right after an earlier process did.
pub fn listen(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(at), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&at.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Takes over a listening TCP socket that was open under this number when the program began. The error says what it is
/// instead. Whoever else holds it accepts from it too: what one does not take the other may.
#[allow(unsafe_code)]
pub fn inherited(fd: i32) -> Result<TcpListener, String> {
    // 0 to 2 are the program's own; what is not open would be whatever is opened next.
    // SAFETY: the call takes numbers alone, and tells whether this one is open.
    if fd < 3 || unsafe { libc::fcntl(fd, libc::F_GETFD) } < 0 {
        return Err("it is not open".into());
    }
    // SAFETY: it is open, nothing of this program has opened it, and who started the program has given it away.
    let socket = unsafe { <Socket as std::os::fd::FromRawFd>::from_raw_fd(fd) };
    let failed = |e: io::Error| format!("no listening TCP socket: {e}");
    let stream = socket.r#type().map_err(failed)? == Type::STREAM;
    let internet = [Domain::IPV4, Domain::IPV6].contains(&socket.domain().map_err(failed)?);
    if !stream || !internet || !socket.is_listener().map_err(failed)? {
        return Err("no listening TCP socket".into());
    }
    socket
        .set_cloexec(true)
        .and_then(|()| socket.set_nonblocking(true))
        .map_err(failed)?;
    Ok(socket.into())
}

#[cfg(test)]
mod tests;
