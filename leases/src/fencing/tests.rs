use super::*;

#[test]
fn an_older_token_is_rejected_before_and_after_a_restart() {
    let mut check = FencingCheck::default();
    assert_eq!((check.admit(3), check.admit(3)), (Ok(()), Ok(())));
    assert_eq!(
        check.admit(2),
        Err(StaleToken {
            presented: 2,
            newest: 3
        })
    );

    let mut restored = FencingCheck::restore(3);
    assert_eq!(
        restored.admit(2),
        Err(StaleToken {
            presented: 2,
            newest: 3
        })
    );
    assert_eq!((restored.rejected(), restored.admit(4)), (1, Ok(())));
}
