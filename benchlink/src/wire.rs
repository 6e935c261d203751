//! Decodes and encodes the frames and records of the wire. All numbers are little-endian, unpadded.
use cranesill::api::*;
use std::io::{ErrorKind, Read};

/// A decoded event record.
#[derive(Debug)]
pub enum Record<'a> {
    /// An instance begins.
    PowerOn { seed: u64, profile: &'a [u8] },
    /// An instance is killed.
    Detach,
    /// A record that the module has no use for.
    Ignored,
    /// News for the module.
    Event(Event),
    /// The end of an attempt, and the values of the load report that came with it.
    Outcome(Outcome, Vec<f32>),
}

/// Reads one frame: the clock, the number of records and their bytes. `None` at a clean end of input.
pub fn read_frame(input: &mut impl Read) -> Result<Option<(u64, u32, Vec<u8>)>, String> {
    let mut head = [0u8; 16];
    let mut got = 0;
    while got < head.len() {
        match input.read(&mut head[got..]) {
            Ok(0) if got == 0 => return Ok(None),
            Ok(0) => return Err(format!("frame header cut off after {got} bytes")),
            Ok(n) => got += n,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(format!("cannot read: {e}")),
        }
    }
    let mut header = Reader::new(&head);
    let (now, length, count) = (header.u64()?, header.u32()? as usize, header.u32()?);
    let length = length
        .checked_sub(4)
        .ok_or("frame shorter than its record count")?;
    let mut body = Vec::new();
    input
        .take(length as u64)
        .read_to_end(&mut body)
        .map_err(|e| format!("cannot read: {e}"))?;
    if body.len() < length {
        return Err(format!("frame cut off: {} of {length} bytes", body.len()));
    }
    Ok(Some((now, count, body)))
}

/// Takes fields off the front of a frame's bytes.
pub struct Reader<'a> {
    rest: &'a [u8],
}

impl<'a> Reader<'a> {
    /// Reads from the start of `bytes`.
    pub fn new(bytes: &'a [u8]) -> Self {
        Reader { rest: bytes }
    }

    fn bytes(&mut self, n: usize) -> Result<&'a [u8], String> {
        let (field, rest) = self.rest.split_at_checked(n).ok_or("record cut off")?;
        self.rest = rest;
        Ok(field)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], String> {
        let field = self.bytes(N)?;
        Ok(field.try_into().expect("length was asked for"))
    }

    fn u8(&mut self) -> Result<u8, String> {
        Ok(self.array::<1>()?[0])
    }

    fn u16(&mut self) -> Result<u16, String> {
        Ok(u16::from_le_bytes(self.array()?))
    }

    fn u32(&mut self) -> Result<u32, String> {
        Ok(u32::from_le_bytes(self.array()?))
    }

    fn u64(&mut self) -> Result<u64, String> {
        Ok(u64::from_le_bytes(self.array()?))
    }

    fn f32(&mut self) -> Result<f32, String> {
        Ok(f32::from_le_bytes(self.array()?))
    }

    /// The address and the port as one number, in the order of the bytes.
    fn member(&mut self) -> Result<EndpointId, String> {
        let mut wide = [0u8; 8];
        wide[..6].copy_from_slice(self.bytes(6)?);
        Ok(EndpointId(u64::from_le_bytes(wide)))
    }

    /// The values of a load report.
    fn load(&mut self) -> Result<Vec<f32>, String> {
        (0..self.u8()?).map(|_| self.f32()).collect()
    }

    /// Fails when bytes are left over.
    pub fn finish(&self) -> Result<(), String> {
        match self.rest.len() {
            0 => Ok(()),
            n => Err(format!("{n} bytes after the last record")),
        }
    }

    /// The next record and the instance that it concerns.
    pub fn record(&mut self) -> Result<(u32, Record<'a>), String> {
        let code = self.u16()?;
        let who = self.u32()?;
        let event = match code {
            1 => Event::Cancelled(RequestId(self.u64()?)),
            2 => {
                let (request, attempt) = (RequestId(self.u64()?), self.u16()?);
                self.bytes(6 + 4)?;
                Event::Started(request, attempt)
            }
            3 => Event::Timer(self.u64()?),
            4 => return Ok((who, Record::Detach)),
            5 => {
                let (seed, n) = (self.u64()?, self.u32()? as usize);
                return Ok((
                    who,
                    Record::PowerOn {
                        seed,
                        profile: self.bytes(n)?,
                    },
                ));
            }
            6 => {
                self.u32()?;
                let n = usize::from(self.u16()?);
                self.bytes(n)?;
                return Ok((who, Record::Ignored));
            }
            7 => {
                self.member()?;
                status(self.u16()?)?;
                self.u32()?;
                self.load()?;
                return Ok((who, Record::Ignored));
            }
            8 => {
                let id = RequestId(self.u64()?);
                let (group, size) = (self.f32()?, self.f32()?);
                self.u32()?;
                let left = self.u32()?;
                self.u16()?;
                let object = ObjectId(self.u64()?);
                let (part, class) = (self.f32()?, self.u16()?);
                Event::Request(Request {
                    id,
                    class,
                    object,
                    part: part as u32,
                    group: group as u32,
                    size_kb: f64::from(size).max(0.0),
                    time_left: u64::from(left),
                })
            }
            9 => {
                let (file, group, age) = (self.u64()?, self.u16()?, self.u32()?);
                Event::Purged {
                    object: (file != 0).then_some(ObjectId(file)),
                    group: u32::from(group),
                    age: u64::from(age),
                }
            }
            10 => {
                let request = RequestId(self.u64()?);
                let (closed, attempt) = (self.u8()? != 0, self.u16()?);
                let (waited, latency, note) =
                    (u64::from(self.u32()?), u64::from(self.u32()?), self.u32()?);
                let status = status(self.u16()?)?;
                self.member()?;
                let (values, note, report) = (self.load()?, note_of(note), None);
                let along = false;
                let outcome = Outcome {
                    request,
                    attempt,
                    closed,
                    status,
                    shared_failure: along,
                    note,
                    source_wait: waited,
                    latency,
                    report,
                };
                return Ok((who, Record::Outcome(outcome, values)));
            }
            11 => {
                let mode = self.u8()?;
                self.u64()?;
                let n = self.u32()? as usize;
                let entries = (0..n)
                    .map(|_| self.entry())
                    .collect::<Result<Vec<_>, _>>()?;
                let kind = match mode {
                    0 => ListKind::Delta,
                    1 | 2 => ListKind::Full,
                    3 => ListKind::Failed,
                    other => return Err(format!("unknown list mode {other}")),
                };
                Event::Endpoints(kind, entries)
            }
            other => return Err(format!("unknown record code {other}")),
        };
        Ok((who, Record::Event(event)))
    }

    fn entry(&mut self) -> Result<EndpointEntry, String> {
        let (kind, weight, cell) = (self.u8()?, f64::from(self.f32()?), self.u16()?);
        let (member, started, zone) = (self.member()?, self.u64()?, self.u16()?);
        let state = match self.u8()? {
            0 => EndpointState::Draining,
            1 => EndpointState::Ready,
            2 => EndpointState::Removed,
            other => return Err(format!("unknown list state {other}")),
        };
        Ok(EndpointEntry {
            endpoint: member,
            kind,
            zone,
            cell,
            weight,
            started,
            state,
        })
    }
}

fn status(code: u16) -> Result<Status, String> {
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
    ALL.get(usize::from(code))
        .copied()
        .ok_or_else(|| format!("unknown outcome {code}"))
}

/// Notes that are not known tell nothing.
fn note_of(code: u32) -> FillNote {
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

fn put(code: u16, who: u32, out: &mut Vec<u8>) {
    out.extend(code.to_le_bytes());
    out.extend(who.to_le_bytes());
}

fn member(id: EndpointId) -> [u8; 6] {
    let wide = id.0.to_le_bytes();
    [wide[0], wide[1], wide[2], wide[3], wide[4], wide[5]]
}

fn short(span: Micros) -> [u8; 4] {
    u32::try_from(span).unwrap_or(u32::MAX).to_le_bytes()
}

fn text(text: &str, out: &mut Vec<u8>) {
    let n = text.len().min(usize::from(u16::MAX));
    out.extend((n as u16).to_le_bytes());
    out.extend(&text.as_bytes()[..n]);
}

/// Appends the record of one action.
pub fn encode(who: u32, action: &Action, out: &mut Vec<u8>) {
    match action {
        Action::Send {
            request,
            target,
            timeout,
            fill: None,
        } => {
            put(2, who, out);
            out.extend(request.0.to_le_bytes());
            out.extend(member(*target));
            out.extend(attempt_timeout(*timeout));
        }
        Action::Send {
            request,
            target,
            timeout,
            fill: Some(fill),
        } => {
            put(4, who, out);
            out.extend(request.0.to_le_bytes());
            out.extend(attempt_timeout(*timeout));
            out.extend(short(fill.max_age));
            out.push(fill.rank);
            out.extend(member(fill.source));
            let bits = [(fill.coalesce, 1), (fill.only_cached, 2), (fill.refresh, 8)];
            out.push(bits.iter().map(|&(on, bit)| if on { bit } else { 0 }).sum());
            out.extend(member(*target));
        }
        Action::Cancel(request, attempt) => {
            put(6, who, out);
            out.extend(request.0.to_le_bytes());
            out.extend(attempt.to_le_bytes());
        }
        Action::Reject(request, wait) => {
            put(3, who, out);
            out.extend(request.0.to_le_bytes());
            out.extend(short(*wait));
        }
        Action::Fail(request) => {
            put(10, who, out);
            out.extend(request.0.to_le_bytes());
        }
        Action::Timer(delay, token) => {
            put(7, who, out);
            out.extend(short(*delay));
            out.extend(token.to_le_bytes());
        }
        Action::Subscribe => {
            put(13, who, out);
            out.push(1);
        }
        Action::Log(line) => {
            put(1, who, out);
            text(line, out);
        }
    }
}

/// Time-outs are read as signed by the wire: what does not fit means "until the client gives up".
fn attempt_timeout(span: Micros) -> [u8; 4] {
    i32::try_from(span).unwrap_or(0).to_le_bytes()
}

/// Appends the wire's fault message.
pub fn encode_fault(who: u32, message: &str, out: &mut Vec<u8>) {
    put(11, who, out);
    text(message, out);
}
