//! Commands to members and their answers: arrays of bulk strings as RESP writes them.
use super::Unreadable;
use crate::routing::{Fetch, MemberReply, Txn, Word};
use crate::transport::Outgoing;
use cranesill::api::{MemberId, Note, Time};
use std::rc::Rc;

/// Bytes at most of the strings of an answer: id, word, fields, and an object with some room.
const STRINGS_MOST: [usize; 4] = [16, 16, 4_096, 262_144];
/// Digits of a length at most.
const DIGITS_MOST: usize = 7;

/// How a member is named in text.
pub fn name_of(member: MemberId) -> String {
    format!("s-{:08x}", member.0)
}

pub(super) fn strings(parts: &[&[u8]]) -> Vec<u8> {
    let mut out = Vec::with_capacity(256);
    for part in parts {
        out.extend(format!("${}\r\n", part.len()).bytes());
        out.extend(*part);
        out.extend(b"\r\n");
    }
    out
}

/// A `fetch` as it is written `now`; its body goes out behind the head without being copied.
pub fn fetch(fetch: &Fetch, now: Time) -> Outgoing<Option<Txn>> {
    let limit = (fetch.deadline.saturating_sub(now) / 1_000).max(1);
    let mut fields = format!("cls={}", fetch.class);
    if let Some(item) = &fetch.item {
        fields += &format!(",item={},chunk={}", item.text, fetch.part);
    }
    fields += &format!(",limit={limit}");
    if let Some(fill) = &fetch.fill {
        if let Some(source) = fill.source {
            fields += &format!(",from={}", name_of(source));
        }
        if fill.rank > 0 {
            fields += &format!(",rank={}", fill.rank);
        }
        // 0 would ask for the default; rounded down, a copy from before a purge never passes.
        if fill.oldest > 0 {
            fields += &format!(",oldest={}", (fill.oldest / 1_000).max(1));
        }
        let words = [(fill.join, "coalesce"), (fill.only_held, "shallow"), (fill.renew, "freshen")];
        let words: Vec<_> = words.iter().filter(|w| w.0).map(|w| w.1).collect();
        if !words.is_empty() {
            fields += &format!(",mode={}", words.join("+"));
        }
    }
    // Guards the rule of effects: without it a node can't tell a repeat from another request.
    if let Some(key) = &fetch.key {
        fields += &format!(",nonce={key}");
    }
    if let Some(seen) = &fetch.seen {
        fields += &format!(",seen={seen}");
    }
    let mut head = b"*4\r\n".to_vec();
    head.extend(strings(&[b"fetch", fetch.txn.as_bytes(), fields.as_bytes()]));
    head.extend(format!("${}\r\n", fetch.body.len()).bytes());
    Outgoing { tag: Some(fetch.txn), head, body: Rc::clone(&fetch.body), tail: b"\r\n" }
}

/// Gives a request up.
pub fn abort(txn: Txn) -> Outgoing<Option<Txn>> {
    let mut head = b"*2\r\n".to_vec();
    head.extend(strings(&[b"abort", txn.as_bytes()]));
    Outgoing { tag: None, head, body: Rc::default(), tail: b"" }
}

/// A line that begins with `mark` and holds a length, and where the next one begins.
fn length(input: &[u8], at: usize, mark: u8, most: usize) -> Result<Option<(usize, usize)>, Unreadable> {
    let rest = &input[at.min(input.len())..];
    if rest.first().is_some_and(|b| *b != mark) {
        return Err(Unreadable("no array of bulk strings"));
    }
    let Some(end) = rest.iter().take(DIGITS_MOST + 3).position(|b| *b == b'\n') else {
        return if rest.len() > DIGITS_MOST + 3 { Err(Unreadable("length too long")) } else { Ok(None) };
    };
    let digits = rest[1..end].strip_suffix(b"\r").filter(|d| d.iter().all(u8::is_ascii_digit));
    let number = digits.and_then(|d| std::str::from_utf8(d).ok()?.parse::<usize>().ok());
    match number.filter(|n| *n <= most) {
        Some(n) => Ok(Some((n, at + end + 1))),
        None => Err(Unreadable("length out of bounds")),
    }
}

/// An answer, the id that it is for, and its length in bytes.
type Decoded<'a> = (&'a [u8], MemberReply, usize);

/// The four strings of an answer, and its length in bytes.
type Parts<'a> = ([&'a [u8]; 4], usize);

/// The four strings of the first answer, and its length in bytes. `None`: it is not whole yet.
pub fn parts(input: &[u8]) -> Result<Option<Parts<'_>>, Unreadable> {
    let Some((count, mut at)) = length(input, 0, b'*', STRINGS_MOST.len())? else { return Ok(None) };
    if count != STRINGS_MOST.len() {
        return Err(Unreadable("no answer of four strings"));
    }
    let mut parts: [&[u8]; 4] = [b""; 4];
    for (part, most) in parts.iter_mut().zip(STRINGS_MOST) {
        let Some((n, begin)) = length(input, at, b'$', most)? else { return Ok(None) };
        let Some(string) = input.get(begin..begin + n + 2) else { return Ok(None) };
        let string = string.strip_suffix(b"\r\n").ok_or(Unreadable("string without its end"))?;
        *part = string;
        at = begin + n + 2;
    }
    Ok(Some((parts, at)))
}

/// The id of the first answer, as soon as it is here, whole as the rest may be or not.
pub fn begun_id(input: &[u8]) -> Option<&[u8]> {
    let (_, at) = length(input, 0, b'*', STRINGS_MOST.len()).ok()??;
    let (n, begin) = length(input, at, b'$', STRINGS_MOST[0]).ok()??;
    input.get(begin..begin + n)
}

/// Takes the first answer off `input`. `None`: it is not whole yet.
pub fn decode(input: &[u8]) -> Result<Option<Decoded<'_>>, Unreadable> {
    let Some((parts, at)) = parts(input)? else { return Ok(None) };
    let [id, word, fields, body] = parts;
    let word = match word {
        b"HIT" => Word::Hit,
        b"VALID" => Word::Valid,
        b"NONE" => Word::None,
        b"SHED" => Word::Shed,
        b"FAULT" => Word::Fault,
        b"LATE" => Word::Late,
        _ => Word::Other,
    };
    let mut reply = MemberReply { word, body: body.into(), ..MemberReply::default() };
    let fields = std::str::from_utf8(fields).map_err(|_| Unreadable("fields are no text"))?;
    for (name, value) in fields.split(',').filter_map(|f| f.split_once('=')) {
        match name {
            "ver" => reply.tag = Some(value).filter(|tag| !tag.is_empty()).map(Into::into),
            "born" => reply.born = value.parse().ok(),
            "tags" => reply.tags = Some(value.into()),
            "tell" => reply.note = note(value),
            "waited" => reply.waited = (value.parse::<f64>().unwrap_or(0.0).max(0.0) * 1e3) as u64,
            "meter" => {
                let figures = value.split(';').filter_map(|f| f.split_once(':'));
                let figures = figures.filter_map(|(n, v)| Some((n.to_string(), v.parse::<f32>().ok()?)));
                reply.meter = figures.collect();
            }
            _ => {}
        }
    }
    Ok(Some((id, reply, at)))
}

/// Notes that are not known tell nothing.
fn note(word: &str) -> Note {
    match word {
        "local" => Note::Hit,
        "pulled" => Note::Filled,
        "pulled_far" => Note::FilledByOrigin,
        "rode" => Note::Joined,
        "expired" => Note::Stale,
        "turned_away" => Note::SourceRefused,
        "cut_off" => Note::SourceLost,
        "not_there" => Note::SourceLacks,
        "no_place" => Note::NoPlace,
        "far_fault" => Note::OriginFailed,
        _ => Note::None,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::routing::{Item, Source};

    #[test]
    fn a_fetch_says_what_was_asked_and_how_a_miss_is_filled() {
        let txn = Txn::new("9b1f03aa5c7e2d41").unwrap();
        let item = Item { text: "7f3a9c21e0b4d655".into(), id: 0 };
        let fill = Source {
            source: Some(MemberId(0xc41f7a)),
            rank: 2,
            oldest: 1_500_999,
            join: true,
            only_held: false,
            renew: true,
        };
        let mut ask = Fetch {
            txn,
            class: "page-bits".into(),
            item: Some(item),
            part: 3,
            deadline: 1_250_000,
            latest: Time::MAX,
            fill: Some(fill),
            seen: Some("4be0".into()),
            key: Some("09c7".into()),
            write: false,
            body: b"".as_slice().into(),
        };
        let text = |ask: &Fetch| {
            let out = fetch(ask, 250_000);
            String::from_utf8([&out.head, &out.body[..], out.tail].concat()).unwrap()
        };
        let read = text(&ask);
        (ask.fill, ask.seen, ask.body) = (None, None, b"car".as_slice().into());
        ask.key = None;
        let aborted = String::from_utf8(abort(txn).head).unwrap();
        insta::assert_debug_snapshot!([read, text(&ask), aborted]);
    }

    #[test]
    fn an_answer_is_read_once_its_last_byte_is_there() {
        let fields = "ver=ab,born=5,tell=pulled_far,waited=12.5,meter=concurrent:7;x1:0.61;odd:x";
        let whole = [
            &b"*4\r\n$16\r\n9b1f03aa5c7e2d41\r\n$3\r\nHIT\r\n"[..],
            format!("${}\r\n{fields}\r\n", fields.len()).as_bytes(),
            b"$6\r\n\r\n$9\r\n\r\n*",
        ]
        .concat();
        for cut in 0..whole.len() - 1 {
            assert!(decode(&whole[..cut]).unwrap().is_none(), "cut at {cut}");
        }
        let (id, reply, used) = decode(&whole).unwrap().unwrap();
        assert_eq!((id, used), (&b"9b1f03aa5c7e2d41"[..], whole.len() - 1));
        insta::assert_debug_snapshot!(reply);
    }

    #[test]
    fn lengths_out_of_bounds_are_unreadable() {
        for bad in
            // An id of a thousand bytes or a fifth string would be waited for in vain.
            [&b"+OK\r\n"[..], b"*5\r\n", b"*4\r\n$-1\r\n", b"*4\r\n$999999999999", b"*4\r\n$1000\r\n"]
        {
            assert!(decode(bad).is_err(), "{}", String::from_utf8_lossy(bad));
        }
        assert!(decode(b"*4\r\n$1\r\nabc").is_err());
        for (fields, named) in [("ver=a,born=5", true), ("ver=,born=5", false), ("ver=ab,born=x", false)] {
            let n = fields.len();
            let answer = format!("*4\r\n$1\r\na\r\n$3\r\nHIT\r\n${n}\r\n{fields}\r\n$0\r\n\r\n");
            let (_, reply, _) = decode(answer.as_bytes()).unwrap().unwrap();
            assert_eq!(reply.tag.is_some() && reply.born.is_some(), named, "{fields}");
        }
    }
}
