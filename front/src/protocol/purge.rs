//! Purges to boxes and their word for it (`docs/protocol.md`): in the members' form, on connections of their own.
use super::cache_node::{parts, strings};
use super::Unreadable;
use crate::transport::Outgoing;
use cranesill_purges::{journal, Purge, PurgeNumber};
use std::rc::Rc;

/// A batch for a box: purges after one number up to another, of one ledger. An empty one asks how the box stands.
pub fn batch(
    id: u64,
    ledger: u64,
    after: PurgeNumber,
    upto: PurgeNumber,
    purges: &[Purge],
) -> Outgoing<()> {
    let fields = format!("ledger={ledger:016x},after={after},upto={upto}");
    let body: Vec<u8> = purges.iter().flat_map(journal::encode_record).collect();
    let mut head = b"*4\r\n".to_vec();
    head.extend(strings(&[
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

/// What a box says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// Of the command that it answers.
    pub id: u64,
    /// Of the ledger.
    pub ledger: u64,
    /// Everything up to this number is carried out.
    pub upto: PurgeNumber,
    /// It holds no copy.
    pub empty: bool,
}

/// Takes the first confirmation off `input`, with its length in bytes. `None`: it is not complete yet.
pub fn decode(input: &[u8]) -> Result<Option<(Confirmation, usize)>, Unreadable> {
    let Some(([id, word, fields, _], used)) = parts(input)? else {
        return Ok(None);
    };
    let text = |bytes| std::str::from_utf8(bytes).map_err(|_| Unreadable("no text"));
    if word != b"DONE" {
        return Err(Unreadable("a box that does not speak of purges"));
    }
    let id = super::hex16(text(id)?).ok_or(Unreadable("no id"))?;
    let mut found = Confirmation {
        id,
        ledger: 0,
        upto: 0,
        empty: false,
    };
    for (name, value) in text(fields)?.split(',').filter_map(|f| f.split_once('=')) {
        match name {
            "ledger" => found.ledger = super::hex16(value).ok_or(Unreadable("no ledger"))?,
            "upto" => found.upto = value.parse().map_err(|_| Unreadable("no number"))?,
            "empty" => found.empty = value == "1",
            _ => {}
        }
    }
    Ok(Some((found, used)))
}

#[cfg(test)]
mod tests;
