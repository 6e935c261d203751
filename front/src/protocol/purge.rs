//! Purges sent to cache nodes and their confirmations, specified in `docs/protocol.md`. They are encoded like other commands
//! to cache nodes, but use separate connections.
use super::bulk_strings::{self, decode_reply};
use super::{hex16, DecodeError};
use crate::transport::Outgoing;
use cranesill_purges::{journal, Purge, PurgeNumber};
use std::rc::Rc;

/// Encodes a batch for a cache node: the purges of a log after the number `after`, up to `upto`. An empty batch queries the
/// number up to which the node has applied the log.
pub fn batch(
    id: u64,
    log_identity: u64,
    after: PurgeNumber,
    upto: PurgeNumber,
    purges: &[Purge],
) -> Outgoing<()> {
    let fields = format!("ledger={log_identity:016x},after={after},upto={upto}");
    let body: Vec<u8> = purges.iter().flat_map(journal::encode_record).collect();
    let mut head = b"*4\r\n".to_vec();
    head.extend(bulk_strings::encode(&[
        b"purge",
        format!("{id:016x}").as_bytes(),
        fields.as_bytes(),
        &body,
    ]));
    Outgoing {
        tag: (),
        head,
        body: Rc::default(),
        tail: b"",
    }
}

/// A cache node's confirmation that it has applied purges.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// The id of the confirmed command.
    pub id: u64,
    /// The identity of the purge log.
    pub log_identity: u64,
    /// The number up to which all purges have been applied.
    pub upto: PurgeNumber,
    /// Whether the cache node has no cached copies.
    pub empty: bool,
}

/// Decodes the first confirmation in `input` and returns it with its length in bytes; `None` if it is not complete yet.
pub fn decode(input: &[u8]) -> Result<Option<(Confirmation, usize)>, DecodeError> {
    let Some(reply) = decode_reply(input)? else {
        return Ok(None);
    };
    let [id, name, fields, _] = reply.strings;
    if name != b"DONE" {
        return Err(DecodeError("reply to a purge command is not DONE"));
    }
    let mut confirmation = Confirmation {
        id: hex16(decode_utf8(id)?).ok_or(DecodeError(
            "confirmation of a purge: id is not 16 hex digits",
        ))?,
        log_identity: 0,
        upto: 0,
        empty: false,
    };
    let fields = decode_utf8(fields)?;
    for (name, value) in fields.split(',').filter_map(|field| field.split_once('=')) {
        set_field(&mut confirmation, name, value)?;
    }
    Ok(Some((confirmation, reply.length)))
}

/// Sets a field of a confirmation. Unknown fields are ignored.
fn set_field(confirmation: &mut Confirmation, name: &str, value: &str) -> Result<(), DecodeError> {
    match name {
        "ledger" => {
            confirmation.log_identity = hex16(value).ok_or(DecodeError(
                "confirmation of a purge: ledger is not 16 hex digits",
            ))?
        }
        "upto" => {
            confirmation.upto = value
                .parse()
                .map_err(|_| DecodeError("confirmation of a purge: upto is not a number"))?
        }
        "empty" => confirmation.empty = value == "1",
        _ => {}
    }
    Ok(())
}

fn decode_utf8(bytes: &[u8]) -> Result<&str, DecodeError> {
    std::str::from_utf8(bytes)
        .map_err(|_| DecodeError("confirmation of a purge is not valid UTF-8"))
}

#[cfg(test)]
mod tests;
