//! Program `relay`: simulates one network link with a delay, which can be cut at run time.

use std::net::SocketAddr;
use std::process::ExitCode;

use primrose_bench::relay::{Settings, bind};
use tokio::signal::unix::{SignalKind, signal};

async fn run(settings: Settings) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let handle = bind(settings).await?;
    println!("address={} control={}", handle.address, handle.control);
    terminate.recv().await;
    Ok(())
}

#[tokio::main]
async fn main() -> ExitCode {
    let flags = xflags::parse_or_exit! {
        /// Address to which connections and datagrams are forwarded.
        required target: SocketAddr
        /// Address for TCP and UDP (default 127.0.0.1:0, for which the kernel chooses the port).
        optional --address address: SocketAddr
        /// Address for control commands over TCP (default 127.0.0.1:0).
        optional --control address: SocketAddr
        /// One-way delay in each direction, in ms (default 0).
        optional --delay-ms ms: f64
    };
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    let settings = Settings {
        address: flags.address.unwrap_or(loopback),
        control: flags.control.unwrap_or(loopback),
        target: flags.target,
        delay_ms: flags.delay_ms.unwrap_or(0.0),
    };
    match run(settings).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("the relay cannot run: {error}");
            ExitCode::FAILURE
        }
    }
}
