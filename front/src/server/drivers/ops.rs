//! Listener for the platform's operators (setting `ops`). A connection carries one call on one line and its response, and is
//! then closed. Each call maps to a command of the control socket.
use super::{AdminEffect, Driver, Effect, Turn};
use crate::protocol::admin::{answer, decode, Call, CallError, MAX_LINE_BYTES};
use crate::protocol::cache_node::endpoint_name;
use crate::server::acceptor::{AcceptBackoff, AcceptRetry};
use crate::transport::{descriptors_exhausted, listen, retry_on_shortage, AcceptFault, Registered};
use cranesill::api::{Micros, Timestamp};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

/// Maximum number of connected callers. Callers that send nothing must not block one that sends a call.
pub const MAX_CALLERS: usize = 24;
/// Time without a call after which a caller may be displaced if all slots are taken. A call normally follows its connection
/// within a round trip.
const CALL_GRACE: Micros = 20_000;
/// Time between attempts of `accept` or `listen` after a failure.
const RETRY_INTERVAL: Micros = 100_000;
/// Time after accepting a caller at which it is disconnected.
const CALLER_TIMEOUT: Micros = 5_000_000;
/// Time after the response in which the caller may close the connection itself.
const CLOSE_TIMEOUT: Micros = 500_000;
/// Maximum number of reads from one caller per turn of the event loop.
const MAX_READS_PER_TURN: usize = 2;

/// Connection of an operator.
struct Caller {
    socket: Registered<TcpStream>,
    input: Vec<u8>,
    output: Vec<u8>,
    connected_at: Timestamp,
    /// Whether its call was received. Further input is discarded.
    has_called: bool,
    /// Time at which it is disconnected, once the response is written.
    closes_at: Option<Timestamp>,
}

/// Failure to listen on the address for operators.
#[derive(Debug, thiserror::Error)]
#[error("ops: cannot listen on {address}: {source}")]
pub struct ListenError {
    address: SocketAddr,
    source: io::Error,
}

/// The driver of the listener for operators.
pub struct Ops {
    address: SocketAddr,
    /// `None` while the address is in use by another process.
    listener: Option<Registered<TcpListener>>,
    listener_key: usize,
    callers: BTreeMap<usize, Caller>,
    /// Whether accepting is paused until a slot is free or the retry is due.
    paused: bool,
    acceptor: AcceptBackoff,
    /// Time of the next attempt of `accept` or `listen` after a failure.
    retry_at: Option<Timestamp>,
}

impl Ops {
    /// Listens for operators on `address`. During a handover (`handover`) another process of this front, or an outgoing
    /// connection that was assigned the same port, may still use the address: then the front starts without the listener and
    /// retries until the address is free. Otherwise an address in use is an error.
    pub fn new(
        turn: &mut Turn<'_>,
        address: SocketAddr,
        handover: bool,
    ) -> Result<Self, ListenError> {
        let listener_key = turn.key();
        let mut ops = Ops {
            address,
            listener: None,
            listener_key,
            callers: BTreeMap::new(),
            paused: false,
            acceptor: AcceptBackoff::default(),
            retry_at: None,
        };
        match retry_on_shortage(|| ops.listen(turn)) {
            Err(error) if handover && error.kind() == io::ErrorKind::AddrInUse => {
                tracing::warn!(kind = "ops", at = %address, "address for operators is in use; retrying until it is free");
                ops.retry_at = Some(turn.now + RETRY_INTERVAL);
            }
            result => result.map_err(|source| ListenError { address, source })?,
        }
        Ok(ops)
    }

    fn listen(&mut self, turn: &mut Turn<'_>) -> io::Result<()> {
        let listener = turn
            .reactor
            .watch(listen(self.address)?, self.listener_key, false)?;
        tracing::info!(at = %listener.local_addr()?, "operator listener open");
        self.listener = Some(listener);
        Ok(())
    }

    /// Accepts callers until none are pending, or no slot or descriptor is free.
    fn accept(&mut self, turn: &mut Turn<'_>) {
        self.acceptor.begin_turn();
        loop {
            if self.callers.len() >= MAX_CALLERS && !self.free_slot(turn) {
                return self.set_paused(true);
            }
            let Some(listener) = &self.listener else {
                return;
            };
            match listener.accept() {
                Ok((socket, _)) => self.add(turn, socket),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return self.set_paused(false),
                Err(error) => {
                    if !self.accept_failed(turn, &error) {
                        return;
                    }
                }
            }
        }
    }

    /// Handles a failed `accept`. Returns whether to call it again now; otherwise the listener is paused, since the poller
    /// would report it continuously.
    fn accept_failed(&mut self, turn: &mut Turn<'_>, error: &io::Error) -> bool {
        let fault = AcceptFault::of(error);
        // Out of descriptors: disconnecting a silent caller frees one.
        if fault == AcceptFault::Descriptors && descriptors_exhausted() && self.free_slot(turn) {
            return true;
        }
        if self.acceptor.failed(turn.now, fault) == AcceptRetry::Now {
            return true;
        }
        tracing::warn!(kind = "ops", %error, "cannot accept a connection of an operator; retrying");
        self.retry_at = Some(turn.now + RETRY_INTERVAL);
        self.set_paused(true);
        false
    }

    /// Adds a caller, and reads its call if that has arrived.
    fn add(&mut self, turn: &mut Turn<'_>, socket: TcpStream) {
        let key = turn.key();
        if socket.set_nonblocking(true).is_err() {
            return;
        }
        let Ok(socket) = turn.reactor.watch(socket, key, false) else {
            return;
        };
        let caller = Caller {
            socket,
            input: Vec::new(),
            output: Vec::new(),
            connected_at: turn.now,
            has_called: false,
            closes_at: None,
        };
        self.callers.insert(key, caller);
        self.serve(turn, key);
    }

    fn set_paused(&mut self, paused: bool) {
        if self.paused == paused {
            return;
        }
        self.paused = paused;
        if let Some(listener) = &self.listener {
            // Fails only for a socket that is not watched.
            let _ = listener.rewatch(!paused, false);
        }
    }

    /// Disconnects the oldest caller that has its response, or else the oldest that has sent no call within the grace period.
    /// Keys increase in the order of arrival. Returns whether a slot is free.
    fn free_slot(&mut self, turn: &mut Turn<'_>) -> bool {
        let done = self
            .callers
            .iter()
            .find(|(_, c)| c.closes_at.is_some())
            .map(|(key, _)| *key);
        let silent = || {
            let is_silent = |c: &Caller| !c.has_called && turn.now >= c.connected_at + CALL_GRACE;
            self.callers
                .iter()
                .find(|(_, c)| is_silent(c))
                .map(|(key, _)| *key)
        };
        let Some(key) = done.or_else(silent) else {
            return false;
        };
        // Its call may have arrived in the meantime.
        self.serve(turn, key);
        if self
            .callers
            .get(&key)
            .is_some_and(|c| !c.has_called || c.closes_at.is_some())
        {
            self.callers.remove(&key);
        }
        self.callers.len() < MAX_CALLERS
    }

    fn serve(&mut self, turn: &mut Turn<'_>, key: usize) {
        let Some(caller) = self.callers.get_mut(&key) else {
            return;
        };
        let call = caller.read();
        let written = caller.write(turn.now);
        match (call, written) {
            (Err(_), _) | (_, Err(_)) => drop(self.callers.remove(&key)),
            (Ok(Some(Ok(call))), _) => {
                caller.has_called = true;
                let (name, arguments) = command(call);
                // Poller keys are unique among all drivers, so the key identifies the command.
                let id = key as u64;
                let name = name.into();
                turn.effects.push(Effect::Admin(AdminEffect::Command {
                    id,
                    name,
                    arguments,
                }));
            }
            (Ok(Some(Err(error))), _) => {
                tracing::info!(kind = "ops", %error, "rejected an invalid call of an operator");
                self.answer(turn.now, key, answer(Err(&error.to_string()), None));
            }
            (Ok(None), _) => {}
        }
    }

    fn answer(&mut self, now: Timestamp, key: usize, text: Vec<u8>) {
        let Some(caller) = self.callers.get_mut(&key) else {
            return;
        };
        caller.has_called = true;
        caller.output = text;
        if caller.write(now).is_err() {
            self.callers.remove(&key);
        }
    }
}

impl Caller {
    /// Reads the available input. Returns the call once it is complete. An error means that the caller has to be
    /// disconnected.
    fn read(&mut self) -> io::Result<Option<Result<Call, CallError>>> {
        let ended = self.fill()?;
        if self.has_called {
            return self.read_after_call(ended).map(|()| None);
        }
        match decode(&self.input, ended) {
            Ok(None) if ended => Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(call) => {
                if ended {
                    self.socket.rewatch(false, false)?;
                }
                Ok(call.map(Ok))
            }
            Err(error) => Ok(Some(Err(error))),
        }
    }

    /// Reads into the input buffer and discards what follows the call. Returns whether the caller has shut down its side.
    fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; MAX_LINE_BYTES];
        for _ in 0..MAX_READS_PER_TURN {
            match (&*self.socket).read(&mut chunk) {
                Ok(0) => return Ok(true),
                Ok(n) if !self.has_called => self.input.extend_from_slice(&chunk[..n]),
                Ok(_) => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => break,
                Err(e) => return Err(e),
            }
        }
        Ok(false)
    }

    /// Disconnects a caller that has its response and has shut down its side.
    fn read_after_call(&mut self, ended: bool) -> io::Result<()> {
        if !ended {
            return Ok(());
        }
        if self.output.is_empty() && self.closes_at.is_some() {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        // Watched for reading, the end of the stream would be reported continuously.
        self.socket.rewatch(false, !self.output.is_empty())
    }

    /// Writes the response, and shuts down this side once it is complete.
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
        // Closing now would reset the connection if the caller had sent more than its call, and could lose the response.
        self.socket.shutdown(std::net::Shutdown::Write)?;
        self.closes_at = Some(now + CLOSE_TIMEOUT);
        self.socket.rewatch(true, false)
    }
}

/// Converts a call to a command and its arguments.
fn command(call: Call) -> (&'static str, Value) {
    match call {
        Call::Health => ("health", Value::Null),
        Call::Counters => ("counters", Value::Null),
        Call::Cordon(id) => ("cordon", json!({"node": endpoint_name(id)})),
        Call::Uncordon(id) => ("uncordon", json!({"node": endpoint_name(id)})),
        Call::Quiesce => ("quiesce", Value::Null),
        Call::Resume => ("resume", Value::Null),
    }
}

impl Driver for Ops {
    fn ready(&mut self, turn: &mut Turn<'_>, key: usize, _readable: bool, _writable: bool) {
        if key == self.listener_key {
            self.accept(turn);
        } else {
            self.serve(turn, key);
        }
    }

    fn due(&mut self, turn: &mut Turn<'_>) {
        let expired =
            |c: &Caller| turn.now >= c.closes_at.unwrap_or(c.connected_at + CALLER_TIMEOUT);
        let expired: Vec<_> = self
            .callers
            .iter()
            .filter(|(_, c)| expired(c))
            .map(|(key, _)| *key)
            .collect();
        expired
            .into_iter()
            .for_each(|key| drop(self.callers.remove(&key)));
        if self.listener.is_none() && self.retry_at.is_some_and(|time| turn.now >= time) {
            self.retry_at = self
                .listen(turn)
                .is_err()
                .then_some(turn.now + RETRY_INTERVAL);
        }
        if self.paused {
            self.retry_at = None;
            self.accept(turn);
        }
    }

    fn next(&self) -> Option<Timestamp> {
        let timeout = |c: &Caller| {
            if self.paused && !c.has_called {
                CALL_GRACE
            } else {
                CALLER_TIMEOUT
            }
        };
        self.callers
            .values()
            .map(|c| c.closes_at.unwrap_or(c.connected_at + timeout(c)))
            .chain(self.retry_at)
            .min()
    }

    fn handle_effect(&mut self, turn: &mut Turn<'_>, effect: &Effect) {
        let Effect::Admin(AdminEffect::Response { id, result }) = effect else {
            return;
        };
        let key = *id as usize;
        let text = match result {
            Ok(Value::Object(counters)) => {
                let lines: Vec<_> = counters
                    .iter()
                    .map(|(name, count)| format!("{name}={count}"))
                    .collect();
                answer(Ok(""), Some(&lines))
            }
            Ok(value) => answer(Ok(value.as_str().unwrap_or_default()), None),
            Err(error) => answer(Err(error), None),
        };
        self.answer(turn.now, key, text);
    }
}
