//! Decoder of the records of a frame.
use super::WireError;
use cranesill::api::{
    EndpointEntry, EndpointId, EndpointState, Event, FillNote, ListKind, ObjectId, Outcome,
    Request, RequestId, Status,
};

/// Bytes of an address including the port.
const ADDRESS_BYTES: usize = 6;
/// Unused trailing bytes of the record for the start of a response.
const STARTED_UNUSED_BYTES: usize = 10;

#[derive(Debug)]
pub enum Record<'a> {
    /// Start of an instance.
    PowerOn { seed: u64, profile: &'a [u8] },
    /// Forced stop of an instance.
    Detach,
    /// A record without meaning for the router.
    Ignored,
    /// An event for the router.
    Event(Event),
    /// The end of an attempt, with the values of the load report that came with it.
    Outcome(Outcome, Vec<f32>),
}

/// Reader of the fields of a frame.
pub struct Reader<'a> {
    rest: &'a [u8],
}

impl<'a> Reader<'a> {
    pub fn new(bytes: &'a [u8]) -> Self {
        Reader { rest: bytes }
    }

    /// Fails if bytes are left over.
    pub fn finish(&self) -> Result<(), WireError> {
        match self.rest.len() {
            0 => Ok(()),
            bytes => Err(WireError::TrailingBytes(bytes)),
        }
    }

    /// Decodes the next record and returns it with the number of its instance.
    pub fn record(&mut self) -> Result<(u32, Record<'a>), WireError> {
        let code = self.u16()?;
        let instance = self.u32()?;
        let record = match code {
            1 => Record::Event(Event::Cancelled(self.request_id()?)),
            2 => Record::Event(self.started()?),
            3 => Record::Event(Event::Timer(self.u64()?)),
            4 => Record::Detach,
            5 => self.power_on()?,
            6 => self.ignored_payload()?,
            7 => self.load_report()?,
            8 => Record::Event(self.request()?),
            9 => Record::Event(self.purge()?),
            10 => self.outcome()?,
            11 => Record::Event(self.endpoint_list()?),
            other => return Err(WireError::UnknownRecord(other)),
        };
        Ok((instance, record))
    }

    fn bytes(&mut self, count: usize) -> Result<&'a [u8], WireError> {
        let split = self.rest.split_at_checked(count);
        let (field, rest) = split.ok_or(WireError::RecordTruncated {
            needed: count,
            remaining: self.rest.len(),
        })?;
        self.rest = rest;
        Ok(field)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], WireError> {
        let field = self.bytes(N)?;
        Ok(field.try_into().expect("N bytes were taken"))
    }

    fn u8(&mut self) -> Result<u8, WireError> {
        Ok(self.array::<1>()?[0])
    }

    fn u16(&mut self) -> Result<u16, WireError> {
        Ok(u16::from_le_bytes(self.array()?))
    }

    pub(super) fn u32(&mut self) -> Result<u32, WireError> {
        Ok(u32::from_le_bytes(self.array()?))
    }

    pub(super) fn u64(&mut self) -> Result<u64, WireError> {
        Ok(u64::from_le_bytes(self.array()?))
    }

    fn f32(&mut self) -> Result<f32, WireError> {
        Ok(f32::from_le_bytes(self.array()?))
    }

    fn request_id(&mut self) -> Result<RequestId, WireError> {
        Ok(RequestId(self.u64()?))
    }

    /// Address and port as one number, in byte order.
    fn endpoint_id(&mut self) -> Result<EndpointId, WireError> {
        let mut padded = [0u8; 8];
        padded[..ADDRESS_BYTES].copy_from_slice(self.bytes(ADDRESS_BYTES)?);
        Ok(EndpointId(u64::from_le_bytes(padded)))
    }

    fn load_values(&mut self) -> Result<Vec<f32>, WireError> {
        (0..self.u8()?).map(|_| self.f32()).collect()
    }

    fn started(&mut self) -> Result<Event, WireError> {
        let request = self.request_id()?;
        let attempt = self.u16()?;
        self.bytes(STARTED_UNUSED_BYTES)?;
        Ok(Event::Started(request, attempt))
    }

    fn power_on(&mut self) -> Result<Record<'a>, WireError> {
        let seed = self.u64()?;
        let length = self.u32()? as usize;
        let profile = self.bytes(length)?;
        Ok(Record::PowerOn { seed, profile })
    }

    /// Skips a record with a payload that the router does not use.
    fn ignored_payload(&mut self) -> Result<Record<'a>, WireError> {
        self.u32()?;
        let length = usize::from(self.u16()?);
        self.bytes(length)?;
        Ok(Record::Ignored)
    }

    /// Skips a separate load report: the reports that come with outcomes suffice.
    fn load_report(&mut self) -> Result<Record<'a>, WireError> {
        self.endpoint_id()?;
        status(self.u16()?)?;
        self.u32()?;
        self.load_values()?;
        Ok(Record::Ignored)
    }

    fn request(&mut self) -> Result<Event, WireError> {
        let id = self.request_id()?;
        let group = self.f32()?;
        let size_kb = self.f32()?;
        self.u32()?;
        let time_left = self.u32()?;
        self.u16()?;
        let object = ObjectId(self.u64()?);
        let part = self.f32()?;
        let class = self.u16()?;
        Ok(Event::Request(Request {
            id,
            class,
            object,
            part: part as u32,
            group: group as u32,
            size_kb: f64::from(size_kb).max(0.0),
            time_left: u64::from(time_left),
        }))
    }

    /// Object 0 means all objects of the group.
    fn purge(&mut self) -> Result<Event, WireError> {
        let object = self.u64()?;
        let group = self.u16()?;
        let age = self.u32()?;
        Ok(Event::Purged {
            object: (object != 0).then_some(ObjectId(object)),
            group: u32::from(group),
            age: u64::from(age),
        })
    }

    fn outcome(&mut self) -> Result<Record<'a>, WireError> {
        let request = self.request_id()?;
        let closed = self.u8()? != 0;
        let attempt = self.u16()?;
        let source_wait = u64::from(self.u32()?);
        let latency = u64::from(self.u32()?);
        let note = fill_note(self.u32()?);
        let status = status(self.u16()?)?;
        self.endpoint_id()?;
        let values = self.load_values()?;
        let outcome = Outcome {
            request,
            attempt,
            closed,
            status,
            shared_failure: false,
            note,
            source_wait,
            latency,
            report: None,
        };
        Ok(Record::Outcome(outcome, values))
    }

    fn endpoint_list(&mut self) -> Result<Event, WireError> {
        let mode = self.u8()?;
        self.u64()?;
        let count = self.u32()?;
        let entries = (0..count)
            .map(|_| self.entry())
            .collect::<Result<Vec<_>, _>>()?;
        let kind = match mode {
            0 => ListKind::Delta,
            1 | 2 => ListKind::Full,
            3 => ListKind::Failed,
            other => return Err(WireError::UnknownListMode(other)),
        };
        Ok(Event::Endpoints(kind, entries))
    }

    fn entry(&mut self) -> Result<EndpointEntry, WireError> {
        let kind = self.u8()?;
        let weight = f64::from(self.f32()?);
        let cell = self.u16()?;
        let endpoint = self.endpoint_id()?;
        let started = self.u64()?;
        let zone = self.u16()?;
        let state = match self.u8()? {
            0 => EndpointState::Draining,
            1 => EndpointState::Ready,
            2 => EndpointState::Removed,
            other => return Err(WireError::UnknownEndpointState(other)),
        };
        Ok(EndpointEntry {
            endpoint,
            kind,
            zone,
            cell,
            weight,
            started,
            state,
        })
    }
}

fn status(code: u16) -> Result<Status, WireError> {
    const ALL: [Status; 9] = [
        Status::Ok,
        Status::Error,
        Status::Rejected,
        Status::Timeout,
        Status::ConnectFailed,
        Status::Reset,
        Status::Cancelled,
        Status::NotSent,
        Status::Miss,
    ];
    let status = ALL.get(usize::from(code)).copied();
    status.ok_or(WireError::UnknownStatus(code))
}

/// Unknown codes are decoded as [`FillNote::None`].
fn fill_note(code: u32) -> FillNote {
    const ALL: [FillNote; 11] = [
        FillNote::None,
        FillNote::Hit,
        FillNote::Filled,
        FillNote::FilledByOrigin,
        FillNote::Coalesced,
        FillNote::Stale,
        FillNote::SourceRejected,
        FillNote::SourceLost,
        FillNote::SourceMiss,
        FillNote::NoFillSlot,
        FillNote::OriginFailed,
    ];
    ALL.get(code as usize).copied().unwrap_or(FillNote::None)
}
