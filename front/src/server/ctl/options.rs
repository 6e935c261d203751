//! The options and arguments of operators' commands.
use super::{At, Ctl, Verb};
use bpaf::{construct, long, positional, Parser};
use std::path::PathBuf;

fn at() -> impl Parser<At> {
    let socket = long("socket")
        .help("The daemon's control socket")
        .env("CRANESILL_SOCKET")
        .argument::<PathBuf>("PATH")
        .optional();
    let settings = long("settings")
        .help("Settings that name the control socket")
        .argument::<PathBuf>("FILE")
        .optional();
    construct!(At { socket, settings })
}

fn json_out() -> impl Parser<bool> {
    long("json").help("Print JSON").switch()
}

/// `cranesill ctl`.
pub fn ctl() -> impl Parser<Ctl> {
    let at = at();
    let json = json_out();
    let word = positional::<String>("WORD").help("What to ask; `help` lists all");
    let fields = positional::<String>("FIELD=VALUE").many();
    let verb = construct!(word, fields).map(|(word, fields)| Verb::Word(word, fields));
    construct!(Ctl { at, json, verb })
        .to_options()
        .descr("ClientRequest a running daemon")
        .command("ctl")
}

/// `cranesill certs`.
pub fn certs() -> impl Parser<Ctl> {
    let name = || positional::<String>("NAME").help("One of the certificate's names");
    let list = bpaf::pure(Verb::List)
        .to_options()
        .descr("How all certificates stand")
        .command("list");
    let show = name()
        .map(Verb::Show)
        .to_options()
        .descr("How one certificate stands")
        .command("show");
    let renew = name()
        .map(Verb::Renew)
        .to_options()
        .descr("Order a certificate now")
        .command("renew");
    let reason = long("reason")
        .help("By number (RFC 5280, 5.3.1): 1 key lost")
        .argument::<u8>("N")
        .optional();
    let of = name();
    let revoke = construct!(reason, of).map(|(reason, name)| Verb::Revoke(name, reason));
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
    let import = construct!(key, chain).map(|(key, chain)| Verb::Import(key, chain));
    let import = import
        .to_options()
        .descr("Serve a certificate from elsewhere")
        .command("import");
    let roll = bpaf::pure(Verb::RollKey)
        .to_options()
        .descr("Give the account another key");
    let roll = roll.command("roll-key");
    let verb = construct!([list, show, renew, revoke, import, roll]);
    let at = at();
    let json = json_out();
    construct!(Ctl { at, json, verb })
        .to_options()
        .descr("Certificates of a running daemon")
        .command("certs")
}

/// `cranesill purge`.
pub fn purge() -> impl Parser<Ctl> {
    let of = |name: &'static str, help: &'static str| {
        long(name)
            .help(help)
            .argument::<String>("WHAT")
            .map(move |value| (name, value))
    };
    let object = of("object", "An object: 16 hex digits");
    let group = of("group", "A group: 0 to 255");
    let tag = of("tag", "All objects that carry a tag");
    let pattern = of("pattern", "All keys CLASS/ITEM/PART that a glob matches");
    let what = construct!([object, group, tag, pattern]);
    let id = long("id")
        .help("The same id again is the same purge")
        .argument::<String>("ID")
        .optional();
    let why = long("why")
        .help("For whoever looks later")
        .argument::<String>("TEXT")
        .optional();
    let all = long("all")
        .help("A pattern that matches everything is meant to")
        .switch();
    let dry = long("dry-run")
        .help("Tell how many known objects match")
        .switch();
    let wait = long("wait")
        .help("Wait until all boxes have confirmed it")
        .req_flag(60u64);
    let wait_s = long("wait-s")
        .help("The same, for so many seconds at most")
        .argument::<u64>("S");
    let wait = construct!([wait, wait_s]).optional();
    let at = at();
    let json = json_out();
    let verb = construct!(Verb::Purge {
        what,
        id,
        why,
        all,
        wait,
        dry
    });
    construct!(Ctl { at, json, verb })
        .to_options()
        .descr("Purge copies")
        .command("purge")
}

/// `cranesill purges`.
pub fn purges() -> impl Parser<Ctl> {
    let list = bpaf::pure(Verb::Purges(None))
        .to_options()
        .descr("The ledger, latest first")
        .command("list");
    let number = positional::<u64>("N").map(|n| Verb::Purges(Some(n)));
    let show = number.to_options().descr("One purge").command("show");
    let boxes = bpaf::pure(Verb::Boxes)
        .to_options()
        .descr("What each box has confirmed")
        .command("boxes");
    let verb = construct!([list, show, boxes]);
    let at = at();
    let json = json_out();
    construct!(Ctl { at, json, verb })
        .to_options()
        .descr("Purges of a running daemon")
        .command("purges")
}
