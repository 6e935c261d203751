use super::*;

fn fault(code: i32) -> io::Error {
    io::Error::from_raw_os_error(code)
}

#[test]
fn errors_of_accept_are_told_apart() {
    let of_one = [
        libc::ECONNABORTED,
        libc::EPROTO,
        libc::ENETDOWN,
        libc::EPERM,
        libc::ETIMEDOUT,
        libc::ENONET,
    ];
    for code in of_one {
        assert_eq!(
            AcceptFault::of(&fault(code)),
            AcceptFault::Connection,
            "{code}"
        );
    }
    for code in [libc::EMFILE, libc::ENFILE] {
        assert_eq!(
            AcceptFault::of(&fault(code)),
            AcceptFault::Descriptors,
            "{code}"
        );
    }
    for code in [libc::ENOBUFS, libc::ENOMEM, libc::EINVAL] {
        assert_eq!(AcceptFault::of(&fault(code)), AcceptFault::Other, "{code}");
    }
}

#[test]
fn a_refused_connection_and_a_wrong_address_are_no_faults_of_this_machine_that_pass() {
    for code in [
        libc::ECONNREFUSED,
        libc::EHOSTUNREACH,
        libc::ETIMEDOUT,
        libc::EACCES,
        libc::EINVAL,
    ] {
        assert!(!is_local(&fault(code)), "{code}");
    }
    for code in [libc::EADDRNOTAVAIL, libc::EADDRINUSE, libc::EACCES] {
        assert!(!is_shortage(&fault(code)), "{code}");
    }
    assert!(is_local(&fault(libc::EADDRNOTAVAIL)) && is_shortage(&fault(libc::ENOBUFS)));
}
