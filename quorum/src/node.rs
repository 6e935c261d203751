//! One voter.
use crate::storage::{self, Found};
use protobuf::Message as _;
use raft::eraftpb::{EntryType, Message};
use raft::storage::MemStorage;
use raft::{Config, RawNode, StateRole};

/// Bytes of one message at most, and of one command.
pub const MESSAGE_MOST: usize = 1 << 20;
const COMMAND_MOST: usize = 1 << 12;
/// Ticks between two heartbeats.
const HEARTBEAT: usize = 3;
/// Ticks without a leader after which a voter may ask for votes: from so many on.
pub const ELECTION: usize = 12;

/// A message to another voter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sent {
    /// To whom.
    pub to: u64,
    /// As it crosses the wire.
    pub bytes: Vec<u8>,
}

/// What is to be done, in this order: `now` may be sent at once. `write` is added to the file and synced. Only then is
/// [`Node::written`] called, which gives out what rests on it: votes and answers to a leader.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Step {
    /// Rests on nothing that is not durable yet.
    pub now: Vec<Sent>,
    /// To be synced.
    pub write: Vec<u8>,
    /// Commands that are agreed on, in order: all voters come to the same.
    pub agreed: Vec<Vec<u8>>,
}

/// A voter.
pub struct Node {
    raw: RawNode<MemStorage>,
    /// Given out by [`Node::step`] and not written yet.
    open: Option<(u64, Vec<Message>)>,
}

fn sent(messages: impl IntoIterator<Item = Message>) -> Vec<Sent> {
    let one = |m: Message| m.write_to_bytes().ok().map(|bytes| Sent { to: m.to, bytes });
    messages.into_iter().filter_map(one).collect()
}

fn commands(entries: Vec<raft::eraftpb::Entry>) -> Vec<Vec<u8>> {
    let normal =
        |e: &raft::eraftpb::Entry| e.get_entry_type() == EntryType::EntryNormal && !e.data.is_empty();
    entries.into_iter().filter(normal).map(|e| e.data.to_vec()).collect()
}

impl Node {
    /// A voter with what it has on its disk. `patience` are ticks, from [`ELECTION`] up to twice that, of each voter's own: voters
    /// in step would ask for votes at the same moment. All that was agreed on comes again.
    pub fn new(id: u64, voters: &[u64], found: Found, patience: usize) -> Result<Self, String> {
        let storage = MemStorage::new_with_conf_state((voters.to_vec(), Vec::new()));
        {
            let mut core = storage.wl();
            core.append(&found.entries).map_err(|e| e.to_string())?;
            if !found.entries.is_empty() || found.state.term > 0 {
                core.set_hardstate(found.state);
            }
        }
        let patience = patience.clamp(ELECTION, 2 * ELECTION - 1);
        let config = Config {
            id,
            election_tick: ELECTION,
            heartbeat_tick: HEARTBEAT,
            min_election_tick: patience,
            max_election_tick: patience + 1,
            max_size_per_msg: MESSAGE_MOST as u64 / 4,
            max_inflight_msgs: 64,
            check_quorum: true,
            pre_vote: true,
            ..Config::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let raw = RawNode::new(&config, storage, &logger).map_err(|e| e.to_string())?;
        Ok(Node { raw, open: None })
    }

    /// A tick has passed.
    pub fn tick(&mut self) {
        self.raw.tick();
    }

    /// A message has come. An error: nobody who follows the protocol sends this.
    pub fn hear(&mut self, bytes: &[u8]) -> Result<(), String> {
        if bytes.len() > MESSAGE_MOST {
            return Err("a message that is too long".into());
        }
        let message = Message::parse_from_bytes(bytes).map_err(|e| e.to_string())?;
        self.raw.step(message).map_err(|e| e.to_string())
    }

    /// Whether the log is led here.
    pub fn leads(&self) -> bool {
        self.raw.raft.state == StateRole::Leader
    }

    /// Who leads, as far as this voter knows; 0: nobody.
    pub fn leader(&self) -> u64 {
        self.raw.raft.leader_id
    }

    /// Puts a command into the log. It may be lost with the leader: it is agreed on once it comes out of a [`Step`].
    pub fn propose(&mut self, command: &[u8]) -> Result<(), String> {
        if command.is_empty() || command.len() > COMMAND_MOST {
            return Err("a command that is empty or too long".into());
        }
        if !self.leads() {
            return Err("the log is not led here".into());
        }
        self.raw.propose(Vec::new(), command.to_vec()).map_err(|e| e.to_string())
    }

    /// What is to be done. `None`: nothing, or what was given out last is not written yet.
    pub fn step(&mut self) -> Option<Step> {
        if self.open.is_some() || !self.raw.has_ready() {
            return None;
        }
        let mut ready = self.raw.ready();
        let now = sent(ready.take_messages());
        let agreed = commands(ready.take_committed_entries());
        let entries = ready.take_entries();
        let mut write: Vec<u8> = entries.iter().flat_map(storage::entry).collect();
        let storage = self.raw.store().clone();
        let mut core = storage.wl();
        // Its own entries fit behind each other: raft says so.
        core.append(&entries).ok()?;
        if let Some(state) = ready.hs() {
            write.extend(storage::state(state));
            core.set_hardstate(state.clone());
        }
        drop(core);
        let after = ready.take_persisted_messages();
        // Words that come while the disk is busy go on into the log behind what is being written.
        let number = ready.number();
        self.raw.advance_append_async(ready);
        self.raw.advance_apply();
        self.open = Some((number, after));
        Some(Step { now, write, agreed })
    }

    /// What [`Step::write`] said is durable: what rests on it may be sent. What is agreed on by it comes with the next step.
    pub fn written(&mut self) -> Vec<Sent> {
        let Some((number, after)) = self.open.take() else { return Vec::new() };
        self.raw.on_persist_ready(number);
        sent(after)
    }
}
