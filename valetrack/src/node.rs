//! A node: creates the rings, starts the threads, and joins them when the node stops.

mod leave;
mod listen;
mod part;
mod stage;
mod start;
mod thread;

use snafu::Snafu;

use self::leave::serve_until_leaving;
use self::listen::{check_link_addr, listen};
use self::part::NodeParts;
use self::thread::{join, runtime};
use crate::code::Code;
use crate::link::tls::{self, KeyError};
use crate::platform::{Membership, Platform};
use crate::settings::NodeSettings;

/// Error of starting a node.
#[derive(Debug, Snafu)]
pub enum NodeError {
    /// The keys of the node could not be read or used.
    #[snafu(display("{source}"), context(false))]
    Keys {
        /// Cause.
        source: KeyError,
    },
    /// A listener could not be bound to its address.
    #[snafu(display("{addr}: {source}"))]
    Listen {
        /// The address.
        addr: std::net::SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// A thread could not be started.
    #[snafu(display("{source}"), context(false))]
    Thread {
        /// Cause.
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

/// Runs a node until it is asked to leave, and then shuts it down in order.
///
/// # Errors
///
/// Returns an error if the node could not start.
pub fn run(settings: NodeSettings, platform: Platform) -> Result<(), NodeError> {
    let tls = match platform.membership {
        Membership::Listed { .. } => tls::load(&settings.keys_dir, &settings.vm)?,
        // Such a node has no keys folder, so it generates its own key.
        Membership::Leased { .. } => tls::generate(&settings.vm)?,
    };
    // Sockets are bound before any thread starts, so a busy address is reported at once.
    let callers = listen(settings.caller_addr)?;
    let operators = listen(settings.admin_addr)?;
    check_link_addr(settings.link_addr)?;
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
    runtime()?.block_on(serve_until_leaving(&parts));
    join(threads);
    log::info!("event=node.stop");
    Ok(())
}
