//! Creation of TCP sockets: non-blocking connect, listen, and inherited listeners.
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;

/// Errors of `connect` that mean the connection is in progress or already established.
const CONNECT_IN_PROGRESS: [i32; 3] = [libc::EINPROGRESS, libc::EALREADY, libc::EISCONN];
/// Length of the accept queue.
const BACKLOG: i32 = 1024;

/// Starts a non-blocking connect. The connection is established once the socket is writable.
pub fn dial(to: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    // An interrupted connect may or may not continue in the background (connect(2)). A second call starts it, or fails with one of
    // `CONNECT_IN_PROGRESS`.
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

/// Listens on an address with SO_REUSEADDR, so that connections of an earlier listener in TIME_WAIT do not prevent it.
pub fn listen(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(at), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&at.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Returns the number of bytes that the kernel has accepted for sending and that the peer has not acknowledged; 0 if the system
/// does not report it.
#[allow(unsafe_code)]
pub fn unacknowledged_bytes(socket: &TcpStream) -> usize {
    let mut bytes: libc::c_int = 0;
    // SAFETY: TIOCOUTQ (SIOCOUTQ, tcp(7)) writes one `int` to the pointer, which is valid during the call.
    let result = unsafe { libc::ioctl(socket.as_raw_fd(), libc::TIOCOUTQ, &raw mut bytes) };
    if result < 0 {
        return 0;
    }
    usize::try_from(bytes).unwrap_or(0)
}

/// How far the peer of a connection has closed it, whether or not the input before that was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerEnd {
    /// The peer may send more, or the system does not tell.
    Open,
    /// The peer sends no more. It may have closed its socket, or the write side only.
    Finished,
    /// The connection was reset: the peer receives nothing any more.
    Reset,
}

/// States of a connection in `tcp_info`, from the kernel's `tcp_states.h`.
mod tcp_state {
    pub const CLOSE: u8 = 7;
    pub const CLOSE_WAIT: u8 = 8;
}

/// Returns how far the peer of a connection has closed it.
#[allow(unsafe_code)]
pub fn peer_end(socket: &TcpStream) -> PeerEnd {
    // The state is the first byte of `tcp_info`; the kernel writes as much of it as fits.
    let mut state: u8 = 0;
    let mut length = size_of::<u8>() as libc::socklen_t;
    // SAFETY: getsockopt(2) writes at most `length` bytes to `state`, and the length to `length`; both are valid during the call.
    let result = unsafe {
        libc::getsockopt(
            socket.as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            (&raw mut state).cast(),
            &raw mut length,
        )
    };
    match state {
        tcp_state::CLOSE_WAIT if result == 0 => PeerEnd::Finished,
        tcp_state::CLOSE if result == 0 => PeerEnd::Reset,
        _ => PeerEnd::Open,
    }
}

/// Why an inherited descriptor cannot be used as the listener.
#[derive(Debug, thiserror::Error)]
pub enum InheritedSocketError {
    /// The descriptor was not open when the program started.
    #[error("it is not open")]
    NotOpen,
    /// The descriptor is not a listening TCP socket.
    #[error("not a listening TCP socket")]
    NotListening,
    /// A system call on the descriptor failed.
    #[error("not a usable listening TCP socket: {0}")]
    System(#[from] io::Error),
}

/// Lower descriptors are standard input, output and error.
const FIRST_INHERITABLE: i32 = 3;

/// Adopts a listening TCP socket that was open as `descriptor` when the program started. Other processes may hold the same
/// socket; each connection is then accepted by one of them.
#[allow(unsafe_code)]
pub fn inherited(descriptor: i32) -> Result<TcpListener, InheritedSocketError> {
    // A descriptor that is not open now could be assigned to a file opened later.
    // SAFETY: `fcntl` with F_GETFD takes no pointers and has no effect on the descriptor.
    if descriptor < FIRST_INHERITABLE || unsafe { libc::fcntl(descriptor, libc::F_GETFD) } < 0 {
        return Err(InheritedSocketError::NotOpen);
    }
    // SAFETY: the descriptor is open, this program has not opened it, and its ownership was passed by the parent process.
    let socket = unsafe { <Socket as std::os::fd::FromRawFd>::from_raw_fd(descriptor) };
    if !is_tcp_listener(&socket)? {
        return Err(InheritedSocketError::NotListening);
    }
    socket.set_cloexec(true)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

fn is_tcp_listener(socket: &Socket) -> io::Result<bool> {
    let is_stream = socket.r#type()? == Type::STREAM;
    let is_internet = [Domain::IPV4, Domain::IPV6].contains(&socket.domain()?);
    Ok(is_stream && is_internet && socket.is_listener()?)
}
