use super::*;

fn announced(key: u64) -> Announcement {
    Announcement {
        key: ExecutionKey(key),
        withdrawn: false,
    }
}

#[test]
fn each_process_reads_what_the_others_announce_once() {
    let directory = tempfile::tempdir().unwrap();
    let mut first = Executions::new(directory.path());
    std::thread::sleep(std::time::Duration::from_millis(1));
    let mut second = Executions::new(directory.path());
    assert!(first.read_others(true).is_empty());
    second.announce(ExecutionKey(1), std::iter::empty());
    assert_eq!(first.read_others(false), [announced(1)]);
    assert!(first.read_others(true).is_empty());
    first.announce(ExecutionKey(2), std::iter::empty());
    first.withdraw(ExecutionKey(2));
    let withdrawn = Announcement {
        withdrawn: true,
        ..announced(2)
    };
    assert_eq!(second.read_others(true), [announced(2), withdrawn]);
    // The file of a process that was killed remains until its successor has read it.
    drop(first);
    let mut third = Executions::new(directory.path());
    assert_eq!(third.read_others(true).len(), 3);
    third.remove_ended();
    let files = fs::read_dir(directory.path()).unwrap().count();
    assert_eq!(files, 2, "those of the second and of the third process");
}

#[test]
fn a_file_that_has_grown_long_is_replaced_and_read_on() {
    let directory = tempfile::tempdir().unwrap();
    let mut first = Executions::new(directory.path());
    std::thread::sleep(std::time::Duration::from_millis(1));
    let mut second = Executions::new(directory.path());
    for key in 0..MAX_RECORDS as u64 {
        first.announce(ExecutionKey(key), std::iter::empty());
    }
    assert_eq!(second.read_others(true).len(), MAX_RECORDS);
    first.announce(ExecutionKey(9), [ExecutionKey(7)].into_iter());
    assert_eq!(second.read_others(false), [announced(7), announced(9)]);
}
