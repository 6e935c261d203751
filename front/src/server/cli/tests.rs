#[test]
fn command_line_definition_is_consistent() {
    super::options().check_invariants(false);
}
