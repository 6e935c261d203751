//! What can go wrong on the wire.
use std::io;
use thiserror::Error;

/// Why the adapter stops.
#[derive(Debug, Error)]
pub enum WireError {
    /// The input failed.
    #[error("cannot read: {0}")]
    Read(#[source] io::Error),
    /// The output failed.
    #[error("cannot write: {0}")]
    Write(#[source] io::Error),
    /// The input ended within the header of a frame.
    #[error("frame header cut off after {received} bytes")]
    HeaderTruncated { received: usize },
    /// The length of a frame leaves no space for its record count.
    #[error("frame shorter than its record count")]
    FrameTooShort,
    /// The input ended within a frame.
    #[error("frame cut off: {received} of {length} bytes")]
    FrameTruncated { received: usize, length: usize },
    /// A frame ends within a record.
    #[error("record cut off")]
    RecordTruncated,
    /// A frame goes on after its last record.
    #[error("{0} bytes after the last record")]
    TrailingBytes(usize),
    /// A record of unknown kind.
    #[error("unknown record code {0}")]
    UnknownRecord(u16),
    /// An outcome of unknown kind.
    #[error("unknown outcome {0}")]
    UnknownStatus(u16),
    /// An endpoint list of unknown kind.
    #[error("unknown list mode {0}")]
    UnknownListMode(u8),
    /// A list entry in an unknown state.
    #[error("unknown list state {0}")]
    UnknownEndpointState(u8),
    /// The replies of a frame are longer than a frame can be.
    #[error("reply too long")]
    ReplyTooLong,
}
