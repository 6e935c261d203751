use super::*;

#[test]
fn a_term_is_counted_whole_from_the_last_word_and_anew_by_each_leader() {
    let mut book = Book::new(1);
    let mut keeper = Keeper::new(100);
    book.apply(Command::Ask { front: 7, number: 1, duty: 0, prolongs: 0 });
    assert!(keeper.look(0, &book).is_empty() && keeper.next().is_none(), "it does not lead");
    keeper.leads(10, true);
    assert!(keeper.look(10, &book).is_empty());
    book.apply(Command::Ask { front: 7, number: 2, duty: 0, prolongs: 1 });
    assert!(keeper.look(90, &book).is_empty());
    assert!(keeper.look(189, &book).is_empty());
    let lapse = vec![Command::Lapse { duty: 0, fence: 1, renewals: 1 }];
    assert_eq!((keeper.next(), keeper.look(190, &book)), (Some(190), lapse.clone()));
    assert!(keeper.look(191, &book).is_empty());
    assert_eq!(keeper.look(203, &book), lapse, "said again");
    keeper.leads(210, false);
    assert!(keeper.look(400, &book).is_empty());
    keeper.leads(400, true);
    assert!(keeper.look(400, &book).is_empty());
    assert!(keeper.look(499, &book).is_empty());
    assert_eq!(keeper.look(500, &book), lapse);
}
