use super::*;

fn ask(front: Front, number: u64) -> Command {
    prolong(front, number, 0)
}

fn prolong(front: Front, number: u64, prolongs: Fence) -> Command {
    Command::Ask { front, number, duty: 0, prolongs }
}

fn granted(front: Front, number: u64, fence: Fence, renewals: u64) -> Option<Fact> {
    Some(Fact::Granted { front, number, duty: 0, fence, renewals })
}

fn refused(front: Front, number: u64, why: No) -> Option<Fact> {
    Some(Fact::Refused { front, number, duty: 0, why })
}

#[test]
fn one_holds_at_a_time_under_a_fence_that_grows_and_what_comes_twice_changes_nothing() {
    let mut book = Book::new(1);
    assert_eq!(book.apply(ask(7, 1)), granted(7, 1, 1, 0));
    assert_eq!(book.apply(ask(8, 1)), refused(8, 1, No::Held(7)));
    assert_eq!(book.apply(prolong(7, 2, 1)), granted(7, 2, 1, 1));
    assert_eq!(book.apply(prolong(7, 2, 1)), refused(7, 2, No::Old));
    // One that gave it up or began anew is not prolonged: its old word may still be on its way.
    assert_eq!(book.apply(ask(7, 3)), refused(7, 3, No::Held(7)));
    // A leader that looked before the last word does not take it away.
    assert_eq!(book.apply(Command::Lapse { duty: 0, fence: 1, renewals: 0 }), None);
    assert_eq!(book.apply(Command::Lapse { duty: 0, fence: 1, renewals: 1 }), Some(Fact::Free(0)));
    assert_eq!(book.apply(ask(8, 2)), granted(8, 2, 2, 0));
    // An old holder's word that was held up for long.
    assert_eq!(book.apply(Command::Release { front: 7, duty: 0, fence: 1 }), None);
    assert_eq!(book.held(0), Some((8, 2, 0)));
    assert_eq!(
        book.apply(Command::Ask { front: 7, number: 9, duty: 5, prolongs: 0 }),
        Some(Fact::Refused { front: 7, number: 9, duty: 5, why: No::Unknown })
    );
}

#[test]
fn operators_move_a_duty_or_keep_it_back() {
    let mut book = Book::new(1);
    book.apply(ask(7, 1));
    book.apply(Command::Move { duty: 0, to: 9 });
    assert_eq!(book.apply(prolong(7, 2, 1)), refused(7, 2, No::Meant(9)));
    book.apply(Command::Release { front: 7, duty: 0, fence: 1 });
    assert_eq!(book.apply(ask(8, 1)), refused(8, 1, No::Meant(9)));
    assert_eq!(book.apply(ask(9, 1)), granted(9, 1, 2, 0));
    book.apply(Command::Hold { duty: 0, on: true });
    assert_eq!(book.apply(prolong(9, 2, 2)), refused(9, 2, No::Kept));
    book.apply(Command::Lapse { duty: 0, fence: 2, renewals: 0 });
    assert_eq!(book.apply(ask(7, 3)), refused(7, 3, No::Kept));
    book.apply(Command::Hold { duty: 0, on: false });
    assert_eq!(book.apply(ask(7, 4)), granted(7, 4, 3, 0));
}
