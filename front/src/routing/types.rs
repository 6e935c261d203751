//! What the stages speak of.
use cranesill::api::{EndpointId, FillNote, Micros, RequestId, Timestamp};
use std::rc::Rc;

/// The id of a request: 16 hex digits, passed on as they came.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TransactionId([u8; 16]);

impl UpstreamReply {
    /// Whether it serves from a copy that it does not name, as no member's good answer does.
    pub fn lacks_identity(&self) -> bool {
        matches!(self.kind, ReplyKind::Hit | ReplyKind::NotModified)
            && !(self.tag.is_some() && self.created_at_ms.is_some())
    }
}

impl TransactionId {
    /// From the digits.
    pub fn new(text: &str) -> Option<Self> {
        text.as_bytes().try_into().ok().map(TransactionId)
    }

    /// The digits.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

/// An object: its digits as they came, and the number that they are.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObjectKey {
    pub text: Rc<str>,
    pub id: u64,
}

/// A client's request.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    pub class: String,
    pub transaction: TransactionId,
    /// How long the client waits.
    pub time_limit: Micros,
    pub object: Option<ObjectKey>,
    pub part: u32,
    pub group: u32,
    /// Size of the part in KB, as the decisions count it; 0 where the client does not tell.
    pub size_kb: f64,
    /// The tag of the copy that the client holds.
    pub cached_tag: Option<Rc<str>>,
    /// The key by which nodes know repeats of a request, where its class has one.
    pub idempotency_key: Option<Rc<str>>,
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
pub enum Response {
    /// The bytes.
    Served(Rc<[u8]>),
    /// The copy that the client holds is the one.
    NotModified,
    /// Trying again does no harm, after this span.
    Rejected(Micros),
    /// Nothing is promised.
    Failed,
}

/// Final answers of a class, as operators are told of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseCounts {
    /// Requests served.
    pub served: u64,
    /// Requests refused.
    pub rejected: u64,
    /// Requests failed.
    pub failed: u64,
    /// Requests of which nobody waited for the answer any more.
    pub cancelled: u64,
}

/// One attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId {
    pub request: RequestId,
    pub number: u16,
}

/// How a miss is filled.
#[derive(Clone, Copy, Debug)]
pub struct FillSource {
    /// Where from; `None`: it is not.
    pub source: Option<EndpointId>,
    pub rank: u8,
    pub max_age: Micros,
    pub join: bool,
    pub cached_only: bool,
    pub revalidate: bool,
}

/// What a member is asked.
#[derive(Clone, Debug)]
pub struct Fetch {
    pub transaction: TransactionId,
    pub class: Rc<str>,
    pub object: Option<ObjectKey>,
    pub part: u32,
    /// When the front stops waiting.
    pub deadline: Timestamp,
    /// A repeat is begun to be written up to then: nodes forget what they would know it by.
    pub write_by: Timestamp,
    pub fill: Option<FillSource>,
    pub cached_tag: Option<Rc<str>>,
    /// Passed on as it came.
    pub idempotency_key: Option<Rc<str>>,
    /// It runs at the origin and leaves no copy.
    pub write: bool,
    pub body: Rc<[u8]>,
}

/// What a member's answer says first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReplyKind {
    Hit,
    NotModified,
    Miss,
    Rejected,
    Fault,
    DeadlineExceeded,
    /// Nothing that a fetch is answered with.
    #[default]
    Other,
}

/// The answer of a member.
#[derive(Clone, Debug, Default)]
pub struct UpstreamReply {
    pub kind: ReplyKind,
    pub body: Rc<[u8]>,
    pub fill_note: FillNote,
    pub queueing_time: Micros,
    /// The copy's tag, as it names it.
    pub tag: Option<Box<str>>,
    /// When the origin gave the copy out.
    /// Unix milliseconds.
    pub created_at_ms: Option<u64>,
    /// Tags of the object, between semicolons, where the member names them (`docs/protocol.md`).
    pub tags: Option<Box<str>>,
    /// Its load report: names and figures.
    pub load_report: Vec<(String, f32)>,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub enum AttemptEnd {
    /// With an answer.
    Reply(UpstreamReply),
    /// It was never written whole: no connection, or it broke before; along with another there or not.
    Unsent { duplicate_failure: bool },
    /// There was no connection to put it on: that says nothing of the member.
    NoConnection,
    /// The connection broke after it was written whole.
    Broken { duplicate_failure: bool },
    /// It was called off.
    Cancelled,
    /// Its time was up.
    TimedOut,
}

/// What the stages want to be woken for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// A timer of the decisions.
    Policy(u64),
    /// The time of an attempt is up.
    AttemptTimeout(AttemptId),
    /// The client stops waiting.
    RequestDeadline(RequestId),
}

/// What the stages want to be done.
#[derive(Clone, Debug)]
pub enum Command {
    /// Send an attempt.
    Send(AttemptId, EndpointId, Fetch),
    /// Give an attempt up that was sent.
    Abort(AttemptId),
    /// Give a client its final answer.
    Respond(ReplyTo, Response),
    /// Call `wake` at this moment.
    SetTimer(Timestamp, Timer),
    /// A member served a copy that is older than it was asked for.
    StaleCopyServed(EndpointId),
    /// Write a line to the log.
    Log(String),
}

/// Where news of members and purges come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventSource {
    /// The list service tells it now.
    Live,
    /// The configuration knew it.
    Configuration,
    /// It was kept on disk, or another front held it: by a clock that nobody compared with this one.
    Stored,
}
