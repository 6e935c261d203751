//! What the stages speak of.
use cranesill::api::{EndpointId, FillNote, Micros, RequestId, Timestamp};
use std::rc::Rc;

/// The id of a request: 16 hex digits, passed on as they came.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Txn([u8; 16]);

impl MemberReply {
    /// Whether it serves from a copy that it does not name, as no member's good answer does.
    pub fn nameless(&self) -> bool {
        matches!(self.word, Word::Hit | Word::Valid) && !(self.tag.is_some() && self.born.is_some())
    }
}

impl Txn {
    /// From the digits.
    pub fn new(text: &str) -> Option<Self> {
        text.as_bytes().try_into().ok().map(Txn)
    }

    /// The digits.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

/// An object: its digits as they came, and the number that they are.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    pub text: Rc<str>,
    pub id: u64,
}

/// A client's request.
#[derive(Clone, Debug)]
pub struct Ask {
    pub class: String,
    pub txn: Txn,
    /// How long the client waits.
    pub limit: Micros,
    pub item: Option<Item>,
    pub part: u32,
    pub group: u32,
    /// Size of the part in KB, as the decisions count it; 0 where the client does not tell.
    pub size_kb: f64,
    /// The tag of the copy that the client holds.
    pub have: Option<Rc<str>>,
    /// The key by which nodes know repeats of a request, where its class has one.
    pub key: Option<Rc<str>>,
    pub body: Rc<[u8]>,
}

/// Who waits for an answer: a connection and a stream on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ReplyTo {
    pub client: usize,
    pub stream: u32,
}

/// The final answer of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The bytes.
    Served(Rc<[u8]>),
    /// The copy that the client holds is the one.
    Same,
    /// Trying again does no harm, after this span.
    Refused(Micros),
    /// Nothing is promised.
    Failed,
}

/// Final answers of a class, as operators are told of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests served.
    pub passed: u64,
    /// Requests refused.
    pub dropped: u64,
    /// Requests failed.
    pub bad_gateway: u64,
    /// Requests of which nobody waited for the answer any more.
    pub left: u64,
}

/// One attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId {
    pub request: RequestId,
    pub number: u16,
}

/// How a miss is filled.
#[derive(Clone, Copy, Debug)]
pub struct Source {
    /// Where from; `None`: it is not.
    pub source: Option<EndpointId>,
    pub rank: u8,
    pub oldest: Micros,
    pub join: bool,
    pub only_held: bool,
    pub renew: bool,
}

/// What a member is asked.
#[derive(Clone, Debug)]
pub struct Fetch {
    pub txn: Txn,
    pub class: Rc<str>,
    pub item: Option<Item>,
    pub part: u32,
    /// When the front stops waiting.
    pub deadline: Timestamp,
    /// A repeat is begun to be written up to then: nodes forget what they would know it by.
    pub latest: Timestamp,
    pub fill: Option<Source>,
    pub seen: Option<Rc<str>>,
    /// Passed on as it came.
    pub key: Option<Rc<str>>,
    /// It runs at the origin and leaves no copy.
    pub write: bool,
    pub body: Rc<[u8]>,
}

/// What a member's answer says first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Word {
    Hit,
    Valid,
    None,
    Shed,
    Fault,
    Late,
    /// Nothing that a fetch is answered with.
    #[default]
    Other,
}

/// The answer of a member.
#[derive(Clone, Debug, Default)]
pub struct MemberReply {
    pub word: Word,
    pub body: Rc<[u8]>,
    pub note: FillNote,
    pub waited: Micros,
    /// The copy's tag, as it names it.
    pub tag: Option<Box<str>>,
    /// When the origin gave the copy out.
    /// Unix milliseconds.
    pub born: Option<u64>,
    /// Tags of the object, between semicolons, where the member names them (`docs/protocol.md`).
    pub tags: Option<Box<str>>,
    /// Its load report: names and figures.
    pub meter: Vec<(String, f32)>,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub enum End {
    /// With an answer.
    Reply(MemberReply),
    /// It was never written whole: no connection, or it broke before; along with another there or not.
    Unsent { along: bool },
    /// There was no connection to put it on: that says nothing of the member.
    Unplaced,
    /// The connection broke after it was written whole.
    Broken { along: bool },
    /// It was called off.
    CalledOff,
    /// Its time was up.
    Expired,
}

/// What the stages want to be woken for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Wake {
    /// A timer of the decisions.
    Timer(u64),
    /// The time of an attempt is up.
    Attempt(AttemptId),
    /// The client stops waiting.
    Request(RequestId),
}

/// What the stages want to be done.
#[derive(Clone, Debug)]
pub enum Command {
    /// Send an attempt.
    Send(AttemptId, EndpointId, Fetch),
    /// Give an attempt up that was sent.
    Abort(AttemptId),
    /// Give a client its final answer.
    Answer(ReplyTo, Answer),
    /// Call `wake` at this moment.
    Wake(Timestamp, Wake),
    /// A member served a copy that is older than it was asked for.
    Lied(EndpointId),
    /// Write a line to the log.
    Log(String),
}

/// Where news of members and purges come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The list service tells it now.
    Service,
    /// The configuration knew it.
    Known,
    /// It was kept on disk, or another front held it: by a clock that nobody compared with this one.
    Kept,
}
