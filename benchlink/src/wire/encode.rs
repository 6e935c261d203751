//! Encoder of the records of a reply.
use cranesill::api::{Action, EndpointId, Fill, Micros, RequestId};

/// Record codes.
mod code {
    pub const LOG: u16 = 1;
    pub const SEND: u16 = 2;
    pub const REJECT: u16 = 3;
    pub const SEND_WITH_FILL: u16 = 4;
    pub const CANCEL: u16 = 6;
    pub const TIMER: u16 = 7;
    pub const FAIL: u16 = 10;
    pub const FAULT: u16 = 11;
    pub const SUBSCRIBE: u16 = 13;
}

/// Flag bits of a fill.
const COALESCE_BIT: u8 = 1;
const ONLY_CACHED_BIT: u8 = 2;
const REFRESH_BIT: u8 = 8;
/// Argument of the subscribe record that starts the subscription.
const SUBSCRIBE: u8 = 1;

/// Appends the record of an action.
pub fn encode(instance: u32, action: &Action, out: &mut Vec<u8>) {
    match action {
        Action::Send {
            request,
            target,
            timeout,
            fill,
        } => match fill {
            None => send(instance, *request, *target, *timeout, out),
            Some(fill) => send_with_fill(instance, *request, *target, *timeout, fill, out),
        },
        Action::Cancel(request, attempt) => {
            header(code::CANCEL, instance, out);
            out.extend(request.0.to_le_bytes());
            out.extend(attempt.to_le_bytes());
        }
        Action::Reject(request, retry_after) => {
            header(code::REJECT, instance, out);
            out.extend(request.0.to_le_bytes());
            out.extend(duration(*retry_after));
        }
        Action::Fail(request) => {
            header(code::FAIL, instance, out);
            out.extend(request.0.to_le_bytes());
        }
        Action::Timer(delay, token) => {
            header(code::TIMER, instance, out);
            out.extend(duration(*delay));
            out.extend(token.to_le_bytes());
        }
        Action::Subscribe => {
            header(code::SUBSCRIBE, instance, out);
            out.push(SUBSCRIBE);
        }
        Action::Log(line) => {
            header(code::LOG, instance, out);
            text(line, out);
        }
    }
}

/// Appends a record that reports a fault of an instance.
pub fn encode_fault(instance: u32, message: &str, out: &mut Vec<u8>) {
    header(code::FAULT, instance, out);
    text(message, out);
}

fn send(instance: u32, request: RequestId, target: EndpointId, timeout: Micros, out: &mut Vec<u8>) {
    header(code::SEND, instance, out);
    out.extend(request.0.to_le_bytes());
    out.extend(address(target));
    out.extend(attempt_timeout(timeout));
}

fn send_with_fill(
    instance: u32,
    request: RequestId,
    target: EndpointId,
    timeout: Micros,
    fill: &Fill,
    out: &mut Vec<u8>,
) {
    header(code::SEND_WITH_FILL, instance, out);
    out.extend(request.0.to_le_bytes());
    out.extend(attempt_timeout(timeout));
    out.extend(duration(fill.max_age));
    out.push(fill.rank);
    out.extend(address(fill.source));
    out.push(fill_flags(fill));
    out.extend(address(target));
}

fn fill_flags(fill: &Fill) -> u8 {
    let flags = [
        (fill.coalesce, COALESCE_BIT),
        (fill.only_cached, ONLY_CACHED_BIT),
        (fill.refresh, REFRESH_BIT),
    ];
    let set = flags.iter().filter(|(is_set, _)| *is_set);
    set.map(|(_, bit)| bit).sum()
}

fn header(code: u16, instance: u32, out: &mut Vec<u8>) {
    out.extend(code.to_le_bytes());
    out.extend(instance.to_le_bytes());
}

fn address(endpoint: EndpointId) -> [u8; 6] {
    let bytes = endpoint.0.to_le_bytes();
    [bytes[0], bytes[1], bytes[2], bytes[3], bytes[4], bytes[5]]
}

fn duration(duration: Micros) -> [u8; 4] {
    u32::try_from(duration).unwrap_or(u32::MAX).to_le_bytes()
}

/// Timeouts are signed on the wire. A value that does not fit is sent as 0, which means the deadline of the request.
fn attempt_timeout(timeout: Micros) -> [u8; 4] {
    i32::try_from(timeout).unwrap_or(0).to_le_bytes()
}

fn text(text: &str, out: &mut Vec<u8>) {
    let length = text.len().min(usize::from(u16::MAX));
    out.extend((length as u16).to_le_bytes());
    out.extend(&text.as_bytes()[..length]);
}
