use super::*;

#[test]
fn an_older_fence_is_refused_also_after_a_restart() {
    let mut gate = Gate::default();
    assert_eq!((gate.pass(3), gate.pass(3), gate.pass(2)), (Ok(()), Ok(()), Err(3)));
    let mut anew = Gate::at(3);
    assert_eq!((anew.pass(2), anew.refused, anew.pass(4)), (Err(3), 1, Ok(())));
}
