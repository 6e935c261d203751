//! Command line options of operator commands.
use super::{Ctl, DaemonSocket, Operation};
use bpaf::{construct, long, positional, Parser};
use std::path::PathBuf;

fn daemon() -> impl Parser<DaemonSocket> {
    let socket = long("socket")
        .help("Control socket of the daemon")
        .env("CRANESILL_SOCKET")
        .argument::<PathBuf>("PATH")
        .optional();
    let settings = long("settings")
        .help("Settings file that contains the path of the control socket")
        .argument::<PathBuf>("FILE")
        .optional();
    construct!(DaemonSocket { socket, settings })
}

fn json_out() -> impl Parser<bool> {
    long("json").help("Print JSON").switch()
}

/// Parses the command `ctl`.
pub fn ctl() -> impl Parser<Ctl> {
    let daemon = daemon();
    let json = json_out();
    let command = positional::<String>("WORD").help("Command to run; `help` lists all commands");
    let fields = positional::<String>("FIELD=VALUE").many();
    let operation =
        construct!(command, fields).map(|(command, fields)| Operation::Command(command, fields));
    construct!(Ctl {
        daemon,
        json,
        operation
    })
    .to_options()
    .descr("Send a command to a running daemon")
    .command("ctl")
}

/// Parses the command `certs`.
pub fn certs() -> impl Parser<Ctl> {
    let name = || positional::<String>("NAME").help("Any of the names of the certificate");
    let list = bpaf::pure(Operation::ListCertificates)
        .to_options()
        .descr("Show the status of all certificates")
        .command("list");
    let show = name()
        .map(Operation::ShowCertificate)
        .to_options()
        .descr("Show the status of one certificate")
        .command("show");
    let renew = name()
        .map(Operation::RenewCertificate)
        .to_options()
        .descr("Order a certificate immediately")
        .command("renew");
    let reason = long("reason")
        .help("Reason code (RFC 5280, 5.3.1), e.g. 1 for a key compromise")
        .argument::<u8>("N")
        .optional();
    let of_name = name();
    let revoke = construct!(reason, of_name)
        .map(|(reason, name)| Operation::RevokeCertificate(name, reason));
    let revoke = revoke
        .to_options()
        .descr("Revoke a certificate and order a replacement")
        .command("revoke");
    let key = long("key")
        .help("Private key in PEM")
        .argument::<PathBuf>("FILE");
    let chain = long("chain")
        .help("Certificate chain in PEM, leaf first")
        .argument::<PathBuf>("FILE");
    let import =
        construct!(key, chain).map(|(key, chain)| Operation::ImportCertificate(key, chain));
    let import = import
        .to_options()
        .descr("Import and serve an externally issued certificate")
        .command("import");
    let roll = bpaf::pure(Operation::RollAccountKey)
        .to_options()
        .descr("Replace the key of the ACME account");
    let roll = roll.command("roll-key");
    let operation = construct!([list, show, renew, revoke, import, roll]);
    let daemon = daemon();
    let json = json_out();
    construct!(Ctl {
        daemon,
        json,
        operation
    })
    .to_options()
    .descr("Manage the certificates of a running daemon")
    .command("certs")
}

/// Parses the command `purge`.
pub fn purge() -> impl Parser<Ctl> {
    let target = |name: &'static str, help: &'static str| {
        long(name)
            .help(help)
            .argument::<String>("WHAT")
            .map(move |value| (name, value))
    };
    let object = target("object", "Object id: 16 hex digits");
    let group = target("group", "Group number: 0 to 255");
    let tag = target("tag", "All objects with this tag");
    let pattern = target("pattern", "All keys CLASS/ITEM/PART that match this glob");
    let target = construct!([object, group, tag, pattern]);
    let id = long("id")
        .help("Idempotency key: a repeated id does not create another purge")
        .argument::<String>("ID")
        .optional();
    let reason = long("why")
        .help("Reason of the purge, shown with it later")
        .argument::<String>("TEXT")
        .optional();
    let all = long("all")
        .help("Allow a pattern that matches everything")
        .switch();
    let dry_run = long("dry-run")
        .help("Only count the known objects that match")
        .switch();
    let wait = long("wait")
        .help("Wait up to 60 s until all cache nodes have confirmed the purge")
        .req_flag(60u64);
    let wait_s = long("wait-s")
        .help("Like --wait, for at most S seconds")
        .argument::<u64>("S");
    let wait = construct!([wait, wait_s]).optional();
    let daemon = daemon();
    let json = json_out();
    let operation = construct!(Operation::Purge {
        target,
        id,
        reason,
        all,
        wait,
        dry_run
    });
    construct!(Ctl {
        daemon,
        json,
        operation
    })
    .to_options()
    .descr("Purge cached objects")
    .command("purge")
}

/// Parses the command `purges`.
pub fn purges() -> impl Parser<Ctl> {
    let list = bpaf::pure(Operation::ListPurges(None))
        .to_options()
        .descr("List the purge log, latest first")
        .command("list");
    let number = positional::<u64>("N").map(|n| Operation::ListPurges(Some(n)));
    let show = number.to_options().descr("Show one purge").command("show");
    let boxes = bpaf::pure(Operation::ListCacheNodes)
        .to_options()
        .descr("Show which purges each cache node has confirmed")
        .command("boxes");
    let operation = construct!([list, show, boxes]);
    let daemon = daemon();
    let json = json_out();
    construct!(Ctl {
        daemon,
        json,
        operation
    })
    .to_options()
    .descr("Inspect the purges of a running daemon")
    .command("purges")
}
