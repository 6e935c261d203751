//! Types that the stages share with the protocols and the server.
use cranesill::api::{EndpointId, FillNote, Micros, RequestId, Status, Timestamp};
use std::rc::Rc;

/// The identifier that a client gives a request: 16 hex digits, forwarded as received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TransactionId([u8; 16]);

impl TransactionId {
    /// Makes an identifier from its 16 digits; `None` if the length differs.
    pub fn new(text: &str) -> Option<Self> {
        text.as_bytes().try_into().ok().map(TransactionId)
    }

    /// The digits.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

/// The key of an object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObjectKey {
    /// The hex digits as received: nodes get them in the same spelling.
    pub text: Rc<str>,
    /// The number that the digits stand for.
    pub id: u64,
}

/// One part of an object: the unit that caches store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ObjectPart {
    /// The object's number.
    pub object: u64,
    /// The part's number within the object.
    pub part: u32,
}

/// A request as a client sent it.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// The name of its request class.
    pub class: String,
    /// The client's identifier of the request.
    pub transaction: TransactionId,
    /// How long the client waits for the response.
    pub time_limit: Micros,
    /// The requested object; classes that run at the origin do without.
    pub object: Option<ObjectKey>,
    /// The requested part of the object.
    pub part: u32,
    /// The group that the object belongs to.
    pub group: u32,
    /// Size of the part in KB, as the decisions count it; 0 if the client does not state it.
    pub size_kb: f64,
    /// The tag of the copy that the client has cached.
    pub cached_tag: Option<Rc<str>>,
    /// The key by which nodes recognize retries of the request, where its class has one.
    pub idempotency_key: Option<Rc<str>>,
    /// The payload, forwarded as received.
    pub body: Rc<[u8]>,
}

impl ClientRequest {
    /// The requested part, if the request names an object.
    pub fn object_part(&self) -> Option<ObjectPart> {
        self.object.as_ref().map(|object| ObjectPart {
            object: object.id,
            part: self.part,
        })
    }
}

/// Where a response goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ReplyTo {
    /// The poller key of the client's connection.
    pub client: usize,
    /// The stream on that connection.
    pub stream: u32,
}

/// The final response to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// The content.
    Served(Rc<[u8]>),
    /// The client's cached copy is current.
    NotModified,
    /// The request did not run and may be retried after this duration.
    Rejected(Micros),
    /// The request failed and may have run.
    Failed,
}

/// Final responses of one request class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseCounts {
    /// Requests that were served.
    pub served: u64,
    /// Requests that were rejected.
    pub rejected: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Requests whose client disconnected before the response.
    pub cancelled: u64,
}

/// One attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// The number of the attempt, from 0 in the order sent.
    pub number: u16,
}

/// How a cache node fills a miss.
#[derive(Clone, Copy, Debug)]
pub struct FillSource {
    /// The endpoint that it fetches from; `None` if it does not fill.
    pub source: Option<EndpointId>,
    /// How long the copy is kept: 0 not at all, 1 to 3 with growing preference.
    pub rank: u8,
    /// The greatest age of a copy that may be served; 0: as the request class has it.
    pub max_age: Micros,
    /// Whether it joins a fill of the same part that is under way.
    pub coalesce: bool,
    /// Whether the source gives only what it has cached.
    pub cached_only: bool,
    /// Whether an ageing copy is served and fetched again behind.
    pub revalidate: bool,
}

/// A request to an upstream endpoint.
#[derive(Clone, Debug)]
pub struct Fetch {
    /// The client's identifier of the request.
    pub transaction: TransactionId,
    /// The name of the request class.
    pub class: Rc<str>,
    /// The requested object.
    pub object: Option<ObjectKey>,
    /// The requested part of the object.
    pub part: u32,
    /// When the front gives the attempt up.
    pub deadline: Timestamp,
    /// The latest time at which its first byte is written: after that, nodes no longer recognize a retry.
    pub write_by: Timestamp,
    /// How a miss is filled; `None`: the endpoint decides.
    pub fill: Option<FillSource>,
    /// The tag of the copy that the client has cached.
    pub cached_tag: Option<Rc<str>>,
    /// Forwarded as received.
    pub idempotency_key: Option<Rc<str>>,
    /// Whether it runs at the origin and leaves no copy.
    pub write: bool,
    /// The payload, forwarded as received.
    pub body: Rc<[u8]>,
}

/// The result that an upstream endpoint reports first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReplyKind {
    /// Content follows.
    Hit,
    /// The client's cached copy is current.
    NotModified,
    /// The endpoint has no copy and did not fill.
    Miss,
    /// The endpoint shed the request.
    Rejected,
    /// The endpoint failed.
    Fault,
    /// The deadline had passed when the endpoint came to it.
    DeadlineExceeded,
    /// Nothing that a fetch may be answered with.
    #[default]
    Other,
}

/// The reply of an upstream endpoint.
#[derive(Clone, Debug, Default)]
pub struct UpstreamReply {
    /// The result.
    pub kind: ReplyKind,
    /// The content.
    pub body: Rc<[u8]>,
    /// Where the content came from.
    pub fill_note: FillNote,
    /// Time until the fill source's first byte or its failure; 0 if it was not reported.
    pub queueing_time: Micros,
    /// The tag of the copy.
    pub tag: Option<Box<str>>,
    /// When the origin created the copy, in Unix milliseconds.
    pub created_at_ms: Option<u64>,
    /// Surrogate tags of the object, separated by semicolons, if the endpoint names them (`docs/protocol.md`).
    pub tags: Option<Box<str>>,
    /// The endpoint's load report: names and values.
    pub load_report: Vec<(String, f32)>,
}

impl UpstreamReply {
    /// Whether it claims to serve a copy without identifying it, which no correct endpoint does.
    pub fn lacks_identity(&self) -> bool {
        matches!(self.kind, ReplyKind::Hit | ReplyKind::NotModified)
            && !(self.tag.is_some() && self.created_at_ms.is_some())
    }

    /// The same reply counted as an error of the endpoint.
    pub(super) fn into_fault(self) -> Self {
        UpstreamReply {
            kind: ReplyKind::Fault,
            ..self
        }
    }

    /// The result in the terms of the decisions.
    fn status(&self) -> Status {
        match self.kind {
            ReplyKind::Hit | ReplyKind::NotModified => Status::Ok,
            ReplyKind::Miss => Status::Miss,
            ReplyKind::Rejected => Status::Rejected,
            ReplyKind::DeadlineExceeded => Status::NotSent,
            // A reply that does not belong to a fetch counts as an error, since the fetch may have run.
            ReplyKind::Fault | ReplyKind::Other => Status::Error,
        }
    }
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub enum AttemptEnd {
    /// With a reply.
    Reply(UpstreamReply),
    /// It was never written completely: connecting failed, or the connection broke before.
    Unsent {
        /// Whether another attempt on the same connection has reported this failure already.
        duplicate_failure: bool,
    },
    /// There was no connection to send it on, which says nothing about the endpoint.
    NoConnection,
    /// The connection broke after the attempt was written completely.
    Broken {
        /// Whether another attempt on the same connection has reported this failure already.
        duplicate_failure: bool,
    },
    /// The front cancelled it.
    Cancelled,
    /// It timed out.
    TimedOut,
}

impl AttemptEnd {
    /// The result in the terms of the decisions.
    pub(super) fn status(&self) -> Status {
        match self {
            AttemptEnd::Reply(reply) => reply.status(),
            // The endpoint cannot have run what was not written completely.
            AttemptEnd::Unsent { .. } => Status::ConnectFailed,
            AttemptEnd::NoConnection => Status::NotSent,
            AttemptEnd::Broken { .. } => Status::Reset,
            AttemptEnd::Cancelled => Status::Cancelled,
            AttemptEnd::TimedOut => Status::Timeout,
        }
    }

    /// Whether another attempt on the same connection has reported this failure already.
    pub(super) fn is_duplicate_failure(&self) -> bool {
        match self {
            AttemptEnd::Unsent { duplicate_failure } | AttemptEnd::Broken { duplicate_failure } => {
                *duplicate_failure
            }
            _ => false,
        }
    }

    /// The endpoint's reply, if there was one.
    pub(super) fn reply(&self) -> Option<&UpstreamReply> {
        match self {
            AttemptEnd::Reply(reply) => Some(reply),
            _ => None,
        }
    }
}

/// A timer of the stages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// A timer of the decisions, with their token.
    Policy(u64),
    /// The time-out of an attempt.
    AttemptTimeout(AttemptId),
    /// The client stops waiting for its response.
    RequestDeadline(RequestId),
}

/// What the server has to do for the stages.
#[derive(Clone, Debug)]
pub enum Command {
    /// Send an attempt.
    Send {
        /// The attempt.
        attempt: AttemptId,
        /// The endpoint.
        target: EndpointId,
        /// What is sent.
        fetch: Fetch,
    },
    /// Cancel an attempt that was sent.
    Abort(AttemptId),
    /// Send a client its final response.
    Respond {
        /// The client.
        to: ReplyTo,
        /// The response.
        response: Response,
    },
    /// Call [`handle_timer`](super::RequestPipeline::handle_timer) at a given time.
    SetTimer {
        /// When.
        at: Timestamp,
        /// With which timer.
        timer: Timer,
    },
    /// An endpoint served a copy that is older than the request allowed.
    StaleCopyServed(EndpointId),
    /// Write a line to the log.
    Log(String),
}

/// Where events about endpoints and purges come from, which tells how far their timestamps can be trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventSource {
    /// Discovery sends it now.
    Live,
    /// The configuration contained it.
    Configuration,
    /// It was read from disk or from another front: dated by a clock that was never compared with this one.
    Stored,
}
