//! Admit: a front takes on no more than its memory can hold.
use super::*;
use cranesill::api::{Event, Request};

/// Time that the decisions have for an answer once the client's time is up; it is part of the margin that take in leaves.
const GRACE: Micros = 2_000;

impl Front {
    /// Passes a request on to the decisions, or answers it at once.
    pub(super) fn admit(&mut self, now: Timestamp, open: Open, request: Request) {
        let (from, txn) = (open.from, open.ask.txn);
        // Two open requests under one id could not be told apart at a member.
        if self.by_txn.contains_key(&txn) || self.asked.contains_key(&from) {
            return self.answer(from, Some(open.class), Answer::Failed);
        }
        // Guards the memory limit: each open request will come to hold an answer. Full size for each would turn
        // away requests that there is room for; what comes larger is guarded against by holding back members.
        let expected = (self.open.len() as f64 * self.answer_bytes) as usize;
        if self.closed
            || self.open.len() >= self.room.open
            || self.held + expected > self.room.bytes
        {
            let why = if self.closed { "closed" } else { "no room" };
            let line = format!(
                "{why}: {} requests open, {} bytes held",
                self.open.len(),
                self.held
            );
            self.commands.push_back(Command::Log(line));
            return self.answer(from, Some(open.class), Answer::Refused(self.later()));
        }
        let id = request.id;
        self.asked.insert(from, id);
        self.by_txn.insert(txn, id);
        // The decisions get to answer first, when the time of an attempt is up at the same moment.
        self.commands
            .push_back(Command::Wake(open.deadline + GRACE, Wake::Request(id)));
        self.open.insert(id, open);
        self.tell(now, Event::Request(request));
    }
}
