//! The command line of a real node on the stand-ins.

use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Stdio};

/// Time limit of a node's calls to the store, in milliseconds: many times what the stand-in takes.
const STORE_TIMEOUT_MS: &str = "500";
/// How long a node's entry outlives its last word, in milliseconds: short, so that short runs see it lapse.
const LEASE_MS: &str = "1500";
/// The failure domains, by turns.
const DOMAINS: [&str; 2] = ["kranj", "loka"];

/// Where a node is and what it stands beside.
#[derive(Debug, Clone)]
pub struct NodeLine<'a> {
    /// Name of its VM.
    pub vm: &'a str,
    /// Number of its VM, which decides on its failure domain.
    pub at: usize,
    /// The service of its upstream.
    pub service: &'a str,
    /// Address of its upstream.
    pub upstream_addr: SocketAddr,
    /// Where its callers come.
    pub caller_addr: SocketAddr,
    /// Where it tells whether it is ready.
    pub ready_addr: SocketAddr,
    /// Where its upstream announces itself.
    pub control_addr: SocketAddr,
    /// Where it listens for links.
    pub link_addr: SocketAddr,
    /// Address of the store.
    pub store_addr: SocketAddr,
}

impl NodeLine<'_> {
    /// Makes the command that starts the node, with further flags; it reads and writes nothing.
    pub fn command(&self, program: &Path, further: Vec<(&str, String)>) -> Command {
        let flags = [
            ("platform", "managed".to_owned()),
            ("vm", self.vm.to_owned()),
            ("domain", DOMAINS[self.at % DOMAINS.len()].to_owned()),
            ("service", self.service.to_owned()),
            ("server", self.upstream_addr.to_string()),
            ("caller-listen", self.caller_addr.to_string()),
            ("admin-listen", self.ready_addr.to_string()),
            ("control-listen", self.control_addr.to_string()),
            ("link-listen", self.link_addr.to_string()),
            ("store", self.store_addr.to_string()),
            ("store-timeout-ms", STORE_TIMEOUT_MS.to_owned()),
            ("lease-ms", LEASE_MS.to_owned()),
        ];
        let args = flags.into_iter().chain(further).flat_map(|(flag, value)| [format!("--{flag}"), value]);
        let mut command = Command::new(program);
        command.arg("node").args(args).stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
        command
    }
}
