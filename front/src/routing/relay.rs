//! Relay: the final answer goes to the client, once.
use super::*;

impl Front {
    /// Relays what a member served. Whether the request is concluded, by this or before.
    pub(super) fn relay(&mut self, id: RequestId, reply: &MemberReply) -> bool {
        match reply.word {
            Word::Hit => {
                self.answer_bytes += (reply.body.len() as f64 - self.answer_bytes) * ANSWER_WEIGHT;
                self.conclude(id, Answer::Served(Rc::clone(&reply.body)));
            }
            Word::Valid => self.conclude(id, Answer::Same),
            _ => {}
        }
        !self.open.contains_key(&id)
    }

    /// Gives the final answer, if it is still owed.
    pub(super) fn conclude(&mut self, id: RequestId, answer: Answer) {
        if let Some(from) = self.forget(id) {
            self.answer(from, answer);
        }
    }

    pub(super) fn answer(&mut self, to: ReplyTo, answer: Answer) {
        self.commands.push_back(Command::Answer(to, answer));
    }

    /// Nothing more is owed for a request: who asked for it, if it was open.
    pub(super) fn forget(&mut self, id: RequestId) -> Option<ReplyTo> {
        let open = self.open.remove(&id)?;
        self.asked.remove(&open.from);
        self.by_txn.remove(&open.ask.txn);
        Some(open.from)
    }
}
