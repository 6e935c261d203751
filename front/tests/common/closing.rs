//! Closes connections so that the front has received the close when the call returns.
use super::WAIT_TIMEOUT;
use std::collections::HashSet;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// State of an established connection in `/proc/net/tcp`.
const ESTABLISHED: &str = "01";
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Local and remote address of a socket, as `/proc/net/tcp` formats them.
type AddressPair = (String, String);

fn table_address(address: SocketAddr) -> String {
    let SocketAddr::V4(address) = address else {
        unreachable!()
    };
    let ip = u32::from_ne_bytes(address.ip().octets());
    format!("{ip:08X}:{:04X}", address.port())
}

/// The sockets of this machine whose peer has not closed the connection.
fn established_sockets() -> HashSet<AddressPair> {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let rows = table
        .lines()
        .skip(1)
        .map(|line| line.split_whitespace().collect::<Vec<_>>());
    rows.filter(|columns| columns[3] == ESTABLISHED)
        .map(|columns| (columns[1].to_string(), columns[2].to_string()))
        .collect()
}

/// Closes connections and waits until their peers have received that. A dropped socket is closed later if another test of this
/// process starts a program at that time: between fork and exec the child holds a copy of each descriptor.
pub fn close_all(connections: impl IntoIterator<Item = TcpStream>) {
    let peer_sockets: Vec<AddressPair> = connections
        .into_iter()
        .filter_map(|connection| {
            let peer = connection.peer_addr().ok()?;
            let own = connection.local_addr().ok()?;
            Some((table_address(peer), table_address(own)))
        })
        .collect();
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        let established = established_sockets();
        let is_open = |socket: &AddressPair| established.contains(socket);
        if !peer_sockets.iter().any(is_open) {
            return;
        }
        assert!(Instant::now() < deadline, "a close did not reach its peer");
        std::thread::sleep(POLL_INTERVAL);
    }
}
