use super::*;

fn os_error(code: i32) -> io::Error {
    io::Error::from_raw_os_error(code)
}

#[test]
fn accept_errors_are_classified() {
    let connection_errors = [
        libc::ECONNABORTED,
        libc::EPROTO,
        libc::ENETDOWN,
        libc::EPERM,
        libc::ETIMEDOUT,
        libc::ENONET,
    ];
    for code in connection_errors {
        assert_eq!(
            AcceptFault::of(&os_error(code)),
            AcceptFault::Connection,
            "{code}"
        );
    }
    for code in [libc::EMFILE, libc::ENFILE] {
        assert_eq!(
            AcceptFault::of(&os_error(code)),
            AcceptFault::Descriptors,
            "{code}"
        );
    }
    for code in [libc::ENOBUFS, libc::ENOMEM, libc::EINVAL] {
        assert_eq!(
            AcceptFault::of(&os_error(code)),
            AcceptFault::Other,
            "{code}"
        );
    }
}

#[test]
fn refused_connections_and_wrong_addresses_are_neither_local_failures_nor_shortages() {
    for code in [
        libc::ECONNREFUSED,
        libc::EHOSTUNREACH,
        libc::ETIMEDOUT,
        libc::EACCES,
        libc::EINVAL,
    ] {
        assert!(!is_local(&os_error(code)), "{code}");
    }
    for code in [libc::EADDRNOTAVAIL, libc::EADDRINUSE, libc::EACCES] {
        assert!(!is_shortage(&os_error(code)), "{code}");
    }
    assert!(is_local(&os_error(libc::EADDRNOTAVAIL)) && is_shortage(&os_error(libc::ENOBUFS)));
}
