use super::*;

#[test]
fn only_temporary_files_of_the_same_front_are_removed() {
    let folder = tempfile::tempdir().unwrap();
    let path = |name: &str| folder.path().join(name);
    let others = ["n1.list", "n10.77.tmp", "n1.notes.tmp", "n1..tmp", "n1.tmp"];
    others
        .iter()
        .chain(&["n1.77.tmp", "n1.4194304.tmp"])
        .for_each(|name| fs::write(path(name), "partial").unwrap());
    remove_temporary_files(&path("n1.list"));
    assert!(others.iter().all(|name| path(name).exists()));
    assert!(!path("n1.77.tmp").exists() && !path("n1.4194304.tmp").exists());
}

#[test]
fn a_failed_write_keeps_the_earlier_snapshot_and_leaves_no_temporary_file() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("n1.list");
    replace_file(&path, "before").unwrap();
    // Writes to the temporary file fail as on a full disk.
    std::os::unix::fs::symlink("/dev/full", temporary_path(&path)).unwrap();
    assert_eq!(
        replace_file(&path, "after").unwrap_err().kind(),
        io::ErrorKind::StorageFull
    );
    assert_eq!(fs::read_to_string(&path).unwrap(), "before");
    assert_eq!(fs::read_dir(folder.path()).unwrap().count(), 1);
    replace_file(&path, "after").unwrap();
    assert_eq!(fs::read_to_string(&path).unwrap(), "after");
}
