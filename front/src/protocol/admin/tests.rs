use super::*;

#[test]
fn a_call_is_one_complete_line_and_other_input_is_rejected() {
    let decode_to_text = |bytes: &[u8], end_of_input| match decode(bytes, end_of_input) {
        Ok(call) => format!("{call:?}"),
        Err(error) => error.to_string(),
    };
    let too_long = [b'x'; MAX_LINE_BYTES];
    let inputs: [(&[u8], bool); 20] = [
        (b"", false),
        (b"", true),
        (b"heal", false),
        (b"heal", true),
        (b"health\n", false),
        (b"health\r\n", true),
        (b"counters\n", false),
        (b"cordon s-00c41f7a\n", false),
        (b"uncordon s-00C41F7A\n", false),
        (b"quiesce\n", false),
        (b"resume\n", false),
        (b"cordon\n", false),
        (b"cordon 00c41f7a\n", false),
        (b"cordon s-00c41f7a s-00c41f7b\n", false),
        (b"health now\n", false),
        (b"HEALTH\n", false),
        (b"\n", false),
        (b"health\nresume\n", false),
        (b"\xff\xfe\n", false),
        (&too_long, false),
    ];
    let decoded: Vec<_> = inputs
        .iter()
        .map(|(bytes, end_of_input)| decode_to_text(bytes, *end_of_input))
        .collect();
    insta::assert_debug_snapshot!(decoded);
}

#[test]
fn an_answer_is_one_line_or_ends_with_a_dot_on_a_line_of_its_own() {
    assert_eq!(answer(Ok(""), None), b"+OK\n");
    assert_eq!(answer(Err("two\nlines"), None), b"-ERR two lines\n");
    assert_eq!(
        answer(Ok(""), Some(&["a=1".into(), "b=2".into()])),
        b"+OK\na=1\nb=2\n.\n"
    );
}
