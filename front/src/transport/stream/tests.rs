use super::*;
use crate::transport::listen;

// Guards against buffers that are shrunk in place: what is left of a large block fits no other large message.
#[test]
fn consuming_all_input_releases_its_buffer() {
    let listener = listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let mut peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let socket = listener.accept().unwrap().0;
    let mut stream: Stream<()> = Stream::new(&Reactor::new().unwrap(), socket, 1, false).unwrap();
    peer.write_all(&[7; 100_000]).unwrap();
    while stream.input().len() < 100_000 {
        stream.read_input(&mut [0; 16_384]).unwrap();
    }
    stream.consume(99_999);
    assert_eq!(stream.input(), [7]);
    stream.consume(1);
    assert_eq!(stream.input.capacity(), 0, "no part of it is retained");
    // The buffer of a short message is retained, so that a connection does not allocate one for each.
    peer.write_all(&[7; 100]).unwrap();
    while stream.input().len() < 100 {
        stream.read_input(&mut [0; 16_384]).unwrap();
    }
    stream.consume(100);
    assert!((100..=MAX_IDLE_CAPACITY_BYTES).contains(&stream.input.capacity()));
}
