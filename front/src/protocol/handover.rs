//! What the processes of one front leave for each other in a folder that they share: names of files that say it all, and
//! one file of what was learned of members' health. No I/O here.
use super::admin::endpoint_id;
use crate::protocol::member::endpoint_name;
use cranesill::api::{EndpointId, LearnedHealth, Timestamp};

/// Of the form of these files; one of another version is as if absent.
const VERSION: &str = "v1";
/// Bytes of what was learned, at most: some thousand members.
pub const MAX_LEARNED_BYTES: usize = 256 * 1024;

/// The file whose presence says that a member is out by hand.
pub fn out_name(member: EndpointId) -> String {
    format!("{VERSION}.out.{}", endpoint_name(member))
}

/// The member that a file of this name says is out by hand.
pub fn out_member(name: &str) -> Option<EndpointId> {
    endpoint_id(name.strip_prefix(VERSION)?.strip_prefix(".out.")?)
}

/// Writes what was learned up to a moment: a head with version and checksum, and a line for each member.
pub fn learned(at: Timestamp, members: &[LearnedHealth]) -> String {
    let mut body = format!("at {at}\n");
    for m in members {
        let (down, lost) = (u8::from(m.down), u8::from(m.connection_lost));
        body += &format!(
            "{} {} {} {down} {lost}\n",
            endpoint_name(m.endpoint),
            m.started,
            m.slow_start_at
        );
    }
    format!(
        "cranesill learned {VERSION} {:08x}\n{body}",
        crc32fast::hash(body.as_bytes())
    )
}

/// Reads what was learned, and up to when. The error says why it is as if absent.
pub fn read_learned(text: &[u8]) -> Result<(Timestamp, Vec<LearnedHealth>), &'static str> {
    let text = std::str::from_utf8(text).map_err(|_| "it is no text")?;
    let (head, body) = text.split_once('\n').ok_or("it has no head")?;
    let mut words = head.split(' ');
    let head = [words.next(), words.next(), words.next()];
    if head[..2] != [Some("cranesill"), Some("learned")] {
        return Err("it is of something else");
    }
    if head[2] != Some(VERSION) {
        return Err("it is of another version");
    }
    let sum = words
        .next()
        .and_then(|sum| u32::from_str_radix(sum, 16).ok());
    if sum != Some(crc32fast::hash(body.as_bytes())) {
        return Err("its checksum is wrong");
    }
    let mut lines = body.lines();
    let at = lines
        .next()
        .and_then(|line| line.strip_prefix("at ")?.parse().ok())
        .ok_or("it has no time")?;
    let member = |line: &str| {
        let mut words = line.split(' ');
        let number = |id: &mut std::str::Split<'_, char>| id.next()?.parse::<u64>().ok();
        let member = endpoint_id(words.next()?)?;
        let (started, cold_since) = (number(&mut words)?, number(&mut words)?);
        let (down, lost) = (number(&mut words)? == 1, number(&mut words)? == 1);
        Some(LearnedHealth {
            endpoint: member,
            started,
            slow_start_at: cold_since,
            down,
            connection_lost: lost,
        })
    };
    let members = lines
        .map(member)
        .collect::<Option<_>>()
        .ok_or("a line can't be read")?;
    Ok((at, members))
}

#[cfg(test)]
mod tests;
