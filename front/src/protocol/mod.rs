//! Codecs of the wires. No input or output here: bytes in, messages out, and back.
pub mod client;
pub mod feed;
pub mod follow;
pub mod known;
pub mod member;
pub mod ops;
pub mod purge;
pub mod shared;
pub mod snapshot;

/// Why a stream of bytes can't be read any further.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unreadable(pub &'static str);

/// Takes fields off the front of some bytes. All numbers are big-endian.
#[derive(Clone, Copy, Debug)]
struct Cursor<'a>(&'a [u8]);

impl<'a> Cursor<'a> {
    fn bytes(&mut self, n: usize) -> Option<&'a [u8]> {
        let (field, rest) = self.0.split_at_checked(n)?;
        self.0 = rest;
        Some(field)
    }

    fn array<const N: usize>(&mut self) -> Option<[u8; N]> {
        self.bytes(N)?.try_into().ok()
    }

    fn u8(&mut self) -> Option<u8> {
        self.array::<1>().map(|[b]| b)
    }

    fn u16(&mut self) -> Option<u16> {
        self.array().map(u16::from_be_bytes)
    }

    fn u32(&mut self) -> Option<u32> {
        self.array().map(u32::from_be_bytes)
    }

    fn u64(&mut self) -> Option<u64> {
        self.array().map(u64::from_be_bytes)
    }
}

/// The 16 hex digits of an id.
fn hex16(text: &str) -> Option<u64> {
    let digits = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    digits.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn whatever_the_bytes_are_no_codec_panics_or_reads_past_them() {
        let request =
            [&[0, 0, 0, 30, 10, 0, 0, 0, 7, 2, 4][..], b"verb", &[0, 1], b"v", &[3], b"txn", &[0, 2], b"ab"];
        let answer = b"*4\r\n$2\r\nab\r\n$3\r\nHIT\r\n$11\r\nmeter=a:1;b\r\n$1\r\nx\r\n".to_vec();
        let event = [&[0, 0, 0, 36, 0, 0, 0, 0, 0, 0, 0, 3, 2][..], &[1; 27]].concat();
        let mut dice = 7u64;
        for round in 0..60_000 {
            let mut bytes = [&request.concat(), &answer, &event][round % 3].clone();
            for _ in 0..round % 5 {
                dice = dice.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
                let at = (dice >> 33) as usize % bytes.len();
                bytes[at] = (dice >> 20) as u8;
            }
            bytes.truncate(bytes.len() - round % 7);
            if let Ok(Some((message, used))) = client::decode(&bytes) {
                assert!(used <= bytes.len());
                if let client::Message::Request(_, payload) = message {
                    let _ = client::ask(payload);
                }
            }
            assert!(member::decode(&bytes).ok().flatten().is_none_or(|found| found.2 <= bytes.len()));
            assert!(feed::decode(&bytes).ok().flatten().is_none_or(|found| found.2 <= bytes.len()));
        }
    }
}
