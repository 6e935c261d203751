use super::*;

const TERM: Span = 1_000;

fn holder() -> Holder {
    Holder::new(3, TERM, 0, [(0, 100)])
}

/// Asks now, and what it is told.
fn asks(holder: &mut Holder, now: Time) -> (u64, Fence) {
    match holder.look(now)[..] {
        [Says::Log(Command::Ask { front: 3, number, duty: 0, prolongs })] => (number, prolongs),
        ref other => panic!("{other:?}"),
    }
}

fn granted(number: u64, fence: Fence) -> Fact {
    Fact::Granted { front: 3, number, duty: 0, fence, renewals: 0 }
}

#[test]
fn a_lease_counts_from_before_it_was_asked_for_less_the_drift_and_is_looked_at_before_each_act() {
    let mut holder = holder();
    assert!(holder.look(99).is_empty() && holder.act(99, 0, 99).is_err());
    let (number, prolongs) = asks(&mut holder, 100);
    assert_eq!(prolongs, 0);
    // The answer took 300 of the term.
    assert_eq!(holder.heard(400, granted(number, 5)), [Says::Begins(0, 5)]);
    let last = 100 + TERM - TERM * DRIFT_PER_MILLE / 1_000;
    assert_eq!(holder.act(last - 1, 0, last), Ok(5));
    assert!(holder.act(last - 1, 0, last + 1).is_err(), "it would outlast the lease");
    // A process that was stopped acts before anything else has been looked at.
    assert!(holder.act(last, 0, last).is_err() && holder.act(last + 5_000, 0, last + 5_001).is_err());
    assert!(holder.look(last + 5_000).contains(&Says::Ends(0, 5)));
}

#[test]
fn only_the_answer_to_the_last_word_counts_and_one_that_comes_after_its_term_is_none() {
    let mut holder = holder();
    let (first, _) = asks(&mut holder, 100);
    let (second, _) = asks(&mut holder, 100 + TERM / 3);
    assert!(holder.heard(500, granted(first, 5)).is_empty(), "nobody can tell when that was asked");
    assert!(holder.act(500, 0, 501).is_err());
    assert!(holder.heard(100 + 2 * TERM, granted(second, 5)).is_empty());
    assert!(holder.act(100 + 2 * TERM, 0, 101 + 2 * TERM).is_err());
}

#[test]
fn what_is_given_up_is_told_once_acts_have_ended_again_until_it_is_heard_and_not_asked_for_before() {
    let mut holder = holder();
    let (number, _) = asks(&mut holder, 100);
    holder.heard(110, granted(number, 5));
    assert_eq!(holder.act(150, 0, 600), Ok(5));
    assert_eq!(holder.leave(200), [Says::Ends(0, 5)]);
    assert!(holder.act(201, 0, 202).is_err() && holder.look(599).is_empty() && !holder.left());
    let release = [Says::Log(Command::Release { front: 3, duty: 0, fence: 5 })];
    assert_eq!(holder.look(600), release);
    assert!(holder.look(700).is_empty());
    assert_eq!(holder.look(600 + TERM / 5), release, "it may have been lost");
    holder.heard(900, Fact::Free(0));
    assert!(holder.left() && holder.look(5_000).is_empty() && holder.next().is_none());
    // One that fails asks again, after a term of its own, and not while it gives up.
    let mut fails = Holder::new(3, TERM, 0, [(0, 100)]);
    let (number, _) = asks(&mut fails, 100);
    fails.heard(110, granted(number, 6));
    assert_eq!(fails.act(120, 0, 1_080), Ok(6));
    assert_eq!(fails.fails(130, 0), [Says::Ends(0, 6)]);
    // Its lease and the time for which it stays away are over before the act's end is told.
    let mut said = Vec::new();
    (131..1_080).for_each(|now| said.extend(fails.look(now)));
    assert_eq!(said, []);
    assert!(matches!(fails.look(1_131)[..], [Says::Log(Command::Release { .. })]));
    assert!(fails.look(1_135).is_empty(), "not before it is heard");
}
