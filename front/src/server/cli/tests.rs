#[test]
fn the_command_line_is_sound() {
    super::options().check_invariants(false);
}
