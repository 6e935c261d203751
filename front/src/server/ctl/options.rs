//! The options and arguments of operators' commands.
use super::{Ctl, DaemonSocket, Operation};
use bpaf::{construct, long, positional, Parser};
use std::path::PathBuf;

fn daemon() -> impl Parser<DaemonSocket> {
    let socket = long("socket")
        .help("The daemon's control socket")
        .env("CRANESILL_SOCKET")
        .argument::<PathBuf>("PATH")
        .optional();
    let settings = long("settings")
        .help("Settings that name the control socket")
        .argument::<PathBuf>("FILE")
        .optional();
    construct!(DaemonSocket { socket, settings })
}

fn json_out() -> impl Parser<bool> {
    long("json").help("Print JSON").switch()
}

/// `cranesill ctl`.
pub fn ctl() -> impl Parser<Ctl> {
    let daemon = daemon();
    let json = json_out();
    let command = positional::<String>("WORD").help("What to ask; `help` lists all");
    let fields = positional::<String>("FIELD=VALUE").many();
    let operation =
        construct!(command, fields).map(|(command, fields)| Operation::Command(command, fields));
    construct!(Ctl {
        daemon,
        json,
        operation
    })
    .to_options()
    .descr("ClientRequest a running daemon")
    .command("ctl")
}

/// `cranesill certs`.
pub fn certs() -> impl Parser<Ctl> {
    let name = || positional::<String>("NAME").help("One of the certificate's names");
    let list = bpaf::pure(Operation::ListCertificates)
        .to_options()
        .descr("How all certificates stand")
        .command("list");
    let show = name()
        .map(Operation::ShowCertificate)
        .to_options()
        .descr("How one certificate stands")
        .command("show");
    let renew = name()
        .map(Operation::RenewCertificate)
        .to_options()
        .descr("Order a certificate now")
        .command("renew");
    let reason = long("reason")
        .help("By number (RFC 5280, 5.3.1): 1 key lost")
        .argument::<u8>("N")
        .optional();
    let of_name = name();
    let revoke = construct!(reason, of_name)
        .map(|(reason, name)| Operation::RevokeCertificate(name, reason));
    let revoke = revoke
        .to_options()
        .descr("Revoke a certificate and order another")
        .command("revoke");
    let key = long("key")
        .help("Private key in PEM")
        .argument::<PathBuf>("FILE");
    let chain = long("chain")
        .help("Certificates in PEM, leaf first")
        .argument::<PathBuf>("FILE");
    let import =
        construct!(key, chain).map(|(key, chain)| Operation::ImportCertificate(key, chain));
    let import = import
        .to_options()
        .descr("Serve a certificate from elsewhere")
        .command("import");
    let roll = bpaf::pure(Operation::RollAccountKey)
        .to_options()
        .descr("Give the account another key");
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
    .descr("Certificates of a running daemon")
    .command("certs")
}

/// `cranesill purge`.
pub fn purge() -> impl Parser<Ctl> {
    let target = |name: &'static str, help: &'static str| {
        long(name)
            .help(help)
            .argument::<String>("WHAT")
            .map(move |value| (name, value))
    };
    let object = target("object", "An object: 16 hex digits");
    let group = target("group", "A group: 0 to 255");
    let tag = target("tag", "All objects that carry a tag");
    let pattern = target("pattern", "All keys CLASS/ITEM/PART that a glob matches");
    let target = construct!([object, group, tag, pattern]);
    let id = long("id")
        .help("The same id again is the same purge")
        .argument::<String>("ID")
        .optional();
    let reason = long("why")
        .help("For whoever looks later")
        .argument::<String>("TEXT")
        .optional();
    let all = long("all")
        .help("A pattern that matches everything is meant to")
        .switch();
    let dry_run = long("dry-run")
        .help("Tell how many known objects match")
        .switch();
    let wait = long("wait")
        .help("Wait until all boxes have confirmed it")
        .req_flag(60u64);
    let wait_s = long("wait-s")
        .help("The same, for so many seconds at most")
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
    .descr("Purge copies")
    .command("purge")
}

/// `cranesill purges`.
pub fn purges() -> impl Parser<Ctl> {
    let list = bpaf::pure(Operation::ListPurges(None))
        .to_options()
        .descr("The ledger, latest first")
        .command("list");
    let number = positional::<u64>("N").map(|n| Operation::ListPurges(Some(n)));
    let show = number.to_options().descr("One purge").command("show");
    let boxes = bpaf::pure(Operation::ListCacheNodes)
        .to_options()
        .descr("What each box has confirmed")
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
    .descr("Purges of a running daemon")
    .command("purges")
}
