use super::*;

fn command(id: &str, target: PurgeTarget) -> Command {
    Command {
        target,
        id: id.into(),
        who: "ops".into(),
        why: "photos".into(),
        all: false,
    }
}

fn append_purge(log: &mut PurgeLog, now: UnixMillis, id: &str) -> PurgeNumber {
    let Ok(Prepared::New(purge)) = log.prepare(now, &command(id, PurgeTarget::Object(7))) else {
        panic!()
    };
    let number = purge.number;
    assert_eq!(log.append(log.identity, purge), Ok(Appended::New));
    number
}

#[test]
fn a_repeated_command_is_one_purge_and_timestamps_never_decrease() {
    let mut log = PurgeLog::new(9);
    assert_eq!(append_purge(&mut log, 500, "a"), 1);
    assert_eq!(
        log.prepare(600, &command("a", PurgeTarget::Object(7))),
        Ok(Prepared::Duplicate(1))
    );
    assert_eq!(
        log.prepare(600, &command("a", PurgeTarget::Object(8))),
        Err(CommandError::IdInUse)
    );
    append_purge(&mut log, 100, "b");
    assert_eq!(
        log.get(2).unwrap().at_ms,
        500,
        "the clock was set back, the order is kept"
    );
}

#[test]
fn a_follower_rejects_gaps_other_logs_and_conflicting_purges() {
    let mut log = PurgeLog::new(9);
    (0..5).for_each(|i| assert!(append_purge(&mut log, i, &i.to_string()) > 0));
    let all = log.batch_after(0).unwrap();
    let mut follower = PurgeLog::new(9);
    assert_eq!(follower.append(9, all[1].clone()), Err(AppendError::Gap));
    assert_eq!(
        follower.append(8, all[0].clone()),
        Err(AppendError::Foreign)
    );
    all.iter()
        .for_each(|p| assert_eq!(follower.append(9, p.clone()), Ok(Appended::New)));
    assert_eq!(
        follower.append(9, all[2].clone()),
        Ok(Appended::AlreadyPresent),
        "a repeated purge is accepted"
    );
    let other = Purge {
        target: PurgeTarget::Object(99),
        ..all[2].clone()
    };
    assert_eq!(follower.append(9, other), Err(AppendError::Conflict));
    assert_eq!(follower, log);
}

#[test]
fn only_confirmed_purges_older_than_the_horizon_are_compacted() {
    let mut log = PurgeLog::new(9);
    (0..10).for_each(|i| assert!(append_purge(&mut log, i * 100, &i.to_string()) > 0));
    assert_eq!(log.compact(0, 10_000), 0, "no purge is confirmed");
    assert_eq!(log.compact(10, 0), 0, "no purge is older than the horizon");
    assert_eq!(log.compact(6, 401), 5);
    assert_eq!(
        (log.base(), log.last_number(), log.get(5).is_none()),
        (5, 10, true)
    );
    assert_eq!(
        log.batch_after(4),
        None,
        "a follower before the base must restart"
    );
    assert_eq!(log.batch_after(7).unwrap().len(), 3);
    assert_eq!(log.batch_after(10).unwrap(), []);
}

#[test]
fn invalid_commands_are_rejected() {
    let log = PurgeLog::new(9);
    for (target, error) in [
        (PurgeTarget::Tag("".into()), CommandError::InvalidTag),
        (
            PurgeTarget::Tag("a,b".into()),
            CommandError::TagWithSeparator,
        ),
        (
            PurgeTarget::Tag("x".repeat(65).into()),
            CommandError::InvalidTag,
        ),
        (
            PurgeTarget::Pattern("*".into()),
            CommandError::MatchesEverything,
        ),
        (
            PurgeTarget::Pattern("**/*".into()),
            CommandError::MatchesEverything,
        ),
        (
            PurgeTarget::Pattern("[".into()),
            PatternError::Syntax.into(),
        ),
        (
            PurgeTarget::Pattern("a".repeat(201).into()),
            PatternError::Length.into(),
        ),
    ] {
        assert_eq!(
            log.prepare(1, &command("a", target.clone())),
            Err(error),
            "{target:?}"
        );
    }
    let all = Command {
        all: true,
        ..command("a", PurgeTarget::Pattern("*".into()))
    };
    assert!(matches!(log.prepare(1, &all), Ok(Prepared::New(_))));
    assert!(log
        .prepare(1, &command("", PurgeTarget::Object(1)))
        .is_err());
    assert!(log
        .prepare(1, &command("a\nb", PurgeTarget::Object(1)))
        .is_err());
}
