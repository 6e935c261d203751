//! Errors of a voter.
use crate::MAX_MESSAGE_BYTES;
use thiserror::Error;

/// A voter could not be created.
#[derive(Debug, Error)]
pub enum NodeError {
    /// The stored log or the configuration was rejected.
    #[error("raft: {0}")]
    Raft(#[from] raft::Error),
}

/// A message was rejected: nobody who follows the protocol sends it.
#[derive(Debug, Error)]
pub enum ReceiveError {
    /// It is longer than any message may be.
    #[error("a message of {length} bytes, {MAX_MESSAGE_BYTES} at most")]
    TooLong {
        /// Its length in bytes.
        length: usize,
    },
    /// It could not be decoded.
    #[error("a message that cannot be decoded: {0}")]
    Malformed(#[from] protobuf::ProtobufError),
    /// It does not fit the state of this voter.
    #[error("raft: {0}")]
    Raft(#[from] raft::Error),
}

/// A command was not accepted for the log.
#[derive(Debug, Error)]
pub enum ProposeError {
    /// It is empty or longer than a command may be.
    #[error("a command of {length} bytes, 1 to {max_length} allowed")]
    Length {
        /// Its length in bytes.
        length: usize,
        /// The longest command, in bytes.
        max_length: usize,
    },
    /// This voter is not the leader of the log.
    #[error("this voter is not the leader")]
    NotLeader,
    /// The log rejected it.
    #[error("raft: {0}")]
    Raft(#[from] raft::Error),
}
