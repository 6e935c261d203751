use super::*;
use crate::transport::Reactor;
use std::cell::Cell;
use std::os::fd::{AsRawFd, BorrowedFd, RawFd};

const KEY: usize = 7;

/// A listener whose next `failures` calls to `accept` fail with `errno`.
struct Failing {
    listener: TcpListener,
    failures: Cell<usize>,
    errno: i32,
}

impl AsFd for Failing {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.listener.as_fd()
    }
}

impl AsRawFd for Failing {
    fn as_raw_fd(&self) -> RawFd {
        self.listener.as_raw_fd()
    }
}

impl Accept for Failing {
    type Connection = TcpStream;
    fn accept_one(&self) -> io::Result<TcpStream> {
        if self.failures.get() == 0 {
            return self.listener.accept_one();
        }
        self.failures.set(self.failures.get() - 1);
        Err(io::Error::from_raw_os_error(self.errno))
    }
}

fn failing(
    reactor: &Reactor,
    failures: usize,
    errno: i32,
) -> (BackoffListener<Failing>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let failures = Cell::new(failures);
    let failing = Failing {
        listener,
        failures,
        errno,
    };
    let registered = reactor.watch(failing, KEY, false).unwrap();
    (BackoffListener::new(registered), client)
}

fn is_reported(reactor: &mut Reactor) -> bool {
    let events = reactor.wait(0, Some(20_000)).unwrap();
    events.iter().any(|event| event.key == KEY)
}

#[test]
fn after_a_shortage_the_listener_is_not_reported_until_its_pause_ends() {
    for errno in [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM] {
        let mut reactor = Reactor::new().unwrap();
        let (mut listener, _client) = failing(&reactor, 1, errno);
        assert!(is_reported(&mut reactor));
        assert!(listener.accept(100).is_none());
        assert!(
            !is_reported(&mut reactor),
            "the listener is reported while it pauses"
        );
        let resumes_at = listener.resumes_at().unwrap();
        assert_eq!(resumes_at, 100 + RETRY_INTERVAL);
        listener.set_watched(true);
        listener.resume_if_due(resumes_at - 1);
        assert!(!is_reported(&mut reactor));
        listener.resume_if_due(resumes_at);
        assert!(is_reported(&mut reactor));
        assert!(listener.accept(resumes_at).is_some() && listener.resumes_at().is_none());
    }
}

#[test]
fn aborted_connections_cause_a_pause_only_above_a_limit() {
    let mut reactor = Reactor::new().unwrap();
    let (mut listener, _client) = failing(&reactor, MAX_FAILURES - 1, libc::ECONNABORTED);
    assert!(listener.accept(100).is_some() && listener.resumes_at().is_none());
    assert!(listener.accept(100).is_none() && listener.resumes_at().is_none());

    let (mut listener, _client) = failing(&reactor, MAX_FAILURES, libc::ECONNABORTED);
    assert!(listener.accept(100).is_none() && listener.resumes_at().is_some());
    assert!(!is_reported(&mut reactor));
}
