use super::*;

#[test]
fn decoders_neither_panic_on_corrupted_input_nor_consume_more_than_it() {
    let request = [
        &[0, 0, 0, 30, 10, 0, 0, 0, 7, 2, 4][..],
        b"verb",
        &[0, 1],
        b"v",
        &[3],
        b"txn",
        &[0, 2],
        b"ab",
    ];
    let reply = b"*4\r\n$2\r\nab\r\n$3\r\nHIT\r\n$11\r\nmeter=a:1;b\r\n$1\r\nx\r\n".to_vec();
    let event = [&[0, 0, 0, 36, 0, 0, 0, 0, 0, 0, 0, 3, 2][..], &[1; 27]].concat();
    let mut rng = 7u64;
    for round in 0..60_000 {
        let mut bytes = [&request.concat(), &reply, &event][round % 3].clone();
        for _ in 0..round % 5 {
            rng = rng
                .wrapping_mul(6364136223846793005)
                .wrapping_add(1442695040888963407);
            let position = (rng >> 33) as usize % bytes.len();
            bytes[position] = (rng >> 20) as u8;
        }
        bytes.truncate(bytes.len() - round % 7);
        if let Ok(Some((message, used))) = client::decode(&bytes) {
            assert!(used <= bytes.len());
            if let client::Message::Request(_, payload) = message {
                let _ = client::decode_request(payload);
            }
        }
        assert!(cache_node::decode(&bytes)
            .ok()
            .flatten()
            .is_none_or(|decoded| decoded.length <= bytes.len()));
        assert!(discovery::decode(&bytes)
            .ok()
            .flatten()
            .is_none_or(|decoded| decoded.length <= bytes.len()));
    }
}
