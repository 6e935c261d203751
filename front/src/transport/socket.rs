//! Sockets: connecting, listening, and listeners that were inherited.
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};

/// Errors by which `connect` reports a connection that is being established, or is established already.
const CONNECT_IN_PROGRESS: [i32; 3] = [libc::EINPROGRESS, libc::EALREADY, libc::EISCONN];
/// The most connections that the system holds ready for `accept`.
const BACKLOG: i32 = 1024;

/// Begins to connect to an address. The connection is established once the socket is writable.
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

/// Listens on an address, even if connections of an earlier listener on it are still being closed.
pub fn listen(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(at), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&at.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Why a descriptor that this program inherited is no listener that it can use.
#[derive(Debug, thiserror::Error)]
pub enum InheritedSocketError {
    /// No descriptor of this number was open when the program began.
    #[error("it is not open")]
    NotOpen,
    /// The descriptor is something else than a listening TCP socket.
    #[error("no listening TCP socket")]
    NotListening,
    /// A system call on the descriptor failed.
    #[error("no listening TCP socket: {0}")]
    System(#[from] io::Error),
}

/// Descriptors below this are standard input, output and error.
const FIRST_INHERITABLE: i32 = 3;

/// Takes over a listening TCP socket that was open under this number when the program began. Other processes that have it
/// open accept from it too: each connection goes to one of them.
#[allow(unsafe_code)]
pub fn inherited(descriptor: i32) -> Result<TcpListener, InheritedSocketError> {
    // A number that is not open would be given to whatever is opened next.
    // SAFETY: the call takes numbers alone, and tells whether this one is open.
    if descriptor < FIRST_INHERITABLE || unsafe { libc::fcntl(descriptor, libc::F_GETFD) } < 0 {
        return Err(InheritedSocketError::NotOpen);
    }
    // SAFETY: it is open, nothing of this program has opened it, and who started the program has given it away.
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
