//! Types shared by the pipeline stages, the protocol codecs and the server.
use super::ExecutionKey;
use cranesill::api::{EndpointId, FillNote, Micros, RequestId, Status, Timestamp};
use std::rc::Rc;

/// The identifier that a client assigns to a request: 16 hex digits, forwarded as received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TransactionId([u8; 16]);

impl TransactionId {
    /// Creates an identifier from its 16 digits; `None` if the length differs.
    pub fn new(text: &str) -> Option<Self> {
        text.as_bytes().try_into().ok().map(TransactionId)
    }

    /// Returns the digits.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

/// The key of an object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObjectKey {
    /// The hex digits as received; cache nodes get them in the same spelling.
    pub text: Rc<str>,
    /// The numeric value of the digits.
    pub id: u64,
}

/// A part of an object, which is the unit of caching.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ObjectPart {
    /// The numeric key of the object.
    pub object: u64,
    /// The number of the part within the object.
    pub part: u32,
}

/// A decoded request from a client.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// The name of the request class.
    pub class: String,
    /// The identifier assigned by the client.
    pub transaction: TransactionId,
    /// The time for which the client waits for the response.
    pub time_limit: Micros,
    /// The requested object. Optional for classes that are executed by the origin.
    pub object: Option<ObjectKey>,
    /// The requested part of the object.
    pub part: u32,
    /// The group of the object.
    pub group: u32,
    /// Size of the part in KB as stated by the client, used by the router; 0 if unknown.
    pub size_kb: f64,
    /// The tag of the client's cached copy.
    pub cached_tag: Option<Rc<str>>,
    /// The key by which cache nodes detect retries, if the class uses idempotency keys.
    pub idempotency_key: Option<Rc<str>>,
    /// The body, forwarded as received.
    pub body: Rc<[u8]>,
}

impl ClientRequest {
    /// Returns the requested part if the request names an object.
    pub fn object_part(&self) -> Option<ObjectPart> {
        self.object.as_ref().map(|object| ObjectPart {
            object: object.id,
            part: self.part,
        })
    }
}

/// The destination of a response.
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
    /// The request was not executed and may be retried after this duration.
    Rejected(Micros),
    /// The request failed and may have been executed.
    Failed,
}

/// Counts of final responses to requests of a class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseCounts {
    /// Requests that were served.
    pub served: u64,
    /// Requests that were rejected.
    pub rejected: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Requests that were cancelled by the client or whose client disconnected before the response.
    pub cancelled: u64,
}

/// Identifies an attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId {
    /// The request that the attempt belongs to, assigned by the pipeline at ingress.
    pub request: RequestId,
    /// The number of the attempt within the request, from 0 in the order sent.
    pub number: u16,
}

/// Instructions to a cache node on filling a miss and on serving cached copies.
#[derive(Clone, Copy, Debug)]
pub struct FillInstructions {
    /// The endpoint to fill from; `None` to disable filling.
    pub source: Option<EndpointId>,
    /// Retention preference of the copy: 0 to not cache it, 1 to 3 in ascending order.
    pub rank: u8,
    /// Maximum age of the copy; 0 selects the default of the request class.
    pub max_age: Micros,
    /// Whether to coalesce with a fill of the same part that is in progress.
    pub coalesce: bool,
    /// Whether the source may only serve cached copies.
    pub cached_only: bool,
    /// Whether to serve an ageing copy while revalidating it in the background.
    pub revalidate: bool,
}

/// A fetch from an upstream endpoint.
#[derive(Clone, Debug)]
pub struct Fetch {
    /// The identifier assigned by the client.
    pub transaction: TransactionId,
    /// The name of the request class.
    pub class: Rc<str>,
    /// The requested object.
    pub object: Option<ObjectKey>,
    /// The requested part of the object.
    pub part: u32,
    /// The time at which the attempt times out.
    pub deadline: Timestamp,
    /// The latest time to start writing the fetch, after which cache nodes would no longer detect a retry.
    pub write_by: Timestamp,
    /// Instructions for filling a miss; `None` to leave it to the endpoint.
    pub fill: Option<FillInstructions>,
    /// The tag of the client's cached copy.
    pub cached_tag: Option<Rc<str>>,
    /// The idempotency key, forwarded as received.
    pub idempotency_key: Option<Rc<str>>,
    /// Whether the request is executed by the origin and not cached.
    pub write: bool,
    /// The identifier, if requests of the class must not be executed twice.
    pub execution: Option<ExecutionKey>,
    /// The body, forwarded as received.
    pub body: Rc<[u8]>,
}

/// The result in the reply of an upstream endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReplyKind {
    /// The endpoint serves the content.
    Hit,
    /// The client's cached copy is current.
    NotModified,
    /// The endpoint has no copy and did not fill the miss.
    Miss,
    /// The endpoint shed the request.
    Rejected,
    /// The endpoint failed.
    Fault,
    /// The deadline had passed before the endpoint processed the request.
    DeadlineExceeded,
    /// An unknown result, or one that is not valid for a fetch.
    #[default]
    Other,
}

/// The reply of an upstream endpoint.
#[derive(Clone, Debug, Default)]
pub struct UpstreamReply {
    /// The result of the fetch.
    pub kind: ReplyKind,
    /// The content.
    pub body: Rc<[u8]>,
    /// How the copy was obtained, or why the fill failed.
    pub fill_note: FillNote,
    /// Time until the first byte from the fill source or its failure; 0 if not reported.
    pub source_wait: Micros,
    /// The tag of the copy.
    pub tag: Option<Box<str>>,
    /// Creation time of the copy at the origin, in Unix milliseconds.
    pub created_at_ms: Option<u64>,
    /// Surrogate tags of the object, separated by semicolons, if the endpoint reports them.
    pub tags: Option<Box<str>>,
    /// The load report of the endpoint: names and values.
    pub load_report: Vec<(String, f32)>,
}

impl UpstreamReply {
    /// Returns whether the reply serves a copy without its tag or creation time, which violates the protocol.
    pub fn lacks_identity(&self) -> bool {
        matches!(self.kind, ReplyKind::Hit | ReplyKind::NotModified)
            && !(self.tag.is_some() && self.created_at_ms.is_some())
    }

    /// Turns the reply into an error of the endpoint.
    pub(super) fn into_fault(self) -> Self {
        UpstreamReply {
            kind: ReplyKind::Fault,
            ..self
        }
    }

    /// Converts the result to a status for the router.
    fn status(&self) -> Status {
        match self.kind {
            ReplyKind::Hit | ReplyKind::NotModified => Status::Ok,
            ReplyKind::Miss => Status::Miss,
            ReplyKind::Rejected => Status::Rejected,
            ReplyKind::DeadlineExceeded => Status::NotSent,
            // An unknown result counts as an error, since the request may have been executed.
            ReplyKind::Fault | ReplyKind::Other => Status::Error,
        }
    }
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub enum AttemptEnd {
    /// The endpoint replied.
    Reply(UpstreamReply),
    /// The attempt was not written completely because connecting failed or the connection broke.
    Unsent {
        /// Whether another attempt on the same connection has already reported this failure.
        duplicate_failure: bool,
    },
    /// No connection was available. This does not indicate a failure of the endpoint.
    NoConnection,
    /// The connection broke after the attempt was written completely.
    Broken {
        /// Whether another attempt on the same connection has already reported this failure.
        duplicate_failure: bool,
    },
    /// The front cancelled the attempt.
    Cancelled,
    /// The attempt timed out.
    TimedOut,
}

impl AttemptEnd {
    /// Converts the end to a status for the router.
    pub(super) fn status(&self) -> Status {
        match self {
            AttemptEnd::Reply(reply) => reply.status(),
            // An attempt that was not written completely cannot have been executed.
            AttemptEnd::Unsent { .. } => Status::ConnectFailed,
            AttemptEnd::NoConnection => Status::NotSent,
            AttemptEnd::Broken { .. } => Status::Reset,
            AttemptEnd::Cancelled => Status::Cancelled,
            AttemptEnd::TimedOut => Status::Timeout,
        }
    }

    /// Returns whether another attempt on the same connection has already reported this failure.
    pub(super) fn is_duplicate_failure(&self) -> bool {
        match self {
            AttemptEnd::Unsent { duplicate_failure } | AttemptEnd::Broken { duplicate_failure } => {
                *duplicate_failure
            }
            _ => false,
        }
    }

    /// Returns the reply of the endpoint, if there was one.
    pub(super) fn reply(&self) -> Option<&UpstreamReply> {
        match self {
            AttemptEnd::Reply(reply) => Some(reply),
            _ => None,
        }
    }
}

/// A timer of the pipeline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// A timer that the router set, with the token that the router assigned to it.
    Router(u64),
    /// An attempt has reached its timeout or the deadline of its request, whichever is earlier: it is cancelled if it is
    /// outstanding.
    AttemptTimeout(AttemptId),
    /// The deadline of a request and the grace period of the router have passed: the request fails if it is pending.
    RequestDeadline(RequestId),
}

/// A command from the pipeline to the server.
#[derive(Clone, Debug)]
pub enum Command {
    /// Send an attempt, and report its end by [`attempt_ended`](super::RequestPipeline::attempt_ended).
    Send {
        /// Identifies the attempt in [`Command::Cancel`] and when its end is reported.
        attempt: AttemptId,
        /// The endpoint to which the attempt is sent.
        target: EndpointId,
        /// The fetch to send.
        fetch: Fetch,
    },
    /// Cancel an attempt that was sent and has not ended.
    Cancel(AttemptId),
    /// Send a client its final response.
    Respond {
        /// The client and the stream.
        to: ReplyTo,
        /// The only response to the request on that stream.
        response: Response,
        /// Until when the client waits for the response.
        deadline: Timestamp,
    },
    /// Call [`handle_timer`](super::RequestPipeline::handle_timer) when the timer expires.
    SetTimer {
        /// The expiry time.
        at: Timestamp,
        /// The timer to pass.
        timer: Timer,
    },
    /// A request whose attempt was sent was not executed after all.
    NotExecuted(ExecutionKey),
    /// Report that an endpoint served a copy older than the maximum age that the attempt requested because of a purge.
    StaleCopyServed(EndpointId),
    /// Write a line to the log.
    Log(String),
}

/// The source of endpoint and purge events, which determines how far their timestamps are trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventSource {
    /// Received from discovery as it happened.
    Live,
    /// Contained in the configuration.
    Configuration,
    /// Read from disk or received from a peer: timestamped by a clock with an unknown offset.
    Stored,
}
