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
        if let Some(Open { from, class, .. }) = self.forget(id) {
            self.answer(from, Some(class), answer);
        }
    }

    /// Every final answer passes here and is counted; one to a request of no known class is in no count.
    pub(super) fn answer(&mut self, to: ReplyTo, class: Option<usize>, answer: Answer) {
        if let Some(counts) = class.and_then(|class| self.counts.get_mut(class)) {
            match answer {
                Answer::Served(_) | Answer::Same => counts.passed += 1,
                Answer::Refused(_) => counts.dropped += 1,
                Answer::Failed => counts.bad_gateway += 1,
            }
        }
        self.commands.push_back(Command::Answer(to, answer));
    }

    /// Nothing more is owed for a request; what it was, if it was open.
    pub(super) fn forget(&mut self, id: RequestId) -> Option<Open> {
        let open = self.open.remove(&id)?;
        self.asked.remove(&open.from);
        self.by_txn.remove(&open.ask.txn);
        Some(open)
    }
}
