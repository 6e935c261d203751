//! Errors in reading and writing frames.
use super::frame::{COUNT_BYTES, HEADER_BYTES};
use std::io;
use thiserror::Error;

/// Error in reading or writing a frame.
#[derive(Debug, Error)]
pub enum WireError {
    #[error("cannot read a frame from standard input: {0}")]
    Read(#[source] io::Error),
    #[error("cannot write replies to standard output: {0}")]
    Write(#[source] io::Error),
    #[error(
        "input ended within a frame header: got {received} of {} bytes",
        HEADER_BYTES
    )]
    HeaderTruncated { received: usize },
    /// The length of a frame does not include its record count.
    #[error(
        "frame length {length} is below the {} bytes of the record count",
        COUNT_BYTES
    )]
    FrameTooShort { length: usize },
    #[error("input ended within a frame: got {received} of {length} bytes")]
    FrameTruncated { received: usize, length: usize },
    /// A frame ends within a record.
    #[error("frame ended within a record: field of {needed} bytes, {remaining} left")]
    RecordTruncated { needed: usize, remaining: usize },
    /// A frame has more bytes than its records.
    #[error("frame has {0} bytes after its last record")]
    TrailingBytes(usize),
    #[error("unknown record code {0}")]
    UnknownRecord(u16),
    #[error("unknown status code {0}")]
    UnknownStatus(u16),
    #[error("unknown endpoint list mode {0}")]
    UnknownListMode(u8),
    #[error("unknown endpoint state {0} in an endpoint list")]
    UnknownEndpointState(u8),
    /// The replies to a frame exceed the length field of a frame.
    #[error("replies to a frame have {0} bytes, more than {max}", max = u32::MAX)]
    ReplyTooLong(usize),
}
