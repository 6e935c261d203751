//! Codecs for the wire protocols and for the files that the front writes. They convert between bytes and messages and do
//! no I/O.
pub mod admin;
pub mod bulk_strings;
pub mod cache_node;
pub mod client;
pub mod configured_events;
pub mod discovery;
pub mod follow;
pub mod handover;
pub mod purge;
pub mod snapshot;
pub mod stored_file;

/// Why received bytes cannot be decoded. The start of the next message is unknown after such an error, so the connection
/// has to be closed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct DecodeError(pub &'static str);

/// Reads consecutive fields from a byte slice. Numbers are big-endian.
#[derive(Clone, Copy, Debug)]
struct Cursor<'a>(&'a [u8]);

impl<'a> Cursor<'a> {
    fn bytes(&mut self, length: usize) -> Option<&'a [u8]> {
        let (field, rest) = self.0.split_at_checked(length)?;
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

/// Parses an id of exactly 16 hex digits.
fn hex16(text: &str) -> Option<u64> {
    let digits = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    digits.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

#[cfg(test)]
mod tests;
