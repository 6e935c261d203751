//! A voter of the replicated log.
use crate::error::{NodeError, ProposeError, ReceiveError};
use crate::storage::{encode_entry, encode_state, StoredLog};
use protobuf::Message as _;
use raft::eraftpb::{Entry, EntryType, Message};
use raft::storage::MemStorage;
use raft::{Config, RawNode, Ready, StateRole};

/// Maximum length of a message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// Maximum length of a command, in bytes.
const MAX_COMMAND_BYTES: usize = 1 << 12;
/// Interval between two heartbeats of the leader, in ticks.
const HEARTBEAT_INTERVAL_TICKS: usize = 3;
/// Minimum election timeout, in ticks: the time without a leader after which a voter starts an election.
pub const MIN_ELECTION_TIMEOUT_TICKS: usize = 12;
/// Maximum number of append messages in flight to one voter.
const MAX_MESSAGES_IN_FLIGHT: usize = 64;

/// A message to another voter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// The identifier of the recipient.
    pub to: u64,
    /// The encoded message.
    pub bytes: Vec<u8>,
}

impl OutgoingMessage {
    fn encode_all(messages: impl IntoIterator<Item = Message>) -> Vec<OutgoingMessage> {
        let encode = |message: Message| {
            let bytes = message.write_to_bytes().ok()?;
            Some(OutgoingMessage {
                to: message.to,
                bytes,
            })
        };
        messages.into_iter().filter_map(encode).collect()
    }
}

/// Work for the caller. [`Step::send`] may be sent immediately. [`Step::write`] must be appended to the file and synced
/// before the call of [`Node::persisted`], which returns the messages that depend on its durability: votes, and responses
/// to a leader.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Step {
    /// Messages that do not depend on the durability of [`Step::write`].
    pub send: Vec<OutgoingMessage>,
    /// Encoded records to append to the file.
    pub write: Vec<u8>,
    /// Newly committed commands, in the same order on all voters.
    pub committed: Vec<Vec<u8>>,
}

/// A step whose records are not durable yet, with the messages that depend on them.
struct PendingWrite {
    ready_number: u64,
    messages: Vec<Message>,
}

/// A voter of the replicated log.
pub struct Node {
    raw: RawNode<MemStorage>,
    pending_write: Option<PendingWrite>,
}

fn decode_commands(entries: Vec<Entry>) -> Vec<Vec<u8>> {
    let is_command =
        |entry: &Entry| entry.get_entry_type() == EntryType::EntryNormal && !entry.data.is_empty();
    entries
        .into_iter()
        .filter(is_command)
        .map(|entry| entry.data.to_vec())
        .collect()
}

fn raft_config(id: u64, election_timeout: usize) -> Config {
    let election_timeout = election_timeout.clamp(
        MIN_ELECTION_TIMEOUT_TICKS,
        2 * MIN_ELECTION_TIMEOUT_TICKS - 1,
    );
    Config {
        id,
        election_tick: MIN_ELECTION_TIMEOUT_TICKS,
        heartbeat_tick: HEARTBEAT_INTERVAL_TICKS,
        min_election_tick: election_timeout,
        max_election_tick: election_timeout + 1,
        max_size_per_msg: MAX_MESSAGE_BYTES as u64 / 4,
        max_inflight_msgs: MAX_MESSAGES_IN_FLIGHT,
        check_quorum: true,
        pre_vote: true,
        ..Config::default()
    }
}

fn memory_storage(voters: &[u64], log: StoredLog) -> Result<MemStorage, raft::Error> {
    let storage = MemStorage::new_with_conf_state((voters.to_vec(), Vec::new()));
    let mut core = storage.wl();
    core.append(&log.entries)?;
    if !log.entries.is_empty() || log.state.term > 0 {
        core.set_hardstate(log.state);
    }
    drop(core);
    Ok(storage)
}

impl Node {
    /// Starts a voter from its stored log. Its [`Step`]s return all committed commands again. `election_timeout` is in
    /// ticks, from [`MIN_ELECTION_TIMEOUT_TICKS`] up to twice that, and must differ between voters to avoid simultaneous
    /// elections.
    pub fn new(
        id: u64,
        voters: &[u64],
        log: StoredLog,
        election_timeout: usize,
    ) -> Result<Self, NodeError> {
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let raw = RawNode::new(
            &raft_config(id, election_timeout),
            memory_storage(voters, log)?,
            &logger,
        )?;
        Ok(Node {
            raw,
            pending_write: None,
        })
    }

    /// Advances the logical clock by one tick.
    pub fn tick(&mut self) {
        self.raw.tick();
    }

    /// Processes a message from another voter.
    pub fn receive(&mut self, bytes: &[u8]) -> Result<(), ReceiveError> {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(ReceiveError::TooLong {
                length: bytes.len(),
            });
        }
        let message = Message::parse_from_bytes(bytes)?;
        self.raw.step(message)?;
        Ok(())
    }

    /// Whether this voter is the leader.
    pub fn is_leader(&self) -> bool {
        self.raw.raft.state == StateRole::Leader
    }

    /// Returns the leader known to this voter; `None` if there is none.
    pub fn leader(&self) -> Option<u64> {
        Some(self.raw.raft.leader_id).filter(|leader| *leader != raft::INVALID_ID)
    }

    /// Proposes a command. It is committed when a [`Step`] returns it, and may be lost before if the leader changes.
    pub fn propose(&mut self, command: &[u8]) -> Result<(), ProposeError> {
        let length = command.len();
        if !(1..=MAX_COMMAND_BYTES).contains(&length) {
            return Err(ProposeError::Length {
                length,
                max_length: MAX_COMMAND_BYTES,
            });
        }
        if !self.is_leader() {
            return Err(ProposeError::NotLeader);
        }
        self.raw.propose(Vec::new(), command.to_vec())?;
        Ok(())
    }

    /// Returns the next work for the caller; `None` if there is none, or if [`Node::persisted`] was not called yet for the
    /// last step.
    pub fn step(&mut self) -> Option<Step> {
        if self.pending_write.is_some() || !self.raw.has_ready() {
            return None;
        }
        let mut ready = self.raw.ready();
        let send = OutgoingMessage::encode_all(ready.take_messages());
        let committed = decode_commands(ready.take_committed_entries());
        let write = self.store(&mut ready)?;
        let pending_write = PendingWrite {
            ready_number: ready.number(),
            messages: ready.take_persisted_messages(),
        };
        // The voter continues to process messages while the records are written.
        self.raw.advance_append_async(ready);
        self.raw.advance_apply();
        self.pending_write = Some(pending_write);
        Some(Step {
            send,
            write,
            committed,
        })
    }

    /// Appends new entries to the in-memory log, and returns the records for the file.
    fn store(&mut self, ready: &mut Ready) -> Option<Vec<u8>> {
        let entries = ready.take_entries();
        let mut records: Vec<u8> = entries.iter().flat_map(encode_entry).collect();
        let storage = self.raw.store().clone();
        let mut core = storage.wl();
        // Raft guarantees that the entries are contiguous, so the append cannot fail.
        core.append(&entries).ok()?;
        if let Some(state) = ready.hs() {
            records.extend(encode_state(state));
            core.set_hardstate(state.clone());
        }
        Some(records)
    }

    /// Records that the last step is durable, and returns the messages that depend on it. The next step contains the
    /// commands committed as a result.
    pub fn persisted(&mut self) -> Vec<OutgoingMessage> {
        let Some(pending) = self.pending_write.take() else {
            return Vec::new();
        };
        self.raw.on_persist_ready(pending.ready_number);
        OutgoingMessage::encode_all(pending.messages)
    }
}
