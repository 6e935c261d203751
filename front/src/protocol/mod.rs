//! Codecs of the wires. No input or output here: bytes in, messages out, and back.
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
mod tests;
