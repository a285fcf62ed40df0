//! A node: makes the rings, starts a thread for each duty, and joins them all at the end.

mod leave;
mod listen;
mod part;
mod stage;
mod start;
mod thread;

use snafu::Snafu;

use self::leave::serve_until_told;
use self::listen::{listen, try_links};
use self::part::NodeParts;
use self::thread::{join, runtime};
use crate::code::Code;
use crate::link::tls::{self, KeyError};
use crate::platform::{Membership, Platform};
use crate::settings::NodeSettings;

/// Why a node could not start.
#[derive(Debug, Snafu)]
pub enum NodeError {
    /// Keys could not be used.
    #[snafu(display("{source}"), context(false))]
    Keys {
        /// Why.
        source: KeyError,
    },
    /// An address could not be listened on.
    #[snafu(display("{addr}: {source}"))]
    Listen {
        /// Which.
        addr: std::net::SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// A thread could not be started.
    #[snafu(display("{source}"), context(false))]
    Thread {
        /// Why.
        source: std::io::Error,
    },
}

impl NodeError {
    /// Returns the numbered code.
    pub const fn code(&self) -> Code {
        match self {
            Self::Keys { source } => source.code(),
            Self::Listen { .. } | Self::Thread { .. } => Code::AddressBusy,
        }
    }
}

/// Runs a node until it is told to stop, and takes it out of service in order.
///
/// # Errors
///
/// Returns why the node could not start.
pub fn run(settings: NodeSettings, platform: Platform) -> Result<(), NodeError> {
    let tls = match platform.membership {
        Membership::Listed { .. } => tls::load(&settings.keys_dir, &settings.vm)?,
        // No key can be handed to such a node before it starts, so it makes its own.
        Membership::Leased { .. } => tls::generate(&settings.vm)?,
    };
    // Sockets are bound before any thread starts, so that a busy address is told at once.
    let callers = listen(settings.caller_addr)?;
    let operators = listen(settings.admin_addr)?;
    try_links(settings.link_addr)?;
    let control = settings.control_addr.map(listen).transpose()?;
    let (announcements, parts) = NodeParts::new(settings, platform);
    let mut threads = parts.start_membership()?;
    threads.push(parts.start_path(callers, tls)?);
    threads.push(parts.start_crash()?);
    threads.push(parts.start_admin(operators)?);
    if let (Some(announcements), Some(listener)) = (announcements, control) {
        threads.push(parts.start_announcements(announcements, listener)?);
    }
    log::info!("event=node.start incarnation={} release={}", parts.incarnation, env!("CARGO_PKG_VERSION"));
    runtime()?.block_on(serve_until_told(&parts));
    join(threads);
    log::info!("event=node.stop");
    Ok(())
}
