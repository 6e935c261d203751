//! Adapter that runs cranesill routers in a simulator, with frames on standard input and output.
#![deny(missing_docs)]
mod error;
mod host;
mod wire;

use error::AdapterError;
use host::Host;
use std::io::{self, Read, Write};

fn main() {
    // Panics are reported as fault records instead of on standard error.
    std::panic::set_hook(Box::new(|_| {}));
    if let Err(error) = run(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        eprintln!("cranesill-adapter: {error}");
        std::process::exit(1);
    }
}

/// Reads frames and writes the replies until the input ends.
fn run(input: &mut impl Read, output: &mut impl Write) -> Result<(), AdapterError> {
    let mut host = Host::default();
    while let Some(frame) = wire::read_frame(input)? {
        let replies = host.handle_frame(&frame)?;
        wire::write_frame(output, &replies)?;
    }
    Ok(())
}

#[cfg(test)]
mod tests;
