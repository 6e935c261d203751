//! Frames: a timestamp and records as input, the encoded replies as output.
use super::decode::Reader;
use super::WireError;
use cranesill::api::Timestamp;
use std::io::{ErrorKind, Read, Write};

/// Bytes of the timestamp, the length and the record count.
pub(super) const HEADER_BYTES: usize = 16;
/// Bytes of the record count, which is included in the length of a frame.
pub(super) const COUNT_BYTES: usize = 4;

/// An input frame.
#[derive(Debug)]
pub struct Frame {
    /// Time on the simulator's clock.
    pub now: Timestamp,
    pub count: u32,
    /// The encoded records.
    pub body: Vec<u8>,
}

/// Reads one frame; `None` if the input ended before it.
pub fn read_frame(input: &mut impl Read) -> Result<Option<Frame>, WireError> {
    let Some(header) = read_header(input)? else {
        return Ok(None);
    };
    let mut fields = Reader::new(&header);
    let now = fields.u64()?;
    let length = fields.u32()? as usize;
    let count = fields.u32()?;
    let length = length
        .checked_sub(COUNT_BYTES)
        .ok_or(WireError::FrameTooShort { length })?;
    let mut body = Vec::new();
    input
        .take(length as u64)
        .read_to_end(&mut body)
        .map_err(WireError::Read)?;
    if body.len() < length {
        let received = body.len();
        return Err(WireError::FrameTruncated { received, length });
    }
    Ok(Some(Frame { now, count, body }))
}

fn read_header(input: &mut impl Read) -> Result<Option<[u8; HEADER_BYTES]>, WireError> {
    let mut header = [0u8; HEADER_BYTES];
    let mut received = 0;
    while received < header.len() {
        match input.read(&mut header[received..]) {
            Ok(0) if received == 0 => return Ok(None),
            Ok(0) => return Err(WireError::HeaderTruncated { received }),
            Ok(bytes) => received += bytes,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(WireError::Read(error)),
        }
    }
    Ok(Some(header))
}

/// Writes the replies to a frame.
pub fn write_frame(output: &mut impl Write, replies: &[u8]) -> Result<(), WireError> {
    let length =
        u32::try_from(replies.len()).map_err(|_| WireError::ReplyTooLong(replies.len()))?;
    output
        .write_all(&length.to_le_bytes())
        .and_then(|()| output.write_all(replies))
        .and_then(|()| output.flush())
        .map_err(WireError::Write)
}
