use super::*;

const NODE: EndpointId = EndpointId(0x00c4_1f7a);

#[test]
fn one_process_accepts_and_the_next_one_when_it_lets_go_or_dies() {
    let folder = tempfile::tempdir().unwrap();
    let mut all: Vec<_> = (0..3)
        .map(|_| Shared::new(folder.path()).unwrap())
        .collect();
    assert!(all[0].accepts() && all[0].alone());
    assert!(!all[1].accepts() && !all[2].accepts());
    all[0].hand_over(5, &[]);
    assert!(all[1].accepts() && !all[2].accepts() && !all[0].accepts());
    assert!(!all[1].alone(), "the first one still lives");
    // Dropped, as the system drops the files of a process that was killed.
    all.remove(0);
    assert!(all[0].alone());
    all.remove(0);
    assert!(all[0].accepts() && all[0].alone());
}

#[test]
fn what_was_learned_is_read_once_and_while_it_is_fresh() {
    let folder = tempfile::tempdir().unwrap();
    let mut old = Shared::new(folder.path()).unwrap();
    let new = Shared::new(folder.path()).unwrap();
    let down = vec![LearnedHealth {
        endpoint: NODE,
        started: 0,
        slow_start_at: 0,
        down: true,
        connection_lost: false,
    }];
    let mut hand_over = |now| {
        assert!(old.accepts());
        old.hand_over(now, &down);
    };
    hand_over(5);
    assert_eq!(new.learned(6), down);
    assert!(new.learned(6).is_empty(), "it is read once");
    hand_over(5);
    assert!(new.learned(5 + LEARNED_FRESH + 1).is_empty(), "too old");
    // Torn, or of the future: as if absent.
    for text in [
        "cranesill learned v1 00000000\nat 5\n",
        "cranesill learned v2 00000000\n",
        "",
        "\u{7f}",
    ] {
        fs::write(folder.path().join("cranesill/learned"), text).unwrap();
        assert!(new.learned(6).is_empty());
    }
}

#[test]
fn a_hand_over_that_can_not_be_written_leaves_nothing_behind_and_the_next_process_accepts() {
    let folder = tempfile::tempdir().unwrap();
    let (mut old, mut new) = (
        Shared::new(folder.path()).unwrap(),
        Shared::new(folder.path()).unwrap(),
    );
    assert!(old.accepts());
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
    assert!(new.accepts());
}

#[test]
fn members_out_by_hand_are_seen_by_all_and_what_is_foreign_is_passed_over() {
    let folder = tempfile::tempdir().unwrap();
    let (old, mut new) = (
        Shared::new(folder.path()).unwrap(),
        Shared::new(folder.path()).unwrap(),
    );
    old.set_out(NODE, true).unwrap();
    old.set_out(NODE, true).unwrap();
    fs::write(folder.path().join("cranesill/v2.out.s-00000001"), "").unwrap();
    assert_eq!(new.out(), Some([NODE].into()));
    new.set_out(NODE, false).unwrap();
    new.set_out(NODE, false).unwrap();
    assert_eq!(new.out(), Some(BTreeSet::new()));
    // Nor do so many that not all are looked at.
    new.set_out(NODE, true).unwrap();
    assert_eq!(new.out(), Some([NODE].into()));
    (0..FILES_MOST)
        .for_each(|n| fs::write(folder.path().join(format!("cranesill/x{n}")), "").unwrap());
    assert_eq!(new.out(), None);
    // What can't be read says nothing: nobody comes back by it.
    fs::rename(folder.path().join("cranesill"), folder.path().join("aside")).unwrap();
    assert_eq!(new.out(), None);
}
