use super::*;

#[test]
fn one_process_owns_a_file_until_it_releases_it_or_ends() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("state.json");
    let mut first = Ownership::of_file(&path);
    let mut second = Ownership::of_file(&path);
    assert_eq!(
        second.owner(),
        "another process",
        "there is no lock file yet"
    );
    assert!(first.try_acquire().unwrap() && first.try_acquire().unwrap());
    assert!(!second.try_acquire().unwrap());
    assert_eq!(second.owner(), format!("process {}", std::process::id()));
    first.release();
    assert!(second.try_acquire().unwrap() && !first.try_acquire().unwrap());
    // Dropping closes the file, as the system does when a process is killed.
    drop(second);
    assert!(first.try_acquire().unwrap());
}

#[test]
fn a_folder_that_does_not_exist_is_an_error_and_not_ownership() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("missing/state");
    assert!(Ownership::of_file(&path).try_acquire().is_err());
}
