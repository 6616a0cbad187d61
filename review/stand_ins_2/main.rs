//! Stand-ins for the scripts of this review: a backend server (a process of its own) and a driver that plays the
//! platform, the operator and the callers, starts the programs of the deploy file, and judges one rule.
//!
//! Only the standard library is used. All addresses are loopback addresses.

mod cases;
mod engine;
mod fleet;
mod http;

use std::process::exit;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.first().map(String::as_str) {
        Some("server") => engine::run(&arguments[1..]),
        Some("case") if arguments.len() == 3 => exit(cases::run(&arguments[1], &arguments[2])),
        _ => {
            eprintln!("usage: stand-ins case NAME FOLDER | stand-ins server ...");
            exit(2);
        }
    }
}
