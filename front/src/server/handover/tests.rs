use super::*;

const NODE: EndpointId = EndpointId(0x00c4_1f7a);

#[test]
fn one_process_accepts_and_the_next_one_when_it_lets_go_or_dies() {
    let folder = tempfile::tempdir().unwrap();
    let mut all: Vec<_> = (0..3)
        .map(|_| Handover::new(folder.path()).unwrap())
        .collect();
    assert!(all[0].try_accept() && all[0].is_alone());
    assert!(!all[1].try_accept() && !all[2].try_accept());
    all[0].hand_over(5, &[]);
    assert!(all[1].try_accept() && !all[2].try_accept() && !all[0].try_accept());
    assert!(!all[1].is_alone(), "the first one still lives");
    // Dropped, as the system drops the files of a process that was killed.
    all.remove(0);
    assert!(all[0].is_alone());
    all.remove(0);
    assert!(all[0].try_accept() && all[0].is_alone());
}

#[test]
fn what_was_learned_is_read_once_and_while_it_is_fresh() {
    let folder = tempfile::tempdir().unwrap();
    let mut old = Handover::new(folder.path()).unwrap();
    let new = Handover::new(folder.path()).unwrap();
    let down = vec![LearnedHealth {
        endpoint: NODE,
        started: 0,
        slow_start_at: 0,
        down: true,
        connection_lost: false,
    }];
    let mut hand_over = |now| {
        assert!(old.try_accept());
        old.hand_over(now, &down);
    };
    hand_over(5);
    assert_eq!(new.take_learned(6), down);
    assert!(new.take_learned(6).is_empty(), "it is read once");
    hand_over(5);
    assert!(
        new.take_learned(5 + MAX_LEARNED_AGE + 1).is_empty(),
        "too old"
    );
    // Torn, or of the future: as if absent.
    for text in [
        "cranesill learned v1 00000000\nat 5\n",
        "cranesill learned v2 00000000\n",
        "",
        "\u{7f}",
    ] {
        fs::write(folder.path().join("cranesill/learned"), text).unwrap();
        assert!(new.take_learned(6).is_empty());
    }
}

#[test]
fn a_hand_over_that_can_not_be_written_leaves_nothing_behind_and_the_next_process_accepts() {
    let folder = tempfile::tempdir().unwrap();
    let (mut old, mut new) = (
        Handover::new(folder.path()).unwrap(),
        Handover::new(folder.path()).unwrap(),
    );
    assert!(old.try_accept());
    // Nothing can take the place of a folder.
    fs::create_dir_all(folder.path().join("cranesill/learned/held")).unwrap();
    old.hand_over(5, &[]);
    let names = fs::read_dir(folder.path().join("cranesill"))
        .unwrap()
        .flatten()
        .map(|file| file.file_name());
    assert!(names
        .into_iter()
        .all(|name| !name.to_string_lossy().ends_with(".tmp")));
    assert!(new.try_accept());
}

#[test]
fn members_out_by_hand_are_seen_by_all_and_what_is_foreign_is_passed_over() {
    let folder = tempfile::tempdir().unwrap();
    let (old, mut new) = (
        Handover::new(folder.path()).unwrap(),
        Handover::new(folder.path()).unwrap(),
    );
    old.set_cordon(NODE, true).unwrap();
    old.set_cordon(NODE, true).unwrap();
    fs::write(folder.path().join("cranesill/v2.out.s-00000001"), "").unwrap();
    assert_eq!(new.cordons(), Some([NODE].into()));
    new.set_cordon(NODE, false).unwrap();
    new.set_cordon(NODE, false).unwrap();
    assert_eq!(new.cordons(), Some(BTreeSet::new()));
    // Nor do so many that not all are looked at.
    new.set_cordon(NODE, true).unwrap();
    assert_eq!(new.cordons(), Some([NODE].into()));
    (0..MAX_FILES)
        .for_each(|n| fs::write(folder.path().join(format!("cranesill/x{n}")), "").unwrap());
    assert_eq!(new.cordons(), None);
    // What can't be read says nothing: nobody comes back by it.
    fs::rename(folder.path().join("cranesill"), folder.path().join("aside")).unwrap();
    assert_eq!(new.cordons(), None);
}
