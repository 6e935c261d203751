//! Checks that `.ci/known-red` exempts exactly the tests listed in KNOWN-RED.txt, of which there are three at most.
use std::process::Command;

/// Output of `cargo test -- --list`.
const LIST: &str = "module::one: test\nmodule::two: test\nthree: test\nfour: test\nagain: test\nagain: test\n\n6 tests, 0 benchmarks\n";

/// Names of the tests that the script exempts; `None`: the script fails.
fn exempt_tests(lines: &str) -> Option<Vec<String>> {
    let folder =
        std::env::temp_dir().join(format!("known-red-{}-{}", std::process::id(), lines.len()));
    std::fs::create_dir_all(&folder).unwrap();
    let (file, list) = (folder.join("KNOWN-RED.txt"), folder.join("list"));
    std::fs::write(&file, lines).unwrap();
    std::fs::write(&list, LIST).unwrap();
    let script = concat!(env!("CARGO_MANIFEST_DIR"), "/.ci/known-red");
    let output = Command::new("bash")
        .arg(script)
        .arg(&file)
        .arg(&list)
        .output()
        .unwrap();
    std::fs::remove_dir_all(&folder).unwrap();
    let names = String::from_utf8(output.stdout)
        .unwrap()
        .lines()
        .map(String::from)
        .collect();
    output.status.success().then_some(names)
}

#[test]
fn the_script_exempts_listed_tests_and_fails_on_a_fourth_line_an_unknown_test_or_a_malformed_line()
{
    let line = |name: &str| format!("{name} | resets are reported late | issue 30\n");
    assert_eq!(exempt_tests(""), Some(vec![]));
    let three = ["module::one", "three", "four"].map(line).concat();
    assert_eq!(
        exempt_tests(&three).unwrap(),
        ["module::one", "three", "four"]
    );
    assert_eq!(
        exempt_tests(three.trim_end()).unwrap().len(),
        3,
        "the last line needs no line feed"
    );
    assert_eq!(
        exempt_tests(&(three.clone() + &line("module::two"))),
        None,
        "a fourth line must be an error"
    );
    for name in ["one", "module", "five", "again", "thre.", ""] {
        assert_eq!(exempt_tests(&line(name)), None, "{name}");
    }
    for text in [
        "three\n",
        "three | | issue 30\n",
        "three | late\n",
        "three | late | 30\n",
        "# three | late | issue 30\n",
    ] {
        assert_eq!(exempt_tests(text), None, "{text}");
    }
}
