use super::*;

const ENDPOINT: EndpointId = EndpointId(0x00c4_1f7a);

#[test]
fn the_next_process_accepts_after_a_handover_or_the_end_of_the_earlier_process() {
    let directory = tempfile::tempdir().unwrap();
    let mut processes: Vec<_> = (0..3)
        .map(|_| Handover::new(directory.path()).unwrap())
        .collect();
    assert!(processes[0].try_accept() && processes[0].is_only_process());
    assert!(!processes[1].try_accept() && !processes[2].try_accept());
    processes[0].hand_over(5, &[]);
    assert!(processes[1].try_accept() && !processes[2].try_accept() && !processes[0].try_accept());
    assert!(
        !processes[1].is_only_process(),
        "the first process is still running"
    );
    // Dropping closes the files, as the system does when a process is killed.
    processes.remove(0);
    assert!(processes[0].is_only_process());
    processes.remove(0);
    assert!(processes[0].try_accept() && processes[0].is_only_process());
}

#[test]
fn learned_health_is_read_once_and_only_while_recent() {
    let directory = tempfile::tempdir().unwrap();
    let mut earlier = Handover::new(directory.path()).unwrap();
    let later = Handover::new(directory.path()).unwrap();
    let down = vec![LearnedHealth {
        endpoint: ENDPOINT,
        started: 0,
        slow_start_at: 0,
        down: true,
        connection_lost: false,
    }];
    let mut hand_over = |now| {
        assert!(earlier.try_accept());
        earlier.hand_over(now, &down);
    };
    hand_over(5);
    assert_eq!(later.take_learned(6), down);
    assert!(later.take_learned(6).is_empty(), "it is read once");
    hand_over(5);
    assert!(
        later.take_learned(5 + MAX_LEARNED_AGE + 1).is_empty(),
        "too old"
    );
    // Damaged files and files of a later format are ignored.
    for text in [
        "cranesill learned v1 00000000\nat 5\n",
        "cranesill learned v2 00000000\n",
        "",
        "\u{7f}",
    ] {
        fs::write(directory.path().join("cranesill/learned"), text).unwrap();
        assert!(later.take_learned(6).is_empty());
    }
}

#[test]
fn a_failed_write_of_learned_health_leaves_no_file_and_releases_the_lock() {
    let directory = tempfile::tempdir().unwrap();
    let (mut earlier, mut later) = (
        Handover::new(directory.path()).unwrap(),
        Handover::new(directory.path()).unwrap(),
    );
    assert!(earlier.try_accept());
    // A file cannot be renamed over a directory.
    fs::create_dir_all(directory.path().join("cranesill/learned/held")).unwrap();
    earlier.hand_over(5, &[]);
    let names = fs::read_dir(directory.path().join("cranesill"))
        .unwrap()
        .flatten()
        .map(|file| file.file_name());
    assert!(names
        .into_iter()
        .all(|name| !name.to_string_lossy().ends_with(".tmp")));
    assert!(later.try_accept());
}

#[test]
fn cordons_are_shared_between_processes_and_unknown_files_are_ignored() {
    let directory = tempfile::tempdir().unwrap();
    let (earlier, mut later) = (
        Handover::new(directory.path()).unwrap(),
        Handover::new(directory.path()).unwrap(),
    );
    earlier.set_cordon(ENDPOINT, true).unwrap();
    earlier.set_cordon(ENDPOINT, true).unwrap();
    fs::write(directory.path().join("cranesill/v2.out.s-00000001"), "").unwrap();
    assert_eq!(later.cordons(), Some([ENDPOINT].into()));
    later.set_cordon(ENDPOINT, false).unwrap();
    later.set_cordon(ENDPOINT, false).unwrap();
    assert_eq!(later.cordons(), Some(BTreeSet::new()));
    // Cordons are not read if there are too many files.
    later.set_cordon(ENDPOINT, true).unwrap();
    assert_eq!(later.cordons(), Some([ENDPOINT].into()));
    (0..MAX_FILES)
        .for_each(|n| fs::write(directory.path().join(format!("cranesill/x{n}")), "").unwrap());
    assert_eq!(later.cordons(), None);
    // A directory that cannot be read lifts no cordon.
    fs::rename(
        directory.path().join("cranesill"),
        directory.path().join("aside"),
    )
    .unwrap();
    assert_eq!(later.cordons(), None);
}
