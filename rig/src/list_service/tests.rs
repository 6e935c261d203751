use super::*;

#[test]
fn service_rebinds_its_port_while_another_socket_uses_the_port_number() {
    let service = ListService::new(&History::default(), ServiceMode::Serve);
    service.set(ServiceMode::Down);
    let until = Instant::now() + crate::WAIT_TIMEOUT / 6;
    while TcpStream::connect(service.address).is_ok() {
        assert!(
            Instant::now() < until,
            "the service still accepts connections"
        );
    }
    // A listener elsewhere, to which a socket with the service's port number connects.
    let other = TcpListener::bind("127.0.0.1:0").unwrap();
    let dials = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    let from: SocketAddr = ([127, 0, 0, 1], service.address.port()).into();
    dials.bind(&from.into()).unwrap();
    dials.connect(&other.local_addr().unwrap().into()).unwrap();
    service.set(ServiceMode::Serve);
    while TcpStream::connect(service.address).is_err() {
        assert!(
            Instant::now() < until,
            "the service did not bind its port again"
        );
    }
}
