//! Checks that the decision module stays free of I/O and clocks, and its files short.
use std::path::{Path, PathBuf};

/// Paths and keywords that the decision module must not use: I/O, clocks, threads, randomness and unsafe code.
const FORBIDDEN: [&str; 10] = [
    "std::fs",
    "std::io",
    "std::net",
    "std::os",
    "std::env",
    "std::process",
    "std::thread",
    "std::time",
    "rand::",
    "unsafe",
];
/// Maximum number of lines of a file.
const MAX_LINES: usize = 420;
/// Maximum number of characters of a line.
const MAX_WIDTH: usize = 120;

fn source_files(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            files.extend(source_files(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs")
            && !path.ends_with("tests.rs")
        {
            files.push(path);
        }
    }
    files
}

#[test]
fn the_decision_module_does_no_io_and_keeps_its_files_small() {
    let files = source_files(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src"));
    assert!(files.len() >= 5, "{files:?}");
    for path in files {
        let text = std::fs::read_to_string(&path).unwrap();
        let code = text
            .lines()
            .filter(|line| !line.trim_start().starts_with("//"));
        for line in code {
            let forbidden = FORBIDDEN
                .iter()
                .find(|word| line.contains(**word) && !line.contains("forbid(unsafe_code)"));
            assert_eq!(forbidden, None, "{}: {line}", path.display());
        }
        assert!(text.lines().count() <= MAX_LINES, "{}", path.display());
        let wide = text.lines().find(|line| line.chars().count() > MAX_WIDTH);
        assert_eq!(wide, None, "{}", path.display());
        assert!(
            text.starts_with("//!"),
            "{} has no module documentation",
            path.display()
        );
    }
}

#[test]
fn the_deploy_file_lists_each_decision_module() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml")).unwrap();
    let list = deploy
        .lines()
        .find_map(|line| line.strip_prefix("policy = ["))
        .and_then(|rest| rest.split(']').next())
        .expect("a list of policy files in deploy/balancer.toml");
    let mut listed: Vec<PathBuf> = list
        .split(", ")
        .map(|name| root.join(name.trim_matches('"')))
        .collect();
    let mut modules = source_files(&root.join("src/policy"));
    listed.sort_unstable();
    modules.sort_unstable();
    assert_eq!(listed, modules);
}
