//! The second address, for operators alone: one line a connection, an answer, and a close. What a call does is a word
//! of the loop, the same that the control socket takes.
use super::{AdminEffect, Driver, Effect, Turn};
use crate::protocol::ops::{answer, decode, Call, LINE_MOST};
use crate::protocol::{member::name_of, Unreadable};
use crate::server::acceptor::{AcceptBackoff, Next};
use crate::transport::{at_start, listen, used_up, AcceptFault, Registered};
use cranesill::api::{Micros, Timestamp};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

/// Callers held at once: some say nothing and remain, and must not keep out one that asks.
pub const CALLERS_MOST: usize = 24;
/// While all places are taken, a caller that has been there for this long without a call makes room: a call comes with
/// its connection, give or take a round trip.
const PATIENCE: Micros = 20_000;
/// Pause before the listener is tried again that found no descriptor.
const AGAIN: Micros = 100_000;
/// A caller is closed after this long, whatever it has said.
const STAY_MOST: Micros = 5_000_000;
/// One that has its answer is closed after this long if it does not close by itself.
const FAREWELL: Micros = 500_000;

struct Caller {
    socket: Registered<TcpStream>,
    input: Vec<u8>,
    output: Vec<u8>,
    since: Timestamp,
    /// Its call was taken; what it says now is passed over.
    called: bool,
    /// All is written: it is closed then.
    ends: Option<Timestamp>,
}

/// The second address and who calls there.
pub struct Ops {
    at: SocketAddr,
    /// `None`: another process has the address still.
    listener: Option<Registered<TcpListener>>,
    listener_key: usize,
    callers: BTreeMap<usize, Caller>,
    /// No place was to be had: the listener rests until there is one.
    full: bool,
    acceptor: AcceptBackoff,
    /// It is tried again then, whoever is there.
    again: Option<Timestamp>,
}

impl Ops {
    /// Listens for operators. Where another process of this front may live (`beside`) it can have the address still, or
    /// for a moment any connection of the machine that was given the same port: clients are served all the same, and the
    /// address is tried for until it is free. Else that is an error.
    pub fn new(turn: &mut Turn<'_>, at: SocketAddr, beside: bool) -> Result<Self, String> {
        let listener_key = turn.key();
        let callers = BTreeMap::new();
        let acceptor = AcceptBackoff::default();
        let mut ops = Ops {
            at,
            listener: None,
            listener_key,
            callers,
            full: false,
            acceptor,
            again: None,
        };
        match at_start(|| ops.listen(turn)) {
            Err(error) if beside && error.kind() == io::ErrorKind::AddrInUse => {
                tracing::warn!(kind = "ops", %at, "address for operators is taken: tried for until it is free");
                ops.again = Some(turn.now + AGAIN);
            }
            listens => listens.map_err(|e| format!("ops: {at}: {e}"))?,
        }
        Ok(ops)
    }

    fn listen(&mut self, turn: &mut Turn<'_>) -> io::Result<()> {
        let listener = turn
            .reactor
            .watch(listen(self.at)?, self.listener_key, false)?;
        tracing::info!(at = %listener.local_addr()?, "operators call here");
        self.listener = Some(listener);
        Ok(())
    }

    fn accept(&mut self, turn: &mut Turn<'_>) {
        self.acceptor.begin_turn();
        loop {
            if self.callers.len() >= CALLERS_MOST && !self.make_room(turn) {
                return self.rest(true);
            }
            let Some(listener) = &self.listener else {
                return;
            };
            let socket = match listener.accept() {
                Ok((socket, _)) => socket,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return self.rest(false),
                // Out of descriptors: a caller that says nothing gives its own up. Without one the listener rests, or it
                // would be told of again at once and without end.
                Err(e)
                    if AcceptFault::of(&e) == AcceptFault::Descriptors
                        && used_up()
                        && self.make_room(turn) =>
                {
                    continue
                }
                Err(error) => {
                    if self.acceptor.failed(turn.now, AcceptFault::of(&error)) == Next::Retry {
                        continue;
                    }
                    tracing::warn!(kind = "ops", %error, "no operator can be heard for now");
                    self.again = Some(turn.now + AGAIN);
                    return self.rest(true);
                }
            };
            let key = turn.key();
            if socket.set_nonblocking(true).is_err() {
                continue;
            }
            if let Ok(socket) = turn.reactor.watch(socket, key, false) {
                let (input, output) = (Vec::new(), Vec::new());
                let caller = Caller {
                    socket,
                    input,
                    output,
                    since: turn.now,
                    called: false,
                    ends: None,
                };
                self.callers.insert(key, caller);
                self.go_on(turn, key);
            }
        }
    }

    /// It can only fail for a socket that is not watched.
    fn rest(&mut self, full: bool) {
        if std::mem::replace(&mut self.full, full) != full {
            let _ = self
                .listener
                .as_ref()
                .map(|listener| listener.rewatch(!full, false));
        }
    }

    /// Closes the caller that least needs its place: first one that has its answer, then the one that has said nothing
    /// whole for longest. Keys are given out in the order of arrival.
    fn make_room(&mut self, turn: &mut Turn<'_>) -> bool {
        let done = self
            .callers
            .iter()
            .find(|(_, c)| c.ends.is_some())
            .map(|(key, _)| *key);
        let silent = || {
            let old = |c: &Caller| !c.called && turn.now >= c.since + PATIENCE;
            self.callers
                .iter()
                .find(|(_, c)| old(c))
                .map(|(key, _)| *key)
        };
        let Some(key) = done.or_else(silent) else {
            return false;
        };
        // It may have said it by now.
        self.go_on(turn, key);
        if self
            .callers
            .get(&key)
            .is_some_and(|c| !c.called || c.ends.is_some())
        {
            self.callers.remove(&key);
        }
        self.callers.len() < CALLERS_MOST
    }

    fn go_on(&mut self, turn: &mut Turn<'_>, key: usize) {
        let Some(caller) = self.callers.get_mut(&key) else {
            return;
        };
        let call = caller.read();
        let over = caller.write(turn.now);
        match (call, over) {
            (Err(_), _) | (_, Err(_)) => drop(self.callers.remove(&key)),
            (Ok(Some(Ok(call))), _) => {
                caller.called = true;
                let (word, args) = word(call);
                // The key is the number: no other driver gives it out.
                turn.effects.push(Effect::Admin(AdminEffect::Command {
                    id: key as u64,
                    name: word.into(),
                    arguments: args,
                }));
            }
            (Ok(Some(Err(Unreadable(why)))), _) => {
                tracing::info!(kind = "ops", error = why, "bad call");
                self.answer(turn.now, key, answer(Err(why), None));
            }
            (Ok(None), _) => {}
        }
    }

    fn answer(&mut self, now: Timestamp, key: usize, text: Vec<u8>) {
        let Some(caller) = self.callers.get_mut(&key) else {
            return;
        };
        (caller.called, caller.output) = (true, text);
        if caller.write(now).is_err() {
            self.callers.remove(&key);
        }
    }
}

impl Caller {
    /// Reads what there is: its call, once that is whole. An error: it is gone.
    fn read(&mut self) -> io::Result<Option<Result<Call, Unreadable>>> {
        let mut chunk = [0; LINE_MOST];
        let mut ended = false;
        // What one caller sends takes up two reads at most in its turn.
        for _ in 0..2 {
            match (&*self.socket).read(&mut chunk) {
                Ok(0) => {
                    ended = true;
                    break;
                }
                Ok(n) if !self.called => self.input.extend_from_slice(&chunk[..n]),
                Ok(_) => {}
                Err(e)
                    if matches!(
                        e.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted
                    ) =>
                {
                    break
                }
                Err(e) => return Err(e),
            }
        }
        if self.called {
            // It has its answer, and knows it.
            return if ended && self.output.is_empty() && self.ends.is_some() {
                Err(io::ErrorKind::UnexpectedEof.into())
            } else {
                if ended {
                    // An end would be told again and again.
                    self.socket.rewatch(false, !self.output.is_empty())?;
                }
                Ok(None)
            };
        }
        match decode(&self.input, ended) {
            Ok(None) if ended => Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(call) => {
                if ended {
                    self.socket.rewatch(false, false)?;
                }
                Ok(call.map(Ok))
            }
            Err(why) => Ok(Some(Err(why))),
        }
    }

    fn write(&mut self, now: Timestamp) -> io::Result<()> {
        if self.output.is_empty() {
            return Ok(());
        }
        while !self.output.is_empty() {
            match (&*self.socket).write(&self.output) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(n) => drop(self.output.drain(..n)),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    return self.socket.rewatch(true, true)
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        // Closed at once, what it sent beyond its call would make the system reset the connection, and the answer with
        // it.
        self.socket.shutdown(std::net::Shutdown::Write)?;
        self.ends = Some(now + FAREWELL);
        self.socket.rewatch(true, false)
    }
}

fn word(call: Call) -> (&'static str, Value) {
    match call {
        Call::Health => ("health", Value::Null),
        Call::Counters => ("counters", Value::Null),
        Call::Cordon(id) => ("cordon", json!({"node": name_of(id)})),
        Call::Uncordon(id) => ("uncordon", json!({"node": name_of(id)})),
        Call::Quiesce => ("quiesce", Value::Null),
        Call::Resume => ("resume", Value::Null),
    }
}

impl Driver for Ops {
    fn ready(&mut self, turn: &mut Turn<'_>, key: usize, _readable: bool, _writable: bool) {
        if key == self.listener_key {
            self.accept(turn);
        } else {
            self.go_on(turn, key);
        }
    }

    fn due(&mut self, turn: &mut Turn<'_>) {
        let over = |c: &Caller| turn.now >= c.ends.unwrap_or(c.since + STAY_MOST);
        let over: Vec<_> = self
            .callers
            .iter()
            .filter(|(_, c)| over(c))
            .map(|(key, _)| *key)
            .collect();
        over.into_iter()
            .for_each(|key| drop(self.callers.remove(&key)));
        if self.listener.is_none() && self.again.is_some_and(|at| turn.now >= at) {
            self.again = self.listen(turn).is_err().then_some(turn.now + AGAIN);
        }
        if self.full {
            self.again = None;
            self.accept(turn);
        }
    }

    fn next(&self) -> Option<Timestamp> {
        let waits = |c: &Caller| {
            if self.full && !c.called {
                PATIENCE
            } else {
                STAY_MOST
            }
        };
        self.callers
            .values()
            .map(|c| c.ends.unwrap_or(c.since + waits(c)))
            .chain(self.again)
            .min()
    }

    fn handle_effect(&mut self, turn: &mut Turn<'_>, effect: &Effect) {
        let Effect::Admin(AdminEffect::Response {
            id: number,
            result: found,
        }) = effect
        else {
            return;
        };
        let key = *number as usize;
        let text = match found {
            Ok(Value::Object(figures)) => {
                let lines: Vec<_> = figures
                    .iter()
                    .map(|(name, n)| format!("{name}={n}"))
                    .collect();
                answer(Ok(""), Some(&lines))
            }
            Ok(value) => answer(Ok(value.as_str().unwrap_or_default()), None),
            Err(why) => answer(Err(why), None),
        };
        self.answer(turn.now, key, text);
    }
}
