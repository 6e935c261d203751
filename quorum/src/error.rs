//! Errors of the replicated log.
use crate::MAX_MESSAGE_BYTES;
use thiserror::Error;

/// The error for a voter that could not be created.
#[derive(Debug, Error)]
pub enum NodeError {
    /// Raft rejected the stored log or the configuration.
    #[error("voter could not be created: {0}")]
    Raft(#[from] raft::Error),
}

/// The error for a rejected message, which violates the protocol.
#[derive(Debug, Error)]
pub enum ReceiveError {
    /// The message is longer than [`MAX_MESSAGE_BYTES`].
    #[error("message of {length} bytes exceeds the limit of {MAX_MESSAGE_BYTES} bytes")]
    TooLong {
        /// The length of the message, in bytes.
        length: usize,
    },
    /// The message could not be decoded.
    #[error("message cannot be decoded: {0}")]
    Malformed(#[from] protobuf::ProtobufError),
    /// The message is invalid in the current state of the voter.
    #[error("message was rejected: {0}")]
    Raft(#[from] raft::Error),
}

/// The error for a command that was not proposed.
#[derive(Debug, Error)]
pub enum ProposeError {
    /// The command is empty or too long.
    #[error("command of {length} bytes is outside the allowed range of 1 to {max_length} bytes")]
    Length {
        /// The length of the command, in bytes.
        length: usize,
        /// The maximum length of a command, in bytes.
        max_length: usize,
    },
    /// This voter is not the leader.
    #[error("this voter is not the leader")]
    NotLeader,
    /// Raft rejected the proposal.
    #[error("proposal was rejected: {0}")]
    Raft(#[from] raft::Error),
}
